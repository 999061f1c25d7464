//! The relay of one connection, which passes its bytes in order and with the impairments of their path.

use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;

use doorproxy_test_servers::clock::{self, MS, Micros, SECOND};
use doorproxy_test_servers::upstream::ConnectionOrigin;
use socket2::SockRef;
use tokio::net::{TcpSocket, TcpStream};

use super::impairment::NetworkPath;
use super::listeners::reset_on_close;
use super::{FaultProxy, Impairment, lock};

/// The number of bytes held for one direction; beyond it the relay stops reading, and the sender's buffers
/// fill as on a real network.
const MAX_BUFFERED_BYTES: usize = 256 << 10;
const READ_BUFFER_BYTES: usize = 16 << 10;
/// The delay that a lost packet adds to a connection: the minimum retransmission timeout of TCP on
/// Linux.
const RETRANSMIT_DELAY: Micros = 200 * MS;
/// The number of arrival times that are kept if nothing reads them.
const MAX_ARRIVAL_MARKS: usize = 4096;
/// The number of writes per second on a path with limited bandwidth.
const WRITES_PER_SECOND: f64 = 50.0;

/// The end of one direction of a connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// The direction ended without a reset: the sender closed its side, or the path truncated it.
    Finished,
    /// The connection was reset.
    Reset,
}

/// The bytes that one direction holds.
#[derive(Default)]
struct RelayBuffer {
    /// The chunks, with the time at which each is due.
    chunks: VecDeque<(Micros, Vec<u8>)>,
    length: usize,
    /// The number of bytes that have arrived since the connection began.
    arrived: u64,
    /// The time at which the last chunk is due; no later chunk may be due before it.
    last_due: Micros,
    /// The end of the sender's side, once it has ended.
    end: Option<StreamEnd>,
}

impl RelayBuffer {
    fn next_due(&self) -> Option<Micros> {
        self.chunks.front().map(|(due, _)| *due)
    }

    fn take_due(&mut self, now: Micros) -> Option<Vec<u8>> {
        self.next_due().filter(|due| *due <= now)?;
        let (_, chunk) = self.chunks.pop_front()?;
        self.length -= chunk.len();
        Some(chunk)
    }

    fn push(&mut self, due: Micros, chunk: &[u8]) {
        self.last_due = due.max(self.last_due);
        self.length += chunk.len();
        self.chunks.push_back((self.last_due, chunk.to_vec()));
    }
}

impl FaultProxy {
    /// Connects to a node on behalf of another and relays both directions until both have ended, or one is
    /// reset.
    pub(super) async fn relay_connection(self: Arc<Self>, near: TcpStream, from: String, to: String) {
        let _ = near.set_nodelay(true);
        let Ok((far, origin)) = self.dial(&from, &to).await else {
            return reset_on_close(&near);
        };
        let own_address = far.local_addr();
        let _ = far.set_nodelay(true);
        let forward = self.relay_bytes(&near, &far, self.path(&from, &to), Some(&origin));
        let backward = self.relay_bytes(&far, &near, self.path(&to, &from), None);
        tokio::pin!(forward, backward);
        let mut forward_ended = false;
        let mut backward_ended = false;
        let end = loop {
            let end = tokio::select! {
                biased;
                end = &mut forward, if !forward_ended => { forward_ended = true; end }
                end = &mut backward, if !backward_ended => { backward_ended = true; end }
            };
            if end == StreamEnd::Reset || forward_ended && backward_ended {
                break end;
            }
        };
        if end == StreamEnd::Reset {
            reset_on_close(&near);
            reset_on_close(&far);
        }
        if let Ok(address) = own_address {
            lock(&self.origins).remove(&address);
        }
    }

