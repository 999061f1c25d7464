//! Decides whether a new request is accepted.
//!
//! `Balancer::admit` checks the rules in order: an expired deadline, a hopeless request under overload, load
//! shedding, and the limits of the whole fleet. A request beyond its tenant's quota is not rejected but gets
//! less weight. To add a rule, add a condition there that ends in `finish_unanswered` or `reject`.
//!
//! Rejections are not logged; the metrics count them by class as `deferred`.

use super::Balancer;
use crate::effects::{AttemptOutcome, Effects, IncomingRequest};
use crate::ids::{TenantId, Ticks, Timestamp};
use crate::request::Request;
use crate::samples::WorkLog;
use crate::settings::Settings;

/// A request is hopeless if its remaining time is less than this multiple of its expected duration in the
/// fastest pool.
const HOPELESS_FACTOR: f64 = 1.5;
/// The step by which a timely answer raises the admission probability.
const ADMISSION_INCREASE: f64 = 0.02;
/// The factor by which a late answer, a rejection or a timeout lowers the admission probability.
const ADMISSION_DECREASE_FACTOR: f64 = 0.85;
/// The lower bound of the admission probability.
const MIN_ADMISSION_PROBABILITY: f64 = 0.1;
/// Upper bound of a cost estimate, as a multiple of the class's timeout. A larger request is never answered
/// in time, and an absurd estimate would distort every sum that it enters.
const MAX_COST_TIMEOUTS: f64 = 100.0;
/// A tenant's quota is counted over a window of at least this many requests. If each balancer
/// rounded its share up every second, hundreds of them would together treat several times the quota as
/// within it.
const MIN_QUOTA_REQUESTS: f64 = 8.0;
/// The shortest retry-after and the width of its random range, as fractions of the wait that the fleet's
/// limits suggest.
const RETRY_AFTER_RATIO: f64 = 0.75;
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// State of the admission rules.
pub(super) struct AdmissionState {
    /// The probability, in 0..=1, that a request is admitted. It applies only while no loads are known, so
    /// that late answers, rejections and timeouts alone show overload.
    probability: f64,
    /// When a request last had to wait or was shed.
    pub(super) overloaded_at: Option<Timestamp>,
    /// Requests of each tenant that were counted against its quota.
    tenant_requests: Vec<WorkLog>,
}

impl AdmissionState {
    pub(super) fn new(settings: &Settings) -> AdmissionState {
        let tenant_requests = settings.tenant_quotas.iter().map(|_| WorkLog::default()).collect();
        AdmissionState { probability: 1.0, overloaded_at: None, tenant_requests }
    }

    /// Adjusts the admission probability: additive increase on timely answers, multiplicative decrease on
    /// late answers, rejections and timeouts. Other outcomes carry no information about load.
    pub(super) fn on_outcome(&mut self, outcome: AttemptOutcome, is_timely: bool) {
        match outcome {
            AttemptOutcome::Succeeded if is_timely => {
                self.probability = (self.probability + ADMISSION_INCREASE).min(1.0);
            }
            AttemptOutcome::Succeeded | AttemptOutcome::TimedOut | AttemptOutcome::Overloaded => {
                let decreased = self.probability * ADMISSION_DECREASE_FACTOR;
                self.probability = decreased.max(MIN_ADMISSION_PROBABILITY);
            }
            _ => {}
        }
    }
}

impl<E: Effects> Balancer<E> {
    /// Accepts a request or gives its final answer immediately.
    pub(super) fn admit(&mut self, now: Timestamp, incoming: IncomingRequest) {
        let id = incoming.request;
        let request = self.build_request(now, incoming);
        let deadline = request.deadline;
        let cost = request.cost;
        self.requests.insert(id, request);
        if deadline <= now {
            return self.finish_unanswered(now, id);
        }
        if self.is_hopeless(deadline - now, cost) && self.is_overloaded(now) {
            return self.finish_unanswered(now, id);
        }
        if self.is_shed() {
            self.admission.overloaded_at = Some(now);
            return self.finish_unanswered(now, id);
        }
        if let Some(wait) = self.effects.fleet_limit_wait(now, incoming.tenant) {
            let wait = self.with_jitter(wait, RETRY_AFTER_RATIO, RETRY_AFTER_SPREAD);
            return self.reject(id, Some(wait));
        }
        // Waiting requests take precedence; the new one can use capacity that none of them fits.
        self.serve_queue(now);
        if !self.try_place(now, id) {
            self.enqueue(now, id);
        }
    }

    /// Builds the request with its cost, latency objective and priority weight, and counts it against its
    /// tenant's quota.
    fn build_request(&mut self, now: Timestamp, incoming: IncomingRequest) -> Request {
        let class = self.settings.class(incoming.class);
        let cost_estimate = incoming.cost_estimate.unwrap_or_else(|| self.statistics.mean_cost());
        let cost = cost_estimate.min(MAX_COST_TIMEOUTS * class.timeout.as_secs_f64());
        let stretch = Ticks::from_secs_f64(cost * class.objective_stretch_factor);
        let objective = class.latency_objective + stretch;
        let mut priority_weight = class.priority_weight;
        if !self.is_within_quota(now, incoming.tenant) {
            priority_weight *= self.settings.over_quota_factor;
        }
        if let Some(estimate) = incoming.cost_estimate {
            self.statistics.cost_estimates.record(estimate, self.routes.small_pool_ratio);
        }
        self.add_probe_credit();
        let objective_at = (now + objective).min(now + incoming.timeout);
        Request::new(now, incoming, cost, objective_at, priority_weight)
    }

    /// Returns whether a tenant is within this balancer's share of its quota, and counts the request if so.
    fn is_within_quota(&mut self, now: Timestamp, tenant: TenantId) -> bool {
        let tenant = usize::from(tenant.0);
        let Some(quota) = self.settings.tenant_quotas.get(tenant) else { return true };
        let share = self.settings.per_balancer_share(*quota);
        let max_requests = share.ceil().max(MIN_QUOTA_REQUESTS);
        let window = Ticks::from_secs_f64(max_requests / share.max(1e-6));
        let counted = &mut self.admission.tenant_requests[tenant];
        let is_within = (counted.within(now, window).count as f64) < max_requests;
        if is_within {
            counted.put(now, window, 1.0);
        }
        is_within
    }

    /// Returns whether a request is unlikely to finish in the time left. `cost` is in core seconds.
    fn is_hopeless(&self, time_left: Ticks, cost: f64) -> bool {
        let fastest = self.statistics.fastest_service_time();
        fastest.is_some_and(|service_time| service_time * cost * HOPELESS_FACTOR > time_left.as_secs_f64())
    }

    /// Decides at random whether to shed the request if neither load reports nor a queue of this balancer
    /// shows how full the endpoints are. Answering some requests in time is better than answering all of them
    /// late.
    fn is_shed(&mut self) -> bool {
        let is_load_unknown = self.uses_whole_pools() && !self.probes_load();
        is_load_unknown && self.rng.next_f64() > self.admission.probability
    }

    /// Returns whether requests are waiting, or had to wait or were shed within the last 90th percentile of
    /// attempt durations.
    pub(super) fn is_overloaded(&self, now: Timestamp) -> bool {
        let overloaded_at = self.admission.overloaded_at;
        let was_overloaded = overloaded_at.is_some_and(|at| now - at < self.statistics.p90_duration());
        was_overloaded || !self.uses_whole_pools() && !self.queue.is_empty()
    }
}
