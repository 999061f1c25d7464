//! Makes single exchanges with endpoints: sends a request on a pooled connection, reads the response, and
//! checks that it can be the response to that request.

use axum::http::StatusCode;
use axum::response::Response;
use bytes::Bytes;
use doorproxy::ids::{EndpointId, Ticks};
use hyper::body::Incoming;

use crate::http::body::collect_body;
use crate::http::response_body::ResponseBody;
use crate::log_line;
use crate::runtime::{Runtime, duration};
use crate::upstream::attempt_trace::AttemptTrace;
use crate::upstream::connection::{ExchangeError, UpstreamConnection};
use crate::upstream::reservation::Reservation;
use crate::upstream::response_check::{HeadDigest, ResponseDigest};
use crate::upstream::stream::ExchangeState;
use crate::upstream::{AttemptResult, AttemptTarget, OutgoingRequest, UpstreamClient, outgoing, response};

/// States what was received in an exchange.
enum Received {
    /// The result of the attempt.
    Result(AttemptResult),
    /// A response that may belong to an earlier request on its connection.
    InDoubt(ResponseInDoubt),
}

/// Holds a response until it is known whether the endpoint sends another one for the same request.
struct ResponseInDoubt {
    response: Response<ResponseBody>,
    digest: ResponseDigest,
    response_time: Ticks,
    reservation: Reservation,
}

/// Returns the result of an attempt that ended without a response.
fn unanswered_result(error: ExchangeError, exchange_state: &ExchangeState) -> AttemptResult {
    match error {
        ExchangeError::Withheld => AttemptResult::NotSent,
        ExchangeError::NotSent if exchange_state.was_used() => AttemptResult::ClosedBeforeSent,
        ExchangeError::NotSent => AttemptResult::ConnectFailed,
        ExchangeError::ConnectionBroken => AttemptResult::ConnectionReset,
    }
}

impl<R: Runtime> UpstreamClient<R> {
    /// Sends a request on a connection from the pool, and returns the result of the attempt.
    pub(super) async fn exchange(
        &self,
        target: &AttemptTarget<R>,
        outgoing: &OutgoingRequest,
        may_begin: impl Fn() -> bool + Send + 'static,
        trace: &AttemptTrace<R>,
    ) -> AttemptResult {
        let Some(mut connection) = target.pool.acquire().await else { return AttemptResult::ConnectFailed };
        // This is computed only now because establishing the connection took part of the time.
        let remaining = outgoing.remaining(self.runtime.now());
        let exchange_state = connection.exchange_state();
        trace.set_connection(&exchange_state);
        trace.record("connection acquired");
        let request = outgoing.to_request(target.address, remaining);
        let response = match connection.exchange(request, may_begin).await {
            Ok(response) => response,
            Err(error) => return unanswered_result(error, &exchange_state),
        };
        trace.record("response head");
        match self.receive(target, connection, response).await {
            Received::Result(result) => result,
            Received::InDoubt(in_doubt) => self.resolve_doubt(target, in_doubt, trace).await,
        }
    }

    /// Reads a response. Its connection goes back to the pool, and is reserved if the response is in doubt.
    async fn receive(
        &self,
        target: &AttemptTarget<R>,
        connection: UpstreamConnection,
        response: Response<Incoming>,
    ) -> Received {
        let exchange_state = connection.exchange_state();
        let exchange_number = exchange_state.exchange_number();
        let response_time = exchange_state.response_time();
        let head = HeadDigest::of(&response);
        target.pool.release(connection);
        let buffering_time = self.timeouts.response_buffering;
        let (is_success, memory) = (self.is_success, &self.memory);
        let result =
            response::read_response(&self.runtime, response, is_success, buffering_time, memory).await;
        let AttemptResult::Succeeded(response) = result else { return Received::Result(result) };
        let digest = head.with_body(response.body());
        let recent = &exchange_state.recent_responses;
        let is_reused = !recent.is_empty();
        let is_repeated = recent.contains(digest);
        let times = target.pool.response_times();
        if is_reused && times.is_in_doubt(response_time, is_repeated, &self.repeat_counts) {
            let reservation = Reservation::new(exchange_state.clone());
            if exchange_state.exchange_number() != exchange_number {
                // The next request is on the connection already, and might get the response to this one.
                // Dropping the reservation closes the connection.
                return Received::Result(AttemptResult::ConnectionReset);
            }
            return Received::InDoubt(ResponseInDoubt { response, digest, response_time, reservation });
        }
        if is_reused {
            self.repeat_counts.add(is_repeated);
        }
        recent.add(digest);
        times.on_response(response_time);
        Received::Result(AttemptResult::Succeeded(response))
    }

    /// Waits until the response to the request would have come if this were another one. The attempt fails, as
    /// one that may have run, if the endpoint sends more or closes the connection before, or if no other
    /// response repeats an earlier one. A streamed response can't be held, since what comes after it is behind
    /// its rest.
    async fn resolve_doubt(
        &self,
        target: &AttemptTarget<R>,
        in_doubt: ResponseInDoubt,
        trace: &AttemptTrace<R>,
    ) -> AttemptResult {
        trace.record("response in doubt");
        if matches!(in_doubt.response.body(), ResponseBody::Streaming { .. }) {
            return AttemptResult::ConnectionReset;
        }
        let exchange_state = in_doubt.reservation.exchange_state().clone();
        let hold_time = target.pool.response_times().hold_time(&self.repeat_counts);
        tokio::select! {
            biased;
            () = exchange_state.wait_until_closed() => {
                log_line!(
                    self.runtime,
                    "upstream: endpoint at {} sent another response after one that came too soon",
                    target.address
                );
                AttemptResult::ConnectionReset
            }
            () = self.runtime.sleep_until(exchange_state.begun_at() + hold_time) => {
                let is_repeated = exchange_state.recent_responses.contains(in_doubt.digest);
                if is_repeated && !self.repeat_counts.are_usual() {
                    return AttemptResult::ConnectionReset;
                }
                self.repeat_counts.add(is_repeated);
                exchange_state.recent_responses.add(in_doubt.digest);
                target.pool.response_times().on_response(in_doubt.response_time);
                target.pool.cancel_reservation(in_doubt.reservation);
                AttemptResult::Succeeded(in_doubt.response)
            }
        }
    }

    /// Fetches the load report of an endpoint; `None` if it is not received within the connect timeout.
    pub async fn fetch_load_report(&self, endpoint: EndpointId) -> Option<Bytes> {
        let target = self.attempt_target(endpoint)?;
        let request = outgoing::load_probe_request(target.address);
        let call = async {
            let mut connection = target.pool.acquire().await?;
            let response = connection.exchange(request, || true).await.ok()?;
            let is_report = response.status() == StatusCode::OK;
            let head = HeadDigest::of(&response);
            let exchange_state = connection.exchange_state();
            target.pool.release(connection);
            let report = collect_body(response.into_body()).await.ok()?;
            let digest = head.with_body(&ResponseBody::Buffered(report.clone()));
            if exchange_state.recent_responses.contains(digest) {
                // This is the response to a request before, and the report is still to come: dropping the
                // reservation closes the connection.
                drop(Reservation::new(exchange_state));
                return None;
            }
            Some(report).filter(|_| is_report)
        };
        self.runtime.timeout(duration(self.timeouts.connect), call).await.flatten()
    }
}
