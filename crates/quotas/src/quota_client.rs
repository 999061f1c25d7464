//! A node's client of the fleet's limits. Request threads spend from its balances without waiting for the
//! network, and the network thread refills them.
//!
//! Invariants: no request is admitted against an expired allocation, whose lifetime counts from the time at
//! which the request for it was sent. No request is admitted against the fallback rate while the allocator is
//! in contact.

mod local_balance;
mod shard_contact;

use std::collections::BTreeMap;
use std::sync::Arc;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_membership::message::{Incarnation, NodeId};
use doorproxy_membership::outgoing::{OutgoingMessage, TickResult};

use crate::messages::{Allocation, Demand, LimitId, MAX_DEMANDS_PER_REQUEST, Message, Nonce, Shard};
use crate::rules::QuotaRules;
use local_balance::{LocalBalance, UsableAllocation};
use shard_contact::ShardContact;

/// Sets the shortest interval between two requests for a shard, as a ratio of the contact timeout.
const REQUEST_INTERVAL_RATIO: f64 = 0.1;
/// Sets the interval between requests for a shard without demand, as a ratio of the contact timeout.
const HEARTBEAT_INTERVAL_RATIO: f64 = 0.3;
/// Limits the pending requests, unless twice the number sent in the current tick is larger. Beyond the limit
/// the oldest requests are forgotten.
const MAX_PENDING_REQUESTS: usize = 64;
/// Shifts an incarnation, which is a time in milliseconds, to make the first nonce of its process. This
/// leaves a million nonces for each millisecond.
const NONCE_BITS_PER_INCARNATION: u32 = 20;

/// Says whether a request is admitted under a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpendOutcome {
    /// The request may proceed.
    Admitted,
    /// The limit is exceeded at this node. The request can probably be admitted after this time.
    Exceeded(Ticks),
}

/// Describes one limit at this node, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitStatus {
    /// Identifies the limit.
    pub limit: LimitId,
    /// Holds the requests that may be admitted now against allocations.
    pub balance: u32,
    /// Holds the requests per second that the allocator expects to grant.
    pub expected_rate: f64,
    /// Holds the smoothed rate of arriving requests, per second.
    pub demand: f64,
    /// Holds the time since the last allocation was requested.
    pub allocation_age: Option<Ticks>,
    /// Says whether a request that was sent within the contact timeout was answered by a grant.
    pub is_connected: bool,
    /// Counts the requests admitted so far.
    pub admitted: u64,
    /// Counts the admitted requests that were admitted by the fallback rate.
    pub admitted_by_fallback: u64,
    /// Counts the requests rejected so far.
    pub rejected: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    sent_at: Timestamp,
    shard: Shard,
}

/// Represents an allocation with its remaining lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbstractAllocation {
    /// Holds the time until the allocation expires.
    pub time_left: Ticks,
    /// Holds the requests that may still be admitted.
    pub remaining: u32,
}

/// Represents a request that waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbstractRequest {
    /// Holds the request's nonce.
    pub nonce: Nonce,
    /// Holds the time since the request was sent, at most an allocation's lifetime.
    pub age: Ticks,
}

/// Represents the allocations and pending requests of a client with ages instead of times, so that a model
/// checker can compare states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AbstractClient {
    /// Holds the usable allocations of each limit.
    pub allocations: Vec<Vec<AbstractAllocation>>,
    /// Holds all requests that wait for a response.
    pub pending: Vec<AbstractRequest>,
}

/// Holds the balances of all limits at one node, and the requests for more.
#[derive(Clone, Debug)]
pub struct QuotaClient {
    rules: Arc<QuotaRules>,
    /// Holds the nodes that may allocate.
    candidates: Vec<NodeId>,
    balances: BTreeMap<LimitId, LocalBalance>,
    /// Holds the contact with the allocator of each shard.
    contacts: Vec<ShardContact>,
    last_nonce: u64,
    pending: BTreeMap<Nonce, PendingRequest>,
    /// Holds the latest time of any call, so that time does not run backwards if a thread that was paused
    /// calls with an earlier one.
    latest_time: Timestamp,
}

impl QuotaClient {
    /// Creates a client without allocations. Its nonces differ from those of other incarnations, so that it
    /// does not accept a delayed response to an earlier process of this node.
    pub fn new(
        now: Timestamp,
        incarnation: Incarnation,
        rules: Arc<QuotaRules>,
        candidates: Vec<NodeId>,
    ) -> QuotaClient {
        let first_candidate = |shard: u16| usize::from(shard) % candidates.len().max(1);
        let shards = 0..rules.shard_count.max(1);
        let contacts = shards.map(|shard| ShardContact::new(now, first_candidate(shard))).collect();
        let balances = rules.limits.keys().map(|limit| (*limit, LocalBalance::new(now))).collect();
        QuotaClient {
            rules,
            candidates,
            balances,
            contacts,
            last_nonce: incarnation.0 << NONCE_BITS_PER_INCARNATION,
            pending: BTreeMap::new(),
            latest_time: now,
        }
    }

