//! Tracks the state of a client connection: the progress of its request or response, and its deadline.

use doorproxy::ids::{Ticks, Timestamp};

use crate::http::STREAM_IDLE_TIMEOUT;

/// A connection without a request is closed after this time.
const IDLE_TIMEOUT: Ticks = Ticks(100_000);
/// Maximum time from the first byte of a head to its last; on a new connection, the time runs from accept.
pub const HEAD_TIMEOUT: Ticks = Ticks(25_000);
/// Maximum length of a single pause in a body. The pauses together may take this much longer than the body
/// takes at the minimum rate.
const MAX_BODY_PAUSE: Ticks = Ticks(20_000);
/// Minimum rate at which a body has to arrive, averaged over the whole body: 32 kB/s.
const MIN_BODY_BYTES_PER_TICK: f64 = 3.2;
/// A new connection is not evicted before this age, because its first request may be in transit.
const NEW_CONNECTION_GRACE: Ticks = Ticks(2000);
/// An idle connection is not evicted before it has been idle for this time.
const IDLE_EVICTION_TIME: Ticks = Ticks(1000);
/// Fraction of [`HEAD_TIMEOUT`] after which a connection whose request arrives slowly may be evicted.
const SLOW_REQUEST_RATIO: f64 = 0.5;

/// States what a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionState {
    /// The connection was accepted at this time, and no byte of a request has arrived.
    New(Timestamp),
    /// The connection has had no request since this time.
    Idle(Timestamp),
    /// A request is arriving.
    Receiving(ReceiveProgress),
    /// A whole request was read, and its response has not started.
    AwaitingResponse,
    /// A response is being streamed; its last progress was at this time.
    Responding(Timestamp),
    /// The connection is to be closed while it has no request.
    Closing,
    /// The connection is to be closed because its request arrives too slowly.
    Aborting,
}

/// Tracks how much of a request has arrived.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceiveProgress {
    started_at: Timestamp,
    /// The length of the request, known once its head is complete.
    length: Option<ReceivedLength>,
    /// Total time spent waiting for the body. Time in which nothing reads the body does not count.
    time_waited: Ticks,
    /// Start of the current wait for the body; `None` if nothing waits for it.
    waiting_since: Option<Timestamp>,
}

/// Counts the bytes of a request that have arrived and those that are missing.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ReceivedLength {
    received: u64,
    remaining: u64,
}

impl ReceiveProgress {
    fn new(started_at: Timestamp) -> ReceiveProgress {
        ReceiveProgress { started_at, length: None, time_waited: Ticks::ZERO, waiting_since: None }
    }

    /// Returns the time since which expected bytes have not arrived; `None` if none are waited for.
    fn silent_since(&self) -> Option<Timestamp> {
        if self.length.is_none() { Some(self.started_at) } else { self.waiting_since }
    }

    fn deadline(&self, now: Timestamp) -> Timestamp {
        let Some(length) = self.length else { return self.started_at + HEAD_TIMEOUT };
        let Some(since) = self.waiting_since else { return now + MAX_BODY_PAUSE };
        let allowance = MAX_BODY_PAUSE + Ticks((length.received as f64 / MIN_BODY_BYTES_PER_TICK) as i64);
        since + Ticks((allowance.0 - self.time_waited.0).clamp(0, MAX_BODY_PAUSE.0))
    }

    pub(super) fn has_remaining_bytes(&self) -> bool {
        self.length.is_some_and(|length| length.remaining > 0)
    }

    pub(super) fn on_bytes_read(&mut self, bytes: u64) {
        if let Some(length) = &mut self.length {
            length.received += bytes;
            length.remaining = length.remaining.saturating_sub(bytes);
        }
    }

    /// Records that the head is complete and that head and body together have `length` bytes.
    pub(super) fn on_head(&mut self, length: u64) {
        self.length = Some(ReceivedLength { received: 0, remaining: length });
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting_since.is_some()
    }

    /// Starts a wait for the body, unless one has started already.
    pub(super) fn start_wait(&mut self, now: Timestamp) {
        self.waiting_since.get_or_insert(now);
    }

    /// Ends the current wait for the body. Returns false if there was none.
    pub(super) fn end_wait(&mut self, now: Timestamp) -> bool {
        let Some(since) = self.waiting_since.take() else { return false };
        self.time_waited = self.time_waited + (now - since);
        true
    }
}

impl ConnectionState {
    /// Returns whether the connection was accepted so recently that its first request may be in transit.
    pub fn is_new(&self, now: Timestamp) -> bool {
        matches!(*self, ConnectionState::New(since) if now - since <= NEW_CONNECTION_GRACE)
    }

    /// Returns whether part of a request has been read, so that closing the connection would lose it.
    pub fn is_receiving(&self) -> bool {
        matches!(self, ConnectionState::Receiving(_))
    }

    /// Returns whether a whole request was read and its response is not finished.
    pub fn has_request(&self) -> bool {
        matches!(self, ConnectionState::AwaitingResponse | ConnectionState::Responding(_))
    }

    /// Returns the rank among the connections that may be evicted, lowest first; `None` if the connection may
    /// not be evicted. Connections that never completed a request rank before those that are idle between
    /// requests.
    pub fn eviction_rank(&self, now: Timestamp) -> Option<Timestamp> {
        match *self {
            ConnectionState::New(since) if now - since > NEW_CONNECTION_GRACE => Some(since - HEAD_TIMEOUT),
            ConnectionState::Receiving(progress) => {
                let since = progress.silent_since()?;
                let is_slow = now - since > HEAD_TIMEOUT.mul_f64(SLOW_REQUEST_RATIO);
                is_slow.then_some(since - HEAD_TIMEOUT)
            }
            ConnectionState::Idle(since) if now - since > IDLE_EVICTION_TIME => Some(since),
            _ => None,
        }
    }

    /// Returns the time at which the connection is closed unless it makes progress before.
    pub fn deadline(&self, now: Timestamp) -> Timestamp {
        match *self {
            ConnectionState::New(since) => since + HEAD_TIMEOUT,
            ConnectionState::Receiving(progress) => progress.deadline(now),
            ConnectionState::Idle(since) => since + IDLE_TIMEOUT,
            ConnectionState::Responding(last_progress_at) => last_progress_at + STREAM_IDLE_TIMEOUT,
            // These states have no time limit of their own; the deadline is computed again after this time.
            ConnectionState::AwaitingResponse | ConnectionState::Closing | ConnectionState::Aborting => {
                now + HEAD_TIMEOUT
            }
        }
    }

    pub(super) fn on_first_byte(&mut self, now: Timestamp) {
        match *self {
            ConnectionState::New(accepted_at) => {
                *self = ConnectionState::Receiving(ReceiveProgress::new(accepted_at));
            }
            // The request was sent before the client could see that the connection closes, so it is served.
            ConnectionState::Idle(_) | ConnectionState::Closing => {
                *self = ConnectionState::Receiving(ReceiveProgress::new(now));
            }
            _ => {}
        }
    }

    pub(super) fn on_evicted(&mut self) {
        *self = if self.is_receiving() { ConnectionState::Aborting } else { ConnectionState::Closing };
    }

    pub(super) fn receive_progress(&mut self) -> Option<&mut ReceiveProgress> {
        match self {
            ConnectionState::Receiving(progress) => Some(progress),
            _ => None,
        }
    }
}
