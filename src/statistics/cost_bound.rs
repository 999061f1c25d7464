//! Cost estimates of recent requests, and the bound up to which a request counts as small.

use crate::samples::SampleWindow;

/// The number of estimates kept. With a heavy-tailed distribution, the bound is stable only over a few
/// hundred.
const ESTIMATES: usize = 256;
/// The number of estimates between two computations of the bound. Sorting the estimates for every request
/// would take too much CPU time.
const ESTIMATES_BETWEEN_BOUNDS: usize = 32;

/// The last cost estimates in core seconds.
#[derive(Default)]
pub struct CostEstimates {
    recent: SampleWindow<f64, ESTIMATES>,
    count: usize,
    small_bound: f64,
}

impl CostEstimates {
    /// Records an estimate. `small_ratio` (0..=1) is the fraction of all work that small requests should make
    /// up.
    pub fn record(&mut self, estimate: f64, small_ratio: f64) {
        self.recent.put(estimate);
        self.count += 1;
        // The bound is computed early too, from few estimates: without it, the small pool would stay idle and
        // the default pool would start congested.
        let is_early = self.count < ESTIMATES_BETWEEN_BOUNDS && self.count.is_power_of_two();
        if is_early || self.count.is_multiple_of(ESTIMATES_BETWEEN_BOUNDS) {
            self.small_bound = bound_of_work(self.recent.iter().copied().collect(), small_ratio);
        }
    }

    /// Returns the largest estimate of a small request.
    pub fn small_bound(&self) -> f64 {
        self.small_bound
    }

    /// Returns the mean of the last estimates, or 1 if there are none.
    pub fn mean(&self) -> f64 {
        if self.recent.is_empty() {
            return 1.0;
        }
        self.recent.iter().sum::<f64>() / self.recent.len() as f64
    }

    pub fn iter(&self) -> impl Iterator<Item = &f64> {
        self.recent.iter()
    }
}

/// Returns the estimate up to which requests make up `ratio` of the total work. Equal estimates stay on the
/// same side of the bound, whichever is nearer, because a class may give all its requests the same estimate.
fn bound_of_work(mut estimates: Vec<f64>, ratio: f64) -> f64 {
    estimates.sort_unstable_by(f64::total_cmp);
    let mut work_left = estimates.iter().sum::<f64>() * ratio;
    let mut bound = 0.0;
    for equal in estimates.chunk_by(|a, b| a == b) {
        let work: f64 = equal.iter().sum();
        if work_left < work / 2.0 {
            break;
        }
        work_left -= work;
        bound = equal[0];
    }
    bound
}
