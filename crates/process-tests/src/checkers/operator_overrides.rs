//! Checks that a fleet override binds every balancer that must know it: one that ran undisturbed for a while
//! together with another one that knew the override. From then on the override binds it over kills and
//! restarts, whatever happens to the balancer that received it from the operator, until the override is
//! withdrawn.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Violations};
use crate::addresses;
use crate::scenario::Scenario;

/// Balancers that run undisturbed for this long have exchanged overrides many times, directly or through
/// others: a gossip period is 250 ms.
const PROPAGATION_TIME: Micros = 6 * SECOND;
/// The time after a balancer must know of an ejection in which attempts are still allowed.
const EJECTION_GRACE: Micros = SECOND;

/// Checks attempts against the fleet overrides that their balancers must know.
pub struct OperatorOverrideChecker {
    nodes: Vec<String>,
    /// By endpoint: the balancers that must know of its ejection, and since when.
    known_ejections: BTreeMap<String, BTreeMap<String, Micros>>,
    /// Balancers whose state directory was changed other than by emptying it. They may be unable to store
    /// overrides, and need not know them after a restart.
    without_storage: Vec<String>,
}

impl OperatorOverrideChecker {
    /// Returns a checker for the balancers of this scenario; without registry replicas they exchange nothing.
    pub fn new(scenario: &Scenario) -> OperatorOverrideChecker {
        let count = if scenario.fleet.registry_replicas.is_some() { scenario.fleet.balancers } else { 0 };
        OperatorOverrideChecker {
            nodes: (0..count).map(addresses::balancer_name).collect(),
            known_ejections: BTreeMap::new(),
            without_storage: Vec::new(),
        }
    }

    fn forget(&mut self, node: &str) {
        for knowing in self.known_ejections.values_mut() {
            knowing.remove(node);
        }
    }

    /// Adds the balancers that must have learned of an ejection by now from one that knew it.
    fn propagate(&mut self, at: Micros, timeline: &FaultTimeline) {
        let Some(from) = at.checked_sub(PROPAGATION_TIME) else { return };
        let undisturbed: Vec<&String> =
            self.nodes.iter().filter(|node| timeline.was_undisturbed(node, from, at)).collect();
        for knowing in self.known_ejections.values_mut() {
            let has_source =
                knowing.iter().any(|(node, since)| *since <= from && undisturbed.contains(&node));
            for node in undisturbed.iter().filter(|_| has_source) {
                knowing.entry(node.to_string()).or_insert(at);
            }
        }
    }
}

impl Checker for OperatorOverrideChecker {
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, violations: &mut Violations) {
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
            // Recorded twice a second, which serves as a timer here.
            Event::HarnessLate { .. } => self.propagate(at, timeline),
            Event::AttemptReceived { node, server, first_byte, op, .. } => {
                let since = self.known_ejections.get(server).and_then(|knowing| knowing.get(node));
                if let Some(since) =
                    since.filter(|since| *first_byte > **since + EJECTION_GRACE + timeline.slack())
                    && timeline.was_undisturbed(
                        node,
                        first_byte.saturating_sub(timeline.slack()),
                        *first_byte,
                    )
                {
                    let late = (first_byte - since) / 1000;
                    let text = format!(
                        "request {op:x} went to {server} {late} ms after {node} must have known \
                         of its ejection"
                    );
                    violations.report("fleet-ban", at, text);
                }
            }
            Event::OverridesDiffer { text } => violations.report("words-differ", at, text.clone()),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
