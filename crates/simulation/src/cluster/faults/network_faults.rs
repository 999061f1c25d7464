//! Injects faults of the network.

use std::sync::Arc;

use crate::cluster::{Cluster, DISCOVERY_HOST};
use crate::kernel::HostId;
use crate::scenario::{Fault, FaultKind};
use crate::time::{MS, Micros};

/// A path in one direction between two hosts.
#[derive(Clone, Copy)]
struct Path {
    from: HostId,
    to: HostId,
}

impl Path {
    fn both_ways(one: HostId, other: HostId) -> Vec<Path> {
        vec![Path { from: one, to: other }, Path { from: other, to: one }]
    }
}

impl Cluster {
    pub(super) fn partition_paths(self: &Arc<Cluster>, fault: Fault) {
        let paths = self.paths_of(&fault);
        for path in &paths {
            self.context.simulation.state().partition(path.from, path.to);
        }
        self.schedule_end(fault, move |cluster| {
            for path in &paths {
                cluster.context.simulation.state().heal(path.from, path.to);
            }
        });
    }

    fn paths_of(&self, fault: &Fault) -> Vec<Path> {
        let state = self.context.state();
        let balancer = state.balancers[self.target_balancer(fault)].host;
        match fault.kind {
            FaultKind::Partition => {
                let server = fault.second_target as usize % state.servers.len();
                Path::both_ways(balancer, state.servers[server].host)
            }
            FaultKind::OneWayPartition => {
                let server = state.servers[self.target_server(fault)].host;
                let balancer = fault.second_target as usize % state.balancers.len();
                vec![Path { from: server, to: state.balancers[balancer].host }]
            }
            _ => Path::both_ways(balancer, DISCOVERY_HOST),
        }
    }

    pub(super) fn slow_network(self: &Arc<Cluster>, fault: Fault) {
        let latency = (fault.magnitude * MS as f64) as Micros;
        self.context.simulation.state().network.extra_latency += latency;
        self.schedule_end(fault, move |cluster| {
            cluster.context.simulation.state().network.extra_latency -= latency;
        });
    }
}
