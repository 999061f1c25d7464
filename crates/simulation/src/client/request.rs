//! Draws the requests that clients send.

use doorproxy::rng::{Pcg, mix};

use crate::checker::{ClientRequest, Idempotency};
use crate::context::ClusterContext;
use crate::kernel::random_below;
use crate::request_class::{
    DEDUPLICATED_CLASS, IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, REQUEST_CLASSES, long_request_body_bytes,
};
use crate::time::{MS, Micros, SECOND};

/// Returns the request class for the number of a request, which its retries share.
pub(super) fn class_of(seed: u64, number: u64) -> usize {
    match mix(seed ^ mix(number ^ 0xca7e)) % 10 {
        0..5 => IDEMPOTENT_CLASS,
        5..7 => DEDUPLICATED_CLASS,
        _ => NON_IDEMPOTENT_CLASS,
    }
}

/// A request as sent in one try, with everything that is drawn for it.
pub(super) struct OutgoingRequest {
    /// The unique number of the try.
    pub id: u64,
    /// The time that the client waits after sending the last byte.
    pub timeout: Micros,
    /// The request line and the headers.
    pub head: String,
    /// The request body.
    pub body: Vec<u8>,
    /// The time after sending the last byte at which the client abandons the request, if it does.
    pub give_up_after: Option<Micros>,
    /// The pause after two thirds of the bytes, if there is one.
    pub write_pause: Option<Micros>,
    start_line: String,
    idempotency: Idempotency,
    /// The work in seconds on a core with a speed factor of 1.
    work: f64,
}

impl OutgoingRequest {
    /// Draws a request. The order of the draws must not change, or a seed would no longer give the same run.
    pub fn draw(context: &ClusterContext, rng: &mut Pcg, id: u64, number: u64) -> OutgoingRequest {
        let scenario = &context.scenario;
        let class = class_of(scenario.seed, number);
        let timeout = draw_timeout(rng, class, scenario.uses_sidecar);
        let work = scenario.mean_work as f64 / SECOND as f64 * (0.3 + 1.4 * rng.next_f64());
        let cost_estimate =
            if random_below(rng, 10) == 0 { None } else { Some(work * (0.7 + 0.6 * rng.next_f64())) };
        let key = (random_below(rng, 4) > 0).then(|| random_below(rng, 40));
        let body = draw_body(rng, class, scenario.seed, id);
        let name = REQUEST_CLASSES[class].name;
        let method = if class == IDEMPOTENT_CLASS { "GET" } else { "POST" };
        let start_line = format!("{method} /api/{name}?n={number} HTTP/1.1");
        let mut head = format!(
            "{start_line}\r\nHost: fleet\r\nReq-Id: {id:x}\r\nReq-Kind: {name}\r\nReq-Owner: acme\r\n"
        );
        if let Some(key) = key {
            head += &format!("Req-Key: key{key}\r\n");
        }
        if let Some(cost_estimate) = cost_estimate {
            head += &format!("Req-Cost: {}\r\n", (cost_estimate * 1e6) as u64);
        }
        head += &format!("Req-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n", timeout / MS, body.len());
        let give_up_after = (random_below(rng, 12) == 0).then(|| random_below(rng, timeout));
        let write_pause = (random_below(rng, 12) == 0).then(|| random_below(rng, 300) * MS);
        let idempotency = match class {
            IDEMPOTENT_CLASS => Idempotency::Idempotent,
            DEDUPLICATED_CLASS => context.deduplicated_idempotency(),
            _ => Idempotency::NonIdempotent,
        };
        OutgoingRequest { id, timeout, head, body, give_up_after, write_pause, start_line, idempotency, work }
    }

    /// Returns the request as the checker records it.
    pub fn as_recorded(&self) -> ClientRequest {
        ClientRequest {
            idempotency: self.idempotency,
            start_line: self.start_line.clone(),
            body: self.body.clone(),
            work: self.work,
        }
    }
}

/// Draws the timeout of a request. Without a sidecar, one request in 16 has a short one.
fn draw_timeout(rng: &mut Pcg, class: usize, uses_sidecar: bool) -> Micros {
    if random_below(rng, 16) == 0 && !uses_sidecar {
        (21 + random_below(rng, 40)) * MS
    } else {
        REQUEST_CLASSES[class].timeout
    }
}

/// Draws the body of a request. Idempotent requests have none; the body of any other begins with its number.
fn draw_body(rng: &mut Pcg, class: usize, seed: u64, id: u64) -> Vec<u8> {
    if class == IDEMPOTENT_CLASS {
        return Vec::new();
    }
    let length = random_below(rng, 300) as usize + 1;
    let length = long_request_body_bytes(seed, id).unwrap_or(length);
    let mut body = format!("{id:x}:").into_bytes();
    body.resize(length.max(body.len()), b'.');
    body
}
