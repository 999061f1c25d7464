//! Reads and forwards request bodies. A short body is buffered whole; of a long one the first bytes are
//! buffered and the rest is streamed. At most one attempt can send the streamed rest.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

use axum::BoxError;
use axum::body::Body;
use bytes::{Bytes, BytesMut};
use doorproxy::ids::{Ticks, Timestamp};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, SizeHint};
use tokio::sync::Notify;

use crate::http::body::BodyError;
use crate::http::connection::{ClientConnection, ReceivePace};
use crate::http::{MAX_BUFFERED_BYTES, STREAM_IDLE_TIMEOUT};
use crate::memory::{MemoryReservation, SCARCE_READ_BYTES};
use crate::runtime::system::RECEIVE_BUFFER_BYTES;
use crate::runtime::{Runtime, duration};
use crate::sync::lock;

/// Upper bound on the bytes that a client has sent and the process has not read: those in the client's kernel, at most
/// 4 MiB by the default of the system, and those in the receive buffer.
pub const MAX_IN_TRANSIT_BYTES: u64 = (4 << 20) + 2 * RECEIVE_BUFFER_BYTES as u64;
/// Interval at which a request is checked for its client's timeout while an attempt sends the body.
const CLIENT_CHECK_INTERVAL: Ticks = Ticks(500);
/// A streamed body is checked for a stall this many times per [`STREAM_IDLE_TIMEOUT`].
const STALL_CHECK_DIVISOR: u32 = 10;

/// Holds the body of a request.
#[derive(Clone)]
pub enum RequestBody {
    /// The whole body is buffered.
    Buffered(Bytes),
    /// The first bytes are buffered, and the rest is sent as it arrives.
    Streaming(Arc<StreamingBody>),
}

impl RequestBody {
    /// Waits for the deadline of the request: `deadline` if the body is buffered or no attempt sends it yet,
    /// otherwise `timeout` after the last byte of the body.
    pub async fn wait_for_timeout<R: Runtime>(&self, runtime: &R, deadline: Timestamp, timeout: Ticks) {
        let RequestBody::Streaming(body) = self else { return runtime.sleep_until(deadline).await };
        loop {
            let progress = body.progress();
            match progress {
                SendProgress::Complete(received_at) => {
                    return runtime.sleep_until(received_at + timeout).await;
                }
                SendProgress::Claimed => {
                    let client_timeout_at = body.client_timeout_at(timeout);
                    if client_timeout_at.is_some_and(|at| at <= runtime.now()) {
                        return;
                    }
                    let next_check = runtime.now() + CLIENT_CHECK_INTERVAL;
                    let next_check = next_check.min(client_timeout_at.unwrap_or(Timestamp(i64::MAX)));
                    tokio::select! {
                        biased;
                        () = body.wait_until_past(progress) => {}
                        () = runtime.sleep_until(next_check) => {}
                    }
                }
                SendProgress::Unclaimed => tokio::select! {
                    biased;
                    () = body.wait_until_past(progress) => {}
                    () = runtime.sleep_until(deadline) => return,
                },
            }
        }
    }

    /// Calls `on_claimed` once an attempt starts to send a streamed body, which no other attempt can send
    /// from then on, and `on_complete` once the last byte has arrived. Never completes.
    pub async fn watch_progress(&self, on_claimed: impl FnOnce(), on_complete: impl FnOnce()) {
        if let RequestBody::Streaming(body) = self {
            body.wait_until_past(SendProgress::Unclaimed).await;
            on_claimed();
            body.wait_until_past(SendProgress::Claimed).await;
        }
        on_complete();
        std::future::pending().await
    }

    /// Returns whether the last byte has not been passed to any attempt, so that no endpoint can have
    /// processed the request.
    pub fn is_incomplete(&self) -> bool {
        matches!(self, RequestBody::Streaming(body) if body.is_incomplete())
    }

    /// Completes if an attempt is sending the body and has made no progress for [`STREAM_IDLE_TIMEOUT`].
    pub async fn wait_for_stall<R: Runtime>(&self, runtime: &R) {
        let RequestBody::Streaming(body) = self else { return std::future::pending().await };
        while !body.is_stalled(runtime.now()) {
            runtime.sleep(duration(STREAM_IDLE_TIMEOUT) / STALL_CHECK_DIVISOR).await;
        }
    }
}

