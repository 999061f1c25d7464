//! Handles one request from its submission to the dispatcher to its final response, including its attempts.
//! The balancer and the sidecar share this module.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use axum::http::request::Parts;
use axum::response::Response;
use doorproxy::dispatcher::{Attempt, Dispatcher, NewRequest, NextStep};
use doorproxy::ids::{RequestId, Ticks, Timestamp};
use tokio::sync::mpsc;

use crate::http::connection::ClientConnection;
use crate::http::event_counts::EventCounts;
use crate::http::lifecycle::Lifecycle;
use crate::http::request_body::RequestBody;
use crate::http::response_body::{ResponseBody, client_response};
use crate::http::responses::{failed_response, rejected_response};
use crate::log_line;
use crate::metrics::Metrics;
use crate::runtime::Runtime;
use crate::upstream::{AttemptResult, OutgoingRequest, UpstreamClient};

/// As a last resort, a request without a decision fails this long after its deadline.
const DECISION_GRACE: Ticks = Ticks(100);

/// Provides the dispatcher of an upstream service and the client that connects to its endpoints.
pub trait UpstreamService<R: Runtime>: Send + Sync + 'static {
    /// Returns the dispatcher, which decides on the attempts.
    fn dispatcher(&self) -> &Dispatcher;

    /// Returns the client that makes the attempts.
    fn upstream_client(&self) -> &UpstreamClient<R>;

    /// Returns the metrics, which count requests and attempts.
    fn metrics(&self) -> &Arc<Metrics>;
}

/// Holds a request that was read and can be submitted to the dispatcher.
pub struct ReceivedRequest {
    /// The request as it is submitted to the dispatcher. Its timeout runs from the last byte of the request.
    pub request: NewRequest,
    /// The head to forward.
    pub head: Parts,
    /// The body, or its first bytes with the rest still to be read.
    pub body: RequestBody,
    /// Is set once an attempt has begun.
    pub has_begun: Arc<AtomicBool>,
}

impl ReceivedRequest {
    /// Splits the request into the part for the dispatcher, whose timeout becomes the time left until the
    /// deadline, and the part that the attempts send.
    fn split(self, received_at: Timestamp, now: Timestamp) -> (NewRequest, OutgoingRequest) {
        let ReceivedRequest { mut request, head, body, has_begun } = self;
        let timeout = request.timeout;
        let deadline = received_at + timeout;
        request.timeout = Ticks((deadline - now).0.max(0));
        (request, OutgoingRequest { head, body, timeout, deadline, has_begun })
    }
}

/// Completes [`DECISION_GRACE`] after the deadline of a request, by which it should have a decision.
fn wait_for_decision_deadline<R: Runtime>(
    runtime: &R,
    outgoing: &OutgoingRequest,
) -> impl Future<Output = ()> {
    let deadline = outgoing.deadline + DECISION_GRACE;
    let timeout = outgoing.timeout + DECISION_GRACE;
    outgoing.body.wait_for_timeout(runtime, deadline, timeout)
}

/// Guards a request in flight: if it is dropped before the response, the dispatcher is notified that the
/// client has disconnected.
struct RequestGuard<'a, R: Runtime> {
    runtime: &'a R,
    dispatcher: &'a Dispatcher,
    request_id: RequestId,
}

impl<R: Runtime> Drop for RequestGuard<'_, R> {
    fn drop(&mut self) {
        self.dispatcher.report_client_gone(self.runtime.now(), self.request_id);
    }
}

/// Submits a request, makes the attempts that the dispatcher asks for, and returns the response for the
/// client.
///
/// `class` is the name under which a streamed response is counted. At the end of the grace period of
/// `lifecycle` the dispatcher expires the request; a request that comes later is rejected without an attempt.
/// `on_response` may change the head of an endpoint's response.
///
/// Dropping the future reports to the dispatcher that the client has disconnected.
pub async fn dispatch<R: Runtime, U: UpstreamService<R>>(
    runtime: &R,
    service: &Arc<U>,
    client: &Arc<ClientConnection<R>>,
    received: ReceivedRequest,
    class: &str,
    lifecycle: &Lifecycle,
    on_response: impl Fn(&mut Response<ResponseBody>),
) -> Response {
    let now = runtime.now();
    if lifecycle.is_past_grace_end(now) {
        return rejected_response(None);
    }
    let (request, outgoing) = received.split(client.last_received_at(), now);
    let outgoing = Arc::new(outgoing);
    let decision_timeout = wait_for_decision_deadline(runtime, &outgoing);
    let grace_end = lifecycle.wait_for_grace_end(runtime);
    tokio::pin!(decision_timeout, grace_end);
    client.hold_in_flight(service.metrics().start_request());
    let dispatcher = service.dispatcher();
    let request_id = dispatcher.submit(now, request);
    let on_streaming = || dispatcher.report_streaming(runtime.now(), request_id);
    let progress = outgoing.body.watch_progress(on_streaming, || client.on_request_complete());
    tokio::pin!(progress);
    let _guard = RequestGuard { runtime, dispatcher, request_id };
    let (response_sender, mut responses) = mpsc::channel::<Response<ResponseBody>>(1);
    let mut is_grace_over = false;
    loop {
        tokio::select! {
            biased;
            () = &mut progress => {}
            Some(mut response) = responses.recv() => {
                on_response(&mut response);
                return client_response(runtime, client, response, service.metrics(), class);
            }
            next = dispatcher.next_step(request_id) => match next {
                NextStep::Attempt(attempt) => {
                    let sender = response_sender.clone();
                    let outgoing = outgoing.clone();
                    let events = client.events().clone();
                    let (runtime, service) = (runtime.clone(), service.clone());
                    runtime.clone().spawn(run_attempt(runtime, service, attempt, outgoing, events, sender));
                }
                NextStep::Reject { retry_after } => return rejected_response(retry_after),
                NextStep::Fail => return failed_response(),
            },
            () = &mut decision_timeout => {
                log_line!(
                    *runtime,
                    "server: request {} got no decision before its deadline, which is a defect",
                    request_id.0
                );
                return failed_response();
            }
            () = &mut grace_end, if !is_grace_over => {
                is_grace_over = true;
                let connection = client.id();
                log_line!(
                    *runtime,
                    "server: grace period over, request expired: client connection {connection}, id {:?}",
                    outgoing.id()
                );
                lifecycle.on_request_expired();
                dispatcher.expire_now(runtime.now(), request_id);
            }
        }
    }
}

/// Makes one attempt and reports its result, even if the request is finished or its client has disconnected.
async fn run_attempt<R: Runtime, U: UpstreamService<R>>(
    runtime: R,
    service: Arc<U>,
    attempt: Attempt,
    outgoing: Arc<OutgoingRequest>,
    events: Arc<EventCounts>,
    response_sender: mpsc::Sender<Response<ResponseBody>>,
) {
    let dispatcher = service.dispatcher();
    let result = service.upstream_client().send_attempt(dispatcher, &attempt, &outgoing).await;
    runtime.attempt_finished(result.name());
    events.on_attempt(&result);
    let is_final = dispatcher.report_attempt(runtime.now(), attempt, result.outcome());
    if let AttemptResult::Succeeded(response) = result
        && is_final
    {
        // Sending only fails if the client has disconnected.
        let _ = response_sender.try_send(response);
    }
}
