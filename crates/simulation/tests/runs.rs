//! Tests that fixed seeds and kept scenarios break no rule, that a seed determines its run, that each hard
//! case occurs in the scenario that aims at it, and that the checker finds each mutant.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use doorproxy_simulation::generator;
use doorproxy_simulation::hard_cases::HardCase;
use doorproxy_simulation::mutants::Mutant;
use doorproxy_simulation::runner::{RunReport, run_scenario};
use doorproxy_simulation::scenario::Scenario;
use doorproxy_simulation::shrink::shrink;
use expect_test::expect;

/// Calls `each` for every item, on all cores. Returns the results in the order of the items.
fn map_on_all_cores<T: Sync, R: Send>(work: &[T], each: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let work_on_items = || {
        while let Some(item) = work.get(next.fetch_add(1, Ordering::Relaxed)) {
            let index = (item as *const T as usize - work.as_ptr() as usize) / size_of::<T>().max(1);
            let result = each(item);
            done.lock().unwrap().insert(index, result);
        }
    };
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    std::thread::scope(|scope| (0..cores).for_each(|_| drop(scope.spawn(work_on_items))));
    done.into_inner().unwrap().into_values().collect()
}

fn load_scenarios(folder: &str) -> Vec<(String, Scenario)> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(folder);
    let mut found: Vec<(String, Scenario)> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|path| {
            let name = path.file_stem().unwrap().to_string_lossy().into_owned();
            (name, std::fs::read_to_string(&path).unwrap().parse().unwrap())
        })
        .collect();
    found.sort_by(|(one, _), (other, _)| one.cmp(other));
    found
}

/// Returns the fixed seeds whose scenarios break a rule, each with its violation.
fn broken_seeds(generate: fn(u64) -> Scenario) -> Vec<String> {
    let seeds: Vec<u64> = (0..300).collect();
    let broken = map_on_all_cores(&seeds, |&seed| {
        let report = run_scenario(&generate(seed), None, false);
        report.violation.map(|found| format!("seed {seed}: {found:?}"))
    });
    broken.into_iter().flatten().collect()
}

#[test]
fn fixed_seeds_break_no_rule() {
    assert_eq!(broken_seeds(generator::generate_scenario), Vec::<String>::new());
}

#[test]
fn fixed_seeds_with_sidecars_break_no_rule() {
    assert_eq!(broken_seeds(generator::generate_sidecar_scenario), Vec::<String>::new());
}

/// Prevents that a sidecar that is asked to shut down ends without a response to a request that it has taken, in
/// any phase and with any reload, while clients go on sending to it and endpoints hang.
#[test]
fn shutdown_seeds_with_sidecars_break_no_rule() {
    assert_eq!(broken_seeds(generator::generate_shutdown_scenario), Vec::<String>::new());
}

/// Checks that fixed bugs do not return. Each scenario is shrunk from a seed that broke a rule.
#[test]
fn kept_scenarios_break_no_rule() {
    let broken = map_on_all_cores(&load_scenarios("kept"), |(name, scenario)| {
        run_scenario(scenario, None, false).violation.map(|found| format!("{name}: {found:?}"))
    });
    let broken: Vec<String> = broken.into_iter().flatten().collect();
    assert_eq!(broken, Vec::<String>::new());
}

