//! The actions that begin and end each kind of fault.

use std::time::Duration;

use doorproxy_test_servers::clock::{self, MS};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::balancer_config::zone_of;
use super::{Cluster, HANG_TIMEOUT, with_context};
use crate::admin_client::admin_request;
use crate::scenario::{ConfiguredList, Fault, FaultKind, FaultTarget, StateDirectoryCondition};

impl Cluster {
    /// Begins a fault; `index` is its position in the scenario.
    pub(super) async fn begin_fault(&mut self, index: usize, fault: &Fault) -> Result<(), String> {
        let targets = || self.scenario.matching_nodes(&fault.targets);
        match fault.kind {
            FaultKind::Kill => targets()?.iter().for_each(|name| self.kill_balancer(name)),
            FaultKind::Terminate => {
                for name in targets()? {
                    self.record_process(&name, ProcessChange::Terminated);
                    self.nodes[&name].terminate();
                }
            }
            FaultKind::Pause => {
                for name in targets()? {
                    self.record_process(&name, ProcessChange::Paused);
                    self.nodes[&name].pause();
                    self.paused.insert(name);
                }
            }
            FaultKind::DuplicateProcess => {
                for name in targets()? {
                    self.start_duplicate(name, fault)?;
                }
            }
            FaultKind::ManualEjection | FaultKind::FleetEjection => {
                self.request_manual_ejection(fault, true).await?
            }
            FaultKind::Crash => targets()?.iter().for_each(|name| self.upstreams[name].kill()),
            FaultKind::Restart => {
                for name in targets()? {
                    self.upstreams[&name].kill();
                    self.start_upstream(&name, "active").await?;
                }
            }
            FaultKind::Drain => {
                for name in targets()? {
                    let started = self.upstreams[&name].started_at();
                    self.discovery.set_endpoint(&name, zone_of(&name), "leaving", started);
                }
            }
            FaultKind::SlowDown | FaultKind::AnswerErrors | FaultKind::Hang | FaultKind::DeclineAll => {
                self.set_upstream_behavior(fault, true)?
            }
            FaultKind::DiscoveryOutage => self.discovery.stop(),
            _ => {
                let impairment = fault.kind.impairment(fault.magnitude);
                for (from, to) in self.scenario.matching_paths(&fault.paths)? {
                    self.proxy.set_fault(&from, &to, index as u64, Some(impairment));
                }
            }
        }
        Ok(())
    }

    /// Starts a second process of a balancer while the first still runs.
    fn start_duplicate(&mut self, name: String, fault: &Fault) -> Result<(), String> {
        let config = self.balancer_config(&name, ConfiguredList::Last);
        let node = self.nodes.get_mut(&name).ok_or_else(|| format!("{name}: there is no such balancer"))?;
        let child = with_context(&name, node.spawn(&config, fault.state_directory))?;
        let event = Event::Process { node: format!("{name}+"), id: child.id(), did: ProcessChange::Started };
        self.record(event);
        self.duplicate_processes.push((name, child));
        Ok(())
    }

