//! Clients of the balancers. Depending on the seed, a client reuses connections or opens one for each
//! request, may abandon requests, and retries never, at once, with backoff or after the time in
//! `Retry-After`. It resends a request once if the balancer closed the connection before reading it.
//!
//! Clients record every response, and every request that ends without one.

mod connection;
mod request;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy::rng::{Pcg, mix};
use doorproxy_balancer::runtime::Runtime;

use crate::checker::ResponseArrival;
use crate::context::ClusterContext;
use crate::hard_cases::HardCase;
use crate::http::Message;
use crate::kernel::{HostId, random_below};
use crate::nodes::BalancerProcess;
use crate::request_class::NON_IDEMPOTENT_CLASS;
use crate::rule::Rule;
use crate::runtime::SimulatedRuntime;
use crate::time::{MS, Micros, SECOND};
use connection::ClientConnection;
use request::{OutgoingRequest, class_of};

const FIRST_CLIENT_HOST: u32 = 100;
const MAX_RETRIES: u64 = 2;
const DEFAULT_RETRY_AFTER: Micros = 100 * MS;
const INITIAL_BACKOFF: Micros = 50 * MS;
/// The maximum number of idle connections that a client keeps to each process of a balancer.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// A request with a shorter timeout may expire in the backlog of a balancer that is short of descriptors,
/// which breaks no rule.
const MIN_ANSWERABLE_TIMEOUT: Micros = 100 * MS;

/// The retry policy of a client.
#[derive(Clone, Copy, PartialEq)]
enum RetryBehavior {
    Never,
    Immediate,
    /// Retries after the time in `Retry-After`.
    RetryAfter,
    /// Retries after a wait that doubles each time, whatever `Retry-After` says.
    ExponentialBackoff,
}

const RETRY_BEHAVIORS: [RetryBehavior; 4] = [
    RetryBehavior::Never,
    RetryBehavior::Immediate,
    RetryBehavior::RetryAfter,
    RetryBehavior::ExponentialBackoff,
];

/// A client that sends requests to balancers.
pub struct Client {
    runtime: SimulatedRuntime,
    context: Arc<ClusterContext>,
    connects_for_each_request: bool,
    retry_behavior: RetryBehavior,
    idle_connections: Mutex<BTreeMap<BalancerProcess, Vec<ClientConnection>>>,
}

/// The outcome of one try, as far as the client can tell.
enum ExchangeOutcome {
    Response(Message),
    /// The connection was closed before the balancer read any byte of the request.
    ClosedUnread,
    /// The connection was closed before the client wrote the last byte.
    WriteFailed,
    /// The connection was closed after the balancer read a part of the request, and before the body of a
    /// response.
    ClosedAfterRead,
    TimedOut,
    /// The response ended before its last byte, at this time.
    PartialResponse(Micros),
    Abandoned,
}

/// The outcome of a try, and the process that it was sent to.
struct Exchange {
    outcome: ExchangeOutcome,
    process: BalancerProcess,
}

/// Conditions at the end of a try.
struct TryContext {
    /// True if the connection was opened for this request alone.
    is_fresh: bool,
    /// True if the balancer's process runs, or has ended by itself, so that every request has to be answered.
    must_answer: bool,
    /// True if the balancer has read no byte of the request.
    is_unread: bool,
}

/// The advice on whether a client may retry after an outcome.
enum RetryAdvice {
    Final,
    MayRetry { retry_after: Option<Micros> },
}

impl Client {
    /// Creates a client. Its use of connections and its retry policy are drawn from the seed.
    pub fn new(context: &Arc<ClusterContext>, number: u32) -> Arc<Client> {
        let mut rng = Pcg::new(mix(context.scenario.seed ^ 0xc11e_0000 ^ u64::from(number)));
        let host = HostId(FIRST_CLIENT_HOST + number);
        Arc::new(Client {
            runtime: SimulatedRuntime::new(&context.simulation, host, &format!("c{number}")),
            context: context.clone(),
            connects_for_each_request: random_below(&mut rng, 4) == 0,
            retry_behavior: RETRY_BEHAVIORS[random_below(&mut rng, 4) as usize],
            idle_connections: Mutex::default(),
        })
    }

    /// Returns the number of requests that have not finished.
    pub fn task_count(&self) -> usize {
        self.context.simulation.task_count(self.runtime.process)
    }