/// Reads a body of at most `max_bytes`: the whole of a short body, the first bytes of a long one.
///
/// # Errors
///
/// Fails if the announced length or the bytes read so far exceed `max_bytes`, or if the connection breaks
/// meanwhile.
pub async fn read_request_body<R: Runtime>(
    mut body: Body,
    max_bytes: u64,
    client: &Arc<ClientConnection<R>>,
) -> Result<RequestBody, BodyError> {
    let size_hint = body.size_hint();
    if size_hint.lower() > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let memory = client.memory();
    let is_long = size_hint.lower() > MAX_BUFFERED_BYTES as u64;
    let max_first_bytes = if is_long && memory.is_scarce() { SCARCE_READ_BYTES } else { MAX_BUFFERED_BYTES };
    let mut buffer = BytesMut::new();
    let mut reservation = memory.reservation();
    while buffer.len() <= max_first_bytes {
        if buffer.len() as u64 > max_bytes {
            return Err(BodyError::TooLarge);
        }
        match body.frame().await {
            None => return Ok(RequestBody::Buffered(reservation.hold_with(buffer.freeze()))),
            Some(Err(_)) => return Err(BodyError::Incomplete),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                if !reservation.try_grow_for_buffer(buffer.len() + data.len()) {
                    return Err(BodyError::OutOfMemory);
                }
                buffer.extend_from_slice(&data);
            }
        }
    }
    // Nothing more is read until an attempt sends the body, so the read side would not show that the client
    // has closed the connection.
    client.unread_input.notify_one();
    let first_bytes = reservation.hold_with(buffer.freeze());
    let body = StreamingBody::new(body, first_bytes, size_hint.exact(), max_bytes, client.clone());
    Ok(RequestBody::Streaming(Arc::new(body)))
}

/// States how much of a streamed body has been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No attempt has started to send the body.
    Unclaimed,
    /// One attempt sends the body, and no other attempt may.
    Claimed,
    /// The last byte of the body arrived at this time and is passed to the attempt.
    Complete(Timestamp),
}

/// Holds the first bytes of a body that is not buffered whole, and streams the rest.
pub struct StreamingBody {
    announced_length: Option<u64>,
    max_bytes: u64,
    /// Memory of the buffers of the two connections.
    _reservation: MemoryReservation,
    /// Returns the pace at which the client sends the body.
    receive_pace: Box<dyn Fn() -> ReceivePace + Send + Sync>,
    /// Returns whether the client has closed its connection.
    has_client_left: Box<dyn Fn() -> bool + Send + Sync>,
    state: Mutex<StreamingBodyState>,
    changed: Notify,
}

struct StreamingBodyState {
    /// The buffered first bytes, until an attempt has sent them.
    first_bytes: Bytes,
    rest: Body,
    progress: SendProgress,
    /// Number of attempts so far; each attempt is identified by its number.
    attempts: u64,
    claimed_by: Option<u64>,
    sent_bytes: u64,
    last_progress_at: Timestamp,
    /// Time since which the unsent rest is small enough to be in kernel buffers.
    mostly_sent_since: Option<Timestamp>,
}

