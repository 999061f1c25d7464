//! The trace of a run: one line for each event and for each message that a program logs.
//!
//! The digest of the events covers their numbers alone, so it does not depend on the wording of the lines.

use std::fmt::{self, Arguments, Display, Write};

use crate::time::{Micros, SECOND};

/// The kind of an event. The committed sums include these numbers, so a new kind needs an unused number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum EventKind {
    /// A rule was broken. Numbers: [`crate::rule::Rule`], then those of the violation.
    RuleBroken = 1,
    /// A client wrote the last byte of a request. Numbers: request, client's host, connection.
    RequestSent = 2,
    /// An endpoint received a complete request. Numbers: request, start of the endpoint, endpoint, balancer,
    /// time at which its first byte was sent.
    RequestReceived = 3,
    /// An endpoint executes a request. Numbers: request, attempt, endpoint.
    RequestExecuted = 4,
    /// A client received a complete response. Numbers: request, status.
    RequestAnswered = 5,
    /// A client received a part of a response and then the end of the connection. Number: request.
    ResponseTruncated = 6,
    /// One side of a connection stops sending. Numbers: connection, side.
    SendingEnded = 7,
    /// A process closes its side of a connection. Numbers: connection, process, count of unread bytes.
    ConnectionClosed = 8,
    /// The main task of a balancer ended. Numbers: balancer, start of the balancer, whether it failed.
    BalancerEnded = 9,
    /// A fault begins. Numbers: [`crate::scenario::Fault::numbers`].
    FaultBegan = 10,
    /// A fault ends. Numbers: [`crate::scenario::Fault::numbers`].
    FaultEnded = 11,
}

/// A checksum over a sequence of items, and their count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// The CRC-32C of all items in order.
    pub sum: u32,
    /// The number of items.
    pub count: u64,
}

impl Digest {
    fn add(&mut self, item: &[u8]) {
        self.sum = crc32c::crc32c_append(self.sum, item);
        self.count += 1;
    }
}

impl Display for Digest {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:08x} {}", self.sum, self.count)
    }
}

/// The trace of one run. Its text is kept only on request.
#[derive(Default)]
pub struct Trace {
    is_text_kept: bool,
    /// The lines; empty if the text is not kept.
    pub text: String,
    /// The digest of the events.
    pub events: Digest,
    /// The digest of all lines, including logged messages.
    pub lines: Digest,
    line_buffer: String,
    item_buffer: Vec<u8>,
}

impl Trace {
    /// Creates an empty trace.
    pub fn new(is_text_kept: bool) -> Trace {
        Trace { is_text_kept, ..Trace::default() }
    }

    /// Records an event. The numbers describe it completely; the line is for readers.
    pub fn event(&mut self, now: Micros, kind: EventKind, numbers: &[u64], line: Arguments) {
        self.item_buffer.clear();
        self.item_buffer.extend(now.to_le_bytes());
        self.item_buffer.push(kind as u8);
        self.item_buffer.extend((numbers.len() as u64).to_le_bytes());
        for number in numbers {
            self.item_buffer.extend(number.to_le_bytes());
        }
        self.events.add(&self.item_buffer);
        self.record_line(now, line);
    }

    /// Records a message that a program logs. It is not part of the digest of events.
    pub fn message(&mut self, now: Micros, line: Arguments) {
        self.record_line(now, line);
    }

    fn record_line(&mut self, now: Micros, line: Arguments) {
        self.line_buffer.clear();
        // Writing to a string does not fail.
        let _ = writeln!(self.line_buffer, "{:4}.{:06} {line}", now / SECOND, now % SECOND);
        self.lines.add(self.line_buffer.as_bytes());
        if self.is_text_kept {
            self.text += &self.line_buffer;
        }
    }
}
