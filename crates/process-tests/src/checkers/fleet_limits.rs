//! That no more requests get through in any window than the limit of the whole fleet allows, and the bound for the cut that the
//! script made: from what clients sent and endpoints received. A request got through at some time between its client's asking and
//! its first attempt's coming, so what lies whole in a window got through in it, whatever held anything back.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Findings};
use crate::addresses;
use crate::scenario::Scenario;

pub struct FleetLimitChecker {
    /// Requests a second, and requests beyond that, by how many balancers are out of touch.
    bounds: Vec<(f64, f64)>,
    limit_per_second: f64,
    registry_replicas: BTreeSet<String>,
    nodes: Vec<String>,
    /// So long before a window a fault still counts: until a dealer that died is followed, and all are in touch again.
    fault_lookback: Micros,
    asked_at: BTreeMap<u64, Micros>,
    /// When each request was asked for, and when its first attempt came.
    admitted: Vec<(Micros, Micros)>,
    nearest: f64,
    /// When the first process began: nobody is in touch for a while.
    first_start: Option<Micros>,
}

/// A test cluster that was later than this may have kept balancers from their dealer without any fault.
const STARVED_LATENESS: Micros = SECOND / 10;
/// A window that is longer shows no more: what is beyond the rate is there once.
const MAX_WINDOW: Micros = 20 * SECOND;

impl FleetLimitChecker {
    pub fn new(script: &Scenario) -> FleetLimitChecker {
        let fleet = &script.fleet;
        let nodes: Vec<String> = (0..fleet.balancers).map(addresses::balancer_name).collect();
        let bounds = (0..=nodes.len()).filter_map(|out| fleet.admission_bound(out)).collect();
        let registry_replicas = nodes.iter().take(fleet.keepers.unwrap_or(0)).cloned().collect();
        let before = (fleet.lease_s * 3.0 + fleet.touch_s * 2.0 + 1.0) * SECOND as f64;
        FleetLimitChecker {
            bounds,
            limit_per_second: fleet.limit.unwrap_or(0.0),
            registry_replicas,
            nodes,
            fault_lookback: before as Micros,
            asked_at: BTreeMap::new(),
            admitted: Vec::new(),
            nearest: 0.0,
            first_start: None,
        }
    }

    /// How many may be out of touch in this window: all, where one that may deal was in trouble.
    fn disconnected_balancers(&self, world: &FaultTimeline, from: Micros, to: Micros) -> usize {
        let from = from.saturating_sub(self.fault_lookback);
        if world.max_lateness > STARVED_LATENESS || self.first_start.is_none_or(|begun| from < begun) {
            return self.nodes.len();
        }
        match world.disturbed_count(self.registry_replicas.iter(), from, to) {
            0 => world.disturbed_count(self.nodes.iter(), from, to),
            _ => self.nodes.len(),
        }
    }

    pub fn nearest(&self) -> f64 {
        self.nearest
    }

    /// What got through in this time, as a part of what the rate allows in it.
    pub fn usage(&self, from: Micros, to: Micros) -> f64 {
        let count = self.admitted.iter().filter(|(asked, _)| (from..to).contains(asked)).count();
        count as f64 / ((to - from) as f64 / SECOND as f64 * self.limit_per_second)
    }
}

impl Checker for FleetLimitChecker {
    fn on_event(&mut self, at: Micros, event: &Event, _: &FaultTimeline, _: &mut Findings) {
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

    fn on_end(&mut self, world: &FaultTimeline, found: &mut Findings) {
        if self.bounds.is_empty() {
            return;
        }
        let mut through = self.admitted.clone();
        through.sort_by_key(|(_, came)| *came);
        let mut begins: Vec<Micros> = through.iter().map(|(asked, _)| *asked).collect();
        begins.sort_unstable();
        // Whether anybody is out of touch changes only where a window begins or ends at another time of trouble; by steps of a
        // tenth of a second, and always for more than there were.
        let step = SECOND / 10;
        let mut known: BTreeMap<(Micros, Micros), usize> = BTreeMap::new();
        for &from in &begins {
            let mut count = 0.0;
            for &(asked, came) in through.iter().filter(|(_, came)| (from..from + MAX_WINDOW).contains(came))
            {
                if asked < from {
                    continue;
                }
                count += 1.0;
                let key = (from / step, came / step + 1);
                let out = *known
                    .entry(key)
                    .or_insert_with(|| self.disconnected_balancers(world, key.0 * step, key.1 * step));
                let (rate, over) = self.bounds[out];
                let ahead = count - rate * (came - from) as f64 / SECOND as f64;
                self.nearest = self.nearest.max(ahead / over);
                if ahead > over {
                    let text = format!(
                        "{count} ops got through in {:.3} s from {from} on: {ahead:.1} beyond the rate, where {over:.1} may be, with {out} out of touch",
                        (came - from) as f64 / SECOND as f64
                    );
                    found.report("over-limit", came, text);
                    break;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
