//! Decides whether a response can be the one to the request after which it arrived.
//!
//! Responses of HTTP/1.1 do not name their requests. An endpoint may send a response twice; while the second
//! copy is on its way, the connection may already carry the next request. The copy was sent before the first
//! byte of that request arrived, so it is read within one round trip of that byte. No round trip is longer
//! than the shortest response time of the endpoint, which is therefore the bound: a response that comes sooner
//! and repeats an earlier one of the connection is in doubt, and so is any that comes sooner than a connection
//! could be established.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Mutex;

use axum::response::Response;
use doorproxy::ids::Ticks;

use crate::http::response_body::ResponseBody;
use crate::sync::lock;

/// Number of responses of a connection that are remembered.
const REMEMBERED_RESPONSES: usize = 4;
/// Bytes of a buffered body that are compared, beside its length.
const BUFFERED_PREFIX_BYTES: usize = 4096;
/// Bytes of a streamed body that are compared; the rest has not arrived yet.
const STREAMED_PREFIX_BYTES: usize = 256;
/// A response in doubt is held for this multiple of the longest response time, by which the response to its
/// request comes if it was another one.
const HOLD_FACTOR: f64 = 4.0;
/// The same until a connection has had a second response.
const FIRST_HOLD_FACTOR: f64 = 16.0;
/// Maximum time from the first byte of a request for which a response in doubt is held.
const MAX_HOLD_TIME: Ticks = Ticks(10_000);
/// A new minimum of the response time is often a little below the old one, but rarely less than this fraction
/// of it.
const FAR_BELOW_RATIO: f64 = 0.5;
/// Longest round trip that is assumed on the evidence of the connect time alone, which is longer where an
/// endpoint accepts connections late.
const MAX_ROUND_TRIP: Ticks = Ticks(100);
/// Repeated responses are usual where at least one response in this many is one.
const USUAL_REPEAT_DIVISOR: u32 = 16;
/// The counts of responses are halved at this number, so that they follow changes.
const MAX_COUNTED_RESPONSES: u32 = 1024;
/// Fraction by which the longest response time decreases with each response.
const LONGEST_DECAY: f64 = 1.0 / 64.0;

/// Identifies the head and the body of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ResponseDigest {
    head: HeadDigest,
    body: u64,
}

/// Identifies the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeadDigest(u64);

impl HeadDigest {
    /// Returns the digest of the status and the header fields, as they were received.
    pub(super) fn of<B>(response: &Response<B>) -> HeadDigest {
        let mut hasher = DefaultHasher::new();
        response.status().hash(&mut hasher);
        for (name, value) in response.headers() {
            name.hash(&mut hasher);
            value.hash(&mut hasher);
        }
        HeadDigest(hasher.finish())
    }

    /// Returns the digest of a response. Of its body, the first bytes count, and the length if it is known.
    pub(super) fn with_body(self, body: &ResponseBody) -> ResponseDigest {
        let mut hasher = DefaultHasher::new();
        match body {
            ResponseBody::Buffered(bytes) => {
                bytes.len().hash(&mut hasher);
                bytes[..bytes.len().min(BUFFERED_PREFIX_BYTES)].hash(&mut hasher);
            }
            ResponseBody::Streaming { first, .. } => {
                let prefix = first.first().map_or(&[][..], |part| part);
                prefix[..prefix.len().min(STREAMED_PREFIX_BYTES)].hash(&mut hasher);
            }
        }
        ResponseDigest { head: self, body: hasher.finish() }
    }
}

/// Remembers the latest successful responses of one connection.
#[derive(Default)]
pub(super) struct RecentResponses(Mutex<VecDeque<ResponseDigest>>);

impl RecentResponses {
    pub(super) fn is_empty(&self) -> bool {
        lock(&self.0).is_empty()
    }

    pub(super) fn contains(&self, response: ResponseDigest) -> bool {
        lock(&self.0).contains(&response)
    }

    pub(super) fn add(&self, response: ResponseDigest) {
        let mut recent = lock(&self.0);
        if recent.len() == REMEMBERED_RESPONSES {
            recent.pop_front();
        }
        recent.push_back(response);
    }
}

/// Counts how often responses repeat an earlier one of their connection, leaving out those in doubt.
#[derive(Default)]
pub(super) struct RepeatCounts(Mutex<Counts>);

#[derive(Default)]
struct Counts {
    repeated: u32,
    total: u32,
}

impl RepeatCounts {
    pub(super) fn add(&self, is_repeated: bool) {
        let mut counts = lock(&self.0);
        counts.total += 1;
        counts.repeated += u32::from(is_repeated);
        if counts.total >= MAX_COUNTED_RESPONSES {
            counts.total /= 2;
            counts.repeated /= 2;
        }
    }

    /// Returns whether endpoints give the same response to different requests so often that a repeated one
    /// says little. True as long as nothing is known.
    pub(super) fn are_usual(&self) -> bool {
        let counts = lock(&self.0);
        counts.repeated * USUAL_REPEAT_DIVISOR >= counts.total
    }

    /// Returns the same, but false until enough is known.
    fn are_known_to_be_usual(&self) -> bool {
        self.are_usual() && lock(&self.0).total >= USUAL_REPEAT_DIVISOR
    }
}

/// Holds what is known of the times of one endpoint. Response times run from the first byte of a request to
/// the head of its response, and are those of successful responses that are not in doubt.
#[derive(Default)]
pub(super) struct ResponseTimes(Mutex<Times>);

#[derive(Default)]
struct Times {
    shortest_connect: Option<Ticks>,
    shortest_response: Option<Ticks>,
    /// The longest response time; it decreases slowly.
    longest_response: Ticks,
}

impl ResponseTimes {
    pub(super) fn on_connected(&self, time: Ticks) {
        let shortest = &mut lock(&self.0).shortest_connect;
        *shortest = Some(shortest.map_or(time, |shortest| shortest.min(time)));
    }

    pub(super) fn on_response(&self, time: Ticks) {
        let mut times = lock(&self.0);
        times.shortest_response = Some(times.shortest_response.map_or(time, |shortest| shortest.min(time)));
        times.longest_response = times.longest_response.mul_f64(1.0 - LONGEST_DECAY).max(time);
    }

    /// Returns whether a response on a connection that has brought others may be one of those, or the second
    /// one to an earlier request.
    pub(super) fn is_in_doubt(&self, time: Ticks, is_repeated: bool, repeat_counts: &RepeatCounts) -> bool {
        let times = lock(&self.0);
        let Some(shortest) = times.shortest_response else { return false };
        let is_far_below_shortest = time < shortest.mul_f64(FAR_BELOW_RATIO);
        if is_repeated {
            return time < shortest && (is_far_below_shortest || !repeat_counts.are_known_to_be_usual());
        }
        let round_trip = times.shortest_connect.unwrap_or(Ticks::ZERO).min(MAX_ROUND_TRIP);
        is_far_below_shortest && time < round_trip
    }

    /// Returns how long after the first byte of its request a response in doubt is held.
    pub(super) fn hold_time(&self, repeat_counts: &RepeatCounts) -> Ticks {
        let factor = if lock(&repeat_counts.0).total == 0 { FIRST_HOLD_FACTOR } else { HOLD_FACTOR };
        lock(&self.0).longest_response.mul_f64(factor).min(MAX_HOLD_TIME)
    }
}

#[cfg(test)]
mod tests;
