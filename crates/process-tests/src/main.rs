//! The command line of the test cluster: runs scenarios, checks histories and prints measurements.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use doorproxy_process_tests::checkers;
use doorproxy_process_tests::cluster::{RunOptions, RunReport, run_scenario};
use doorproxy_process_tests::fault_report_measurement;
use doorproxy_process_tests::generator::generate;
use doorproxy_process_tests::history;
use doorproxy_process_tests::plot;
use doorproxy_process_tests::quota_measurement;
use doorproxy_process_tests::recovery_measurement;
use doorproxy_process_tests::scenario::Scenario;
use doorproxy_process_tests::shrink::Shrinker;
use doorproxy_test_servers::clock::MS;

/// Run several doorproxy processes on loopback under faults and check what they do.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Play(Play),
    Campaign(Campaign),
    Check(Check),
    Draw(Draw),
    Measure(Measure),
}

/// Run one scenario, or the one that a seed generates, and check its history.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct Play {
    /// the file of the scenario, in TOML
    #[argh(option, long = "script")]
    scenario: Option<PathBuf>,
    /// the seed from which to generate a scenario, in place of --script
    #[argh(option)]
    seed: Option<u64>,
    /// the directory that keeps the history, logs and state directories (default: none are kept)
    #[argh(option)]
    out: Option<PathBuf>,
    /// another program than the doorproxy beside this one
    #[argh(option)]
    program: Option<PathBuf>,
    /// the mutant to run in place of doorproxy
    #[argh(option)]
    mutant: Option<String>,
    /// after a violation, shrink the scenario and print it
    #[argh(switch)]
    shrink: bool,
}

/// Run the scenarios of many seeds, several at a time; print the first violation of each.
#[derive(FromArgs)]
#[argh(subcommand, name = "campaign")]
struct Campaign {
    /// the range of seeds, such as 0..300
    #[argh(option)]
    seeds: String,
    /// the number of concurrent runs (default 3)
    #[argh(option, default = "3")]
    jobs: usize,
    /// another program than the doorproxy beside this one
    #[argh(option)]
    program: Option<PathBuf>,
}

/// Check a history that an earlier run kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file of the scenario that was run
    #[argh(option, long = "script")]
    scenario: PathBuf,
    /// the file of the history
    #[argh(positional)]
    history: PathBuf,
}

/// Print the scenario that a seed generates.
#[derive(FromArgs)]
#[argh(subcommand, name = "draw")]
struct Draw {
    /// the seed
    #[argh(option)]
    seed: u64,
}

/// Measure over many seeds how a fleet recovers, how well it uses a limit, or what fault reports bring.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// the measurement: return (recovery after a fault), limits (use of a limit) or claims (fault reports)
    #[argh(positional)]
    what: String,
    /// the names of the cases of return to measure (default: all)
    #[argh(positional)]
    cases: Vec<String>,
    /// the range of seeds, such as 0..20
    #[argh(option, default = "String::from(\"0..20\")")]
    seeds: String,
    /// the number of concurrent runs (default 4); with more, the test cluster is delayed and runs are void
    #[argh(option, default = "4")]
    jobs: usize,
    /// another program than the doorproxy beside this one
    #[argh(option)]
    program: Option<PathBuf>,
    /// a file with the results of an earlier call with --json, to merge in place of new runs; may be
    /// repeated. One process has file descriptors for only a few concurrent runs, so run one process for each
    /// seed and merge their results
    #[argh(option)]
    read: Vec<PathBuf>,
    /// print the results as JSON
    #[argh(switch)]
    json: bool,
    /// write a plot of service and load over time to this file
    #[argh(option)]
    svg: Option<PathBuf>,
}

