//! Checkers that read a history and report where the observed behaviour violates a rule. A violation is one
//! on every schedule: where a rule has a time, the tolerance is many times the delay that a machine with all
//! cores busy adds. Except where a checker says so, none relies on what a balancer reports about itself.

mod attempts;
mod drain_notices;
mod fleet_limits;
mod list_recipients;
mod member_counts;
mod operator_overrides;
mod permits;
mod processes;
mod responses;
mod slow_start;
mod staleness;

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use crate::addresses::{CLIENTS, DISCOVERY};
use crate::history::History;
use crate::scenario::Scenario;
use list_recipients::ListRecipients;

/// The tolerated delay between a decision and its observation on a machine with busy cores. A balancer that
/// violates a timed rule keeps doing so, and is found in spite of this tolerance.
pub const SLACK: Micros = SECOND;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// When it was observed.
    pub at: Micros,
    /// A description with the ids and values.
    pub text: String,
}

/// Checks one group of rules on the events of a history.
pub trait Checker {
    /// Handles the next event; the timeline holds the faults up to it.
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, violations: &mut Violations);

    /// Handles the end of a history that is complete.
    fn on_end(&mut self, _world: &FaultTimeline, _violations: &mut Violations) {}
}

/// The violations so far. Each rule is reported a limited number of times: when every request violates it,
/// the first few show as much as all.
#[derive(Default)]
pub struct Violations {
    reported: Vec<Violation>,
    counts: BTreeMap<&'static str, usize>,
}

const MAX_FINDINGS_PER_RULE: usize = 20;

impl Violations {
    /// Adds a violation, unless its rule was reported often enough.
    pub fn report(&mut self, rule: &'static str, at: Micros, text: String) {
        let count = self.counts.entry(rule).or_insert(0);
        *count += 1;
        if *count <= MAX_FINDINGS_PER_RULE {
            self.reported.push(Violation { rule, at, text });
        }
    }
}

/// Start and end of each interval; the last one may have no end yet.
type Intervals = Vec<(Micros, Option<Micros>)>;

/// The faults that the test cluster injected: killed and paused processes and faulty network paths. Checkers
/// excuse what follows from them.
#[derive(Default)]
pub struct FaultTimeline {
    /// The intervals in which a balancer's process was dead or paused.
    process_outages: BTreeMap<String, Intervals>,
    path_faults: BTreeMap<(String, String), Intervals>,
    /// The number of faults that a network path has now.
    active_path_faults: BTreeMap<(String, String), usize>,
    /// The largest delay of the test cluster itself.
    pub max_lateness: Micros,
}

fn open_interval(intervals: &mut Intervals, at: Micros) {
    if intervals.last().is_none_or(|(_, end)| end.is_some()) {
        intervals.push((at, None));
    }
}

fn close_interval(intervals: &mut Intervals, at: Micros) {
    if let Some((_, end)) = intervals.last_mut() {
        end.get_or_insert(at);
    }
}

fn overlaps(intervals: Option<&Intervals>, from: Micros, to: Micros) -> bool {
    let is_within =
        |(begin, end): &(Micros, Option<Micros>)| *begin <= to && end.is_none_or(|end| end >= from);
    intervals.is_some_and(|intervals| intervals.iter().any(is_within))
}

impl FaultTimeline {
    fn on_event(&mut self, at: Micros, event: &Event) {
        match event {
            Event::Process { node, did, .. } => {
                let outages = self.process_outages.entry(node.clone()).or_default();
                match did {
                    ProcessChange::Killed | ProcessChange::Exited(_) | ProcessChange::Paused => {
                        open_interval(outages, at)
                    }
                    ProcessChange::Started | ProcessChange::Resumed => close_interval(outages, at),
                    ProcessChange::Ready | ProcessChange::Terminated | ProcessChange::DidNotExit => {}
                }
            }
            Event::Fault { ways, over, .. } => {
                for path in ways {
                    let intervals = self.path_faults.entry(path.clone()).or_default();
                    let count = self.active_path_faults.entry(path.clone()).or_default();
                    *count = if *over { count.saturating_sub(1) } else { *count + 1 };
                    // A path is healed when the last of its overlapping faults ends.
                    if *count == 0 { close_interval(intervals, at) } else { open_interval(intervals, at) }
                }
            }
            _ => {}
        }
    }

    /// Returns true if this balancer's process was dead or paused at any time between `from` and `to`.
    pub fn had_process_outage(&self, node: &str, from: Micros, to: Micros) -> bool {
        overlaps(self.process_outages.get(node), from, to)
    }

    /// Returns true if any path from or to this balancer was faulty in this time.
    pub fn had_path_fault(&self, node: &str, from: Micros, to: Micros) -> bool {
        self.path_faults
            .iter()
            .any(|((a, b), intervals)| (a == node || b == node) && overlaps(Some(intervals), from, to))
    }

