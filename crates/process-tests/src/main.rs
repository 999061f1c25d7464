//! The command line of the test cluster.

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

/// Several real doorproxy programs on loopback, under faults.
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

/// Play one scenario, or the one of a seed, and check its history.
#[derive(FromArgs)]
#[argh(subcommand, name = "play")]
struct Play {
    /// the scenario, a TOML file
    #[argh(option, long = "script")]
    scenario: Option<PathBuf>,
    /// in place of a script: the seed that it is drawn from
    #[argh(option)]
    seed: Option<u64>,
    /// where history, logs and folders are left (default: nowhere)
    #[argh(option)]
    out: Option<PathBuf>,
    /// another program than the doorproxy beside this one
    #[argh(option)]
    program: Option<PathBuf>,
    /// play the faulty balancer of this name
    #[argh(option)]
    mutant: Option<String>,
    /// where a rule breaks, make the script smaller and print it
    #[argh(switch)]
    shrink: bool,
}

/// Play the scripts of many seeds, several at a time; print the small script of the first that breaks a rule.
#[derive(FromArgs)]
#[argh(subcommand, name = "campaign")]
struct Campaign {
    /// the seeds, as in 0..300
    #[argh(option)]
    seeds: String,
    /// how many are played side by side (default 3)
    #[argh(option, default = "3")]
    jobs: usize,
    /// another program than the doorproxy beside this one
    #[argh(option)]
    program: Option<PathBuf>,
}

/// Check a history that was kept.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the script of which it is
    #[argh(option, long = "script")]
    scenario: PathBuf,
    /// the history
    #[argh(positional)]
    history: PathBuf,
}

/// Print the script of a seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "draw")]
struct Draw {
    /// the seed
    #[argh(option)]
    seed: u64,
}

/// Measure how the fleet comes back after a fault, or how well it uses a limit, over many seeds.
#[derive(FromArgs)]
#[argh(subcommand, name = "measure")]
struct Measure {
    /// what to measure: return, limits or claims
    #[argh(positional)]
    what: String,
    /// the cases, by name (default: all)
    #[argh(positional)]
    cases: Vec<String>,
    /// the seeds, as in 0..20
    #[argh(option, default = "String::from(\"0..20\")")]
    seeds: String,
    /// how many are played side by side (default 4); with more the stage is late, and plays are void
    #[argh(option, default = "4")]
    jobs: usize,
    /// another program than the doorproxy beside this one
    #[argh(option)]
    program: Option<PathBuf>,
    /// in place of plays: the readings of earlier calls, as they printed them with --json; may be given several times.
    /// One process has descriptors for few plays at once, so calls of one seed each are run side by side and then read
    #[argh(option)]
    read: Vec<PathBuf>,
    /// print the readings as JSON
    #[argh(switch)]
    json: bool,
    /// draw service and load over time into this file
    #[argh(option)]
    svg: Option<PathBuf>,
}

