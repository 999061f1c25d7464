//! The time limits and the datagram rate limit of the peer thread, and its counters of dropped datagrams.

use std::time::Duration;

use doorproxy::ids::Timestamp;
use doorproxy_peer_transport::datagram::DatagramError;
use doorproxy_peer_transport::rate_limiter::RateLimiter;

/// The longest wait for a datagram, and so the longest delay before a stop request is noticed.
pub const MAX_RECEIVE_WAIT: Duration = Duration::from_millis(50);
/// The shortest wait, even if a tick is overdue, so that the loop tries to receive between any two ticks.
pub const MIN_RECEIVE_WAIT: Duration = Duration::from_millis(1);
/// A datagram is dropped if the system's send buffer stays full for this long.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(1);
const MAX_DATAGRAM_BURST: f64 = 2000.0;
const MAX_DATAGRAMS_PER_SECOND: f64 = 6000.0;

/// Creates the limiter of opened datagrams. Opening a datagram costs more than receiving it.
pub fn datagram_limiter(now: Timestamp) -> RateLimiter {
    RateLimiter::new(now, MAX_DATAGRAM_BURST, MAX_DATAGRAMS_PER_SECOND)
}

/// The number of dropped datagrams by cause.
#[derive(Clone, Copy, Default)]
pub struct DroppedDatagrams {
    pub malformed: i64,
    pub unauthenticated: i64,
    pub unknown_version: i64,
    pub undecodable: i64,
    pub rate_limited: i64,
}

impl DroppedDatagrams {
    /// Counts a datagram that could not be opened or decoded.
    pub fn record(&mut self, error: DatagramError) {
        match error {
            DatagramError::Malformed => self.malformed += 1,
            DatagramError::Unauthenticated => self.unauthenticated += 1,
            DatagramError::UnknownVersion => self.unknown_version += 1,
            DatagramError::Undecodable => self.undecodable += 1,
        }
    }

    /// Returns the number of all dropped datagrams.
    pub fn total(&self) -> i64 {
        self.malformed + self.unauthenticated + self.unknown_version + self.undecodable + self.rate_limited
    }
}
