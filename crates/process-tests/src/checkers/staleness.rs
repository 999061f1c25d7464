//! That nothing old is acted on for long: a balancer that can ask the list follows it within the time that the settings allow,
//! whatever it knew when it started.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Findings};
use crate::scenario::Scenario;

pub struct StalenessChecker {
    /// From when on what the list says binds one that could have asked: the time that the settings give.
    max_staleness: Micros,
    /// Since when the list calls an endpoint something else than active.
    draining_since: BTreeMap<String, Micros>,
    /// Since when a balancer's process runs without a break.
    running_since: BTreeMap<String, Micros>,
}

impl StalenessChecker {
    pub fn new(script: &Scenario) -> StalenessChecker {
        let max_staleness = (script.fleet.ask_within_s * SECOND as f64) as Micros;
        StalenessChecker { max_staleness, draining_since: BTreeMap::new(), running_since: BTreeMap::new() }
    }
}

impl Checker for StalenessChecker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings) {
        match event {
            Event::EndpointListed { server, state } => {
                if state == "active" {
                    self.draining_since.remove(server);
                } else {
                    self.draining_since.entry(server.clone()).or_insert(at);
                }
            }
            Event::Process { node, did: ProcessChange::Started | ProcessChange::Resumed, .. } => {
                self.running_since.insert(node.clone(), at);
            }
            Event::AttemptReceived { op, server, node, first_byte, .. } => {
                let (Some(left), Some(running)) =
                    (self.draining_since.get(server), self.running_since.get(node))
                else {
                    return;
                };
                // A process that has just started is given the same time to ask as one that runs.
                let since = (*left).max(*running);
                let most = since + self.max_staleness + world.slack();
                if *first_byte > most && !world.had_discovery_path_fault(node, since, *first_byte) {
                    let late = (first_byte - since) / 1000;
                    let text = format!(
                        "op {op:x} went to {server}, which the list calls leaving, {late} ms after {node} could ask"
                    );
                    found.report("stale", at, text);
                }
            }
            _ => {}
        }
    }
}
