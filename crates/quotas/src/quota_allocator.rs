//! The allocator of a shard's limits, which grants requests from one token bucket per limit.
//!
//! A new allocator starts with empty buckets, because it does not know what the last one granted. Invariants:
//! it grants no more than its buckets hold, and answers no request twice. The caller checks the shard's lease
//! before each call.

mod bucket;
mod fair_shares;

use std::collections::BTreeMap;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_leases::messages::ProcessIdentity;
use doorproxy_membership::message::{Incarnation, NodeId};

use crate::messages::{Allocation, Demand, LimitId, Nonce};
use crate::rules::QuotaRules;
use bucket::Bucket;

/// Limits the memory of an allocator, which grants nothing to further clients.
const MAX_CLIENTS: usize = 4000;
/// Sets after how many contact timeouts without a request a client may be forgotten if the list is full.
const LAST_REQUEST_TIMEOUT_FACTOR: f64 = 2.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct LastRequest {
    incarnation: Incarnation,
    nonce: Nonce,
    received_at: Timestamp,
}

/// Describes the bucket of one limit, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BucketStatus {
    /// Identifies the limit.
    pub limit: LimitId,
    /// Holds the number of requests in the bucket now.
    pub balance: f64,
    /// Holds the number of nodes that have recently requested from the bucket.
    pub client_count: usize,
}

/// Allocates the limits of one shard.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaAllocator {
    started_at: Timestamp,
    buckets: BTreeMap<LimitId, Bucket>,
    /// Holds the last request of each client, so that a repeated or reordered request is granted nothing.
    last_requests: BTreeMap<NodeId, LastRequest>,
}

impl QuotaAllocator {
    /// Creates an allocator whose buckets are empty at `now`.
    pub fn new(now: Timestamp) -> QuotaAllocator {
        QuotaAllocator { started_at: now, buckets: BTreeMap::new(), last_requests: BTreeMap::new() }
    }

    /// Returns the time since the allocator started.
    pub fn age(&self, now: Timestamp) -> Ticks {
        now - self.started_at
    }

    /// Grants as much of each demand as possible. Returns `None` if this request or a later one of the client
    /// was answered before, or if there are too many clients.
    pub fn allocate(
        &mut self,
        now: Timestamp,
        client: ProcessIdentity,
        nonce: Nonce,
        demands: &[Demand],
        rules: &QuotaRules,
    ) -> Option<Vec<Allocation>> {
        if !self.accept_request(now, client, nonce, rules) {
            return None;
        }
        let started_at = self.started_at;
        let allocate = |demand: &Demand| {
            let limit = rules.limits.get(&demand.limit)?;
            let bucket = self.buckets.entry(demand.limit).or_insert_with(|| Bucket::new(started_at));
            Some(bucket.allocate(now, client.node, demand, limit, rules.contact_timeout))
        };
        Some(demands.iter().filter_map(allocate).collect())
    }

    /// Records a request and returns true, if it is the latest of its client and the list is not full.
    fn accept_request(
        &mut self,
        now: Timestamp,
        client: ProcessIdentity,
        nonce: Nonce,
        rules: &QuotaRules,
    ) -> bool {
        let is_later = |last: &LastRequest| (client.incarnation, nonce) > (last.incarnation, last.nonce);
        if !self.last_requests.get(&client.node).is_none_or(is_later) {
            return false;
        }
        if self.last_requests.len() >= MAX_CLIENTS {
            let timeout = rules.contact_timeout.mul_f64(LAST_REQUEST_TIMEOUT_FACTOR);
            self.last_requests.retain(|_, last| now - last.received_at < timeout);
        }
        if self.last_requests.len() >= MAX_CLIENTS {
            return false;
        }
        let request = LastRequest { incarnation: client.incarnation, nonce, received_at: now };
        self.last_requests.insert(client.node, request);
        true
    }

    /// Returns the status of each limit that was requested so far.
    pub fn bucket_statuses(&self, now: Timestamp, rules: &QuotaRules) -> Vec<BucketStatus> {
        let status = |(&limit, bucket): (&LimitId, &Bucket)| {
            let mut bucket = bucket.clone();
            bucket.refill(now, rules.limits.get(&limit)?);
            Some(BucketStatus { limit, balance: bucket.balance(), client_count: bucket.client_count() })
        };
        self.buckets.iter().filter_map(status).collect()
    }
}
