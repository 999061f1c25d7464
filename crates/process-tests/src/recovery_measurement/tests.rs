//! Tests of the medians and the scenarios of the cases.

use super::*;

/// Detects an interval that is too narrow for few runs. For 20 values, statistical tables give the
/// sixth and the fifteenth as its bounds.
#[test]
fn median_has_its_confidence_interval() {
    let values: Vec<f64> = (1..=20).rev().map(f64::from).collect();
    assert_eq!(median(&values), Some(Median { median: 10.5, low: 6.0, high: 15.0 }));
    assert_eq!(median(&[3.0, 1.0, 2.0]), Some(Median { median: 2.0, low: 1.0, high: 3.0 }));
    assert_eq!(median(&[]), None);
}

#[test]
fn each_case_is_a_valid_scenario() {
    for case in CASES {
        let scenario = case.scenario(3);
        assert_eq!(Scenario::parse(&scenario.to_toml()).as_ref(), Ok(&scenario), "{}", case.name);
    }
}
