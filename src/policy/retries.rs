//! Decides whether a request is sent again, and gives its final answer.
//!
//! No effect may happen twice: a request that may have run is sent again only if a repeat is harmless or will
//! be recognized and dropped.
//!
//! `may_retry` checks the state of the request, and `is_eligible` checks each endpoint: not tried before,
//! capacity, and a harmless repeat. A request that found no endpoint waits in the queue only if none of its
//! attempts may have run.
//!
//! A hedged request is a further attempt that is sent while an earlier one is still unanswered.

use super::Balancer;
use crate::effects::Effects;
use crate::endpoint::Endpoint;
use crate::ids::{AttemptNumber, RequestId, Ticks, Timestamp};
use crate::request::{Attempt, Request};
use crate::settings::{DedupScope, Idempotency};

/// The most attempts of a request, the first included, whatever the settings allow.
const MAX_ATTEMPTS: usize = 3;
/// The shortest retry-after and the width of its random range, as fractions of the 90th percentile of attempt
/// durations.
const RETRY_AFTER_RATIO: f64 = 0.5;
const RETRY_AFTER_SPREAD: f64 = 1.0;
/// The delay of a hedged request before the first answer, as a fraction of the latency objective.
const INITIAL_HEDGE_RATIO: f64 = 0.5;

impl<E: Effects> Balancer<E> {
    /// Returns whether an attempt that begins `at` repeats no effect of the request's `earlier` attempts.
    pub(super) fn may_repeat(
        &self,
        at: Timestamp,
        request: &Request,
        earlier: &[Attempt],
        endpoint: &Endpoint,
    ) -> bool {
        let idempotency = self.settings.class(request.incoming.class).idempotency;
        let mut may_have_run = earlier.iter().filter(|attempt| attempt.is_in_flight || attempt.may_have_run);
        may_have_run.all(|attempt| match idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Deduplicated { scope, window } => {
                attempt.shares_scope(scope, endpoint) && at - attempt.started_at < window
            }
        })
    }

    /// Checks again, before the first byte of an attempt is sent, whether its repeat is harmless.
    pub(super) fn may_begin_attempt(&self, now: Timestamp, id: RequestId, attempt: AttemptNumber) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let number = request.attempts.len().min(usize::from(attempt.0));
        let (earlier, own) = request.attempts.split_at(number);
        own.first().is_some_and(|own| self.may_repeat(now, request, earlier, &self.endpoints[own.endpoint]))
    }

    /// Returns whether the state of the request allows a retry; `may_repeat` then checks each endpoint.
    /// Nothing is retried under overload, because retries would increase it.
    fn may_retry(&self, now: Timestamp, request: &Request) -> bool {
        let is_in_time = request.deadline - now > self.statistics.median_duration();
        let max_attempts = MAX_ATTEMPTS.min(self.settings.max_attempts.into());
        let has_attempts_left = request.attempts.len() < max_attempts;
        has_attempts_left && is_in_time && !request.is_streaming && !self.is_overloaded(now)
    }

    /// Retries or finishes a request whose attempts are over without an answer.
    pub(super) fn retry_or_finish(&mut self, now: Timestamp, id: RequestId) {
        if self.may_retry(now, self.request(id)) {
            if self.try_place(now, id) {
                return;
            }
            if !self.request(id).may_have_run() {
                return self.enqueue(now, id);
            }
        }
        self.finish_unanswered(now, id);
    }

    /// Sets the timer of a hedged request unless the class is non-idempotent. `on_request_timer` checks
    /// whether hedging is enabled. `attempt_timeout` is the timeout of the attempt that was just started.
    pub(super) fn schedule_hedge(&mut self, now: Timestamp, id: RequestId, attempt_timeout: Option<Ticks>) {
        let class = self.settings.class(self.request(id).incoming.class);
        if class.idempotency == Idempotency::NonIdempotent {
            return;
        }
        let delay = attempt_timeout.unwrap_or(class.latency_objective.mul_f64(INITIAL_HEDGE_RATIO));
        let request = self.request_mut(id);
        request.due_at = now + delay;
        let due_at = request.due_at;
        if due_at < request.deadline {
            self.set_request_timer(due_at, id);
        }
    }

    /// Handles a request's timer: its wait is over, or a hedged request is due.
    pub(super) fn on_request_timer(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let is_due = now >= request.due_at;
        if request.is_waiting() {
            self.on_wait_timer(now, id, is_due);
        } else if is_due && self.may_retry(now, request) && self.settings.hedging_enabled {
            self.try_place(now, id);
        }
    }

    /// Gives the final answer to a request that no endpoint has answered: it is rejected if the client may
    /// send it again, and failed otherwise.
    pub(super) fn finish_unanswered(&mut self, now: Timestamp, id: RequestId) {
        let request = self.request(id);
        let was_deferred = request.load_probes.deferrals > 0;
        if !self.may_client_retry(request) {
            self.effects.fail(id);
            self.remove_request(id);
        } else if was_deferred || self.is_overloaded(now) {
            let typical = self.statistics.p90_duration();
            let wait = self.with_jitter(typical, RETRY_AFTER_RATIO, RETRY_AFTER_SPREAD);
            self.reject(id, Some(wait));
        } else {
            self.reject(id, None);
        }
    }

    /// Returns whether the client can safely send the request again through any balancer.
    fn may_client_retry(&self, request: &Request) -> bool {
        let may_have_run = request.has_attempt_in_flight() || request.may_have_run();
        match self.settings.class(request.incoming.class).idempotency {
            Idempotency::Idempotent | Idempotency::Deduplicated { scope: DedupScope::All, .. } => true,
            Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent => !may_have_run,
        }
    }

    /// Rejects a request. The response carries `retry_after` only if clients follow such advice, and never
    /// more than their limit.
    pub(super) fn reject(&mut self, id: RequestId, retry_after: Option<Ticks>) {
        let max_retry_after = self.settings.max_retry_after;
        let advice = retry_after.and_then(|wait| max_retry_after.map(|max| wait.min(max)));
        self.effects.reject(id, advice);
        self.remove_request(id);
    }

    /// Moves the request's deadline to now. Attempts in flight are cancelled, and the final answer follows
    /// when they have finished.
    pub(super) fn expire_request(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.deadline = now;
        if !request.has_attempt_in_flight() {
            return self.finish_unanswered(now, id);
        }
        cancel_attempts(&mut self.effects, id, &request.attempts);
    }

    /// Removes a finished request. Its attempts are cancelled if the settings allow it and none of them
    /// streams a body.
    pub(super) fn remove_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.queue.retain(|&waiting| waiting != id);
        if self.settings.cancellation_enabled && !request.is_streaming {
            cancel_attempts(&mut self.effects, id, &request.attempts);
        }
    }
}

fn cancel_attempts(effects: &mut impl Effects, id: RequestId, attempts: &[Attempt]) {
    for (number, _) in attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight) {
        effects.cancel_attempt(id, AttemptNumber(number as u16));
    }
}
