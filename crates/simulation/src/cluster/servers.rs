//! Starts, stops and restarts endpoints, and updates the endpoint list.

use std::sync::Arc;

use super::Cluster;
use crate::checker::ServerStart;
use crate::nodes::{EndpointEntry, EndpointState};
use crate::runtime::SimulatedRuntime;
use crate::time::{MS, Micros};
use crate::upstream;

/// The time after which the endpoint list has a started endpoint.
const DISCOVERY_LAG: Micros = 200 * MS;

/// The name of a restarted endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RestartName {
    /// The name that it had before.
    Same,
    /// A new name, on the same host.
    New,
}

impl Cluster {
    /// Starts an endpoint. Without a start time it counts as warmed up and is listed at once.
    pub(super) fn start_server(self: &Arc<Cluster>, index: usize, started_at: Option<Micros>) {
        let (runtime, start) = {
            let mut state = self.context.state();
            let server = &mut state.servers[index];
            let runtime = SimulatedRuntime::new(&self.context.simulation, server.host, &server.name);
            server.runtime = Some(runtime.clone());
            server.started_at = started_at;
            server.draining_since = None;
            let capacity = server.speed_factor * server.cores as f64;
            let mut records = self.context.records.lock();
            records.server_starts.push(ServerStart::new(&server.name, started_at, capacity));
            (runtime, records.server_starts.len() - 1)
        };
        let process = runtime.process;
        let serve = upstream::serve(runtime, self.context.clone(), index, start);
        self.context.simulation.spawn(process, serve);
        if started_at.is_none() {
            self.update_endpoint(index, EndpointState::Active);
        } else {
            self.schedule_after(DISCOVERY_LAG, move |cluster| {
                cluster.update_endpoint(index, EndpointState::Active);
            });
        }
    }

    /// Updates the list entry of an endpoint. An endpoint that isn't running is not listed as active.
    pub(super) fn update_endpoint(&self, index: usize, endpoint_state: EndpointState) {
        {
            let mut state = self.context.state();
            state.version += 1;
            let version = state.version;
            let server = &state.servers[index];
            if endpoint_state == EndpointState::Active && server.runtime.is_none() {
                return;
            }
            let entry = EndpointEntry {
                name: server.name.clone(),
                address: server.address,
                zone: server.zone,
                kind: server.kind,
                cell: server.cell,
                state: endpoint_state,
                started_at: server.started_at,
                changed_in_version: version,
            };
            state.endpoints.insert(entry.name.clone(), entry);
        }
        self.context.endpoints_changed.notify_waiters();
    }

    /// Kills an endpoint's process, if it runs, and adds one fault that keeps the endpoint down. The endpoint
    /// list does not change.
    pub(super) fn stop_server(&self, index: usize) {
        let runtime = self.take_server(index);
        self.kill_process(runtime);
    }

    /// Like [`Cluster::stop_server`], but powers off the host first, so that the process sends nothing more.
    pub(super) fn power_off_server(&self, index: usize) {
        let runtime = self.take_server(index);
        let host = self.context.state().servers[index].host;
        self.context.simulation.state().power_off(host);
        self.kill_process(runtime);
    }

    fn take_server(&self, index: usize) -> Option<SimulatedRuntime> {
        let mut state = self.context.state();
        let server = &mut state.servers[index];
        server.down_count += 1;
        server.runtime.take()
    }

    /// Removes one fault that keeps an endpoint down, and starts the endpoint if there is no other.
    pub(super) fn restart_server(self: &Arc<Cluster>, index: usize, name: RestartName) {
        let host = {
            let mut state = self.context.state();
            let server = &mut state.servers[index];
            server.down_count -= 1;
            if server.down_count > 0 {
                return;
            }
            if name == RestartName::New {
                server.rename_count += 1;
            }
            server.host
        };
        self.context.simulation.state().power_on(host);
        if name == RestartName::New {
            self.update_endpoint(index, EndpointState::Left);
            let mut state = self.context.state();
            let server = &mut state.servers[index];
            server.name = format!("s{index}-{}", server.rename_count);
        }
        if self.context.state().servers[index].runtime.is_none() {
            self.start_server(index, Some(self.context.simulation.now()));
        }
    }
}
