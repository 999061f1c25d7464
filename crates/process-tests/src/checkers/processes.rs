//! Checks that processes don't crash, end when asked to, serve again after all faults, and don't call
//! discovery too often.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Violations};

/// A balancer waits at least 100 ms between two calls of discovery, and longer after a failed one.
const MAX_CALLS_PER_SECOND: usize = 15;

/// Checks the balancers' processes.
#[derive(Default)]
pub struct ProcessChecker {
    asked_to_terminate: BTreeSet<u32>,
    discovery_calls: BTreeMap<String, VecDeque<Micros>>,
}

impl Checker for ProcessChecker {
    fn on_event(&mut self, at: Micros, event: &Event, _: &FaultTimeline, violations: &mut Violations) {
        match event {
            Event::Process { node, id, did } => match did {
                ProcessChange::Terminated => drop(self.asked_to_terminate.insert(*id)),
                // A duplicate process finds the address in use, logs that and exits with 1.
                ProcessChange::Exited(1) if node.ends_with('+') => {}
                ProcessChange::Exited(code) => {
                    let was_asked = self.asked_to_terminate.remove(id);
                    if !was_asked || *code != 0 {
                        violations.report("crash", at, format!("{node} exited with code {code}"));
                    }
                }
                ProcessChange::DidNotExit => {
                    violations.report("never-ended", at, format!("{node} was asked to end and did not exit"))
                }
                ProcessChange::Started => drop(self.discovery_calls.remove(node)),
                _ => {}
            },
            Event::DiscoveryCalled { node, .. } => {
                let calls = self.discovery_calls.entry(node.clone()).or_default();
                calls.push_back(at);
                while calls.front().is_some_and(|first| first + SECOND < at) {
                    calls.pop_front();
                }
                if calls.len() > MAX_CALLS_PER_SECOND {
                    violations.report(
                        "list-loop",
                        at,
                        format!("{node} called discovery {} times within a second", calls.len()),
                    );
                }
            }
            Event::BalancerStuck { node } => {
                violations.report(
                    "no-progress",
                    at,
                    format!("{node} served no request although all faults were over"),
                );
            }
            _ => {}
        }
    }
}
