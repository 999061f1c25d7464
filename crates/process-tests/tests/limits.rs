//! Checks that the checker of fleet limits reports real fleets that exceed one: balancers without a limit,
//! and balancers that each admit the limit of the whole fleet. Fleets that keep their limits are among the
//! kept scenarios.

use std::collections::BTreeSet;

use doorproxy_process_tests::checkers;
use doorproxy_process_tests::cluster::{RunOptions, run_scenario};
use doorproxy_process_tests::scenario::Scenario;

/// Returns the rules that are violated when the scenario runs with a change that the checker doesn't know of.
fn violated_rules(change: impl Fn(&mut Scenario)) -> BTreeSet<&'static str> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/limit-with-floors-in-halves.toml");
    let mut checked = Scenario::parse(&std::fs::read_to_string(path).unwrap()).unwrap();
    checked.seconds = 10.0;
    checked.faults.truncate(1);
    let mut changed = checked.clone();
    change(&mut changed);
    let directory = tempfile::tempdir().unwrap();
    let report = run_scenario(&changed, &RunOptions::with_built_program(directory.path()).unwrap()).unwrap();
    checkers::check_history(&checked, &report.history).into_iter().map(|violation| violation.rule).collect()
}

/// Detects a checker that no fleet can fail.
#[test]
fn fleet_that_exceeds_its_limit_is_found() {
    let over_limit = BTreeSet::from(["over-limit"]);
    assert_eq!(violated_rules(|scenario| scenario.fleet.limit = None), over_limit);
    // Three disconnected balancers admit the whole limit each, where the stated fallback rate is 5 per
    // second.
    assert_eq!(violated_rules(|scenario| scenario.fleet.fallback_rate = scenario.fleet.limit), over_limit);
}
