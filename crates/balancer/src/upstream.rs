//! Connects to endpoints and makes the attempts that the dispatcher decides on, with a connection pool for
//! each endpoint. This module does not retry or choose endpoints.

pub mod attempt_result;
mod attempt_trace;
mod connection;
mod exchange;
pub mod load_probes;
mod outgoing;
mod pool;
mod reservation;
mod response;
mod response_check;
mod stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use axum::http::StatusCode;
use doorproxy::dispatcher::{Attempt, BackgroundEffects, Dispatcher};
use doorproxy::effects::{EndpointStatus, EndpointUpdate};
use doorproxy::ids::{EndpointId, Ticks, Timestamp};
use tokio::sync::Semaphore;

use crate::log_line;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::runtime::Runtime;
use crate::sync::lock;
use crate::upstream::attempt_trace::AttemptTrace;
use crate::upstream::connection::Connector;
use crate::upstream::pool::ConnectionPool;
use crate::upstream::response_check::{RepeatCounts, ResponseTimes};

pub use attempt_result::AttemptResult;
pub use outgoing::{OutgoingRequest, TIMEOUT_HEADER};

/// Idle connections are closed while fewer sockets than this are free.
const MIN_FREE_SOCKETS: usize = 8;
/// Fraction of an endpoint's keep-alive time after which this side closes an idle connection, so that no
/// request is written to a connection while the endpoint closes it.
const IDLE_TIMEOUT_RATIO: f64 = 0.5;

/// Returns how many of the process's `max_sockets` sockets are for connections to endpoints.
pub fn max_upstream_sockets(max_sockets: usize) -> usize {
    max_sockets * 5 / 16
}

/// Holds the timeouts of connections to endpoints.
#[derive(Clone, Copy)]
pub struct UpstreamTimeouts {
    /// Time within which a connection has to be established.
    pub connect: Ticks,
    /// Time after which endpoints close an idle connection.
    pub keepalive: Ticks,
    /// Maximum time for which a response of unknown length is buffered.
    pub response_buffering: Ticks,
}

/// Holds the connections to all endpoints of one upstream service.
pub struct UpstreamClient<R: Runtime> {
    runtime: R,
    is_success: fn(StatusCode) -> bool,
    timeouts: UpstreamTimeouts,
    socket_permits: Arc<Semaphore>,
    /// Number of sockets that are lent to a sibling process.
    lent_sockets: Mutex<usize>,
    metrics: Arc<Metrics>,
    opened_connections: Arc<AtomicU64>,
    repeat_counts: RepeatCounts,
    memory: MemoryBudget,
    endpoints: Mutex<BTreeMap<EndpointId, EndpointConnections<R>>>,
}

struct EndpointConnections<R: Runtime> {
    address: SocketAddr,
    /// Start of the process that the connections lead to, if it is known.
    started_at: Option<Timestamp>,
    pool: Arc<ConnectionPool<R>>,
    /// Whether attempts may be sent. An attempt that was decided on before this became false is not sent.
    accepts_attempts: Arc<AtomicBool>,
    last_response_at: Option<Timestamp>,
    response_times: Arc<ResponseTimes>,
}

impl<R: Runtime> EndpointConnections<R> {
    /// Returns whether the connections lead to the process at this address that has started at this time. A process
    /// that was replaced has ended, also if nothing has come from its machine to say so.
    fn leads_to(&self, address: SocketAddr, started_at: Option<Timestamp>) -> bool {
        self.address == address && (started_at.is_none() || self.started_at == started_at)
    }

    fn set_status(&self, status: EndpointStatus) {
        self.accepts_attempts.store(status == EndpointStatus::Ready, Ordering::Relaxed);
    }
}

impl<R: Runtime> Drop for EndpointConnections<R> {
    /// Prevents the remaining attempts: the endpoint was removed, or a process at another address replaced
    /// it.
    fn drop(&mut self) {
        self.accepts_attempts.store(false, Ordering::Relaxed);
    }
}

/// Holds the state of an endpoint that an attempt needs, even if the endpoint is removed during the attempt.
struct AttemptTarget<R: Runtime> {
    address: SocketAddr,
    pool: Arc<ConnectionPool<R>>,
    accepts_attempts: Arc<AtomicBool>,
}

/// Implements the dispatcher's background effects: closing idle connections and writing log lines.
pub struct UpstreamEffects<R: Runtime>(pub Arc<UpstreamClient<R>>);

impl<R: Runtime> BackgroundEffects for UpstreamEffects<R> {
    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.0.close_idle_connections(endpoint);
    }

    fn log(&mut self, line: &str) {
        log_line!(self.0.runtime, "{line}");
    }
}

