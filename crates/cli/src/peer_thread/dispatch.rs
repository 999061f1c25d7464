//! Passes received datagrams to the protocol of their channel.

use std::net::SocketAddr;

use doorproxy::ids::Timestamp;
use doorproxy_fleet_health::gossip;
use doorproxy_leases::messages as lease_messages;
use doorproxy_membership::message::Envelope;
use doorproxy_peer_transport::datagram::{Channel, DatagramCodec, DatagramError};
use doorproxy_quotas::messages as quota_messages;

use super::control_loop::PeerLoop;
use super::delivery::Requester;
use super::socket::{MemberEffects, PeerSocket, ReceivedDatagram};
use crate::fault_reports::AuthoredMessage;

impl PeerLoop {
    /// Handles a datagram and sends the responses.
    ///
    /// # Errors
    /// Returns an error if the datagram can't be opened or its message can't be decoded.
    pub fn dispatch(
        &mut self,
        socket: &PeerSocket,
        now: Timestamp,
        datagram: &ReceivedDatagram,
    ) -> Result<(), DatagramError> {
        let sender = datagram.sender;
        let (channel, bytes) = socket.open(datagram.bytes)?;
        match channel {
            Channel::Membership => {
                let message: Envelope = DatagramCodec::decode(bytes)?;
                let mut effects = MemberEffects { runtime: self.runtime, socket };
                self.members.on_message(now, sender, message, &mut effects);
            }
            Channel::Leases => self.on_lease_message(socket, now, sender, &DatagramCodec::decode(bytes)?),
            Channel::FaultReports => {
                self.on_fault_report(socket, now, sender, &DatagramCodec::decode(bytes)?)
            }
            Channel::Overrides => self.on_overrides(socket, now, sender, &DatagramCodec::decode(bytes)?),
            Channel::Quotas => self.on_quota_message(socket, now, sender, &DatagramCodec::decode(bytes)?),
        }
        Ok(())
    }

    /// Handles a message about a lease. A request is answered to its sender. A response can cause further
    /// requests, which go to replicas.
    fn on_lease_message(
        &mut self,
        socket: &PeerSocket,
        now: Timestamp,
        sender: SocketAddr,
        envelope: &lease_messages::Envelope,
    ) {
        let Some(leases) = &mut self.leases else { return };
        for outgoing in leases.on_message(now, envelope) {
            if envelope.message.is_request() {
                self.send_lease_message(socket, sender, outgoing.message);
            } else {
                self.send_lease_requests(socket, now, vec![outgoing]);
            }
        }
    }

    fn on_fault_report(
        &mut self,
        socket: &PeerSocket,
        now: Timestamp,
        sender: SocketAddr,
        message: &AuthoredMessage,
    ) {
        let Some(fault_reporter) = &mut self.fault_reporter else { return };
        let outgoing = fault_reporter.on_message(now, message);
        let requester = Requester { node: message.author, address: sender };
        self.send_fault_reports(socket, outgoing, Some(requester));
    }

    /// Merges overrides of a peer. They are locked while the message is handled, but not while the answer is
    /// sent.
    fn on_overrides(
        &mut self,
        socket: &PeerSocket,
        now: Timestamp,
        sender: SocketAddr,
        message: &gossip::Message,
    ) {
        let outgoing = {
            let mut overrides = self.peer_state.overrides();
            self.gossip.on_message(now, sender, message, &mut overrides)
        };
        self.send_overrides(socket, outgoing);
    }

    fn on_quota_message(
        &mut self,
        socket: &PeerSocket,
        now: Timestamp,
        sender: SocketAddr,
        envelope: &quota_messages::Envelope,
    ) {
        let Some(quotas) = &mut self.quotas else { return };
        let outgoing = quotas.on_message(now, envelope);
        let requester = Requester { node: envelope.sender.node, address: sender };
        self.send_quota_messages(socket, outgoing, Some(requester));
    }
}
