//! The schedule of a proposer: it renews a lease well before it expires, and while another process holds the
//! lease, it retries with jitter when an attempt may succeed.
//!
//! Invariant: at most one proposal is in progress at a time, and a backoff follows each proposal that failed.

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::Pcg;
use doorproxy_membership::message::NodeId;

use crate::messages::{FencingToken, LeaseId, LeaseRules, Message, ProcessIdentity};
use crate::proposer::{HeldLease, LeaseRequest, ProposalOutcome, ProposalStep, Proposer};
use doorproxy_membership::outgoing::{OutgoingMessage, TickResult};

/// Sets when a holder renews its lease after it was acquired, as a ratio of the lease's duration.
const RENEWAL_RATIO: f64 = 0.3;
/// Limits the time of a proposal before it is abandoned, as a ratio of the lease's duration.
const PROPOSAL_TIMEOUT_RATIO: f64 = 0.15;
/// Sets the shortest backoff after a preempted or abandoned proposal, as a ratio of the lease's duration.
const MIN_BACKOFF_RATIO: f64 = 0.02;
/// Sets the longest backoff, as a ratio of the lease's duration.
const MAX_BACKOFF_RATIO: f64 = 0.1;
/// Sets how often a waiting client polls for a renewal or a release, as a ratio of the lease's duration.
const POLL_RATIO: f64 = 0.25;
/// Sets the smallest jitter factor of a poll interval.
const POLL_JITTER_MIN: f64 = 0.8;
/// Sets the width of the jitter above its smallest factor.
const POLL_JITTER_WIDTH: f64 = 0.4;

/// Holds lease messages and their recipients.
pub type Outgoing = Vec<OutgoingMessage<Message>>;

/// Acquires, renews and releases one lease.
pub struct LeaseClient {
    /// Holds the state of the proposals and of the held lease.
    pub proposer: Proposer,
    duration: Ticks,
    request: Option<LeaseRequest>,
    rng: Pcg,
    proposal_started_at: Timestamp,
    next_proposal_at: Timestamp,
}

impl LeaseClient {
    /// Creates a client without a request. `seed` initialises its jitter; see [`Proposer::new`] for
    /// `token_floor`.
    pub fn new(
        now: Timestamp,
        seed: u64,
        local_holder: ProcessIdentity,
        lease: LeaseId,
        duration: Ticks,
        token_floor: FencingToken,
    ) -> LeaseClient {
        LeaseClient {
            proposer: Proposer::new(local_holder, lease, duration, token_floor),
            duration,
            request: None,
            rng: Pcg::new(seed ^ lease.0),
            proposal_started_at: now,
            next_proposal_at: now,
        }
    }

    /// Returns the lease if it is held at `now`.
    pub fn held(&self, now: Timestamp) -> Option<HeldLease> {
        self.proposer.held(now)
    }

    /// Sets what the client requests. [`LeaseRequest::Release`] stops holding the lease at once.
    pub fn set_request(&mut self, now: Timestamp, request: Option<LeaseRequest>) {
        if request == Some(LeaseRequest::Release) {
            self.proposer.drop_held();
        }
        if self.request != request {
            self.request = request;
            self.next_proposal_at = self.next_proposal_at.min(now);
        }
    }

    /// Returns the current request, or `None` once the lease is released.
    pub fn request(&self) -> Option<LeaseRequest> {
        self.request
    }

    /// Starts a proposal if one is due, and abandons one that timed out.
    pub fn tick(&mut self, now: Timestamp, rules: &LeaseRules) -> TickResult<Message> {
        let proposal_timeout = self.duration.mul_f64(PROPOSAL_TIMEOUT_RATIO);
        if !self.proposer.is_idle() && now - self.proposal_started_at > proposal_timeout {
            self.proposer.abandon();
            self.next_proposal_at = self.backoff_until(now);
        }
        let is_due = self.proposer.is_idle() && now >= self.next_proposal_at;
        let Some(request) = self.request.filter(|_| is_due) else {
            return TickResult {
                outgoing: Vec::new(),
                next_tick_at: self.next_tick_at(now, proposal_timeout),
            };
        };
        let prepare = self.proposer.prepare(request);
        self.proposal_started_at = now;
        TickResult {
            outgoing: messages_to(rules.acceptors.iter().copied(), prepare),
            next_tick_at: now + proposal_timeout,
        }
    }

    /// Handles a response from an acceptor, and returns the messages to send next.
    pub fn on_response(
        &mut self,
        now: Timestamp,
        from: NodeId,
        response: &Message,
        rules: &LeaseRules,
    ) -> Outgoing {
        match self.proposer.on_response(now, from, response, rules) {
            ProposalStep::Ignored => Vec::new(),
            ProposalStep::Send { message, to } => messages_to(to, message),
            ProposalStep::Finished(outcome) => {
                self.on_outcome(now, outcome);
                Vec::new()
            }
        }
    }

    fn on_outcome(&mut self, now: Timestamp, outcome: ProposalOutcome) {
        match outcome {
            ProposalOutcome::Acquired => {
                self.next_proposal_at = now + self.duration.mul_f64(RENEWAL_RATIO);
            }
            ProposalOutcome::Released => self.request = None,
            ProposalOutcome::HeldByOther(expires_at) => {
                let jitter = POLL_JITTER_MIN + POLL_JITTER_WIDTH * self.rng.next_f64();
                let poll_at = now + self.duration.mul_f64(POLL_RATIO * jitter);
                // Clients that all propose at the moment of expiry would preempt each other repeatedly.
                self.next_proposal_at =
                    if expires_at < poll_at { self.backoff_until(expires_at) } else { poll_at };
            }
            ProposalOutcome::Preempted => self.next_proposal_at = self.backoff_until(now),
        }
    }

    fn next_tick_at(&self, now: Timestamp, proposal_timeout: Ticks) -> Timestamp {
        let latest = now + proposal_timeout;
        if self.request.is_none() {
            return latest;
        }
        self.next_proposal_at.max(now + Ticks(1)).min(latest)
    }

    fn backoff_until(&mut self, from: Timestamp) -> Timestamp {
        let ratio = MIN_BACKOFF_RATIO + (MAX_BACKOFF_RATIO - MIN_BACKOFF_RATIO) * self.rng.next_f64();
        from + self.duration.mul_f64(ratio)
    }
}

fn messages_to(recipients: impl IntoIterator<Item = NodeId>, message: Message) -> Outgoing {
    recipients.into_iter().map(|to| OutgoingMessage { to, message }).collect()
}
