//! Tests of [`super`].

use super::*;
use crate::generator::generate;
use crate::scenario::FaultKind;

#[test]
fn parts_that_the_violation_does_not_need_are_removed() {
    let seeds = (0..200).map(generate);
    let has_fleet_fault = |scenario: &Scenario, kind| {
        scenario.faults.iter().any(|fault| fault.kind == kind && fault.targets == "n*")
    };
    let scenario = seeds
        .into_iter()
        .find(|scenario| has_fleet_fault(scenario, FaultKind::Kill) && scenario.faults.len() > 3)
        .unwrap();
    let mut shrinker = Shrinker::new(&scenario, |scenario| {
        has_fleet_fault(scenario, FaultKind::Kill) && scenario.fleet.balancers >= 2
    });
    let small = shrinker.shrink();
    assert_eq!((small.faults.len(), small.fleet.balancers), (1, 2));
    assert!(small.fleet.upstreams <= 1 && small.load.rate < scenario.load.rate);
}