    /// Returns true if neither this balancer's process nor any path from or to it had a fault in this time.
    pub fn was_undisturbed(&self, node: &str, from: Micros, to: Micros) -> bool {
        !self.had_process_outage(node, from, to) && !self.had_path_fault(node, from, to)
    }

    /// Returns how many of these balancers had a fault in this time.
    pub fn disturbed_count<'a>(
        &self,
        names: impl Iterator<Item = &'a String>,
        from: Micros,
        to: Micros,
    ) -> usize {
        names.filter(|name| !self.was_undisturbed(name, from, to)).count()
    }

    fn had_path_fault_between(&self, a: &str, b: &str, from: Micros, to: Micros) -> bool {
        let is_faulty =
            |a: &str, b: &str| overlaps(self.path_faults.get(&(a.to_string(), b.to_string())), from, to);
        is_faulty(a, b) || is_faulty(b, a)
    }

    /// Returns true if the path between the clients and this balancer was faulty in this time.
    pub fn had_client_path_fault(&self, node: &str, from: Micros, to: Micros) -> bool {
        self.had_path_fault_between(CLIENTS, node, from, to)
    }

    /// Returns true if the path between discovery and this balancer was faulty in this time.
    pub fn had_discovery_path_fault(&self, node: &str, from: Micros, to: Micros) -> bool {
        self.had_path_fault_between(DISCOVERY, node, from, to)
    }

    /// Returns the tolerance for timed rules in this run.
    pub fn slack(&self) -> Micros {
        SLACK + self.max_lateness
    }
}

/// Runs all checkers on the history of a scenario; returns the violations in order of their times.
pub fn check_history(scenario: &Scenario, history: &History) -> Vec<Violation> {
    let mut checkers: Vec<Box<dyn Checker>> = vec![
        Box::<responses::ResponseChecker>::default(),
        Box::<attempts::AttemptChecker>::default(),
        Box::<drain_notices::DrainNoticeChecker>::default(),
        Box::new(slow_start::SlowStartChecker::new(scenario)),
        Box::<processes::ProcessChecker>::default(),
        Box::new(staleness::StalenessChecker::new(scenario)),
        Box::new(member_counts::MemberCountChecker::new(scenario)),
        Box::new(permits::PermitChecker::new(scenario)),
        Box::new(fleet_limits::FleetLimitChecker::new(scenario)),
        Box::new(operator_overrides::OperatorOverrideChecker::new(scenario)),
    ];
    let (mut timeline, mut violations) = (FaultTimeline::default(), Violations::default());
    // A delay is recorded after it occurred, so the largest is needed before the first event is checked.
    for line in &history.lines {
        if let Event::HarnessLate { by } = line.event {
            timeline.max_lateness = timeline.max_lateness.max(by);
        }
    }
    let mut recipients = ListRecipients::default();
    for line in &history.lines {
        timeline.on_event(line.at, &line.event);
        if recipients.is_for_ended_process(line.at, &line.event) {
            continue;
        }
        checkers
            .iter_mut()
            .for_each(|checker| checker.on_event(line.at, &line.event, &timeline, &mut violations));
    }
    // Some rules can only be checked at the end of the run, which a truncated history lacks.
    if !history.is_truncated {
        checkers.iter_mut().for_each(|checker| checker.on_end(&timeline, &mut violations));
    }
    violations.reported.sort_by_key(|violation| violation.at);
    violations.reported
}

/// Returns the largest ratio, over all windows, of the work that a warming endpoint received to the work that
/// it was allowed; 0 if no endpoint started cold.
pub fn peak_slow_start_ratio(scenario: &Scenario, history: &History) -> f64 {
    let (mut checker, mut violations) = (slow_start::SlowStartChecker::new(scenario), Violations::default());
    let timeline = FaultTimeline::default();
    history.lines.iter().for_each(|line| checker.on_event(line.at, &line.event, &timeline, &mut violations));
    checker.peak_ratio()
}

/// Returns how much of the allowed overshoot over the fleet's limit was used at most, and how much of the
/// limit was used from `from` to `to`, both as ratios.
pub fn limit_usage(scenario: &Scenario, history: &History, from: Micros, to: Micros) -> (f64, f64) {
    let (mut checker, mut violations, mut timeline) =
        (fleet_limits::FleetLimitChecker::new(scenario), Violations::default(), FaultTimeline::default());
    for line in &history.lines {
        timeline.on_event(line.at, &line.event);
        checker.on_event(line.at, &line.event, &timeline, &mut violations);
    }
    checker.on_end(&timeline, &mut violations);
    (checker.peak_overshoot_ratio(), checker.usage(from, to))
}

#[cfg(test)]
mod tests;
