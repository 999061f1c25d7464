//! What each kind of fault does when it begins and when it ends.

use std::time::Duration;

use doorproxy_test_servers::clock::{self, MS};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::balancer_config::zone_of;
use super::{Cluster, HANG_TIMEOUT, with_context};
use crate::admin_client::admin_request;
use crate::scenario::{ConfiguredList, Fault, FaultKind, FaultTarget, StateDirectoryCondition};

impl Cluster {
    /// Begins a fault; the index is that of the fault in the scenario.
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

    /// Starts a second process of a balancer beside the one that runs.
    fn start_duplicate(&mut self, name: String, fault: &Fault) -> Result<(), String> {
        let config = self.balancer_config(&name, ConfiguredList::Last);
        let node = self.nodes.get_mut(&name).ok_or("a node")?;
        let child = with_context(&name, node.spawn(&config, fault.state_directory))?;
        let event = Event::Process { node: format!("{name}+"), id: child.id(), did: ProcessChange::Started };
        self.record(event);
        self.duplicate_processes.push((name, child));
        Ok(())
    }

    /// Ends a fault; the index is that of the fault in the scenario.
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
            FaultKind::DiscoveryOutage => with_context("the list", self.discovery.start().await)?,
            what if what.target() == FaultTarget::Paths => {
                for (from, to) in self.scenario.matching_paths(&fault.paths)? {
                    self.proxy.set_fault(&from, &to, index as u64, None);
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Starts an endpoint anew and lists it.
    async fn start_upstream(&self, name: &str, state: &'static str) -> Result<(), String> {
        let upstream = &self.upstreams[name];
        // Two faults may end one after the other.
        upstream.kill();
        let until = self.clock.now() + HANG_TIMEOUT;
        // Connections of the last process may hold its address for a moment.
        while let Err(error) = upstream.start(true).await {
            if self.clock.now() > until {
                return Err(format!("{name}: {error}"));
            }
            clock::sleep(10 * MS).await;
        }
        self.discovery.set_endpoint(name, zone_of(name), state, upstream.started_at());
        Ok(())
    }

    /// Begins or ends a misbehaviour of endpoints.
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

    /// Starts a balancer again, with the state directory that the fault gives it.
    pub(super) fn restart_balancer(&mut self, name: &str, fault: &Fault) -> Result<(), String> {
        // A process that was asked to end and still runs is killed, as a platform does; so is a duplicate.
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

    /// Ejects endpoints manually, or takes that back.
    async fn request_manual_ejection(&self, fault: &Fault, out: bool) -> Result<(), String> {
        let (servers, nodes) = self.scenario.parse_manual_ejection(&fault.targets)?;
        let whole = fault.kind == FaultKind::FleetEjection;
        let whose = if whole { "_fleet" } else { "_upstreams" };
        let call = format!("POST /{whose}/{}", if out { "detach" } else { "attach" });
        for (node, server) in nodes.iter().flat_map(|node| servers.iter().map(move |server| (node, server))) {
            let at = self.proxy.addresses.admin(node);
            let (of, to) = (node.clone(), server.clone());
            let event = match whole {
                true => Event::FleetOverride { node: of, server: to, out },
                false => Event::ManualOverride { node: of, server: to, out },
            };
            if !out {
                // It may be back from now on, also where the confirmation never arrives.
                self.record(event.clone());
            }
            let asked = tokio::time::timeout(Duration::from_secs(5), admin_request(at, &call, server)).await;
            if out && matches!(asked, Ok(Ok((200, _)))) {
                self.record(event);
            }
        }
        Ok(())
    }
}
