//! A simulated TCP network whose hosts can lose power and whose paths can be partitioned.
//!
//! The network owns every connection and every segment in transit. It decides when segments arrive and how
//! bytes are split, and never reads their content.

mod connection;
mod delivery;
mod socket_calls;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::task::Waker;

use crate::kernel::{Event, HostId, Kernel, ProcessId, Side, SocketId};
use crate::time::{MS, Micros};
use connection::{Connection, Segment, Socket};

/// The longest delay of a retransmitted segment after its path works again, in addition to 1 ms.
const MAX_RETRANSMIT_DELAY: Micros = 200 * MS;

/// The state of the network.
#[derive(Default)]
pub struct Network {
    /// The one-way latency, without jitter.
    pub latency: Micros,
    /// The maximum jitter that is added to each segment's latency.
    pub jitter: Micros,
    /// The latency that faults add.
    pub extra_latency: Micros,
    /// The granularity of arrival times: they are rounded up to multiples of this, so that arrivals coincide.
    pub tick: Micros,
    /// The hosts without power, which neither send nor receive.
    hosts_off: BTreeSet<HostId>,
    /// The partitioned paths, in one direction each, and the number of faults that partition them.
    partitions: BTreeMap<(HostId, HostId), u32>,
    listeners: BTreeMap<SocketAddr, ListenerState>,
    unresponsive_listeners: BTreeSet<SocketAddr>,
    /// The delay that faults add to the accepting of connections, by listener.
    accept_delays: BTreeMap<SocketAddr, Micros>,
    connections: BTreeMap<u64, Connection>,
    /// The receivers of lost segments, which are retransmitted once the path works again.
    lost_segments: BTreeSet<SocketId>,
    last_connection_id: u64,
}

struct ListenerState {
    process: ProcessId,
    host: HostId,
    backlog: VecDeque<u64>,
    backlog_limit: usize,
    waker: Option<Waker>,
}

impl Network {
    /// Makes a listener ignore connection requests, or respond to them again.
    pub fn set_unresponsive(&mut self, listener: SocketAddr, is_unresponsive: bool) {
        if is_unresponsive {
            self.unresponsive_listeners.insert(listener);
        } else {
            self.unresponsive_listeners.remove(&listener);
        }
    }

    /// Sets the delay with which a listener accepts connections, or removes it.
    pub fn set_accept_delay(&mut self, listener: SocketAddr, delay: Option<Micros>) {
        match delay {
            Some(delay) => self.accept_delays.insert(listener, delay),
            None => self.accept_delays.remove(&listener),
        };
    }

    /// Returns the number of open sockets of a process.
    pub fn open_connections_of(&self, process: ProcessId) -> usize {
        let sockets = self.connections.values().flat_map(|connection| &connection.sockets);
        sockets.filter(|socket| socket.process == Some(process) && socket.is_open).count()
    }

    /// Returns whether any connection to this address is being established.
    pub fn is_connecting(&self, address: SocketAddr) -> bool {
        self.connections.values().any(|connection| {
            connection.destination == address
                && !connection.is_established
                && !connection.is_refused
                && connection.sockets[Side::Connector as usize].is_open
        })
    }

    /// Partitions the path from one host to another. Each call needs its own [`Network::heal`].
    pub fn partition(&mut self, from: HostId, to: HostId) {
        *self.partitions.entry((from, to)).or_default() += 1;
    }

    /// Undoes one [`Network::partition`] of a path, and retransmits lost segments.
    pub fn heal(&mut self, kernel: &mut Kernel, from: HostId, to: HostId) {
        if let Some(count) = self.partitions.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.partitions.remove(&(from, to));
            }
        }
        self.retransmit_lost(kernel);
    }

    /// Powers off a host.
    pub fn power_off(&mut self, host: HostId) {
        self.hosts_off.insert(host);
    }

    /// Powers on a host, and retransmits lost segments.
    pub fn power_on(&mut self, kernel: &mut Kernel, host: HostId) {
        self.hosts_off.remove(&host);
        self.retransmit_lost(kernel);
    }

    fn retransmit_lost(&mut self, kernel: &mut Kernel) {
        for receiver in std::mem::take(&mut self.lost_segments) {
            let delay = MS + kernel.random_below(MAX_RETRANSMIT_DELAY);
            let due = self.round_up_to_tick(kernel.now + delay);
            let socket = self.socket_mut(receiver);
            if let Some((at, _)) = socket.and_then(|socket| socket.incoming.front_mut()) {
                *at = due;
                kernel.schedule(due, Event::Arrival(receiver));
            }
        }
    }

    fn round_up_to_tick(&self, at: Micros) -> Micros {
        at.next_multiple_of(self.tick.max(1))
    }

    fn is_partitioned(&self, from: HostId, to: HostId) -> bool {
        self.hosts_off.contains(&from)
            || self.hosts_off.contains(&to)
            || self.partitions.contains_key(&(from, to))
    }

    /// Closes the sockets and listeners of a killed process. Its peers receive a reset, unless the process's
    /// host has no power.
    pub fn close_process_sockets(&mut self, kernel: &mut Kernel, process: ProcessId) {
        self.listeners.retain(|_, listener| listener.process != process);
        let mut resets = Vec::new();
        for (&id, connection) in &mut self.connections {
            for side in [Side::Connector, Side::Acceptor] {
                let socket = &mut connection.sockets[side as usize];
                if socket.process == Some(process) && socket.is_open {
                    socket.is_open = false;
                    socket.is_reset = true;
                    resets.push((SocketId { connection: id, side: side.peer() }, socket.host));
                }
            }
        }
        for (receiver, host) in resets {
            if host.is_none_or(|host| !self.hosts_off.contains(&host)) {
                self.send(kernel, receiver, Segment::Reset);
            }
        }
        self.connections.retain(|_, connection| connection.sockets.iter().any(|socket| socket.is_open));
    }

    fn socket(&self, id: SocketId) -> Option<&Socket> {
        Some(&self.connections.get(&id.connection)?.sockets[id.side as usize])
    }

    fn socket_mut(&mut self, id: SocketId) -> Option<&mut Socket> {
        Some(&mut self.connections.get_mut(&id.connection)?.sockets[id.side as usize])
    }
}
