//! Applies gossip to the member list.

use std::collections::BTreeSet;

use doorproxy::ids::Timestamp;

use super::suspicion::INDEPENDENT_SUSPICIONS;
use super::{ChangeCause, Member, MemberChange, MemberList};
use crate::message::{Incarnation, MemberState, MemberUpdate, NodeId};

/// Limits the number of other members; no fleet is that large.
const MAX_MEMBERS: usize = 4000;

impl MemberList {
    /// Applies an update that the node `from` has sent.
    pub fn apply_update(&mut self, now: Timestamp, from: &str, update: &MemberUpdate) {
        if update.name == self.local.name {
            return self.apply_local_update(update);
        }
        let Some(known) = self.others.get(&update.name) else {
            return self.add_member(now, from, update);
        };
        if update.incarnation < known.incarnation {
            return;
        }
        if update.incarnation > known.incarnation {
            return self.apply_restart(now, from, update);
        }
        if supersedes(update, known) {
            self.apply_state(now, from, update);
        }
        if update.state == MemberState::Suspect {
            self.add_suspicion(from, update);
        }
    }

    fn add_member(&mut self, now: Timestamp, from: &str, update: &MemberUpdate) {
        // Dead or departed members that were never known are not added, since there is nothing to spread
        // about them.
        let is_present = update.state <= MemberState::Suspect;
        if !is_present || self.others.len() >= MAX_MEMBERS {
            return;
        }
        let member = Member {
            incarnation: update.incarnation,
            address: update.address,
            zone: update.zone.clone(),
            refutation_count: update.refutation_count,
            state: update.state,
            state_since: now,
            suspected_by: BTreeSet::new(),
            retransmits_left: self.retransmit_limit(),
        };
        self.others.insert(update.name.clone(), member);
        let cause = ChangeCause::Introduced { from: from.to_string() };
        self.changes.push(MemberChange { name: update.name.clone(), state: update.state, cause });
    }

    /// Replaces a member by its restarted process. What was believed about the earlier process does not apply
    /// to the new one.
    fn apply_restart(&mut self, now: Timestamp, from: &str, update: &MemberUpdate) {
        if let Some(known) = self.others.get_mut(&update.name) {
            known.incarnation = update.incarnation;
            known.address = update.address;
            known.zone = update.zone.clone();
            known.refutation_count = update.refutation_count;
        }
        let cause = ChangeCause::Restarted { from: from.to_string() };
        self.set_state(now, &update.name, update.state, cause);
    }

    fn apply_state(&mut self, now: Timestamp, from: &str, update: &MemberUpdate) {
        if let Some(known) = self.others.get_mut(&update.name) {
            known.refutation_count = update.refutation_count;
            known.address = update.address;
        }
        let cause = match update.state {
            MemberState::Alive => ChangeCause::Refuted,
            MemberState::Left => ChangeCause::Left,
            MemberState::Suspect | MemberState::Dead => ChangeCause::Reported { from: from.to_string() },
        };
        self.set_state(now, &update.name, update.state, cause);
    }

    /// Counts an independent suspicion and sends gossip about the member again (Lifeguard).
    fn add_suspicion(&mut self, from: &str, update: &MemberUpdate) {
        let retransmit_limit = self.retransmit_limit();
        let Some(known) = self.others.get_mut(&update.name) else { return };
        let is_same_suspicion = known.state == MemberState::Suspect
            && update.refutation_count == known.refutation_count
            && known.suspected_by.len() < INDEPENDENT_SUSPICIONS;
        if is_same_suspicion && known.suspected_by.insert(NodeId::from_name(from)) {
            known.retransmits_left = known.retransmits_left.max(retransmit_limit);
        }
    }

    /// Handles gossip about this process, and refutes it where it is wrong.
    fn apply_local_update(&mut self, update: &MemberUpdate) {
        if update.incarnation > self.local.incarnation {
            // The wall clock was set back since an earlier process ran, so this process takes a number above
            // that of the earlier one.
            self.local.incarnation = Incarnation(update.incarnation.0 + 1);
            self.local.refutation_count = 0;
            self.local_retransmits_left = self.retransmit_limit();
            return;
        }
        let is_wrong = update.incarnation == self.local.incarnation
            && update.state != MemberState::Alive
            && update.refutation_count >= self.local.refutation_count;
        if is_wrong && self.local.state != MemberState::Left {
            self.local.refutation_count = update.refutation_count + 1;
            self.local_retransmits_left = self.retransmit_limit();
            self.adjust_local_health(false);
        }
    }
}

/// Returns whether an update replaces the known state of the same process, by SWIM's order: a higher
/// refutation count wins, and at the same count the worse state wins. A dead member needs a higher count to
/// return, and a member that has left never returns.
fn supersedes(update: &MemberUpdate, known: &Member) -> bool {
    let is_newer = update.refutation_count > known.refutation_count;
    let is_as_new = update.refutation_count >= known.refutation_count;
    match (update.state, known.state) {
        (_, MemberState::Left) => false,
        (MemberState::Left, _) => true,
        (MemberState::Dead, MemberState::Dead) => false,
        (MemberState::Dead, _) => is_as_new,
        (_, MemberState::Dead) => is_newer,
        (MemberState::Suspect, MemberState::Suspect) => is_newer,
        (MemberState::Suspect, MemberState::Alive) => is_as_new,
        (MemberState::Alive, _) => is_newer,
    }
}
