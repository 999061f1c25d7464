//! The interface through which a [`MembershipNode`](crate::node::MembershipNode) acts on the outside.

use std::net::SocketAddr;

use crate::member_list::MemberChange;
use crate::message::Envelope;

/// Sends the messages of a node and reports its membership changes. Messages may be lost, delayed, duplicated
/// or reordered.
pub trait Effects {
    /// Sends a message to the address `recipient`.
    fn send(&mut self, recipient: SocketAddr, message: Envelope);

    /// Reports a membership change, for the log.
    fn on_member_change(&mut self, change: MemberChange);
}
