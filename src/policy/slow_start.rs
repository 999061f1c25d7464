//! Limits the work that an endpoint receives while it warms up.
//!
//! A warming endpoint can do only a fraction of its full work, and fails if all balancers together send it
//! more than a configured multiple of that. Each balancer observes limits of its own that together stay below
//! this multiple:
//!
//! - The work budget is based on what warm endpoints answer to this balancer. That is already the balancer's
//!   share and does not depend on the number of balancers: when another balancer starts, the budget shrinks
//!   as traffic moves.
//! - The spare work is divided by the number of balancers: the configured number or, with membership, the
//!   counted one (`Settings::balancer_count` and `SlowStart::fleet_ratio`, set by
//!   `Dispatcher::set_fleet_share`).

use super::Balancer;
use crate::effects::Effects;
use crate::endpoint::Endpoint;
use crate::ids::{Ticks, Timestamp};
use crate::request::Request;
use crate::settings::SlowStart;
use crate::statistics::ENDPOINT_SAMPLES;

/// The fraction of a warming endpoint's allowed work that is used. Its capacity is estimated from other
/// endpoints, and one failed endpoint costs more than several that are idle for seconds.
const SAFETY_RATIO: f64 = 0.8;
/// Sustained work is recomputed after this fraction of the overload window.
const REFRESH_RATIO: f64 = 0.05;
/// Divides the number of warm endpoints to get the rank of the one whose sustained work is the estimate: the
/// lower quartile. A warming endpoint may be slower than others of its kind, or share a limit with its
/// neighbours.
const LOWER_QUANTILE_DIVISOR: usize = 4;

/// The work that the lower quartile of warm endpoints answers in an overload window, by pool, in core seconds
/// per unit of weight.
#[derive(Default)]
pub struct SustainedWork {
    /// By pool; `None` until a warm endpoint has been seen.
    pub by_pool: Vec<Option<f64>>,
    computed_at: Option<Timestamp>,
}

impl SustainedWork {
    pub(super) fn invalidate(&mut self) {
        self.computed_at = None;
    }

    fn is_fresh(&self, now: Timestamp, window: Ticks) -> bool {
        self.computed_at.is_some_and(|at| now - at < window.mul_f64(REFRESH_RATIO))
    }

    /// Stores new values. A pool without warm endpoints keeps its last value, which is still the best
    /// estimate.
    fn update(&mut self, now: Timestamp, current: Vec<Option<f64>>) {
        self.computed_at = Some(now);
        let previous = std::mem::take(&mut self.by_pool).into_iter().chain(std::iter::repeat(None));
        self.by_pool = current.into_iter().zip(previous).map(|(new, old)| new.or(old)).collect();
    }
}

impl<E: Effects> Balancer<E> {
    /// Returns the fraction of its full capacity that an endpoint is certain to have reached, in 0..=1.
    pub(super) fn capacity_fraction(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        self.settings.slow_start.capacity_fraction(now, endpoint.started_at)
    }

    /// Returns whether a warming endpoint may get the request. `fraction` is its capacity fraction.
    pub(super) fn slow_start_allows(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        fraction: f64,
    ) -> bool {
        if !self.is_in_subset(endpoint) {
            return false;
        }
        let is_small = self.fits_spare_work(now, request, endpoint, fraction);
        let is_load_known = self.is_load_known(now, endpoint);
        if is_load_known || self.can_probe(request, endpoint) {
            return !is_load_known || is_small;
        }
        if is_small && self.is_idle_without_unfinished_work(now, endpoint) {
            return true;
        }
        match self.sustained_work.by_pool[endpoint.pool] {
            Some(sustained) => self.is_within_work_budget(now, request, endpoint, fraction, sustained),
            None => self.allows_single_request(now, request, endpoint, fraction),
        }
    }

    /// Returns whether this balancer's subset normally contains the endpoint. Budgets are computed for the
    /// few balancers whose subset does, and not for all that might use it in place of an ejected endpoint.
    fn is_in_subset(&self, endpoint: &Endpoint) -> bool {
        let ring = &self.rings[endpoint.pool];
        ring.iter().take(self.subset_size(endpoint.pool)).any(|entry| entry.id == endpoint.id)
    }

    /// Returns whether one such request of each balancer at a time fits into what the endpoint can take
    /// beyond the work that it finishes. The work sent to it is then at most what it finishes plus these
    /// requests. If its load is known, only this request counts.
    fn fits_spare_work(&self, now: Timestamp, request: &Request, endpoint: &Endpoint, fraction: f64) -> bool {
        let service_times = self.statistics.service_times(endpoint.pool);
        let service_time = service_times.map_or(1.0, |service_times| service_times.unloaded);
        let concurrent_work = if self.is_load_known(now, endpoint) {
            request.cost
        } else {
            self.charged_cost(request) * self.balancers_per_endpoint(endpoint.pool)
        };
        concurrent_work * service_time <= spare_work(&self.settings.slow_start, fraction)
    }

    /// Returns whether the endpoint has none of this balancer's attempts in flight and left none unfinished
    /// in the last overload window.
    fn is_idle_without_unfinished_work(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let window = self.settings.slow_start.overload_window;
        let unfinished_at = endpoint.slow_start.unfinished_at;
        endpoint.in_flight == 0 && unfinished_at.is_none_or(|at| now - at >= window)
    }

