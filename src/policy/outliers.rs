//! Outlier detection: decides which endpoints are ejected and when they are used again.
//!
//! A balancer relies on its own evidence; fault reports by peers carry less weight. After a wait, an ejected
//! endpoint is on probation, and after enough successes it is healthy again.

use super::Balancer;
use crate::effects::Effects;
use crate::endpoint::{Endpoint, EndpointIndex};
use crate::ids::{EndpointId, Ticks, Timestamp};
use crate::route_table::PoolIndex;
use crate::statistics::FailureCounts;

/// An endpoint counts as faulty, and not merely unlucky, if it exceeds the others by this factor.
const OUTLIER_FACTOR: f64 = 3.0;
/// The wait doubles with each consecutive ejection, at most this many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// The most consecutive ejections that raise the number of successes required on probation.
const MAX_COUNTED_EJECTIONS: u32 = 4;
/// The shortest ejection and the width of its random range, as fractions of the computed wait.
const EJECTION_WAIT_RATIO: f64 = 0.75;
const EJECTION_WAIT_SPREAD: f64 = 0.5;

/// An endpoint that gets no ordinary requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EjectedEndpoint {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// Whether it was ejected on fault reports by peers alone.
    pub reported_by_peers: bool,
    /// The number of consecutive ejections on this balancer's own evidence.
    pub consecutive_ejections: u32,
}

/// The reason for an ejection, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionCause {
    ErrorResponse,
    ConnectionReset,
    ConnectFailed,
    NoResponse,
}

impl EjectionCause {
    fn as_str(self) -> &'static str {
        match self {
            EjectionCause::ErrorResponse => "error response",
            EjectionCause::ConnectionReset => "connection reset",
            EjectionCause::ConnectFailed => "connect failed",
            EjectionCause::NoResponse => "no response",
        }
    }
}

impl<E: Effects> Balancer<E> {
    /// Returns how long an attempt may go without a response before this indicates a fault: the 90th
    /// percentile of durations, or [`OUTLIER_FACTOR`] times the median for its cost (in core seconds) in the
    /// pool, whichever is longer. Returns `None` before the first answer.
    pub(super) fn attempt_timeout(&self, pool: PoolIndex, cost: f64) -> Option<Ticks> {
        let typical = self.statistics.summary.as_ref()?.p90_duration;
        let service_times = self.statistics.service_times(pool);
        let own_secs = service_times.map_or(0.0, |times| OUTLIER_FACTOR * times.median * cost);
        Some(typical.max(Ticks::from_secs_f64(own_secs)))
    }

    /// Returns whether an endpoint accepts requests but responds to none of them while others respond.
    pub(super) fn is_unresponsive(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let Some(since) = endpoint.awaiting.since else { return false };
        let others_respond = self.last_response_at.is_some_and(|at| at > since);
        if !others_respond {
            return false;
        }
        let timeout = self.attempt_timeout(endpoint.pool, endpoint.awaiting.max_cost);
        timeout.is_some_and(|timeout| now - since > timeout)
    }

    /// Returns whether the endpoint is ejected, on probation or unresponsive.
    pub(super) fn is_avoided(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        !endpoint.health.is_healthy() || self.is_unresponsive(now, endpoint)
    }

    /// Handles an attempt that failed with an error answer or a reset connection. Some requests fail on every
    /// endpoint, so the endpoint is ejected only if it fails more often than the other endpoints suggest.
    pub(super) fn record_failure(&mut self, now: Timestamp, index: EndpointIndex, cause: EjectionCause) {
        self.statistics.record_outcome(now, index, true);
        let failures = self.statistics.failures(now - self.settings.max_timeout(), index);
        let is_outlier = failures.own > OUTLIER_FACTOR * expected_failures(&failures);
        if is_outlier || self.endpoints[index].health.is_ejected_by_peers_too() {
            self.eject(now, index, Ticks::ZERO, cause);
        }
    }

    /// Handles an attempt that was given up without a response `duration` after its start. The endpoint is
    /// ejected if it is unresponsive and the other endpoints can take over its share.
    pub(super) fn record_no_response(&mut self, now: Timestamp, index: EndpointIndex, duration: Ticks) {
        let endpoint = &self.endpoints[index];
        let is_removable = endpoint.health.is_healthy() && self.endpoints.can_spare(index);
        let may_eject = endpoint.health.is_ejected_by_peers_too() || is_removable;
        if may_eject && self.is_unresponsive(now, endpoint) {
            self.eject(now, index, duration, EjectionCause::NoResponse);
        }
    }

