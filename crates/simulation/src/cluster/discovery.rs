//! Starts the discovery service.

use std::net::SocketAddr;
use std::sync::Arc;

use super::Cluster;
use crate::addresses::host_of;
use crate::discovery_service;
use crate::runtime::SimulatedRuntime;

impl Cluster {
    /// Starts the discovery service on both of its ports.
    pub(super) fn start_discovery(self: &Arc<Cluster>) {
        let address = self.context.state().discovery_address;
        let runtime = SimulatedRuntime::new(&self.context.simulation, host_of(address), "list");
        self.context.state().discovery_runtime = Some(runtime.clone());
        for port in discovery_service::PORTS {
            let address = SocketAddr::new(address.ip(), port);
            let serve = discovery_service::serve(runtime.clone(), self.context.clone(), address);
            self.context.simulation.spawn(runtime.process, serve);
        }
    }
}
