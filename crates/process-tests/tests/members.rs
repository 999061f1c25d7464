//! Checks that counting members protects warming endpoints when the settings state too few balancers.

use std::collections::BTreeSet;

use doorproxy_process_tests::cluster::{RunOptions, run_scenario};
use doorproxy_process_tests::scenario::Scenario;

/// Runs the scenario with these seeds concurrently and returns the violated rules.
fn violated_rules(registry_replicas: Option<usize>, seeds: std::ops::Range<u64>) -> BTreeSet<&'static str> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/scenarios/settings-too-low-counted.toml");
    let mut scenario = Scenario::parse(&std::fs::read_to_string(path).unwrap()).unwrap();
    scenario.fleet.registry_replicas = registry_replicas;
    std::thread::scope(|scope| {
        let runs: Vec<_> = seeds
            .map(|seed| {
                let scenario = Scenario { seed, ..scenario.clone() };
                scope.spawn(move || {
                    let directory = tempfile::tempdir().unwrap();
                    run_scenario(&scenario, &RunOptions::with_built_program(directory.path()).unwrap())
                        .unwrap()
                        .violated_rules()
                })
            })
            .collect();
        runs.into_iter().flat_map(|run| run.join().unwrap()).collect()
    })
}

/// Detects a member count without effect. The settings state one balancer and twelve run, so without
/// the count each sends a warming endpoint as much work as it can take in all. With the count no run violates
/// a rule; the scenario itself is among the kept ones.
#[test]
fn without_member_count_twelve_balancers_overload_an_upstream() {
    assert_eq!(violated_rules(None, 1..7), BTreeSet::from(["cold"]));
    assert_eq!(violated_rules(Some(3), 1..4), BTreeSet::new());
}
