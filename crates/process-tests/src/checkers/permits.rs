//! That no more than so many act under a permit at a time, and that with one place tokens never fall: from the account of those
//! who act, each of whom counts from before it asked, and never from a balancer's word of who holds what.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::Micros;
use doorproxy_test_servers::events::Event;

use super::{Checker, FaultTimeline, Findings};
use crate::scenario::Scenario;

pub struct PermitChecker {
    slots: usize,
    /// Until when each acts.
    acting_until: BTreeMap<String, Micros>,
    /// The largest token under which somebody has acted, and who.
    highest_token: Option<(u64, String)>,
}

impl PermitChecker {
    pub fn new(script: &Scenario) -> PermitChecker {
        let slots = script.fleet.permits.map_or(0, usize::from);
        PermitChecker { slots, acting_until: BTreeMap::new(), highest_token: None }
    }
}

impl Checker for PermitChecker {
    fn on_event(&mut self, at: Micros, event: &Event, _: &FaultTimeline, found: &mut Findings) {
        match event {
            Event::PermitHeld { node, token, until } => {
                self.acting_until.retain(|_, until| *until > at);
                let others: Vec<&String> = self.acting_until.keys().filter(|other| *other != node).collect();
                if others.len() >= self.slots {
                    let text = format!("{node} acts beside {others:?}, and {} may", self.slots);
                    found.report("too-many-act", at, text);
                }
                self.acting_until.insert(node.clone(), (*until).max(at));
                // With several places each has tokens of its own.
                if self.slots == 1 {
                    let (last, by) = self.highest_token.clone().unwrap_or_default();
                    if *token < last || *token == last && by != *node {
                        let text = format!("{node} acts under token {token}, after {by} did under {last}");
                        found.report("token-fell", at, text);
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
