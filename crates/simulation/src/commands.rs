//! The commands of the program. Their output does not depend on the order in which runs end.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::Path;
use std::time::Instant;

use doorproxy_simulation::checker::Violation;
use doorproxy_simulation::generator;
use doorproxy_simulation::mutants::Mutant;
use doorproxy_simulation::report::print_coverage;
use doorproxy_simulation::runner::{Coverage, RunReport, run_scenario};
use doorproxy_simulation::scenario::Scenario;
use doorproxy_simulation::shrink;
use doorproxy_simulation::time::{Micros, SECOND};
use doorproxy_simulation::trace::Digest;

use crate::arguments::{ReplayArguments, RunArguments, ShrinkArguments};
use crate::error::CliError;
use crate::seed_runs::SeedRuns;

/// The value of `--plant` that lists all mutants.
const LIST_MUTANTS: &str = "list";
/// The maximum number of findings that are printed.
const MAX_PRINTED_FINDINGS: usize = 10;

/// The result of a command: whether any run broke a rule.
pub enum Verdict {
    /// No run broke a rule.
    NoRuleBroken,
    /// At least one run broke a rule.
    RuleBroken,
}

impl Verdict {
    fn from_violation(is_broken: bool) -> Verdict {
        if is_broken { Verdict::RuleBroken } else { Verdict::NoRuleBroken }
    }
}

/// A run that broke a rule.
struct Finding<'a> {
    seed: u64,
    violation: &'a Violation,
}

/// Runs a range of seeds, prints their coverage and violations, and shrinks the first finding.
pub fn run(arguments: &RunArguments) -> Result<Verdict, CliError> {
    if arguments.mutant.as_deref() == Some(LIST_MUTANTS) {
        Mutant::ALL.iter().for_each(|mutant| println!("{}", mutant.name()));
        return Ok(Verdict::NoRuleBroken);
    }
    let runs = seed_runs(arguments)?;
    let started_at = Instant::now();
    let reports = runs.run()?;
    let elapsed_secs = started_at.elapsed().as_secs_f64();
    if let Some(path) = &arguments.sums {
        write_sums(path, &reports, |report| report.events)?;
    }
    if let Some(path) = &arguments.trace_sums {
        write_sums(path, &reports, |report| report.lines)?;
    }
    let findings = find_violations(&runs, &reports);
    print_reports(&runs, &reports, &findings, elapsed_secs);
    if let Some(first) = findings.first() {
        shrink_finding(&runs, first);
    }
    Ok(Verdict::from_violation(!findings.is_empty()))
}

fn seed_runs(arguments: &RunArguments) -> Result<SeedRuns, CliError> {
    let mutant = parse_mutant(arguments.mutant.as_deref())?;
    let seeds = parse_seed_range(&arguments.seeds)?;
    let cores = || std::thread::available_parallelism().map_or(1, usize::from);
    let jobs = arguments.jobs.unwrap_or_else(cores).max(1);
    let generate = scenario_generator(arguments.sidecar, arguments.shutdown);
    Ok(SeedRuns { seeds, jobs, generate, mutant })
}

/// Returns the generator for balancers, for sidecars, or for sidecars that are asked to shut down.
fn scenario_generator(uses_sidecar: bool, is_shutdown: bool) -> fn(u64) -> Scenario {
    match (uses_sidecar, is_shutdown) {
        (_, true) => generator::generate_shutdown_scenario,
        (true, false) => generator::generate_sidecar_scenario,
        (false, false) => generator::generate_scenario,
    }
}

fn find_violations<'a>(runs: &SeedRuns, reports: &'a BTreeMap<u64, RunReport>) -> Vec<Finding<'a>> {
    let findings = reports.iter().filter(|(_, report)| runs.is_finding(report));
    let with_violation = findings.filter_map(|(seed, report)| Some((*seed, report.violation.as_ref()?)));
    with_violation.map(|(seed, violation)| Finding { seed, violation }).collect()
}

fn print_reports(
    runs: &SeedRuns,
    reports: &BTreeMap<u64, RunReport>,
    findings: &[Finding],
    elapsed_secs: f64,
) {
    let mut coverage = Coverage::default();
    reports.values().for_each(|report| coverage.add(&report.coverage));
    print_coverage(&coverage);
    let virtual_secs: f64 = reports.values().map(|report| as_secs(report.duration)).sum();
    println!(
        "{:.0} seeds per second, {:.0} virtual seconds per second, {} jobs",
        reports.len() as f64 / elapsed_secs,
        virtual_secs / elapsed_secs,
        runs.jobs
    );
    for Finding { seed, violation } in findings.iter().take(MAX_PRINTED_FINDINGS) {
        println!(
            "seed {seed} broke {} at {:.6} s: {}",
            violation.rule,
            as_secs(violation.at),
            violation.text
        );
    }
    println!("{} seeds, {} violations, {elapsed_secs:.1} s", reports.len(), findings.len());
}

