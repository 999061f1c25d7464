//! Chooses the address for each outgoing message. A message whose receiver has no known address is dropped.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use doorproxy::ids::Timestamp;
use doorproxy_fleet_health::gossip;
use doorproxy_leases::{lease_client, messages as lease_messages};
use doorproxy_membership::message::NodeId;
use doorproxy_membership::node::MembershipNode;
use doorproxy_membership::outgoing::OutgoingMessage;
use doorproxy_peer_transport::datagram::Channel;
use doorproxy_quotas::node as quota_node;
use serde::Serialize;

use super::control_loop::PeerLoop;
use super::socket::PeerSocket;
use crate::fault_reports;

/// The peer that sent the message now being handled.
#[derive(Clone, Copy)]
pub struct Requester {
    pub node: NodeId,
    pub address: SocketAddr,
}

impl PeerLoop {
    /// Sends requests of this balancer's lease clients to replicas. A replica in this process is called
    /// directly, and its response is handled at once, since it may complete a majority.
    pub fn send_lease_requests(
        &mut self,
        socket: &PeerSocket,
        now: Timestamp,
        outgoing: lease_client::Outgoing,
    ) {
        let local_node = NodeId::from_name(&self.members.settings().name);
        let mut local_messages = VecDeque::new();
        for OutgoingMessage { to: replica, message } in outgoing {
            if replica == local_node {
                local_messages.push_back(message);
            } else if let Some(address) = self.replica_address(replica) {
                self.send_lease_message(socket, address, message);
            }
        }
        while let Some(message) = local_messages.pop_front() {
            let envelope = self.lease_envelope(message);
            let Some(leases) = &mut self.leases else { return };
            let outgoing = leases.on_message(now, &envelope);
            if envelope.message.is_request() {
                local_messages.extend(outgoing.into_iter().map(|response| response.message));
            } else {
                self.send_lease_requests(socket, now, outgoing);
            }
        }
    }

    /// Sends one message about a lease to an address.
    pub fn send_lease_message(
        &self,
        socket: &PeerSocket,
        receiver: SocketAddr,
        message: lease_messages::Message,
    ) {
        socket.send(Channel::Leases, receiver, &self.lease_envelope(message));
    }

    fn lease_envelope(&self, message: lease_messages::Message) -> lease_messages::Envelope {
        lease_messages::Envelope { sender: self.members.settings().name.clone(), message }
    }

    /// Sends messages about quotas. Messages to the requester are responses.
    pub fn send_quota_messages(
        &self,
        socket: &PeerSocket,
        outgoing: quota_node::Outgoing,
        requester: Option<Requester>,
    ) {
        let Some(quotas) = &self.quotas else { return };
        let messages = outgoing.into_iter().map(|outgoing| (outgoing.to, quotas.envelope(outgoing.message)));
        self.send_to_replicas(socket, Channel::Quotas, messages, requester);
    }

    /// Sends fault reports. Messages to the requester are responses.
    pub fn send_fault_reports(
        &self,
        socket: &PeerSocket,
        outgoing: fault_reports::Outgoing,
        requester: Option<Requester>,
    ) {
        let Some(reporter) = &self.fault_reporter else { return };
        let messages =
            outgoing.into_iter().map(|outgoing| (outgoing.to, reporter.with_author(outgoing.message)));
        self.send_to_replicas(socket, Channel::FaultReports, messages, requester);
    }

    /// Sends overrides to the addresses that the gossip chose.
    pub fn send_overrides(&self, socket: &PeerSocket, outgoing: gossip::Outgoing) {
        for OutgoingMessage { to, message } in outgoing {
            socket.send(Channel::Overrides, to, &message);
        }
    }

    /// Sends responses to the address that the request came from, and all other messages to replicas.
    fn send_to_replicas(
        &self,
        socket: &PeerSocket,
        channel: Channel,
        messages: impl IntoIterator<Item = (NodeId, impl Serialize)>,
        requester: Option<Requester>,
    ) {
        for (receiver, message) in messages {
            let requester = requester.filter(|requester| requester.node == receiver);
            let address =
                requester.map(|requester| requester.address).or_else(|| self.replica_address(receiver));
            if let Some(address) = address {
                socket.send(channel, address, &message);
            }
        }
    }

    fn replica_address(&self, replica: NodeId) -> Option<SocketAddr> {
        let replicas = &self.members.settings().registry_replicas;
        replicas.iter().find(|(name, _)| NodeId::from_name(name) == replica).map(|(_, address)| *address)
    }
}

/// Returns the addresses of all peers that may exist: the known members, the registry replicas and the
/// seeds.
pub fn possible_peers(members: &MembershipNode) -> Vec<SocketAddr> {
    let settings = members.settings();
    let known = members.member_list().others().map(|(_, member)| member.address);
    let configured = settings.registry_replicas.values().chain(&settings.seeds).copied();
    let is_remote = |address: &SocketAddr| *address != settings.advertised_address;
    let addresses: BTreeSet<SocketAddr> = known.chain(configured).filter(is_remote).collect();
    addresses.into_iter().collect()
}
