//! Checks that a balancer that can reach discovery follows the endpoint list within the time that its
//! settings allow, whatever it knew when it started.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Violations};
use crate::scenario::Scenario;

/// Checks attempts against the endpoint list at that time.
pub struct StalenessChecker {
    /// The time within which a balancer must follow a change, from its settings.
    max_staleness: Micros,
    /// By endpoint, when its listed state changed from active to another one.
    draining_since: BTreeMap<String, Micros>,
    /// By balancer, when its process was started or resumed last.
    running_since: BTreeMap<String, Micros>,
}

impl StalenessChecker {
    /// Returns a checker for the settings of this scenario.
    pub fn new(scenario: &Scenario) -> StalenessChecker {
        let max_staleness = (scenario.fleet.max_staleness_s * SECOND as f64) as Micros;
        StalenessChecker { max_staleness, draining_since: BTreeMap::new(), running_since: BTreeMap::new() }
    }
}

impl Checker for StalenessChecker {
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, violations: &mut Violations) {
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
                let (Some(draining), Some(running)) =
                    (self.draining_since.get(server), self.running_since.get(node))
                else {
                    return;
                };
                // A process that has just started has the same time to call discovery as one that runs.
                let since = (*draining).max(*running);
                let latest = since + self.max_staleness + timeline.slack();
                if *first_byte > latest && !timeline.had_discovery_path_fault(node, since, *first_byte) {
                    let late = (first_byte - since) / 1000;
                    let text = format!(
                        "request {op:x} went to {server}, which the list does not call active, {late} ms \
                         after {node} could call discovery"
                    );
                    violations.report("stale", at, text);
                }
            }
            _ => {}
        }
    }
}
