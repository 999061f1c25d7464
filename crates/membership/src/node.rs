//! One node of the fleet: its [member list](crate::member_list) and its part in the
//! [registry](crate::registry), driven by messages and by time.
//!
//! The driver of a node carries out what the node asks of [`Effects`], passes received messages to
//! [`MembershipNode::on_message`], and calls [`MembershipNode::tick`] at the time that the last call
//! returned. The traffic of a node is bounded: it sends a fixed number of probes per period, and one response
//! per request, which is split into several messages if it is long.

mod estimate;
mod heartbeat;
mod partial_snapshots;
mod probe;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use doorproxy::ids::Timestamp;
use doorproxy::rng::Pcg;

pub use crate::effects::Effects;
use crate::member_list::MemberList;
use crate::message::{Envelope, Incarnation, MemberUpdate, Message, NodeId, Nonce};
pub use crate::node::estimate::FleetEstimate;
use crate::node::heartbeat::{Heartbeat, SnapshotChunk};
use crate::node::partial_snapshots::PartialSnapshots;
use crate::node::probe::{OutstandingProbe, RelayedPing};
use crate::registry::{MembershipLease, NodeCount, RegistryReplica, RegistryRules};
pub use crate::settings::MembershipSettings;

/// Limits the members that are notified directly when this node leaves, in addition to the replicas.
const LEAVE_FANOUT: usize = 3;
/// Marks an acknowledgement that answers no ping but carries part of a full state.
const FULL_STATE_NONCE: Nonce = Nonce(0);

/// Describes the sender of a message.
struct Peer {
    name: String,
    incarnation: Incarnation,
    address: SocketAddr,
}

/// Runs one node of the fleet.
pub struct MembershipNode {
    settings: MembershipSettings,
    registry_rules: RegistryRules,
    rng: Pcg,
    member_list: MemberList,
    lease: MembershipLease,
    /// Is `Some` if this node is a registry replica and was started as one.
    replica: Option<RegistryReplica>,
    probe: Option<OutstandingProbe>,
    /// Holds the members that are still to be probed in the current round.
    probe_order: VecDeque<String>,
    period_count: u64,
    next_period_at: Timestamp,
    next_heartbeat_at: Timestamp,
    last_nonce: u64,
    /// Holds the pings sent on behalf of other members, by the nonce of the ping.
    relayed_pings: BTreeMap<Nonce, RelayedPing>,
    partial_snapshots: PartialSnapshots,
    /// Holds the largest number of nodes, counted or present in the member list, since the last reliable
    /// count.
    max_observed_count: u32,
    has_left: bool,
    /// Holds the nodes with other registry rules that were reported, so that each is reported once.
    mismatched_nodes: BTreeSet<String>,
}

impl MembershipNode {
    /// Creates a node that starts now, without its registry replica. All its random choices are derived from
    /// the seed.
    pub fn new(now: Timestamp, seed: u64, settings: MembershipSettings) -> MembershipNode {
        let registry_rules = settings.registry_rules();
        let local_node = NodeId::from_name(&settings.name);
        let mut rng = Pcg::new(seed);
        // Spreads the first probes of a fleet whose nodes all restart at once.
        let first_period = settings.protocol_period.mul_f64(rng.next_f64());
        let first_nonce = u64::from(rng.next_u32()) << 32 | u64::from(rng.next_u32());
        MembershipNode {
            member_list: MemberList::new(settings.local_member(), settings.protocol_period),
            lease: MembershipLease::new(local_node, &registry_rules),
            replica: None,
            probe: None,
            probe_order: VecDeque::new(),
            period_count: 0,
            next_period_at: now + first_period,
            next_heartbeat_at: now,
            last_nonce: first_nonce,
            relayed_pings: BTreeMap::new(),
            partial_snapshots: PartialSnapshots::default(),
            max_observed_count: 0,
            has_left: false,
            mismatched_nodes: BTreeSet::new(),
            rng,
            registry_rules,
            settings,
        }
    }

    /// Starts the registry replica at a node that is one. No other process answers in the name of the node
    /// since `sole_since`; see [`RegistryReplica::new`].
    pub fn start_replica(&mut self, sole_since: Timestamp) {
        let incarnation = self.settings.incarnation;
        self.replica =
            self.settings.is_registry_replica().then(|| RegistryReplica::new(sole_since, incarnation));
    }

    /// Returns the member list, which holds this node's view of the others.
    pub fn member_list(&self) -> &MemberList {
        &self.member_list
    }

    /// Returns the membership lease of this node.
    pub fn lease(&self) -> &MembershipLease {
        &self.lease
    }

    /// Returns the rules of the registry.
    pub fn registry_rules(&self) -> &RegistryRules {
        &self.registry_rules
    }

    /// Returns the settings of the node.
    pub fn settings(&self) -> &MembershipSettings {
        &self.settings
    }

    /// Returns whether [`MembershipNode::leave`] was called.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Returns how many nodes may use full shares, or `None` if no count is reliable now.
    pub fn node_count(&self, now: Timestamp) -> Option<NodeCount> {
        if self.has_left {
            return None;
        }
        self.lease.node_count(now, &self.registry_rules)
    }

    fn next_nonce(&mut self) -> Nonce {
        self.last_nonce = self.last_nonce.wrapping_add(1);
        Nonce(self.last_nonce)
    }

    fn envelope(&self, message: Message, updates: Vec<MemberUpdate>) -> Envelope {
        Envelope {
            sender: self.settings.name.clone(),
            incarnation: self.member_list.incarnation(),
            message,
            updates,
        }
    }

