//! Injects faults of discovery.

use std::sync::Arc;

use crate::cluster::Cluster;
use crate::discovery_service;
use crate::scenario::Fault;
use crate::time::{Micros, SECOND};

/// The exclusive upper bound of the random number that determines the version after a restart.
const VERSION_DRAW_LIMIT: u64 = 1000;

impl Cluster {
    pub(super) fn stop_discovery(self: &Arc<Cluster>, fault: Fault) {
        *self.context.state().discovery_faults.entry(fault.kind).or_default() += 1;
        let runtime = self.context.state().discovery_runtime.take();
        self.kill_process(runtime);
        self.schedule_end(fault, move |cluster| {
            let is_over = {
                let mut state = cluster.context.state();
                let count = state.discovery_faults.entry(fault.kind).or_default();
                *count -= 1;
                *count == 0 && state.discovery_runtime.is_none()
            };
            if is_over {
                cluster.start_discovery();
            }
        });
    }

    /// Sets a fault that the discovery service looks up when it responds.
    pub(super) fn set_discovery_fault(self: &Arc<Cluster>, fault: Fault) {
        *self.context.state().discovery_faults.entry(fault.kind).or_default() += 1;
        self.schedule_end(fault, move |cluster| {
            *cluster.context.state().discovery_faults.entry(fault.kind).or_default() -= 1;
        });
    }

    pub(super) fn delay_discovery(self: &Arc<Cluster>, fault: Fault) {
        let delay = (fault.magnitude * SECOND as f64) as Micros;
        self.context.state().discovery_delay += delay;
        self.schedule_end(fault, move |cluster| cluster.context.state().discovery_delay -= delay);
    }

    /// Moves the version of the endpoint list forwards or backwards, as a restarted discovery service does.
    pub(super) fn restart_versions(&self) {
        let draw = self.context.simulation.state().random_below(VERSION_DRAW_LIMIT);
        {
            let mut state = self.context.state();
            state.version = discovery_service::version_after_restart(state.version, draw);
            state.oldest_version = state.version;
        }
        self.context.endpoints_changed.notify_waiters();
    }

    /// Tells one balancer that discovery has moved. The service still responds at the old address.
    pub(super) fn move_discovery(&self, fault: Fault) {
        let state = self.context.state();
        let balancer = &state.balancers[self.target_balancer(&fault)];
        if let Some(source) = &balancer.discovery_source {
            source.send_modify(|address| {
                let other = discovery_service::PORTS.into_iter().find(|port| *port != address.port());
                address.set_port(other.unwrap_or(address.port()));
            });
        }
    }
}
