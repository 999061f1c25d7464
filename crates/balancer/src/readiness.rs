//! Tracks the readiness of the process, which the admin API reports to health checks.

use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::Notify;

/// Tells whether the process serves clients and whether discovery has been attempted. Shared with the admin
/// thread.
#[derive(Default)]
pub struct Readiness {
    is_ready: AtomicBool,
    discovery_attempted: AtomicBool,
    discovery_notify: Notify,
}

impl Readiness {
    /// Records that the first discovery request since the start has succeeded or failed.
    pub fn set_discovery_attempted(&self) {
        self.discovery_attempted.store(true, Ordering::Relaxed);
        self.discovery_notify.notify_waiters();
    }

    /// Waits for the first discovery request to succeed or fail.
    ///
    /// This method is cancel safe.
    pub async fn discovery_attempted(&self) {
        // Created before the flag is read: `notify_waiters` wakes existing waiters only.
        let notified = self.discovery_notify.notified();
        if !self.discovery_attempted.load(Ordering::Relaxed) {
            notified.await;
        }
    }

    /// Sets whether the process accepts new clients.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the process accepts new clients.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}
