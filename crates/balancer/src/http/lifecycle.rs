//! Tracks the phases of a serving process from start to exit, and what the process does in each of them.

use std::sync::Mutex;

use doorproxy::ids::{Ticks, Timestamp};
use tokio::sync::Notify;

use crate::runtime::Runtime;
use crate::sync::lock;

/// Fraction of the grace period in which clients are still accepted and served after a shutdown request: if
/// other balancers restart at the same time, the clients of this one would find no other.
const SERVING_GRACE_RATIO: f64 = 2.0 / 3.0;
/// Time after the end of the grace period for flushing the last responses.
const FINAL_FLUSH_TIME: Ticks = Ticks(3500);

/// States the phase of a process in serving its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPhase {
    /// The process accepts connections and requests.
    Serving,
    /// A successor process accepts the new connections.
    Superseded {
        /// Time at which this process detected that the successor serves.
        since: Timestamp,
    },
    /// Shutdown was requested.
    Draining {
        /// Time of the request.
        requested_at: Timestamp,
    },
    /// Shutdown was requested, and a successor process accepts the new connections.
    DrainingSuperseded {
        /// Time of the shutdown request.
        requested_at: Timestamp,
        /// Time at which this process detected that the successor serves.
        since: Timestamp,
    },
}

impl ProcessPhase {
    /// Returns the time of the first shutdown request.
    pub fn shutdown_requested_at(self) -> Option<Timestamp> {
        match self {
            ProcessPhase::Serving | ProcessPhase::Superseded { .. } => None,
            ProcessPhase::Draining { requested_at }
            | ProcessPhase::DrainingSuperseded { requested_at, .. } => Some(requested_at),
        }
    }

    /// Returns the time since which a successor process serves.
    pub fn superseded_since(self) -> Option<Timestamp> {
        match self {
            ProcessPhase::Serving | ProcessPhase::Draining { .. } => None,
            ProcessPhase::Superseded { since } | ProcessPhase::DrainingSuperseded { since, .. } => {
                Some(since)
            }
        }
    }

    fn new(requested_at: Option<Timestamp>, since: Option<Timestamp>) -> ProcessPhase {
        match (requested_at, since) {
            (None, None) => ProcessPhase::Serving,
            (None, Some(since)) => ProcessPhase::Superseded { since },
            (Some(requested_at), None) => ProcessPhase::Draining { requested_at },
            (Some(requested_at), Some(since)) => ProcessPhase::DrainingSuperseded { requested_at, since },
        }
    }

    /// Returns the phase after a shutdown request. Requests after the first have no effect.
    #[must_use]
    pub fn on_shutdown_requested(self, now: Timestamp) -> ProcessPhase {
        let requested_at = self.shutdown_requested_at().unwrap_or(now);
        ProcessPhase::new(Some(requested_at), self.superseded_since())
    }

    /// Returns the phase after a successor has started to serve, or, with `None`, after it has exited.
    #[must_use]
    pub fn on_successor(self, since: Option<Timestamp>) -> ProcessPhase {
        ProcessPhase::new(self.shutdown_requested_at(), since)
    }
}

/// Holds the phase of a process and the time limits of its shutdown.
pub struct Lifecycle {
    phase: Mutex<ProcessPhase>,
    grace_period: Ticks,
    min_serving_time: Ticks,
    shutdown_notify: Notify,
}

impl Lifecycle {
    /// Creates the lifecycle of a serving process.
    ///
    /// After a shutdown request the process finishes the requests in flight within `grace_period`. It keeps
    /// accepting and serving for two thirds of that time, but at least for `min_serving_time`.
    pub fn new(grace_period: Ticks, min_serving_time: Ticks) -> Lifecycle {
        Lifecycle {
            phase: Mutex::new(ProcessPhase::Serving),
            grace_period,
            min_serving_time,
            shutdown_notify: Notify::new(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ProcessPhase {
        *lock(&self.phase)
    }

    /// Returns whether shutdown was requested.
    pub fn is_draining(&self) -> bool {
        self.phase().shutdown_requested_at().is_some()
    }

    /// Returns whether a successor process serves.
    pub fn has_successor(&self) -> bool {
        self.phase().superseded_since().is_some()
    }

    /// Records a shutdown request. Call [`Lifecycle::notify_shutdown`] afterwards to wake the requests that
    /// wait for the end of the grace period.
    pub fn on_shutdown_requested(&self, now: Timestamp) {
        let mut phase = lock(&self.phase);
        *phase = phase.on_shutdown_requested(now);
    }

    /// Wakes the requests that wait for the end of the grace period.
    pub fn notify_shutdown(&self) {
        self.shutdown_notify.notify_waiters();
    }

    /// Records that a successor serves since a given time, or, with `None`, that it has exited.
    pub fn on_successor(&self, since: Option<Timestamp>) {
        let mut phase = lock(&self.phase);
        *phase = phase.on_successor(since);
    }

    /// Returns how long clients are still served after a shutdown request.
    pub fn serving_time(&self) -> Ticks {
        self.grace_period.mul_f64(SERVING_GRACE_RATIO).max(self.min_serving_time)
    }

    /// Returns whether idle connections are closed. A superseded process first asks its clients to reconnect,
    /// for the length of the grace period, because a request that is sent as its connection closes has to be
    /// sent again.
    pub fn is_closing_idle(&self, now: Timestamp) -> bool {
        let phase = self.phase();
        let is_past =
            |since: Option<Timestamp>, limit: Ticks| since.is_some_and(|since| now - since >= limit);
        is_past(phase.shutdown_requested_at(), self.serving_time())
            || is_past(phase.superseded_since(), self.grace_period)
    }

    /// Returns whether the process exits even if connections are open.
    pub fn is_past_final_flush(&self, now: Timestamp) -> bool {
        let requested_at = self.phase().shutdown_requested_at();
        requested_at.is_some_and(|requested_at| now >= requested_at + self.grace_period + FINAL_FLUSH_TIME)
    }

    /// Waits for the end of the grace period, after which requests that are still queued are lost when the
    /// process exits.
    ///
    /// This method is cancel safe.
    pub async fn wait_for_grace_end<R: Runtime>(&self, runtime: &R) {
        // This is created before the phase is read because `notify_waiters` only wakes existing waiters.
        let notified = self.shutdown_notify.notified();
        if !self.is_draining() {
            notified.await;
        }
        match self.phase().shutdown_requested_at() {
            Some(requested_at) => runtime.sleep_until(requested_at + self.grace_period).await,
            None => std::future::pending().await,
        }
    }
}