#[test]
fn each_hard_case_occurs_and_breaks_no_rule() {
    let verdicts = map_on_all_cores(&load_scenarios("cases"), |(name, scenario)| {
        let report = run_scenario(scenario, None, false);
        let case = HardCase::ALL[name[..2].parse::<usize>().unwrap()].name();
        let count = report.coverage.hard_cases.0.get(case).copied().unwrap_or(0);
        let verdict = report.violation.map_or("no rule broken".to_string(), |found| format!("{found:?}"));
        format!("{case}: {}, {verdict}\n", if count > 0 { "occurred" } else { "did not occur" })
    });
    expect![[r#"
        a drain notice at the time of a retry: occurred, no rule broken
        a non-idempotent request times out and is answered later: occurred, no rule broken
        an answer at the deadline: occurred, no rule broken
        a close crosses a request, which the client sends again: occurred, no rule broken
        a server dies between the last byte of a request and the answer: occurred, no rule broken
        an address gets a new server while an attempt connects: occurred, no rule broken
        a discovery outage together with the loss of a zone: occurred, no rule broken
        SIGTERM during a request storm: occurred, no rule broken
        a balancer is killed and its requests are retried through another: occurred, no rule broken
        all servers warm up together: occurred, no rule broken
    "#]]
    .assert_eq(&verdicts.concat());
}

#[test]
fn runs_of_a_seed_are_identical() {
    let seeds: Vec<u64> = (40..52).collect();
    let run = |&seed: &u64| run_scenario(&generator::generate_scenario(seed), None, true);
    let sequential: Vec<RunReport> = seeds.iter().map(run).collect();
    let traces =
        |reports: &[RunReport]| reports.iter().map(|report| report.trace.clone()).collect::<Vec<_>>();
    assert!(sequential.iter().all(|report| report.trace.lines().count() > 100));
    assert!(traces(&sequential) == traces(&map_on_all_cores(&seeds, run)), "two runs of a seed differ");
    // Other processes with other numbers of threads must produce the same events and the same trace,
    // including log lines.
    let sums_of_process = |jobs: &str| {
        let folder = tempfile::tempdir().unwrap();
        let (events, lines) = (folder.path().join("events"), folder.path().join("lines"));
        let mut run = Command::new(env!("CARGO_BIN_EXE_doorproxy-faults"));
        run.args(["run", "--seeds", "40..52", "--jobs", jobs]);
        run.arg("--sums").arg(&events).arg("--trace-sums").arg(&lines);
        assert!(run.output().unwrap().status.success());
        [events, lines].map(|path| std::fs::read_to_string(path).unwrap())
    };
    let each = |text: &dyn Fn(&RunReport) -> String| -> String {
        let lines = seeds.iter().zip(&sequential);
        lines.map(|(seed, report)| format!("{seed} {}\n", text(report))).collect()
    };
    let expected = [
        each(&|report| report.events.to_string()),
        each(&|RunReport { trace, .. }| {
            format!("{:08x} {}", crc32c::crc32c(trace.as_bytes()), trace.lines().count())
        }),
    ];
    assert_eq!(expected, sums_of_process("1"));
    assert_eq!(expected, sums_of_process("8"));
}

/// The seeds of the committed files that are checked. They are fewer than the files hold, to limit the time
/// that a debug build needs.
const SUMMED_SEEDS: std::ops::Range<u64> = 0..300;
const SUMMED_SIDECAR_SEEDS: std::ops::Range<u64> = 0..100;

/// Returns the seeds whose events differ from the committed file, each as `seed sum count` of the file and of
/// this program.
fn changed_seeds(
    file: &str,
    seeds: std::ops::Range<u64>,
    scenario: impl Fn(u64) -> Scenario + Sync,
) -> Vec<[String; 2]> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests").join(file);
    let committed = std::fs::read_to_string(path).unwrap();
    let committed: Vec<String> = committed.lines().map(String::from).collect();
    let seeds: Vec<u64> = seeds.collect();
    let actual = map_on_all_cores(&seeds, |&seed| {
        format!("{seed} {}", run_scenario(&scenario(seed), None, false).events)
    });
    assert!(committed.len() >= actual.len(), "{file} has {} seeds", committed.len());
    let both = committed.into_iter().zip(actual).map(|(committed, actual)| [committed, actual]);
    both.filter(|[committed, actual]| committed != actual).collect()
}

/// Detects unintended changes of behaviour. The sums cover the numbers of events alone, such as times,
/// hosts and statuses, and not the text of log lines or traces. A change that is meant to alter behaviour
/// rewrites the file with `cargo run --release -p doorproxy-simulation -- run --seeds 0..2000 --sums FILE`,
/// where `FILE` is `crates/simulation/tests/sums.txt`.
#[test]
fn events_match_the_committed_sums() {
    assert_eq!(
        changed_seeds("sums.txt", SUMMED_SEEDS, generator::generate_scenario),
        Vec::<[String; 2]>::new()
    );
}

/// Checks the same with sidecars. The file is rewritten with `--sidecar --seeds 0..100` and
/// `sidecar-sums.txt`.
#[test]
fn events_with_sidecars_match_the_committed_sums() {
    let changed =
        changed_seeds("sidecar-sums.txt", SUMMED_SIDECAR_SEEDS, generator::generate_sidecar_scenario);
    assert_eq!(changed, Vec::<[String; 2]>::new());
}

/// Detects a checker that misses violations: it must find every mutant, and shrinking must leave few
/// faults.
#[test]
fn each_mutant_is_found() {
    let found = map_on_all_cores(Mutant::ALL, |&mutant| {
        let generate = match mutant {
            Mutant::UnexpiredAtExit => generator::generate_shutdown_scenario,
            _ => generator::generate_scenario,
        };
        let first = (0..500).find_map(|seed| {
            let scenario = generate(seed);
            let rule = run_scenario(&scenario, Some(mutant), false).violation?.rule;
            mutant.rules().contains(&rule).then_some((scenario, rule))
        });
        let Some((scenario, rule)) = first else { return format!("{}: not found\n", mutant.name()) };
        let (small, _) = shrink(&scenario, rule, Some(mutant));
        let is_small = if small.faults.len() <= 8 { "small" } else { "large" };
        format!("{}: {rule}, {is_small}\n", mutant.name())
    });
    expect![[r#"
        repeated-non-idempotent: repeated, small
        repeat-after-window: repeated, small
        repeat-outside-scope: repeated, small
        attempt-after-drain: drain, small
        second-answer: second-answer, small
        no-answer: unanswered, small
        previous-answer: wrong-answer, small
        slow-start-overload: cold, small
        rejection-after-execution: nack-after-run, small
        leaked-task: leak, small
        lost-wake-up: unanswered, small
        attempt-after-answer: push-after-answer, small
        altered-request: altered-op, small
        attempt-after-ejection: ban, small
        streamed-twice: streamed-twice, small
        truncated-answer: wrong-answer, small
        unexpired-at-exit: lost, small
    "#]]
    .assert_eq(&found.concat());
}

#[test]
fn scenario_text_round_trips() {
    for seed in 0..200 {
        let scenario = generator::generate_scenario(seed);
        assert_eq!(Ok(&scenario), scenario.to_string().parse::<Scenario>().as_ref());
    }
    let faults = [
        "at 1s kill server it for 1s",
        "at 1 kill server 1 for 1s",
        "on retry x drain server it for 1s",
        "rate 0",
    ];
    let errors = faults.map(|text| text.parse::<Scenario>().unwrap_err().to_string());
    expect![[r#"
        line 1: "at 1s kill server it for 1s": not a fault such as "at 1s kill server 0 for 2s"
        line 1: "at 1 kill server 1 for 1s": not a fault such as "at 1s kill server 0 for 2s"
        line 1: "on retry x drain server it for 1s": not a fault such as "at 1s kill server 0 for 2s"
        line 1: "rate 0": value is not a rate; accepted are 0.1 to below 100000 requests per second"#]]
    .assert_eq(&errors.join("\n"));
}
