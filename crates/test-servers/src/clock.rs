//! The monotonic clock that all observations of a run share. Changes of the wall clock don't affect it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since the start of a run.
pub type Micros = u64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;

/// A clock that counts from the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_at_start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
            unix_at_start: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this run to Unix milliseconds, in which the endpoint list states when an endpoint
    /// started.
    pub fn unix_ms(&self, at: Micros) -> u64 {
        self.unix_at_start.as_millis() as u64 + at / MS
    }

    /// Waits until a time of this run.
    pub async fn sleep_until(&self, at: Micros) {
        let at = self.start + Duration::from_micros(at);
        tokio::time::sleep_until(at.into()).await;
    }
}

/// Waits for this long.
pub async fn sleep(time: Micros) {
    tokio::time::sleep(Duration::from_micros(time)).await;
}
