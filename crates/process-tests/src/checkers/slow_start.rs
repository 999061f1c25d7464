//! Checks that all balancers together don't send a warming endpoint more work than it can take.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};
use doorproxy_test_servers::upstream::SlowStart;

use super::{Checker, FaultTimeline, Violations};
use crate::scenario::Scenario;

struct WarmingStart {
    started_at: Micros,
    capacity: f64,
    /// For each attempt: when its first byte was sent, its work in seconds, and whether its balancer knew of
    /// this start.
    attempts: Vec<(Micros, f64, bool)>,
}

/// Checks the work that warming endpoints receive.
pub struct SlowStartChecker {
    slow_start: SlowStart,
    starts: BTreeMap<(String, u32), WarmingStart>,
    /// By balancer and endpoint: the start time in the last list that the balancer received, and when it
    /// received it first.
    known_starts: BTreeMap<(String, String), (Micros, Micros)>,
    work_by_request: BTreeMap<u64, Micros>,
}

impl SlowStartChecker {
    /// Returns a checker for the slow-start settings of this scenario.
    pub fn new(scenario: &Scenario) -> SlowStartChecker {
        let slow_start = scenario.fleet.slow_start();
        SlowStartChecker {
            slow_start,
            starts: BTreeMap::new(),
            known_starts: BTreeMap::new(),
            work_by_request: BTreeMap::new(),
        }
    }

    /// Returns the largest ratio, over all windows, of the received work to the allowed work.
    pub fn peak_ratio(&mut self) -> f64 {
        let slow_start = self.slow_start;
        let windows = self.starts.values_mut().flat_map(|start| start.windows(&slow_start));
        windows.map(|window| window.work / window.allowed_work).fold(0.0, f64::max)
    }
}

impl Checker for SlowStartChecker {
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, _: &mut Violations) {
        match event {
            Event::RequestStarted { op, work, .. } => drop(self.work_by_request.insert(*op, *work)),
            Event::UpstreamStarted { server, start, cold: true, since, capacity } => {
                let warming = WarmingStart { started_at: *since, capacity: *capacity, attempts: Vec::new() };
                self.starts.insert((server.clone(), *start), warming);
            }
            Event::ListSent { node, rows, .. } => {
                for row in rows {
                    let known = self
                        .known_starts
                        .entry((node.clone(), row.server.clone()))
                        .or_insert((row.started, at));
                    if known.0.abs_diff(row.started) > 2_000 {
                        *known = (row.started, at);
                    }
                }
            }
            Event::Process { node, did: ProcessChange::Killed | ProcessChange::Exited(_), .. } => {
                self.known_starts.retain(|(balancer, _), _| balancer != node);
            }
            Event::AttemptReceived { op, server, start, node, first_byte, .. } => {
                let Some(warming) = self.starts.get_mut(&(server.clone(), *start)) else { return };
                let known_start = self.known_starts.get(&(node.clone(), server.clone()));
                // The list states start times in whole milliseconds.
                let knew = known_start.is_some_and(|(started, received_at)| {
                    started.abs_diff(warming.started_at) <= 2_000 && *first_byte > received_at + 50_000
                });
                let is_cold = first_byte.saturating_sub(warming.started_at) < self.slow_start.warm_up_time;
                // Attempts that a paused balancer had begun, or that a path held back, arrive later than they
                // were decided on.
                let had_outage = timeline.had_process_outage(node, warming.started_at, at);
                if is_cold && let Some(work) = self.work_by_request.get(op) {
                    warming.attempts.push((*first_byte, *work as f64 / SECOND as f64, knew && !had_outage));
                }
            }
            _ => {}
        }
    }

    fn on_end(&mut self, timeline: &FaultTimeline, violations: &mut Violations) {
        // A delayed test cluster may record attempts closer together than they were decided on.
        let stretch = 1.0 + timeline.max_lateness as f64 / self.slow_start.overload_window as f64;
        let slow_start = self.slow_start;
        for ((server, start), warming) in &mut self.starts {
            let overload = warming.windows(&slow_start).find(|window| {
                window.work > 1.1 * window.allowed_work * stretch + 2.0 * window.largest_attempt
                    && window.informed_work >= window.work * 2.0 / 3.0
            });
            if let Some(AttemptWindow { at, work, allowed_work, .. }) = overload {
                let text = format!(
                    "{server}#{start} received {work:.3} s of work in a window that allows \
                     {allowed_work:.3} s"
                );
                violations.report("cold", at, text);
            }
        }
    }
}

/// The attempts that a warming endpoint received in a window that ends with one of them.
struct AttemptWindow {
    at: Micros,
    work: f64,
    /// The part of the work from balancers that knew of this start.
    informed_work: f64,
    largest_attempt: f64,
    allowed_work: f64,
}

impl WarmingStart {
    fn windows(&mut self, slow_start: &SlowStart) -> impl Iterator<Item = AttemptWindow> {
        self.attempts.sort_by_key(|attempt| attempt.0);
        let (mut first, mut work, mut informed_work) = (0, 0.0, 0.0);
        (0..self.attempts.len()).map(move |last| {
            let (at, added_work, knew) = self.attempts[last];
            work += added_work;
            informed_work += if knew { added_work } else { 0.0 };
            while self.attempts[first].0 + slow_start.overload_window < at {
                work -= self.attempts[first].1;
                informed_work -= if self.attempts[first].2 { self.attempts[first].1 } else { 0.0 };
                first += 1;
            }
            let largest_attempt =
                self.attempts[first..=last].iter().map(|attempt| attempt.1).fold(0.0, f64::max);
            let allowed_work = slow_start.allowed_work(at, Some(self.started_at), self.capacity);
            AttemptWindow { at, work, informed_work, largest_attempt, allowed_work }
        })
    }
}
