//! The messages between quota clients and allocators.
//!
//! A request carries a nonce that its response repeats. The client counts the age of a response from *before*
//! it sent the request, so any delay only makes the response older. A repeated request is granted nothing,
//! which saves requests for other clients; the bound does not depend on it.
//!
//! Messages are encoded with postcard, so the order of fields and variants is part of the wire format.

use doorproxy_leases::messages::{self as leases, ProcessIdentity};
use doorproxy_membership::message::NodeId;
use serde::{Deserialize, Serialize};

/// Identifies a limit by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitId(pub u64);

impl LimitId {
    /// Derives the id, which is the same on every node for the same name.
    pub fn from_name(name: &str) -> LimitId {
        LimitId(doorproxy::rng::hash_text(name))
    }
}

/// Identifies a part of the limits, which one node at a time allocates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard(pub u16);

/// Numbers a request. It increases with each request of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// Holds a client's demand for one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// Identifies the limit.
    pub limit: LimitId,
    /// Holds the number of requests to allocate now.
    pub requested: u32,
    /// Holds the rate of requests that arrive at the client, in tenths of a request per second.
    pub arrival_rate_tenths: u32,
}

/// Holds what an allocator grants of one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Allocation {
    /// Identifies the limit.
    pub limit: LimitId,
    /// Holds the number of requests that the client may admit.
    pub granted: u32,
    /// Holds the rate that the client can expect if nothing changes, in tenths of a request per second.
    pub expected_rate_tenths: u32,
}

/// Limits the demands of one request, so that it fits easily into one datagram.
pub const MAX_DEMANDS_PER_REQUEST: usize = 60;

/// Represents a message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Carries a message about the lease of a shard, between a possible allocator and an acceptor.
    Lease(leases::Message),
    /// Asks the allocator of a shard for allocations. Without demands, it only checks whether an allocator
    /// responds.
    AllocationRequest {
        /// Identifies the shard.
        shard: Shard,
        /// Holds the nonce that the response repeats.
        nonce: Nonce,
        /// Holds the demands for limits of the shard.
        demands: Vec<Demand>,
    },
    /// Carries the response of the shard's allocator.
    AllocationGrant {
        /// Holds the nonce of the request.
        nonce: Nonce,
        /// Holds the grants, by limit.
        allocations: Vec<Allocation>,
    },
    /// Carries the response of a node that does not allocate the shard.
    Redirect {
        /// Holds the nonce of the request.
        nonce: Nonce,
        /// Holds the node that allocates the shard, as far as the sender knows.
        allocator: Option<NodeId>,
    },
}

/// Holds one message as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Identifies the sending process.
    pub sender: ProcessIdentity,
    /// Holds the message.
    pub message: Message,
}
