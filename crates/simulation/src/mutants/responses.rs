//! Mutants that suppress, repeat or change a response to a client.

use super::Mutant;
use super::hooks::{MutantHooks, content_length, send_unobserved};
use crate::request_class::MAX_BUFFERED_BODY_BYTES;
use crate::stream::SimulatedStream;

/// The length that a truncated response declares.
const TRUNCATED_BODY_BYTES: usize = 2000;
/// The position of the status code in a response.
const STATUS_BYTES: std::ops::Range<usize> = 9..12;

impl MutantHooks {
    /// Suppresses, repeats or replaces a response if the mutant does so. Returns the number of bytes that it
    /// handled in place of the balancer, or `None` if the balancer's bytes are to be written.
    pub(super) fn intercept_response(
        &self,
        mutant: Mutant,
        stream: &SimulatedStream,
        bytes: &[u8],
    ) -> Option<usize> {
        if mutant == Mutant::UnexpiredAtExit && self.is_past_longest_timeout(stream) {
            return Some(bytes.len());
        }
        let mut traffic = self.traffic();
        if !bytes.starts_with(b"HTTP/1.1 ") {
            let is_suppressed = traffic.suppressed_connection == Some(stream.socket.connection);
            return is_suppressed.then_some(bytes.len());
        }
        traffic.occurrences += 1;
        let occurrence = traffic.occurrences;
        match mutant {
            Mutant::NoAnswer if occurrence.is_multiple_of(9) => {
                traffic.suppressed_connection = Some(stream.socket.connection);
                Some(bytes.len())
            }
            Mutant::SecondAnswer if occurrence.is_multiple_of(5) => {
                drop(traffic);
                send_unobserved(stream, bytes);
                None
            }
            Mutant::PreviousAnswer if bytes.starts_with(b"HTTP/1.1 200") => {
                let previous = std::mem::replace(&mut traffic.last_response, bytes.to_vec());
                drop(traffic);
                if previous.len() != bytes.len() || !occurrence.is_multiple_of(4) {
                    return None;
                }
                send_unobserved(stream, &previous);
                Some(bytes.len())
            }
            Mutant::TruncatedAnswer if bytes.starts_with(b"HTTP/1.1 200") => {
                drop(traffic);
                truncate(stream, bytes)
            }
            Mutant::RejectionAfterExecution if bytes.starts_with(b"HTTP/1.1 502") => {
                drop(traffic);
                let mut changed = bytes.to_vec();
                changed[STATUS_BYTES].copy_from_slice(b"503");
                send_unobserved(stream, &changed);
                Some(bytes.len())
            }
            _ => None,
        }
    }
}

/// Declares a streamed response shorter than it is.
fn truncate(stream: &SimulatedStream, bytes: &[u8]) -> Option<usize> {
    let length = content_length(bytes);
    if length <= MAX_BUFFERED_BODY_BYTES {
        return None;
    }
    let declared = format!("{length}\r\n");
    let changed =
        String::from_utf8_lossy(bytes).replacen(&declared, &format!("{TRUNCATED_BODY_BYTES}\r\n"), 1);
    send_unobserved(stream, changed.as_bytes());
    Some(bytes.len())
}
