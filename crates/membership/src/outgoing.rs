//! The results that a state machine returns to its driver: messages to send and the time of the next call.

use doorproxy::ids::Timestamp;

use crate::message::NodeId;

/// Pairs a message with its recipient, which is a node unless `A` is another type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage<M, A = NodeId> {
    /// Holds the recipient, which may be the sending node itself.
    pub to: A,
    /// Holds the message without its envelope.
    pub message: M,
}

/// Holds the result of a call of `tick`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TickResult<M, A = NodeId> {
    /// Lists the messages to send, in this order.
    pub outgoing: Vec<OutgoingMessage<M, A>>,
    /// Holds the latest time for the next call of `tick`.
    pub next_tick_at: Timestamp,
}
