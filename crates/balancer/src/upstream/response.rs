//! Reads the responses of endpoints and determines the results of their attempts.

use std::time::Duration;

use axum::http::{HeaderName, StatusCode, Version, header};
use axum::response::Response;
use doorproxy::ids::Ticks;
use hyper::body::Incoming;

use crate::http::body::{BodyError, collect_body};
use crate::http::headers::remove_hop_by_hop_headers;
use crate::http::response_body;
use crate::memory::MemoryBudget;
use crate::runtime::Runtime;
use crate::upstream::attempt_result::AttemptResult;

/// Header field that declares, with the value `1`, that the endpoint did not start to process a rejected
/// request.
const DECLINED_HEADER: HeaderName = HeaderName::from_static("srv-declined");
/// Maximum time for reading the body of a response that is not forwarded, which is read only so that its
/// connection can be reused.
const RESPONSE_DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads a successful response, and classifies any other by its head alone, so that no request waits for the
/// body of a failure.
pub(super) async fn read_response<R: Runtime>(
    runtime: &R,
    response: Response<Incoming>,
    is_success: fn(StatusCode) -> bool,
    buffering_time: Ticks,
    memory: &MemoryBudget,
) -> AttemptResult {
    let status = response.status();
    if is_success(status) {
        return buffer_response(runtime, response, buffering_time, memory).await;
    }
    let is_declined = response.headers().get(DECLINED_HEADER).is_some_and(|value| value == "1");
    drain(runtime, response.into_body());
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            AttemptResult::Overloaded
        }
        _ => AttemptResult::ErrorResponse,
    }
}

fn drain<R: Runtime>(runtime: &R, body: Incoming) {
    let rest = collect_body(body);
    let task_runtime = runtime.clone();
    runtime.spawn(async move { drop(task_runtime.timeout(RESPONSE_DRAIN_TIMEOUT, rest).await) });
}

/// Buffers a short response whole, so that a truncated one is not forwarded as if it were complete.
async fn buffer_response<R: Runtime>(
    runtime: &R,
    response: Response<Incoming>,
    buffering_time: Ticks,
    memory: &MemoryBudget,
) -> AttemptResult {
    let (mut head, body) = response.into_parts();
    match response_body::buffer_response(runtime, body, buffering_time, memory).await {
        Ok(body) => {
            remove_hop_by_hop_headers(&mut head.headers);
            // The length is derived from the body again, since the field may have any value if the body is
            // chunked.
            head.headers.remove(header::CONTENT_LENGTH);
            head.version = Version::HTTP_11;
            AttemptResult::Succeeded(Response::from_parts(head, body))
        }
        Err(BodyError::TooLarge) => AttemptResult::ResponseTooLarge,
        Err(BodyError::Incomplete | BodyError::OutOfMemory) => AttemptResult::ConnectionReset,
    }
}
