//! Builds the responses that the proxy generates itself.

use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use doorproxy::ids::Ticks;

use crate::http::client_connections::ClientConnections;
use crate::http::connection::ClientConnection;
use crate::http::lifecycle::Lifecycle;
use crate::runtime::Runtime;

/// Adds `Connection: close` if the connection is to close after the response. It is not while further requests
/// have arrived on it: they would be lost.
pub fn announce_close<R: Runtime>(
    lifecycle: &Lifecycle,
    connections: &ClientConnections<R>,
    client: &ClientConnection<R>,
    mut response: Response,
) -> Response {
    let is_closing = lifecycle.is_closing_idle(client.now()) || lifecycle.has_successor();
    if (is_closing || connections.is_nearly_full()) && !client.has_pipelined_input() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the response to a rejected request: 503, with `Retry-After` in seconds if `retry_after` is given.
pub fn rejected_response(retry_after: Option<Ticks>) -> Response {
    let mut response = (StatusCode::SERVICE_UNAVAILABLE, "not now\n").into_response();
    let seconds = retry_after.map(|wait| format!("{:.3}", wait.as_secs_f64()));
    if let Some(Ok(value)) = seconds.map(HeaderValue::try_from) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns the response to a failed request, whose outcome is unknown: 502.
pub fn failed_response() -> Response {
    (StatusCode::BAD_GATEWAY, "no answer, and it may have run\n").into_response()
}
