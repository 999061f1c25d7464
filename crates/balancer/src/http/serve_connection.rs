//! Serves one client connection from accept to close.

use std::future::poll_fn;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;

use axum::body::Body;
use axum::http::{HeaderValue, header};
use axum::response::Response;
use axum::{BoxError, Router};
use doorproxy::ids::Ticks;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use tower_service::Service;

use crate::http::MAX_STREAMED_BYTES;
use crate::http::connection::ClientConnection;
use crate::http::connection_state::ConnectionState;
use crate::http::event_counts::CloseReason;
use crate::http::framing::ClientError;
use crate::http::request_fields::ID_HEADER;
use crate::http::request_head::{HeadValidatingStream, MAX_HEAD_BYTES};
use crate::http::response_body::IsStreaming;
use crate::runtime::{Runtime, Stream, duration};

/// Maximum time that a closing connection may take to flush its last response.
const LINGER_TIME: Ticks = Ticks(1000);
/// The same limit if the client is still sending a large request: it reads the response only after that.
const EARLY_RESPONSE_LINGER_TIME: Ticks = Ticks(30_000);
/// Interval at which connections with unread bytes are checked for a close by the client.
const CLIENT_CHECK_INTERVAL: Ticks = Ticks(300);
/// Maximum number of bytes that are read and discarded before the close. Unread bytes would turn the close
/// into a reset, which may lose the response.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
const DISCARD_BUFFER_BYTES: usize = 4096;

/// Serves the requests of a connection until either side closes it, and returns why it was closed.
pub(super) async fn serve_connection<R: Runtime>(
    runtime: &R,
    router: Router,
    stream: R::Stream,
    client: &Arc<ClientConnection<R>>,
) -> CloseReason {
    let stream = Arc::new(stream);
    // The connection's socket closes when it is served, however long its state is held.
    let weak_stream = Arc::downgrade(&stream);
    client.set_end_check(move || weak_stream.upgrade().is_none_or(|stream| stream.has_ended()));
    let service = service_fn(|mut request: hyper::Request<Incoming>| {
        client.on_request_id(request.headers().get(ID_HEADER));
        request.extensions_mut().insert(client.clone());
        let response = router.clone().call(request.map(Body::new));
        async move { response.await.map(|response| finish_response(client, response)) }
    });
    let reason = {
        let connection = http1::Builder::new()
            .preserve_header_case(true)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(HeadValidatingStream::new(stream.clone(), client.clone()), service);
        tokio::pin!(connection);
        drive(runtime, connection, &*stream, client).await
    };
    client.trace(reason.text());
    client.on_served();
    close_connection(runtime, &*stream, client).await;
    reason
}

/// Updates the state of the connection, and adds `Connection: close` if it closes after the response.
fn finish_response<R: Runtime>(client: &ClientConnection<R>, mut response: Response) -> Response {
    if response.extensions().get::<IsStreaming>().is_none() {
        client.on_response_finished();
    }
    if client.is_last_request() || client.has_early_response() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Runs the HTTP library on the connection until the connection ends or has to be closed. The library's
/// result is ignored: all requests have been handled by then, so an error concerns the client alone.
async fn drive<R: Runtime, S>(
    runtime: &R,
    mut connection: Pin<&mut http1::Connection<HeadValidatingStream<R>, S>>,
    stream: &R::Stream,
    client: &ClientConnection<R>,
) -> CloseReason
where
    S: HttpService<Incoming, ResBody = Body>,
    S::Error: Into<BoxError>,
{
    let hidden_close = wait_for_hidden_close(runtime, stream, client);
    tokio::pin!(hidden_close);
    loop {
        let deadline = client.deadline();
        tokio::select! {
            biased;
            _ = connection.as_mut() => return CloseReason::Ended,
            () = hidden_close.as_mut() => return CloseReason::ClosedBehindUnreadInput,
            () = client.close_requested.notified() => {
                if client.is_rejected() {
                    return CloseReason::Rejected;
                }
                if is_request_arriving(client, stream) {
                    continue;
                }
                client.trace("asked to close");
                connection.as_mut().graceful_shutdown();
            }
            () = runtime.sleep_until(deadline) => {
                if client.deadline() > runtime.now() {
                    continue;
                }
                if client.state().is_receiving() {
                    client.set_client_error(ClientError::Timeout);
                    return CloseReason::RequestTimedOut;
                }
                return CloseReason::TimedOut;
            }
        }
        tokio::select! {
            biased;
            _ = connection.as_mut() => return CloseReason::Ended,
            () = runtime.sleep(duration(LINGER_TIME)) => {}
        }
        // The client does not read its response, or has no request.
        if !is_request_arriving(client, stream) && !client.has_request() {
            return CloseReason::Requested;
        }
    }
}

/// Returns whether a request has arrived or is arriving on a connection that is to close, and its response has
/// not started. This asks the operating system, since the runtime's view is older.
fn is_request_arriving<R: Runtime>(client: &ClientConnection<R>, stream: &R::Stream) -> bool {
    if client.has_pipelined_input() {
        return true;
    }
    match client.state() {
        ConnectionState::New(_) | ConnectionState::Idle(_) | ConnectionState::Closing => !stream.is_idle(),
        ConnectionState::Receiving(_) => true,
        ConnectionState::AwaitingResponse | ConnectionState::Responding(_) | ConnectionState::Aborting => {
            false
        }
    }
}

/// Completes once the client has closed the connection while its request is in flight and unread bytes hide
/// the close. Without this check, attempts would continue for a client that has disconnected.
async fn wait_for_hidden_close<R: Runtime>(runtime: &R, stream: &R::Stream, client: &ClientConnection<R>) {
    loop {
        client.unread_input.notified().await;
        while client.awaits_response() {
            if stream.is_read_closed() {
                return;
            }
            runtime.sleep(duration(CLIENT_CHECK_INTERVAL)).await;
        }
    }
}

/// Sends the client its error, if any, and closes the connection without a reset.
async fn close_connection<R: Runtime>(runtime: &R, stream: &R::Stream, client: &ClientConnection<R>) {
    if let Some(error) = client.take_client_error() {
        // If the send buffer stays full, the client does not read anyway.
        let response = error_response(error);
        let _ = runtime.timeout(duration(LINGER_TIME), send_all(stream, response.as_bytes())).await;
    }
    stream.shutdown_write();
    let (max_bytes, linger) = if client.has_early_response() {
        (MAX_STREAMED_BYTES as usize, EARLY_RESPONSE_LINGER_TIME)
    } else {
        (MAX_DISCARDED_BYTES, LINGER_TIME)
    };
    let _ = runtime.timeout(duration(linger), discard_input(stream, max_bytes)).await;
}

/// Writes all of the bytes, unless the connection is broken.
async fn send_all<S: Stream>(stream: &S, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        match poll_fn(|cx| stream.poll_send(cx, &[IoSlice::new(bytes)])).await {
            Ok(written) => bytes = &bytes[written..],
            Err(_) => return,
        }
    }
}

fn error_response(error: ClientError) -> String {
    let status = error.status();
    let body = format!("{error}\n");
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Reads and discards input until the client closes the connection or `max_bytes` have been read.
async fn discard_input<S: Stream>(stream: &S, max_bytes: usize) {
    let mut discarded = 0;
    while discarded < max_bytes {
        // The buffer is not held while the task waits.
        match poll_fn(|cx| stream.poll_recv(cx, &mut [0; DISCARD_BUFFER_BYTES])).await {
            Ok(0) | Err(_) => return,
            Ok(read) => discarded += read,
        }
    }
}
