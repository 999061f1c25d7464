//! Holds the state of one client connection, which the tasks that read requests from it, respond on it and
//! evict it share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use axum::http::{HeaderValue, StatusCode};
use doorproxy::ids::Timestamp;
use tokio::sync::Notify;

use crate::http::connection_state::ConnectionState;
use crate::http::event_counts::EventCounts;
use crate::http::framing::ClientError;
use crate::http::open_requests::{OpenRequest, RequestPhase};
use crate::http::server_context::ServerContext;
use crate::http::unwritten_response::UnwrittenResponse;
use crate::memory::MemoryBudget;
use crate::metrics::InFlightGuard;
use crate::runtime::{Runtime, TraceTopic};
use crate::sync::lock;

const TICKS_PER_MS: i64 = 10;

type EndCheck = Box<dyn Fn() -> bool + Send + Sync>;

/// Tracks a client connection.
pub struct ClientConnection<R> {
    runtime: R,
    context: Arc<ServerContext>,
    /// Number of the connection, unique in the process.
    id: u64,
    written_bytes: AtomicU64,
    inner: Mutex<Inner>,
    /// Returns whether the client has closed the connection, behind all that was read of it.
    end_check: OnceLock<EndCheck>,
    /// Notified when the connection should close. Stores one permit.
    pub close_requested: Notify,
    /// Notified when bytes after the request in flight are left unread: a close by the client would come
    /// after them and go unnoticed. Stores one permit.
    pub unread_input: Notify,
}

struct Inner {
    state: ConnectionState,
    /// Whether the HTTP library has received a head and not been given its response yet.
    awaits_response: bool,
    /// Whether the current request is the last one that is read from the connection.
    is_last_request: bool,
    /// Whether a response was given before the last byte of its request had arrived.
    has_early_response: bool,
    client_error: Option<ClientError>,
    /// Id header field of the current request.
    request_id: Option<HeaderValue>,
    /// Counts the current request as in flight.
    in_flight: Option<InFlightGuard>,
    /// The latest response, until the HTTP library has written all of it.
    unwritten: Option<UnwrittenResponse>,
    /// Whether the HTTP library holds bytes of the response that are not written.
    has_unflushed_bytes: bool,
    /// Wakes the task that streams a response once the HTTP library has written all that it holds.
    flush_waiter: Option<Waker>,
    /// Wakes the reader of the input after the current request, of which some has arrived.
    pipelined_input: Option<Waker>,
    /// Arrival time of the last bytes that had to be waited for.
    last_received_at: Timestamp,
}

/// Describes the pace at which a client sends a body.
#[derive(Clone, Copy, Debug)]
pub struct ReceivePace {
    /// The current time.
    pub now: Timestamp,
    /// Arrival time of the last bytes that had to be waited for.
    pub last_received_at: Timestamp,
    /// Whether the reader is waiting for more bytes.
    pub is_waiting: bool,
}

impl Inner {
    /// Returns whether a response is being written to a client that still reads, as far as is known.
    fn is_writing(&self, now: Timestamp) -> bool {
        self.unwritten.as_ref().is_some_and(|unwritten| unwritten.is_being_read(now))
    }

    /// Starts to track a response, or its rest.
    fn set_unwritten(&mut self, now: Timestamp) {
        let tracked = self.unwritten.take().and_then(UnwrittenResponse::into_in_flight);
        self.unwritten = Some(UnwrittenResponse::new(now, self.in_flight.take().or(tracked)));
    }

    fn is_rejected(&self) -> bool {
        self.client_error == Some(ClientError::ShuttingDown) && self.state == ConnectionState::Aborting
    }

    fn record_early_response(&mut self) {
        if let ConnectionState::Receiving(progress) = self.state {
            self.has_early_response |= progress.has_remaining_bytes();
        }
    }
}

