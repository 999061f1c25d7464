//! Manages all client connections of a process: limits their number and evicts idle ones so that others
//! can be accepted.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::Router;
use doorproxy::ids::{Ticks, Timestamp};
use tokio::sync::Notify;

use crate::http::connection::ClientConnection;
use crate::http::event_counts::EventCounts;
use crate::http::lifecycle::Lifecycle;
use crate::http::open_requests::OpenRequests;
use crate::http::serve_connection::serve_connection;
use crate::http::server_context::ServerContext;
use crate::log_line;
use crate::memory::MemoryBudget;
use crate::runtime::stall_detector::StallDetector;
use crate::runtime::{Listener, Runtime, duration};
use crate::state_line;
use crate::sync::lock;

/// Interval at which idle connections are evicted and the stall detector is updated.
const MAINTENANCE_INTERVAL: Ticks = Ticks(500);
/// Maximum time that accepting waits for a connection to close before it checks the limit again.
const RECHECK_INTERVAL: Ticks = Ticks(1000);
/// Wait after a failed accept. Usually no file descriptor is free, and one may become free soon.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Idle connections are evicted while client connections hold more than one in this many sockets.
const IDLE_SOCKETS_DIVISOR: usize = 6;
/// One connection in this many of the active limit is accepted beyond the limit.
const EXTRA_CONNECTIONS_DIVISOR: usize = 20;

/// Holds the client connections of one process.
pub struct ClientConnections<R: Runtime> {
    runtime: R,
    max_sockets: AtomicUsize,
    next_id: AtomicU64,
    connections: Mutex<BTreeMap<u64, Arc<ClientConnection<R>>>>,
    connection_closed: Notify,
    context: Arc<ServerContext>,
}

impl<R: Runtime> ClientConnections<R> {
    /// Creates an empty set. The process may use `max_sockets` sockets for clients and endpoints together, and
    /// `memory` for all buffers.
    pub fn new(runtime: R, max_sockets: usize, memory: MemoryBudget) -> Arc<ClientConnections<R>> {
        let context = ServerContext {
            stall_detector: Mutex::new(StallDetector::new(runtime.now())),
            events: Arc::default(),
            memory,
        };
        Arc::new(ClientConnections {
            runtime,
            max_sockets: AtomicUsize::new(max_sockets),
            next_id: AtomicU64::new(0),
            connections: Mutex::default(),
            connection_closed: Notify::new(),
            context: Arc::new(context),
        })
    }

    /// Returns the counts of why connections closed and requests were not answered.
    pub fn events(&self) -> &Arc<EventCounts> {
        &self.context.events
    }

    /// Returns the bound on the memory of all buffers.
    pub fn memory(&self) -> &MemoryBudget {
        &self.context.memory
    }

    /// Changes the number of sockets that the process may use; sibling processes use the rest.
    pub fn set_max_sockets(&self, max_sockets: usize) {
        self.max_sockets.store(max_sockets, Ordering::Relaxed);
    }

    fn max_sockets(&self) -> usize {
        self.max_sockets.load(Ordering::Relaxed)
    }

    /// Returns the active limit: how many connections may have a request in flight.
    fn max_active(&self) -> usize {
        self.max_sockets() * 10 / 16
    }

