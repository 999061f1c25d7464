//! Messages between nodes. They are encoded with postcard, so the order of variants and fields is the wire
//! format.
//!
//! A response repeats the nonce of its request. The requester measures the age of what it learns from the
//! time at which it sent the request, so no age depends on the clock of another node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use crate::ids::{Incarnation, NodeId, Nonce};

/// Limits the updates in one message of a full-state transfer.
pub const MAX_UPDATES_PER_SYNC: usize = 8;
/// Limits the nodes of a registry snapshot in one message, so that it fits into a datagram.
pub const MAX_NODES_PER_CHUNK: usize = 100;
/// Limits the chunks of a snapshot. Snapshots with more chunks are ignored; no fleet is that large.
pub const MAX_SNAPSHOT_CHUNKS: u16 = 40;

/// Describes a member's state in the view of a node. The order is part of the protocol: members up to
/// `Suspect` count as present.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member runs.
    Alive,
    /// The member did not answer a probe and can still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member announced that it stops.
    Left,
}

/// Carries one node's belief about a member in gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Names the member.
    pub name: String,
    /// Identifies the member's process.
    pub incarnation: Incarnation,
    /// Holds the address of the member.
    pub address: SocketAddr,
    /// Names the member's zone.
    pub zone: String,
    /// Counts the refutations of the member. Only the member itself raises it, to refute what others report
    /// about it.
    pub refutation_count: u32,
    /// Holds the member's state in the sender's view.
    pub state: MemberState,
}

/// Holds the content of an [`Envelope`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Probes the recipient directly.
    Ping(Nonce),
    /// Answers a [`Message::Ping`], directly or through a helper that relayed the ping.
    Ack(Nonce),
    /// Asks the recipient, a helper, to probe the named member on behalf of the sender.
    IndirectPing(Nonce, String),
    /// Answers a [`Message::IndirectPing`] whose target has not answered. It shows that the network path to
    /// the helper works.
    Nack(Nonce),
    /// Asks for all members that the recipient knows.
    Join,
    /// Renews the sender's entry at a registry replica.
    Heartbeat {
        /// Identifies the heartbeat; the response repeats it.
        nonce: Nonce,
        /// Holds the sender's [`RegistryRules::fingerprint`](crate::registry::RegistryRules::fingerprint).
        rules_fingerprint: u64,
        /// Holds the version of the replica's snapshot that the sender has, or 0 if it has none.
        known_version: u64,
    },
    /// Answers a [`Message::Heartbeat`] with one chunk of the replica's snapshot.
    RegistrySnapshot {
        /// Holds the nonce of the heartbeat.
        nonce: Nonce,
        /// Holds the version of the snapshot.
        version: u64,
        /// Holds the index of this chunk, counted from 0.
        chunk: u16,
        /// Holds the number of chunks of the snapshot.
        chunk_count: u16,
        /// Lists the nodes of this chunk.
        nodes: Vec<NodeId>,
    },
    /// Answers a [`Message::Heartbeat`] whose `known_version` is the replica's current version.
    RegistryUnchanged {
        /// Holds the nonce of the heartbeat.
        nonce: Nonce,
        /// Holds the version of the snapshot.
        version: u64,
    },
    /// Answers a [`Message::Heartbeat`] while the replica has not run long enough to know all nodes.
    InGracePeriod(Nonce),
    /// Announces that the sender stops and uses no share from now on.
    Leave,
}

/// Holds the content of one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Names the sender.
    pub sender: String,
    /// Identifies the sender's process.
    pub incarnation: Incarnation,
    /// Holds the message itself.
    pub message: Message,
    /// Holds the membership updates that are piggybacked on the message.
    pub updates: Vec<MemberUpdate>,
}
