//! Checks that no more workers act under a permit at a time than it allows, and that the fencing tokens of a
//! permit for one holder never decrease. The evidence is what the workers did; each counts its time from
//! before its call. What a balancer reports about holders is not used.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::Micros;
use doorproxy_test_servers::events::Event;

use super::{Checker, FaultTimeline, Violations};
use crate::scenario::Scenario;

/// Checks the workers that act under the permit.
pub struct PermitChecker {
    slots: usize,
    /// By balancer, the time until which its worker acts.
    acting_until: BTreeMap<String, Micros>,
    /// The largest fencing token that was used so far, and the balancer whose worker used it last.
    highest_token: Option<(u64, String)>,
}

impl PermitChecker {
    /// Returns a checker for the permit of this scenario.
    pub fn new(scenario: &Scenario) -> PermitChecker {
        let slots = scenario.fleet.permits.map_or(0, usize::from);
        PermitChecker { slots, acting_until: BTreeMap::new(), highest_token: None }
    }
}

impl Checker for PermitChecker {
    fn on_event(&mut self, at: Micros, event: &Event, _: &FaultTimeline, violations: &mut Violations) {
        match event {
            Event::PermitHeld { node, token, until } => {
                self.acting_until.retain(|_, until| *until > at);
                let others: Vec<&String> = self.acting_until.keys().filter(|other| *other != node).collect();
                if others.len() >= self.slots {
                    let text = format!("{node} acts while {others:?} act; allowed at a time: {}", self.slots);
                    violations.report("too-many-act", at, text);
                }
                self.acting_until.insert(node.clone(), (*until).max(at));
                // A permit for several holders has a separate sequence of tokens for each.
                if self.slots == 1 {
                    let (last, by) = self.highest_token.clone().unwrap_or_default();
                    if *token < last || *token == last && by != *node {
                        let text = format!("{node} acts under token {token} after {by} acted under {last}");
                        violations.report("token-fell", at, text);
                    }
                    self.highest_token = Some((last.max(*token), node.clone()));
                }
            }
            Event::PermitReleased { node } => drop(self.acting_until.remove(node)),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