fn shrink_finding(runs: &SeedRuns, finding: &Finding) {
    let rule = finding.violation.rule;
    let (small, tries) = shrink::shrink(&(runs.generate)(finding.seed), rule, runs.mutant);
    let fault_count = small.faults.len();
    println!("\n# seed {}, {rule}: {fault_count} faults after {tries} tries", finding.seed);
    print!("{small}");
}

fn write_sums(
    path: &Path,
    reports: &BTreeMap<u64, RunReport>,
    digest: impl Fn(&RunReport) -> Digest,
) -> Result<(), CliError> {
    let lines = reports.iter().map(|(seed, report)| format!("{seed} {}\n", digest(report)));
    write_file(path, &lines.collect::<String>())
}

/// Runs one scenario and prints it with its result, preceded by its trace if `--trace` is given.
pub fn replay(arguments: &ReplayArguments) -> Result<Verdict, CliError> {
    let generate = scenario_generator(arguments.sidecar, arguments.shutdown);
    let scenario = load_scenario(arguments.seed, generate, arguments.scenario.as_deref())?;
    let mutant = parse_mutant(arguments.mutant.as_deref())?;
    let report = run_scenario(&scenario, mutant, arguments.trace);
    print!("{}{scenario}", report.trace);
    println!(
        "event checksum {:08x}, {} events; trace checksum {:08x}, {} lines; {:.3} virtual seconds",
        report.events.sum,
        report.events.count,
        report.lines.sum,
        report.lines.count,
        as_secs(report.duration)
    );
    for (name, count) in &report.coverage.hard_cases.0 {
        println!("occurred {count} times: {name}");
    }
    match &report.violation {
        Some(violation) => {
            println!("broke {} at {:.6} s: {}", violation.rule, as_secs(violation.at), violation.text);
        }
        None => println!("no rule broken"),
    }
    Ok(Verdict::from_violation(report.violation.is_some()))
}

/// Writes the smallest scenario found that breaks the same rule as the given one.
pub fn shrink(arguments: &ShrinkArguments) -> Result<Verdict, CliError> {
    let mutant = parse_mutant(arguments.mutant.as_deref())?;
    let generate = generator::generate_scenario;
    let scenario = load_scenario(arguments.seed, generate, arguments.scenario.as_deref())?;
    let Some(violation) = run_scenario(&scenario, mutant, false).violation else {
        println!("no rule broken");
        return Ok(Verdict::NoRuleBroken);
    };
    let (small, tries) = shrink::shrink(&scenario, violation.rule, mutant);
    write_file(&arguments.out, &format!("# {}, after {tries} tries\n{small}", violation.rule))?;
    print!("{small}");
    Ok(Verdict::RuleBroken)
}

fn parse_mutant(name: Option<&str>) -> Result<Option<Mutant>, CliError> {
    let Some(name) = name else { return Ok(None) };
    let mutant = Mutant::ALL.iter().copied().find(|mutant| mutant.name() == name);
    mutant.map(Some).ok_or_else(|| CliError::UnknownMutant(name.to_string()))
}

fn parse_seed_range(text: &str) -> Result<Range<u64>, CliError> {
    let error = || CliError::SeedRange(text.to_string());
    let (start, end) = text.split_once("..").ok_or_else(error)?;
    let parse = |bound: &str| bound.parse().map_err(|_| error());
    Ok(parse(start)?..parse(end)?)
}

fn load_scenario(
    seed: Option<u64>,
    generate: fn(u64) -> Scenario,
    path: Option<&Path>,
) -> Result<Scenario, CliError> {
    match (seed, path) {
        (Some(seed), None) => Ok(generate(seed)),
        (None, Some(path)) => {
            let text = std::fs::read_to_string(path)
                .map_err(|source| CliError::Io { path: path.to_path_buf(), source })?;
            text.parse().map_err(|source| CliError::Scenario { path: path.to_path_buf(), source })
        }
        _ => Err(CliError::ScenarioSource),
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), CliError> {
    std::fs::write(path, text).map_err(|source| CliError::Io { path: path.to_path_buf(), source })
}

fn as_secs(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}
