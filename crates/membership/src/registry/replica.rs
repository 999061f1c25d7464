//! The replica's side of the registry: the record of the nodes that send heartbeats.

use std::collections::BTreeMap;

use doorproxy::ids::{Ticks, Timestamp};

use super::RegistryRules;
use crate::ids::{Incarnation, NodeId};

/// Limits the recorded nodes; no fleet is that large.
const MAX_NODES: usize = 4000;
/// Sets the number of bits by which the incarnation is shifted to give a replica's first version, so that two
/// processes of a replica never use the same version.
const INCARNATION_SHIFT: u32 = 20;

/// Describes the last heartbeat of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RegistryEntry {
    incarnation: Incarnation,
    heard_at: Timestamp,
}

/// Holds the nodes from which one replica has received heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryReplica {
    sole_since: Timestamp,
    entries: BTreeMap<NodeId, RegistryEntry>,
    /// Grows whenever the set of nodes changes.
    version: u64,
}

/// Holds all nodes that a replica knows at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaSnapshot {
    /// Identifies the set of nodes. It is also different from the versions of other processes of the replica.
    pub version: u64,
    /// Lists the nodes in ascending order.
    pub nodes: Vec<NodeId>,
}

impl RegistryReplica {
    /// Creates the replica of a process of this incarnation. Since `sole_since`, no other process answers in
    /// the name of its node; an earlier process may have acknowledged heartbeats until then.
    pub fn new(sole_since: Timestamp, incarnation: Incarnation) -> RegistryReplica {
        let version = incarnation.0 << INCARNATION_SHIFT;
        RegistryReplica { sole_since, entries: BTreeMap::new(), version }
    }

    /// Records a heartbeat. Returns `false` if the replica is full, in which case the node must not be
    /// acknowledged.
    pub fn record(&mut self, now: Timestamp, node: NodeId, incarnation: Incarnation) -> bool {
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.incarnation = entry.incarnation.max(incarnation);
            entry.heard_at = now;
            return true;
        }
        if self.entries.len() >= MAX_NODES {
            return false;
        }
        self.entries.insert(node, RegistryEntry { incarnation, heard_at: now });
        self.version += 1;
        true
    }

    /// Removes a node after one of its processes announced that it stops. A late message of an earlier
    /// process has no effect.
    pub fn remove(&mut self, node: NodeId, incarnation: Incarnation) {
        if self.entries.get(&node).is_some_and(|entry| entry.incarnation <= incarnation) {
            self.entries.remove(&node);
            self.version += 1;
        }
    }

    /// Removes the nodes from which no heartbeat has arrived for longer than [`RegistryRules::retention`].
    pub fn expire(&mut self, now: Timestamp, rules: &RegistryRules) {
        let count_before = self.entries.len();
        self.entries.retain(|_, entry| now - entry.heard_at <= rules.retention());
        if self.entries.len() < count_before {
            self.version += 1;
        }
    }

    /// Returns the nodes, each with the time since its last heartbeat.
    pub fn ages(&self, now: Timestamp) -> impl Iterator<Item = (NodeId, Ticks)> {
        self.entries.iter().map(move |(node, entry)| (*node, now - entry.heard_at))
    }

    /// Returns the time for which no other process has answered in the name of the node.
    pub fn age(&self, now: Timestamp) -> Ticks {
        now - self.sole_since
    }

    /// Returns the known nodes, or `None` in the grace period, while the replica may not know all nodes that
    /// an earlier process of its node acknowledged.
    pub fn snapshot(&self, now: Timestamp, rules: &RegistryRules) -> Option<ReplicaSnapshot> {
        if self.age(now) <= rules.retention() {
            return None;
        }
        Some(ReplicaSnapshot { version: self.version, nodes: self.entries.keys().copied().collect() })
    }
}
