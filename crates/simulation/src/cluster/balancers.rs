//! Starts, kills, restarts and shuts down balancers and sidecars.

use std::sync::Arc;

use doorproxy::ids::Ticks;
use doorproxy_balancer::runtime::Runtime;
use doorproxy_balancer::{admin, assembly, config};
use tokio::sync::{Notify, mpsc, watch};

use super::Cluster;
use super::config::{balancer_config, process_seed, sidecar_config};
use crate::mutants::MutantHooks;
use crate::nodes::BalancerProcess;
use crate::runtime::SimulatedRuntime;
use crate::time::{MS, Micros};
use crate::trace::EventKind;

/// The time for which clients still choose a killed balancer.
const KILLED_ROTATION_LAG: Micros = 1200 * MS;
/// The time for which clients still choose a balancer that was asked to shut down.
const SHUTDOWN_ROTATION_LAG: Micros = 300 * MS;
/// The time after which clients choose a started balancer.
const START_ROTATION_LAG: Micros = 50 * MS;
/// The time that a balancer may take to shut down.
pub(super) const SHUTDOWN_GRACE: Micros = 3000 * MS;
const ADMIN_BACKLOG: u32 = 64;
const ADMIN_SEND_BUFFER_BYTES: u32 = 1 << 16;

/// A process that has been created but has no tasks yet.
struct StartingProcess {
    runtime: SimulatedRuntime,
    shutdown_requested: Arc<Notify>,
    process: BalancerProcess,
}

impl Cluster {
    /// Starts a balancer, or the sidecar in its place.
    pub(super) fn start_balancer(self: &Arc<Cluster>, index: usize) {
        if self.context.scenario.uses_sidecar {
            self.start_sidecar(index);
        } else {
            self.start_configured_balancer(index);
        }
    }

    fn start_sidecar(self: &Arc<Cluster>, index: usize) {
        let config = sidecar_config(&self.context, index, 1.0);
        let StartingProcess { runtime, shutdown_requested, process } = self.new_process(index);
        let seed = process_seed(&self.context, index, process.start);
        let cluster = self.clone();
        let (reload_sender, reloads) = mpsc::channel(1);
        self.context.state().balancers[index].reload_sender = Some(reload_sender);
        self.context.simulation.spawn(runtime.process, async move {
            let shutdown = async move { shutdown_requested.notified().await };
            let served = doorproxy_sidecar::server::serve(runtime.clone(), config, seed, reloads, shutdown);
            drop(served.await);
            cluster.schedule_after(0, move |cluster| cluster.on_balancer_ended(process));
        });
        self.add_to_rotation(process);
    }

    fn start_configured_balancer(self: &Arc<Cluster>, index: usize) {
        let config = match config::parse(&balancer_config(&self.context, index).to_string()) {
            Ok(config) => Arc::new(config),
            Err(error) => unreachable!("the configuration is valid: {error}"),
        };
        let StartingProcess { runtime, shutdown_requested, process } = self.new_process(index);
        let (discovery_source, discovery_address) = watch::channel(config.discovery_address);
        self.context.state().balancers[index].discovery_source = Some(discovery_source);
        let parts = assembly::assemble(&runtime, &config);
        self.context.state().balancers[index].dispatcher = Some(parts.dispatcher.clone());
        let override_store = self.context.state().balancers[index].override_store.clone();
        let admin_api = parts.admin_api(&runtime, override_store);
        let admin_address = config.admin_address.expect("the configuration has an admin address");
        match runtime.listen(admin_address, ADMIN_SEND_BUFFER_BYTES, ADMIN_BACKLOG) {
            Ok(listener) => {
                self.context.simulation.spawn(runtime.process, admin::serve(listener, admin_api));
            }
            Err(error) => unreachable!("no other process listens on a balancer's host: {error}"),
        }
        let grace = Ticks((SHUTDOWN_GRACE / 100) as i64);
        let cluster = self.clone();
        self.context.simulation.spawn(runtime.process, async move {
            let shutdown = async move { shutdown_requested.notified().await };
            let serve =
                assembly::serve(runtime.clone(), parts, config, discovery_address, None, grace, shutdown);
            let result = serve.await;
            let BalancerProcess { balancer, start } = process;
            let numbers = [balancer as u64, u64::from(start), u64::from(result.is_err())];
            let line = format_args!("b{balancer} exited: {result:?}");
            runtime.simulation.state().kernel.record_event(EventKind::BalancerEnded, &numbers, line);
            cluster.schedule_after(0, move |cluster| cluster.on_balancer_ended(process));
        });
        self.add_to_rotation(process);
    }

