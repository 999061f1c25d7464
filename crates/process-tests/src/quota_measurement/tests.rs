//! Tests of the scenarios of the cases.

use super::*;

#[test]
fn each_case_is_a_valid_scenario() {
    for case in CASES {
        let scenario = case.scenario(3);
        assert_eq!(Scenario::parse(&scenario.to_toml()).as_ref(), Ok(&scenario), "{}", case.name);
    }
}
