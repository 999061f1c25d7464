//! The schedule of a run: the times at which each fault begins and ends.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::Micros;
use doorproxy_test_servers::events::Event;

use super::{Cluster, micros_from_secs};
use crate::scenario::{Fault, FaultKind, FaultTarget};

/// A step of the schedule; the number is the position of the fault in the scenario.
#[derive(Clone, Debug)]
pub(super) enum FaultStep {
    /// The fault begins.
    Begin(usize),
    /// The fault ends.
    End(usize),
    /// A balancer that the fault killed or terminated is restarted.
    Restart(usize, String),
}

impl Cluster {
    /// Returns the steps of all faults in the order of their times, for a load that begins at this time.
    pub(super) fn schedule_faults(&self, begin: Micros) -> BTreeMap<(Micros, usize), FaultStep> {
        let mut steps = Vec::new();
        for (index, fault) in self.scenario.faults.iter().enumerate() {
            let at = begin + micros_from_secs(fault.at);
            steps.push((at, FaultStep::Begin(index)));
            let end = at + micros_from_secs(fault.duration_s);
            if matches!(fault.kind, FaultKind::Kill | FaultKind::Terminate) {
                let nodes = self.scenario.matching_nodes(&fault.targets).unwrap_or_default();
                let spacing = micros_from_secs(fault.restart_spread_s) / nodes.len().max(1) as u64;
                // Without a duration the balancer stays down.
                let returning = nodes.into_iter().filter(|_| fault.duration_s > 0.0).enumerate();
                steps
                    .extend(returning.map(|(order, name)| {
                        (end + spacing * order as u64, FaultStep::Restart(index, name))
                    }));
            } else if fault.duration_s > 0.0 {
                steps.push((end, FaultStep::End(index)));
            }
        }
        steps.into_iter().enumerate().map(|(number, (at, step))| ((at, number), step)).collect()
    }

    /// Records that a fault begins or is over, with the network paths that it affects.
    pub(super) fn record_fault(&self, fault: &Fault, is_over: bool) {
        let paths = match fault.kind.target() {
            FaultTarget::Paths => self.scenario.matching_paths(&fault.paths).unwrap_or_default(),
            FaultTarget::Discovery => self.scenario.matching_paths("n*->list").unwrap_or_default(),
            _ => Vec::new(),
        };
        self.record(Event::Fault { text: fault.to_string(), ways: paths, over: is_over });
    }

    /// Performs a step and records it.
    pub(super) async fn perform_step(&mut self, step: FaultStep) -> Result<(), String> {
        match step {
            FaultStep::Begin(index) => {
                let fault = self.scenario.faults[index].clone();
                self.record_fault(&fault, false);
                self.begin_fault(index, &fault).await
            }
            FaultStep::End(index) => {
                let fault = self.scenario.faults[index].clone();
                let result = self.end_fault(index, &fault).await;
                self.record_fault(&fault, true);
                result
            }
            FaultStep::Restart(index, name) => {
                let fault = self.scenario.faults[index].clone();
                self.restart_balancer(&name, &fault)
            }
        }
    }
}