impl<R: Runtime> UpstreamClient<R> {
    /// Creates a client without endpoints. A response whose status does not satisfy `is_success` counts as a
    /// failure of the endpoint.
    pub fn new(
        runtime: R,
        timeouts: UpstreamTimeouts,
        max_sockets: usize,
        metrics: Arc<Metrics>,
        memory: MemoryBudget,
        is_success: fn(StatusCode) -> bool,
    ) -> UpstreamClient<R> {
        UpstreamClient {
            runtime,
            is_success,
            timeouts,
            socket_permits: Arc::new(Semaphore::new(max_sockets)),
            lent_sockets: Mutex::new(0),
            metrics,
            opened_connections: Arc::default(),
            repeat_counts: RepeatCounts::default(),
            memory,
            endpoints: Mutex::default(),
        }
    }

    fn endpoints(&self) -> MutexGuard<'_, BTreeMap<EndpointId, EndpointConnections<R>>> {
        lock(&self.endpoints)
    }

    fn new_pool(&self, address: SocketAddr, response_times: Arc<ResponseTimes>) -> Arc<ConnectionPool<R>> {
        ConnectionPool::new(Connector {
            runtime: self.runtime.clone(),
            address,
            connect_timeout: self.timeouts.connect,
            idle_timeout: self.timeouts.keepalive.mul_f64(IDLE_TIMEOUT_RATIO),
            socket_permits: self.socket_permits.clone(),
            metrics: self.metrics.clone(),
            opened_connections: self.opened_connections.clone(),
            memory: self.memory.clone(),
            response_times,
        })
    }

    /// Lends `wanted` sockets to a sibling process. Only free sockets are lent; later calls lend the rest.
    pub fn lend_sockets(&self, wanted: usize) {
        let mut lent = lock(&self.lent_sockets);
        if *lent > wanted {
            self.socket_permits.add_permits(*lent - wanted);
            *lent = wanted;
        } else {
            *lent += self.socket_permits.forget_permits(wanted - *lent);
        }
    }

    /// Closes the idle connections to an endpoint. Connections that attempts are using stay open.
    pub fn close_idle_connections(&self, endpoint: EndpointId) {
        if let Some(connections) = self.endpoints().get_mut(&endpoint) {
            self.replace_pool(connections);
        }
    }

    fn replace_pool(&self, connections: &mut EndpointConnections<R>) {
        connections.pool = self.new_pool(connections.address, connections.response_times.clone());
    }

    /// Applies the addresses and statuses of endpoints. A complete snapshot removes the endpoints that are
    /// not in it.
    pub fn apply_endpoints(&self, updates: &[EndpointUpdate], addresses: &[SocketAddr], is_snapshot: bool) {
        let mut endpoints = self.endpoints();
        if is_snapshot {
            endpoints.retain(|&id, _| updates.iter().any(|update| update.endpoint == id));
        }
        for (update, &address) in updates.iter().zip(addresses) {
            let known = endpoints.get(&update.endpoint);
            if update.status == EndpointStatus::Removed {
                endpoints.remove(&update.endpoint);
            } else if known.is_none_or(|known| !known.leads_to(address, update.started_at)) {
                endpoints.insert(update.endpoint, self.new_endpoint(address, update.started_at));
            }
        }
        set_statuses(&endpoints, updates);
    }

    fn new_endpoint(&self, address: SocketAddr, started_at: Option<Timestamp>) -> EndpointConnections<R> {
        let response_times = Arc::<ResponseTimes>::default();
        EndpointConnections {
            address,
            started_at,
            pool: self.new_pool(address, response_times.clone()),
            accepts_attempts: Arc::default(),
            last_response_at: None,
            response_times,
        }
    }

    /// Applies the statuses of known endpoints.
    pub fn apply_updates(&self, updates: &[EndpointUpdate]) {
        set_statuses(&self.endpoints(), updates);
    }

    fn attempt_target(&self, endpoint: EndpointId) -> Option<AttemptTarget<R>> {
        let endpoints = self.endpoints();
        let connections = endpoints.get(&endpoint)?;
        Some(AttemptTarget {
            address: connections.address,
            pool: connections.pool.clone(),
            accepts_attempts: connections.accepts_attempts.clone(),
        })
    }

    /// Closes all idle connections if fewer than [`MIN_FREE_SOCKETS`] sockets are free.
    fn free_sockets(&self) {
        if self.socket_permits.available_permits() < MIN_FREE_SOCKETS {
            self.endpoints().values_mut().for_each(|connections| self.replace_pool(connections));
        }
    }

    /// Makes one attempt. It ends with a result, at the request's deadline, or when the dispatcher cancels
    /// it.
    ///
    /// Dropping the future closes the connection.
    pub async fn send_attempt(
        &self,
        dispatcher: &Dispatcher,
        attempt: &Attempt,
        outgoing: &OutgoingRequest,
    ) -> AttemptResult {
        let started_at = self.runtime.now();
        self.free_sockets();
        let Some(target) = self.attempt_target(attempt.endpoint) else {
            return AttemptResult::ConnectFailed;
        };
        let trace = AttemptTrace::new(&self.runtime, outgoing, attempt.endpoint);
        let has_begun = Arc::new(AtomicBool::new(false));
        let may_begin = {
            let runtime = self.runtime.clone();
            let has_begun = has_begun.clone();
            let request_has_begun = outgoing.has_begun.clone();
            let accepts_attempts = target.accepts_attempts.clone();
            let begin_deadline = outgoing.begin_deadline();
            let is_wanted = dispatcher.begin_check(attempt);
            let trace = trace.clone();
            move || {
                let now = runtime.now();
                let may_begin =
                    accepts_attempts.load(Ordering::Relaxed) && now < begin_deadline && is_wanted(now);
                has_begun.store(may_begin, Ordering::Relaxed);
                request_has_begun.fetch_or(may_begin, Ordering::Relaxed);
                trace.record(if may_begin { "first byte" } else { "not wanted" });
                may_begin
            }
        };
        let result = tokio::select! {
            biased;
            () = dispatcher.cancelled(attempt) => AttemptResult::Cancelled,
            // The timeout is polled before the exchange, since both may be ready after a stall of this
            // process.
            () = outgoing.body.wait_for_timeout(&self.runtime, outgoing.deadline, outgoing.timeout) => {
                AttemptResult::TimedOut
            }
            result = self.exchange(&target, outgoing, may_begin, &trace) => result,
            () = outgoing.body.wait_for_stall(&self.runtime) => AttemptResult::ConnectionReset,
        };
        let result = refine_result(result, has_begun.load(Ordering::Relaxed), outgoing);
        self.record_result(attempt.endpoint, started_at, &result);
        trace.record(result.name());
        result
    }

    /// Records the result of an attempt. After a failure, this closes the idle connections to an endpoint
    /// from which nothing was received for the connect timeout: the machine may be gone, and requests written
    /// to those connections would have an unknown outcome. While the endpoint responds to other requests, the
    /// connections are kept, because opening new ones costs it work.
    fn record_result(&self, endpoint: EndpointId, started_at: Timestamp, result: &AttemptResult) {
        let mut endpoints = self.endpoints();
        let Some(connections) = endpoints.get_mut(&endpoint) else { return };
        let now = self.runtime.now();
        let is_long_ago = |at: Timestamp| now - at > self.timeouts.connect;
        let is_unresponsive =
            connections.last_response_at.is_none_or(|at| at < started_at && is_long_ago(at));
        match result {
            AttemptResult::Succeeded(_)
            | AttemptResult::Overloaded
            | AttemptResult::ErrorResponse
            | AttemptResult::ResponseTooLarge => connections.last_response_at = Some(now),
            AttemptResult::ConnectFailed
            | AttemptResult::ClosedBeforeSent
            | AttemptResult::ConnectionReset
                if is_unresponsive =>
            {
                self.replace_pool(connections);
            }
            // If a client leaves shortly after the start, the cancellation says nothing about the endpoint.
            AttemptResult::TimedOut | AttemptResult::Cancelled
                if is_unresponsive && is_long_ago(started_at) =>
            {
                self.replace_pool(connections);
            }
            _ => {}
        }
    }
}

fn set_statuses<R: Runtime>(
    endpoints: &BTreeMap<EndpointId, EndpointConnections<R>>,
    updates: &[EndpointUpdate],
) {
    for update in updates {
        if let Some(connections) = endpoints.get(&update.endpoint) {
            connections.set_status(update.status);
        }
    }
}

/// Refines the result if it is certain that nothing, or not the last byte, of the request was sent.
fn refine_result(result: AttemptResult, has_begun: bool, outgoing: &OutgoingRequest) -> AttemptResult {
    match result {
        AttemptResult::Cancelled | AttemptResult::TimedOut if !has_begun => AttemptResult::NotSent,
        AttemptResult::ConnectionReset if outgoing.body.is_incomplete() => AttemptResult::ClosedBeforeSent,
        result => result,
    }
}
