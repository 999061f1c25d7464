//! The state machine of one node for the fleet's limits. Every node has a client. A node that is an acceptor
//! also stores the registers of the shards' leases, and allocates the shards whose lease it holds. Messages
//! that it sends to itself are delivered at once.
//!
//! Invariant: a node allocates a shard only while it holds the shard's lease, by its own clock at that
//! moment.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_leases::acceptor::Acceptor;
use doorproxy_leases::lease_client::LeaseClient;
use doorproxy_leases::messages::{self as leases, FencingToken, LeaseId, ProcessIdentity};
use doorproxy_leases::proposer::LeaseRequest;
use doorproxy_membership::message::NodeId;
use doorproxy_membership::outgoing::{OutgoingMessage, TickResult};

use crate::messages::{Demand, Message, Nonce, Shard};
use crate::quota_allocator::{BucketStatus, QuotaAllocator};
use crate::quota_client::QuotaClient;
use crate::rules::QuotaRules;

/// Names the leases of the shards; the shard's number is the slot.
const LEASE_NAME: &str = "limits";
/// Sets how much longer each further acceptor waits at first before it requests a shard's lease, as a ratio
/// of the lease's duration. This spreads the shards over the acceptors.
const PREFERENCE_DELAY_RATIO: f64 = 0.4;
/// Sets the shortest wait until the tick at which a node starts to request a shard's lease.
const MIN_TICK_INTERVAL: Ticks = Ticks(10);

/// Holds quota messages and their recipients.
pub type Outgoing = Vec<OutgoingMessage<Message>>;

/// Describes a shard that this node allocates, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AllocatorStatus {
    /// Identifies the shard.
    pub shard: Shard,
    /// Holds the fencing token of the shard's lease.
    pub token: FencingToken,
    /// Holds the buckets of the limits that were requested so far.
    pub buckets: Vec<BucketStatus>,
}

struct ActiveAllocator {
    /// Holds the fencing token of the lease under which it allocates.
    token: FencingToken,
    allocator: QuotaAllocator,
}

/// Holds the state of a shard at a node that may allocate it.
struct ShardAllocator {
    lease: LeaseId,
    lease_client: LeaseClient,
    /// Sets when the node starts to request the lease.
    acquire_after: Timestamp,
    /// Holds the allocator if the lease was held at the last check.
    active: Option<ActiveAllocator>,
}

impl ShardAllocator {
    /// Starts an allocator with empty buckets when the lease is acquired, and drops it when the lease is
    /// lost.
    fn update_allocator(&mut self, now: Timestamp) {
        let Some(held) = self.lease_client.held(now) else {
            self.active = None;
            return;
        };
        if self.active.as_ref().is_none_or(|active| active.token != held.token) {
            self.active = Some(ActiveAllocator { token: held.token, allocator: QuotaAllocator::new(now) });
        }
    }

    fn tick(&mut self, now: Timestamp, lease_rules: &leases::LeaseRules) -> TickResult<leases::Message> {
        self.update_allocator(now);
        if now >= self.acquire_after {
            self.lease_client.set_request(now, Some(LeaseRequest::Hold));
        }
        self.lease_client.tick(now, lease_rules)
    }
}

/// Holds the state of one node for all limits.
pub struct QuotaNode {
    local_holder: ProcessIdentity,
    rules: Arc<QuotaRules>,
    lease_rules: leases::LeaseRules,
    client: Arc<Mutex<QuotaClient>>,
    /// Holds the acceptor at a node that is one, once it is started.
    acceptor: Option<Acceptor>,
    /// Holds all shards by number at a node that is an acceptor, and is empty at others: clients send their
    /// requests only to acceptors.
    shards: Vec<ShardAllocator>,
}

fn lock(client: &Mutex<QuotaClient>) -> MutexGuard<'_, QuotaClient> {
    client.lock().expect("no panic while the quota client is locked")
}

