//! The cluster of one run: starts the processes, injects the faults, and checks at the end that no work or
//! resource is left. It doesn't change the state of a running process from outside.

mod admin;
mod balancers;
mod config;
mod discovery;
mod end_checks;
mod faults;
mod servers;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy::rng::{Pcg, mix};

use crate::addresses::address_of;
use crate::client::Client;
use crate::context::{ClusterContext, FaultInjector, LOAD_START};
use crate::discovery_service;
use crate::kernel::{HostId, random_below};
use crate::mutants::Mutant;
use crate::nodes::{BalancerNode, ClusterState, PendingFault, UpstreamServer};
use crate::runtime::SimulatedRuntime;
use crate::scenario::{Scenario, Trigger};
use crate::simulation::Simulation;
use crate::time::{Micros, SECOND};

const FIRST_BALANCER_HOST: u32 = 1;
const HARNESS_HOST: HostId = HostId(9);
const DISCOVERY_HOST: HostId = HostId(10);
const FIRST_SERVER_HOST: u32 = 20;
/// The port that balancers listen on, and endpoints until a drain moves them to another port.
const SERVICE_PORT: u16 = 5000;
/// The version of the empty endpoint list.
const INITIAL_VERSION: u64 = 40;

/// A cluster and its clients.
pub struct Cluster {
    /// The state that the cluster's processes share.
    pub context: Arc<ClusterContext>,
    mutant: Option<Mutant>,
    clients: Mutex<Vec<Arc<Client>>>,
}

impl Cluster {
    /// Starts the processes of a scenario and schedules its requests and faults.
    pub fn start(scenario: &Scenario, mutant: Option<Mutant>, keeps_trace_text: bool) -> Arc<Cluster> {
        let simulation = Simulation::new(mix(scenario.seed ^ 0x5eed), keeps_trace_text);
        {
            let mut state = simulation.state();
            state.network.latency = scenario.latency;
            state.network.jitter = scenario.latency / 2;
            state.network.tick = scenario.tick;
        }
        let state = initial_state(scenario);
        let harness_runtime = SimulatedRuntime::new(&simulation, HARNESS_HOST, "harness");
        let context = ClusterContext::new(simulation, harness_runtime, scenario.clone(), state);
        let cluster = Arc::new(Cluster { context: Arc::new(context), mutant, clients: Mutex::default() });
        let injector: Arc<dyn FaultInjector> = cluster.clone();
        cluster.context.set_fault_injector(Arc::downgrade(&injector));
        cluster.start_processes();
        cluster.schedule_faults();
        cluster
    }