impl<R: Runtime> ClientConnection<R> {
    /// Creates the state of a connection that was accepted just now.
    pub fn new(runtime: R, context: Arc<ServerContext>, id: u64) -> ClientConnection<R> {
        let now = runtime.now();
        let inner = Inner {
            state: ConnectionState::New(now),
            awaits_response: false,
            is_last_request: false,
            has_early_response: false,
            client_error: None,
            request_id: None,
            in_flight: None,
            unwritten: None,
            has_unflushed_bytes: false,
            flush_waiter: None,
            pipelined_input: None,
            last_received_at: now,
        };
        ClientConnection {
            runtime,
            context,
            id,
            written_bytes: AtomicU64::new(0),
            inner: Mutex::new(inner),
            end_check: OnceLock::new(),
            close_requested: Notify::new(),
            unread_input: Notify::new(),
        }
    }

    /// Returns the counts of events of all connections.
    pub fn events(&self) -> &Arc<EventCounts> {
        &self.context.events
    }

    /// Returns the bound on the memory of all buffers.
    pub fn memory(&self) -> &MemoryBudget {
        &self.context.memory
    }

    /// Sets how to find out whether the client has closed the connection. Only the first call has an effect.
    pub fn set_end_check(&self, check: impl Fn() -> bool + Send + Sync + 'static) {
        let _ = self.end_check.set(Box::new(check));
    }

    /// Returns whether the client has closed the connection, behind all that was read of it. Asks the operating system.
    pub fn has_ended(&self) -> bool {
        self.end_check.get().is_some_and(|has_ended| has_ended())
    }

    /// Returns the number of the connection, unique in the process.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Writes a line to the trace of connections, if that is on.
    pub fn trace(&self, event: &str) {
        if self.runtime.traces(TraceTopic::Connections) {
            let (now, written) = (self.runtime.now().0, self.written_bytes.load(Ordering::Relaxed));
            self.runtime.log_trace(format_args!(
                "client connection {}: {event}: at {now}, {written} bytes written",
                self.id
            ));
        }
    }

    /// Writes the status of the response to the current request to the trace of requests, if that is on.
    pub fn trace_response(&self, status: StatusCode) {
        if self.runtime.traces(TraceTopic::Requests) {
            let inner = self.inner();
            let id = inner.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
            let age = self.runtime.now() - inner.last_received_at;
            self.runtime.log_trace(format_args!(
                "request {id}: {status}, {} ms after it arrived, client connection {}",
                age.0 / TICKS_PER_MS,
                self.id
            ));
        }
    }

    /// Records that `bytes` bytes were written to the socket.
    pub fn on_bytes_written(&self, bytes: usize) {
        self.written_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        let now = self.runtime.now();
        if let Some(unwritten) = &mut self.inner().unwritten {
            unwritten.on_progress(now);
        }
    }

    /// Records that the HTTP library has written everything that it has. The connection is idle only from then
    /// on, and the next request is read if it has arrived before.
    pub fn on_buffer_written(&self) {
        let now = self.runtime.now();
        let mut inner = self.inner();
        inner.has_unflushed_bytes = false;
        if let Some(waiter) = inner.flush_waiter.take() {
            waiter.wake();
        }
        // The written buffer ends a response unless more of it is to come.
        if matches!(inner.state, ConnectionState::Responding(_)) || inner.unwritten.take().is_none() {
            return;
        }
        if let ConnectionState::Idle(since) = &mut inner.state {
            *since = now;
            inner.request_id = None;
        }
        // The HTTP library would wait for input, though it has come already.
        if let Some(reader) = &inner.pipelined_input {
            reader.wake_by_ref();
        }
    }

    /// Records that input after the current request has arrived, and which task reads it.
    pub fn on_pipelined_input(&self, reader: &Waker) {
        self.inner().pipelined_input = Some(reader.clone());
    }

    /// Returns whether input has arrived that is read after the response to the current request.
    pub fn has_pipelined_input(&self) -> bool {
        self.inner().pipelined_input.is_some()
    }

    /// Records the id header field of a request whose head was read.
    pub fn on_request_id(&self, id: Option<&HeaderValue>) {
        self.inner().request_id = id.cloned();
    }