    /// Connects from an address that is registered before the connection is established, so that the node
    /// that accepts it can look up the caller.
    async fn dial(&self, from: &str, to: &str) -> io::Result<(TcpStream, ConnectionOrigin)> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(self.addresses.source(from))?;
        let own_address = socket.local_addr()?;
        let origin = ConnectionOrigin { from: from.to_string(), entered: Arc::default() };
        lock(&self.origins).insert(own_address, origin.clone());
        let connected = socket.connect(self.addresses.connect_target(from, to)).await;
        if connected.is_err() {
            lock(&self.origins).remove(&own_address);
        }
        connected.map(|far| (far, origin))
    }

    /// Forwards the bytes of one direction in order, with the impairments of the path, and returns how it
    /// ended.
    async fn relay_bytes(
        &self,
        from: &TcpStream,
        to: &TcpStream,
        path: Arc<NetworkPath>,
        origin: Option<&ConnectionOrigin>,
    ) -> StreamEnd {
        let mut impairment = path.subscribe();
        let mut buffer = RelayBuffer::default();
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        loop {
            let current = *impairment.borrow_and_update();
            let now = self.clock.now();
            if !current.is_blocked() {
                let was_empty = buffer.chunks.is_empty();
                if let Some(chunk) = buffer.take_due(now) {
                    match self.write_chunk(to, &chunk, &current).await {
                        Ok(None) => continue,
                        Ok(Some(end)) => return end,
                        Err(_) => return StreamEnd::Reset,
                    }
                }
                if was_empty && let Some(end) = buffer.end {
                    if end == StreamEnd::Finished {
                        let _ = SockRef::from(to).shutdown(Shutdown::Write);
                    }
                    return end;
                }
            }
            let due = buffer.next_due();
            let waits_for_due = due.is_some() && !current.is_blocked();
            let may_read = buffer.end.is_none() && buffer.length < MAX_BUFFERED_BYTES;
            tokio::select! {
                biased;
                _ = impairment.changed() => {}
                () = self.clock.sleep_until(due.unwrap_or(0)), if waits_for_due => {}
                ready = from.readable(), if may_read => {
                    let read = ready.and_then(|()| from.try_read(&mut bytes));
                    self.receive(&mut buffer, read.map(|read| &bytes[..read]), &current, origin);
                }
            }
        }
    }

    /// Handles the result of a read: holds its bytes until they are due, or notes the end.
    fn receive(
        &self,
        buffer: &mut RelayBuffer,
        read: io::Result<&[u8]>,
        impairment: &Impairment,
        origin: Option<&ConnectionOrigin>,
    ) {
        match read {
            Ok([]) => buffer.end = Some(StreamEnd::Finished),
            Ok(chunk) => {
                let now = self.clock.now();
                buffer.arrived += chunk.len() as u64;
                if let Some(origin) = origin {
                    mark_arrival(origin, buffer.arrived, now);
                }
                let is_lost = self.random_unit() < impairment.loss_ratio;
                let retransmit_delay = if is_lost { RETRANSMIT_DELAY } else { 0 };
                buffer.push(now + impairment.delay + retransmit_delay, chunk);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => buffer.end = Some(StreamEnd::Reset),
        }
    }

    /// Writes a chunk. If the path resets or truncates the connection, writes the first half and returns
    /// which.
    async fn write_chunk(
        &self,
        to: &TcpStream,
        chunk: &[u8],
        impairment: &Impairment,
    ) -> io::Result<Option<StreamEnd>> {
        let draw = self.random_unit();
        let end = if draw < impairment.reset_ratio {
            Some(StreamEnd::Reset)
        } else if draw < impairment.reset_ratio + impairment.truncate_ratio {
            Some(StreamEnd::Finished)
        } else {
            None
        };
        let length = if end.is_some() { chunk.len() / 2 } else { chunk.len() };
        write_limited(to, &chunk[..length], impairment.bytes_per_second).await?;
        if end == Some(StreamEnd::Finished) {
            // The receiver sees the connection end within a message; later bytes of the sender are dropped.
            SockRef::from(to).shutdown(Shutdown::Write)?;
        }
        Ok(end)
    }
}

/// Writes all bytes, with limited bandwidth if there is a limit.
async fn write_limited(to: &TcpStream, bytes: &[u8], bytes_per_second: Option<f64>) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let length = match bytes_per_second {
            Some(rate) => {
                let length = ((rate / WRITES_PER_SECOND) as usize).clamp(1, rest.len());
                clock::sleep((length as f64 / rate * SECOND as f64) as Micros).await;
                length
            }
            None => rest.len(),
        };
        to.writable().await?;
        match to.try_write(&rest[..length]) {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Records the time at which the bytes up to this position arrived.
fn mark_arrival(origin: &ConnectionOrigin, position: u64, now: Micros) {
    let mut marks = lock(&origin.entered);
    marks.push_back((position, now));
    if marks.len() > MAX_ARRIVAL_MARKS {
        marks.pop_front();
    }
}
