//! Probes of other members: directly, through helpers, and on behalf of other members.

use std::net::SocketAddr;

use doorproxy::ids::Timestamp;

use super::{Effects, MembershipNode, Peer};
use crate::ids::Nonce;
use crate::member_list::PeerAddress;
use crate::message::{MemberState, Message};

/// Limits the helpers that probe a member that did not answer.
const INDIRECT_PROBES: usize = 3;
/// Sets how long a direct probe waits for its answer before helpers are asked, in protocol periods.
const DIRECT_PROBE_RATIO: f64 = 0.3;
/// Sets the interval, in protocol periods, at which a dead member or a configured address is sent a `Join`.
const RECONNECT_PERIODS: u64 = 5;
/// Limits the outstanding pings on behalf of other members; further requests are ignored.
const MAX_RELAYED_PINGS: usize = 64;

/// Holds the probe of the current period.
pub(super) struct OutstandingProbe {
    nonce: Nonce,
    name: String,
    /// Holds the time when helpers are asked, or `None` once they were asked.
    indirect_at: Option<Timestamp>,
    fails_at: Timestamp,
    /// Counts the helpers that have sent neither an `Ack` nor a `Nack`. It is 1, for the probed member
    /// itself, while no helper was asked.
    missing_replies: usize,
}

impl OutstandingProbe {
    pub fn next_event_at(&self) -> Timestamp {
        self.indirect_at.unwrap_or(self.fails_at)
    }
}

/// Describes a ping that was sent on behalf of another member.
pub(super) struct RelayedPing {
    requester_nonce: Nonce,
    requester: SocketAddr,
    pub expires_at: Timestamp,
}

impl MembershipNode {
    pub(super) fn begin_period(&mut self, now: Timestamp, effects: &mut impl Effects) {
        self.period_count += 1;
        let is_alone = self.member_list.present().next().is_none();
        if is_alone {
            self.join_known_addresses(effects);
        } else if self.period_count.is_multiple_of(RECONNECT_PERIODS) {
            self.reconnect(effects);
        }
        if self.probe.is_some() {
            return;
        }
        if let Some(target) = self.next_probe_target() {
            self.start_probe(now, target, effects);
        }
    }

    fn start_probe(&mut self, now: Timestamp, target: PeerAddress, effects: &mut impl Effects) {
        let nonce = self.next_nonce();
        let period = self.member_list.scaled_by_health(self.settings.protocol_period);
        self.probe = Some(OutstandingProbe {
            nonce,
            name: target.name.clone(),
            indirect_at: Some(now + period.mul_f64(DIRECT_PROBE_RATIO)),
            fails_at: now + period,
            missing_replies: 1,
        });
        self.send(effects, target.address, Some(&target.name), Message::Ping(nonce));
    }

    /// Returns the next member to probe. Each round visits all members in a new random order, so that a
    /// failure is detected within a round (SWIM).
    fn next_probe_target(&mut self) -> Option<PeerAddress> {
        if let Some(target) = self.next_present_in_round() {
            return Some(target);
        }
        self.begin_round();
        self.next_present_in_round()
    }

    fn begin_round(&mut self) {
        let members = self.member_list.sample(&mut self.rng, usize::MAX, "");
        self.probe_order = members.into_iter().map(|member| member.name).collect();
    }

    fn next_present_in_round(&mut self) -> Option<PeerAddress> {
        while let Some(name) = self.probe_order.pop_front() {
            let member = self.member_list.get(&name).filter(|member| member.state <= MemberState::Suspect);
            if let Some(address) = member.map(|member| member.address) {
                return Some(PeerAddress { name, address });
            }
        }
        None
    }

    pub(super) fn advance_probe(&mut self, now: Timestamp, effects: &mut impl Effects) {
        let Some(probe) = &mut self.probe else { return };
        let fails_at = probe.fails_at;
        if probe.indirect_at.take_if(|indirect_at| *indirect_at <= now).is_some() {
            self.send_indirect_pings(effects);
        }
        if fails_at <= now {
            self.fail_probe(now);
        }
    }

