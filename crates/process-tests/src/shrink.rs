//! Shrinks a scenario that violates a rule while it still violates the same one: fewer faults, a shorter
//! load, fewer processes. Runs of real processes differ, so each change is tried more than once. A change is
//! kept only if a run with it violated the rule.

use crate::scenario::Scenario;

/// The number of runs after which shrinking stops.
const MAX_RUNS: usize = 60;
/// The number of runs without the violation after which a change is dropped.
const RUNS_PER_CHANGE: usize = 2;

/// Shrinks one scenario.
pub struct Shrinker<'a> {
    best: Scenario,
    /// Runs a scenario once and returns true if it violates the rule.
    violates_rule: Box<dyn FnMut(&Scenario) -> bool + 'a>,
    /// The number of runs so far.
    pub run_count: usize,
}

impl<'a> Shrinker<'a> {
    /// Returns a shrinker; `violates_rule` runs a scenario once and returns true if it violates the rule.
    pub fn new(scenario: &Scenario, violates_rule: impl FnMut(&Scenario) -> bool + 'a) -> Shrinker<'a> {
        Shrinker { best: scenario.clone(), violates_rule: Box::new(violates_rule), run_count: 0 }
    }

    fn try_change(&mut self, change: impl FnOnce(&mut Scenario)) -> bool {
        let mut scenario = self.best.clone();
        change(&mut scenario);
        // A change may remove a process that a fault names, which makes the scenario invalid.
        if scenario == self.best || Scenario::parse(&scenario.to_toml()).is_err() {
            return false;
        }
        for _ in 0..RUNS_PER_CHANGE {
            if self.run_count >= MAX_RUNS {
                return false;
            }
            self.run_count += 1;
            if (self.violates_rule)(&scenario) {
                self.best = scenario;
                return true;
            }
        }
        false
    }

    fn run_round(&mut self) -> bool {
        let before = self.best.clone();
        let mut index = 0;
        while index < self.best.faults.len() {
            if !self.try_change(|scenario| drop(scenario.faults.remove(index))) {
                index += 1;
            }
        }
        // Permits, fault reports and limits need registry replicas, and these need balancers, hence this
        // order.
        self.try_change(|scenario| scenario.fleet.permits = None);
        self.try_change(|scenario| scenario.fleet.fault_reports = false);
        self.try_change(|scenario| (scenario.fleet.limit, scenario.fleet.fallback_rate) = (None, None));
        self.try_change(|scenario| scenario.fleet.registry_replicas = None);
        self.try_change(|scenario| scenario.seconds = (scenario.seconds / 2.0).max(1.0));
        self.try_change(|scenario| scenario.fleet.balancers = (scenario.fleet.balancers / 2).max(1));
        self.try_change(|scenario| scenario.fleet.balancers -= usize::from(scenario.fleet.balancers > 1));
        self.try_change(|scenario| scenario.fleet.upstreams = (scenario.fleet.upstreams / 2).max(1));
        self.try_change(|scenario| scenario.fleet.upstreams -= usize::from(scenario.fleet.upstreams > 1));
        self.try_change(|scenario| scenario.load.rate = (scenario.load.rate / 2.0).round().max(1.0));
        for index in 0..self.best.faults.len() {
            self.try_change(|scenario| {
                scenario.faults[index].duration_s = (scenario.faults[index].duration_s * 5.0).floor() / 10.0
            });
        }
        self.best != before
    }

    /// Shrinks the scenario and returns the smallest one that was found.
    pub fn shrink(&mut self) -> Scenario {
        while self.run_round() && self.run_count < MAX_RUNS {}
        self.best.clone()
    }
}

#[cfg(test)]
mod tests;
