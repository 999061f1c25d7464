//! The member list: this process's view of the other nodes. It follows SWIM, with suspicion and
//! refutation counts, and Lifeguard's three adaptations for a node that is itself slow.
//!
//! Sources: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
//! Motivala 2002) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar,
//! Phillips, Currey 2018).
//!
//! The list holds beliefs, which may be wrong. No decision that could overload an endpoint may depend on
//! them; use the counts of [`registry`](crate::registry) for that.

mod change;
mod dissemination;
mod suspicion;
mod update;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::Pcg;

pub use crate::member_list::change::{ChangeCause, MemberChange};
use crate::message::{Incarnation, MemberState, MemberUpdate, NodeId};

/// Limits the local health multiplier (Lifeguard's S), so that a slow node waits at most 9 times as long.
const MAX_LOCAL_HEALTH: u32 = 8;

/// Describes a member other than this process.
#[derive(Clone, Debug)]
pub struct Member {
    /// Identifies the member's process.
    pub incarnation: Incarnation,
    /// Holds the member's address.
    pub address: SocketAddr,
    /// Names the member's zone.
    pub zone: String,
    /// Counts the member's refutations.
    pub refutation_count: u32,
    /// Holds the member's state in this process's view.
    pub state: MemberState,
    /// Holds the time when the member entered that state.
    pub state_since: Timestamp,
    /// Holds the nodes that suspect the member.
    suspected_by: BTreeSet<NodeId>,
    /// Tells how many more times gossip about the member is sent.
    retransmits_left: u32,
}

impl Member {
    /// Returns whether the member is believed to be neither dead nor to have left.
    fn is_present(&self) -> bool {
        self.state <= MemberState::Suspect
    }
}

/// Holds a member's name and address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Names the member.
    pub name: String,
    /// Holds the member's address.
    pub address: SocketAddr,
}

impl PeerAddress {
    fn of(name: &str, member: &Member) -> PeerAddress {
        PeerAddress { name: name.to_string(), address: member.address }
    }
}

/// Holds the members of the fleet in this process's view.
#[derive(Debug)]
pub struct MemberList {
    protocol_period: Ticks,
    local: MemberUpdate,
    local_retransmits_left: u32,
    others: BTreeMap<String, Member>,
    /// Holds Lifeguard's local health multiplier: 0 means healthy, and a higher value a slower process.
    pub local_health_multiplier: u32,
    changes: Vec<MemberChange>,
}

impl MemberList {
    /// Creates a list that contains only this process.
    pub fn new(local: MemberUpdate, protocol_period: Ticks) -> MemberList {
        let mut list = MemberList {
            protocol_period,
            local,
            local_retransmits_left: 0,
            others: BTreeMap::new(),
            local_health_multiplier: 0,
            changes: Vec::new(),
        };
        list.local_retransmits_left = list.retransmit_limit();
        list
    }

    /// Returns this process as gossip describes it.
    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// Returns the incarnation of this process. It differs from the one in the settings if the wall clock was
    /// set back since an earlier process ran.
    pub fn incarnation(&self) -> Incarnation {
        self.local.incarnation
    }

    /// Returns all other members by name, including dead ones.
    pub fn others(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.others.iter()
    }

    /// Returns the other member with this name.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.others.get(name)
    }

    /// Returns the other members that are believed to be neither dead nor to have left.
    pub fn present(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.others.iter().filter(|(_, member)| member.is_present())
    }

    /// Returns the number of members in the state `Alive`, including this process.
    pub fn alive_count(&self) -> usize {
        1 + self.others.values().filter(|member| member.state == MemberState::Alive).count()
    }

    /// Scales a timeout by the local health multiplier, so that a slow process waits longer (Lifeguard).
    pub fn scaled_by_health(&self, duration: Ticks) -> Ticks {
        duration.mul_f64(f64::from(self.local_health_multiplier + 1))
    }

    /// Adjusts the local health multiplier after a probe by this process has succeeded or failed (Lifeguard).
    pub fn adjust_local_health(&mut self, is_healthy: bool) {
        self.local_health_multiplier = if is_healthy {
            self.local_health_multiplier.saturating_sub(1)
        } else {
            (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH)
        };
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<MemberChange> {
        std::mem::take(&mut self.changes)
    }

    fn set_state(&mut self, now: Timestamp, name: &str, state: MemberState, cause: ChangeCause) {
        let retransmit_limit = self.retransmit_limit();
        let Some(member) = self.others.get_mut(name) else { return };
        if member.state != state {
            self.changes.push(MemberChange { name: name.to_string(), state, cause });
        }
        member.state = state;
        member.state_since = now;
        member.retransmits_left = retransmit_limit;
        member.suspected_by.clear();
    }

    /// Marks this process as leaving, so that gossip announces it.
    pub fn leave(&mut self) {
        self.local.state = MemberState::Left;
        self.local_retransmits_left = self.retransmit_limit();
    }

    /// Draws up to `max_count` random present members, without the excluded one.
    pub fn sample(&self, rng: &mut Pcg, max_count: usize, excluded: &str) -> Vec<PeerAddress> {
        let mut candidates: Vec<PeerAddress> = self
            .present()
            .filter(|(name, _)| *name != excluded)
            .map(|(name, member)| PeerAddress::of(name, member))
            .collect();
        let mut drawn = Vec::new();
        while drawn.len() < max_count && !candidates.is_empty() {
            let index = (rng.next_f64() * candidates.len() as f64) as usize;
            drawn.push(candidates.swap_remove(index));
        }
        drawn
    }

    /// Draws a random dead member. After a network partition the two sides consider each other dead, and
    /// otherwise no node would contact the member again.
    pub fn sample_dead(&self, rng: &mut Pcg) -> Option<PeerAddress> {
        let is_dead = |(_, member): &(&String, &Member)| member.state == MemberState::Dead;
        let dead: Vec<_> = self.others.iter().filter(is_dead).collect();
        let index = (rng.next_f64() * dead.len() as f64) as usize;
        let (name, member) = dead.get(index)?;
        Some(PeerAddress::of(name, member))
    }
}

/// Returns the decimal logarithm of the group size, by which SWIM scales its constants, but at least 1.
fn log_of_size(other_count: usize) -> f64 {
    ((other_count + 1) as f64).log10().max(1.0)
}
