//! That the checker of words for the whole fleet sees real balancers that do not hear them. Those that do are
//! among the kept scenarios.

use doorproxy_process_tests::checkers;
use doorproxy_process_tests::cluster::{RunOptions, run_scenario};
use doorproxy_process_tests::scenario::{Fault, FaultKind, Scenario};
use doorproxy_test_servers::events::Event;

/// Guards against verdicts that no fleet could fail: all ways between the balancers are cut, and the checker
/// is not told.
#[test]
fn a_fleet_that_misses_operator_overrides_is_found() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/fleet-word-outlives-its-author.toml");
    let mut script = Scenario::parse(&std::fs::read_to_string(path).unwrap()).unwrap();
    script.faults.truncate(1);
    (script.seconds, script.faults[0].duration_s) = (13.0, 12.0);
    let usual = script.faults[0].clone();
    let cut = Fault {
        at: 0.0,
        kind: FaultKind::Partition,
        targets: String::new(),
        paths: "n*<->n*".to_string(),
        duration_s: 13.0,
        ..usual
    };
    script.faults.insert(0, cut);
    let folder = tempfile::tempdir().unwrap();
    let mut played = run_scenario(&script, &RunOptions::with_built_program(folder.path()).unwrap()).unwrap();
    assert!(played.findings.is_empty(), "{:#?}", played.findings);
    played.history.lines.retain(|line| !matches!(line.event, Event::Fault { .. }));
    let found = checkers::check_history(&script, &played.history);
    assert!(found.iter().any(|finding| finding.rule == "fleet-ban"), "{found:#?}");
}
