//! Checks that no balancer divides the fleet's capacity by fewer balancers than send requests. The member
//! count is the balancer's own report; which balancers run undisturbed is known to the test cluster.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Violations};
use crate::scenario::Scenario;

/// By this multiple of the time after which a balancer reduces its share, plus two seconds, every balancer
/// that runs undisturbed is counted.
const SETTLE_FACTOR: f64 = 6.0;

/// Checks the member counts that balancers report.
pub struct MemberCountChecker {
    settle_time: Micros,
    started_at: BTreeMap<String, Option<Micros>>,
}

impl MemberCountChecker {
    /// Returns a checker for the settings of this scenario.
    pub fn new(scenario: &Scenario) -> MemberCountChecker {
        let settle_time = (scenario.fleet.cut_after_s * SETTLE_FACTOR * SECOND as f64) as Micros + 2 * SECOND;
        MemberCountChecker { settle_time, started_at: BTreeMap::new() }
    }
}

impl Checker for MemberCountChecker {
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, violations: &mut Violations) {
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
                        && !timeline.had_process_outage(other, from, at)
                        && !timeline.had_path_fault(other, from, at)
                };
                let others = self
                    .started_at
                    .iter()
                    .filter(|(name, started)| *name != node && is_settled(name, started));
                let running = others.count() as u32 + 1;
                if *among < running {
                    let text = format!("{node} counts {among} members, but {running} run undisturbed");
                    violations.report("undercounted", at, text);
                }
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
