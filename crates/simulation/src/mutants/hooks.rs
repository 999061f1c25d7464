//! The hooks of a balancer's runtime, which observe its connections and apply the run's mutant if there is
//! one.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::task::Poll;

use doorproxy_balancer::runtime::Runtime;

use super::Mutant;
use super::requests::SentAttempt;
use crate::checker::SharedRecords;
use crate::context::ClusterContext;
use crate::kernel::Side;
use crate::request_class::longest_timeout;
use crate::runtime::ConnectionHooks;
use crate::scenario::TriggerEvent;
use crate::stream::SimulatedStream;

/// One wake-up in this many is lost under [`Mutant::LostWakeUp`].
const LOSE_WAKE_UP_ONE_IN: u64 = 40;
/// One closed connection in this many leaks a task under [`Mutant::LeakedTask`].
const LEAK_ONE_IN: u64 = 2;

/// The hooks of one balancer process.
pub struct MutantHooks {
    pub(super) mutant: Option<Mutant>,
    records: Arc<SharedRecords>,
    context: Weak<ClusterContext>,
    traffic: Mutex<ObservedTraffic>,
}

/// The bytes of an attempt that the balancer has written so far.
struct AttemptBytes {
    destination: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Default)]
pub(super) struct ObservedTraffic {
    /// The latest attempt on each connection.
    attempts: BTreeMap<u64, AttemptBytes>,
    /// The count of attempts and responses, and under [`Mutant::LostWakeUp`] also of pending reads. Mutants
    /// act on every nth occurrence.
    pub occurrences: u64,
    pub last_response: Vec<u8>,
    /// The connection to a client whose response is suppressed.
    pub suppressed_connection: Option<u64>,
    closed_connections: u64,
    /// The requests of which a copy was sent to an endpoint that was warming up.
    pub copied_requests: BTreeSet<String>,
}

impl MutantHooks {
    /// Creates the hooks of a process, with or without a mutant.
    pub fn new(context: &Arc<ClusterContext>, mutant: Option<Mutant>) -> Arc<MutantHooks> {
        Arc::new(MutantHooks {
            mutant,
            records: context.records.clone(),
            context: Arc::downgrade(context),
            traffic: Mutex::default(),
        })
    }

    pub(super) fn traffic(&self) -> MutexGuard<'_, ObservedTraffic> {
        self.traffic.lock().expect("no panic while the traffic is locked")
    }

    /// Returns whether the balancer of a stream was asked to shut down longer ago than the longest timeout. All
    /// responses that it sends then belong to requests that it has expired.
    pub(super) fn is_past_longest_timeout(&self, stream: &SimulatedStream) -> bool {
        let Some(context) = self.context.upgrade() else { return false };
        let Some(balancer) = context.balancer_at(stream.runtime.host) else { return false };
        let requested_at = context.state().balancers[balancer].shutdown_requested_at;
        let now = stream.runtime.simulation.now();
        requested_at.is_some_and(|requested_at| now >= requested_at + longest_timeout())
    }

    /// Collects the bytes that are written to an endpoint. Returns the attempt that they belong to, as
    /// written so far, or `None` if they belong to none.
    fn observe_attempt(
        &self,
        context: &ClusterContext,
        stream: &SimulatedStream,
        bytes: &[u8],
    ) -> Option<SentAttempt> {
        let mut traffic = self.traffic();
        let connection = stream.socket.connection;
        let is_beginning = bytes.starts_with(b"GET /api/") || bytes.starts_with(b"POST /api/");
        if is_beginning && !bytes.starts_with(b"GET /api/targets") {
            let server = context.server_on_host(stream.peer_host())?;
            let destination = context.server_address(server);
            traffic.attempts.insert(connection, AttemptBytes { destination, bytes: bytes.to_vec() });
            traffic.occurrences += 1;
        } else {
            traffic.attempts.get_mut(&connection)?.bytes.extend_from_slice(bytes);
        }
        let attempt = traffic.attempts.get(&connection)?;
        Some(SentAttempt {
            destination: attempt.destination,
            bytes: attempt.bytes.clone(),
            occurrence: traffic.occurrences,
        })
    }
}

impl ConnectionHooks for MutantHooks {
    fn on_connect(&self, destination: SocketAddr) {
        if let Some(context) = self.context.upgrade()
            && let Some(server) = context.server_at_address(destination)
        {
            context.on_trigger_event(TriggerEvent::Connect, server);
        }
    }

    fn intercept_send(&self, stream: &SimulatedStream, bytes: &[u8]) -> Option<usize> {
        let mutant = self.mutant?;
        match stream.socket.side {
            Side::Connector => super::requests::alter_request(mutant, stream, bytes),
            Side::Acceptor => self.intercept_response(mutant, stream, bytes),
        }
    }

    fn on_sent(&self, stream: &SimulatedStream, bytes: &[u8]) {
        let Some(mutant) = self.mutant else { return };
        if stream.socket.side != Side::Connector {
            return;
        }
        let Some(context) = self.context.upgrade() else { return };
        let Some(attempt) = self.observe_attempt(&context, stream, bytes) else { return };
        self.repeat_attempt(mutant, &context, stream, attempt);
    }

    fn on_read_pending(&self, stream: &SimulatedStream) {
        if self.mutant != Some(Mutant::LostWakeUp) || stream.socket.side != Side::Acceptor {
            return;
        }
        let mut traffic = self.traffic();
        traffic.occurrences += 1;
        if traffic.occurrences.is_multiple_of(LOSE_WAKE_UP_ONE_IN) {
            stream.runtime.simulation.state().network.drop_read_waker(stream.socket);
        }
    }

    fn on_closed(&self, stream: &SimulatedStream) {
        let mut traffic = self.traffic();
        traffic.attempts.remove(&stream.socket.connection);
        if self.mutant != Some(Mutant::LeakedTask) || stream.socket.side != Side::Connector {
            return;
        }
        traffic.closed_connections += 1;
        let is_leaked = traffic.closed_connections.is_multiple_of(LEAK_ONE_IN);
        drop(traffic);
        if is_leaked {
            stream.runtime.spawn(std::future::pending());
        }
    }

    fn on_attempt_finished(&self, result: &'static str) {
        self.records.lock().attempt_results.increment(result);
    }
}

/// Writes without calling the hooks, as many bytes as the network accepts.
pub(super) fn send_unobserved(stream: &SimulatedStream, bytes: &[u8]) {
    let mut rest = bytes;
    while !rest.is_empty() {
        match stream.runtime.simulation.state().poll_send(None, stream.socket, rest) {
            Poll::Ready(Ok(written)) => rest = &rest[written..],
            _ => return,
        }
    }
}

/// Returns the value of a header; `name` must be in lower case.
pub(super) fn header_value<'a>(bytes: &'a [u8], name: &str) -> Option<&'a str> {
    let text = std::str::from_utf8(bytes).ok()?;
    let line = text.lines().find(|line| line.to_ascii_lowercase().starts_with(name))?;
    line.split_once(':').map(|(_, value)| value.trim())
}

/// Returns the value of `Content-Length`, or 0 if the header is missing.
pub(super) fn content_length(bytes: &[u8]) -> usize {
    header_value(bytes, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
}
