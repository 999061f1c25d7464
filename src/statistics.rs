//! Measurements of recent attempts, and the figures that the rules use.

mod cost_bound;
mod summary;

use std::collections::BTreeMap;

use crate::endpoint::EndpointIndex;
use crate::ids::{Ticks, Timestamp};
use crate::route_table::PoolIndex;
use crate::samples::SampleWindow;

pub use cost_bound::CostEstimates;
pub use summary::{ServiceTimes, Summary};

/// The number of samples across all endpoints: enough to distinguish the 90th percentile from the median, but
/// few enough that a past fault is forgotten within seconds.
const FLEET_SAMPLES: usize = 128;
/// The number of outcomes kept for outlier detection, enough to see a rare failure at more than one endpoint.
const OUTCOMES: usize = 512;
/// The number of past median service times, enough that a minute of congestion is not taken for normal.
const SERVICE_TIME_ROUNDS: usize = 128;
/// The number of answers between summaries. Every request needs several of the figures, and computing them
/// each time would take too much CPU time.
const ANSWERS_BETWEEN_SUMMARIES: usize = 16;
/// The number of samples per endpoint: enough to average over which of them met a cached key, few enough to
/// follow a burst. This many samples are kept regardless of their age.
pub const ENDPOINT_SAMPLES: usize = 8;

/// The measurement of one finished attempt.
#[derive(Clone, Copy)]
pub struct Sample {
    pub at: Timestamp,
    pub endpoint: EndpointIndex,
    pub pool: PoolIndex,
    pub duration: Ticks,
    /// The duration in seconds per core second of the cost estimate.
    pub service_time: f64,
    /// The seconds that the cost estimate explains in an unloaded pool.
    pub expected_secs: f64,
}

/// Whether an attempt failed, and at which endpoint.
#[derive(Clone, Copy)]
struct OutcomeSample {
    at: Timestamp,
    endpoint: EndpointIndex,
    has_failed: bool,
}

/// Failures at one endpoint, compared with the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureCounts {
    /// Failed attempts at the endpoint.
    pub own: f64,
    /// Other endpoints that have responded.
    pub others: f64,
    /// Other endpoints at which any attempt failed.
    pub failing_others: f64,
}

/// The median service time of a pool in one round of samples.
#[derive(Clone, Copy)]
pub struct RoundMedian {
    pub pool: PoolIndex,
    pub service_time: f64,
}

/// Recent measurements and their [`Summary`].
#[derive(Default)]
pub struct Statistics {
    pub samples: SampleWindow<Sample, FLEET_SAMPLES>,
    pub rounds: SampleWindow<RoundMedian, SERVICE_TIME_ROUNDS>,
    pub cost_estimates: CostEstimates,
    /// The attempts measured since the start.
    pub answer_count: usize,
    /// `None` before the first sample.
    pub summary: Option<Summary>,
    outcomes: SampleWindow<OutcomeSample, OUTCOMES>,
    summarized_at: Timestamp,
}

impl Statistics {
    /// Records the duration of an attempt. Samples older than `max_age` are dropped until
    /// [`ENDPOINT_SAMPLES`] are left.
    ///
    /// With many balancers, the last samples of one balancer can cover half a minute. Without the age limit,
    /// rules would use figures from before a fault.
    pub fn record_sample(&mut self, sample: Sample, max_age: Ticks, pool_count: usize) {
        let now = sample.at;
        self.samples.put(sample);
        self.answer_count += 1;
        while self.samples.len() > ENDPOINT_SAMPLES
            && self.samples.oldest().is_some_and(|oldest| now - oldest.at > max_age)
        {
            self.samples.drop_oldest();
        }
        if self.is_summary_due(now) {
            self.summarized_at = now;
            let is_round_over = self.is_round_over();
            self.summarize(pool_count, is_round_over);
        }
    }