impl StreamingBody {
    fn new<R: Runtime>(
        rest: Body,
        first_bytes: Bytes,
        announced_length: Option<u64>,
        max_bytes: u64,
        client: Arc<ClientConnection<R>>,
    ) -> StreamingBody {
        let state = StreamingBodyState {
            first_bytes,
            rest,
            progress: SendProgress::Unclaimed,
            attempts: 0,
            claimed_by: None,
            sent_bytes: 0,
            last_progress_at: client.now(),
            mostly_sent_since: None,
        };
        let pace_client = client.clone();
        StreamingBody {
            announced_length,
            max_bytes,
            _reservation: client.memory().reserve_stream(),
            receive_pace: Box::new(move || pace_client.receive_pace()),
            has_client_left: Box::new(move || client.has_ended()),
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, StreamingBodyState> {
        lock(&self.state)
    }

    fn progress(&self) -> SendProgress {
        self.state().progress
    }

    fn advance(&self, state: &mut StreamingBodyState, progress: SendProgress) {
        if !matches!(state.progress, SendProgress::Complete(_)) {
            state.progress = progress;
            self.changed.notify_waiters();
        }
    }

    /// Waits until the progress differs from `progress`. Unlike a watch channel, `Notify` wakes waiters in
    /// the order in which they registered, which keeps the simulation deterministic.
    async fn wait_until_past(&self, progress: SendProgress) {
        loop {
            // This is created before the progress is read because `notify_waiters` only wakes existing
            // waiters.
            let changed = self.changed.notified();
            if self.progress() != progress {
                return;
            }
            changed.await;
        }
    }

    fn is_incomplete(&self) -> bool {
        !matches!(self.progress(), SendProgress::Complete(_))
    }

    /// Returns the earliest time at which the client can have sent the last byte, from which the client's own
    /// timeout runs. Bytes that were available without waiting may have been in kernel buffers before they
    /// were read.
    fn last_byte_received_at(&self, state: &StreamingBodyState) -> Timestamp {
        let received_at = (self.receive_pace)().last_received_at;
        if self.announced_length.is_some_and(|length| length > MAX_IN_TRANSIT_BYTES) {
            state.mostly_sent_since.unwrap_or(received_at).max(received_at)
        } else {
            received_at
        }
    }

    /// Returns when the client times out, assuming that it has sent the whole body; `None` if it can't have.
    fn client_timeout_at(&self, timeout: Ticks) -> Option<Timestamp> {
        let state = self.state();
        let may_be_sent = !(self.receive_pace)().is_waiting && state.mostly_sent_since.is_some();
        may_be_sent.then(|| self.last_byte_received_at(&state) + timeout)
    }

    fn is_stalled(&self, now: Timestamp) -> bool {
        let state = self.state();
        state.progress == SendProgress::Claimed && now - state.last_progress_at >= STREAM_IDLE_TIMEOUT
    }

    /// Returns the next bytes for the attempt with the given number; `None` at the end of the body.
    fn poll_data(
        &self,
        attempt: u64,
        is_first: bool,
        cx: &mut Context,
    ) -> Poll<Result<Option<Bytes>, BoxError>> {
        let mut state = self.state();
        let now = (self.receive_pace)().now;
        if *state.claimed_by.get_or_insert(attempt) != attempt {
            return Poll::Ready(Err("another attempt sends this body".into()));
        }
        let data = if is_first {
            self.advance(&mut state, SendProgress::Claimed);
            Some(std::mem::take(&mut state.first_bytes))
        } else {
            ready!(poll_rest(&mut state.rest, cx))?
        };
        state.last_progress_at = now;
        state.sent_bytes += data.as_ref().map_or(0, |data| data.len() as u64);
        if state.sent_bytes > self.max_bytes {
            return Poll::Ready(Err("the body is too large".into()));
        }
        let is_last = data.is_none() || Some(state.sent_bytes) == self.announced_length;
        // The close of a client comes right behind its request. The endpoint can't have begun a request whose last bytes
        // are withheld.
        if is_last && (self.has_client_left)() {
            return Poll::Ready(Err("the client has closed the connection".into()));
        }
        self.record_sent(&mut state, now, is_last);
        Poll::Ready(Ok(data))
    }

    fn record_sent(&self, state: &mut StreamingBodyState, now: Timestamp, is_last: bool) {
        let in_transit_limit = state.sent_bytes + MAX_IN_TRANSIT_BYTES;
        if self.announced_length.is_none_or(|length| length <= in_transit_limit) {
            state.mostly_sent_since.get_or_insert(now);
        }
        // The progress is updated before the last bytes are passed on, since the endpoint may process the
        // request from then on.
        if is_last {
            let received_at = self.last_byte_received_at(state);
            self.advance(state, SendProgress::Complete(received_at));
        }
    }
}

/// Returns the next data frame, or `None` at the end of the body. Trailers apply to a single connection and
/// are dropped.
fn poll_rest(rest: &mut Body, cx: &mut Context) -> Poll<Result<Option<Bytes>, BoxError>> {
    loop {
        match ready!(Pin::new(&mut *rest).poll_frame(cx)) {
            None => return Poll::Ready(Ok(None)),
            Some(Err(error)) => return Poll::Ready(Err(error.into())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Poll::Ready(Ok(Some(data)));
                }
            }
        }
    }
}

/// Sends the body of a request in one attempt.
pub struct AttemptBody {
    body: RequestBody,
    attempt: u64,
    sent_first_bytes: bool,
}

impl AttemptBody {
    /// Creates the body for one more attempt, which may never send it.
    pub fn new(body: RequestBody) -> AttemptBody {
        let attempt = match &body {
            RequestBody::Buffered(_) => 0,
            RequestBody::Streaming(body) => {
                let mut state = body.state();
                state.attempts += 1;
                state.attempts
            }
        };
        AttemptBody { body, attempt, sent_first_bytes: false }
    }
}

impl hyper::body::Body for AttemptBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let is_first = !std::mem::replace(&mut self.sent_first_bytes, true);
        match &self.body {
            RequestBody::Buffered(bytes) => {
                let data = (is_first && !bytes.is_empty()).then(|| bytes.clone());
                Poll::Ready(data.map(|data| Ok(Frame::data(data))))
            }
            RequestBody::Streaming(body) => {
                let data = ready!(body.poll_data(self.attempt, is_first, cx));
                Poll::Ready(data.transpose().map(|data| data.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.body, RequestBody::Buffered(bytes) if self.sent_first_bytes || bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            RequestBody::Buffered(_) if self.sent_first_bytes => SizeHint::with_exact(0),
            RequestBody::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            RequestBody::Streaming(body) => {
                body.announced_length.map_or(SizeHint::new(), SizeHint::with_exact)
            }
        }
    }
}
