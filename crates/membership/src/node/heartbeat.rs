//! Heartbeats to the registry replicas, and the replica's responses.

use doorproxy::ids::Timestamp;

use super::{Effects, MembershipNode, Peer};
use crate::ids::{NodeId, Nonce};
use crate::member_list::{ChangeCause, MemberChange};
use crate::message::{MAX_NODES_PER_CHUNK, MAX_SNAPSHOT_CHUNKS, MemberState, Message};
use crate::registry::ReplicaSnapshot;

/// Sets how many heartbeats are sent within the duration of a lease.
const HEARTBEATS_PER_LEASE: f64 = 6.0;
/// Sets the smallest factor by which the heartbeat interval is scaled; the factor is drawn at random.
const MIN_HEARTBEAT_JITTER: f64 = 0.9;
/// Sets the width of the range of that factor.
const HEARTBEAT_JITTER_RANGE: f64 = 0.2;
/// Limits the nodes that are reported for their different registry rules.
const MAX_MISMATCHED_NODES: usize = 16;

/// Holds the content of a [`Message::Heartbeat`].
pub(super) struct Heartbeat {
    pub nonce: Nonce,
    pub rules_fingerprint: u64,
    pub known_version: u64,
}

/// Holds the content of a [`Message::RegistrySnapshot`].
pub(super) struct SnapshotChunk {
    pub nonce: Nonce,
    pub version: u64,
    pub index: u16,
    pub count: u16,
    pub nodes: Vec<NodeId>,
}

/// Handles messages as a registry replica.
impl MembershipNode {
    pub(super) fn on_heartbeat(
        &mut self,
        now: Timestamp,
        peer: &Peer,
        heartbeat: Heartbeat,
        effects: &mut impl Effects,
    ) {
        let Some(replica) = &mut self.replica else { return };
        // Nodes with other rules could form a majority that has no replica in common with this node's
        // majority.
        if heartbeat.rules_fingerprint != self.registry_rules.fingerprint() {
            return self.report_rules_mismatch(&peer.name, effects);
        }
        replica.expire(now, &self.registry_rules);
        if !replica.record(now, NodeId::from_name(&peer.name), peer.incarnation) {
            return;
        }
        let nonce = heartbeat.nonce;
        match replica.snapshot(now, &self.registry_rules) {
            None => self.send(effects, peer.address, None, Message::InGracePeriod(nonce)),
            Some(ReplicaSnapshot { version, .. }) if version == heartbeat.known_version => {
                self.send(effects, peer.address, None, Message::RegistryUnchanged { nonce, version });
            }
            Some(snapshot) => self.send_snapshot(peer, nonce, &snapshot, effects),
        }
    }

    fn send_snapshot(
        &mut self,
        peer: &Peer,
        nonce: Nonce,
        snapshot: &ReplicaSnapshot,
        effects: &mut impl Effects,
    ) {
        let chunks = snapshot.nodes.chunks(MAX_NODES_PER_CHUNK);
        let chunk_count = chunks.len() as u16;
        for (index, nodes) in chunks.enumerate() {
            let message = Message::RegistrySnapshot {
                nonce,
                version: snapshot.version,
                chunk: index as u16,
                chunk_count,
                nodes: nodes.to_vec(),
            };
            self.send(effects, peer.address, None, message);
        }
    }

    fn report_rules_mismatch(&mut self, name: &str, effects: &mut impl Effects) {
        if self.mismatched_nodes.len() < MAX_MISMATCHED_NODES
            && self.mismatched_nodes.insert(name.to_string())
        {
            let (name, state) = (name.to_string(), MemberState::Alive);
            effects.on_member_change(MemberChange { name, state, cause: ChangeCause::RulesDiffer });
        }
    }

    pub(super) fn on_leave(&mut self, peer: &Peer) {
        if let Some(replica) = &mut self.replica {
            replica.remove(NodeId::from_name(&peer.name), peer.incarnation);
        }
    }
}

/// Sends heartbeats to the replicas and handles their responses.
impl MembershipNode {
    pub(super) fn schedule_heartbeat(&mut self, now: Timestamp) {
        let interval = self.settings.lease_duration.mul_f64(1.0 / HEARTBEATS_PER_LEASE);
        let jitter = MIN_HEARTBEAT_JITTER + HEARTBEAT_JITTER_RANGE * self.rng.next_f64();
        self.next_heartbeat_at = now + interval.mul_f64(jitter);
    }

    pub(super) fn send_heartbeats(&mut self, now: Timestamp, effects: &mut impl Effects) {
        let rules_fingerprint = self.registry_rules.fingerprint();
        for (name, address) in self.settings.registry_replicas.clone() {
            let replica = NodeId::from_name(&name);
            let nonce = self.next_nonce();
            self.lease.on_heartbeat_sent(now, replica, nonce);
            if name == self.settings.name {
                self.record_local_heartbeat(now, replica, nonce);
                continue;
            }
            let known_version = self.lease.known_version(replica);
            let message = Message::Heartbeat { nonce, rules_fingerprint, known_version };
            self.send(effects, address, Some(&name), message);
        }
    }

    /// Records this node's heartbeat at its own replica, without a message.
    fn record_local_heartbeat(&mut self, now: Timestamp, local_node: NodeId, nonce: Nonce) {
        let Some(replica) = &mut self.replica else { return };
        replica.expire(now, &self.registry_rules);
        replica.record(now, local_node, self.settings.incarnation);
        self.lease.on_acknowledged(now, local_node, nonce, &self.registry_rules);
        match replica.snapshot(now, &self.registry_rules) {
            Some(snapshot) => {
                let nodes = snapshot.nodes.into_iter().collect();
                self.lease.on_snapshot(local_node, nonce, snapshot.version, nodes);
            }
            None => self.lease.discard_snapshot(local_node),
        }
    }

    pub(super) fn on_snapshot_chunk(&mut self, now: Timestamp, peer: &Peer, chunk: SnapshotChunk) {
        let replica = NodeId::from_name(&peer.name);
        let (nonce, version) = (chunk.nonce, chunk.version);
        let is_valid = chunk.index < chunk.count && chunk.count <= MAX_SNAPSHOT_CHUNKS;
        if !is_valid || self.lease.requested_at(replica, nonce).is_none() {
            return;
        }
        self.lease.on_acknowledged(now, replica, nonce, &self.registry_rules);
        if let Some(nodes) = self.partial_snapshots.add(replica, chunk) {
            self.lease.on_snapshot(replica, nonce, version, nodes);
        }
    }

    pub(super) fn on_unchanged(&mut self, now: Timestamp, peer: &Peer, nonce: Nonce, version: u64) {
        let replica = NodeId::from_name(&peer.name);
        self.lease.on_acknowledged(now, replica, nonce, &self.registry_rules);
        self.lease.on_unchanged(replica, nonce, version);
    }

    pub(super) fn on_grace_period(&mut self, now: Timestamp, peer: &Peer, nonce: Nonce) {
        let replica = NodeId::from_name(&peer.name);
        self.lease.on_acknowledged(now, replica, nonce, &self.registry_rules);
        self.lease.discard_snapshot(replica);
    }
}
