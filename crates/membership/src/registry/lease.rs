//! The node's side of the registry: its membership lease, and the number of nodes that it counts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use doorproxy::ids::{Ticks, Timestamp};

use super::RegistryRules;
use crate::ids::{NodeId, Nonce};

/// Limits the heartbeats per replica that are remembered to match responses.
const MAX_PENDING_HEARTBEATS: usize = 16;

/// Holds a snapshot that was received from a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
struct RegistrySnapshot {
    requested_at: Timestamp,
    version: u64,
    nodes: BTreeSet<NodeId>,
}

/// Describes a heartbeat that may still be answered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingHeartbeat {
    nonce: Nonce,
    sent_at: Timestamp,
}

/// Holds what this node has received from one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct ReplicaView {
    /// Holds the pending heartbeats, the oldest first. A response does not remove its heartbeat, because all
    /// chunks of a snapshot repeat the same nonce.
    pending: VecDeque<PendingHeartbeat>,
    /// Holds the time when the latest heartbeat was sent that the replica has answered.
    acknowledged_at: Option<Timestamp>,
    snapshot: Option<RegistrySnapshot>,
}

/// Shows what a node has received from one replica.
pub struct ReplicaStatus<'a> {
    /// Identifies the replica.
    pub replica: NodeId,
    /// Tells how long ago the latest heartbeat was sent that the replica has answered.
    pub acknowledged_age: Option<Ticks>,
    /// Holds the replica's latest snapshot.
    pub snapshot: Option<SnapshotStatus<'a>>,
}

/// Shows a snapshot that a node has received from a replica.
#[derive(Clone, Copy)]
pub struct SnapshotStatus<'a> {
    /// Tells how long ago the snapshot was requested.
    pub age: Ticks,
    /// Holds the nodes of the snapshot.
    pub nodes: &'a BTreeSet<NodeId>,
}

/// Bounds the number of nodes that may use full shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCount {
    /// Holds the largest possible number of nodes that use a full share, including this one.
    pub upper_bound: u32,
    /// Holds the time until which the bound is valid, by this process's clock.
    pub valid_until: Timestamp,
}

/// Represents the membership lease of one node, held while a majority of replicas has acknowledged recent
/// heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipLease {
    local_node: NodeId,
    replicas: BTreeMap<NodeId, ReplicaView>,
    /// Holds the time when the current uninterrupted period of the lease began.
    held_since: Option<Timestamp>,
}

impl MembershipLease {
    /// Creates a lease that is not held yet.
    pub fn new(local_node: NodeId, rules: &RegistryRules) -> MembershipLease {
        let replicas = rules.replicas.iter().map(|&replica| (replica, ReplicaView::default())).collect();
        MembershipLease { local_node, replicas, held_since: None }
    }

    /// Records a heartbeat that is about to be sent to a replica.
    pub fn on_heartbeat_sent(&mut self, now: Timestamp, replica: NodeId, nonce: Nonce) {
        let Some(view) = self.replicas.get_mut(&replica) else { return };
        if view.pending.len() >= MAX_PENDING_HEARTBEATS {
            view.pending.pop_front();
        }
        view.pending.push_back(PendingHeartbeat { nonce, sent_at: now });
    }

    /// Returns the version of the replica's snapshot that this node has, or 0 if it has none.
    pub fn known_version(&self, replica: NodeId) -> u64 {
        let snapshot = self.replicas.get(&replica).and_then(|view| view.snapshot.as_ref());
        snapshot.map_or(0, |snapshot| snapshot.version)
    }

    /// Returns when the heartbeat with this nonce was sent to the replica, or `None` if there was none or it
    /// is no longer remembered.
    pub fn requested_at(&self, replica: NodeId, nonce: Nonce) -> Option<Timestamp> {
        let view = self.replicas.get(&replica)?;
        let heartbeat = view.pending.iter().find(|heartbeat| heartbeat.nonce == nonce)?;
        Some(heartbeat.sent_at)
    }

    /// Handles an acknowledgement: any response shows that the replica has recorded the heartbeat. It counts
    /// from when the heartbeat was sent.
    pub fn on_acknowledged(&mut self, now: Timestamp, replica: NodeId, nonce: Nonce, rules: &RegistryRules) {
        let Some(requested_at) = self.requested_at(replica, nonce) else { return };
        let was_held = self.is_held(now, rules);
        let Some(view) = self.replicas.get_mut(&replica) else { return };
        view.acknowledged_at = view.acknowledged_at.max(Some(requested_at));
        if !was_held {
            self.held_since = None;
        }
        if self.is_held(now, rules) {
            self.held_since.get_or_insert(now);
        }
    }