fn run_options(
    folder: &Path,
    program: Option<&PathBuf>,
    mutant: Option<&String>,
) -> Result<RunOptions, String> {
    // Processes are given folders by whole paths.
    let folder = std::path::absolute(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let mut options = RunOptions::with_built_program(&folder)?;
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

fn print_report(played: &RunReport) {
    for violation in &played.violations {
        println!("{:>9.3} s {}: {}", violation.at as f64 / 1e6, violation.rule, violation.text);
    }
    let (lines, late) = (played.history.lines.len(), played.max_lateness / MS);
    println!(
        "{} violations in {lines} lines of history; the stage was {late} ms late at the worst",
        played.violations.len()
    );
}

fn run_play(call: &Play) -> Result<bool, String> {
    let scenario = match (&call.scenario, call.seed) {
        (Some(path), None) => load_scenario(path)?,
        (None, Some(seed)) => generate(seed),
        _ => return Err("either --script or --seed expected".to_string()),
    };
    let scratch = tempfile::tempdir().map_err(|error| error.to_string())?;
    let folder = call.out.clone().unwrap_or_else(|| scratch.path().to_path_buf());
    let options = run_options(&folder, call.program.as_ref(), call.mutant.as_ref())?;
    let played = run_scenario(&scenario, &options)?;
    print_report(&played);
    if let Some(first) = played.violations.first().filter(|_| call.shrink) {
        let mut shrinker = Shrinker::new(&scenario, |scenario| {
            run_scenario(scenario, &options).is_ok_and(|played| played.violated_rules().contains(first.rule))
        });
        let small = shrinker.shrink();
        println!("# {} after {} plays\n{}", first.rule, shrinker.run_count, small.to_toml());
    }
    Ok(played.violations.is_empty())
}

fn parse_seed_range(text: &str) -> Result<std::ops::Range<u64>, String> {
    let ends = text.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    ends.ok_or_else(|| format!("seeds as in 0..300 expected, not {text:?}"))
}

fn run_measure(call: &Measure) -> Result<bool, String> {
    match call.what.as_str() {
        "return" => {}
        "limits" => return measure_quotas(call),
        "claims" => return measure_fault_reports(call),
        what => return Err(format!("`measure return`, `limits` or `claims` expected, not {what:?}")),
    }
    let rows = if call.read.is_empty() {
        let cases = recovery_measurement::select_cases(&call.cases)?;
        // Fails here and not in the middle, where there is no program.
        let usual = run_options(Path::new("."), call.program.as_ref(), None)?;
        recovery_measurement::measure_cases(&cases, parse_seed_range(&call.seeds)?, call.jobs, |folder| {
            RunOptions { directory: folder.to_path_buf(), ..usual.clone() }
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
    let violations: usize = rows.iter().flat_map(|row| &row.readings).map(|reading| reading.violations).sum();
    if violations > 0 {
        eprintln!("{violations} violations of the rules on the way");
    }
    Ok(violations == 0)
}

fn measure_quotas(call: &Measure) -> Result<bool, String> {
    let usual = run_options(Path::new("."), call.program.as_ref(), None)?;
    let options = |folder: &Path| RunOptions { directory: folder.to_path_buf(), ..usual.clone() };
    let rows = quota_measurement::measure_cases(parse_seed_range(&call.seeds)?, call.jobs, options)?;
    if call.json {
        println!("{}", serde_json::to_string(&rows).map_err(|error| error.to_string())?);
    } else {
        print!("{}", quota_measurement::markdown_table(&rows));
    }
    Ok(rows.iter().flat_map(|row| &row.readings).all(|reading| reading.violations == 0))
}

fn measure_fault_reports(call: &Measure) -> Result<bool, String> {
    let usual = run_options(Path::new("."), call.program.as_ref(), None)?;
    let options = |folder: &Path| RunOptions { directory: folder.to_path_buf(), ..usual.clone() };
    let rows = fault_report_measurement::measure_cases(parse_seed_range(&call.seeds)?, call.jobs, options)?;
    if call.json {
        println!("{}", serde_json::to_string(&rows).map_err(|error| error.to_string())?);
    } else {
        print!("{}", fault_report_measurement::markdown_table(&rows));
    }
    Ok(rows.iter().flat_map(|row| &row.readings).all(|reading| reading.violations == 0))
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
                    let played = tempfile::tempdir().map_err(|error| error.to_string()).and_then(|folder| {
                        let options = run_options(folder.path(), call.program.as_ref(), None)?;
                        run_scenario(&generate(seed), &options)
                    });
                    let told = match &played {
                        Ok(played) if played.violations.is_empty() => None,
                        Ok(played) => Some(format!("seed {seed}: {:?}", played.violations[0])),
                        Err(error) => Some(format!("seed {seed} was not played: {error}")),
                    };
                    if let Some(told) = &told {
                        println!("{told}");
                    }
                    results.lock().expect("no panic while it is held").push(told.is_none());
                }
            });
        }
    });
    let results = results.into_inner().expect("no panic while it is held");
    let bad = results.iter().filter(|is_good| !**is_good).count();
    println!(
        "{} seeds, {bad} violations or not played, {:.0} s",
        results.len(),
        begun.elapsed().as_secs_f64()
    );
    Ok(bad == 0)
}

fn run_check(call: &Check) -> Result<bool, String> {
    let history = history::read_history(&call.history)?;
    if history.is_truncated {
        println!("the history was cut off: what its end would show is not checked");
    }
    let violations = checkers::check_history(&load_scenario(&call.scenario)?, &history);
    let played = RunReport { history, violations, max_lateness: 0, load_period: (0, 0) };
    print_report(&played);
    Ok(played.violations.is_empty())
}

/// Thousands of requests that wait at once hold six descriptors each, and several plays go on side by side.
const MAX_OPEN_FILES: u64 = 200_000;

fn main() -> ExitCode {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    // Only some may raise the upper bound; the others use what there is.
    if setrlimit(Resource::RLIMIT_NOFILE, MAX_OPEN_FILES, MAX_OPEN_FILES).is_err()
        && let Ok((_, most)) = getrlimit(Resource::RLIMIT_NOFILE)
    {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, most, most);
    }
    let Arguments { command } = argh::from_env();
    let done = match command {
        Command::Play(call) => run_play(&call),
        Command::Campaign(call) => run_campaign(&call),
        Command::Check(call) => run_check(&call),
        Command::Measure(call) => run_measure(&call),
        Command::Draw(call) => {
            print!("{}", generate(call.seed).to_toml());
            Ok(true)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(fault) => {
            eprintln!("doorproxy-processes: {fault}");
            ExitCode::from(2)
        }
    }
}