    fn connections(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<ClientConnection<R>>>> {
        lock(&self.connections)
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections().len()
    }

    /// Returns the requests that are not finished.
    pub fn open_requests(&self) -> OpenRequests {
        OpenRequests::new(self.connections().values().filter_map(|client| client.open_request()).collect())
    }

    /// Logs how the shutdown ended: the number of connections that are open, of requests that were expired, and
    /// the requests that are lost. Returns the requests that are open.
    pub fn log_stopped(&self, lifecycle: &Lifecycle) -> OpenRequests {
        state_line!(self.runtime, "server: stopped, {} connections were still open", self.count());
        let expired = lifecycle.expired_requests();
        if expired > 0 {
            state_line!(
                self.runtime,
                "server: {expired} requests were expired at the end of the grace period"
            );
        }
        let open_requests = self.open_requests();
        if !open_requests.is_empty() {
            let unanswered = open_requests.unanswered_count();
            state_line!(self.runtime, "server: {unanswered} requests were lost: {open_requests}");
        }
        open_requests
    }

    /// Asks all connections to close once they have no request, except those that were accepted just now.
    pub fn close_all(&self) {
        let now = self.runtime.now();
        for client in self.connections().values() {
            if !client.state().is_new(now) {
                client.close_requested.notify_one();
            }
        }
    }

    /// Rejects the requests of which only a part has arrived and which no attempt can have sent.
    pub fn reject_incomplete(&self) {
        self.connections().values().for_each(|client| client.reject_incomplete());
    }

    /// Evicts up to `max_count` connections that are idle or receive a request too slowly, starting with
    /// those that never completed a request.
    pub fn close_idle(&self, max_count: usize) {
        let connections = self.connections();
        let mut candidates: Vec<(Timestamp, &Arc<ClientConnection<R>>)> =
            connections.values().filter_map(|client| Some((client.eviction_rank()?, client))).collect();
        candidates.sort_by_key(|(rank, _)| *rank);
        for (_, client) in candidates.into_iter().take(max_count) {
            client.evict();
        }
    }

    /// Periodically evicts idle connections while clients hold more than a sixth of the sockets, and updates
    /// the stall detector. Never completes.
    pub async fn run_maintenance(&self) {
        loop {
            self.runtime.sleep(duration(MAINTENANCE_INTERVAL)).await;
            self.detect_stall();
            self.report_events();
            let excess = self.count().saturating_sub(self.max_sockets() / IDLE_SOCKETS_DIVISOR);
            if excess > 0 {
                self.close_idle(excess);
            }
        }
    }

    fn report_events(&self) {
        if let Some(report) = self.events().take_report(self.runtime.now()) {
            log_line!(self.runtime, "server: since the last report: {report}");
        }
    }

    fn detect_stall(&self) {
        let stall = lock(&self.context.stall_detector).tick(self.runtime.now(), self.runtime.caught_up_to());
        if let Some(stall) = stall {
            state_line!(
                self.runtime,
                "server: process was stopped or got no CPU time for {} ms",
                stall.0 / 10
            );
        }
    }

    /// Returns whether the open connections have reached seven eighths of the active limit.
    pub fn is_nearly_full(&self) -> bool {
        self.count() * 8 >= self.max_active() * 7
    }

    /// Returns whether requests are rejected because the active limit is reached.
    ///
    /// Slightly more connections are accepted than may have a request in flight, so that requests beyond the
    /// limit are rejected at once instead of waiting in the backlog.
    pub fn is_full(&self) -> bool {
        let connections = self.connections();
        let max_active = self.max_active();
        let active = || connections.values().filter(|client| client.has_request()).count();
        connections.len() > max_active && active() >= max_active
    }

    /// Accepts a connection once their number is below the limit, evicting another one if necessary.
    ///
    /// This method is cancel safe.
    pub async fn accept(&self, listener: &R::Listener) -> R::Stream {
        loop {
            let max_active = self.max_active();
            if self.count() >= max_active {
                self.close_idle(1);
            }
            if self.count() >= max_active + max_active / EXTRA_CONNECTIONS_DIVISOR {
                let _ =
                    self.runtime.timeout(duration(RECHECK_INTERVAL), self.connection_closed.notified()).await;
                continue;
            }
            match listener.accept().await {
                Ok(stream) => return stream,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    log_line!(
                        self.runtime,
                        "server: a connection could not be accepted, trying again: {error}"
                    );
                    self.close_idle(1);
                    self.runtime.sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Serves a connection in a new task.
    pub fn spawn(self: &Arc<Self>, router: &Router, stream: R::Stream) {
        if self.is_nearly_full() {
            self.close_idle(1);
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let client = Arc::new(ClientConnection::new(self.runtime.clone(), self.context.clone(), id));
        self.connections().insert(id, client.clone());
        let connections = self.clone();
        let router = router.clone();
        self.runtime.spawn(async move {
            let reason = serve_connection(&connections.runtime, router, stream, &client).await;
            connections.events().on_close(reason);
            connections.connections().remove(&id);
            connections.connection_closed.notify_one();
        });
    }
}
