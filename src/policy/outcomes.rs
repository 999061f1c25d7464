//! Updates the state of an endpoint by the outcome of an attempt, and continues or finishes the request.

use super::Balancer;
use super::outliers::EjectionCause;
use crate::effects::{AttemptOutcome, Effects, FinishedAttempt};
use crate::endpoint::EndpointIndex;
use crate::ids::{Ticks, Timestamp};
use crate::statistics::Sample;

/// The pause of an endpoint after a slow or unanswered attempt, as a multiple of the attempt's duration.
const SLOW_ATTEMPT_PAUSE_FACTOR: f64 = 2.0;

impl<E: Effects> Balancer<E> {
    pub(super) fn record_finished_attempt(&mut self, now: Timestamp, finished: &FinishedAttempt) {
        let Some(index) = self.endpoints.index_of(finished.endpoint) else { return };
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        let request = self.requests.get(&finished.request);
        let is_timely = request.is_some_and(|request| now <= request.objective_at);
        self.admission.on_outcome(finished.outcome, is_timely);
        self.apply_outcome(now, index, finished);
        self.endpoints[index].on_attempt_finished(now, finished.outcome, finished.duration);
        if finished.outcome.is_response() {
            self.last_response_at = Some(now);
        }
        let pool = self.endpoints[index].pool;
        self.close_unused_connections(pool);
        self.continue_request(now, finished);
        self.serve_queue(now);
    }

    fn apply_outcome(&mut self, now: Timestamp, index: EndpointIndex, finished: &FinishedAttempt) {
        match finished.outcome {
            AttemptOutcome::Succeeded => self.record_answer(now, index, finished),
            AttemptOutcome::ErrorResponse => self.record_failure(now, index, EjectionCause::ErrorResponse),
            AttemptOutcome::ConnectionReset => {
                self.record_failure(now, index, EjectionCause::ConnectionReset);
            }
            AttemptOutcome::ConnectFailed => {
                self.eject(now, index, Ticks::ZERO, EjectionCause::ConnectFailed);
            }
            AttemptOutcome::Overloaded => {
                self.endpoints[index].overloaded_until = now + self.statistics.p90_duration();
                self.decrease_limit(now, index, finished.duration);
            }
            AttemptOutcome::TimedOut => {
                // A timed-out attempt counts as a sample: under congestion only fast answers arrive, and
                // without it they would be taken for the typical duration.
                self.record_sample(now, index, finished);
                self.pause_slow_endpoint(now, index, finished.duration);
                self.decrease_limit(now, index, finished.duration);
                self.record_no_response(now, index, finished.duration);
            }
            AttemptOutcome::Cancelled => self.record_no_response(now, index, finished.duration),
            AttemptOutcome::NotSent => {}
        }
    }

    fn record_answer(&mut self, now: Timestamp, index: EndpointIndex, finished: &FinishedAttempt) {
        self.statistics.record_outcome(now, index, false);
        let Some(cost) = self.record_sample(now, index, finished) else { return };
        let timeout = self.attempt_timeout(self.endpoints[index].pool, cost);
        if timeout.is_some_and(|timeout| finished.duration > timeout) {
            self.pause_slow_endpoint(now, index, finished.duration);
        }
        let warm_up_time = self.settings.slow_start.warm_up_time;
        self.endpoints[index].answered.put(now, warm_up_time, cost);
        self.record_success(index);
        if self.is_congested(index) {
            self.decrease_limit(now, index, finished.duration);
        } else if self.is_overloaded(now) {
            // The limit grows only while requests wait. Otherwise it would grow until it no longer limits
            // anything when congestion begins.
            self.increase_limit(index);
        }
    }

    fn pause_slow_endpoint(&mut self, now: Timestamp, index: EndpointIndex, duration: Ticks) {
        self.endpoints[index].overloaded_until = now + duration.mul_f64(SLOW_ATTEMPT_PAUSE_FACTOR);
    }

    /// Records the duration of the attempt and returns the cost of its request in core seconds, or `None` if
    /// the request has already finished.
    fn record_sample(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        finished: &FinishedAttempt,
    ) -> Option<f64> {
        let pool = self.endpoints[index].pool;
        let cost = self.requests.get(&finished.request)?.cost;
        let service_time = finished.duration.as_secs_f64() / cost;
        let service_times = self.statistics.service_times(pool);
        let unloaded = service_times.map_or(service_time, |service_times| service_times.unloaded);
        let sample = Sample {
            at: now,
            endpoint: index,
            pool,
            duration: finished.duration,
            service_time,
            expected_secs: cost * unloaded,
        };
        self.statistics.record_sample(sample, self.settings.max_timeout(), self.routes.pool_count());
        Some(cost)
    }

    /// Marks the attempt as finished. If the request is not finished and has no other attempt in flight, it
    /// is retried or gets its final answer.
    fn continue_request(&mut self, now: Timestamp, finished: &FinishedAttempt) {
        let Some(request) = self.requests.get_mut(&finished.request) else { return };
        if let Some(attempt) = request.attempts.get_mut(usize::from(finished.attempt.0)) {
            attempt.is_in_flight = false;
            attempt.may_have_run = !finished.outcome.never_ran();
        }
        if finished.request_finished {
            self.remove_request(finished.request);
        } else if !request.has_attempt_in_flight() {
            self.retry_or_finish(now, finished.request);
        }
    }
}
