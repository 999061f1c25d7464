//! That what an operator has said for the whole fleet binds every balancer that can have heard of it: one that was well for a
//! while, beside another that knew and was well as long. From then on it binds whatever becomes of the balancer at which it
//! was said, over kills and restarts, until it is called back.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Findings};
use crate::addresses;
use crate::scenario::Scenario;

/// Two that are well for so long have asked each other or others in between, many times over: a period is 250 ms.
const PROPAGATION_TIME: Micros = 6 * SECOND;
const EJECTION_GRACE: Micros = SECOND;

pub struct OperatorOverrideChecker {
    nodes: Vec<String>,
    /// By endpoint, who knows that it is out, since when.
    known_ejections: BTreeMap<String, BTreeMap<String, Micros>>,
    /// Their folders take nothing: what they hear is gone with their process.
    without_storage: Vec<String>,
}

impl OperatorOverrideChecker {
    pub fn new(script: &Scenario) -> OperatorOverrideChecker {
        let count = if script.fleet.keepers.is_some() { script.fleet.balancers } else { 0 };
        OperatorOverrideChecker {
            nodes: (0..count).map(addresses::balancer_name).collect(),
            known_ejections: BTreeMap::new(),
            without_storage: Vec::new(),
        }
    }

    fn forget(&mut self, node: &str) {
        for knows in self.known_ejections.values_mut() {
            knows.remove(node);
        }
    }

    fn propagate(&mut self, at: Micros, world: &FaultTimeline) {
        let Some(from) = at.checked_sub(PROPAGATION_TIME) else { return };
        let well: Vec<&String> =
            self.nodes.iter().filter(|node| world.was_undisturbed(node, from, at)).collect();
        for knows in self.known_ejections.values_mut() {
            let can_tell = knows.iter().any(|(node, since)| *since <= from && well.contains(&node));
            for node in well.iter().filter(|_| can_tell) {
                knows.entry(node.to_string()).or_insert(at);
            }
        }
    }
}

impl Checker for OperatorOverrideChecker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings) {
        match event {
            Event::FleetOverride { node, server, out: true } => {
                self.known_ejections.entry(server.clone()).or_default().entry(node.clone()).or_insert(at);
            }
            Event::FleetOverride { server, .. } => drop(self.known_ejections.remove(server)),
            Event::StateDirectoryChanged { node, state } => {
                self.forget(node);
                if state != "Emptied" {
                    self.without_storage.push(node.clone());
                }
            }
            Event::Process { node, did: ProcessChange::Started, .. }
                if self.without_storage.contains(node) =>
            {
                self.forget(node)
            }
            // Twice a second.
            Event::HarnessLate { .. } => self.propagate(at, world),
            Event::AttemptReceived { node, server, first_byte, op, .. } => {
                let since = self.known_ejections.get(server).and_then(|knows| knows.get(node));
                if let Some(since) =
                    since.filter(|since| *first_byte > **since + EJECTION_GRACE + world.slack())
                    && world.was_undisturbed(node, first_byte.saturating_sub(world.slack()), *first_byte)
                {
                    let late = (first_byte - since) / 1000;
                    let text = format!(
                        "op {op:x} went to {server} {late} ms after {node} had to know that it is out"
                    );
                    found.report("fleet-ban", at, text);
                }
            }
            Event::OverridesDiffer { text } => found.report("words-differ", at, text.clone()),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