fn wrap_lease_messages(messages: Vec<OutgoingMessage<leases::Message>>) -> Outgoing {
    let wrap = |sent: OutgoingMessage<leases::Message>| OutgoingMessage {
        to: sent.to,
        message: Message::Lease(sent.message),
    };
    messages.into_iter().map(wrap).collect()
}

impl QuotaNode {
    /// Creates a node that starts at `now`, without its acceptor. See
    /// [`doorproxy_leases::proposer::Proposer::new`] for `token_floor`.
    pub fn new(
        now: Timestamp,
        local_holder: ProcessIdentity,
        rules: Arc<QuotaRules>,
        lease_rules: leases::LeaseRules,
        token_floor: FencingToken,
    ) -> QuotaNode {
        let acceptors: Vec<NodeId> = lease_rules.acceptors.iter().copied().collect();
        let acceptor_index = acceptors.iter().position(|acceptor| *acceptor == local_holder.node);
        let acceptor_count = acceptors.len().max(1);
        let client = QuotaClient::new(now, local_holder.incarnation, rules.clone(), acceptors);
        let new_shard = |shard: u16, index: usize| {
            let lease = LeaseId::from_name(LEASE_NAME, shard);
            let duration = lease_rules.max_duration;
            let seed = local_holder.node.0 ^ local_holder.incarnation.0;
            let preference = (index + acceptor_count - usize::from(shard) % acceptor_count) % acceptor_count;
            ShardAllocator {
                lease,
                lease_client: LeaseClient::new(now, seed, local_holder, lease, duration, token_floor),
                acquire_after: now + duration.mul_f64(PREFERENCE_DELAY_RATIO * preference as f64),
                active: None,
            }
        };
        let new_shards = |index| (0..rules.shard_count.max(1)).map(|shard| new_shard(shard, index)).collect();
        let shards = acceptor_index.map(new_shards).unwrap_or_default();
        QuotaNode {
            local_holder,
            rules,
            lease_rules,
            client: Arc::new(Mutex::new(client)),
            acceptor: None,
            shards,
        }
    }

    /// Starts the acceptor at a node that is one. No other process answers in the name of the node since
    /// `sole_since`; see [`Acceptor::new`].
    pub fn start_acceptor(&mut self, sole_since: Timestamp) {
        let is_acceptor = self.lease_rules.acceptors.contains(&self.local_holder.node);
        self.acceptor = is_acceptor.then(|| Acceptor::new(sole_since));
    }

    /// Returns the client from which request threads spend. The node locks it for one call at a time.
    pub fn client(&self) -> Arc<Mutex<QuotaClient>> {
        self.client.clone()
    }

    /// Sends the client's requests and the lease proposals that are due.
    pub fn tick(&mut self, now: Timestamp) -> TickResult<Message> {
        let TickResult { mut outgoing, mut next_tick_at } = lock(&self.client).tick(now);
        for shard in &mut self.shards {
            let result = shard.tick(now, &self.lease_rules);
            outgoing.extend(wrap_lease_messages(result.outgoing));
            let acquire_at = shard.acquire_after.max(now + MIN_TICK_INTERVAL);
            next_tick_at = next_tick_at.min(result.next_tick_at).min(acquire_at);
        }
        TickResult { outgoing: self.deliver_to_self(now, outgoing), next_tick_at }
    }

    /// Handles a message of another process, and returns the messages to send: responses to the sender, and
    /// others to acceptors.
    pub fn on_message(&mut self, now: Timestamp, from: ProcessIdentity, message: &Message) -> Outgoing {
        let outgoing = self.handle(now, from, message);
        self.deliver_to_self(now, outgoing)
    }

    /// Handles the messages that are addressed to this node, and returns the others.
    fn deliver_to_self(&mut self, now: Timestamp, outgoing: Outgoing) -> Outgoing {
        let mut queue = VecDeque::from(outgoing);
        let mut to_others = Vec::new();
        while let Some(sent) = queue.pop_front() {
            if sent.to == self.local_holder.node {
                queue.extend(self.handle(now, self.local_holder, &sent.message));
            } else {
                to_others.push(sent);
            }
        }
        to_others
    }