    /// Ends a fault; `index` is its position in the scenario.
    pub(super) async fn end_fault(&mut self, index: usize, fault: &Fault) -> Result<(), String> {
        let targets = || self.scenario.matching_nodes(&fault.targets);
        match fault.kind {
            FaultKind::Pause => {
                for name in targets()? {
                    self.nodes[&name].resume();
                    self.paused.remove(&name);
                    self.record_process(&name, ProcessChange::Resumed);
                }
            }
            FaultKind::ManualEjection | FaultKind::FleetEjection => {
                self.request_manual_ejection(fault, false).await?
            }
            FaultKind::Crash => {
                for name in targets()? {
                    self.start_upstream(&name, "active").await?;
                }
            }
            // A drained endpoint is replaced by a process that warms up.
            FaultKind::Drain => {
                for name in targets()? {
                    self.upstreams[&name].kill();
                    self.start_upstream(&name, "active").await?;
                }
            }
            FaultKind::SlowDown | FaultKind::AnswerErrors | FaultKind::Hang | FaultKind::DeclineAll => {
                self.set_upstream_behavior(fault, false)?
            }
            FaultKind::DiscoveryOutage => with_context("discovery", self.discovery.start().await)?,
            kind if kind.target() == FaultTarget::Paths => {
                for (from, to) in self.scenario.matching_paths(&fault.paths)? {
                    self.proxy.set_fault(&from, &to, index as u64, None);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Restarts an endpoint and adds it to the endpoint list.
    async fn start_upstream(&self, name: &str, state: &'static str) -> Result<(), String> {
        let upstream = &self.upstreams[name];
        // The endpoint runs already if another fault has restarted it.
        upstream.kill();
        let until = self.clock.now() + HANG_TIMEOUT;
        // Connections of the previous process may keep the address in use for a moment.
        while let Err(error) = upstream.start(true).await {
            if self.clock.now() > until {
                return Err(format!("{name}: {error}"));
            }
            clock::sleep(10 * MS).await;
        }
        self.discovery.set_endpoint(name, zone_of(name), state, upstream.started_at());
        Ok(())
    }

    /// Makes endpoints misbehave, or ends their misbehaviour.
    fn set_upstream_behavior(&self, fault: &Fault, begins: bool) -> Result<(), String> {
        for name in self.scenario.matching_nodes(&fault.targets)? {
            self.upstreams[&name].change_behavior(|behavior| match fault.kind {
                FaultKind::SlowDown => behavior.slowdown_factor = if begins { fault.magnitude } else { 1.0 },
                FaultKind::AnswerErrors => behavior.answers_errors = begins,
                FaultKind::Hang => behavior.hangs = begins,
                _ => behavior.declines_all = begins,
            });
        }
        Ok(())
    }

    /// Restarts a balancer, with the state directory in the condition that the fault states.
    pub(super) fn restart_balancer(&mut self, name: &str, fault: &Fault) -> Result<(), String> {
        // A process that was asked to exit and still runs is killed, as a service manager does; so is a
        // duplicate.
        self.kill_balancer(name);
        self.duplicate_processes.retain_mut(|(balancer, child)| {
            let is_other = balancer != name;
            if !is_other {
                let _ = child.kill();
                let _ = child.wait();
            }
            is_other
        });
        let other = self.nodes.keys().find(|other| *other != name).cloned();
        let other = other.map(|other| self.nodes[&other].state_directory());
        with_context(
            name,
            self.nodes[name].prepare_state_directory(fault.state_directory, other.as_deref()),
        )?;
        if fault.state_directory != StateDirectoryCondition::Kept {
            let state = format!("{:?}", fault.state_directory);
            self.record(Event::StateDirectoryChanged { node: name.to_string(), state });
        }
        self.start_balancer(name, fault.configured_list, fault.state_directory)
    }

    /// Ejects endpoints by hand through the admin API, or ends the ejection.
    async fn request_manual_ejection(&self, fault: &Fault, out: bool) -> Result<(), String> {
        let (servers, nodes) = self.scenario.parse_manual_ejection(&fault.targets)?;
        let is_fleet_wide = fault.kind == FaultKind::FleetEjection;
        let scope = if is_fleet_wide { "_fleet" } else { "_upstreams" };
        let call = format!("POST /{scope}/{}", if out { "detach" } else { "attach" });
        for (node, server) in nodes.iter().flat_map(|node| servers.iter().map(move |server| (node, server))) {
            let admin_address = self.proxy.addresses.admin(node);
            let (node, server_name) = (node.clone(), server.clone());
            let event = match is_fleet_wide {
                true => Event::FleetOverride { node, server: server_name, out },
                false => Event::ManualOverride { node, server: server_name, out },
            };
            if !out {
                // The endpoint may be in use again from now on, even if the response is lost.
                self.record(event.clone());
            }
            let request = admin_request(admin_address, &call, server);
            let response = tokio::time::timeout(Duration::from_secs(5), request).await;
            if out && matches!(response, Ok(Ok((200, _)))) {
                self.record(event);
            }
        }
        Ok(())
    }
}
