//! Reads and forwards response bodies. A short body is buffered whole; of a long one the first bytes are
//! buffered and the rest is streamed to the client. A truncated response is never passed on as if it were
//! complete.

use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use axum::BoxError;
use axum::body::Body;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use doorproxy::ids::{Ticks, Timestamp};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};

use crate::http::body::BodyError;
use crate::http::connection::ClientConnection;
use crate::http::{MAX_BUFFERED_BYTES, MAX_STREAMED_BYTES, STREAM_IDLE_TIMEOUT};
use crate::memory::{MemoryBudget, MemoryReservation};
use crate::metrics::{Metrics, RequestOutcome};
use crate::runtime::{Runtime, duration};

/// Marks, as an extension, a response whose body is still being streamed when its head is sent.
#[derive(Clone, Copy)]
pub struct IsStreaming;

/// Holds the body of a response from an endpoint.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body is buffered.
    Buffered(Bytes),
    /// The first bytes are buffered, and the rest is forwarded as it arrives.
    Streaming {
        /// The first bytes, which were read already, in order. No part is empty.
        first: Vec<Bytes>,
        /// The part of the body that has not been read yet.
        rest: Incoming,
        /// The memory of the buffers of the two connections.
        reservation: MemoryReservation,
    },
}

/// Buffers a short body whole. A longer body, one of unknown length that has not ended after `buffering_time`, or
/// one for which `memory` has no room is streamed.
///
/// # Errors
///
/// Fails if the announced length exceeds [`MAX_STREAMED_BYTES`], or if the connection breaks before the
/// buffered part has arrived.
pub async fn buffer_response<R: Runtime>(
    runtime: &R,
    mut body: Incoming,
    buffering_time: Ticks,
    memory: &MemoryBudget,
) -> Result<ResponseBody, BodyError> {
    let size_hint = body.size_hint();
    if size_hint.lower() > MAX_STREAMED_BYTES {
        return Err(BodyError::TooLarge);
    }
    let is_long = size_hint.lower() > MAX_BUFFERED_BYTES as u64;
    let has_unknown_length = size_hint.exact().is_none();
    let buffer_until = runtime.now() + buffering_time;
    let mut reservation = memory.reservation();
    let mut buffer = match size_hint.exact() {
        // One allocation of the right size fragments the heap less than a buffer that grows.
        Some(length) if !is_long && reservation.try_grow_for_buffer(length as usize) => {
            BytesMut::with_capacity(length as usize)
        }
        _ => BytesMut::new(),
    };
    let mut unbuffered = Bytes::new();
    loop {
        let frame = if has_unknown_length && !buffer.is_empty() {
            match runtime.timeout(runtime.time_until(buffer_until), body.frame()).await {
                Some(frame) => frame,
                None => break,
            }
        } else {
            body.frame().await
        };
        let data = match frame {
            None => return Ok(ResponseBody::Buffered(reservation.hold_with(buffer.freeze()))),
            Some(Err(_)) => return Err(BodyError::Incomplete),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let length = buffer.len() + data.len();
        if is_long || length > MAX_BUFFERED_BYTES || !reservation.try_grow_for_buffer(length) {
            unbuffered = data;
            break;
        }
        buffer.extend_from_slice(&data);
    }
    let buffered = reservation.hold_with(buffer.freeze());
    let first = [buffered, unbuffered].into_iter().filter(|part| !part.is_empty()).collect();
    Ok(ResponseBody::Streaming { first, rest: body, reservation: memory.reserve_stream() })
}

/// Converts an endpoint's response to the response for the client. A streamed response counts its own
/// outcome, under the name of its class; the caller counts the outcome of a buffered response.
pub fn client_response<R: Runtime>(
    runtime: &R,
    client: &Arc<ClientConnection<R>>,
    response: Response<ResponseBody>,
    metrics: &Arc<Metrics>,
    class: &str,
) -> Response {
    let (head, body) = response.into_parts();
    match body {
        ResponseBody::Buffered(body) => Response::from_parts(head, Body::from(body)),
        ResponseBody::Streaming { first, rest, reservation } => {
            let request = CountedRequest { metrics: metrics.clone(), class: class.to_string() };
            let body = ForwardedBody::new(runtime.clone(), client.clone(), first, rest, reservation, request);
            let mut response = Response::from_parts(head, Body::new(body));
            response.extensions_mut().insert(IsStreaming);
            response
        }
    }
}

struct CountedRequest {
    metrics: Arc<Metrics>,
    class: String,
}

/// Forwards a response body to the client.
struct ForwardedBody<R: Runtime> {
    runtime: R,
    client: Arc<ClientConnection<R>>,
    /// Bytes that were read before the body was streamed, in order.
    first_bytes: VecDeque<Bytes>,
    rest: Incoming,
    _reservation: MemoryReservation,
    forwarded_bytes: u64,
    last_received_at: Timestamp,
    idle_timer: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
    /// The request whose outcome is to be counted; `None` once it is counted.
    request: Option<CountedRequest>,
}

impl<R: Runtime> ForwardedBody<R> {
    fn new(
        runtime: R,
        client: Arc<ClientConnection<R>>,
        first_bytes: Vec<Bytes>,
        rest: Incoming,
        reservation: MemoryReservation,
        request: CountedRequest,
    ) -> ForwardedBody<R> {
        client.on_response_started();
        let last_received_at = runtime.now();
        let idle_timer = Box::pin(runtime.sleep(duration(STREAM_IDLE_TIMEOUT)));
        ForwardedBody {
            runtime,
            client,
            first_bytes: first_bytes.into(),
            rest,
            _reservation: reservation,
            forwarded_bytes: 0,
            last_received_at,
            idle_timer,
            request: Some(request),
        }
    }

    fn count_outcome(&mut self, outcome: RequestOutcome) {
        if let Some(CountedRequest { metrics, class }) = self.request.take() {
            metrics.count_outcome(&class, outcome);
        }
    }

    /// Returns the next data frame, or `None` at the end of the body. Trailers apply to a single connection
    /// and are dropped.
    fn poll_rest(&mut self, cx: &mut Context) -> Poll<Result<Option<Bytes>, BoxError>> {
        loop {
            match Pin::new(&mut self.rest).poll_frame(cx) {
                Poll::Ready(None) => return Poll::Ready(Ok(None)),
                Poll::Ready(Some(Err(error))) => return Poll::Ready(Err(error.into())),
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Ok(Some(data)));
                    }
                }
                Poll::Pending => return self.poll_idle_timer(cx).map(Err),
            }
        }
    }

    /// Completes with an error once nothing has arrived for [`STREAM_IDLE_TIMEOUT`].
    fn poll_idle_timer(&mut self, cx: &mut Context) -> Poll<BoxError> {
        loop {
            ready!(self.idle_timer.as_mut().poll(cx));
            let remaining = self.last_received_at + STREAM_IDLE_TIMEOUT - self.runtime.now();
            if remaining <= Ticks::ZERO {
                return Poll::Ready(io::Error::from(io::ErrorKind::TimedOut).into());
            }
            self.idle_timer = Box::pin(self.runtime.sleep(duration(remaining)));
        }
    }

    fn poll_data(&mut self, cx: &mut Context) -> Poll<Result<Option<Bytes>, BoxError>> {
        let data = match self.first_bytes.pop_front() {
            Some(first) => first,
            None => match ready!(self.poll_rest(cx))? {
                Some(data) => data,
                None => return Poll::Ready(Ok(None)),
            },
        };
        self.last_received_at = self.runtime.now();
        self.forwarded_bytes += data.len() as u64;
        if self.forwarded_bytes > MAX_STREAMED_BYTES {
            return Poll::Ready(Err("the response is too large".into()));
        }
        Poll::Ready(Ok(Some(data)))
    }
}

impl<R: Runtime> hyper::body::Body for ForwardedBody<R> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if self.client.memory().is_scarce() {
            ready!(self.client.poll_flushed(cx));
        }
        self.client.on_response_polled();
        let data = ready!(self.poll_data(cx));
        match &data {
            Ok(Some(_)) => self.client.on_response_bytes(),
            Ok(None) => self.count_outcome(RequestOutcome::Succeeded),
            Err(_) => self.count_outcome(RequestOutcome::Failed),
        }
        Poll::Ready(data.transpose().map(|data| data.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        let first: u64 = self.first_bytes.iter().map(|bytes| bytes.len() as u64).sum();
        self.rest.size_hint().exact().map_or(SizeHint::new(), |rest| SizeHint::with_exact(first + rest))
    }
}

impl<R: Runtime> Drop for ForwardedBody<R> {
    fn drop(&mut self) {
        // The HTTP library stops polling once all bytes of a known length have arrived. Otherwise the client
        // has disconnected, and how much it received is unknown.
        if self.size_hint().exact() == Some(0) {
            self.count_outcome(RequestOutcome::Succeeded);
        }
        self.client.on_response_finished();
    }
}