    /// Stores a complete snapshot of a replica, unless the known one was requested later.
    pub fn on_snapshot(&mut self, replica: NodeId, nonce: Nonce, version: u64, nodes: BTreeSet<NodeId>) {
        let Some(requested_at) = self.requested_at(replica, nonce) else { return };
        let Some(view) = self.replicas.get_mut(&replica) else { return };
        let is_latest = view.snapshot.as_ref().is_none_or(|snapshot| snapshot.requested_at <= requested_at);
        if is_latest {
            view.snapshot = Some(RegistrySnapshot { requested_at, version, nodes });
        }
    }

    /// Renews the known snapshot of a replica after its response that this version is still current.
    pub fn on_unchanged(&mut self, replica: NodeId, nonce: Nonce, version: u64) {
        let Some(requested_at) = self.requested_at(replica, nonce) else { return };
        let Some(view) = self.replicas.get_mut(&replica) else { return };
        let Some(snapshot) = &mut view.snapshot else { return };
        if snapshot.version == version {
            snapshot.requested_at = snapshot.requested_at.max(requested_at);
        }
    }

    /// Discards the snapshot of a replica that has restarted, because it is no longer valid.
    pub fn discard_snapshot(&mut self, replica: NodeId) {
        if let Some(view) = self.replicas.get_mut(&replica) {
            view.snapshot = None;
        }
    }

    /// Returns what this node has received from each replica, and how old it is.
    pub fn replica_statuses(&self, now: Timestamp) -> impl Iterator<Item = ReplicaStatus<'_>> {
        self.replicas.iter().map(move |(replica, view)| ReplicaStatus {
            replica: *replica,
            acknowledged_age: view.acknowledged_at.map(|at| now - at),
            snapshot: view
                .snapshot
                .as_ref()
                .map(|snapshot| SnapshotStatus { age: now - snapshot.requested_at, nodes: &snapshot.nodes }),
        })
    }

    /// Returns the time since the lease was last acquired, which is how long it has been held if it is held
    /// now. Returns `None` if it was never held.
    pub fn held_for(&self, now: Timestamp) -> Option<Ticks> {
        self.held_since.map(|since| now - since)
    }

    /// Returns when the lease expires unless more heartbeats are acknowledged.
    pub fn expires_at(&self, rules: &RegistryRules) -> Option<Timestamp> {
        majority_expiry(rules, self.replicas.values().filter_map(|view| view.acknowledged_at))
    }

    fn is_held(&self, now: Timestamp, rules: &RegistryRules) -> bool {
        self.expires_at(rules).is_some_and(|expires_at| now < expires_at)
    }

    /// Returns how many nodes may use full shares, or `None` if no count is reliable now.
    pub fn node_count(&self, now: Timestamp, rules: &RegistryRules) -> Option<NodeCount> {
        let lease_expires_at = self.expires_at(rules).filter(|expires_at| now < *expires_at)?;
        if now - self.held_since? < rules.retention() {
            return None;
        }
        let snapshots = self.fresh_snapshots(now, rules);
        let snapshots_expire_at =
            majority_expiry(rules, snapshots.iter().map(|snapshot| snapshot.requested_at))?;
        let mut nodes: BTreeSet<NodeId> =
            snapshots.iter().flat_map(|snapshot| snapshot.nodes.iter().copied()).collect();
        nodes.insert(self.local_node);
        Some(NodeCount {
            upper_bound: nodes.len() as u32,
            valid_until: lease_expires_at.min(snapshots_expire_at),
        })
    }

    fn fresh_snapshots(&self, now: Timestamp, rules: &RegistryRules) -> Vec<&RegistrySnapshot> {
        let snapshots = self.replicas.values().filter_map(|view| view.snapshot.as_ref());
        snapshots.filter(|snapshot| now - snapshot.requested_at < rules.lease_duration).collect()
    }
}

/// Returns the time until which a majority of these requests is younger than the duration of a lease.
fn majority_expiry(
    rules: &RegistryRules,
    requested_at: impl Iterator<Item = Timestamp>,
) -> Option<Timestamp> {
    if rules.replicas.is_empty() {
        return None;
    }
    let mut latest_first: Vec<Timestamp> = requested_at.collect();
    latest_first.sort_unstable_by(|a, b| b.cmp(a));
    let oldest_of_majority = *latest_first.get(rules.majority() - 1)?;
    Some(oldest_of_majority + rules.lease_duration)
}
