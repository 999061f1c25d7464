//! A connection, its two sockets, and the segments in transit to each.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::task::Waker;

use crate::kernel::{HostId, ProcessId};
use crate::time::Micros;

/// The maximum number of bytes that one side has sent and the other has not read yet.
pub(super) const RECEIVE_WINDOW_BYTES: usize = 256 << 10;

pub(super) struct Connection {
    pub destination: SocketAddr,
    pub is_established: bool,
    pub is_refused: bool,
    pub connect_waker: Option<Waker>,
    /// The two sockets, by [`Side`](crate::kernel::Side).
    pub sockets: [Socket; 2],
}

pub(super) struct ReceivedChunk {
    pub bytes: Vec<u8>,
    pub consumed: usize,
    pub sent_at: Micros,
}

#[derive(Default)]
pub(super) struct Socket {
    pub process: Option<ProcessId>,
    pub host: Option<HostId>,
    /// True if the socket belongs to a process, or waits in the backlog to be accepted.
    pub is_open: bool,
    pub receive_queue: VecDeque<ReceivedChunk>,
    pub unread_bytes: usize,
    /// True once the peer's FIN has arrived.
    pub has_received_fin: bool,
    pub is_reset: bool,
    pub has_sent_fin: bool,
    /// The number of sent bytes that the peer has not read yet.
    pub bytes_in_flight: usize,
    /// The segments in transit to this socket with their arrival times, in the order in which they were sent.
    pub incoming: VecDeque<(Micros, Segment)>,
    pub read_waker: Option<Waker>,
    pub write_waker: Option<Waker>,
    /// The number of bytes that the process has read.
    pub bytes_read: u64,
    /// The value of `bytes_read` when the process shut down its sending side or closed the socket.
    pub bytes_read_at_close: Option<u64>,
}

impl Socket {
    pub fn wake_all(&mut self) {
        wake(&mut self.read_waker);
        wake(&mut self.write_waker);
    }

    /// Returns true if there is nothing to read: no bytes, no FIN and no reset.
    pub fn is_idle(&self) -> bool {
        self.receive_queue.is_empty() && !self.has_received_fin && !self.is_reset
    }
}

/// A segment in transit to one side of a connection.
pub(super) enum Segment {
    Syn,
    SynAck,
    Refused,
    Bytes { bytes: Vec<u8>, sent_at: Micros },
    Fin,
    Reset,
}

impl Segment {
    /// Returns whether the segment is part of the handshake. Lost handshake segments are not retransmitted,
    /// because the connecting process gives up before that.
    pub fn is_handshake(&self) -> bool {
        matches!(self, Segment::Syn | Segment::SynAck | Segment::Refused)
    }
}

pub(super) fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}
