//! The rules of the registry, on which all nodes of a fleet have to agree.

use std::collections::BTreeSet;

use doorproxy::ids::Ticks;
use doorproxy::rng::mix;

use crate::ids::NodeId;

/// Holds the rules of the registry, which must be the same on all nodes of a fleet.
#[derive(Clone, Debug)]
pub struct RegistryRules {
    /// Holds the three, five or seven replicas. Without replicas, no count is reliable.
    pub replicas: BTreeSet<NodeId>,
    /// Sets how long a membership lease lasts after a heartbeat.
    pub lease_duration: Ticks,
    /// Bounds the ratio by which the rates of two clocks differ.
    pub clock_drift_ratio: f64,
}

impl RegistryRules {
    /// Returns how many replicas are a majority.
    pub fn majority(&self) -> usize {
        self.replicas.len() / 2 + 1
    }

    /// Returns how long a replica keeps a node without heartbeats, how long a node holds its lease before its
    /// first full share, and how long a replica that has started gives no snapshot.
    pub fn retention(&self) -> Ticks {
        let clock_ratio = 1.0 + self.clock_drift_ratio;
        // Three clocks are involved: those of the silent node, of the replica and of the reader.
        let retention = self.lease_duration.mul_f64(2.0 * clock_ratio * clock_ratio);
        Ticks(retention.0 + 1)
    }

    /// Returns a hash that differs between different rules. Nodes compare it, so its computation is part of
    /// the protocol.
    pub fn fingerprint(&self) -> u64 {
        let durations = mix(self.lease_duration.0 as u64) ^ self.retention().0 as u64;
        self.replicas.iter().fold(durations, |hash, replica| mix(hash ^ replica.0))
    }
}
