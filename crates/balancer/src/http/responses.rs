//! Builds the responses that the proxy generates itself.

use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use doorproxy::ids::Ticks;

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