    /// Returns whether an endpoint of unknown capacity may get one small request at a time, which it can only
    /// finish as fast as it is able to. A rejected request has cost it work as well, so a pause follows a
    /// rejection.
    fn allows_single_request(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        fraction: f64,
    ) -> bool {
        let slow_start = &self.settings.slow_start;
        let limit = &endpoint.limit;
        let has_paused = !limit.was_decreased || now - limit.decreased_at >= rejection_pause(slow_start);
        let max_cost = self.statistics.mean_cost() * fraction / slow_start.initial_fraction.max(1e-3);
        endpoint.in_flight == 0 && has_paused && request.cost <= max_cost
    }

    /// Returns whether the request fits into this balancer's budget for the endpoint, a share of what warm
    /// endpoints of its pool answer in a window. `sustained` is that work in core seconds per unit of weight.
    fn is_within_work_budget(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        fraction: f64,
        sustained: f64,
    ) -> bool {
        let slow_start = &self.settings.slow_start;
        let budget = work_budget(slow_start, fraction, sustained * endpoint.weight);
        if budget < self.statistics.mean_cost() {
            return self.is_within_paced_budget(now, request, endpoint, budget);
        }
        let sent = endpoint.sent.within(now, slow_start.overload_window).work;
        sent + self.charged_cost(request) <= budget && self.is_within_limit(endpoint)
    }

    /// Handles a budget of less than one mean request, which is common with hundreds of balancers: one light
    /// request at a time, spaced in inverse proportion to the budget. The first interval is shortened by a
    /// random fraction, so that the balancers do not all send their first request when the endpoint starts.
    fn is_within_paced_budget(
        &self,
        now: Timestamp,
        request: &Request,
        endpoint: &Endpoint,
        budget: f64,
    ) -> bool {
        let mean_cost = self.statistics.mean_cost();
        let interval = self.settings.slow_start.overload_window.mul_f64(mean_cost / budget);
        let never = Timestamp(i64::MIN);
        let start = endpoint.slow_start.notified_at - interval.mul_f64(endpoint.slow_start.phase);
        let last_sent = endpoint.sent.last().unwrap_or(never).max(start);
        request.cost <= mean_cost && endpoint.in_flight == 0 && now - last_sent >= interval
    }

    /// Returns what a request counts against a budget, in core seconds. The mean is the minimum, because
    /// small estimates are often too low.
    pub(super) fn charged_cost(&self, request: &Request) -> f64 {
        request.cost.max(self.statistics.mean_cost())
    }

    /// Recomputes [`SustainedWork`] if it is out of date.
    pub(super) fn refresh_sustained_work(&mut self, now: Timestamp) {
        let window = self.settings.slow_start.overload_window;
        if self.sustained_work.is_fresh(now, window) {
            return;
        }
        let max_window = self.settings.slow_start.warm_up_time;
        let of_pool = |pool| {
            let endpoints = self.subset(pool).map(|entry| &self.endpoints[entry.index]);
            let warm: Vec<&Endpoint> =
                endpoints.filter(|endpoint| self.capacity_fraction(now, endpoint) >= 1.0).collect();
            lower_quartile_work(&warm, now, window, max_window)
        };
        let current = (0..self.routes.pool_count()).map(of_pool).collect();
        self.sustained_work.update(now, current);
    }
}

/// Returns the core seconds that may be sent to a warming endpoint in a window. `sustained` is what a warm
/// endpoint answers in a window; from one balancer's answers, the result is that balancer's own budget.
fn work_budget(slow_start: &SlowStart, fraction: f64, sustained: f64) -> f64 {
    slow_start.overload_factor * fraction * SAFETY_RATIO * sustained
}

/// Returns the core seconds that all balancers together may have at a warming endpoint beyond what it
/// finishes in a window. The endpoint is assumed to have one core, since it has at least that.
fn spare_work(slow_start: &SlowStart, fraction: f64) -> f64 {
    let window_secs = slow_start.overload_window.as_secs_f64();
    (slow_start.overload_factor - 1.0) * fraction * SAFETY_RATIO * window_secs * slow_start.fleet_ratio
}

/// Returns the pause after a rejected request: the time in which the endpoint could have been sent as much
/// again.
fn rejection_pause(slow_start: &SlowStart) -> Ticks {
    slow_start.overload_window.mul_f64(1.0 / slow_start.overload_factor.max(1.0))
}

/// Returns the work that the lower quartile of these endpoints answers in a window, in core seconds per unit
/// of weight. Answered work counts and not sent work, because under congestion endpoints are sent far more
/// than they can do. One of many balancers sees few answers per window, so it looks back over several
/// windows, up to `max_window`.
fn lower_quartile_work(
    endpoints: &[&Endpoint],
    now: Timestamp,
    window: Ticks,
    max_window: Ticks,
) -> Option<f64> {
    let answers_within = |window: Ticks| {
        endpoints.iter().map(|endpoint| endpoint.answered.within(now, window).count).sum::<usize>()
    };
    let mut windows = 1.0;
    while answers_within(window.mul_f64(windows)) < ENDPOINT_SAMPLES
        && window.mul_f64(2.0 * windows) <= max_window
    {
        windows *= 2.0;
    }
    let lookback = window.mul_f64(windows);
    let sustained_by = |endpoint: &&Endpoint| {
        let work = endpoint.answered.within(now, lookback).work;
        work / windows / endpoint.weight
    };
    let mut sustained: Vec<f64> = endpoints.iter().map(sustained_by).collect();
    if sustained.is_empty() {
        return None;
    }
    let rank = sustained.len() / LOWER_QUANTILE_DIVISOR;
    Some(*sustained.select_nth_unstable_by(rank, f64::total_cmp).1)
}
