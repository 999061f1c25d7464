//! A discovery service that handles calls one after the other and supports watches. It owns the endpoint list
//! and its version. Each balancer reaches endpoints through addresses of its own, and is never sent those of
//! another balancer.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex as AsyncMutex, watch};
use tokio::task::JoinSet;

use crate::clock::{self, Clock, MS, Micros};
use crate::events::{Event, ListedEndpoint, SharedEventSink};
use crate::http::{MessageKind, MessageReader, response};
use crate::upstream::{ConnectionOrigins, accept_proxied};

/// A call that finds this many others waiting is rejected with 503.
const MAX_QUEUED_CALLS: usize = 64;
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct EndpointEntry {
    zone: String,
    status: &'static str,
    started_at: Micros,
    changed_in_version: u64,
}

struct ServiceState {
    version: u64,
    endpoints: BTreeMap<String, EndpointEntry>,
    tasks: Option<JoinSet<()>>,
}

/// Returns the address at which a balancer (first name) reaches an endpoint (second name).
pub type AddressResolver = Arc<dyn Fn(&str, &str) -> SocketAddr + Send + Sync>;

/// A list as a balancer gets it.
struct RenderedList {
    version: u64,
    /// False if it holds only changes.
    whole: bool,
    rows: Vec<ListedEndpoint>,
    /// The body of the response.
    text: String,
}

/// A running or stopped discovery service.
pub struct DiscoveryService {
    /// The address at which it listens.
    pub address: SocketAddr,
    /// The time that one call takes; other calls wait meanwhile.
    call_cost: Micros,
    clock: Clock,
    events: SharedEventSink,
    origins: Arc<dyn ConnectionOrigins>,
    addresses: AddressResolver,
    state: Mutex<ServiceState>,
    version_updates: watch::Sender<u64>,
    call_lock: AsyncMutex<()>,
    queued_calls: AtomicUsize,
}

impl DiscoveryService {
    /// Returns a service with an empty endpoint list that does not listen yet.
    pub fn new(
        address: SocketAddr,
        call_cost: Micros,
        clock: Clock,
        events: SharedEventSink,
        origins: Arc<dyn ConnectionOrigins>,
        addresses: AddressResolver,
    ) -> Arc<DiscoveryService> {
        let state = Mutex::new(ServiceState { version: 1, endpoints: BTreeMap::new(), tasks: None });
        Arc::new(DiscoveryService {
            address,
            call_cost,
            clock,
            events,
            origins,
            addresses,
            state,
            version_updates: watch::Sender::new(1),
            call_lock: AsyncMutex::default(),
            queued_calls: AtomicUsize::new(0),
        })
    }

    fn state(&self) -> MutexGuard<'_, ServiceState> {
        self.state.lock().expect("no thread panics while it holds this lock")
    }

    /// Adds an endpoint to the list or changes its entry. The status is `active`, `leaving` or `left`.
    pub fn set_endpoint(&self, server: &str, zone: &str, status: &'static str, started_at: Micros) {
        self.events.record(Event::EndpointListed { server: server.to_string(), state: status.to_string() });
        let version = {
            let mut state = self.state();
            state.version += 1;
            let version = state.version;
            state.endpoints.insert(
                server.to_string(),
                EndpointEntry { zone: zone.to_string(), status, started_at, changed_in_version: version },
            );
            version
        };
        self.version_updates.send_replace(version);
    }

    /// Listens and answers calls; restarts the service if it runs.
    ///
    /// # Errors
    ///
    /// Fails if its address can't be bound for another reason than that it is in use.
    pub async fn start(self: &Arc<Self>) -> io::Result<()> {
        // Two overlapping faults may each start the service when they end.
        self.stop();
        let listener = loop {
            match TcpListener::bind(self.address).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => clock::sleep(MS).await,
                bound => break bound?,
            }
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().accept_connections(listener));
        self.state().tasks = Some(tasks);
        Ok(())
    }

    /// Stops the service: watches end, and new connections are refused.
    pub fn stop(&self) {
        self.state().tasks = None;
    }

    async fn accept_connections(self: Arc<Self>, listener: TcpListener) {
        accept_proxied(listener, &*self.origins, |stream, origin| {
            self.clone().serve_connection(stream, origin.from)
        })
        .await;
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, node: String) {
        let connected_at = self.clock.now();
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = MessageReader::new(reader, MessageKind::Request);
        while let Ok(Some(call)) = reader.next_message().await {
            let calls_before = self.queued_calls.fetch_add(1, Ordering::Relaxed);
            if calls_before >= MAX_QUEUED_CALLS {
                self.queued_calls.fetch_sub(1, Ordering::Relaxed);
                self.events.record(Event::DiscoveryCalled { node: node.clone(), status: 503 });
                if writer.write_all(&response("503 Busy", "", b"")).await.is_err() {
                    return;
                }
                continue;
            }
            {
                let _guard = self.call_lock.lock().await;
                clock::sleep(self.call_cost).await;
            }
            self.queued_calls.fetch_sub(1, Ordering::Relaxed);
            self.events.record(Event::DiscoveryCalled { node: node.clone(), status: 200 });
            let query = call.target.strip_prefix("/api/targets?").unwrap_or_default();
            let parameter = |name: &str| {
                let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
                value.and_then(|value| value.parse::<u64>().ok())
            };
            let after = parameter("after");
            if let Some(after) = after {
                let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
                let mut versions = self.version_updates.subscribe();
                let _ = tokio::time::timeout(wait, versions.wait_for(|version| *version != after)).await;
            }
            let list = self.render_list(&node, after);
            let text = list.text;
            self.events.record(Event::ListSent {
                node: node.clone(),
                connected_at: Some(connected_at),
                version: list.version,
                whole: list.whole,
                rows: list.rows,
            });
            if writer.write_all(&response("200 OK", "", text.as_bytes())).await.is_err() {
                return;
            }
        }
    }

    /// Renders the full list for a balancer, or the changes after a version.
    fn render_list(&self, node: &str, after: Option<u64>) -> RenderedList {
        let state = self.state();
        // A version that this service has not reached yet is from an earlier run of it: the full list is
        // sent.
        let after = after.filter(|after| *after <= state.version);
        let is_included = |entry: &EndpointEntry| match after {
            Some(after) => entry.changed_in_version > after,
            None => entry.status != "left",
        };
        let entries: Vec<(&String, &EndpointEntry)> =
            state.endpoints.iter().filter(|(_, entry)| is_included(entry)).collect();
        let to_json = |(name, entry): &(&String, &EndpointEntry)| -> Value {
            let started = if entry.started_at == 0 { 0 } else { self.clock.unix_ms(entry.started_at) };
            json!({"id": name, "addr": (self.addresses)(node, name), "zone": entry.zone, "kind": "small",
                "cell": 0, "state": entry.status, "weight": 1.0, "started_ms": started})
        };
        let servers: Vec<Value> = entries.iter().map(to_json).collect();
        let to_row = |(name, entry): &(&String, &EndpointEntry)| ListedEndpoint {
            server: name.to_string(),
            state: entry.status.to_string(),
            started: entry.started_at,
        };
        let (version, whole) = (state.version, after.is_none());
        let rows = entries.iter().map(to_row).collect();
        let text = json!({"version": version, "full": whole, "servers": servers}).to_string();
        RenderedList { version, whole, rows, text }
    }

    /// Returns the full list as a balancer's configuration holds it.
    pub fn full_list(&self, node: &str) -> Value {
        serde_json::from_str(&self.render_list(node, None).text).expect("the rendered list is JSON")
    }
}