    fn handle(&mut self, now: Timestamp, from: ProcessIdentity, message: &Message) -> Outgoing {
        match message {
            Message::Lease(message) if message.is_request() => self.on_lease_request(now, from, message),
            Message::Lease(message) => self.on_lease_response(now, from, message),
            Message::AllocationRequest { shard, nonce, demands } => {
                let response = self.respond_to_demands(now, from, *shard, *nonce, demands);
                response.into_iter().map(|message| OutgoingMessage { to: from.node, message }).collect()
            }
            Message::AllocationGrant { .. } | Message::Redirect { .. } => {
                lock(&self.client).on_response(now, from.node, message);
                Vec::new()
            }
        }
    }

    fn on_lease_request(
        &mut self,
        now: Timestamp,
        from: ProcessIdentity,
        request: &leases::Message,
    ) -> Outgoing {
        let Some(acceptor) = &mut self.acceptor else { return Vec::new() };
        let response = acceptor.respond(now, request, &self.lease_rules);
        let response =
            response.map(|response| OutgoingMessage { to: from.node, message: Message::Lease(response) });
        response.into_iter().collect()
    }

    fn on_lease_response(
        &mut self,
        now: Timestamp,
        from: ProcessIdentity,
        response: &leases::Message,
    ) -> Outgoing {
        let Some(shard) = self.shards.iter_mut().find(|shard| shard.lease == response.lease()) else {
            return Vec::new();
        };
        let outgoing = shard.lease_client.on_response(now, from.node, response, &self.lease_rules);
        shard.update_allocator(now);
        wrap_lease_messages(outgoing)
    }

    fn respond_to_demands(
        &mut self,
        now: Timestamp,
        from: ProcessIdentity,
        shard: Shard,
        nonce: Nonce,
        demands: &[Demand],
    ) -> Option<Message> {
        let rules = self.rules.clone();
        if let Some(allocator) = self.active_allocator(now, shard) {
            let allocations = allocator.allocate(now, from, nonce, demands, &rules)?;
            return Some(Message::AllocationGrant { nonce, allocations });
        }
        Some(Message::Redirect { nonce, allocator: self.known_allocator(now, shard) })
    }

    /// Returns the allocator of a shard if this node holds the shard's lease at `now`.
    fn active_allocator(&mut self, now: Timestamp, shard: Shard) -> Option<&mut QuotaAllocator> {
        let shard = self.shards.get_mut(usize::from(shard.0))?;
        shard.update_allocator(now);
        shard.active.as_mut().map(|active| &mut active.allocator)
    }

    /// Returns the node that holds a shard's lease, as far as this node's acceptor knows.
    fn known_allocator(&self, now: Timestamp, shard: Shard) -> Option<NodeId> {
        let lease = LeaseId::from_name(LEASE_NAME, shard.0);
        let (_, register) = self.acceptor.as_ref()?.registers().find(|(id, _)| **id == lease)?;
        let accepted = register.accepted_lease(now, &self.lease_rules)?;
        if accepted.remaining_ticks <= 0 {
            return None;
        }
        accepted.value.holder.map(|holder| holder.node)
    }

    /// Returns the status of each shard that this node allocates.
    pub fn allocator_statuses(&self, now: Timestamp) -> Vec<AllocatorStatus> {
        let status = |(index, shard): (usize, &ShardAllocator)| {
            shard.lease_client.held(now)?;
            let active = shard.active.as_ref()?;
            let buckets = active.allocator.bucket_statuses(now, &self.rules);
            Some(AllocatorStatus { shard: Shard(index as u16), token: active.token, buckets })
        };
        self.shards.iter().enumerate().filter_map(status).collect()
    }

    /// Returns whether this node's acceptor is past its grace period, or `None` if the node has none.
    pub fn is_acceptor_voting(&self, now: Timestamp) -> Option<bool> {
        self.acceptor.as_ref().map(|acceptor| !acceptor.is_in_grace_period(now, &self.lease_rules))
    }
}
