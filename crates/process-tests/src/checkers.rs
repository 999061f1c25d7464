//! The rules, seen from outside: checkers that read a history and say where it breaks one. Their verdicts hold on every
//! schedule; where a time is part of a rule, the slack is many times what a machine with all cores busy adds. They must never
//! go by what a balancer says of itself.

mod attempts;
mod drain_notices;
mod fleet_limits;
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

/// What busy cores may add between a decision and what others see of it. A balancer that breaks a timed rule goes on to, and
/// is found all the same.
pub const SLACK: Micros = SECOND;

#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub rule: &'static str,
    pub at: Micros,
    pub text: String,
}

/// One way to look at a history.
pub trait Checker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings);

    /// The history is over.
    fn on_end(&mut self, _world: &FaultTimeline, _found: &mut Findings) {}
}

/// Findings, each rule only so often: a rule broken by every request tells no more than one broken by the first few.
#[derive(Default)]
pub struct Findings {
    findings: Vec<Finding>,
    counts: BTreeMap<&'static str, usize>,
}

const MAX_FINDINGS_PER_RULE: usize = 20;

impl Findings {
    pub fn report(&mut self, rule: &'static str, at: Micros, text: String) {
        let count = self.counts.entry(rule).or_insert(0);
        *count += 1;
        if *count <= MAX_FINDINGS_PER_RULE {
            self.findings.push(Finding { rule, at, text });
        }
    }
}

/// From when until when; the last may be open.
type Intervals = Vec<(Micros, Option<Micros>)>;

/// What the test cluster itself did, which excuses some of what follows: processes that died or stood still, ways that were bad.
#[derive(Default)]
pub struct FaultTimeline {
    /// When a balancer's process was killed, ended or stood still, and until when.
    process_outages: BTreeMap<String, Intervals>,
    path_faults: BTreeMap<(String, String), Intervals>,
    /// How many faults are on a way now.
    active_path_faults: BTreeMap<(String, String), usize>,
    /// How late the test cluster was at the worst.
    pub max_lateness: Micros,
}

fn open_interval(of: &mut Intervals, at: Micros) {
    if of.last().is_none_or(|(_, end)| end.is_some()) {
        of.push((at, None));
    }
}

fn close_interval(of: &mut Intervals, at: Micros) {
    if let Some((_, end)) = of.last_mut() {
        end.get_or_insert(at);
    }
}

fn overlaps(of: Option<&Intervals>, from: Micros, to: Micros) -> bool {
    of.is_some_and(|of| of.iter().any(|(begin, end)| *begin <= to && end.is_none_or(|end| end >= from)))
}

impl FaultTimeline {
    fn on_event(&mut self, at: Micros, event: &Event) {
        match event {
            Event::Process { node, did, .. } => {
                let troubles = self.process_outages.entry(node.clone()).or_default();
                match did {
                    ProcessChange::Killed | ProcessChange::Exited(_) | ProcessChange::Paused => {
                        open_interval(troubles, at)
                    }
                    ProcessChange::Started | ProcessChange::Resumed => close_interval(troubles, at),
                    ProcessChange::Ready | ProcessChange::Terminated | ProcessChange::DidNotExit => {}
                }
            }
            Event::Fault { ways, over, .. } => {
                for way in ways {
                    let of = self.path_faults.entry(way.clone()).or_default();
                    let count = self.active_path_faults.entry(way.clone()).or_default();
                    *count = if *over { count.saturating_sub(1) } else { *count + 1 };
                    // The last of those that overlap mends it.
                    if *count == 0 { close_interval(of, at) } else { open_interval(of, at) }
                }
            }
            _ => {}
        }
    }

    /// Whether this balancer's process was killed, or stood still, at any time from then to then.
    pub fn had_process_outage(&self, node: &str, from: Micros, to: Micros) -> bool {
        overlaps(self.process_outages.get(node), from, to)
    }

    /// Whether any way from or to it was bad.
    pub fn had_path_fault(&self, node: &str, from: Micros, to: Micros) -> bool {
        self.path_faults.iter().any(|((a, b), of)| (a == node || b == node) && overlaps(Some(of), from, to))
    }