fn run_options(
    directory: &Path,
    program: Option<&PathBuf>,
    mutant: Option<&String>,
) -> Result<RunOptions, String> {
    // Balancers get the paths of their directories, which must be absolute.
    let directory =
        std::path::absolute(directory).map_err(|error| format!("{}: {error}", directory.display()))?;
    let mut options = RunOptions::with_built_program(&directory)?;
    if let Some(program) = program {
        options.program = program.clone();
    }
    if let Some(mutant) = mutant {
        options.program = options.program.with_file_name("doorproxy-mutant");
        options.arguments = vec!["--mutant".to_string(), mutant.clone()];
    }
    Ok(options)
}

fn load_scenario(path: &Path) -> Result<Scenario, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    Scenario::parse(&text).map_err(|error| format!("{}: {error}", path.display()))
}

fn print_report(report: &RunReport) {
    for violation in &report.violations {
        println!("{:>9.3} s {}: {}", violation.at as f64 / 1e6, violation.rule, violation.text);
    }
    let (lines, late) = (report.history.lines.len(), report.max_lateness / MS);
    println!(
        "{} violations in {lines} lines of history; the largest delay of the test cluster was {late} ms",
        report.violations.len()
    );
}

fn run_play(call: &Play) -> Result<bool, String> {
    let scenario = match (&call.scenario, call.seed) {
        (Some(path), None) => load_scenario(path)?,
        (None, Some(seed)) => generate(seed),
        _ => return Err("--script or --seed: give exactly one of them".to_string()),
    };
    let scratch = tempfile::tempdir().map_err(|error| error.to_string())?;
    let directory = call.out.clone().unwrap_or_else(|| scratch.path().to_path_buf());
    let options = run_options(&directory, call.program.as_ref(), call.mutant.as_ref())?;
    let report = run_scenario(&scenario, &options)?;
    print_report(&report);
    if let Some(first) = report.violations.first().filter(|_| call.shrink) {
        let mut shrinker = Shrinker::new(&scenario, |scenario| {
            run_scenario(scenario, &options).is_ok_and(|report| report.violated_rules().contains(first.rule))
        });
        let smallest = shrinker.shrink();
        println!("# {} after {} runs\n{}", first.rule, shrinker.run_count, smallest.to_toml());
    }
    Ok(report.violations.is_empty())
}

fn parse_seed_range(text: &str) -> Result<std::ops::Range<u64>, String> {
    let ends = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    ends.ok_or_else(|| format!("--seeds: {text:?} is not a range of seeds such as 0..300"))
}

fn run_measure(call: &Measure) -> Result<bool, String> {
    match call.what.as_str() {
        "return" => {}
        "limits" => return measure_quotas(call),
        "claims" => return measure_fault_reports(call),
        what => return Err(format!("measure: {what:?} is none of return, limits and claims")),
    }
    let rows = if call.read.is_empty() {
        let cases = recovery_measurement::select_cases(&call.cases)?;
        // A missing program is an error here, before any run.
        let defaults = run_options(Path::new("."), call.program.as_ref(), None)?;
        recovery_measurement::measure_cases(&cases, parse_seed_range(&call.seeds)?, call.jobs, |directory| {
            RunOptions { directory: directory.to_path_buf(), ..defaults.clone() }
        })?
    } else {
        let text = |path: &PathBuf| {
            std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
        };
        recovery_measurement::merge_results(
            &call.read.iter().map(text).collect::<Result<Vec<String>, String>>()?,
        )?
    };
    if call.json {
        println!("{}", serde_json::to_string(&rows).map_err(|error| error.to_string())?);
    } else {
        print!("{}", recovery_measurement::markdown_table(&rows));
    }
    if let Some(path) = &call.svg {
        plot::write_svg(&rows, path)?;
    }
    let violations: usize =
        rows.iter().flat_map(|row| &row.measurements).map(|measurement| measurement.violations).sum();
    if violations > 0 {
        eprintln!("{violations} violations of rules during the measured runs");
    }
    Ok(violations == 0)
}

