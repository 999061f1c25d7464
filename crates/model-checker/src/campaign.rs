//! Sizes of runs, which environment variables can raise for a long campaign.

use std::str::FromStr;

const MAX_STATES_VARIABLE: &str = "DOORPROXY_STATES";
const SEED_COUNT_VARIABLE: &str = "DOORPROXY_SEEDS";

/// Returns how many states to visit per model: the value of `DOORPROXY_STATES`, or the default.
pub fn max_states(default: usize) -> usize {
    number_from_environment(MAX_STATES_VARIABLE).unwrap_or(default)
}

/// Returns how many seeds to run: the value of `DOORPROXY_SEEDS`, or the default.
pub fn seed_count(default: u64) -> u64 {
    number_from_environment(SEED_COUNT_VARIABLE).unwrap_or(default)
}

fn number_from_environment<N: FromStr>(variable: &str) -> Option<N> {
    std::env::var(variable).ok()?.parse().ok()
}
