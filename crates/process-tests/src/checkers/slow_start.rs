//! Rule 4: what all balancers together send to a warming endpoint, against what it bears.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};
use doorproxy_test_servers::upstream::SlowStart;

use super::{Checker, FaultTimeline, Findings};
use crate::scenario::Scenario;

struct WarmingStart {
    started_at: Micros,
    capacity: f64,
    /// When it was sent, how much, and whether its balancer had been told of this start.
    attempts: Vec<(Micros, f64, bool)>,
}

pub struct SlowStartChecker {
    slow_start: SlowStart,
    starts: BTreeMap<(String, u32), WarmingStart>,
    /// Which start of an endpoint a balancer has heard of last, and when.
    known_starts: BTreeMap<(String, String), (Micros, Micros)>,
    work_by_request: BTreeMap<u64, Micros>,
}

impl SlowStartChecker {
    pub fn new(script: &Scenario) -> SlowStartChecker {
        let slow_start = script.fleet.slow_start();
        SlowStartChecker {
            slow_start,
            starts: BTreeMap::new(),
            known_starts: BTreeMap::new(),
            work_by_request: BTreeMap::new(),
        }
    }

    /// The most work in any window as a part of what its endpoint bears.
    pub fn peak_ratio(&mut self) -> f64 {
        let cold = self.slow_start;
        let windows = self.starts.values_mut().flat_map(|start| start.windows(&cold));
        windows.map(|window| window.work / window.allowed_work).fold(0.0, f64::max)
    }
}

impl Checker for SlowStartChecker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, _: &mut Findings) {
        match event {
            Event::RequestStarted { op, work, .. } => drop(self.work_by_request.insert(*op, *work)),
            Event::UpstreamStarted { server, start, cold: true, since, capacity } => {
                let of = WarmingStart { started_at: *since, capacity: *capacity, attempts: Vec::new() };
                self.starts.insert((server.clone(), *start), of);
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
                self.known_starts.retain(|(of, _), _| of != node);
            }
            Event::AttemptReceived { op, server, start, node, first_byte, .. } => {
                let Some(of) = self.starts.get_mut(&(server.clone(), *start)) else { return };
                let told = self.known_starts.get(&(node.clone(), server.clone()));
                // The list tells whole milliseconds.
                let knew = told.is_some_and(|(started, told)| {
                    started.abs_diff(of.started_at) <= 2_000 && *first_byte > told + 50_000
                });
                let is_cold = first_byte.saturating_sub(of.started_at) < self.slow_start.warm_up_time;
                // What a paused balancer had under way, and what a way held back, comes at another time.
                let was_away = world.had_process_outage(node, of.started_at, at);
                if is_cold && let Some(work) = self.work_by_request.get(op) {
                    of.attempts.push((*first_byte, *work as f64 / SECOND as f64, knew && !was_away));
                }
            }
            _ => {}
        }
    }

    fn on_end(&mut self, world: &FaultTimeline, found: &mut Findings) {
        // Attempts decided on apart may be seen together by as much as the test cluster is late.
        let stretch = 1.0 + world.max_lateness as f64 / self.slow_start.overload_window as f64;
        let cold = self.slow_start;
        for ((server, start), of) in &mut self.starts {
            let broken = of.windows(&cold).find(|window| {
                window.work > 1.1 * window.allowed_work * stretch + 2.0 * window.largest_attempt
                    && window.informed_work >= window.work * 2.0 / 3.0
            });
            if let Some(AttemptWindow { at, work, allowed_work: lawful, .. }) = broken {
                let text =
                    format!("{server}#{start} got {work:.3} s of work in a window that bears {lawful:.3} s");
                found.report("cold", at, text);
            }
        }
    }
}

/// What came to a warming endpoint in a window that ends with an attempt.
struct AttemptWindow {
    at: Micros,
    work: f64,
    /// From balancers that had been told of its start.
    informed_work: f64,
    largest_attempt: f64,
    allowed_work: f64,
}

impl WarmingStart {
    fn windows(&mut self, cold: &SlowStart) -> impl Iterator<Item = AttemptWindow> {
        self.attempts.sort_by_key(|got| got.0);
        let (mut first, mut work, mut known) = (0, 0.0, 0.0);
        (0..self.attempts.len()).map(move |last| {
            let (at, more, knew) = self.attempts[last];
            work += more;
            known += if knew { more } else { 0.0 };
            while self.attempts[first].0 + cold.overload_window < at {
                work -= self.attempts[first].1;
                known -= if self.attempts[first].2 { self.attempts[first].1 } else { 0.0 };
                first += 1;
            }
            let most = self.attempts[first..=last].iter().map(|got| got.1).fold(0.0, f64::max);
            let lawful = cold.allowed_work(at, Some(self.started_at), self.capacity);
            AttemptWindow { at, work, informed_work: known, largest_attempt: most, allowed_work: lawful }
        })
    }
}
