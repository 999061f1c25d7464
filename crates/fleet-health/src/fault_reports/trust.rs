//! The trust of a balancer in each reporter, by how often the reporter's reports were right.

use std::collections::BTreeMap;

use doorproxy_membership::message::NodeId;

use super::MAX_BALANCERS;

/// Sets the trust in a reporter whose reports were never checked, between 0 and 1.
const INITIAL_TRUST: f64 = 0.5;

/// Holds the trust in each reporter.
#[derive(Default)]
pub(super) struct ReporterTrust {
    trust: BTreeMap<NodeId, f64>,
}

impl ReporterTrust {
    pub(super) fn of(&self, reporter: NodeId) -> f64 {
        self.trust.get(&reporter).copied().unwrap_or(INITIAL_TRUST)
    }

    /// Moves the trust half of the way to 1 if the reporter was right, otherwise half of the way to 0.
    pub(super) fn record(&mut self, reporter: NodeId, was_right: bool) {
        if self.trust.len() >= MAX_BALANCERS && !self.trust.contains_key(&reporter) {
            return;
        }
        let trust = self.trust.entry(reporter).or_insert(INITIAL_TRUST);
        *trust = if was_right { *trust + (1.0 - *trust) / 2.0 } else { *trust / 2.0 };
    }
}
