//! Runs each scenario of `tests/scenarios` on real processes, as a test named after its file.

use std::error::Error;
use std::path::{Path, PathBuf};

use doorproxy_process_tests::cluster::{RunOptions, run_scenario};
use doorproxy_process_tests::scenario::Scenario;
use libtest_mimic::{Arguments, Failed, Trial};

/// This many concurrent runs use about half of the cores of a usual machine.
const MAX_CONCURRENT_RUNS: usize = 5;

fn main() -> Result<(), Box<dyn Error>> {
    let mut arguments = Arguments::from_args();
    let requested = arguments.test_threads.unwrap_or(MAX_CONCURRENT_RUNS);
    arguments.test_threads = Some(requested.min(MAX_CONCURRENT_RUNS));
    let trials = scenario_files()?.into_iter().map(trial).collect::<Result<Vec<Trial>, _>>()?;
    libtest_mimic::run(&arguments, trials).exit();
}

fn scenario_files() -> std::io::Result<Vec<PathBuf>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let entries = std::fs::read_dir(directory)?;
    let mut files = entries.map(|entry| Ok(entry?.path())).collect::<std::io::Result<Vec<PathBuf>>>()?;
    files.sort();
    Ok(files)
}

fn trial(file: PathBuf) -> Result<Trial, String> {
    let stem = file.file_stem().and_then(|stem| stem.to_str());
    let name = stem.ok_or_else(|| format!("{}: the file name is not UTF-8", file.display()))?.to_string();
    Ok(Trial::test(name, move || runs_without_violations(&file)))
}

/// Runs a scenario and fails if it has a violation. Violations don't depend on the schedule: no time in a
/// scenario is tight, and none is measured.
fn runs_without_violations(file: &Path) -> Result<(), Failed> {
    let directory = tempfile::tempdir()?;
    let scenario = Scenario::parse(&std::fs::read_to_string(file)?)?;
    let report = run_scenario(&scenario, &RunOptions::with_built_program(directory.path())?)?;
    if !report.violations.is_empty() {
        return Err(format!("{:#?}", report.violations).into());
    }
    if report.history.lines.is_empty() {
        return Err("the history is empty".into());
    }
    Ok(())
}
