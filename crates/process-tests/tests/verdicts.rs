//! Checks that the checker of fleet overrides reports real balancers that don't receive them. Fleets in which
//! they do are among the kept scenarios.

use doorproxy_process_tests::checkers;
use doorproxy_process_tests::cluster::{RunOptions, run_scenario};
use doorproxy_process_tests::scenario::{Fault, FaultKind, Scenario};
use doorproxy_test_servers::events::Event;

/// Detects a checker that no fleet can fail: all paths between the balancers are partitioned, and the
/// fault events that would excuse them are removed from the history.
#[test]
fn fleet_that_misses_an_override_is_found() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/fleet-word-outlives-its-author.toml");
    let mut scenario = Scenario::parse(&std::fs::read_to_string(path).unwrap()).unwrap();
    scenario.faults.truncate(1);
    (scenario.seconds, scenario.faults[0].duration_s) = (13.0, 12.0);
    let ejection = scenario.faults[0].clone();
    let partition = Fault {
        at: 0.0,
        kind: FaultKind::Partition,
        targets: String::new(),
        paths: "n*<->n*".to_string(),
        duration_s: 13.0,
        ..ejection
    };
    scenario.faults.insert(0, partition);
    let directory = tempfile::tempdir().unwrap();
    let mut report =
        run_scenario(&scenario, &RunOptions::with_built_program(directory.path()).unwrap()).unwrap();
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    report.history.lines.retain(|line| !matches!(line.event, Event::Fault { .. }));
    let violations = checkers::check_history(&scenario, &report.history);
    assert!(violations.iter().any(|violation| violation.rule == "fleet-ban"), "{violations:#?}");
}