    /// Ejects an endpoint for a time that doubles with each consecutive ejection. `duration` is the duration
    /// of the failed attempt; the cause of a long delay is assumed to last at least as long again.
    pub(super) fn eject(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        duration: Ticks,
        cause: EjectionCause,
    ) {
        let endpoint = &self.endpoints[index];
        // Attempts that were in flight at the ejection fail together and count as one failure.
        if endpoint.health.is_ejected(now) {
            return;
        }
        let was_healthy = endpoint.health.is_healthy();
        let limit_share = self.limit_share(endpoint);
        let wait = self.ejection_wait(duration, endpoint.health.consecutive_ejections());
        let wait = self.with_jitter(wait, EJECTION_WAIT_RATIO, EJECTION_WAIT_SPREAD);
        let required = |ejections| successes_required(ejections, limit_share);
        self.endpoints[index].health.eject(now, now + wait, required);
        if was_healthy {
            self.ejected.push(index);
        }
        let id = self.endpoints[index].id.0;
        let line = format!(
            "endpoint {id} ejected, first probe request in {} ms: {}",
            wait.as_millis(),
            cause.as_str()
        );
        self.effects.log(&line);
    }

    /// Returns the wait before the first probe request. A failed probe request costs one attempt, while
    /// leaving a recovered endpoint unused costs more. The wait is therefore at most the longest latency
    /// objective.
    fn ejection_wait(&self, duration: Ticks, previous_ejections: u32) -> Ticks {
        let base = self.statistics.p90_duration().max(duration);
        let max_wait = self.settings.max_latency_objective().unwrap_or(base);
        let factor = 2_u32 << previous_ejections.min(MAX_BACKOFF_DOUBLINGS);
        base.mul_f64(f64::from(factor)).min(max_wait)
    }

    /// Handles a fault report by peers. The endpoint is ejected until `probe_after` and then on probation,
    /// unless this balancer got a newer answer from it or the remaining endpoints are too few. Peers have
    /// probed the endpoint already, so this balancer's probe request follows later.
    pub(super) fn consider_fault_report(&mut self, now: Timestamp, id: EndpointId, since: Timestamp) {
        let Some(index) = self.endpoints.index_of(id) else { return };
        let endpoint = &self.endpoints[index];
        let is_healthy = endpoint.health.is_healthy();
        let is_refuted = endpoint.answered.last().is_some_and(|at| at >= since);
        let may_eject = endpoint.is_ready() && self.endpoints.can_spare(index);
        if is_refuted || is_healthy && !may_eject {
            return;
        }
        let objective = self.settings.max_latency_objective().unwrap_or(Ticks::ZERO);
        let probe_after = since + self.with_jitter(objective, 1.0, 1.0);
        self.endpoints[index].health.on_peer_report(now, probe_after, objective);
        if is_healthy {
            self.ejected.push(index);
        }
    }

    /// Records a success of the endpoint, which can end its probation.
    pub(super) fn record_success(&mut self, index: EndpointIndex) {
        let has_recovered = self.endpoints[index].health.on_success();
        if has_recovered {
            self.ejected.retain(|&ejected| ejected != index);
        }
    }

    pub(super) fn list_ejected(&self) -> impl Iterator<Item = EjectedEndpoint> {
        self.ejected.iter().map(|&index| {
            let endpoint = &self.endpoints[index];
            EjectedEndpoint {
                endpoint: endpoint.id,
                reported_by_peers: endpoint.health.is_ejected_by_peers_only(),
                consecutive_ejections: endpoint.health.consecutive_ejections(),
            }
        })
    }
}

/// Returns the failures to expect at one endpoint: the mean of a Poisson distribution in which the observed
/// fraction of endpoints has at least one failure. It counts failing endpoints and not failures, because a
/// few faulty endpoints with many failures would otherwise make each other look normal.
fn expected_failures(failures: &FailureCounts) -> f64 {
    let others = failures.others.max(1.0);
    let without_failure = (1.0 - failures.failing_others / others).max(0.5 / others);
    -without_failure.ln()
}

/// Returns the successes required to end probation, by the number of consecutive ejections. If this
/// balancer's share of the endpoint is less than one attempt, probe requests are rare and one success is
/// enough.
fn successes_required(ejections: u32, limit_share: f64) -> u32 {
    let counted = f64::from(ejections.min(MAX_COUNTED_EJECTIONS));
    1 + (counted * limit_share.min(1.0)) as u32
}
