//! The context that the processes of a run share: the simulation, the records and the state of the cluster.
//!
//! Clients, endpoints, discovery and mutants access the cluster through [`ClusterContext`]. Only
//! [`crate::cluster`] starts and ends processes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, Weak};

use doorproxy::rng::mix;
use tokio::sync::Notify;

use crate::addresses::host_of;
use crate::checker::{Idempotency, SharedRecords};
use crate::kernel::HostId;
use crate::limits::WARM_UP_TIME;
use crate::nodes::{BalancerProcess, ClusterState, PendingFault, UpstreamServer};
use crate::request_class::DEDUP_WINDOW;
use crate::runtime::SimulatedRuntime;
use crate::scenario::{Fault, FaultKind, Scenario, TRIGGERING_SERVER, Trigger, TriggerEvent};
use crate::simulation::Simulation;
use crate::time::{MS, Micros, SECOND};

/// The earliest time of a request.
pub const LOAD_START: Micros = 500 * MS;
/// The time after the kill of a balancer during which a retry through another counts as caused by it.
const RECENT_KILL: Micros = 3 * SECOND;

/// Injects faults into the cluster.
pub trait FaultInjector: Send + Sync {
    /// Injects a fault at once.
    fn inject_fault(self: Arc<Self>, fault: Fault);
}

/// The group of endpoints within which a deduplicated request is executed only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    Fleet,
    /// The endpoints of a zone.
    Zone,
    /// The endpoints of a cell.
    Cell,
}

impl DedupScope {
    /// Returns the name of the scope in configurations.
    pub fn name(self) -> &'static str {
        match self {
            DedupScope::Fleet => "all",
            DedupScope::Zone => "zone",
            DedupScope::Cell => "cell",
        }
    }
}

/// A balancer that clients may choose.
#[derive(Clone, Copy)]
pub struct RotationEntry {
    /// Its current process.
    pub process: BalancerProcess,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// The context of a cluster, shared by its processes.
pub struct ClusterContext {
    /// The simulation that the cluster runs in.
    pub simulation: Simulation,
    /// The records that the checker applies the rules to.
    pub records: Arc<SharedRecords>,
    /// The scenario of the run.
    pub scenario: Scenario,
    /// The notification of changes of the endpoint list.
    pub endpoints_changed: Notify,
    /// The process that runs the tasks of the test harness.
    pub harness_runtime: SimulatedRuntime,
    state: Mutex<ClusterState>,
    fault_injector: OnceLock<Weak<dyn FaultInjector>>,
}

impl ClusterContext {
    /// Creates the context of a cluster whose processes have not been started.
    pub fn new(
        simulation: Simulation,
        harness_runtime: SimulatedRuntime,
        scenario: Scenario,
        state: ClusterState,
    ) -> ClusterContext {
        ClusterContext {
            simulation,
            records: Arc::default(),
            scenario,
            endpoints_changed: Notify::new(),
            harness_runtime,
            state: Mutex::new(state),
            fault_injector: OnceLock::new(),
        }
    }

    /// Sets the injector for faults that wait for a trigger event. Only the first call has an effect.
    pub fn set_fault_injector(&self, injector: Weak<dyn FaultInjector>) {
        let _ = self.fault_injector.set(injector);
    }

    /// Locks the state. The lock is not re-entrant: no stream may be dropped while it is held.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock has panicked.
    pub fn state(&self) -> MutexGuard<'_, ClusterState> {
        self.state.lock().expect("no panic while the cluster is locked")
    }

    /// Returns the time by which every request of the load has been sent.
    pub fn load_end(&self) -> Micros {
        let seconds = f64::from(self.scenario.requests.1) / self.scenario.requests_per_second;
        LOAD_START + (seconds * SECOND as f64) as Micros
    }

    /// Calls `act` after a delay, always in a separate task, even if the delay is 0.
    pub fn schedule_after(&self, delay: Micros, act: impl FnOnce() + Send + 'static) {
        let sleep = self.simulation.sleep(delay);
        self.simulation.spawn(self.harness_runtime.process, async move {
            sleep.await;
            act();
        });
    }

    /// Returns the index of the balancer on a host.
    pub fn balancer_at(&self, host: HostId) -> Option<usize> {
        self.state().balancers.iter().position(|balancer| balancer.host == host)
    }

    /// Returns the index of the endpoint on the host of an address, whatever the port.
    pub fn server_at_address(&self, address: SocketAddr) -> Option<usize> {
        self.server_on_host(host_of(address))
    }

    /// Returns the index of the endpoint on a host.
    pub fn server_on_host(&self, host: HostId) -> Option<usize> {
        self.state().servers.iter().position(|server| server.host == host)
    }

    /// Returns the address of the endpoint with a name.
    pub fn server_address_by_name(&self, name: &str) -> Option<SocketAddr> {
        self.state().servers.iter().find(|server| server.name == name).map(|server| server.address)
    }

    /// Returns the address of an endpoint.
    pub fn server_address(&self, server: usize) -> SocketAddr {
        self.state().servers[server].address
    }

    /// Returns the deduplication scope of the run, which depends on the seed.
    pub fn dedup_scope(&self) -> DedupScope {
        match mix(self.scenario.seed ^ 0x5c0e) % 3 {
            0 => DedupScope::Fleet,
            1 => DedupScope::Zone,
            _ => DedupScope::Cell,
        }
    }

