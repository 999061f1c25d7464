//! The socket calls of processes: listen, accept, connect, read, write and close.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};

use super::connection::{Connection, RECEIVE_WINDOW_BYTES, Segment, Socket, wake};
use super::{ListenerState, Network};
use crate::kernel::{HostId, Kernel, ProcessId, Side, SocketId};
use crate::time::Micros;
use crate::trace::EventKind;

/// One read in this many returns only a few bytes.
const SHORT_READ_ONE_IN: u64 = 8;
/// The maximum number of bytes that a short read returns.
const MAX_SHORT_READ_BYTES: u64 = 16;
/// One write in this many takes only a part of the bytes.
const PARTIAL_WRITE_ONE_IN: u64 = 6;
/// One write in this many is sent as two segments.
const SPLIT_WRITE_ONE_IN: u64 = 4;

impl Network {
    /// Listens on an address. At most `backlog_limit` connections may wait to be accepted.
    ///
    /// # Errors
    ///
    /// Fails if the address already has a listener.
    pub fn listen(
        &mut self,
        process: ProcessId,
        host: HostId,
        address: SocketAddr,
        backlog_limit: usize,
    ) -> io::Result<()> {
        if self.listeners.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let listener = ListenerState { process, host, backlog: VecDeque::new(), backlog_limit, waker: None };
        self.listeners.insert(address, listener);
        Ok(())
    }

    /// Removes a listener of the process, and closes the connections that wait to be accepted.
    pub fn stop_listening(&mut self, kernel: &mut Kernel, process: ProcessId, address: SocketAddr) {
        if self.listeners.get(&address).is_some_and(|listener| listener.process == process)
            && let Some(listener) = self.listeners.remove(&address)
        {
            for connection in listener.backlog {
                self.close(kernel, SocketId { connection, side: Side::Acceptor });
            }
        }
    }