    /// Neither its process nor any way from or to it was in trouble.
    pub fn was_undisturbed(&self, node: &str, from: Micros, to: Micros) -> bool {
        !self.had_process_outage(node, from, to) && !self.had_path_fault(node, from, to)
    }

    /// How many were not.
    pub fn disturbed_count<'a>(
        &self,
        names: impl Iterator<Item = &'a String>,
        from: Micros,
        to: Micros,
    ) -> usize {
        names.filter(|name| !self.was_undisturbed(name, from, to)).count()
    }

    fn had_path_fault_between(&self, a: &str, b: &str, from: Micros, to: Micros) -> bool {
        let bad =
            |a: &str, b: &str| overlaps(self.path_faults.get(&(a.to_string(), b.to_string())), from, to);
        bad(a, b) || bad(b, a)
    }

    pub fn had_client_path_fault(&self, node: &str, from: Micros, to: Micros) -> bool {
        self.had_path_fault_between(CLIENTS, node, from, to)
    }

    pub fn had_discovery_path_fault(&self, node: &str, from: Micros, to: Micros) -> bool {
        self.had_path_fault_between(DISCOVERY, node, from, to)
    }

    pub fn slack(&self) -> Micros {
        SLACK + self.max_lateness
    }
}

/// Lets every checker read a history.
pub fn check_history(script: &Scenario, history: &History) -> Vec<Finding> {
    let mut checkers: Vec<Box<dyn Checker>> = vec![
        Box::<responses::ResponseChecker>::default(),
        Box::<attempts::AttemptChecker>::default(),
        Box::<drain_notices::DrainNoticeChecker>::default(),
        Box::new(slow_start::SlowStartChecker::new(script)),
        Box::<processes::ProcessChecker>::default(),
        Box::new(staleness::StalenessChecker::new(script)),
        Box::new(member_counts::MemberCountChecker::new(script)),
        Box::new(permits::PermitChecker::new(script)),
        Box::new(fleet_limits::FleetLimitChecker::new(script)),
        Box::new(operator_overrides::OperatorOverrideChecker::new(script)),
    ];
    let (mut world, mut found) = (FaultTimeline::default(), Findings::default());
    // How late the test cluster was belongs to what came before it.
    for line in &history.lines {
        if let Event::HarnessLate { by } = line.event {
            world.max_lateness = world.max_lateness.max(by);
        }
    }
    for line in &history.lines {
        world.on_event(line.at, &line.event);
        checkers.iter_mut().for_each(|checker| checker.on_event(line.at, &line.event, &world, &mut found));
    }
    // Of a history that was cut off no end is known.
    if !history.is_truncated {
        checkers.iter_mut().for_each(|checker| checker.on_end(&world, &mut found));
    }
    found.findings.sort_by_key(|finding| finding.at);
    found.findings
}

/// The most work that a warming endpoint got in a window, as a part of what it bears then; 0 where none was cold.
pub fn peak_slow_start_ratio(script: &Scenario, history: &History) -> f64 {
    let (mut parts, mut found) = (slow_start::SlowStartChecker::new(script), Findings::default());
    let world = FaultTimeline::default();
    history.lines.iter().for_each(|line| parts.on_event(line.at, &line.event, &world, &mut found));
    parts.peak_ratio()
}

/// How near what got through came to the bound of the limit, as a part of what may be beyond the rate, at the nearest; and
/// the part of the limit that was used in these times.
pub fn limit_usage(script: &Scenario, history: &History, from: Micros, to: Micros) -> (f64, f64) {
    let (mut limited, mut found, mut world) =
        (fleet_limits::FleetLimitChecker::new(script), Findings::default(), FaultTimeline::default());
    for line in &history.lines {
        world.on_event(line.at, &line.event);
        limited.on_event(line.at, &line.event, &world, &mut found);
    }
    limited.on_end(&world, &mut found);
    (limited.nearest(), limited.usage(from, to))
}

#[cfg(test)]
mod tests;