    /// Returns the idempotency of deduplicated requests in this run.
    pub fn deduplicated_idempotency(&self) -> Idempotency {
        let is_fleet_wide = self.dedup_scope() == DedupScope::Fleet;
        Idempotency::Deduplicated { window: DEDUP_WINDOW, is_fleet_wide }
    }

    /// Returns the number of the deduplication group that an endpoint belongs to.
    pub fn dedup_group_of(&self, server: usize) -> u32 {
        let state = self.state();
        match self.dedup_scope() {
            DedupScope::Fleet => 0,
            DedupScope::Zone => state.servers[server].zone,
            DedupScope::Cell => state.servers[server].cell,
        }
    }

    /// Returns the balancers that clients choose from.
    pub fn balancers_in_rotation(&self) -> Vec<RotationEntry> {
        let state = self.state();
        let in_rotation = state.balancers.iter().enumerate().filter(|(_, balancer)| balancer.in_rotation);
        in_rotation
            .map(|(index, balancer)| RotationEntry {
                process: BalancerProcess { balancer: index, start: balancer.start_count },
                address: balancer.address,
            })
            .collect()
    }

    /// Returns the most recent process of a balancer.
    pub fn current_process(&self, balancer: usize) -> BalancerProcess {
        BalancerProcess { balancer, start: self.state().balancers[balancer].start_count }
    }

    /// Returns whether a balancer's process is still running.
    pub fn is_alive(&self, process: BalancerProcess) -> bool {
        let state = self.state();
        let balancer = &state.balancers[process.balancer];
        balancer.runtime.is_some() && balancer.start_count == process.start
    }

    /// Returns whether a balancer's process has ended by itself, after it was asked to shut down. It had to answer
    /// every request before.
    pub fn has_ended(&self, process: BalancerProcess) -> bool {
        self.state().balancers[process.balancer].ended_starts.contains(&process.start)
    }

    /// Returns whether another balancer than this one was killed recently.
    pub fn was_another_killed_recently(&self, balancer: usize) -> bool {
        let now = self.simulation.now();
        let state = self.state();
        let others = state.balancers.iter().enumerate().filter(|(index, _)| *index != balancer);
        others.flat_map(|(_, other)| &other.killed_at).any(|at| now - at < RECENT_KILL)
    }

    /// Returns whether discovery has an active fault of a kind.
    pub fn has_discovery_fault(&self, kind: FaultKind) -> bool {
        self.state().discovery_faults.get(&kind).is_some_and(|count| *count > 0)
    }

    /// Returns whether an endpoint has an active fault of a kind.
    pub fn has_server_fault(&self, server: usize, kind: FaultKind) -> bool {
        self.state().servers[server].active_faults.get(&kind).is_some_and(|count| *count > 0)
    }

    /// Returns the address of another endpoint than the one at an address, or the same address if no other is
    /// wanted. `is_wanted` takes the deduplication groups of the other endpoint and of the one at the
    /// address.
    pub fn find_other_server(&self, address: SocketAddr, is_wanted: impl Fn(u32, u32) -> bool) -> SocketAddr {
        let group = self.server_at_address(address).map_or(0, |server| self.dedup_group_of(server));
        let count = self.state().servers.len();
        let other = (0..count).find(|&other| {
            self.server_address(other) != address && is_wanted(self.dedup_group_of(other), group)
        });
        other.map_or(address, |other| self.server_address(other))
    }

    /// Returns the address of a draining endpoint and the time at which it started to drain.
    pub fn draining_server(&self) -> Option<(SocketAddr, Micros)> {
        let state = self.state();
        state.servers.iter().find_map(|server| Some((server.address, server.draining_since?)))
    }

    /// Returns the address of a running endpoint that started at least one second ago and is still warming
    /// up.
    pub fn warming_server(&self) -> Option<SocketAddr> {
        let now = self.simulation.now();
        let state = self.state();
        let is_warming = |server: &&UpstreamServer| {
            let started_at = server.started_at.filter(|_| server.runtime.is_some());
            started_at.is_some_and(|at| (SECOND..WARM_UP_TIME).contains(&(now - at)))
        };
        state.servers.iter().find(is_warming).map(|server| server.address)
    }

    /// Handles an event at an endpoint: injects the faults that it triggers, at the same virtual time but
    /// each in a separate task.
    pub fn on_trigger_event(&self, event: TriggerEvent, server: usize) {
        for mut fault in self.take_triggered_faults(event) {
            if fault.target == TRIGGERING_SERVER {
                fault.target = server as u32;
            }
            let Some(injector) = self.fault_injector.get().and_then(Weak::upgrade) else { return };
            self.schedule_after(0, move || injector.inject_fault(fault));
        }
    }

    fn take_triggered_faults(&self, event: TriggerEvent) -> Vec<Fault> {
        let mut triggered = Vec::new();
        self.state().pending_faults.retain_mut(|PendingFault { remaining, fault }| {
            if !matches!(fault.trigger, Trigger::On(other, _) if other == event) {
                return true;
            }
            *remaining = remaining.saturating_sub(1);
            if *remaining == 0 {
                triggered.push(*fault);
            }
            *remaining > 0
        });
        triggered
    }
}
