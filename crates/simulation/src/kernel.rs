//! The clock, the random numbers, the event queue and the trace of one run.

use std::collections::BTreeMap;
use std::fmt::Arguments;
use std::task::Waker;

use doorproxy::rng::Pcg;

use crate::time::Micros;
use crate::trace::{EventKind, Trace};

/// The number of a simulated process. A restarted node is a new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId(pub u32);

/// The number of a host in the simulated network.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HostId(pub u32);

/// A side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The side that connects.
    Connector = 0,
    /// The side that accepts.
    Acceptor = 1,
}

impl Side {
    /// Returns the other side.
    pub fn peer(self) -> Side {
        match self {
            Side::Connector => Side::Acceptor,
            Side::Acceptor => Side::Connector,
        }
    }
}

/// Identifies one side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SocketId {
    /// The number of the connection. Connections are numbered in the order in which they are started.
    pub connection: u64,
    /// The side of the connection.
    pub side: Side,
}

impl SocketId {
    /// Returns the socket of the other side.
    pub fn peer(self) -> SocketId {
        SocketId { connection: self.connection, side: self.side.peer() }
    }
}

/// An event that is scheduled for a virtual time.
pub enum Event {
    /// A timer of a task expires.
    Wake(Waker),
    /// A task that became ready while its process was stalled continues.
    Resume(u64),
    /// The next segment for this socket may be due.
    Arrival(SocketId),
}

/// The key that orders events in the queue: by time, then by the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EventKey {
    /// The time at which the event is due.
    pub at: Micros,
    sequence: u64,
}

/// The clock, the random numbers, the events and the trace that every part of a run shares. A seed must
/// always give the same run, so the machine's clock and random numbers are not used.
pub struct Kernel {
    /// The virtual time.
    pub now: Micros,
    /// The random number generator that tasks, network and endpoints share.
    pub rng: Pcg,
    /// The trace of the run so far.
    pub trace: Trace,
    pub(crate) events: BTreeMap<EventKey, Event>,
    last_sequence: u64,
}

impl Kernel {
    /// Creates a kernel at time 0. The text of the trace is kept only if `keeps_trace_text` is set.
    pub fn new(seed: u64, keeps_trace_text: bool) -> Kernel {
        Kernel {
            now: 0,
            rng: Pcg::new(seed),
            trace: Trace::new(keeps_trace_text),
            events: BTreeMap::new(),
            last_sequence: 0,
        }
    }

    /// Schedules an event, after the events that are already due at the same time.
    pub fn schedule(&mut self, at: Micros, event: Event) -> EventKey {
        self.last_sequence += 1;
        let key = EventKey { at: at.max(self.now), sequence: self.last_sequence };
        self.events.insert(key, event);
        key
    }

    /// Draws an integer from 0 up to, but not including, the limit.
    pub fn random_below(&mut self, limit: u64) -> u64 {
        random_below(&mut self.rng, limit)
    }

    /// Records an event in the trace, with its numbers and a readable line.
    pub fn record_event(&mut self, kind: EventKind, numbers: &[u64], line: Arguments) {
        self.trace.event(self.now, kind, numbers, line);
    }

    /// Records a line that a process logs.
    pub fn record_log(&mut self, line: Arguments) {
        self.trace.message(self.now, line);
    }
}

/// Draws an integer from 0 up to, but not including, the limit. Returns 0 without a draw if the limit is 0.
pub fn random_below(rng: &mut Pcg, limit: u64) -> u64 {
    if limit == 0 { 0 } else { (u64::from(rng.next_u32()) * limit) >> 32 }
}