    fn send_indirect_pings(&mut self, effects: &mut impl Effects) {
        let Some(probe) = &mut self.probe else { return };
        let (nonce, target) = (probe.nonce, probe.name.clone());
        let helpers = self.member_list.sample(&mut self.rng, INDIRECT_PROBES, &target);
        if !helpers.is_empty() {
            probe.missing_replies = helpers.len();
        }
        for helper in helpers {
            let message = Message::IndirectPing(nonce, target.clone());
            self.send(effects, helper.address, Some(&helper.name), message);
        }
    }

    fn fail_probe(&mut self, now: Timestamp) {
        let Some(probe) = self.probe.take() else { return };
        // A helper that sent not even a `Nack` suggests that this node's own network is at fault. If all
        // helpers sent one, the fault lies with the member (Lifeguard).
        for _ in 0..probe.missing_replies {
            self.member_list.adjust_local_health(false);
        }
        self.member_list.suspect(now, &probe.name);
    }

    pub(super) fn on_ack(&mut self, now: Timestamp, peer: &Peer, nonce: Nonce, effects: &mut impl Effects) {
        if let Some(ping) = self.relayed_pings.remove(&nonce) {
            return self.send(effects, ping.requester, None, Message::Ack(ping.requester_nonce));
        }
        let Some(probe) = self.probe.take_if(|probe| probe.nonce == nonce) else { return };
        self.member_list.adjust_local_health(true);
        // A helper's `Ack` carries the helper's incarnation and says nothing about that of the probed member.
        if probe.name == peer.name {
            self.member_list.on_ack(now, &peer.name, peer.incarnation);
        }
    }

    pub(super) fn on_nack(&mut self, nonce: Nonce) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.nonce == nonce) {
            probe.missing_replies = probe.missing_replies.saturating_sub(1);
        }
    }

    pub(super) fn relay_ping(
        &mut self,
        now: Timestamp,
        requester: &Peer,
        requester_nonce: Nonce,
        target: &str,
        effects: &mut impl Effects,
    ) {
        let Some(member) = self.member_list.get(target) else { return };
        let address = member.address;
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS {
            return;
        }
        let nonce = self.next_nonce();
        let expires_at = now + self.settings.protocol_period.mul_f64(DIRECT_PROBE_RATIO);
        let ping = RelayedPing { requester_nonce, requester: requester.address, expires_at };
        self.relayed_pings.insert(nonce, ping);
        self.send(effects, address, Some(target), Message::Ping(nonce));
    }

    /// Sends a `Nack` for each relayed ping whose target has not answered in time.
    pub(super) fn expire_relayed_pings(&mut self, now: Timestamp, effects: &mut impl Effects) {
        let is_expired = |_: &Nonce, ping: &mut RelayedPing| ping.expires_at <= now;
        let expired: Vec<RelayedPing> =
            self.relayed_pings.extract_if(.., is_expired).map(|(_, ping)| ping).collect();
        for ping in expired {
            self.send(effects, ping.requester, None, Message::Nack(ping.requester_nonce));
        }
    }

    /// Returns the addresses of the seeds and replicas, without this node's own address.
    fn known_addresses(&self) -> Vec<SocketAddr> {
        let replicas = self.settings.registry_replicas.values();
        let addresses = self.settings.seeds.iter().chain(replicas).copied();
        addresses.filter(|address| *address != self.settings.advertised_address).collect()
    }

    fn join_known_addresses(&mut self, effects: &mut impl Effects) {
        for address in self.known_addresses() {
            self.send(effects, address, None, Message::Join);
        }
    }

    /// Contacts a dead member or a configured address, since either may be reachable again after a network
    /// partition.
    fn reconnect(&mut self, effects: &mut impl Effects) {
        if let Some(member) = self.member_list.sample_dead(&mut self.rng) {
            return self.send(effects, member.address, Some(&member.name), Message::Join);
        }
        let addresses = self.known_addresses();
        let index = (self.rng.next_f64() * addresses.len() as f64) as usize;
        if let Some(&address) = addresses.get(index) {
            self.send(effects, address, None, Message::Join);
        }
    }
}