    /// Returns whether the summary is due: after each of the first answers, after a fixed number of answers,
    /// and after a median duration.
    fn is_summary_due(&self, now: Timestamp) -> bool {
        let is_early = self.answer_count <= ANSWERS_BETWEEN_SUMMARIES;
        let is_batch_complete = self.answer_count.is_multiple_of(ANSWERS_BETWEEN_SUMMARIES);
        is_early || is_batch_complete || now - self.summarized_at >= self.median_duration()
    }

    /// Returns whether a round ends. The first answers form a round as well: if congestion follows the start,
    /// only they show service times without it.
    fn is_round_over(&self) -> bool {
        self.answer_count == ANSWERS_BETWEEN_SUMMARIES || self.answer_count.is_multiple_of(FLEET_SAMPLES / 2)
    }

    /// Recomputes the summary. At the end of a round, the median service time of each pool is kept.
    pub fn summarize(&mut self, pool_count: usize, is_round_over: bool) {
        let median_duration = summary::duration_quantile(&self.samples, 0.5);
        let mut pools = Vec::with_capacity(pool_count);
        for pool in 0..pool_count {
            let median = summary::median_service_time(&self.samples, pool);
            if let Some(service_time) = median.filter(|_| is_round_over) {
                self.rounds.put(RoundMedian { pool, service_time });
            }
            pools.push(summary::service_times(&self.samples, &self.rounds, pool, median_duration));
        }
        self.summary = Some(Summary {
            median_duration,
            p90_duration: summary::duration_quantile(&self.samples, 0.9),
            mean_cost: self.cost_estimates.mean(),
            pools,
        });
    }

    /// Records whether an attempt failed.
    pub fn record_outcome(&mut self, at: Timestamp, endpoint: EndpointIndex, has_failed: bool) {
        self.outcomes.put(OutcomeSample { at, endpoint, has_failed });
    }

    /// Counts failures at this endpoint and at the others since the given time.
    pub fn failures(&self, since: Timestamp, endpoint: EndpointIndex) -> FailureCounts {
        let mut own = 0.0;
        let mut has_failed_at: BTreeMap<EndpointIndex, bool> = BTreeMap::new();
        for outcome in self.outcomes.iter().rev().take_while(|outcome| outcome.at >= since) {
            if outcome.endpoint == endpoint {
                own += f64::from(u8::from(outcome.has_failed));
            } else {
                *has_failed_at.entry(outcome.endpoint).or_insert(false) |= outcome.has_failed;
            }
        }
        let failing_others = has_failed_at.values().filter(|has_failed| **has_failed).count() as f64;
        FailureCounts { own, others: has_failed_at.len() as f64, failing_others }
    }

    /// Returns the last samples of one endpoint, latest first, at most [`ENDPOINT_SAMPLES`].
    pub fn samples_of(&self, endpoint: EndpointIndex) -> impl Iterator<Item = &Sample> {
        self.samples.iter().rev().filter(move |sample| sample.endpoint == endpoint).take(ENDPOINT_SAMPLES)
    }

    /// Returns the service times of a pool, or `None` before its first answer.
    pub fn service_times(&self, pool: PoolIndex) -> Option<ServiceTimes> {
        self.summary.as_ref()?.pools[pool]
    }

    /// Returns the median duration of attempts, or zero before the first answer.
    pub fn median_duration(&self) -> Ticks {
        self.summary.as_ref().map_or(Ticks::ZERO, |summary| summary.median_duration)
    }

    /// Returns the 90th percentile of attempt durations, or one second before the first answer.
    pub fn p90_duration(&self) -> Ticks {
        self.summary.as_ref().map_or(Ticks::from_secs_f64(1.0), |summary| summary.p90_duration)
    }

    /// Returns the mean cost estimate in core seconds, or 1 before the first answer.
    pub fn mean_cost(&self) -> f64 {
        self.summary.as_ref().map_or(1.0, |summary| summary.mean_cost)
    }

    /// Returns the median service time of the fastest pool in seconds per core second, or `None` before the
    /// first answer.
    pub fn fastest_service_time(&self) -> Option<f64> {
        let pools = self.summary.as_ref()?.pools.iter().flatten();
        pools.map(|service_times| service_times.median).min_by(f64::total_cmp)
    }
}
