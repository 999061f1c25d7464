//! Tests of [`super`].

use super::*;

/// Detects a seed whose scenario is invalid, and one that generates different scenarios.
#[test]
fn every_seed_generates_one_valid_scenario() {
    for seed in 0..2000 {
        let scenario = generate(seed);
        let read =
            Scenario::parse(&scenario.to_toml()).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert_eq!((&read, &generate(seed)), (&scenario, &scenario), "seed {seed}");
    }
}