    /// Returns the request that is not finished, if there is one.
    pub fn open_request(&self) -> Option<OpenRequest> {
        let now = self.runtime.now();
        let inner = self.inner();
        let phase = match inner.state {
            ConnectionState::AwaitingResponse => RequestPhase::AwaitingResponse,
            ConnectionState::Responding(_) => RequestPhase::Responding,
            _ if inner.is_writing(now) => RequestPhase::Responding,
            ConnectionState::Receiving(_) => RequestPhase::Receiving,
            _ => return None,
        };
        let age = now - inner.last_received_at;
        Some(OpenRequest { connection: self.id, id: inner.request_id.clone(), phase, age })
    }

    /// Counts the current request as in flight until its response is written or the connection ends.
    pub fn hold_in_flight(&self, in_flight: InFlightGuard) {
        self.inner().in_flight = Some(in_flight);
    }

    /// Records that nothing more is written to the connection, which may still be lingering.
    pub fn on_served(&self) {
        let mut inner = self.inner();
        inner.in_flight = None;
        inner.unwritten = None;
    }

    /// Returns whether a whole request was read and its response is not finished, or is being written to a
    /// client that reads it.
    pub fn has_request(&self) -> bool {
        let now = self.runtime.now();
        let inner = self.inner();
        inner.state.has_request() || inner.is_writing(now)
    }

    /// Returns the rank among the connections that may be evicted, as [`ConnectionState::eviction_rank`] does;
    /// `None` while a response is being written to a client that reads it.
    pub fn eviction_rank(&self) -> Option<Timestamp> {
        let now = self.runtime.now();
        let inner = self.inner();
        if inner.is_writing(now) { None } else { inner.state.eviction_rank(now) }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Returns the current state.
    pub fn state(&self) -> ConnectionState {
        self.inner().state
    }

    /// Returns the earliest time at which bytes that are read now can have arrived.
    pub fn earliest_arrival(&self) -> Timestamp {
        lock(&self.context.stall_detector).earliest_arrival(self.runtime.now(), self.runtime.caught_up_to())
    }

    /// Waits for this time.
    pub fn sleep(&self, time: Duration) -> impl Future<Output = ()> + Send + Sync + 'static {
        self.runtime.sleep(time)
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.runtime.now()
    }

    /// Records that a head was passed to the HTTP library. If `is_last`, nothing after its request is read.
    pub fn expect_response(&self, is_last: bool) {
        let mut inner = self.inner();
        inner.awaits_response = true;
        inner.is_last_request |= is_last;
    }

    /// Returns whether the HTTP library has received a head and not been given its response, in any
    /// connection state.
    pub fn awaits_response(&self) -> bool {
        self.inner().awaits_response
    }

    /// Records that the first byte of a request has arrived.
    pub fn on_first_byte(&self) {
        let now = self.runtime.now();
        let mut inner = self.inner();
        inner.state.on_first_byte(now);
        inner.pipelined_input = None;
    }

    /// Records that a head is complete. Head and body have `length` bytes, and those read so far arrived by
    /// `arrived_at`.
    pub fn on_head(&self, length: usize, arrived_at: Timestamp) {
        let mut inner = self.inner();
        inner.last_received_at = arrived_at;
        if let Some(progress) = inner.state.receive_progress() {
            progress.on_head(length as u64);
        }
    }

    /// Records that `bytes` bytes of the request were passed to the HTTP library.
    pub fn on_bytes_read(&self, bytes: usize) {
        let now = self.runtime.now();
        let arrived_at = self.earliest_arrival();
        let mut inner = self.inner();
        let Some(progress) = inner.state.receive_progress() else { return };
        progress.on_bytes_read(bytes as u64);
        if progress.end_wait(now) {
            inner.last_received_at = arrived_at;
        }
    }

    /// Records that the HTTP library asked for more of the request and that none has arrived.
    pub fn on_read_pending(&self) {
        let now = self.runtime.now();
        if let Some(progress) = self.inner().state.receive_progress() {
            progress.start_wait(now);
        }
    }

    /// Records that the whole request was read.
    pub fn on_request_complete(&self) {
        self.inner().state = ConnectionState::AwaitingResponse;
    }

