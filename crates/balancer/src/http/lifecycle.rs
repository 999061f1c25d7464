//! Tracks the phases of a serving process from start to exit, and what the process does in each of them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use doorproxy::ids::{Ticks, Timestamp};
use tokio::sync::Notify;

use crate::runtime::Runtime;
use crate::sync::lock;

/// Fraction of the grace period in which clients are still accepted and served after a shutdown request: if
/// other balancers restart at the same time, the clients of this one would find no other.
const SERVING_GRACE_RATIO: f64 = 2.0 / 3.0;
/// Time after the end of the grace period for flushing the last responses.
const FINAL_FLUSH_TIME: Ticks = Ticks(3500);
/// Time beyond the longest timeout after which open requests expire. Together with the final flush it ends
/// 0.1 s before the operator may kill the process, which is 0.7 s after the longest timeout.
const EXPIRY_ALLOWANCE: Ticks = Ticks(2500);
/// Minimum time for flushing, however late the end of the grace period was handled.
const MIN_FINAL_FLUSH_TIME: Ticks = Ticks(2000);

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

/// Holds the time limits of a shutdown, all counted from the shutdown request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Until then clients are accepted and served. Afterwards connections close once they have no request.
    pub serving: Ticks,
    /// The end of the grace period: no attempt starts afterwards, and every open request gets its final
    /// response.
    pub grace: Ticks,
    /// The end of the final flush, in which these responses are written: the process exits even if connections
    /// are open.
    pub exit: Ticks,
}

impl ShutdownTimes {
    /// Returns the times for a given grace period. Clients are served for two thirds of it, but at least for
    /// `min_serving_time`.
    pub fn with_grace_period(grace_period: Ticks, min_serving_time: Ticks) -> ShutdownTimes {
        ShutdownTimes {
            serving: grace_period.mul_f64(SERVING_GRACE_RATIO).max(min_serving_time),
            grace: grace_period,
            exit: grace_period + FINAL_FLUSH_TIME,
        }
    }

    /// Returns the times for a process that may be killed 0.7 s after the longest timeout of its requests.
    /// Requests keep as much of their time as that allows.
    pub fn for_longest_timeout(timeout: Ticks) -> ShutdownTimes {
        let grace = timeout + EXPIRY_ALLOWANCE;
        ShutdownTimes { serving: timeout.mul_f64(SERVING_GRACE_RATIO), grace, exit: grace + FINAL_FLUSH_TIME }
    }
}

/// Holds the phase of a process and the time limits of its shutdown.
pub struct Lifecycle {
    state: Mutex<LifecycleState>,
    shutdown_notify: Notify,
    expired_requests: AtomicUsize,
}

#[derive(Clone, Copy)]
struct LifecycleState {
    phase: ProcessPhase,
    times: ShutdownTimes,
    /// Time at which the process handled the end of the grace period.
    grace_end_handled_at: Option<Timestamp>,
}

impl LifecycleState {
    fn grace_end(&self) -> Option<Timestamp> {
        Some(self.phase.shutdown_requested_at()? + self.times.grace)
    }
}

impl Lifecycle {
    /// Creates the lifecycle of a serving process.
    pub fn new(times: ShutdownTimes) -> Lifecycle {
        let state = LifecycleState { phase: ProcessPhase::Serving, times, grace_end_handled_at: None };
        Lifecycle {
            state: Mutex::new(state),
            shutdown_notify: Notify::new(),
            expired_requests: AtomicUsize::new(0),
        }
    }

    fn state(&self) -> LifecycleState {
        *lock(&self.state)
    }

    /// Returns the current phase.
    pub fn phase(&self) -> ProcessPhase {
        self.state().phase
    }

    /// Returns whether shutdown was requested.
    pub fn is_draining(&self) -> bool {
        self.phase().shutdown_requested_at().is_some()
    }

    /// Returns whether a successor process serves.
    pub fn has_successor(&self) -> bool {
        self.phase().superseded_since().is_some()
    }

    /// Changes the time limits. Has no effect once shutdown was requested, since the operator counts the time
    /// until the process is killed from then on.
    pub fn set_shutdown_times(&self, times: ShutdownTimes) {
        let mut state = lock(&self.state);
        if state.phase.shutdown_requested_at().is_none() {
            state.times = times;
        }
    }

    /// Records a shutdown request, and wakes the requests that wait for the end of the grace period.
    pub fn on_shutdown_requested(&self, now: Timestamp) {
        {
            let mut state = lock(&self.state);
            state.phase = state.phase.on_shutdown_requested(now);
        }
        self.shutdown_notify.notify_waiters();
    }

    /// Records that a request was expired because the grace period is over.
    pub fn on_request_expired(&self) {
        self.expired_requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests that were expired because the grace period is over.
    pub fn expired_requests(&self) -> usize {
        self.expired_requests.load(Ordering::Relaxed)
    }

    /// Records that a successor serves since a given time, or, with `None`, that it has exited.
    pub fn on_successor(&self, since: Option<Timestamp>) {
        let mut state = lock(&self.state);
        state.phase = state.phase.on_successor(since);
    }

    /// Returns how long clients are still served after a shutdown request.
    pub fn serving_time(&self) -> Ticks {
        self.state().times.serving
    }

    /// Returns whether idle connections are closed. A superseded process first asks its clients to reconnect,
    /// for the length of the grace period, because a request that is sent as its connection closes has to be
    /// sent again.
    pub fn is_closing_idle(&self, now: Timestamp) -> bool {
        let LifecycleState { phase, times, .. } = self.state();
        let is_past =
            |since: Option<Timestamp>, limit: Ticks| since.is_some_and(|since| now - since >= limit);
        is_past(phase.shutdown_requested_at(), times.serving)
            || is_past(phase.superseded_since(), times.grace)
    }

    /// Returns whether the grace period after a shutdown request is over, so that no attempt may start.
    pub fn is_past_grace_end(&self, now: Timestamp) -> bool {
        self.state().grace_end().is_some_and(|grace_end| now >= grace_end)
    }

    /// Records that the process has handled the end of the grace period. Only the first call has an effect.
    pub fn on_grace_end_handled(&self, now: Timestamp) {
        lock(&self.state).grace_end_handled_at.get_or_insert(now);
    }

    /// Returns whether the process exits even if connections are open: the final flush is over, and so is the
    /// least time for it, which counts from when the end of the grace period was handled. They differ if the
    /// process was stopped at that time.
    pub fn is_past_final_flush(&self, now: Timestamp) -> bool {
        let state = self.state();
        let requested_at = state.phase.shutdown_requested_at();
        let (Some(requested_at), Some(handled_at)) = (requested_at, state.grace_end_handled_at) else {
            return false;
        };
        now >= (requested_at + state.times.exit).max(handled_at + MIN_FINAL_FLUSH_TIME)
    }

    /// Waits for the end of the grace period. Requests that have no response when the process exits are lost,
    /// so each has to be given its final response then.
    ///
    /// This method is cancel safe.
    pub async fn wait_for_grace_end<R: Runtime>(&self, runtime: &R) {
        // This is created before the phase is read because `notify_waiters` only wakes existing waiters.
        let notified = self.shutdown_notify.notified();
        if !self.is_draining() {
            notified.await;
        }
        match self.state().grace_end() {
            Some(grace_end) => runtime.sleep_until(grace_end).await,
            None => std::future::pending().await,
        }
    }
}
