//! Injects faults of balancers.

use std::sync::Arc;

use crate::cluster::Cluster;
use crate::cluster::balancers::SHUTDOWN_GRACE;
use crate::rule::Rule;
use crate::scenario::Fault;
use crate::time::{MS, Micros};

/// The time after its grace period by which a balancer must have exited.
const SHUTDOWN_MARGIN: Micros = 800 * MS;

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
        let delay = fault.duration.max(SHUTDOWN_GRACE + SHUTDOWN_MARGIN);
        self.schedule_after(delay, move |cluster| {
            cluster.check_ended(balancer);
            cluster.restart_balancer(balancer);
        });
    }

    fn check_ended(&self, balancer: usize) {
        let is_still_running = {
            let state = self.context.state();
            let node = &state.balancers[balancer];
            node.runtime.is_some() && node.is_shutting_down
        };
        if is_still_running {
            let text = format!("b{balancer} was asked to shut down and is still running");
            let mut records = self.context.records.lock();
            let mut state = self.context.simulation.state();
            records.report_violation(&mut state.kernel, Rule::NeverEnded, &[balancer as u64], text);
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