    /// Returns the arrival time of the last bytes that had to be waited for. All bytes read after them had
    /// arrived by then, as far as is known.
    pub fn last_received_at(&self) -> Timestamp {
        self.inner().last_received_at
    }

    /// Returns the pace at which the client sends a body.
    pub fn receive_pace(&self) -> ReceivePace {
        let now = self.runtime.now();
        let inner = self.inner();
        let is_waiting = matches!(inner.state, ConnectionState::Receiving(progress) if progress.is_waiting());
        ReceivePace { now, last_received_at: inner.last_received_at, is_waiting }
    }

    /// Records that a response starts to be streamed.
    pub fn on_response_started(&self) {
        let now = self.runtime.now();
        let mut inner = self.inner();
        inner.record_early_response();
        inner.state = ConnectionState::Responding(now);
        inner.set_unwritten(now);
    }

    /// Records that the HTTP library was given bytes of a streamed response.
    pub fn on_response_bytes(&self) {
        self.inner().has_unflushed_bytes = true;
    }

    /// Waits until the HTTP library has written all bytes of a streamed response that it was given.
    pub fn poll_flushed(&self, cx: &mut Context) -> Poll<()> {
        let mut inner = self.inner();
        if !inner.has_unflushed_bytes {
            return Poll::Ready(());
        }
        inner.flush_waiter = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Records that the HTTP library asked for more of a streamed response.
    pub fn on_response_polled(&self) {
        let now = self.runtime.now();
        if let ConnectionState::Responding(last_progress_at) = &mut self.inner().state {
            *last_progress_at = now;
        }
    }

    /// Records that a whole response was given to the HTTP library.
    pub fn on_response_finished(&self) {
        self.trace("response given to the HTTP library");
        let now = self.runtime.now();
        let mut inner = self.inner();
        inner.record_early_response();
        inner.state = ConnectionState::Idle(now);
        inner.awaits_response = false;
        inner.set_unwritten(now);
    }

    /// Returns whether the connection closes after the current response.
    pub fn is_last_request(&self) -> bool {
        self.inner().is_last_request
    }

    /// Returns whether the client may still be sending a request whose response was given already.
    pub fn has_early_response(&self) -> bool {
        self.inner().has_early_response
    }

    /// Sets the error that is sent to the client once the HTTP library has released the connection. Nothing
    /// more is read from the connection.
    pub fn set_client_error(&self, error: ClientError) {
        self.inner().client_error = Some(error);
    }

    /// Takes the error that is to be sent to the client. A rejection that a response has overtaken is dropped.
    pub fn take_client_error(&self) -> Option<ClientError> {
        let mut inner = self.inner();
        let is_overtaken = inner.client_error == Some(ClientError::ShuttingDown) && !inner.is_rejected();
        inner.client_error.take().filter(|_| !is_overtaken)
    }

    /// Asks the connection to close so that another can be accepted.
    pub fn evict(&self) {
        self.trace("evicted");
        self.inner().state.on_evicted();
        self.close_requested.notify_one();
    }

    /// Rejects a request of which only a part has arrived and which no attempt can have sent, and asks the
    /// connection to close. Does nothing otherwise.
    pub fn reject_incomplete(&self) {
        {
            let mut inner = self.inner();
            if !inner.state.is_receiving() || inner.in_flight.is_some() {
                return;
            }
            inner.state = ConnectionState::Aborting;
            inner.client_error = Some(ClientError::ShuttingDown);
        }
        self.trace("rejected before its request was whole");
        self.close_requested.notify_one();
    }

    /// Returns whether the request was rejected by [`ClientConnection::reject_incomplete`], and the HTTP library
    /// has not been given a response to it since.
    pub fn is_rejected(&self) -> bool {
        self.inner().is_rejected()
    }

    /// Returns the time at which the connection is closed unless it makes progress before.
    pub fn deadline(&self) -> Timestamp {
        let now = self.runtime.now();
        let inner = self.inner();
        let deadline = inner.state.deadline(now);
        let unwritten = inner.unwritten.as_ref();
        unwritten.map_or(deadline, |unwritten| deadline.max(unwritten.deadline()))
    }
}
