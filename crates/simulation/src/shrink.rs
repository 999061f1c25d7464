//! Shrinks a scenario that breaks a rule to a smaller one that breaks the same rule: fewer faults, requests,
//! clients, endpoints and balancers, and shorter and rounder times. Each change is run, and kept only if the
//! rule is still broken.

use crate::mutants::Mutant;
use crate::rule::Rule;
use crate::runner::run_scenario;
use crate::scenario::{Scenario, Trigger};
use crate::time::{MS, SECOND};

/// The maximum number of scenarios that one shrink runs.
const MAX_TRIES: usize = 400;

struct Shrinker {
    best: Scenario,
    rule: Rule,
    mutant: Option<Mutant>,
    tries: usize,
}

impl Shrinker {
    /// Runs the scenario with a change, and keeps the change if the rule is still broken. Returns whether it
    /// was kept.
    fn try_change(&mut self, change: impl FnOnce(&mut Scenario)) -> bool {
        let mut scenario = self.best.clone();
        change(&mut scenario);
        if scenario == self.best || self.tries >= MAX_TRIES {
            return false;
        }
        self.tries += 1;
        let violation = run_scenario(&scenario, self.mutant, false).violation;
        let is_broken = violation.is_some_and(|violation| violation.rule == self.rule);
        if is_broken {
            self.best = scenario;
        }
        is_broken
    }

    /// Tries every change once. Returns whether any was kept.
    fn run_round(&mut self) -> bool {
        let before = self.best.clone();
        self.remove_faults();
        self.shorten_load();
        self.remove_nodes();
        self.simplify_faults();
        self.best != before
    }

    /// Removes groups of faults: first halves, then quarters, and so on down to single faults.
    fn remove_faults(&mut self) {
        let mut count = self.best.faults.len().div_ceil(2);
        while count > 0 {
            let mut first = 0;
            while first < self.best.faults.len() {
                let end = (first + count).min(self.best.faults.len());
                if !self.try_change(|scenario| drop(scenario.faults.drain(first..end))) {
                    first += count;
                }
            }
            count /= 2;
        }
    }

    /// Removes requests from the end of the load, and then from its beginning.
    fn shorten_load(&mut self) {
        for part in [0.25, 0.5, 0.75, 0.9] {
            self.try_change(|scenario| {
                let (start, end) = scenario.requests;
                scenario.requests.1 = start + (f64::from(end - start) * part) as u32;
            });
        }
        for part in [0.9, 0.5, 0.25, 0.1] {
            self.try_change(|scenario| {
                let (start, end) = scenario.requests;
                scenario.requests.0 = start + (f64::from(end - start) * part) as u32;
            });
        }
    }

    fn remove_nodes(&mut self) {
        self.try_change(|scenario| scenario.balancers = 1);
        self.try_change(|scenario| scenario.clients = 1);
        self.try_change(|scenario| scenario.clients = scenario.clients.div_ceil(2));
        for servers in [2, 3, 4, 5] {
            self.try_change(|scenario| scenario.servers = scenario.servers.min(servers));
        }
        self.try_change(|scenario| scenario.socket_limit = 256);
    }

    /// Shortens and rounds the times of the faults, and replaces a later triggering event by the first.
    fn simplify_faults(&mut self) {
        for index in 0..self.best.faults.len() {
            self.try_change(|scenario| scenario.faults[index].duration /= 2);
            self.try_change(|scenario| {
                let duration = &mut scenario.faults[index].duration;
                *duration = *duration / (100 * MS) * (100 * MS);
            });
            self.try_change(|scenario| {
                if let Trigger::At(at) = &mut scenario.faults[index].trigger {
                    *at = *at / (SECOND / 2) * (SECOND / 2);
                }
            });
            self.try_change(|scenario| {
                if let Trigger::On(_, count) = &mut scenario.faults[index].trigger {
                    *count = 1;
                }
            });
        }
    }
}

/// Returns the smallest scenario found that breaks the rule, and the number of scenarios that were run.
pub fn shrink(scenario: &Scenario, rule: Rule, mutant: Option<Mutant>) -> (Scenario, usize) {
    let mut shrinker = Shrinker { best: scenario.clone(), rule, mutant, tries: 0 };
    while shrinker.run_round() && shrinker.tries < MAX_TRIES {}
    (shrinker.best, shrinker.tries)
}
