//! Sends segments and handles their arrival.

use super::Network;
use super::connection::{ReceivedChunk, Segment, wake};
use crate::kernel::{Event, Kernel, Side, SocketId};
use crate::time::Micros;

/// The next segment for a socket.
enum Arrival {
    Received(Segment),
    /// A segment was lost and is not retransmitted.
    Dropped,
    /// No segment is due, or the next one was lost and waits for the path to work again.
    NotDue,
}

impl Network {
    /// Delivers every segment that is due at a socket.
    pub fn deliver(&mut self, kernel: &mut Kernel, receiver: SocketId) {
        loop {
            match self.next_arrival(kernel.now, receiver) {
                Arrival::Received(segment) => self.receive_segment(kernel, receiver, segment),
                Arrival::Dropped => {}
                Arrival::NotDue => return,
            }
        }
    }

    /// Removes the next segment that is due at a socket and returns it.
    fn next_arrival(&mut self, now: Micros, receiver: SocketId) -> Arrival {
        let sender_host = self.socket(receiver.peer()).and_then(|socket| socket.host);
        let Some(socket) = self.socket(receiver) else { return Arrival::NotDue };
        let is_partitioned = match (sender_host, socket.host) {
            (Some(from), Some(to)) => self.is_partitioned(from, to),
            _ => false,
        };
        let is_handshake = match socket.incoming.front() {
            Some((due, segment)) if *due <= now => segment.is_handshake(),
            _ => return Arrival::NotDue,
        };
        if is_partitioned && !is_handshake {
            self.lost_segments.insert(receiver);
            return Arrival::NotDue;
        }
        let incoming = self.socket_mut(receiver).and_then(|socket| socket.incoming.pop_front());
        match incoming {
            Some((_, segment)) if !is_partitioned => Arrival::Received(segment),
            Some(_) => Arrival::Dropped,
            None => Arrival::NotDue,
        }
    }

    fn receive_segment(&mut self, kernel: &mut Kernel, receiver: SocketId, segment: Segment) {
        // Some operating systems discard unread bytes when a reset arrives.
        let discards_unread = matches!(segment, Segment::Reset) && kernel.random_below(2) == 0;
        match segment {
            Segment::Syn => self.receive_syn(kernel, receiver.connection),
            Segment::SynAck => self.finish_handshake(receiver.connection, true),
            Segment::Refused => self.finish_handshake(receiver.connection, false),
            Segment::Bytes { bytes, sent_at } => self.receive_bytes(kernel, receiver, bytes, sent_at),
            Segment::Fin => {
                if let Some(socket) = self.socket_mut(receiver) {
                    socket.has_received_fin = true;
                    wake(&mut socket.read_waker);
                }
            }
            Segment::Reset => self.receive_reset(receiver, discards_unread),
        }
    }

    fn finish_handshake(&mut self, connection: u64, is_accepted: bool) {
        let Some(connection) = self.connections.get_mut(&connection) else { return };
        if is_accepted {
            connection.is_established = true;
        } else {
            connection.is_refused = true;
        }
        wake(&mut connection.connect_waker);
    }

    fn receive_bytes(&mut self, kernel: &mut Kernel, receiver: SocketId, bytes: Vec<u8>, sent_at: Micros) {
        let Some(socket) = self.socket_mut(receiver) else { return };
        if !socket.is_open {
            // The process has closed the socket.
            self.send(kernel, receiver.peer(), Segment::Reset);
        } else if !socket.is_reset {
            socket.unread_bytes += bytes.len();
            socket.receive_queue.push_back(ReceivedChunk { bytes, consumed: 0, sent_at });
            wake(&mut socket.read_waker);
        }
    }

    fn receive_reset(&mut self, receiver: SocketId, discards_unread: bool) {
        let Some(connection) = self.connections.get_mut(&receiver.connection) else { return };
        let socket = &mut connection.sockets[receiver.side as usize];
        socket.is_reset = true;
        if discards_unread {
            socket.receive_queue.clear();
            socket.unread_bytes = 0;
        }
        socket.wake_all();
        if receiver.side == Side::Connector && !connection.is_established {
            connection.is_refused = true;
            wake(&mut connection.connect_waker);
        }
    }

    /// Handles a connection request at its destination. It is ignored if the listener is unresponsive or its
    /// backlog is full, and refused if there is no listener.
    fn receive_syn(&mut self, kernel: &mut Kernel, id: u64) {
        let Some(connection) = self.connections.get(&id) else { return };
        let destination = connection.destination;
        if self.unresponsive_listeners.contains(&destination) {
            return;
        }
        let connector = SocketId { connection: id, side: Side::Connector };
        let Some(listener) = self.listeners.get_mut(&destination) else {
            return self.send(kernel, connector, Segment::Refused);
        };
        if listener.backlog.len() >= listener.backlog_limit {
            return;
        }
        listener.backlog.push_back(id);
        wake(&mut listener.waker);
        let process = listener.process;
        let host = listener.host;
        if let Some(socket) = self.socket_mut(connector.peer()) {
            socket.process = Some(process);
            socket.host = Some(host);
            socket.is_open = true;
        }
        let delay = self.accept_delays.get(&destination).copied().unwrap_or(0);
        self.send_delayed(kernel, connector, Segment::SynAck, delay);
    }

    /// Sends a segment, which arrives after earlier segments to the same receiver.
    pub(super) fn send(&mut self, kernel: &mut Kernel, receiver: SocketId, segment: Segment) {
        self.send_delayed(kernel, receiver, segment, 0);
    }

    fn send_delayed(&mut self, kernel: &mut Kernel, receiver: SocketId, segment: Segment, delay: Micros) {
        let jitter = kernel.random_below(self.jitter + 1);
        let travel_time = self.latency + self.extra_latency + jitter + delay;
        let due = self.round_up_to_tick(kernel.now + travel_time);
        let Some(socket) = self.socket_mut(receiver) else { return };
        let due = socket.incoming.back().map_or(due, |(previous, _)| due.max(*previous));
        socket.incoming.push_back((due, segment));
        kernel.schedule(due, Event::Arrival(receiver));
    }
}
