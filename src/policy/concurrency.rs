//! Limits how many attempts an endpoint receives at a time.
//!
//! Each endpoint has one concurrency limit for all balancers together, adjusted by additive increase and
//! multiplicative decrease (AIMD). A balancer uses only its share of the limit. A share of less than one
//! attempt is enforced by pacing: attempts then fill only that fraction of the time.

use super::Balancer;
use crate::effects::Effects;
use crate::endpoint::{Endpoint, EndpointIndex};
use crate::ids::{Ticks, Timestamp};
use crate::route_table::PoolIndex;

/// Lower bound of the limit for all balancers together. A lower one would leave cores idle.
pub(super) const MIN_LIMIT: f64 = 5.0;
/// Factor by which a decrease lowers the limit. A smaller factor leaves endpoints idle; a larger one lets
/// congestion persist.
const DECREASE_FACTOR: f64 = 0.8;
/// An endpoint is congested if its last answers took this multiple of the time that their cost explains. An
/// endpoint with many concurrent requests completes less work, so another pool or the queue is a better place
/// for the request.
const CONGESTION_FACTOR: f64 = 1.1;
/// The assumed duration of an attempt before the first answer, as a fraction of the shortest latency
/// objective.
const INITIAL_DURATION_RATIO: f64 = 0.25;

impl<E: Effects> Balancer<E> {
    /// Returns this balancer's share of an endpoint's limit, in attempts.
    pub(super) fn limit_share(&self, endpoint: &Endpoint) -> f64 {
        endpoint.limit.value / self.balancers_per_endpoint(endpoint.pool)
    }

    /// Returns the sum of this balancer's shares over all endpoints that it uses in a pool.
    fn pool_limit_share(&self, pool: PoolIndex) -> f64 {
        self.subset(pool).map(|entry| self.limit_share(&self.endpoints[entry.index])).sum()
    }

    /// Returns whether the pool may receive one more attempt. Only the sum of the endpoints' shares is
    /// rounded up: if hundreds of balancers each rounded up every share, they would exceed the limits many
    /// times over.
    pub(super) fn pool_has_capacity(&self, pool: PoolIndex) -> bool {
        let in_flight: u32 = self.subset(pool).map(|entry| self.endpoints[entry.index].in_flight).sum();
        f64::from(in_flight) < self.pool_limit_share(pool).max(1.0)
    }

    /// Returns whether the endpoint's own limit allows this balancer one more attempt.
    pub(super) fn is_within_limit(&self, endpoint: &Endpoint) -> bool {
        f64::from(endpoint.in_flight) < self.limit_share(endpoint).max(1.0)
    }

    /// Returns when the pool may receive its next attempt if this balancer's share is less than one. The
    /// pause starts at the end of the last attempt and is based on that attempt's duration or the mean,
    /// whichever is longer.
    pub(super) fn paced_until(&self, pool: PoolIndex) -> Timestamp {
        let endpoints = self.subset(pool).map(|entry| &self.endpoints[entry.index]);
        let Some(last) = endpoints.max_by_key(|endpoint| endpoint.idle_since) else {
            return Timestamp(i64::MIN);
        };
        let busy_time = self.typical_duration(pool).max(last.last_duration);
        last.idle_since + pacing_interval(busy_time, self.pool_limit_share(pool), self.settings.max_timeout())
    }

    /// Returns when the endpoint may receive its next probe request if its ejection is over. Without this
    /// pause, the probe requests of hundreds of balancers alone would keep the endpoint unhealthy.
    pub(super) fn probe_paced_until(&self, endpoint: &Endpoint) -> Timestamp {
        let busy_time = self.typical_duration(endpoint.pool).max(endpoint.last_duration);
        let share = self.limit_share(endpoint);
        endpoint.idle_since + pacing_interval(busy_time, share, self.settings.max_timeout())
    }

    /// Returns the mean duration of an attempt in the pool.
    pub(super) fn typical_duration(&self, pool: PoolIndex) -> Ticks {
        match self.statistics.service_times(pool) {
            Some(service_times) => service_times.mean,
            None => self.settings.min_latency_objective().mul_f64(INITIAL_DURATION_RATIO),
        }
    }

    /// Returns whether the endpoint's last answers took longer than their cost explains.
    pub(super) fn is_congested(&self, index: EndpointIndex) -> bool {
        let mut measured_secs = 0.0;
        let mut expected_secs = 0.0;
        for sample in self.statistics.samples_of(index) {
            measured_secs += sample.duration.as_secs_f64();
            expected_secs += sample.expected_secs;
        }
        measured_secs > CONGESTION_FACTOR * expected_secs
    }

    /// Raises the limit by one per round of answers for all balancers together: if each of ten balancers
    /// raised it by one, they would overshoot by ten. The limit grows faster before its first decrease,
    /// because an endpoint that has just warmed up would otherwise stay idle.
    pub(super) fn increase_limit(&mut self, index: EndpointIndex) {
        let balancers = self.balancers_per_endpoint(self.endpoints[index].pool);
        let limit = &mut self.endpoints[index].limit;
        let step = if limit.was_decreased { 1.0 } else { MIN_LIMIT.min(balancers) };
        limit.value += step / (limit.value / balancers).max(1.0);
    }

    /// Lowers the limit, at most once for all attempts that were in flight at the last decrease, because they
    /// say nothing about the lower limit. `duration` is the duration of the attempt that shows the
    /// congestion.
    pub(super) fn decrease_limit(&mut self, now: Timestamp, index: EndpointIndex, duration: Ticks) {
        let balancers = self.balancers_per_endpoint(self.endpoints[index].pool);
        let endpoint = &mut self.endpoints[index];
        if now - endpoint.limit.decreased_at <= duration {
            return;
        }
        let in_use = f64::from(endpoint.in_flight.max(1)) * balancers;
        let used_limit = endpoint.limit.value.min(in_use);
        endpoint.limit.decreased_at = now;
        endpoint.limit.value = (used_limit * DECREASE_FACTOR).max(MIN_LIMIT);
        endpoint.limit.was_decreased = true;
    }
}

/// Returns the pause after an attempt of `busy_time` that makes attempts fill `share` (0..1) of the time. The
/// pause is at most `max_pause`; after a longer one the balancer would not notice that congestion has ended.
fn pacing_interval(busy_time: Ticks, share: f64, max_pause: Ticks) -> Ticks {
    let pause = busy_time.mul_f64((1.0 / share - 1.0).max(0.0));
    pause.min(max_pause)
}
