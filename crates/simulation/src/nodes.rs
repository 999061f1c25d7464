//! The nodes of a cluster and the endpoint list.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use doorproxy::dispatcher::Dispatcher;
use doorproxy_balancer::admin::overrides::TextStore;
use doorproxy_config::sidecar::SidecarConfig;
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc, watch};

use crate::kernel::HostId;
use crate::runtime::SimulatedRuntime;
use crate::scenario::{Fault, FaultKind};
use crate::time::{MS, Micros, START_UNIX_MS};

/// An endpoint and the host that it runs on.
pub struct UpstreamServer {
    /// Its name in the endpoint list.
    pub name: String,
    /// Its host.
    pub host: HostId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// Its endpoint kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// The number of requests that it executes concurrently.
    pub cores: usize,
    /// The speed of a core relative to a standard core.
    pub speed_factor: f64,
    /// The factor by which faults lengthen its work, which is 1 without faults.
    pub slowdown_factor: f64,
    /// The number of active faults of each kind.
    pub active_faults: BTreeMap<FaultKind, u32>,
    /// The time at which it started to drain.
    pub draining_since: Option<Micros>,
    /// The running process, if any.
    pub runtime: Option<SimulatedRuntime>,
    /// The start time of the process, or `None` if it started long before the run.
    pub started_at: Option<Micros>,
    /// The number of faults that keep it from running.
    pub down_count: u32,
    /// The number of restarts under a new name.
    pub rename_count: u32,
}

/// Identifies a process of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BalancerProcess {
    /// The index of the balancer.
    pub balancer: usize,
    /// The number of the balancer's start, counted from 1.
    pub start: u32,
}

/// A balancer, or the sidecar in its place, and the host that it runs on.
pub struct BalancerNode {
    /// Its host.
    pub host: HostId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// The running process, if any.
    pub runtime: Option<SimulatedRuntime>,
    /// The dispatcher of the running process, or `None` for a sidecar.
    pub dispatcher: Option<Dispatcher>,
    /// The notification that asks the process to shut down.
    pub shutdown_requested: Arc<Notify>,
    /// The sender of the address of discovery to the process.
    pub discovery_source: Option<watch::Sender<SocketAddr>>,
    /// True while clients choose it.
    pub in_rotation: bool,
    /// The store of its manual ejections, which outlives its processes.
    pub override_store: Arc<MemoryOverrideStore>,
    /// The number of starts.
    pub start_count: u32,
    /// The times at which its process was killed.
    pub killed_at: Vec<Micros>,
    /// The number of faults that keep it from running.
    pub down_count: u32,
    /// The time at which its process was asked to shut down, if it was.
    pub shutdown_requested_at: Option<Micros>,
    /// The sender of reloaded configurations to the process of a sidecar.
    pub reload_sender: Option<mpsc::Sender<SidecarConfig>>,
    /// The processes that ended by themselves, by the number of their start.
    pub ended_starts: Vec<u32>,
}

/// The override file of a balancer, in memory.
#[derive(Default)]
pub struct MemoryOverrideStore(Mutex<String>);

impl TextStore for MemoryOverrideStore {
    fn read(&self) -> io::Result<String> {
        Ok(self.0.lock().expect("no panic while a text is locked").clone())
    }

    fn update(&self, make: &mut dyn FnMut(&str) -> String) -> io::Result<()> {
        let mut text = self.0.lock().expect("no panic while a text is locked");
        *text = make(&text);
        Ok(())
    }
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Active,
    /// The endpoint is draining.
    Leaving,
    /// The endpoint is removed.
    Left,
}

impl EndpointState {
    /// Returns the name of the state in responses of discovery.
    pub fn name(self) -> &'static str {
        match self {
            EndpointState::Active => "active",
            EndpointState::Leaving => "leaving",
            EndpointState::Left => "left",
        }
    }
}

/// An entry of the endpoint list.
#[derive(Clone)]
pub struct EndpointEntry {
    /// Its name.
    pub name: String,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: u32,
    /// Its endpoint kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// The start time of the endpoint, or `None` if it started long before the run.
    pub started_at: Option<Micros>,
    /// The version of the list in which the entry last changed.
    pub changed_in_version: u64,
}

impl EndpointEntry {
    /// Returns the JSON of the entry in responses of discovery and in the configuration.
    pub fn to_json(&self) -> Value {
        json!({
            "id": self.name, "addr": self.address.to_string(), "zone": format!("z{}", self.zone),
            "kind": format!("k{}", self.kind), "cell": self.cell, "state": self.state.name(), "weight": 1.0,
            "started_ms": self.started_at.map_or(0, |at| START_UNIX_MS + at / MS),
        })
    }
}

/// A fault that waits for a trigger event.
pub struct PendingFault {
    /// The number of further events that trigger the fault.
    pub remaining: u32,
    /// The fault.
    pub fault: Fault,
}

/// A fault that was injected.
#[derive(Clone, Copy)]
pub struct AppliedFault {
    /// Its kind.
    pub kind: FaultKind,
    /// The time at which it began.
    pub start: Micros,
    /// The time at which it ended or will end.
    pub end: Micros,
}

/// The mutable state of a cluster.
pub struct ClusterState {
    /// The endpoints, by index.
    pub servers: Vec<UpstreamServer>,
    /// The balancers, by index.
    pub balancers: Vec<BalancerNode>,
    /// The endpoint list, by name.
    pub endpoints: BTreeMap<String, EndpointEntry>,
    /// The version of the endpoint list.
    pub version: u64,
    /// The oldest version for which discovery can compute the changes since.
    pub oldest_version: u64,
    /// The delay that faults add to responses of discovery.
    pub discovery_delay: Micros,
    /// The number of active faults of discovery, by kind.
    pub discovery_faults: BTreeMap<FaultKind, u32>,
    /// The address of discovery that balancers are started with.
    pub discovery_address: SocketAddr,
    /// The process of discovery, or `None` while it is down.
    pub discovery_runtime: Option<SimulatedRuntime>,
    /// The faults that wait for a trigger event.
    pub pending_faults: Vec<PendingFault>,
    /// The faults that were injected, in the order of their beginnings.
    pub applied_faults: Vec<AppliedFault>,
    /// The number of storms so far.
    pub storm_count: u64,
}