    fn new_process(&self, index: usize) -> StartingProcess {
        let mut state = self.context.state();
        let balancer = &mut state.balancers[index];
        balancer.start_count += 1;
        let mut runtime =
            SimulatedRuntime::new(&self.context.simulation, balancer.host, &format!("b{index}"));
        runtime.hooks = Some(MutantHooks::new(&self.context, self.mutant));
        balancer.runtime = Some(runtime.clone());
        balancer.shutdown_requested = Arc::default();
        balancer.shutdown_requested_at = None;
        StartingProcess {
            runtime,
            shutdown_requested: balancer.shutdown_requested.clone(),
            process: BalancerProcess { balancer: index, start: balancer.start_count },
        }
    }

    fn add_to_rotation(self: &Arc<Cluster>, process: BalancerProcess) {
        self.schedule_after(START_ROTATION_LAG, move |cluster| {
            let mut state = cluster.context.state();
            let balancer = &mut state.balancers[process.balancer];
            balancer.in_rotation |= balancer.start_count == process.start
                && balancer.runtime.is_some()
                && balancer.shutdown_requested_at.is_none();
        });
    }

    fn on_balancer_ended(&self, process: BalancerProcess) {
        if !self.context.is_alive(process) {
            return;
        }
        let runtime = {
            let mut state = self.context.state();
            let balancer = &mut state.balancers[process.balancer];
            balancer.in_rotation = false;
            balancer.dispatcher = None;
            balancer.ended_starts.push(process.start);
            balancer.runtime.take()
        };
        self.kill_process(runtime);
        self.context.records.lock().forget_balancer(process.balancer);
    }

    /// Kills a balancer's process, if it runs, and adds one fault that keeps the balancer down.
    pub(super) fn kill_balancer(self: &Arc<Cluster>, index: usize) {
        let runtime = self.take_balancer(index);
        self.remove_balancer(index, runtime);
    }

    /// Like [`Cluster::kill_balancer`], but powers off the host first, so that the process sends nothing
    /// more.
    pub(super) fn power_off_balancer(self: &Arc<Cluster>, index: usize) {
        let runtime = self.take_balancer(index);
        let host = self.context.state().balancers[index].host;
        self.context.simulation.state().power_off(host);
        self.remove_balancer(index, runtime);
    }

    fn take_balancer(&self, index: usize) -> Option<SimulatedRuntime> {
        let now = self.context.simulation.now();
        let mut state = self.context.state();
        let balancer = &mut state.balancers[index];
        balancer.down_count += 1;
        balancer.dispatcher = None;
        if balancer.runtime.is_some() {
            balancer.killed_at.push(now);
        }
        balancer.runtime.take()
    }

    fn remove_balancer(self: &Arc<Cluster>, index: usize, runtime: Option<SimulatedRuntime>) {
        self.kill_process(runtime);
        self.context.records.lock().forget_balancer(index);
        self.schedule_after(KILLED_ROTATION_LAG, move |cluster| {
            let mut state = cluster.context.state();
            let balancer = &mut state.balancers[index];
            balancer.in_rotation &= balancer.runtime.is_some();
        });
    }

    /// Removes one fault that keeps a balancer down, and starts the balancer if there is no other.
    pub(super) fn restart_balancer(self: &Arc<Cluster>, index: usize) {
        let host = {
            let mut state = self.context.state();
            let balancer = &mut state.balancers[index];
            balancer.down_count -= 1;
            if balancer.down_count > 0 {
                return;
            }
            balancer.host
        };
        self.context.simulation.state().power_on(host);
        if self.context.state().balancers[index].runtime.is_none() {
            self.start_balancer(index);
        }
    }

    /// Asks a balancer's process to shut down.
    pub(super) fn request_shutdown(self: &Arc<Cluster>, index: usize) {
        {
            let mut state = self.context.state();
            let balancer = &mut state.balancers[index];
            if balancer.runtime.is_none() || balancer.shutdown_requested_at.is_some() {
                return;
            }
            balancer.shutdown_requested_at = Some(self.context.simulation.now());
            balancer.shutdown_requested.notify_one();
        }
        if self.context.scenario.clients_stay {
            return;
        }
        let process = self.context.current_process(index);
        self.schedule_after(SHUTDOWN_ROTATION_LAG, move |cluster| {
            let mut state = cluster.context.state();
            let balancer = &mut state.balancers[index];
            balancer.in_rotation &= balancer.start_count != process.start;
        });
    }
}