    fn idle_connections(&self) -> MutexGuard<'_, BTreeMap<BalancerProcess, Vec<ClientConnection>>> {
        self.idle_connections.lock().expect("no panic while connections are locked")
    }

    /// Closes the idle connections that the client keeps.
    pub fn close_idle_connections(&self) {
        let connections = std::mem::take(&mut *self.idle_connections());
        drop(connections);
    }

    /// Sends a request at a given time and retries it by the client's policy. Each request of a storm has a
    /// connection of its own.
    pub fn send_at(self: &Arc<Client>, at: Micros, number: u64, is_in_storm: bool) {
        let client = self.clone();
        self.runtime.spawn(async move {
            let now = client.runtime.simulation.now();
            client.runtime.sleep_micros(at.saturating_sub(now)).await;
            client.send_with_retries(number, is_in_storm).await;
        });
    }

    async fn send_with_retries(&self, number: u64, is_in_storm: bool) {
        let mut backoff = INITIAL_BACKOFF;
        for retry in 0..=MAX_RETRIES {
            let request_id = number + 1 + (retry << 32);
            let mut rng = Pcg::new(mix(self.context.scenario.seed ^ mix(request_id)));
            let Some(exchange) = self.send_request(request_id, number, &mut rng, is_in_storm).await else {
                return;
            };
            if retry > 0 {
                self.record_retry(&exchange);
            }
            let RetryAdvice::MayRetry { retry_after } = self.retry_advice(number, &exchange.outcome) else {
                return;
            };
            match self.retry_behavior {
                RetryBehavior::Never => return,
                RetryBehavior::Immediate => {}
                RetryBehavior::RetryAfter => {
                    self.runtime.sleep_micros(retry_after.unwrap_or(DEFAULT_RETRY_AFTER)).await;
                }
                RetryBehavior::ExponentialBackoff => {
                    self.runtime.sleep_micros(backoff).await;
                    backoff *= 2;
                }
            }
        }
    }

    fn record_retry(&self, exchange: &Exchange) {
        let is_answered = matches!(exchange.outcome, ExchangeOutcome::Response(_));
        if is_answered && self.context.was_another_killed_recently(exchange.process.balancer) {
            self.context.records.lock().record_hard_case(HardCase::RetryThroughAnotherBalancer);
        }
    }

    fn retry_advice(&self, number: u64, outcome: &ExchangeOutcome) -> RetryAdvice {
        let unless_non_idempotent = || {
            if class_of(self.context.scenario.seed, number) == NON_IDEMPOTENT_CLASS {
                RetryAdvice::Final
            } else {
                RetryAdvice::MayRetry { retry_after: None }
            }
        };
        match outcome {
            ExchangeOutcome::Response(response) if response.status() == 503 => {
                let seconds = response.header("retry-after").and_then(|value| value.parse::<f64>().ok());
                let retry_after = seconds.map(|seconds| (seconds * SECOND as f64) as Micros);
                RetryAdvice::MayRetry { retry_after }
            }
            ExchangeOutcome::Response(response) if response.status() == 502 => unless_non_idempotent(),
            ExchangeOutcome::Response(_) | ExchangeOutcome::Abandoned => RetryAdvice::Final,
            ExchangeOutcome::ClosedUnread
            | ExchangeOutcome::WriteFailed
            | ExchangeOutcome::ClosedAfterRead
            | ExchangeOutcome::TimedOut
            | ExchangeOutcome::PartialResponse(_) => unless_non_idempotent(),
        }
    }

    /// Sends a request once, or twice if the first connection was closed before the balancer read the
    /// request. Returns `None` if no balancer accepts a connection.
    async fn send_request(
        &self,
        request_id: u64,
        number: u64,
        rng: &mut Pcg,
        is_in_storm: bool,
    ) -> Option<Exchange> {
        let request = OutgoingRequest::draw(&self.context, rng, request_id, number);
        self.context.records.lock().record_request(request_id, request.as_recorded());
        let mut is_resend = false;
        loop {
            let is_fresh = is_in_storm || self.connects_for_each_request || is_resend;
            let Some(mut connection) = self.acquire_connection(rng, is_fresh).await else {
                self.context.records.lock().outcomes.increment("no balancer accepted a connection");
                return None;
            };
            let process = connection.process;
            let bytes_before = connection.bytes_written;
            let result = self.exchange(&mut connection, &request).await;
            let must_answer = self.context.is_alive(process) || self.context.has_ended(process);
            let is_unread = connection.bytes_read_by_peer() <= bytes_before;
            let outcome = match result {
                Ok(outcome) => outcome,
                Err(_) if is_unread => ExchangeOutcome::ClosedUnread,
                Err(_) => ExchangeOutcome::ClosedAfterRead,
            };
            if !is_resend && self.record_close_before_read(&outcome) {
                is_resend = true;
                continue;
            }
            let state = TryContext { is_fresh, must_answer, is_unread };
            self.conclude(rng, &request, connection, &outcome, &state).await;
            return Some(Exchange { outcome, process });
        }
    }

    /// Returns whether the request should be resent at once: the connection was closed before the balancer
    /// read it or before it was fully written. Records each such case.
    fn record_close_before_read(&self, outcome: &ExchangeOutcome) -> bool {
        match outcome {
            ExchangeOutcome::WriteFailed => {
                self.context.records.lock().outcomes.increment("connection closed during the request");
                true
            }
            ExchangeOutcome::ClosedUnread => {
                self.context.records.lock().record_hard_case(HardCase::CloseCrossesRequest);
                true
            }
            _ => false,
        }
    }

    /// Records the outcome of a request, and keeps or closes its connection.
    async fn conclude(
        &self,
        rng: &mut Pcg,
        request: &OutgoingRequest,
        connection: ClientConnection,
        outcome: &ExchangeOutcome,
        state: &TryContext,
    ) {
        match outcome {
            ExchangeOutcome::Response(response) => {
                self.record_response(request.id, response);
                let is_closing = response.header("connection").is_some_and(|value| value == "close");
                if !is_closing && !state.is_fresh {
                    self.keep_connection(connection);
                }
            }
            ExchangeOutcome::PartialResponse(sent_at) => {
                let mut records = self.context.records.lock();
                let kernel = &mut self.runtime.simulation.state().kernel;
                records.record_truncated_response(kernel, request.id, *sent_at);
            }
            ExchangeOutcome::WriteFailed => self.count_outcome("connection closed during the request"),
            ExchangeOutcome::ClosedUnread if state.must_answer => {
                self.report_lost(request.id, connection.process, false);
            }
            ExchangeOutcome::ClosedAfterRead if state.must_answer => {
                self.report_lost(request.id, connection.process, true);
            }
            ExchangeOutcome::TimedOut if state.must_answer => {
                if request.timeout < MIN_ANSWERABLE_TIMEOUT && state.is_unread {
                    self.count_outcome("expired in the backlog with a short timeout");
                } else {
                    self.report_unanswered(request.id, connection.process);
                }
            }
            ExchangeOutcome::ClosedUnread | ExchangeOutcome::ClosedAfterRead | ExchangeOutcome::TimedOut => {
                self.count_outcome("balancer was killed before a response")
            }
            ExchangeOutcome::Abandoned => self.abandon(rng, request.id, connection).await,
        }
    }

    fn count_outcome(&self, name: &str) {
        self.context.records.lock().outcomes.increment(name);
    }

    fn record_response(&self, request_id: u64, response: &Message) {
        let arrival = ResponseArrival {
            request_id,
            status: response.status(),
            body: &response.body,
            sent_at: response.sent_at,
        };
        let mut records = self.context.records.lock();
        records.record_response(&mut self.runtime.simulation.state().kernel, &arrival);
    }

    fn keep_connection(&self, connection: ClientConnection) {
        let mut idle_connections = self.idle_connections();
        let of_process = idle_connections.entry(connection.process).or_default();
        if of_process.len() < MAX_IDLE_CONNECTIONS {
            of_process.push(connection);
        }
    }

    fn report_lost(&self, request_id: u64, process: BalancerProcess, is_read: bool) {
        let balancer = process.balancer;
        let how = if is_read { "after reading from it" } else { "twice" };
        let text =
            format!("b{balancer} closed the connection of request {request_id:x} {how} without a response");
        let numbers = [balancer as u64, request_id, u64::from(is_read)];
        let mut records = self.context.records.lock();
        let kernel = &mut self.runtime.simulation.state().kernel;
        records.report_violation(kernel, Rule::Lost, &numbers, text);
    }

    fn report_unanswered(&self, request_id: u64, process: BalancerProcess) {
        let balancer = process.balancer;
        let text = format!("b{balancer} sent no response to request {request_id:x} before its deadline");
        let numbers = [balancer as u64, request_id];
        let mut records = self.context.records.lock();
        let kernel = &mut self.runtime.simulation.state().kernel;
        records.report_violation(kernel, Rule::Unanswered, &numbers, text);
    }

    /// Closes the connection of a request that the client abandons. One time in three it shuts down only its
    /// sending side at first, which by the protocol already means that the client has gone.
    async fn abandon(&self, rng: &mut Pcg, request_id: u64, connection: ClientConnection) {
        if random_below(rng, 3) == 0 {
            connection.shutdown_write();
            self.context.records.lock().record_client_gone(self.runtime.simulation.now(), request_id);
            self.runtime.sleep_micros(200 * MS).await;
        }
        drop(connection);
        let mut records = self.context.records.lock();
        records.record_client_gone(self.runtime.simulation.now(), request_id);
        records.outcomes.increment("abandoned by the client");
    }
}