    /// Sends a message with the updates that are due. If the recipient's name is known, updates that concern
    /// it are included.
    fn send(
        &mut self,
        effects: &mut impl Effects,
        address: SocketAddr,
        recipient: Option<&str>,
        message: Message,
    ) {
        let mut updates =
            if carries_updates(&message) { self.member_list.next_updates(recipient) } else { Vec::new() };
        // The recipient of a `Join` must learn of this node even if its own update is no longer due.
        let is_introduced = updates.iter().any(|update| update.name == self.settings.name);
        if message == Message::Join && !is_introduced {
            updates.push(self.member_list.local().clone());
        }
        effects.send(address, self.envelope(message, updates));
    }

    /// Sends all known present members, split into as many messages as necessary.
    fn send_full_state(&mut self, effects: &mut impl Effects, address: SocketAddr) {
        for updates in self.member_list.full_state() {
            effects.send(address, self.envelope(Message::Ack(FULL_STATE_NONCE), updates));
        }
    }

    /// Handles an authenticated message of this cluster that arrived from the address `from`.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        envelope: Envelope,
        effects: &mut impl Effects,
    ) {
        let Envelope { sender, incarnation, message, updates } = envelope;
        if sender == self.settings.name || self.has_left {
            return;
        }
        for update in &updates {
            self.member_list.apply_update(now, &sender, update);
        }
        let peer = Peer { name: sender, incarnation, address: from };
        let is_unknown = self.member_list.get(&peer.name).is_none();
        if is_unknown && matches!(message, Message::Ping(_)) {
            // All gossip about the sender may have been lost, because each update is sent a limited number of
            // times.
            self.send(effects, peer.address, Some(&peer.name), Message::Join);
        }
        self.dispatch(now, &peer, message, effects);
        self.report_changes(effects);
    }

    fn dispatch(&mut self, now: Timestamp, peer: &Peer, message: Message, effects: &mut impl Effects) {
        match message {
            Message::Ping(nonce) => self.send(effects, peer.address, Some(&peer.name), Message::Ack(nonce)),
            Message::Ack(nonce) => self.on_ack(now, peer, nonce, effects),
            Message::IndirectPing(nonce, target) => self.relay_ping(now, peer, nonce, &target, effects),
            Message::Nack(nonce) => self.on_nack(nonce),
            Message::Join => self.send_full_state(effects, peer.address),
            Message::Heartbeat { nonce, rules_fingerprint, known_version } => {
                let heartbeat = Heartbeat { nonce, rules_fingerprint, known_version };
                self.on_heartbeat(now, peer, heartbeat, effects);
            }
            Message::RegistrySnapshot { nonce, version, chunk, chunk_count, nodes } => {
                let chunk = SnapshotChunk { nonce, version, index: chunk, count: chunk_count, nodes };
                self.on_snapshot_chunk(now, peer, chunk);
            }
            Message::RegistryUnchanged { nonce, version } => self.on_unchanged(now, peer, nonce, version),
            Message::InGracePeriod(nonce) => self.on_grace_period(now, peer, nonce),
            Message::Leave => self.on_leave(peer),
        }
    }

    fn report_changes(&mut self, effects: &mut impl Effects) {
        for change in self.member_list.take_changes() {
            effects.on_member_change(change);
        }
    }

    /// Performs all work that is due. Returns the time of the next call.
    pub fn tick(&mut self, now: Timestamp, effects: &mut impl Effects) -> Timestamp {
        if self.has_left {
            return now + self.settings.protocol_period;
        }
        self.advance_probe(now, effects);
        self.expire_relayed_pings(now, effects);
        if now >= self.next_heartbeat_at {
            self.send_heartbeats(now, effects);
            self.schedule_heartbeat(now);
        }
        if now >= self.next_period_at {
            self.begin_period(now, effects);
            self.next_period_at = now + self.member_list.scaled_by_health(self.settings.protocol_period);
        }
        self.member_list.expire(now);
        self.report_changes(effects);
        self.next_wakeup()
    }

    fn next_wakeup(&self) -> Timestamp {
        let probe = self.probe.as_ref().map(OutstandingProbe::next_event_at);
        let relayed_ping = self.relayed_pings.values().map(|ping| ping.expires_at).min();
        let next = self.next_period_at.min(self.next_heartbeat_at);
        [probe, relayed_ping].into_iter().flatten().fold(next, Timestamp::min)
    }

    /// Stops the node: it uses no share from now on, and announces this to the replicas and to a few members.
    pub fn leave(&mut self, effects: &mut impl Effects) {
        if self.has_left {
            return;
        }
        self.has_left = true;
        self.member_list.leave();
        let members = self.member_list.sample(&mut self.rng, LEAVE_FANOUT, "");
        let replicas =
            self.settings.registry_replicas.iter().filter(|(name, _)| **name != self.settings.name);
        // The set removes duplicates and makes the order of the messages deterministic.
        let mut recipients: BTreeSet<SocketAddr> = replicas.map(|(_, address)| *address).collect();
        recipients.extend(members.into_iter().map(|member| member.address));
        for address in recipients {
            self.send(effects, address, None, Message::Leave);
        }
    }
}

/// Returns whether updates are piggybacked on a message. Heartbeats and their responses carry none: replicas
/// exchange so many of them that they would use up the limited transmissions of each update, and other
/// members would not receive it.
fn carries_updates(message: &Message) -> bool {
    !matches!(
        message,
        Message::Heartbeat { .. }
            | Message::RegistrySnapshot { .. }
            | Message::RegistryUnchanged { .. }
            | Message::InGracePeriod(_)
    )
}
