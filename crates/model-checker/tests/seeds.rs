//! Checks that the runner of seeds returns the smallest failing seed.

use doorproxy_model_checker::{FailedSeed, OnFailure, first_failing_seed};

fn fail_from(first_failing: u64) -> impl Fn(u64) -> Option<String> + Sync {
    move |seed| (seed >= first_failing).then(|| format!("seed {seed} failed"))
}

#[test]
fn the_smallest_failing_seed_is_returned() {
    let expected = FailedSeed { seed: 7, reason: "seed 7 failed".to_string() };
    assert_eq!(first_failing_seed(40, OnFailure::Continue, fail_from(7)), Some(expected));
    assert_eq!(first_failing_seed(7, OnFailure::Continue, fail_from(7)), None);
    assert!(first_failing_seed(40, OnFailure::Stop, fail_from(7)).is_some_and(|failure| failure.seed >= 7));
}