    /// Admits or rejects one request under a limit. All requests under an unknown limit are admitted.
    ///
    /// A client that has lost its allocator admits nothing between the expiry of its allocations and the end
    /// of the contact timeout. After that it admits at the fallback rate.
    pub fn spend(&mut self, now: Timestamp, limit: LimitId) -> SpendOutcome {
        let now = self.advance_time(now);
        let shard = self.rules.shard_of(limit);
        let is_connected = self.is_connected(now, shard);
        let min_wait = self.request_interval();
        let rules = &self.rules;
        let (Some(balance), Some(rule)) = (self.balances.get_mut(&limit), rules.limits.get(&limit)) else {
            return SpendOutcome::Admitted;
        };
        let fallback_rate = rule.fallback_rate.filter(|_| !is_connected);
        if balance.is_idle(now, rules) {
            self.contacts[usize::from(shard.0)].next_request_at = now;
        }
        balance.record_arrival(now);
        balance.drop_expired(now);
        if balance.admit_by_allocation() {
            return SpendOutcome::Admitted;
        }
        if let Some(rate) = fallback_rate
            && balance.admit_by_fallback(now, rate, rules.fallback_burst(rate))
        {
            return SpendOutcome::Admitted;
        }
        let rate = if is_connected { balance.expected_rate() } else { fallback_rate.unwrap_or(0.0) };
        SpendOutcome::Exceeded(balance.reject(now, min_wait, rate))
    }

    /// Returns the requests that are due.
    pub fn tick(&mut self, now: Timestamp) -> TickResult<Message> {
        let now = self.advance_time(now);
        let mut outgoing = Vec::new();
        if self.candidates.is_empty() {
            return TickResult { outgoing, next_tick_at: now + self.rules.contact_timeout };
        }
        for index in 0..self.contacts.len() {
            let shard = Shard(index as u16);
            self.reset_fallback_if_connected(now, shard);
            if now >= self.contacts[index].next_request_at {
                self.request_allocations(now, shard, &mut outgoing);
            }
        }
        self.evict_pending(outgoing.len());
        let next_tick_at = self.contacts.iter().map(|contact| contact.next_request_at).min().unwrap_or(now);
        TickResult { outgoing, next_tick_at }
    }

    /// Handles the response of a candidate. A response that belongs to no pending request is ignored.
    pub fn on_response(&mut self, now: Timestamp, from: NodeId, response: &Message) {
        let now = self.advance_time(now);
        let (Message::AllocationGrant { nonce, .. } | Message::Redirect { nonce, .. }) = response else {
            return;
        };
        let Some(request) = self.pending.remove(nonce) else { return };
        self.contacts[usize::from(request.shard.0)].unanswered = 0;
        match response {
            Message::Redirect { allocator, .. } => self.on_redirect(now, from, request.shard, *allocator),
            Message::AllocationGrant { allocations, .. } => self.on_grant(now, from, request, allocations),
            _ => {}
        }
    }

    fn on_redirect(&mut self, now: Timestamp, from: NodeId, shard: Shard, allocator: Option<NodeId>) {
        let request_interval = self.request_interval();
        let redirected_to =
            allocator.filter(|node| *node != from).and_then(|node| self.candidate_index(node));
        let contact = &mut self.contacts[usize::from(shard.0)];
        match redirected_to {
            Some(index) => {
                contact.candidate = index;
                contact.next_request_at = now;
            }
            None => {
                contact.candidate = (contact.candidate + 1) % self.candidates.len();
                contact.next_request_at = now + request_interval;
            }
        }
    }

    fn on_grant(
        &mut self,
        now: Timestamp,
        from: NodeId,
        request: PendingRequest,
        allocations: &[Allocation],
    ) {
        let PendingRequest { sent_at, shard } = request;
        if now - sent_at >= self.rules.contact_timeout {
            return;
        }
        let allocator = self.candidate_index(from);
        let contact = &mut self.contacts[usize::from(shard.0)];
        contact.last_contact = contact.last_contact.max(Some(sent_at));
        contact.candidate = allocator.unwrap_or(contact.candidate);
        let expires_at = sent_at + self.rules.allocation_lifetime();
        for allocation in
            allocations.iter().filter(|allocation| self.rules.shard_of(allocation.limit) == shard)
        {
            let Some(balance) = self.balances.get_mut(&allocation.limit) else { continue };
            balance.drop_expired(now);
            let usable = UsableAllocation { expires_at, remaining: allocation.granted };
            balance.add_allocation(sent_at, usable, f64::from(allocation.expected_rate_tenths) / 10.0);
        }
        self.reset_fallback_if_connected(now, shard);
    }

