//! A test endpoint with cores, a queue, cached keys, a slow start, and the faults that a scenario sets.
//!
//! Apart from faults, it follows the protocol for endpoints and assumes nothing else about balancers.

mod response;

use std::collections::BTreeSet;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use doorproxy_balancer::runtime::{Listener, Runtime};

use crate::checker::{AttemptArrival, ReceivedAttempt};
use crate::context::ClusterContext;
use crate::hard_cases::HardCase;
use crate::http::{self, Message, MessageReader};
use crate::runtime::SimulatedRuntime;
use crate::scenario::{FaultKind, TriggerEvent};
use crate::stream::SimulatedStream;
use crate::time::{MS, Micros, SECOND};

/// The time after which an idle connection is closed.
pub const KEEPALIVE_TIMEOUT: Micros = 6 * SECOND;
/// The longest time in the queue. A request that would wait longer is declined.
const MAX_QUEUE_TIME: Micros = 1500 * MS;
/// The maximum number of connections while the endpoint has the fault `LimitConnections`.
const REDUCED_CONNECTION_LIMIT: usize = 2;
/// The ratio of work that a request with a cached key needs.
const CACHED_WORK_RATIO: f64 = 0.5;
const MAX_CACHED_KEYS: usize = 64;
/// The time for which a draining endpoint still accepts requests.
const DRAIN_ACCEPT_TIME: Micros = 500 * MS;
const BACKLOG: u32 = 64;

/// The state of a connection after a request.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionState {
    Open,
    Closing,
}

struct Server {
    context: Arc<ClusterContext>,
    server_index: usize,
    start_index: usize,
    cores_free_at: Mutex<Vec<Micros>>,
    cached_keys: Mutex<BTreeSet<String>>,
    open_connections: AtomicUsize,
}

