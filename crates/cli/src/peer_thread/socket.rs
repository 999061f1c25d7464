//! The UDP socket of the peer thread and the codec that seals and opens its datagrams.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use doorproxy::ids::Timestamp;
use doorproxy_balancer::log_line;
use doorproxy_balancer::runtime::Runtime;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_membership::member_list::MemberChange;
use doorproxy_membership::message::Envelope;
use doorproxy_membership::node::Effects;
use doorproxy_peer_transport::datagram::{Channel, DatagramCodec, DatagramError, MAX_DATAGRAM_BYTES};
use serde::Serialize;

use super::pacing::{MAX_RECEIVE_WAIT, SEND_TIMEOUT};
use super::status::member_state_name;

/// A buffer one byte larger than a valid datagram, so that an oversized one is not truncated to a valid one.
pub type ReceiveBuffer = [u8; MAX_DATAGRAM_BYTES + 1];

/// A received datagram that has not been opened yet.
pub struct ReceivedDatagram<'a> {
    pub bytes: &'a [u8],
    pub sender: SocketAddr,
}

/// A bound socket and its codec.
pub struct PeerSocket {
    socket: UdpSocket,
    codec: DatagramCodec,
    sole_since: Timestamp,
}

impl PeerSocket {
    /// Binds the address exclusively: peers know only one process of each name, the one that holds the
    /// address.
    pub fn bind(
        runtime: SystemRuntime,
        address: SocketAddr,
        codec: &DatagramCodec,
    ) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(address)?;
        // Read once the address is bound: a predecessor may have answered until just before.
        let sole_since = runtime.now();
        socket.set_write_timeout(Some(SEND_TIMEOUT))?;
        Ok(PeerSocket { socket, codec: codec.clone(), sole_since })
    }

    /// Returns the time since when this process holds the address, so that no other process answers in the
    /// name of its node.
    pub fn sole_since(&self) -> Timestamp {
        self.sole_since
    }

    /// Waits until the predecessor of this process frees the address. Until then, peers know only the
    /// predecessor, which stands for both. Returns `None` if a stop is requested first.
    pub fn wait_for_address(
        runtime: SystemRuntime,
        address: SocketAddr,
        codec: &DatagramCodec,
        stop_requested: &AtomicBool,
    ) -> Option<PeerSocket> {
        log_line!(
            runtime,
            "members: address {address} is in use, probably by the predecessor; \
             this process joins once it is free"
        );
        while !stop_requested.load(Ordering::Relaxed) {
            if let Ok(socket) = PeerSocket::bind(runtime, address, codec) {
                return Some(socket);
            }
            std::thread::sleep(MAX_RECEIVE_WAIT);
        }
        None
    }

    /// Sends one message. A message that is too large or can't be sent is dropped, which the protocols
    /// tolerate like loss on the network.
    pub fn send(&self, channel: Channel, receiver: SocketAddr, message: &impl Serialize) {
        if let Some(datagram) = self.codec.seal(channel, message) {
            let _ = self.socket.send_to(&datagram, receiver);
        }
    }

    /// Receives one datagram. Returns `None` if none arrives within the timeout.
    pub fn receive<'a>(
        &self,
        timeout: Duration,
        buffer: &'a mut ReceiveBuffer,
    ) -> Option<ReceivedDatagram<'a>> {
        let _ = self.socket.set_read_timeout(Some(timeout));
        let (length, sender) = self.socket.recv_from(buffer).ok()?;
        Some(ReceivedDatagram { bytes: &buffer[..length], sender })
    }

    /// Opens a datagram, and returns its channel and content.
    ///
    /// # Errors
    /// Returns an error if the datagram is malformed, or was sealed with another key or version.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<(Channel, &'a [u8]), DatagramError> {
        self.codec.open(datagram)
    }
}

/// Sends the messages of the membership protocol and logs its member changes.
pub struct MemberEffects<'a> {
    pub runtime: SystemRuntime,
    pub socket: &'a PeerSocket,
}

impl Effects for MemberEffects<'_> {
    fn send(&mut self, to: SocketAddr, message: Envelope) {
        self.socket.send(Channel::Membership, to, &message);
    }

    fn on_member_change(&mut self, change: MemberChange) {
        let MemberChange { name, state, cause } = change;
        log_line!(self.runtime, "members: {name} is {}: {cause}", member_state_name(state));
    }
}
