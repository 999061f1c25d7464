//! Creates the components of a balancer and starts their tasks.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::http::StatusCode;
use doorproxy::dispatcher::Dispatcher;
use doorproxy::ids::Ticks;
use doorproxy_recovery::age::Age;
use doorproxy_recovery::validity::FactSource;
use tokio::sync::watch;

use crate::admin::{self, AdminApi, TextStore};
use crate::config::Config;
use crate::discovery::{DiscoveryState, Watcher, apply_list};
use crate::http::server::{self, ServeError, Server};
use crate::memory::{DEFAULT_LIMIT_MB, MemoryBudget};
use crate::metrics::Metrics;
use crate::recovery::InitialEndpoints;
use crate::runtime::{Runtime, dispatcher_driver};
use crate::sync::lock;
use crate::upstream::{UpstreamClient, UpstreamEffects, UpstreamTimeouts, load_probes, max_upstream_sockets};

pub use crate::components::{Components, InheritedListener};

/// Reserves file descriptors for the admin API: its connections, its listener, the epoll and wake-up
/// descriptors of its thread, and the override file.
pub const ADMIN_DESCRIPTORS: usize = admin::MAX_CONNECTIONS + 6;

/// Sets how long a response of unknown length is buffered, as a share of the shortest latency objective. A
/// response that breaks off within this time is not forwarded as complete.
pub const RESPONSE_BUFFERING_RATIO: f64 = 0.25;

/// Creates the components of a balancer without starting any task.
pub fn assemble<R: Runtime>(runtime: &R, config: &Arc<Config>) -> Components<R> {
    let timeouts = UpstreamTimeouts {
        connect: config.connect_timeout,
        keepalive: config.keepalive_timeout,
        response_buffering: config.settings.min_latency_objective().mul_f64(RESPONSE_BUFFERING_RATIO),
    };
    let memory = MemoryBudget::new(config.memory_mb.unwrap_or(DEFAULT_LIMIT_MB), config.max_sockets);
    let configured_sockets =
        if config.memory_mb.is_some() { memory.max_sockets() } else { config.max_sockets };
    let max_sockets = configured_sockets - config.admin_address.map_or(0, |_| ADMIN_DESCRIPTORS);
    let metrics = Arc::new(new_metrics(config));
    let upstream_client = Arc::new(UpstreamClient::new(
        runtime.clone(),
        timeouts,
        max_upstream_sockets(max_sockets),
        metrics.clone(),
        memory.clone(),
        |status| status == StatusCode::OK,
    ));
    let effects = Box::new(UpstreamEffects(upstream_client.clone()));
    Components {
        dispatcher: Dispatcher::new(runtime.now(), config.seed, config.settings.clone(), effects),
        upstream_client,
        discovery: Arc::new(Mutex::new(DiscoveryState::new(config.clone()))),
        metrics,
        readiness: Arc::default(),
        recovery: None,
        peers: None,
        fleet_overrides: None,
        max_sockets,
        memory,
    }
}

/// Creates the counters, with the request classes in the order of their indices.
fn new_metrics(config: &Config) -> Metrics {
    let mut classes: Vec<(&String, &u16)> = config.classes.iter().collect();
    classes.sort_by_key(|(_, index)| **index);
    Metrics::new(classes.into_iter().map(|(name, _)| name))
}

impl<R: Runtime> Components<R> {
    /// Creates the admin API and applies the stored overrides, so that they are known before the first
    /// endpoint list.
    pub fn admin_api(&self, runtime: &R, override_store: Arc<dyn TextStore>) -> AdminApi<R> {
        let overrides = admin::read_overrides(runtime, &*override_store);
        lock(&self.discovery).set_overrides(overrides);
        let api = AdminApi {
            runtime: runtime.clone(),
            dispatcher: self.dispatcher.clone(),
            upstream_client: self.upstream_client.clone(),
            discovery: self.discovery.clone(),
            metrics: self.metrics.clone(),
            readiness: self.readiness.clone(),
            recovery: self.recovery.clone(),
            peers: self.peers.clone(),
            override_store,
            fleet_overrides: self.fleet_overrides.clone(),
        };
        api.load_saved_overrides();
        api
    }
}

/// Serves until shutdown, and returns once all requests are answered. `discovery_address` holds the address
/// of the discovery service and may change.
///
/// # Errors
///
/// Fails if the listen address can't be bound, or the announcement to the sibling processes can't be written.
pub async fn serve<R: Runtime>(
    runtime: R,
    components: Components<R>,
    config: Arc<Config>,
    discovery_address: watch::Receiver<SocketAddr>,
    inherited: Option<InheritedListener<R>>,
    grace_period: Ticks,
    shutdown: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let has_predecessor =
        inherited.as_ref().is_some_and(|inherited| inherited.siblings.status().has_predecessor);
    apply_initial_list(&runtime, &components, &config, has_predecessor);
    spawn_tasks(&runtime, &components, &config, discovery_address);
    // The platform kills the process one maximum request timeout after SIGTERM, even within the grace period.
    let grace_period = grace_period.min(config.settings.max_timeout());
    let server = Server::new(runtime, config, components, grace_period);
    server::serve(server, inherited, has_predecessor, shutdown).await
}

fn apply_initial_list<R: Runtime>(
    runtime: &R,
    components: &Components<R>,
    config: &Config,
    has_predecessor: bool,
) {
    let Components { dispatcher, upstream_client, recovery, .. } = components;
    let mut discovery = lock(&components.discovery);
    if has_predecessor {
        discovery.delegate_warming(Some(runtime.now()));
    }
    let configured = &config.known_endpoints;
    let initial = recovery.as_ref().map_or_else(
        || InitialEndpoints {
            list: configured.clone(),
            source: FactSource::Configuration,
            age: Age::Unknown,
        },
        |recovery| recovery.initial_endpoints(configured),
    );
    apply_list(runtime, &mut discovery, dispatcher, upstream_client, &initial.list);
    // These versions can't be used to watch for changes: they may belong to another incarnation of the
    // discovery service, or, for an empty list, come without the endpoints of that version.
    let is_stored = initial.source == FactSource::StateDirectory;
    if has_predecessor || initial.list.endpoints.is_empty() || is_stored {
        discovery.forget_version();
    }
    if let Some(recovery) = recovery {
        recovery.on_initial_endpoints(runtime, dispatcher, &initial);
    }
}

/// Starts the background tasks. The order of the calls determines the order of events in the simulation.
fn spawn_tasks<R: Runtime>(
    runtime: &R,
    components: &Components<R>,
    config: &Config,
    discovery_address: watch::Receiver<SocketAddr>,
) {
    let Components { dispatcher, upstream_client, discovery, readiness, recovery, .. } = components.clone();
    if let Some(recovery) = &recovery {
        runtime.spawn(recovery.clone().run(runtime.clone(), dispatcher.clone(), discovery.clone()));
    }
    runtime.spawn(dispatcher_driver::drive(runtime.clone(), dispatcher.clone()));
    let load_probes = load_probes::run(
        runtime.clone(),
        dispatcher.clone(),
        upstream_client.clone(),
        config.settings.load_report_field,
    );
    runtime.spawn(load_probes);
    let watcher =
        Watcher { runtime: runtime.clone(), discovery, dispatcher, upstream_client, readiness, recovery };
    runtime.spawn(watcher.run(discovery_address));
}
