//! That no balancer takes its part among fewer than send beside it. How many it counts is its own word, asked for by name; who
//! runs, undisturbed, is what the test cluster knows.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Findings};
use crate::scenario::Scenario;

/// So many times the time after which one cuts its part, and a few seconds: by then whoever runs undisturbed is counted.
const SETTLE_FACTOR: f64 = 6.0;

pub struct MemberCountChecker {
    settle_time: Micros,
    started_at: BTreeMap<String, Option<Micros>>,
}

impl MemberCountChecker {
    pub fn new(script: &Scenario) -> MemberCountChecker {
        let settle_time = (script.fleet.cut_after_s * SETTLE_FACTOR * SECOND as f64) as Micros + 2 * SECOND;
        MemberCountChecker { settle_time, started_at: BTreeMap::new() }
    }
}

impl Checker for MemberCountChecker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings) {
        match event {
            Event::Process { node, did, .. } => match did {
                ProcessChange::Started => {
                    self.started_at.insert(node.clone(), Some(at));
                }
                ProcessChange::Killed | ProcessChange::Exited(_) | ProcessChange::Terminated => {
                    self.started_at.insert(node.clone(), None);
                }
                _ => {}
            },
            Event::MemberCount { node, asked, among, counted: true } => {
                let from = asked.saturating_sub(self.settle_time);
                let is_settled = |other: &str, started: &Option<Micros>| {
                    started.is_some_and(|started| started < from)
                        && !world.had_process_outage(other, from, at)
                        && !world.had_path_fault(other, from, at)
                };
                let others = self
                    .started_at
                    .iter()
                    .filter(|(name, started)| *name != node && is_settled(name, started));
                let true_number = others.count() as u32 + 1;
                if *among < true_number {
                    let text =
                        format!("{node} takes its part among {among}, and {true_number} push undisturbed");
                    found.report("undercounted", at, text);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
