//! Figures derived from the latest samples.

use super::{FLEET_SAMPLES, RoundMedian, SERVICE_TIME_ROUNDS, Sample};
use crate::ids::Ticks;
use crate::route_table::PoolIndex;
use crate::samples::SampleWindow;

/// Figures of all endpoints together and of each pool.
pub struct Summary {
    pub median_duration: Ticks,
    /// The 90th percentile of attempt durations.
    pub p90_duration: Ticks,
    /// The mean cost estimate in core seconds.
    pub mean_cost: f64,
    /// By pool; `None` if nothing has been measured there.
    pub pools: Vec<Option<ServiceTimes>>,
}

/// The service times of a pool.
#[derive(Clone, Copy)]
pub struct ServiceTimes {
    /// The mean duration of an attempt, including long ones.
    pub mean: Ticks,
    /// The median duration in seconds per core second of the cost estimate.
    pub median: f64,
    /// The median without congestion: the lowest median of the last rounds. Under congestion all recent
    /// samples include queueing, which would be taken for the endpoints' own speed.
    pub unloaded: f64,
}

/// Returns the quantile `fraction` (0..=1) of durations, or zero without samples.
pub(super) fn duration_quantile(samples: &SampleWindow<Sample, FLEET_SAMPLES>, fraction: f64) -> Ticks {
    let secs = samples.quantile(fraction, |sample| Some(sample.duration.as_secs_f64()));
    Ticks::from_secs_f64(secs.unwrap_or(0.0))
}

/// Returns the median service time of a pool's samples, or `None` if it has none.
pub(super) fn median_service_time(
    samples: &SampleWindow<Sample, FLEET_SAMPLES>,
    pool: PoolIndex,
) -> Option<f64> {
    samples.quantile(0.5, |sample| (sample.pool == pool).then_some(sample.service_time))
}

/// Returns the figures of one pool, or `None` if nothing was ever measured there. `fallback_mean` is used as
/// the mean if the pool's samples have been dropped.
pub(super) fn service_times(
    samples: &SampleWindow<Sample, FLEET_SAMPLES>,
    rounds: &SampleWindow<RoundMedian, SERVICE_TIME_ROUNDS>,
    pool: PoolIndex,
    fallback_mean: Ticks,
) -> Option<ServiceTimes> {
    let median = median_service_time(samples, pool);
    let past_medians = rounds.iter().filter(|round| round.pool == pool).map(|round| round.service_time);
    let unloaded = past_medians.min_by(f64::total_cmp).or(median)?;
    let mean = mean_duration(samples, pool).unwrap_or(fallback_mean);
    Some(ServiceTimes { mean, median: median.unwrap_or(unloaded), unloaded })
}

fn mean_duration(samples: &SampleWindow<Sample, FLEET_SAMPLES>, pool: PoolIndex) -> Option<Ticks> {
    let mut count = 0.0;
    let mut total_secs = 0.0;
    for sample in samples.iter().filter(|sample| sample.pool == pool) {
        count += 1.0;
        total_secs += sample.duration.as_secs_f64();
    }
    (count > 0.0).then(|| Ticks::from_secs_f64(total_secs / count))
}
