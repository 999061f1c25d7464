//! The health of one endpoint: healthy, ejected or on probation.

use crate::ids::{Ticks, Timestamp};

/// After this many consecutive successes, earlier ejections no longer count. With a lower number, an endpoint
/// that flaps would seem healthy.
const SUCCESSES_TO_FORGET_EJECTIONS: u32 = 8;
/// Peers can defer the first probe request by at most this many latency objectives, so that their reports
/// cannot keep an endpoint ejected forever.
const MAX_DEFERRAL_OBJECTIVES: f64 = 4.0;

/// Determines whether an endpoint gets ordinary requests.
///
/// A failure ejects the endpoint. After a wait it is on probation and gets single probe requests, and after
/// enough successes it is healthy again.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    state: State,
    /// When probation begins, if the endpoint is ejected then.
    probe_after: Timestamp,
    /// Whether peers have reported the endpoint since it was listed.
    peer_reported: bool,
    consecutive_ejections: u32,
    consecutive_successes: u32,
}

#[derive(Clone, Copy, Debug)]
enum State {
    Healthy,
    /// Ejected until `probe_after`, and on probation from then on.
    Ejected {
        /// The successes needed to end probation; at least one.
        successes_required: u32,
        since: Timestamp,
        /// Whether this balancer has seen no failure itself.
        by_peers_only: bool,
    },
}

impl Health {
    pub fn new(now: Timestamp) -> Health {
        Health {
            state: State::Healthy,
            probe_after: now,
            peer_reported: false,
            consecutive_ejections: 0,
            consecutive_successes: 0,
        }
    }

    pub fn is_healthy(&self) -> bool {
        matches!(self.state, State::Healthy)
    }

    /// Returns whether the endpoint is ejected and not yet on probation.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        !self.is_healthy() && now < self.probe_after
    }

    /// Returns the earliest time of the next probe request.
    pub fn probe_after(&self) -> Timestamp {
        self.probe_after
    }

    /// Returns whether the endpoint is unhealthy and also reported by peers. Each failed probe request
    /// ejects such an endpoint again, because many balancers probe it at the same time.
    pub fn is_ejected_by_peers_too(&self) -> bool {
        !self.is_healthy() && self.peer_reported
    }

    /// Returns whether the endpoint is unhealthy on reports by peers alone.
    pub fn is_ejected_by_peers_only(&self) -> bool {
        matches!(self.state, State::Ejected { by_peers_only: true, .. })
    }

    pub fn consecutive_ejections(&self) -> u32 {
        self.consecutive_ejections
    }

    /// Ejects the endpoint for a failure that this balancer has seen. It is ejected until `probe_after`, and
    /// on probation for `successes_required(consecutive_ejections)` successes after that.
    pub fn eject(&mut self, now: Timestamp, probe_after: Timestamp, successes_required: impl Fn(u32) -> u32) {
        self.consecutive_ejections += 1;
        self.consecutive_successes = 0;
        self.probe_after = probe_after;
        let successes_required = successes_required(self.consecutive_ejections);
        self.state = State::Ejected { successes_required, since: now, by_peers_only: false };
    }

    /// Handles a fault report by peers. The endpoint needs one success to be healthy again. Its next probe
    /// request waits until `probe_after`, but at most [`MAX_DEFERRAL_OBJECTIVES`] latency objectives after
    /// the ejection.
    pub fn on_peer_report(&mut self, now: Timestamp, probe_after: Timestamp, latency_objective: Ticks) {
        let ejected_since = match self.state {
            State::Ejected { since, .. } => since,
            State::Healthy => {
                self.state = State::Ejected { successes_required: 1, since: now, by_peers_only: true };
                now
            }
        };
        self.peer_reported = true;
        let latest = ejected_since + latency_objective.mul_f64(MAX_DEFERRAL_OBJECTIVES);
        self.probe_after = self.probe_after.max(probe_after.min(latest));
    }

    /// Records a success. Returns true if it ends the probation.
    pub fn on_success(&mut self) -> bool {
        self.consecutive_successes += 1;
        if self.consecutive_successes >= SUCCESSES_TO_FORGET_EJECTIONS {
            self.consecutive_ejections = 0;
        }
        let State::Ejected { successes_required, .. } = &mut self.state else { return false };
        *successes_required -= 1;
        let has_recovered = *successes_required == 0;
        if has_recovered {
            self.state = State::Healthy;
        }
        has_recovered
    }

    /// Handles a restart of the endpoint's process: it is probed immediately, and its ejections are reset.
    pub fn on_restart(&mut self, now: Timestamp) {
        self.probe_after = now;
        self.consecutive_ejections = 0;
    }
}
