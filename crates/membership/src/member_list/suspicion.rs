//! Suspicion: when an unresponsive member becomes suspect, and when it is declared dead.

use doorproxy::ids::{Ticks, Timestamp};

use super::{ChangeCause, Member, MemberList, log_of_size};
use crate::message::{Incarnation, MemberState, NodeId};

/// Sets the shortest suspicion timeout, in protocol periods times the logarithm of the number of members.
const MIN_SUSPICION_FACTOR: f64 = 4.0;
/// Sets the longest suspicion timeout, in multiples of the shortest one.
const MAX_SUSPICION_FACTOR: f64 = 6.0;
/// Sets the number of independent suspicions at which the timeout is shortest.
pub(super) const INDEPENDENT_SUSPICIONS: usize = 3;
/// Sets how long a dead or departed member is remembered, in protocol periods. Without the entry, late gossip
/// could add the member again, and the two sides of a network partition could not find each other afterwards.
const DEAD_RETENTION_PERIODS: f64 = 600.0;

impl MemberList {
    /// Returns the timeout of a suspicion, which is shorter the more nodes suspect the member independently
    /// (Lifeguard's LHA-Suspicion).
    fn suspicion_timeout(&self, member: &Member) -> Ticks {
        let min_timeout = self
            .scaled_by_health(self.protocol_period)
            .mul_f64(MIN_SUSPICION_FACTOR * log_of_size(self.others.len()));
        // A small fleet has fewer nodes that could confirm a suspicion, so no more are expected than exist.
        let max_suspicions = INDEPENDENT_SUSPICIONS.min(self.others.len().saturating_sub(1));
        if max_suspicions < 2 {
            return min_timeout;
        }
        let suspicion_count = member.suspected_by.len().max(1);
        let confirmed_ratio = (suspicion_count as f64).ln() / (max_suspicions as f64).ln();
        let factor = MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * confirmed_ratio;
        min_timeout.mul_f64(factor.max(1.0))
    }

    /// Suspects a member that has answered neither this process nor its helpers.
    pub fn suspect(&mut self, now: Timestamp, name: &str) {
        let Some(member) = self.others.get(name) else { return };
        if member.state == MemberState::Alive {
            self.set_state(now, name, MemberState::Suspect, ChangeCause::NoAnswer);
        }
        let local_node = NodeId::from_name(&self.local.name);
        if let Some(member) = self.others.get_mut(name)
            && member.state == MemberState::Suspect
        {
            member.suspected_by.insert(local_node);
        }
    }

    /// Handles a member's answer to a probe of this process.
    ///
    /// A dead member becomes suspect, so that it learns of this through gossip and refutes it. A suspicion
    /// remains until the member itself refutes it, so that the beliefs of all nodes converge.
    pub fn on_ack(&mut self, now: Timestamp, name: &str, incarnation: Incarnation) {
        let Some(member) = self.others.get(name) else { return };
        if member.incarnation == incarnation && member.state == MemberState::Dead {
            self.set_state(now, name, MemberState::Suspect, ChangeCause::AnsweredWhileDead);
        }
    }

    /// Declares members dead whose suspicion has timed out, and removes those that have been dead or gone for
    /// longer than `DEAD_RETENTION_PERIODS`.
    pub fn expire(&mut self, now: Timestamp) {
        for name in self.timed_out_suspects(now) {
            let suspicion_count = self.others[&name].suspected_by.len().max(1);
            self.set_state(now, &name, MemberState::Dead, ChangeCause::NotRefuted { suspicion_count });
        }
        let retention = self.protocol_period.mul_f64(DEAD_RETENTION_PERIODS);
        self.others.retain(|_, member| member.is_present() || now - member.state_since < retention);
    }

    fn timed_out_suspects(&self, now: Timestamp) -> Vec<String> {
        let is_timed_out = |member: &Member| {
            member.state == MemberState::Suspect && now - member.state_since >= self.suspicion_timeout(member)
        };
        let suspects = self.others.iter().filter(|(_, member)| is_timed_out(member));
        suspects.map(|(name, _)| name.clone()).collect()
    }
}
