//! Tracks the phases of a serving process from start to exit, and what the process does in each of them.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use doorproxy::ids::{Ticks, Timestamp};
use tokio::sync::Notify;

use crate::http::process_phase::ProcessPhase;
use crate::http::shutdown_times::ShutdownTimes;
use crate::runtime::Runtime;
use crate::sync::lock;

/// Minimum time for flushing, however late the end of the grace period was handled.
const MIN_FINAL_FLUSH_TIME: Ticks = Ticks(2000);

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
