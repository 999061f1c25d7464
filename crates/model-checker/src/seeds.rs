//! Runs seeded simulations on several threads.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Sets how many simulations run at a time.
const THREAD_COUNT: usize = 8;

/// Describes a seed whose simulation has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailedSeed {
    /// Holds the seed.
    pub seed: u64,
    /// Says what went wrong.
    pub reason: String,
}

/// Says what to do after a seed has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnFailure {
    /// Starts no further seed, which is enough to show that a mutant is found.
    Stop,
    /// Runs all seeds, so that the result does not depend on the timing of threads.
    Continue,
}

/// Runs the seeds from 0 to `seed_count`, exclusive. `run` returns what went wrong, or `None`. Returns the
/// smallest failing seed among those that were run.
///
/// # Panics
/// Panics if `run` panics.
pub fn first_failing_seed(
    seed_count: u64,
    on_failure: OnFailure,
    run: impl Fn(u64) -> Option<String> + Sync,
) -> Option<FailedSeed> {
    let next_seed = AtomicU64::new(0);
    let first_failure = Mutex::new(None::<FailedSeed>);
    let run_seeds = || {
        loop {
            let seed = next_seed.fetch_add(1, Ordering::Relaxed);
            let is_stopped = on_failure == OnFailure::Stop && lock(&first_failure).is_some();
            if seed >= seed_count || is_stopped {
                return;
            }
            if let Some(reason) = run(seed) {
                keep_smaller(&mut lock(&first_failure), FailedSeed { seed, reason });
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREAD_COUNT {
            scope.spawn(run_seeds);
        }
    });
    first_failure.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn keep_smaller(first_failure: &mut Option<FailedSeed>, failure: FailedSeed) {
    if first_failure.as_ref().is_none_or(|first| failure.seed < first.seed) {
        *first_failure = Some(failure);
    }
}

/// Locks the mutex, ignoring poisoning: no thread panics while it holds the lock, so the value is intact.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
