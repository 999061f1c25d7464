//! The request classes that clients use, and the lengths of bodies.

use doorproxy::rng::mix;

use crate::time::{MS, Micros, SECOND};

/// The time for which endpoints remember a deduplicated request.
pub const DEDUP_WINDOW: Micros = SECOND;
/// The longest body that a balancer buffers; it streams longer ones.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// One body in this many is longer than a balancer buffers.
const LONG_BODY_ONE_IN: u64 = 14;
/// The minimum length of a long body.
const MIN_LONG_BODY_BYTES: usize = 66 << 10;
/// The length of a long body is less than this above the minimum.
const LONG_BODY_RANGE_BYTES: usize = 60 << 10;

/// A request class, as in the configuration of balancers and sidecars.
pub struct RequestClass {
    /// The name in the configuration, which is also the last part of the path of its requests.
    pub name: &'static str,
    /// The usual timeout of a client.
    pub timeout: Micros,
    /// The latency objective in seconds.
    pub latency_objective_secs: f64,
}

/// The index of the class of idempotent requests, which have no body.
pub const IDEMPOTENT_CLASS: usize = 0;
/// The index of the class of requests that endpoints deduplicate within a window.
pub const DEDUPLICATED_CLASS: usize = 1;
/// The index of the class of requests that may be executed at most once.
pub const NON_IDEMPOTENT_CLASS: usize = 2;

/// The classes by index.
pub const REQUEST_CLASSES: [RequestClass; 3] = [
    RequestClass { name: "look", timeout: 1500 * MS, latency_objective_secs: 0.6 },
    RequestClass { name: "top", timeout: 2000 * MS, latency_objective_secs: 0.8 },
    RequestClass { name: "order", timeout: 2500 * MS, latency_objective_secs: 1.0 },
];

/// Returns the longest timeout of any class.
pub fn longest_timeout() -> Micros {
    REQUEST_CLASSES.iter().map(|class| class.timeout).max().unwrap_or(0)
}

/// Returns the length of a request's body in bytes if it is longer than a balancer buffers.
pub fn long_request_body_bytes(seed: u64, request_id: u64) -> Option<usize> {
    long_body_bytes(seed, request_id, 0x10a6)
}

/// Returns the length of a response's body in bytes if it is longer than a balancer buffers.
pub fn long_response_body_bytes(seed: u64, request_id: u64) -> Option<usize> {
    long_body_bytes(seed, request_id, 0x70a6)
}

fn long_body_bytes(seed: u64, request_id: u64, salt: u64) -> Option<usize> {
    let draw = mix(seed ^ mix(request_id ^ salt));
    let length = MIN_LONG_BODY_BYTES + (draw >> 32) as usize % LONG_BODY_RANGE_BYTES;
    draw.is_multiple_of(LONG_BODY_ONE_IN).then_some(length)
}
