//! Injects faults of balancers.

use std::sync::Arc;

use crate::cluster::Cluster;
use crate::cluster::balancers::SHUTDOWN_GRACE;
use crate::cluster::config::sidecar_config;
use crate::request_class::longest_timeout;
use crate::rule::Rule;
use crate::scenario::Fault;
use crate::time::{MS, Micros};

/// The time after its grace period by which a balancer must have exited.
const SHUTDOWN_MARGIN: Micros = 800 * MS;

/// The time after the longest timeout at which the process may be killed.
const KILL_MARGIN: Micros = 700 * MS;

impl Cluster {
    pub(super) fn kill_balancer_temporarily(self: &Arc<Cluster>, fault: Fault) {
        let balancer = self.target_balancer(&fault);
        self.kill_balancer(balancer);
        self.schedule_end(fault, move |cluster| cluster.restart_balancer(balancer));
    }

    /// Asks a balancer to shut down, checks that it exits within its grace period, and starts it again.
    pub(super) fn restart_balancer_gracefully(self: &Arc<Cluster>, fault: Fault) {
        let balancer = self.target_balancer(&fault);
        self.request_shutdown(balancer);
        self.context.state().balancers[balancer].down_count += 1;
        let limit = if self.context.scenario.clients_stay {
            longest_timeout() + KILL_MARGIN
        } else {
            SHUTDOWN_GRACE + SHUTDOWN_MARGIN
        };
        let delay = fault.duration.max(limit);
        self.schedule_after(delay, move |cluster| {
            cluster.check_ended(balancer);
            cluster.restart_balancer(balancer);
        });
    }

    fn check_ended(&self, balancer: usize) {
        let is_still_running = {
            let state = self.context.state();
            let node = &state.balancers[balancer];
            node.runtime.is_some() && node.shutdown_requested_at.is_some()
        };
        if is_still_running {
            let text = format!("b{balancer} was asked to shut down and is still running");
            let mut records = self.context.records.lock();
            let mut state = self.context.simulation.state();
            records.report_violation(&mut state.kernel, Rule::NeverEnded, &[balancer as u64], text);
        }
    }

    /// Sends a sidecar a configuration with other timeouts. Does nothing to a balancer.
    pub(super) fn reload_sidecar(self: &Arc<Cluster>, fault: Fault) {
        let index = self.target_balancer(&fault);
        let config = sidecar_config(&self.context, index, fault.magnitude);
        if let Some(reload_sender) = &self.context.state().balancers[index].reload_sender {
            let _ = reload_sender.try_send(config);
        }
    }

    /// Starves a balancer of CPU time.
    pub(super) fn starve_balancer(self: &Arc<Cluster>, fault: Fault) {
        let balancer = self.target_balancer(&fault);
        let Some(runtime) = self.context.state().balancers[balancer].runtime.clone() else { return };
        let process = runtime.process;
        self.context.simulation.state().set_cpu_starved(process, true);
        self.schedule_end(fault, move |cluster| {
            cluster.context.simulation.state().set_cpu_starved(process, false);
        });
    }
}