    fn clients(&self) -> MutexGuard<'_, Vec<Arc<Client>>> {
        self.clients.lock().expect("no panic while the clients are locked")
    }

    fn start_processes(self: &Arc<Cluster>) {
        let scenario = &self.context.scenario;
        for server in 0..scenario.servers as usize {
            self.start_server(server, None);
        }
        self.start_discovery();
        for balancer in 0..scenario.balancers as usize {
            self.start_balancer(balancer);
        }
        let clients: Vec<Arc<Client>> =
            (0..scenario.clients).map(|number| Client::new(&self.context, number)).collect();
        let interval = SECOND as f64 / scenario.requests_per_second;
        for number in u64::from(scenario.requests.0)..u64::from(scenario.requests.1) {
            let mut rng = Pcg::new(mix(scenario.seed ^ mix(number ^ 0x0b5)));
            let at = LOAD_START + ((number as f64 + rng.next_f64()) * interval) as Micros;
            let client = random_below(&mut rng, clients.len() as u64) as usize;
            clients[client].send_at(at, number, false);
        }
        *self.clients() = clients;
    }

    fn schedule_faults(self: &Arc<Cluster>) {
        for fault in self.context.scenario.faults.clone() {
            match fault.trigger {
                Trigger::On(_, count) => {
                    self.context.state().pending_faults.push(PendingFault { remaining: count, fault });
                }
                Trigger::At(at) => {
                    self.schedule_after(at, move |cluster| cluster.clone().inject_fault(fault));
                }
            }
        }
    }

    /// Calls `act` with the cluster after a delay, in a separate task.
    fn schedule_after(self: &Arc<Cluster>, delay: Micros, act: impl FnOnce(&Arc<Cluster>) + Send + 'static) {
        let cluster = self.clone();
        self.context.schedule_after(delay, move || act(&cluster));
    }

    /// Resets a process's connections, closes its listeners, and then drops its tasks.
    fn kill_process(&self, runtime: Option<SimulatedRuntime>) {
        if let Some(runtime) = runtime {
            self.context.simulation.state().close_process_sockets(runtime.process);
            self.context.simulation.end_process(runtime.process);
        }
    }

    /// Ends every process at the end of a run.
    pub fn shut_down(&self) {
        self.context.simulation.shut_down();
        let mut state = self.context.state();
        for server in &mut state.servers {
            server.runtime = None;
        }
        for balancer in &mut state.balancers {
            balancer.runtime = None;
            balancer.dispatcher = None;
        }
        self.clients().clear();
    }

    /// Closes the idle connections that clients keep.
    pub fn close_client_connections(&self) {
        self.clients().iter().for_each(|client| client.close_idle_connections());
    }

    /// Asks every balancer to shut down.
    pub fn shut_down_balancers(self: &Arc<Cluster>) {
        for balancer in 0..self.context.scenario.balancers as usize {
            self.request_shutdown(balancer);
        }
    }
}

fn initial_state(scenario: &Scenario) -> ClusterState {
    let mut rng = Pcg::new(mix(scenario.seed ^ 0xf1ee));
    let kinds = 2 + random_below(&mut rng, 2);
    ClusterState {
        servers: (0..scenario.servers).map(|index| new_server(&mut rng, index, kinds)).collect(),
        balancers: (0..scenario.balancers).map(new_balancer).collect(),
        endpoints: BTreeMap::new(),
        version: INITIAL_VERSION,
        oldest_version: INITIAL_VERSION,
        discovery_delay: 0,
        discovery_faults: BTreeMap::new(),
        discovery_address: address_of(DISCOVERY_HOST, discovery_service::PORTS[0]),
        discovery_runtime: None,
        pending_faults: Vec::new(),
        applied_faults: Vec::new(),
        storm_count: 0,
    }
}

/// Creates an endpoint. Endpoints of one kind have the same number of cores, and their speeds differ a
/// little.
fn new_server(rng: &mut Pcg, index: u32, kinds: u64) -> UpstreamServer {
    let host = HostId(FIRST_SERVER_HOST + index);
    let kind = random_below(rng, kinds) as u32;
    UpstreamServer {
        name: format!("s{index}"),
        host,
        address: address_of(host, SERVICE_PORT),
        zone: index % 2,
        kind,
        cell: index / 2,
        cores: 1 + kind as usize % 2,
        speed_factor: 0.85 + 0.3 * rng.next_f64(),
        slowdown_factor: 1.0,
        active_faults: BTreeMap::new(),
        draining_since: None,
        runtime: None,
        started_at: None,
        down_count: 0,
        rename_count: 0,
    }
}

fn new_balancer(index: u32) -> BalancerNode {
    let host = HostId(FIRST_BALANCER_HOST + index);
    BalancerNode {
        host,
        address: address_of(host, SERVICE_PORT),
        zone: index % 2,
        runtime: None,
        dispatcher: None,
        shutdown_requested: Arc::default(),
        discovery_source: None,
        in_rotation: false,
        override_store: Arc::default(),
        start_count: 0,
        killed_at: Vec::new(),
        down_count: 0,
        shutdown_requested_at: None,
        reload_sender: None,
        ended_starts: Vec::new(),
    }
}
