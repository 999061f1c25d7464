//! Injects faults of endpoints.

use std::sync::Arc;

use crate::addresses::address_of;
use crate::cluster::Cluster;
use crate::cluster::admin::EjectionCall;
use crate::cluster::servers::RestartName;
use crate::hard_cases::HardCase;
use crate::nodes::EndpointState;
use crate::scenario::{Fault, FaultKind, Trigger, TriggerEvent};
use crate::time::{MS, Micros};

/// The time after which an endpoint that was drained, or stopped with all others, is restarted.
const RESTART_DELAY: Micros = 300 * MS;

impl Cluster {
    pub(super) fn kill_server(self: &Arc<Cluster>, fault: Fault) {
        if matches!(fault.trigger, Trigger::On(TriggerEvent::AttemptReceived, _)) {
            self.context.records.lock().record_hard_case(HardCase::ServerDiesBeforeAnswer);
        }
        let server = self.target_server(&fault);
        if fault.kind == FaultKind::PowerOffServer {
            self.power_off_server(server);
        } else {
            self.stop_server(server);
        }
        self.schedule_end(fault, move |cluster| cluster.restart_server(server, RestartName::Same));
    }

    pub(super) fn replace_server(self: &Arc<Cluster>, fault: Fault) {
        let server = self.target_server(&fault);
        let address = self.context.server_address(server);
        if self.context.simulation.state().network.is_connecting(address) {
            self.context.records.lock().record_hard_case(HardCase::AddressReusedWhileConnecting);
        }
        self.stop_server(server);
        self.schedule_end(fault, move |cluster| cluster.restart_server(server, RestartName::New));
    }

    pub(super) fn slow_server(self: &Arc<Cluster>, fault: Fault) {
        let server = self.target_server(&fault);
        let factor = fault.magnitude.max(1.0);
        self.context.state().servers[server].slowdown_factor *= factor;
        self.schedule_end(fault, move |cluster| {
            cluster.context.state().servers[server].slowdown_factor /= factor;
        });
    }

    /// Sets a fault that an endpoint looks up when it responds.
    pub(super) fn set_server_fault(self: &Arc<Cluster>, fault: Fault) {
        let server = self.target_server(&fault);
        *self.context.state().servers[server].active_faults.entry(fault.kind).or_default() += 1;
        self.schedule_end(fault, move |cluster| {
            let mut state = cluster.context.state();
            if let Some(count) = state.servers[server].active_faults.get_mut(&fault.kind) {
                *count -= 1;
            }
        });
    }

    pub(super) fn ignore_connections(self: &Arc<Cluster>, fault: Fault) {
        let address = self.context.server_address(self.target_server(&fault));
        self.context.simulation.state().network.set_unresponsive(address, true);
        self.schedule_end(fault, move |cluster| {
            cluster.context.simulation.state().network.set_unresponsive(address, false);
        });
    }

    pub(super) fn delay_accepts(self: &Arc<Cluster>, fault: Fault) {
        let address = self.context.server_address(self.target_server(&fault));
        let delay = (fault.magnitude * MS as f64) as Micros;
        self.context.simulation.state().network.set_accept_delay(address, Some(delay));
        self.schedule_end(fault, move |cluster| {
            cluster.context.simulation.state().network.set_accept_delay(address, None);
        });
    }

    /// Drains a running endpoint, stops it, and starts its replacement on another port.
    pub(super) fn drain_server(self: &Arc<Cluster>, fault: Fault) {
        let server = self.target_server(&fault);
        if self.context.state().servers[server].runtime.is_none() {
            return;
        }
        let now = self.context.simulation.now();
        self.context.state().servers[server].draining_since.get_or_insert(now);
        self.update_endpoint(server, EndpointState::Leaving);
        self.schedule_end(fault, move |cluster| {
            cluster.stop_server(server);
            let host = cluster.context.state().servers[server].host;
            cluster.schedule_after(RESTART_DELAY, move |cluster| {
                cluster.update_endpoint(server, EndpointState::Left);
                {
                    let mut state = cluster.context.state();
                    let server = &mut state.servers[server];
                    server.address = address_of(host, server.address.port() + 1);
                }
                cluster.restart_server(server, RestartName::New);
            });
        });
    }

    /// Powers off a zone's endpoints and, in half of the cases, its balancers.
    pub(super) fn power_off_zone(self: &Arc<Cluster>, fault: Fault) {
        let zone = fault.target % 2;
        let with_balancers =
            self.context.simulation.state().random_below(2) == 0 && self.context.scenario.balancers > 1;
        let servers: Vec<usize> = {
            let state = self.context.state();
            (0..state.servers.len()).filter(|&index| state.servers[index].zone == zone).collect()
        };
        let balancers: Vec<usize> = {
            let state = self.context.state();
            let of_zone = |&index: &usize| with_balancers && state.balancers[index].zone == zone;
            (0..state.balancers.len()).filter(of_zone).collect()
        };
        servers.iter().for_each(|&server| self.power_off_server(server));
        balancers.iter().for_each(|&balancer| self.power_off_balancer(balancer));
        self.schedule_end(fault, move |cluster| {
            servers.iter().for_each(|&server| cluster.restart_server(server, RestartName::Same));
            balancers.iter().for_each(|&balancer| cluster.restart_balancer(balancer));
        });
    }

    pub(super) fn restart_all_servers(self: &Arc<Cluster>) {
        self.context.records.lock().record_hard_case(HardCase::AllServersWarmingUp);
        for server in 0..self.context.scenario.servers as usize {
            self.stop_server(server);
            self.schedule_after(RESTART_DELAY, move |cluster| {
                cluster.restart_server(server, RestartName::Same);
            });
        }
    }

    pub(super) fn eject_manually(self: &Arc<Cluster>, fault: Fault) {
        let balancer = fault.second_target as usize % self.context.scenario.balancers as usize;
        let server = self.context.state().servers[self.target_server(&fault)].name.clone();
        let ejection = EjectionCall { balancer, server: server.clone(), is_ejected: true };
        self.request_manual_ejection(ejection);
        self.schedule_end(fault, move |cluster| {
            cluster.request_manual_ejection(EjectionCall { balancer, server, is_ejected: false });
        });
    }
}
