//! Dissemination: which updates are piggybacked on a message.

use std::cmp::Reverse;

use super::{Member, MemberList, log_of_size};
use crate::message::{MAX_UPDATES_PER_SYNC, MemberState, MemberUpdate};

/// Sets how often an update is sent, in multiples of the logarithm of the number of members.
const RETRANSMIT_FACTOR: f64 = 4.0;
/// Limits the bytes of updates in a datagram.
const MAX_PIGGYBACK_BYTES: usize = 950;
/// Limits the updates in one message. With a low limit, updates fail to reach all members when a tenth of all
/// datagrams is lost.
const MAX_PIGGYBACK_UPDATES: usize = 24;
/// Bounds the encoded size of an update without its name and zone.
const MAX_FIXED_UPDATE_BYTES: usize = 40;

/// Returns an upper bound of the encoded size of an update.
fn max_encoded_bytes(update: &MemberUpdate) -> usize {
    update.name.len() + update.zone.len() + MAX_FIXED_UPDATE_BYTES
}

fn update_of(name: &str, member: &Member) -> MemberUpdate {
    MemberUpdate {
        name: name.to_string(),
        incarnation: member.incarnation,
        address: member.address,
        zone: member.zone.clone(),
        refutation_count: member.refutation_count,
        state: member.state,
    }
}

impl MemberList {
    /// Returns how often an update is sent in a fleet of the current size.
    pub(super) fn retransmit_limit(&self) -> u32 {
        (RETRANSMIT_FACTOR * log_of_size(self.others.len())).ceil() as u32
    }

    /// Selects the updates for a message to this recipient. The first is what others suspect about the
    /// recipient, so that it can refute it (Lifeguard's buddy system); then come the updates that were sent
    /// least often. The updates count as sent even if the message is lost.
    pub fn next_updates(&mut self, recipient: Option<&str>) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        updates.extend(recipient.and_then(|recipient| self.refutable_update_for(recipient)));
        if self.local_retransmits_left > 0 {
            self.local_retransmits_left -= 1;
            updates.push(self.local.clone());
        }
        let used_bytes = updates.iter().map(max_encoded_bytes).sum();
        let free_bytes = MAX_PIGGYBACK_BYTES.saturating_sub(used_bytes);
        self.take_due_updates(free_bytes, &mut updates);
        updates
    }

    /// Returns the recipient's own entry if it is suspected or believed dead, so that it can refute that.
    fn refutable_update_for(&self, recipient: &str) -> Option<MemberUpdate> {
        let (name, member) = self.others.get_key_value(recipient)?;
        let is_refutable = matches!(member.state, MemberState::Suspect | MemberState::Dead);
        is_refutable.then(|| update_of(name, member))
    }

    /// Appends due updates until the first one that does not fit.
    fn take_due_updates(&mut self, mut free_bytes: usize, updates: &mut Vec<MemberUpdate>) {
        for name in self.due_names() {
            let Some(member) = self.others.get_mut(&name) else { continue };
            let update = update_of(&name, member);
            let update_bytes = max_encoded_bytes(&update);
            if update_bytes > free_bytes {
                break;
            }
            free_bytes -= update_bytes;
            member.retransmits_left -= 1;
            updates.push(update);
        }
    }

    /// Returns the members whose updates are due, those sent least often first.
    fn due_names(&self) -> Vec<String> {
        let mut due: Vec<(u32, &String)> = self
            .others
            .iter()
            .filter(|(_, member)| member.retransmits_left > 0)
            .map(|(name, member)| (member.retransmits_left, name))
            .collect();
        due.sort_by_key(|&entry| Reverse(entry));
        due.truncate(MAX_PIGGYBACK_UPDATES);
        due.into_iter().map(|(_, name)| name.clone()).collect()
    }

    /// Returns all present members, this process first, in chunks of one message each.
    pub fn full_state(&self) -> Vec<Vec<MemberUpdate>> {
        let others = self.present().map(|(name, member)| update_of(name, member));
        let all: Vec<MemberUpdate> = std::iter::once(self.local.clone()).chain(others).collect();
        all.chunks(MAX_UPDATES_PER_SYNC).map(<[MemberUpdate]>::to_vec).collect()
    }
}