fn measure_quotas(call: &Measure) -> Result<bool, String> {
    let defaults = run_options(Path::new("."), call.program.as_ref(), None)?;
    let options = |directory: &Path| RunOptions { directory: directory.to_path_buf(), ..defaults.clone() };
    let rows = quota_measurement::measure_cases(parse_seed_range(&call.seeds)?, call.jobs, options)?;
    if call.json {
        println!("{}", serde_json::to_string(&rows).map_err(|error| error.to_string())?);
    } else {
        print!("{}", quota_measurement::markdown_table(&rows));
    }
    Ok(rows.iter().flat_map(|row| &row.measurements).all(|measurement| measurement.violations == 0))
}

fn measure_fault_reports(call: &Measure) -> Result<bool, String> {
    let defaults = run_options(Path::new("."), call.program.as_ref(), None)?;
    let options = |directory: &Path| RunOptions { directory: directory.to_path_buf(), ..defaults.clone() };
    let rows = fault_report_measurement::measure_cases(parse_seed_range(&call.seeds)?, call.jobs, options)?;
    if call.json {
        println!("{}", serde_json::to_string(&rows).map_err(|error| error.to_string())?);
    } else {
        print!("{}", fault_report_measurement::markdown_table(&rows));
    }
    Ok(rows.iter().flat_map(|row| &row.measurements).all(|measurement| measurement.violations == 0))
}

fn run_campaign(call: &Campaign) -> Result<bool, String> {
    let std::ops::Range { start, end } = parse_seed_range(&call.seeds)?;
    let next = std::sync::atomic::AtomicU64::new(start);
    let results = std::sync::Mutex::new(Vec::new());
    let begun = std::time::Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..call.jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= end {
                        return;
                    }
                    let result =
                        tempfile::tempdir().map_err(|error| error.to_string()).and_then(|directory| {
                            let options = run_options(directory.path(), call.program.as_ref(), None)?;
                            run_scenario(&generate(seed), &options)
                        });
                    let message = match &result {
                        Ok(report) if report.violations.is_empty() => None,
                        Ok(report) => Some(format!("seed {seed}: {:?}", report.violations[0])),
                        Err(error) => Some(format!("seed {seed} was not run: {error}")),
                    };
                    if let Some(message) = &message {
                        println!("{message}");
                    }
                    results.lock().expect("no panic while it is locked").push(message.is_none());
                }
            });
        }
    });
    let results = results.into_inner().expect("no panic while it is locked");
    let failed = results.iter().filter(|passed| !**passed).count();
    println!(
        "{} seeds, {failed} with violations or not run, {:.0} s",
        results.len(),
        begun.elapsed().as_secs_f64()
    );
    Ok(failed == 0)
}

fn run_check(call: &Check) -> Result<bool, String> {
    let history = history::read_history(&call.history)?;
    if history.is_truncated {
        println!("the history is truncated: rules on its end are not checked");
    }
    let violations = checkers::check_history(&load_scenario(&call.scenario)?, &history);
    let report = RunReport { history, violations, max_lateness: 0, load_period: (0, 0) };
    print_report(&report);
    Ok(report.violations.is_empty())
}

/// The limit of open files: each of thousands of waiting requests holds six descriptors, and several runs are
/// concurrent.
const MAX_OPEN_FILES: u64 = 200_000;

fn main() -> ExitCode {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    // Raising the hard limit needs privileges; without them the soft limit is raised to the hard one.
    if setrlimit(Resource::RLIMIT_NOFILE, MAX_OPEN_FILES, MAX_OPEN_FILES).is_err()
        && let Ok((_, hard_limit)) = getrlimit(Resource::RLIMIT_NOFILE)
    {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard_limit, hard_limit);
    }
    let Arguments { command } = argh::from_env();
    let result = match command {
        Command::Play(call) => run_play(&call),
        Command::Campaign(call) => run_campaign(&call),
        Command::Check(call) => run_check(&call),
        Command::Measure(call) => run_measure(&call),
        Command::Draw(call) => {
            print!("{}", generate(call.seed).to_toml());
            Ok(true)
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("doorproxy-processes: {error}");
            ExitCode::from(2)
        }
    }
}
