//! The contact of a client with the allocator of one shard.

use doorproxy::ids::{Ticks, Timestamp};

/// Limits the requests without a response before the next candidate is tried.
const MAX_UNANSWERED: u32 = 2;

#[derive(Clone, Debug)]
pub(super) struct ShardContact {
    /// Holds when the latest request that an allocator has answered was sent.
    pub(super) last_contact: Option<Timestamp>,
    pub(super) next_request_at: Timestamp,
    pub(super) requested_at: Timestamp,
    /// Counts the requests since the last response.
    pub(super) unanswered: u32,
    /// Holds the index of the candidate that receives the requests.
    pub(super) candidate: usize,
}

impl ShardContact {
    pub(super) fn new(now: Timestamp, candidate: usize) -> ShardContact {
        ShardContact { last_contact: None, next_request_at: now, requested_at: now, unanswered: 0, candidate }
    }

    pub(super) fn is_connected(&self, now: Timestamp, contact_timeout: Ticks) -> bool {
        self.last_contact.is_some_and(|last_contact| now - last_contact < contact_timeout)
    }

    /// Returns whether a request is due although there is no demand.
    pub(super) fn is_heartbeat_due(&self, now: Timestamp, heartbeat_interval: Ticks) -> bool {
        self.last_contact.is_none() || now - self.requested_at >= heartbeat_interval
    }

    /// Records a request that is sent now. It goes to the next candidate if the current one does not respond.
    pub(super) fn begin_request(&mut self, now: Timestamp, request_interval: Ticks, candidate_count: usize) {
        if self.unanswered >= MAX_UNANSWERED {
            self.candidate = (self.candidate + 1) % candidate_count;
            self.unanswered = 0;
        }
        self.requested_at = now;
        self.next_request_at = now + request_interval;
        self.unanswered += 1;
    }
}
