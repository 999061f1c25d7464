//! Starts the pools of a sidecar. Each has a dispatcher for its endpoints and the connections to them.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::http::StatusCode;
use doorproxy::dispatcher::{DiscoveryEvent, Dispatcher};
use doorproxy::effects::{EndpointStatus, EndpointUpdate};
use doorproxy::ids::{CellId, EndpointKindId, Ticks, ZoneId};
use doorproxy_balancer::assembly::RESPONSE_BUFFERING_RATIO;
use doorproxy_balancer::discovery::endpoint_ids::EndpointIds;
use doorproxy_balancer::http::dispatch::UpstreamService;
use doorproxy_balancer::memory::MemoryBudget;
use doorproxy_balancer::metrics::Metrics;
use doorproxy_balancer::runtime::Runtime;
use doorproxy_balancer::runtime::dispatcher_driver::drive;
use doorproxy_balancer::upstream::{UpstreamClient, UpstreamEffects, UpstreamTimeouts, max_upstream_sockets};
use doorproxy_config::sidecar::{EndpointSource, SidecarConfig, StaticEndpoint};
use tokio::sync::mpsc;

use crate::SidecarError;
use crate::settings::{settings, ticks};

/// Serves one pool.
pub struct UpstreamPool<R: Runtime> {
    dispatcher: Dispatcher,
    upstream_client: Arc<UpstreamClient<R>>,
    metrics: Arc<Metrics>,
    /// Stops the ticks of the dispatcher when it is dropped.
    _driver_handle: mpsc::Sender<()>,
}

impl<R: Runtime> UpstreamService<R> for UpstreamPool<R> {
    fn dispatcher(&self) -> &Dispatcher {
        &self.dispatcher
    }

    fn upstream_client(&self) -> &UpstreamClient<R> {
        &self.upstream_client
    }

    fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }
}

/// Holds a configuration and its pools.
pub struct ServingState<R: Runtime> {
    /// Holds the configuration.
    pub config: SidecarConfig,
    /// Holds the pools in the order of the configuration.
    pub pools: Vec<Arc<UpstreamPool<R>>>,
}

impl<R: Runtime> ServingState<R> {
    /// Returns whether all settings that pools depend on are equal in another configuration, so that pools
    /// may be kept.
    fn has_equal_settings(&self, config: &SidecarConfig) -> bool {
        self.config.classes == config.classes
            && self.config.tenants == config.tenants
            && self.config.limits == config.limits
            && self.config.name == config.name
            && self.config.pools.len() == config.pools.len()
    }
}

/// Starts the pools of a configuration. A pool that the previous configuration had with the same settings is
/// kept with its learned state.
///
/// # Errors
///
/// Fails if a pool uses discovery, which is not implemented.
pub fn start_pools<R: Runtime>(
    runtime: &R,
    config: SidecarConfig,
    seed: u64,
    memory: &MemoryBudget,
    previous: Option<&ServingState<R>>,
) -> Result<ServingState<R>, SidecarError> {
    let previous = previous.filter(|previous| previous.has_equal_settings(&config));
    let mut pools = Vec::new();
    for (index, pool) in config.pools.iter().enumerate() {
        if let Some(previous) = previous
            && let Some(position) = previous.config.pools.iter().position(|previous| previous == pool)
        {
            pools.push(previous.pools[position].clone());
            continue;
        }
        let EndpointSource::Static(endpoints) = &pool.source else {
            return Err(SidecarError::UnsupportedDiscovery { pool: pool.name.clone() });
        };
        let seed = seed.wrapping_add(index as u64);
        pools.push(Arc::new(start_pool(runtime, &config, endpoints, seed, memory.clone())));
    }
    Ok(ServingState { config, pools })
}

fn timeouts(config: &SidecarConfig) -> UpstreamTimeouts {
    let objectives = config.classes.iter().map(|class| ticks(class.latency_objective));
    let shortest_objective = objectives.min().unwrap_or(Ticks::ZERO);
    UpstreamTimeouts {
        connect: ticks(config.limits.connect_timeout),
        keepalive: ticks(config.limits.keepalive_timeout),
        response_buffering: shortest_objective.mul_f64(RESPONSE_BUFFERING_RATIO),
    }
}

/// Returns whether a response counts as a success of the endpoint. Client errors do, since the application
/// caused them.
fn is_success(status: StatusCode) -> bool {
    !status.is_server_error()
}

fn start_pool<R: Runtime>(
    runtime: &R,
    config: &SidecarConfig,
    endpoints: &[StaticEndpoint],
    seed: u64,
    memory: MemoryBudget,
) -> UpstreamPool<R> {
    let max_sockets = max_upstream_sockets(config.limits.max_sockets) / config.pools.len().max(1);
    let metrics = Arc::new(Metrics::new(std::iter::empty()));
    let upstream_client = Arc::new(UpstreamClient::new(
        runtime.clone(),
        timeouts(config),
        max_sockets,
        metrics.clone(),
        memory,
        is_success,
    ));
    let effects = Box::new(UpstreamEffects(upstream_client.clone()));
    let dispatcher = Dispatcher::new(runtime.now(), seed, settings(config), effects);
    let updates = endpoint_updates(endpoints);
    let addresses: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    upstream_client.apply_endpoints(&updates, &addresses, true);
    dispatcher.tick(runtime.now(), DiscoveryEvent::Snapshot(&updates));
    let driver_handle = start_driver(runtime, &dispatcher);
    UpstreamPool { dispatcher, upstream_client, metrics, _driver_handle: driver_handle }
}

/// Starts a task that ticks the dispatcher until the returned handle is dropped.
fn start_driver<R: Runtime>(runtime: &R, dispatcher: &Dispatcher) -> mpsc::Sender<()> {
    let (handle, mut handle_dropped) = mpsc::channel(1);
    let driver = drive(runtime.clone(), dispatcher.clone());
    runtime.spawn(async move {
        tokio::select! {
            biased;
            _ = handle_dropped.recv() => {}
            () = driver => {}
        }
    });
    handle
}

/// Returns the sorted distinct names; the index of a name is its position.
fn index_names<'a>(names: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut names: Vec<&str> = names.collect();
    names.sort_unstable();
    names.dedup();
    names
}

/// Returns the index of a name, or 0 if the name is unknown. The configuration check allows unknown names
/// only where nothing depends on the index.
fn index_of(names: &[&str], name: &str) -> u16 {
    names.iter().position(|known| *known == name).unwrap_or(0) as u16
}

fn endpoint_updates(endpoints: &[StaticEndpoint]) -> Vec<EndpointUpdate> {
    let zones = index_names(endpoints.iter().filter_map(|endpoint| endpoint.zone.as_deref()));
    let kinds = index_names(endpoints.iter().map(|endpoint| endpoint.kind.as_str()));
    let mut ids = EndpointIds::default();
    let mut to_update = |endpoint: &StaticEndpoint| EndpointUpdate {
        endpoint: ids.id_for(&endpoint.name),
        kind: EndpointKindId(index_of(&kinds, &endpoint.kind)),
        zone: ZoneId(endpoint.zone.as_ref().map_or(0, |zone| index_of(&zones, zone))),
        cell: CellId(endpoint.cell.unwrap_or(0)),
        weight: endpoint.weight,
        status: EndpointStatus::Ready,
        started_at: None,
    };
    endpoints.iter().map(&mut to_update).collect()
}
