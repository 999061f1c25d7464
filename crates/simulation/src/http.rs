//! Reads and writes HTTP/1.1 messages for test endpoints and clients: the subset of RFC 9112 that they need.
//!
//! The balancer's parser isn't used here, because a bug in a shared parser would go unnoticed.

use std::future::poll_fn;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use doorproxy_balancer::runtime::Stream;

use crate::stream::SimulatedStream;
use crate::time::Micros;

/// The maximum number of bytes of one read. A change of this value changes the reads, and with them the
/// events of every seed.
const READ_BUFFER_BYTES: usize = 4096;

/// A complete message.
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    headers: Vec<(String, String)>,
    /// The message body.
    pub body: Vec<u8>,
    /// The time at which its first byte was sent.
    pub sent_at: Micros,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the first value of a header as a non-negative integer, if it is one.
    pub fn numeric_header(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns the status of a response, or 0 if it can't be parsed.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads consecutive messages from a connection.
#[derive(Default)]
pub struct MessageReader {
    buffer: Vec<u8>,
    sent_at: Micros,
    in_body: Arc<AtomicBool>,
}

impl MessageReader {
    /// Returns a flag that is true while the body of a message is being read. It can be read while the reader
    /// is borrowed.
    pub fn in_body(&self) -> Arc<AtomicBool> {
        self.in_body.clone()
    }

    /// Returns whether there are bytes that were received but do not belong to a returned message.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next message, or `None` if the connection ended between two messages.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends within a message or is reset, or if the message has a transfer encoding.
    pub async fn next_message(&mut self, stream: &SimulatedStream) -> io::Result<Option<Message>> {
        let Some(head_length) = self.fill_head(stream).await? else { return Ok(None) };
        let mut message = self.take_head(head_length);
        if message.header("transfer-encoding").is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let body_length = message.numeric_header("content-length").unwrap_or(0) as usize;
        self.in_body.store(true, Ordering::Relaxed);
        while self.buffer.len() < body_length {
            if !self.fill_buffer(stream).await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        self.in_body.store(false, Ordering::Relaxed);
        message.body = self.buffer.drain(..body_length).collect();
        Ok(Some(message))
    }

    /// Reads until the buffer has a complete head and returns its length, or `None` if the connection ended
    /// before it.
    async fn fill_head(&mut self, stream: &SimulatedStream) -> io::Result<Option<usize>> {
        loop {
            if let Some(index) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                return Ok(Some(index + 4));
            }
            if self.fill_buffer(stream).await? {
                continue;
            }
            if self.buffer.is_empty() {
                return Ok(None);
            }
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }

    /// Removes the head from the buffer and returns it as a message without a body.
    fn take_head(&mut self, length: usize) -> Message {
        let head = String::from_utf8_lossy(&self.buffer[..length]).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let start_line = lines.next().unwrap_or_default().to_string();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
            .collect();
        self.buffer.drain(..length);
        Message { start_line, headers, body: Vec::new(), sent_at: self.sent_at }
    }

    /// Reads once into the buffer. Returns false at the end of the connection.
    async fn fill_buffer(&mut self, stream: &SimulatedStream) -> io::Result<bool> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let was_empty = self.buffer.is_empty();
        let (read, sent_at) = poll_fn(|cx| {
            // The time must be read first: the network forgets it once the bytes are read.
            let sent_at = stream.runtime.simulation.state().network.next_chunk_sent_at(stream.socket);
            let read = stream.poll_recv(cx, &mut bytes);
            read.map_ok(|read| (read, sent_at))
        })
        .await?;
        if was_empty {
            self.sent_at = sent_at.unwrap_or(0);
        }
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }
}

/// Encodes a response. `headers` are complete lines, each with its CRLF.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
