//! The messages between proposers and acceptors, and the rules on which all processes of a fleet must agree.
//!
//! Messages are encoded with postcard, so the order of fields and variants is part of the wire format.

use std::collections::BTreeSet;

use doorproxy::ids::Ticks;
use doorproxy_membership::message::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

/// Identifies a lease by the hash of its name. Each slot of a permit that several processes may hold is a
/// separate lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub u64);

impl LeaseId {
    /// Derives the id, which is the same on every node for the same name and slot.
    pub fn from_name(name: &str, slot: u16) -> LeaseId {
        LeaseId(doorproxy::rng::hash_text(name) ^ doorproxy::rng::mix(u64::from(slot)))
    }
}

/// Increases with every change of the holder and never decreases. A target refuses an action whose token is
/// smaller than the largest one that it has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);

/// Orders proposals by round, then by the proposer's node and incarnation. No two proposals have the same
/// ballot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each proposal, and exceeds every round that the proposer was rejected for.
    pub round: u64,
    /// Holds the proposer's [`NodeId`].
    pub proposer: u64,
    /// Holds the proposer's [`Incarnation`].
    pub incarnation: u64,
}

/// Identifies one process of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessIdentity {
    /// Identifies the node.
    pub node: NodeId,
    /// Identifies the process among those that the node has run.
    pub incarnation: Incarnation,
}

/// Holds the value of a register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseValue {
    /// Holds the current holder, or `None` if the lease was released.
    pub holder: Option<ProcessIdentity>,
    /// Holds the fencing token of this holder.
    pub token: FencingToken,
    /// Holds the duration in tenths of a millisecond. The holder counts it on its own clock from before it
    /// sent its accept requests.
    pub duration_ticks: i64,
}

/// Holds the value that an acceptor accepted last, as reported with a promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedLease {
    /// Holds the accepted value.
    pub value: LeaseValue,
    /// Holds the time for which the lease may still be held, in tenths of a millisecond by the acceptor's
    /// clock. It is 0 for an expired or released lease.
    pub remaining_ticks: i64,
}

/// Represents a message between a proposer and an acceptor. A response repeats the ballot of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks an acceptor to promise a ballot.
    Prepare {
        /// Identifies the lease.
        lease: LeaseId,
        /// Holds the ballot to promise.
        ballot: Ballot,
    },
    /// Promises a ballot: the acceptor no longer accepts a value under a smaller one.
    Promise {
        /// Identifies the lease.
        lease: LeaseId,
        /// Holds the promised ballot.
        ballot: Ballot,
        /// Holds the value that the acceptor accepted last, if any.
        accepted: Option<AcceptedLease>,
    },
    /// Asks an acceptor to accept a value under a promised ballot.
    Accept {
        /// Identifies the lease.
        lease: LeaseId,
        /// Holds the promised ballot.
        ballot: Ballot,
        /// Holds the value to accept.
        value: LeaseValue,
    },
    /// Confirms that the acceptor accepted the value.
    Accepted {
        /// Identifies the lease.
        lease: LeaseId,
        /// Holds the ballot under which the value was accepted.
        ballot: Ballot,
    },
    /// Rejects a request: its ballot is too small or is not the one that was promised last, its duration is
    /// too long, or the acceptor can store no other lease.
    Rejected {
        /// Identifies the lease.
        lease: LeaseId,
        /// Holds the rejected ballot.
        ballot: Ballot,
        /// Holds the ballot that was promised last.
        promised: Ballot,
    },
    /// Reports that the acceptor started recently and does not promise anything yet.
    InGracePeriod {
        /// Identifies the lease.
        lease: LeaseId,
        /// Holds the ballot of the request.
        ballot: Ballot,
    },
}

impl Message {
    /// Returns the lease that the message is about.
    pub fn lease(&self) -> LeaseId {
        match self {
            Message::Prepare { lease, .. }
            | Message::Promise { lease, .. }
            | Message::Accept { lease, .. }
            | Message::Accepted { lease, .. }
            | Message::Rejected { lease, .. }
            | Message::InGracePeriod { lease, .. } => *lease,
        }
    }

    /// Returns the ballot of the request. A response repeats it.
    pub fn ballot(&self) -> Ballot {
        match self {
            Message::Prepare { ballot, .. }
            | Message::Promise { ballot, .. }
            | Message::Accept { ballot, .. }
            | Message::Accepted { ballot, .. }
            | Message::Rejected { ballot, .. }
            | Message::InGracePeriod { ballot, .. } => *ballot,
        }
    }

    /// Returns whether the message is a request, which only an acceptor handles.
    pub fn is_request(&self) -> bool {
        matches!(self, Message::Prepare { .. } | Message::Accept { .. })
    }
}

/// Holds one message as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Holds the name of the sending node.
    pub sender: String,
    /// Holds the message.
    pub message: Message,
}

/// Holds the rules on which all proposers and acceptors of a fleet must agree.
#[derive(Clone, Debug)]
pub struct LeaseRules {
    /// Holds the nodes that store the registers.
    pub acceptors: BTreeSet<NodeId>,
    /// Limits the duration of a lease.
    pub max_duration: Ticks,
    /// Limits the relative difference between the rates of two clocks.
    pub clock_drift_ratio: f64,
}

impl LeaseRules {
    /// Returns the smallest number of acceptors that is a majority: any two majorities share at least one
    /// acceptor.
    pub fn majority(&self) -> usize {
        self.acceptors.len() / 2 + 1
    }

    /// Returns the time after which, by any clock, a lease of `duration` has expired on its holder's clock.
    pub fn duration_with_drift(&self, duration: Ticks) -> Ticks {
        stretch_by_drift(duration, self.clock_drift_ratio)
    }
}

/// Returns the time after which, by any clock, `duration` has passed on any other clock.
pub fn stretch_by_drift(duration: Ticks, clock_drift_ratio: f64) -> Ticks {
    Ticks(duration.mul_f64((1.0 + clock_drift_ratio) * (1.0 + clock_drift_ratio)).0 + 1)
}
