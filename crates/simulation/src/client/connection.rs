//! The connections of a client, and the exchange of one request and its response.

use std::io;
use std::sync::atomic::Ordering;
use std::time::Duration;

use doorproxy::rng::Pcg;
use doorproxy_balancer::runtime::{Runtime, Stream};

use super::request::OutgoingRequest;
use super::{Client, ExchangeOutcome};
use crate::context::RotationEntry;
use crate::http::MessageReader;
use crate::kernel::random_below;
use crate::limits::NETWORK_TOLERANCE;
use crate::nodes::BalancerProcess;
use crate::rule::Rule;
use crate::stream::SimulatedStream;
use crate::time::{MS, Micros};
use crate::trace::EventKind;

/// The time after which the client tries another balancer.
const CONNECT_TIMEOUT: Micros = 400 * MS;
/// The maximum number of tries to find a connection for one request.
const MAX_CONNECT_TRIES: usize = 4;
/// The time beyond the network tolerance for which a client waits for a response.
const TIMEOUT_MARGIN: Micros = 5 * MS;
/// A time that is longer than any run.
const NEVER: Micros = Micros::MAX / 4;

/// A client's connection to a balancer.
pub(super) struct ClientConnection {
    /// The process that accepted it.
    pub process: BalancerProcess,
    /// The number of bytes that the client has written, over all requests.
    pub bytes_written: u64,
    stream: SimulatedStream,
    reader: MessageReader,
}

impl ClientConnection {
    /// Returns the number of bytes that the balancer has read.
    pub fn bytes_read_by_peer(&self) -> u64 {
        self.stream.runtime.simulation.state().network.bytes_read_by_peer(self.stream.socket)
    }

    /// Shuts down the client's sending side.
    pub fn shutdown_write(&self) {
        self.stream.shutdown_write();
    }

    fn is_idle(&self) -> bool {
        self.stream.runtime.simulation.state().network.is_idle(self.stream.socket)
    }

    fn has_unread_bytes(&self) -> bool {
        let state = self.stream.runtime.simulation.state();
        state.network.next_chunk_sent_at(self.stream.socket).is_some() || self.reader.has_buffered_bytes()
    }

    /// Writes bytes and counts them. Returns false if the write fails.
    async fn write(&mut self, bytes: &[u8]) -> bool {
        if self.stream.write(bytes).await.is_err() {
            return false;
        }
        self.bytes_written += bytes.len() as u64;
        true
    }
}

impl Client {
    /// Returns an idle or a new connection to one of the balancers in rotation.
    pub(super) async fn acquire_connection(&self, rng: &mut Pcg, is_fresh: bool) -> Option<ClientConnection> {
        for _ in 0..MAX_CONNECT_TRIES {
            let in_rotation = self.context.balancers_in_rotation();
            if in_rotation.is_empty() {
                self.runtime.sleep_micros(100 * MS).await;
                continue;
            }
            let entry = in_rotation[random_below(rng, in_rotation.len() as u64) as usize];
            let kept = self.idle_connections().get_mut(&entry.process).and_then(Vec::pop);
            // An idle connection that can't be used is closed before a new one is opened.
            if let Some(connection) = kept
                && !is_fresh
                && self.is_usable(rng, &connection)
            {
                return Some(connection);
            }
            if let Some(connection) = self.connect(entry).await {
                return Some(connection);
            }
        }
        None
    }

    /// Returns whether an idle connection may be used. In three of four cases the client checks first whether
    /// the balancer has closed it. Reports a violation if the balancer has sent bytes without a request.
    fn is_usable(&self, rng: &mut Pcg, connection: &ClientConnection) -> bool {
        let checks_first = random_below(rng, 4) > 0;
        if checks_first && !connection.is_idle() {
            return false;
        }
        if connection.has_unread_bytes() {
            let balancer = connection.process.balancer;
            let text = format!("b{balancer} sent bytes on a connection without a request");
            let mut records = self.context.records.lock();
            let kernel = &mut self.runtime.simulation.state().kernel;
            records.report_violation(kernel, Rule::SecondAnswer, &[balancer as u64], text);
        }
        true
    }

    async fn connect(&self, entry: RotationEntry) -> Option<ClientConnection> {
        let timeout = Duration::from_micros(CONNECT_TIMEOUT);
        let connected = self.runtime.timeout(timeout, self.runtime.dial(entry.address)).await;
        let stream = connected?.ok()?;
        let process = self.context.current_process(entry.process.balancer);
        Some(ClientConnection { process, bytes_written: 0, stream, reader: MessageReader::default() })
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body of a response begins.
    pub(super) async fn exchange(
        &self,
        connection: &mut ClientConnection,
        request: &OutgoingRequest,
    ) -> io::Result<ExchangeOutcome> {
        if !self.write_request(connection, request).await {
            return Ok(ExchangeOutcome::WriteFailed);
        }
        let deadline = self.runtime.simulation.now() + request.timeout;
        self.context.records.lock().record_sent(request.id, deadline);
        let in_body = connection.reader.in_body();
        let has_begun = || in_body.load(Ordering::Relaxed);
        let response = connection.reader.next_message(&connection.stream);
        tokio::pin!(response);
        let timed_out = async {
            self.runtime.sleep_micros(request.timeout + NETWORK_TOLERANCE + TIMEOUT_MARGIN).await;
            // A response that began in time has no time limit.
            while has_begun() {
                self.runtime.sleep_micros(100 * MS).await;
            }
        };
        let outcome = tokio::select! {
            biased;
            response = &mut response => match response {
                Ok(Some(response)) => ExchangeOutcome::Response(response),
                Err(_) if has_begun() => ExchangeOutcome::PartialResponse(self.runtime.simulation.now()),
                Ok(None) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Err(error) => return Err(error),
            },
            () = self.runtime.sleep_micros(request.give_up_after.unwrap_or(NEVER)) => {
                ExchangeOutcome::Abandoned
            }
            () = timed_out => ExchangeOutcome::TimedOut,
        };
        Ok(outcome)
    }

    /// Writes a request, with a pause if it has one. Returns false if a write fails.
    async fn write_request(&self, connection: &mut ClientConnection, request: &OutgoingRequest) -> bool {
        let bytes = [request.head.as_bytes(), &request.body].concat();
        let mut rest = bytes.as_slice();
        if let Some(pause) = request.write_pause {
            let (first, second) = bytes.split_at(bytes.len() * 2 / 3);
            if !connection.write(first).await {
                return false;
            }
            self.runtime.sleep_micros(pause).await;
            rest = second;
        }
        if !connection.write(rest).await {
            return false;
        }
        let connection_id = connection.stream.socket.connection;
        let name = &self.runtime.name;
        let line = format_args!("request {:x} sent by {name} on connection {connection_id}", request.id);
        let numbers = [request.id, u64::from(self.runtime.host.0), connection_id];
        let mut state = self.runtime.simulation.state();
        state.kernel.record_event(EventKind::RequestSent, &numbers, line);
        true
    }
}
