//! Holds the components of one balancer process.

use std::sync::{Arc, Mutex};

use doorproxy::dispatcher::Dispatcher;
use doorproxy::ids::Timestamp;

use crate::admin::FleetOverrides;
use crate::discovery::{DiscoveryState, apply_updates};
use crate::handover::Siblings;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::peers::SharedPeerState;
use crate::readiness::Readiness;
use crate::recovery::RecoveryState;
use crate::runtime::Runtime;
use crate::sync::lock;
use crate::upstream::UpstreamClient;

/// Holds the state that the tasks of one balancer share.
#[derive(Clone)]
pub struct Components<R: Runtime> {
    /// Decides where and when requests are sent.
    pub dispatcher: Dispatcher,
    /// Holds the connections to the endpoints.
    pub upstream_client: Arc<UpstreamClient<R>>,
    /// Holds the endpoint list.
    pub discovery: Arc<Mutex<DiscoveryState>>,
    /// Counts requests and attempts.
    pub metrics: Arc<Metrics>,
    /// Tells whether the process serves clients.
    pub readiness: Arc<Readiness>,
    /// Keeps state across restarts, if the fleet file names a state directory.
    pub recovery: Option<Arc<RecoveryState>>,
    /// Holds what is known of the other balancers, if the fleet file has a `[peers]` table.
    pub peers: Option<Arc<SharedPeerState>>,
    /// Stores the overrides for the whole fleet; set only together with `peers`.
    pub fleet_overrides: Option<Arc<FleetOverrides>>,
    /// Limits the sockets that clients and endpoints use together.
    pub max_sockets: usize,
    /// Bounds the memory of all buffers.
    pub memory: MemoryBudget,
}

impl<R: Runtime> Components<R> {
    /// Leaves the endpoints that are warming up to another process of this balancer from the given time on,
    /// or takes them back with `None`.
    pub fn delegate_warming(&self, now: Timestamp, since: Option<Timestamp>) {
        let mut discovery = lock(&self.discovery);
        let updates = discovery.delegate_warming(since);
        apply_updates(now, &self.dispatcher, &self.upstream_client, &updates);
    }
}

/// Holds the client listener that the platform passed to the process, and the processes that share it.
pub struct InheritedListener<R: Runtime> {
    /// Accepts client connections.
    pub listener: R::Listener,
    /// Tells which other processes share the listener.
    pub siblings: Arc<dyn Siblings>,
}