/// Serves requests until the process ends. `start` is the index of this start in the records.
pub async fn serve(runtime: SimulatedRuntime, context: Arc<ClusterContext>, server: usize, start: usize) {
    let (address, cores) = {
        let state = context.state();
        (state.servers[server].address, state.servers[server].cores)
    };
    let Ok(listener) = runtime.listen(address, 0, BACKLOG) else { return };
    let server = Arc::new(Server {
        context,
        server_index: server,
        start_index: start,
        cores_free_at: Mutex::new(vec![0; cores]),
        cached_keys: Mutex::default(),
        open_connections: AtomicUsize::new(0),
    });
    while let Ok(stream) = listener.accept().await {
        let is_full = server.has_fault(FaultKind::LimitConnections)
            && server.open_connections.load(Ordering::Relaxed) >= REDUCED_CONNECTION_LIMIT;
        if is_full {
            continue;
        }
        server.open_connections.fetch_add(1, Ordering::Relaxed);
        let server = server.clone();
        runtime.spawn(async move {
            let _ = server.serve_connection(&stream).await;
            server.open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

impl Server {
    fn has_fault(&self, kind: FaultKind) -> bool {
        self.context.has_server_fault(self.server_index, kind)
    }

    async fn serve_connection(&self, stream: &SimulatedStream) -> io::Result<()> {
        let mut reader = MessageReader::default();
        loop {
            let next = tokio::select! {
                biased;
                next = reader.next_message(stream) => next?,
                () = stream.runtime.sleep_micros(KEEPALIVE_TIMEOUT) => None,
            };
            let Some(request) = next else { return Ok(()) };
            if self.handle_request(stream, request).await? == ConnectionState::Closing {
                return Ok(());
            }
        }
    }

    async fn handle_request(
        &self,
        stream: &SimulatedStream,
        request: Message,
    ) -> io::Result<ConnectionState> {
        let simulation = &stream.runtime.simulation;
        let request_id =
            request.header("req-id").and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let Some(received) = self.record_arrival(stream, &request, request_id) else {
            return Ok(ConnectionState::Closing);
        };
        let attempt = received.attempt_index;
        let is_past_drain = self.is_past_drain();
        let admitted = self.admit(received.work, request.header("req-key"));
        let Some(duration) = admitted.filter(|_| !is_past_drain) else {
            return self.decline(stream, request_id, attempt).await;
        };
        if self.has_fault(FaultKind::FailRequests) {
            return self.fail(stream, request_id, attempt).await;
        }
        while self.has_fault(FaultKind::HangRequests) {
            stream.runtime.sleep_micros(20 * MS).await;
        }
        if self.has_fault(FaultKind::RespondAtDeadline) {
            return self.respond_at_deadline(stream, &request, request_id, attempt).await;
        }
        // The request takes effect at a random point of its work.
        let before_effect = duration / 10 * simulation.state().random_below(10);
        stream.runtime.sleep_micros(before_effect).await;
        self.record_execution(stream, request_id, attempt);
        stream.runtime.sleep_micros(duration - before_effect).await;
        self.context.records.lock().record_server_response(request_id, simulation.now());
        self.write_response(stream, request_id, &request.body).await
    }

    /// Records an attempt, which checks it against the rules, and triggers the faults that wait for it.
    /// Returns `None` if it is not served.
    fn record_arrival(
        &self,
        stream: &SimulatedStream,
        request: &Message,
        request_id: u64,
    ) -> Option<ReceivedAttempt> {
        let balancer = self.context.balancer_at(stream.peer_host())?;
        let arrival = AttemptArrival {
            request_id,
            start_line: &request.start_line,
            body: &request.body,
            start: self.start_index,
            server: self.server_index,
            dedup_group: self.context.dedup_group_of(self.server_index),
            balancer,
            sent_at: request.sent_at,
        };
        let received = {
            let mut records = self.context.records.lock();
            records.record_attempt(&mut stream.runtime.simulation.state().kernel, &arrival)?
        };
        if received.is_retry {
            self.context.on_trigger_event(TriggerEvent::RetryReceived, self.server_index);
        }
        self.context.on_trigger_event(TriggerEvent::AttemptReceived, self.server_index);
        if received.is_non_idempotent {
            self.context.on_trigger_event(TriggerEvent::NonIdempotentReceived, self.server_index);
        }
        Some(received)
    }

    fn is_past_drain(&self) -> bool {
        let draining_since = self.context.state().servers[self.server_index].draining_since;
        draining_since.is_some_and(|since| self.context.simulation.now() > since + DRAIN_ACCEPT_TIME)
    }

    /// Returns the time until the request is done, including its time in the queue, or `None` if it is
    /// declined.
    fn admit(&self, work: f64, key: Option<&str>) -> Option<Micros> {
        if self.has_fault(FaultKind::DeclineRequests) {
            return None;
        }
        let now = self.context.simulation.now();
        let (speed, slowdown) = {
            let state = self.context.state();
            let server = &state.servers[self.server_index];
            (server.speed_factor, server.slowdown_factor)
        };
        let capacity = self.context.records.lock().server_starts[self.start_index].capacity_fraction(now);
        let is_cached = key.is_some_and(|key| self.touch_key(key));
        let work = if is_cached { work * CACHED_WORK_RATIO } else { work };
        let duration = (work * SECOND as f64 * slowdown / speed / capacity) as Micros;
        let mut cores = self.cores_free_at.lock().expect("no panic while cores are locked");
        let free_at = cores.iter_mut().min()?;
        let begin = (*free_at).max(now);
        if begin - now > MAX_QUEUE_TIME {
            return None;
        }
        *free_at = begin + duration;
        Some(*free_at - now)
    }

    /// Caches a key, and returns whether it was cached before.
    fn touch_key(&self, key: &str) -> bool {
        let mut cached_keys = self.cached_keys.lock().expect("no panic while keys are locked");
        let was_cached = !cached_keys.insert(key.to_string());
        if cached_keys.len() > MAX_CACHED_KEYS {
            cached_keys.pop_first();
        }
        was_cached
    }

    async fn decline(
        &self,
        stream: &SimulatedStream,
        request_id: u64,
        attempt: usize,
    ) -> io::Result<ConnectionState> {
        let simulation = &stream.runtime.simulation;
        self.context.records.lock().record_declined(simulation.now(), request_id, attempt);
        let status = if simulation.state().random_below(2) == 0 { "503 Full" } else { "504 Full" };
        stream.write(&http::response(status, "Srv-Declined: 1\r\n", b"")).await?;
        Ok(ConnectionState::Open)
    }

    async fn fail(
        &self,
        stream: &SimulatedStream,
        request_id: u64,
        attempt: usize,
    ) -> io::Result<ConnectionState> {
        if stream.runtime.simulation.state().random_below(2) == 0 {
            self.record_execution(stream, request_id, attempt);
        }
        stream.write(&http::response("500 Ill", "", b"ill")).await?;
        Ok(ConnectionState::Open)
    }

    fn record_execution(&self, stream: &SimulatedStream, request_id: u64, attempt: usize) {
        let mut records = self.context.records.lock();
        records.record_executed(&mut stream.runtime.simulation.state().kernel, request_id, attempt);
    }

    /// Sends the response so that it arrives at about the time at which the balancer's timeout expires.
    async fn respond_at_deadline(
        &self,
        stream: &SimulatedStream,
        request: &Message,
        request_id: u64,
        attempt: usize,
    ) -> io::Result<ConnectionState> {
        let timeout = request.numeric_header("req-deadline-ms").unwrap_or(0) * MS;
        let (now, latency) = {
            let state = stream.runtime.simulation.state();
            (state.kernel.now, state.network.latency + state.network.extra_latency)
        };
        let lead = stream.runtime.simulation.state().random_below(1500);
        let wait = (request.sent_at + timeout + 700).saturating_sub(now + latency + lead);
        stream.runtime.sleep_micros(wait).await;
        self.record_execution(stream, request_id, attempt);
        self.context.records.lock().record_hard_case(HardCase::AnswerAtDeadline);
        self.write_response(stream, request_id, &request.body).await
    }
}
