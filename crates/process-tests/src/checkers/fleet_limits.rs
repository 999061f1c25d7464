//! Checks that no window has more admitted requests than the fleet's limit allows, including the overshoot
//! bound for the balancers that the scenario's faults disconnect. A request was admitted at some time between
//! its start at the client and the arrival of its first attempt. A request counts into a window only if both
//! lie in it, so delays on the network paths can't cause a false violation.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Violations};
use crate::addresses;
use crate::scenario::Scenario;

/// Checks the admitted requests against the fleet's limit.
pub struct FleetLimitChecker {
    /// By the number of disconnected balancers: the allowed requests per second, and the allowed overshoot in
    /// requests.
    bounds: Vec<(f64, f64)>,
    limit_per_second: f64,
    registry_replicas: BTreeSet<String>,
    nodes: Vec<String>,
    /// The time after a fault in which balancers may still be disconnected: until a quota allocator that died
    /// is replaced and all balancers have reached its successor.
    fault_lookback: Micros,
    asked_at: BTreeMap<u64, Micros>,
    /// For each admitted request: when its client started it, and when its first attempt arrived.
    admitted: Vec<(Micros, Micros)>,
    peak_overshoot_ratio: f64,
    /// When the first process started; for a while after that no balancer has reached a quota allocator.
    first_start: Option<Micros>,
}

/// When the test cluster was delayed by more than this, balancers may have lost contact to their quota
/// allocator without any injected fault.
const STARVED_LATENESS: Micros = SECOND / 10;
/// The longest window that is checked. The overshoot is allowed once per window, so longer ones would show no
/// more.
const MAX_WINDOW: Micros = 20 * SECOND;

impl FleetLimitChecker {
    /// Returns a checker; it reports nothing if the fleet has no limit.
    pub fn new(scenario: &Scenario) -> FleetLimitChecker {
        let fleet = &scenario.fleet;
        let nodes: Vec<String> = (0..fleet.balancers).map(addresses::balancer_name).collect();
        let bounds = (0..=nodes.len()).filter_map(|out| fleet.admission_bound(out)).collect();
        let registry_replicas = nodes.iter().take(fleet.registry_replicas.unwrap_or(0)).cloned().collect();
        let lookback = (fleet.lease_s * 3.0 + fleet.contact_timeout_s * 2.0 + 1.0) * SECOND as f64;
        FleetLimitChecker {
            bounds,
            limit_per_second: fleet.limit.unwrap_or(0.0),
            registry_replicas,
            nodes,
            fault_lookback: lookback as Micros,
            asked_at: BTreeMap::new(),
            admitted: Vec::new(),
            peak_overshoot_ratio: 0.0,
            first_start: None,
        }
    }

    /// Returns how many balancers may be disconnected in this window: all of them if a registry replica,
    /// which may be a quota allocator, had a fault.
    fn disconnected_balancers(&self, timeline: &FaultTimeline, from: Micros, to: Micros) -> usize {
        let from = from.saturating_sub(self.fault_lookback);
        if timeline.max_lateness > STARVED_LATENESS || self.first_start.is_none_or(|start| from < start) {
            return self.nodes.len();
        }
        match timeline.disturbed_count(self.registry_replicas.iter(), from, to) {
            0 => timeline.disturbed_count(self.nodes.iter(), from, to),
            _ => self.nodes.len(),
        }
    }

    /// Returns the largest overshoot of any window as a ratio of the allowed overshoot.
    pub fn peak_overshoot_ratio(&self) -> f64 {
        self.peak_overshoot_ratio
    }

    /// Returns the admitted requests in this time as a ratio of those that the limit's rate allows.
    pub fn usage(&self, from: Micros, to: Micros) -> f64 {
        let count = self.admitted.iter().filter(|(asked, _)| (from..to).contains(asked)).count();
        count as f64 / ((to - from) as f64 / SECOND as f64 * self.limit_per_second)
    }
}

impl Checker for FleetLimitChecker {
    fn on_event(&mut self, at: Micros, event: &Event, _: &FaultTimeline, _: &mut Violations) {
        match event {
            _ if self.bounds.is_empty() => {}
            Event::RequestStarted { op, .. } => drop(self.asked_at.insert(*op, at)),
            Event::Process { did: ProcessChange::Started, .. } => drop(self.first_start.get_or_insert(at)),
            Event::AttemptReceived { op, first_byte, .. } => {
                if let Some(asked) = self.asked_at.remove(op) {
                    self.admitted.push((asked, *first_byte));
                }
            }
            _ => {}
        }
    }

    fn on_end(&mut self, timeline: &FaultTimeline, violations: &mut Violations) {
        if self.bounds.is_empty() {
            return;
        }
        let mut admitted = self.admitted.clone();
        admitted.sort_by_key(|(_, arrived)| *arrived);
        let mut window_starts: Vec<Micros> = admitted.iter().map(|(asked, _)| *asked).collect();
        window_starts.sort_unstable();
        // The number of disconnected balancers is computed for windows widened to tenths of a second and then
        // reused. A wider window can only excuse more balancers.
        let step = SECOND / 10;
        let mut disconnected_by_window: BTreeMap<(Micros, Micros), usize> = BTreeMap::new();
        for &from in &window_starts {
            let mut count = 0.0;
            let window = from..from + MAX_WINDOW;
            for &(asked, arrived) in admitted.iter().filter(|(_, arrived)| window.contains(arrived)) {
                if asked < from {
                    continue;
                }
                count += 1.0;
                let key = (from / step, arrived / step + 1);
                let disconnected = *disconnected_by_window
                    .entry(key)
                    .or_insert_with(|| self.disconnected_balancers(timeline, key.0 * step, key.1 * step));
                let (rate, allowed_overshoot) = self.bounds[disconnected];
                let seconds = (arrived - from) as f64 / SECOND as f64;
                let overshoot = count - rate * (arrived - from) as f64 / SECOND as f64;
                self.peak_overshoot_ratio = self.peak_overshoot_ratio.max(overshoot / allowed_overshoot);
                if overshoot > allowed_overshoot {
                    let text = format!(
                        "{count} requests were admitted in {seconds:.3} s from {from} us on: \
                         {overshoot:.1} over the rate, {allowed_overshoot:.1} allowed with {disconnected} \
                         balancers disconnected"
                    );
                    violations.report("over-limit", arrived, text);
                    break;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
