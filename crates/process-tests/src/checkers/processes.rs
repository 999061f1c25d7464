//! That processes run, end when asked to, serve again when all is well, and call the list no more than their settings let
//! them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Findings};

/// A balancer leaves 100 ms between calls; a list that fails is asked again after more.
const MAX_CALLS_PER_SECOND: usize = 15;

#[derive(Default)]
pub struct ProcessChecker {
    asked_to_terminate: BTreeSet<u32>,
    discovery_calls: BTreeMap<String, VecDeque<Micros>>,
}

impl Checker for ProcessChecker {
    fn on_event(&mut self, at: Micros, event: &Event, _: &FaultTimeline, found: &mut Findings) {
        match event {
            Event::Process { node, id, did } => match did {
                ProcessChange::Terminated => drop(self.asked_to_terminate.insert(*id)),
                // Two of one name at once: the second finds the address taken, says so, and ends.
                ProcessChange::Exited(1) if node.ends_with('+') => {}
                ProcessChange::Exited(code) => {
                    let was_asked = self.asked_to_terminate.remove(id);
                    if !was_asked || *code != 0 {
                        found.report("crash", at, format!("{node} ended with {code}"));
                    }
                }
                ProcessChange::DidNotExit => {
                    found.report("never-ended", at, format!("{node} was asked to end and did not"))
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
                    found.report(
                        "list-loop",
                        at,
                        format!("{node} called the list {} times in a second", calls.len()),
                    );
                }
            }
            Event::BalancerStuck { node } => {
                found.report("no-progress", at, format!("{node} served nothing though all faults were over"));
            }
            _ => {}
        }
    }
}
