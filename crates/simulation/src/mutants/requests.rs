//! Mutants that repeat an attempt or change it.

use std::net::SocketAddr;

use super::Mutant;
use super::hooks::{MutantHooks, content_length, header_value, send_unobserved};
use crate::context::ClusterContext;
use crate::limits::DRAIN_GRACE;
use crate::request_class::{DEDUP_WINDOW, MAX_BUFFERED_BODY_BYTES};
use crate::runtime::SimulatedRuntime;
use crate::stream::SimulatedStream;
use crate::time::{MS, Micros, SECOND};

/// The delay of a repeated attempt, about as long as an attempt's timeout might be.
const REPEAT_DELAY: Micros = 900 * MS;
/// The time after the end of the grace period at which a copy is sent to a draining or ejected endpoint.
const AFTER_GRACE: Micros = 300 * MS;

/// An attempt with the bytes that the balancer has written so far.
pub(super) struct SentAttempt {
    pub destination: SocketAddr,
    pub bytes: Vec<u8>,
    /// The count of occurrences observed so far, as in `ObservedTraffic`.
    pub occurrence: u64,
}

impl SentAttempt {
    fn is_complete(&self) -> bool {
        let head_end = self.bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        head_end.is_some_and(|index| self.bytes.len() >= index + 4 + content_length(&self.bytes))
    }

    fn class(&self) -> &str {
        header_value(&self.bytes, "req-kind").unwrap_or_default()
    }

    fn is_every_nth(&self, n: u64) -> bool {
        self.occurrence.is_multiple_of(n)
    }
}

/// The destination and the delay of a copy of an attempt.
struct RepeatedAttempt {
    destination: SocketAddr,
    delay: Micros,
}

impl MutantHooks {
    /// Sends a copy of a completely written attempt if the mutant repeats it.
    pub(super) fn repeat_attempt(
        &self,
        mutant: Mutant,
        context: &ClusterContext,
        stream: &SimulatedStream,
        attempt: SentAttempt,
    ) {
        if !attempt.is_complete() {
            return;
        }
        if let Some(copy) = self.choose_copy(mutant, context, &stream.runtime, &attempt) {
            send_copy(&stream.runtime, copy, attempt.bytes);
        }
    }

    fn choose_copy(
        &self,
        mutant: Mutant,
        context: &ClusterContext,
        runtime: &SimulatedRuntime,
        attempt: &SentAttempt,
    ) -> Option<RepeatedAttempt> {
        let destination = attempt.destination;
        let class = attempt.class();
        let other_server = || context.find_other_server(destination, |_, _| true);
        match mutant {
            Mutant::RepeatedNonIdempotent if class == "order" && attempt.is_every_nth(3) => {
                Some(RepeatedAttempt { destination: other_server(), delay: REPEAT_DELAY })
            }
            Mutant::RepeatAfterWindow if class == "top" && attempt.is_every_nth(2) => {
                Some(RepeatedAttempt { destination, delay: DEDUP_WINDOW + 200 * MS })
            }
            Mutant::RepeatOutsideScope if class == "top" && attempt.is_every_nth(2) => {
                let destination = context.find_other_server(destination, |other, own| other != own);
                Some(RepeatedAttempt { destination, delay: 50 * MS })
            }
            Mutant::AttemptAfterDrain if class == "look" => {
                let (destination, since) = context.draining_server()?;
                Some(RepeatedAttempt { destination, delay: delay_until_after_grace(runtime, since) })
            }
            Mutant::SlowStartOverload if class == "look" => {
                let request_id = header_value(&attempt.bytes, "req-id").unwrap_or_default().to_string();
                let destination = context.warming_server()?;
                let is_first = self.traffic().copied_requests.insert(request_id);
                is_first.then_some(RepeatedAttempt { destination, delay: 0 })
            }
            Mutant::AttemptAfterEjection if class == "look" => {
                let balancer = context.balancer_at(runtime.host)?;
                let (name, since) = context.records.lock().manually_ejected_server(balancer)?;
                let destination = context.server_address_by_name(&name)?;
                Some(RepeatedAttempt { destination, delay: delay_until_after_grace(runtime, since) })
            }
            Mutant::StreamedTwice if content_length(&attempt.bytes) > MAX_BUFFERED_BODY_BYTES => {
                Some(RepeatedAttempt { destination: other_server(), delay: 5 * MS })
            }
            Mutant::AttemptAfterAnswer if class == "look" && attempt.is_every_nth(5) => {
                Some(RepeatedAttempt { destination, delay: REPEAT_DELAY })
            }
            _ => None,
        }
    }
}

fn delay_until_after_grace(runtime: &SimulatedRuntime, since: Micros) -> Micros {
    (since + DRAIN_GRACE + AFTER_GRACE).saturating_sub(runtime.simulation.now())
}

/// Writes a changed request in place of the balancer's if the mutant changes requests.
pub(super) fn alter_request(mutant: Mutant, stream: &SimulatedStream, bytes: &[u8]) -> Option<usize> {
    if mutant != Mutant::AlteredRequest || !bytes.starts_with(b"POST /api/top") {
        return None;
    }
    let altered = String::from_utf8_lossy(bytes).replacen("?n=", "?m=", 1);
    send_unobserved(stream, altered.as_bytes());
    Some(bytes.len())
}

/// Sends bytes from the balancer's process without calling its hooks.
fn send_copy(runtime: &SimulatedRuntime, copy: RepeatedAttempt, bytes: Vec<u8>) {
    let mut runtime = runtime.clone();
    runtime.hooks = None;
    let process = runtime.process;
    let simulation = runtime.simulation.clone();
    simulation.spawn(process, async move {
        runtime.sleep_micros(copy.delay).await;
        if let Ok(stream) = runtime.dial(copy.destination).await {
            let _ = stream.write(&bytes).await;
            runtime.sleep_micros(SECOND).await;
        }
    });
}