    fn request_allocations(
        &mut self,
        now: Timestamp,
        shard: Shard,
        outgoing: &mut Vec<OutgoingMessage<Message>>,
    ) {
        let request_interval = self.request_interval();
        let heartbeat_interval = self.rules.contact_timeout.mul_f64(HEARTBEAT_INTERVAL_RATIO);
        let demands = self.collect_demands(now, shard);
        let contact = &mut self.contacts[usize::from(shard.0)];
        if demands.is_empty() && !contact.is_heartbeat_due(now, heartbeat_interval) {
            contact.next_request_at = now + request_interval;
            return;
        }
        contact.begin_request(now, request_interval, self.candidates.len());
        let to = self.candidates[contact.candidate];
        let mut chunks: Vec<&[Demand]> = demands.chunks(MAX_DEMANDS_PER_REQUEST).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        for demands in chunks {
            let nonce = self.add_pending(now, shard);
            let message = Message::AllocationRequest { shard, nonce, demands: demands.to_vec() };
            outgoing.push(OutgoingMessage { to, message });
        }
    }

    fn collect_demands(&mut self, now: Timestamp, shard: Shard) -> Vec<Demand> {
        let rules = &self.rules;
        let request_interval = self.rules.contact_timeout.mul_f64(REQUEST_INTERVAL_RATIO);
        let requested_at = self.contacts[usize::from(shard.0)].requested_at;
        let elapsed = (now - requested_at).as_secs_f64().max(request_interval.as_secs_f64() / 2.0);
        let mut demands = Vec::new();
        for (limit, balance) in self.balances.iter_mut().filter(|(limit, _)| rules.shard_of(**limit) == shard)
        {
            balance.drop_expired(now);
            if balance.is_idle(now, rules) {
                continue;
            }
            let requested = balance.missing_requests(now, elapsed, request_interval, rules);
            if requested > 0 {
                let arrival_rate_tenths = (balance.demand() * 10.0).min(f64::from(u32::MAX)) as u32;
                demands.push(Demand { limit: *limit, requested, arrival_rate_tenths });
            }
        }
        demands
    }

    fn add_pending(&mut self, now: Timestamp, shard: Shard) -> Nonce {
        self.last_nonce += 1;
        let nonce = Nonce(self.last_nonce);
        self.pending.insert(nonce, PendingRequest { sent_at: now, shard });
        nonce
    }

    fn evict_pending(&mut self, sent_count: usize) {
        while self.pending.len() > MAX_PENDING_REQUESTS.max(2 * sent_count) {
            self.pending.pop_first();
        }
    }

    /// Resets the fallback balances of a shard while it is connected. Otherwise the saved requests could be
    /// admitted at once whenever the contact is lost.
    fn reset_fallback_if_connected(&mut self, now: Timestamp, shard: Shard) {
        if !self.is_connected(now, shard) {
            return;
        }
        for (limit, balance) in &mut self.balances {
            if self.rules.shard_of(*limit) == shard {
                balance.reset_fallback(now);
            }
        }
    }

    fn advance_time(&mut self, now: Timestamp) -> Timestamp {
        self.latest_time = self.latest_time.max(now);
        self.latest_time
    }

    fn request_interval(&self) -> Ticks {
        self.rules.contact_timeout.mul_f64(REQUEST_INTERVAL_RATIO)
    }

    fn is_connected(&self, now: Timestamp, shard: Shard) -> bool {
        self.contacts[usize::from(shard.0)].is_connected(now, self.rules.contact_timeout)
    }

    fn candidate_index(&self, node: NodeId) -> Option<usize> {
        self.candidates.iter().position(|candidate| *candidate == node)
    }

    /// Returns the allocations and pending requests in a form that a model checker can compare.
    pub fn abstract_client(&self, now: Timestamp) -> AbstractClient {
        let allocations = self.balances.values().map(|balance| {
            let usable = balance.usable_allocations(now);
            let usable = usable.map(|allocation| AbstractAllocation {
                time_left: allocation.expires_at - now,
                remaining: allocation.remaining,
            });
            usable.collect()
        });
        let max_age = self.rules.allocation_lifetime();
        let pending = self.pending.iter().map(|(nonce, request)| AbstractRequest {
            nonce: *nonce,
            age: (now - request.sent_at).min(max_age),
        });
        AbstractClient { allocations: allocations.collect(), pending: pending.collect() }
    }

    /// Returns the status of each limit at this node.
    pub fn limit_statuses(&self, now: Timestamp) -> Vec<LimitStatus> {
        let status = |(&limit, balance): (&LimitId, &LocalBalance)| {
            balance.status(now, limit, self.is_connected(now, self.rules.shard_of(limit)))
        };
        self.balances.iter().map(status).collect()
    }
}
