//! Tracks a response from when it is given to the HTTP library until all of it is written to the client.

use doorproxy::ids::{Ticks, Timestamp};

use crate::http::STREAM_IDLE_TIMEOUT;
use crate::metrics::InFlightGuard;

/// A client that has read nothing of its response for this time may be evicted. The system reports free space
/// only once a third of the send buffer is read, which takes a slow client more than a second.
const WRITE_STALL_TIME: Ticks = Ticks(40_000);

/// Tracks a response of which bytes may still be in the buffer of the HTTP library. It counts as in flight.
pub(super) struct UnwrittenResponse {
    /// Time at which the latest bytes were written to the socket.
    last_progress_at: Timestamp,
    in_flight: Option<InFlightGuard>,
}

impl UnwrittenResponse {
    /// Starts to track a response.
    pub(super) fn new(now: Timestamp, in_flight: Option<InFlightGuard>) -> UnwrittenResponse {
        UnwrittenResponse { last_progress_at: now, in_flight }
    }

    /// Returns the guard that counts the request as in flight, if it has one.
    pub(super) fn into_in_flight(self) -> Option<InFlightGuard> {
        self.in_flight
    }

    /// Records that bytes were written to the socket.
    pub(super) fn on_progress(&mut self, now: Timestamp) {
        self.last_progress_at = now;
    }

    /// Returns whether the client still reads, as far as is known.
    pub(super) fn is_being_read(&self, now: Timestamp) -> bool {
        now - self.last_progress_at < WRITE_STALL_TIME
    }

    /// Returns the time at which the connection is closed unless more is written.
    pub(super) fn deadline(&self) -> Timestamp {
        self.last_progress_at + STREAM_IDLE_TIMEOUT
    }
}
