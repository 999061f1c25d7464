//! The acceptor, which promises ballots and accepts lease values.
//!
//! Invariants: an acceptor accepts a value only under the ballot that it promised last since its start. It
//! keeps its registers in memory only, so at first it answers [`Message::InGracePeriod`] until every lease has
//! expired that an earlier process of its node may have accepted. It uses no disk, so a lost, restored or
//! unsynced disk cannot affect it.

use std::collections::BTreeMap;

use doorproxy::ids::{Ticks, Timestamp};

use crate::messages::{AcceptedLease, Ballot, LeaseId, LeaseRules, LeaseValue, Message};

/// Limits the memory of an acceptor, which rejects requests for further leases.
const MAX_LEASES: usize = 4000;

/// Holds a value and the time at which it was accepted, by the acceptor's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedValue {
    /// Holds the value that was accepted last.
    pub value: LeaseValue,
    /// Holds the time of acceptance.
    pub accepted_at: Timestamp,
}

/// Holds the state of one lease at an acceptor.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    /// Holds the largest promised ballot.
    pub promised: Ballot,
    /// Holds the value that was accepted last. Later promises do not change it.
    pub accepted: Option<AcceptedValue>,
}

impl Register {
    /// Returns the accepted value and the time for which it may still be held. The time is 0 for a released
    /// lease.
    pub fn accepted_lease(&self, now: Timestamp, rules: &LeaseRules) -> Option<AcceptedLease> {
        let AcceptedValue { value, accepted_at } = self.accepted?;
        let expires_at = accepted_at + rules.duration_with_drift(Ticks(value.duration_ticks));
        let remaining_ticks = if value.holder.is_some() { (expires_at - now).0.max(0) } else { 0 };
        Some(AcceptedLease { value, remaining_ticks })
    }
}

/// Holds the registers of all leases at one node.
#[derive(Clone, Debug)]
pub struct Acceptor {
    sole_since: Timestamp,
    registers: BTreeMap<LeaseId, Register>,
}

impl Acceptor {
    /// Creates an acceptor without registers. Since `sole_since`, no other process answers in the name of its
    /// node; an earlier process of the node may have accepted leases until then, even if this process had
    /// started by that time.
    pub fn new(sole_since: Timestamp) -> Acceptor {
        Acceptor { sole_since, registers: BTreeMap::new() }
    }

    /// Returns all registers, ordered by lease id.
    pub fn registers(&self) -> impl Iterator<Item = (&LeaseId, &Register)> {
        self.registers.iter()
    }

    /// Returns the time for which no other process has answered in the name of the node.
    pub fn age(&self, now: Timestamp) -> Ticks {
        now - self.sole_since
    }

    /// Returns whether a lease that an earlier process of the node accepted may still be held.
    pub fn is_in_grace_period(&self, now: Timestamp, rules: &LeaseRules) -> bool {
        self.age(now) <= rules.duration_with_drift(rules.max_duration)
    }

    /// Responds to a proposer's request. Returns `None` for a message that is not a request.
    pub fn respond(&mut self, now: Timestamp, request: &Message, rules: &LeaseRules) -> Option<Message> {
        if !request.is_request() {
            return None;
        }
        let lease = request.lease();
        let ballot = request.ballot();
        if self.is_in_grace_period(now, rules) {
            return Some(Message::InGracePeriod { lease, ballot });
        }
        if self.registers.len() >= MAX_LEASES && !self.registers.contains_key(&lease) {
            return Some(Message::Rejected { lease, ballot, promised: ballot });
        }
        let register = self.registers.entry(lease).or_default();
        let promised = register.promised;
        match *request {
            Message::Prepare { .. } if ballot > promised => {
                register.promised = ballot;
                Some(Message::Promise { lease, ballot, accepted: register.accepted_lease(now, rules) })
            }
            // The ballot is exactly the last promised one, so this acceptor has accepted nothing since its
            // promise that the proposer does not know of.
            Message::Accept { value, .. }
                if ballot == promised && value.duration_ticks <= rules.max_duration.0 =>
            {
                register.accepted = Some(AcceptedValue { value, accepted_at: now });
                Some(Message::Accepted { lease, ballot })
            }
            _ => Some(Message::Rejected { lease, ballot, promised }),
        }
    }
}