    /// Accepts the next connection of a listener.
    ///
    /// # Errors
    ///
    /// Fails if the process does not listen on the address.
    pub fn poll_accept(
        &mut self,
        cx: &mut Context,
        process: ProcessId,
        address: SocketAddr,
    ) -> Poll<io::Result<SocketId>> {
        let listener = self.listeners.get_mut(&address).filter(|listener| listener.process == process);
        let Some(listener) = listener else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        match listener.backlog.pop_front() {
            Some(connection) => Poll::Ready(Ok(SocketId { connection, side: Side::Acceptor })),
            None => {
                listener.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    /// Starts to connect to an address, and returns the connecting socket.
    pub fn connect(
        &mut self,
        kernel: &mut Kernel,
        process: ProcessId,
        host: HostId,
        destination: SocketAddr,
        destination_host: HostId,
    ) -> SocketId {
        self.last_connection_id += 1;
        let id = self.last_connection_id;
        let connector =
            Socket { process: Some(process), host: Some(host), is_open: true, ..Socket::default() };
        let acceptor = Socket { host: Some(destination_host), ..Socket::default() };
        let connection = Connection {
            destination,
            is_established: false,
            is_refused: false,
            connect_waker: None,
            sockets: [connector, acceptor],
        };
        self.connections.insert(id, connection);
        let socket = SocketId { connection: id, side: Side::Connector };
        self.send(kernel, socket.peer(), Segment::Syn);
        socket
    }

    /// Polls whether a connection is established.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or gone.
    pub fn poll_connected(&mut self, cx: &mut Context, socket: SocketId) -> Poll<io::Result<()>> {
        let Some(connection) = self.connections.get_mut(&socket.connection) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        if connection.is_refused {
            return Poll::Ready(Err(io::ErrorKind::ConnectionRefused.into()));
        }
        if connection.is_established {
            return Poll::Ready(Ok(()));
        }
        connection.connect_waker = Some(cx.waker().clone());
        Poll::Pending
    }

    /// Reads bytes that have arrived, possibly fewer than are available. Returns 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection is reset or closed.
    pub fn poll_recv(
        &mut self,
        kernel: &mut Kernel,
        cx: &mut Context,
        id: SocketId,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let is_short = kernel.random_below(SHORT_READ_ONE_IN) == 0;
        let limit =
            if is_short { 1 + kernel.random_below(MAX_SHORT_READ_BYTES) as usize } else { usize::MAX };
        let limit = limit.min(buffer.len());
        let Some(socket) = self.socket_mut(id) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let Some(chunk) = socket.receive_queue.front_mut() else {
            if socket.is_reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if socket.has_received_fin {
                return Poll::Ready(Ok(0));
            }
            socket.read_waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        let read = limit.min(chunk.bytes.len() - chunk.consumed);
        buffer[..read].copy_from_slice(&chunk.bytes[chunk.consumed..chunk.consumed + read]);
        chunk.consumed += read;
        if chunk.consumed == chunk.bytes.len() {
            socket.receive_queue.pop_front();
        }
        socket.unread_bytes -= read;
        socket.bytes_read += read as u64;
        if let Some(peer) = self.socket_mut(id.peer()) {
            peer.bytes_in_flight = peer.bytes_in_flight.saturating_sub(read);
            wake(&mut peer.write_waker);
        }
        Poll::Ready(Ok(read))
    }

    /// Sends as many of the bytes as the network accepts. Without a context, no task is woken once it accepts
    /// more.
    ///
    /// # Errors
    ///
    /// Fails if the connection is reset or closed, or its sending side is shut down.
    pub fn poll_send(
        &mut self,
        kernel: &mut Kernel,
        cx: Option<&mut Context>,
        id: SocketId,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let is_partial = kernel.random_below(PARTIAL_WRITE_ONE_IN) == 0;
        let limit =
            if is_partial { 1 + kernel.random_below(bytes.len() as u64) as usize } else { bytes.len() };
        let is_split = kernel.random_below(SPLIT_WRITE_ONE_IN) == 0;
        let Some(socket) = self.socket_mut(id) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        if socket.is_reset || socket.has_sent_fin {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let window = RECEIVE_WINDOW_BYTES.saturating_sub(socket.bytes_in_flight);
        let length = limit.min(bytes.len()).min(window);
        if length == 0 && !bytes.is_empty() {
            socket.write_waker = cx.map(|cx| cx.waker().clone());
            return Poll::Pending;
        }
        socket.bytes_in_flight += length;
        let first_length =
            if is_split && length > 1 { 1 + kernel.random_below(length as u64 - 1) as usize } else { length };
        let sent_at = kernel.now;
        for part in [&bytes[..first_length], &bytes[first_length..length]] {
            if !part.is_empty() {
                self.send(kernel, id.peer(), Segment::Bytes { bytes: part.to_vec(), sent_at });
            }
        }
        Poll::Ready(Ok(length))
    }

    /// Sends bytes as one segment, even if the receive window is full.
    pub fn send_unsplit(&mut self, kernel: &mut Kernel, id: SocketId, bytes: Vec<u8>) {
        let sent_at = kernel.now;
        if let Some(socket) = self.socket_mut(id) {
            socket.bytes_in_flight += bytes.len();
            self.send(kernel, id.peer(), Segment::Bytes { bytes, sent_at });
        }
    }

    /// Shuts down the sending side of a socket.
    pub fn shutdown_write(&mut self, kernel: &mut Kernel, id: SocketId) {
        let Some(socket) = self.socket_mut(id) else { return };
        if socket.has_sent_fin || socket.is_reset {
            return;
        }
        socket.has_sent_fin = true;
        socket.bytes_read_at_close = Some(socket.bytes_read);
        let SocketId { connection, side } = id;
        let line = format_args!("connection {connection} shut down for writing by side {}", side as u64);
        kernel.record_event(EventKind::SendingEnded, &[connection, side as u64], line);
        self.send(kernel, id.peer(), Segment::Fin);
    }

    /// Closes a socket. If it has unread bytes, the peer receives a reset instead of a FIN, as with real TCP
    /// stacks.
    pub fn close(&mut self, kernel: &mut Kernel, id: SocketId) {
        let Some(socket) = self.socket_mut(id) else { return };
        if !socket.is_open {
            return;
        }
        socket.is_open = false;
        socket.bytes_read_at_close.get_or_insert(socket.bytes_read);
        let unread = socket.unread_bytes;
        let process = socket.process.map_or(0, |process| process.0);
        if unread > 0 {
            self.send(kernel, id.peer(), Segment::Reset);
        } else {
            self.shutdown_write(kernel, id);
        }
        let connection = id.connection;
        let line =
            format_args!("connection {connection} closed by process {process} with {unread} unread bytes");
        let numbers = [connection, u64::from(process), unread as u64];
        kernel.record_event(EventKind::ConnectionClosed, &numbers, line);
        self.remove_connection_if_closed(connection);
    }

    fn remove_connection_if_closed(&mut self, id: u64) {
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.is_established && connection.sockets.iter().all(|socket| !socket.is_open) {
            self.connections.remove(&id);
        }
    }

    /// Returns true if there is nothing to read: no bytes, no FIN and no reset.
    pub fn is_idle(&self, id: SocketId) -> bool {
        self.socket(id).is_some_and(Socket::is_idle)
    }

    /// Returns true if a FIN or a reset has arrived, or the connection is gone, even if there are unread
    /// bytes.
    pub fn is_read_closed(&self, id: SocketId) -> bool {
        self.socket(id).is_none_or(|socket| socket.has_received_fin || socket.is_reset)
    }

    /// Returns the time at which the next unread bytes were sent, if there are any.
    pub fn next_chunk_sent_at(&self, id: SocketId) -> Option<Micros> {
        self.socket(id)?.receive_queue.front().map(|chunk| chunk.sent_at)
    }

    /// Returns the number of bytes that the peer's process had read when it shut down its sending side or
    /// closed the socket, or has read until now.
    pub fn bytes_read_by_peer(&self, id: SocketId) -> u64 {
        let peer = self.socket(id.peer());
        peer.map_or(0, |socket| socket.bytes_read_at_close.unwrap_or(socket.bytes_read))
    }

    /// Drops the waker of the task that waits to read, which simulates a lost wake-up.
    pub fn drop_read_waker(&mut self, id: SocketId) {
        if let Some(socket) = self.socket_mut(id) {
            socket.read_waker = None;
        }
    }

    /// Returns whether the peer has not yet read some of the sent bytes.
    pub fn has_bytes_in_flight(&self, id: SocketId) -> bool {
        self.socket(id).is_some_and(|socket| socket.bytes_in_flight > 0)
    }

    /// Returns the host of the peer, if the connection exists.
    pub fn peer_host(&self, id: SocketId) -> Option<HostId> {
        self.socket(id.peer())?.host
    }
}
