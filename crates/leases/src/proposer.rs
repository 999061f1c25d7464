//! The proposer of one lease. It prepares a ballot. If a majority of acceptors promises the ballot and
//! reports no unexpired lease of another process, it asks them to accept its own value.
//!
//! Invariants: a lease counts as held from *before* its accept requests were sent, and never longer than its
//! duration on the holder's clock. No value is proposed to an acceptor that reports another holder's
//! unexpired lease.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_membership::message::NodeId;

use crate::messages::{
    AcceptedLease, Ballot, FencingToken, LeaseId, LeaseRules, LeaseValue, Message, ProcessIdentity,
};

/// Says what a proposal is to achieve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LeaseRequest {
    /// Acquires or renews the lease.
    Hold,
    /// Releases the lease before it expires.
    Release,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Idle,
    Preparing { ballot: Ballot, request: LeaseRequest, promises: BTreeMap<NodeId, Option<AcceptedLease>> },
    Accepting { ballot: Ballot, value: LeaseValue, requested_at: Timestamp, accepted: BTreeSet<NodeId> },
}

/// Represents the phase of a proposal with the age of its requests instead of their time, so that a model
/// checker can compare states.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum AbstractPhase {
    /// No proposal is in progress.
    Idle,
    /// Promises are being collected.
    Preparing {
        /// Holds the ballot of the proposal.
        ballot: Ballot,
        /// Says what the proposal is to achieve.
        request: LeaseRequest,
        /// Holds the promises so far, with the lease that each acceptor reported.
        promises: BTreeMap<NodeId, Option<AcceptedLease>>,
    },
    /// Accepts are being collected.
    Accepting {
        /// Holds the ballot of the proposal.
        ballot: Ballot,
        /// Holds the proposed value.
        value: LeaseValue,
        /// Holds the time since the accept requests were sent, in tenths of a millisecond.
        age_ticks: i64,
        /// Holds the acceptors that have accepted the value.
        accepted: BTreeSet<NodeId>,
    },
}

/// Describes a lease that this process holds. A task must use its token and must end before it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeldLease {
    /// Accompanies each action, so that the target can reject the actions of earlier holders.
    pub token: FencingToken,
    /// Holds the expiry by the holder's own clock.
    pub expires_at: Timestamp,
}

/// Describes the lease of another process, as acceptors reported it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObservedLease {
    /// Holds the reported value.
    pub value: LeaseValue,
    /// Holds the time for which the lease may still be held if it is not renewed.
    pub remaining: Ticks,
}

/// Says how a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// The lease was acquired or renewed.
    Acquired,
    /// The lease was released, or there was nothing to release.
    Released,
    /// Another process holds the lease, until this time at the latest if it is not renewed.
    HeldByOther(Timestamp),
    /// An acceptor rejected the proposal: it has promised a larger ballot, or has lost the promise in a
    /// restart.
    Preempted,
}

/// Says how a proposal continues after a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalStep {
    /// Nothing is sent: the response is late, or more responses are needed.
    Ignored,
    /// The proposal continues with a message to these acceptors.
    Send {
        /// Holds the message.
        message: Message,
        /// Holds the recipients.
        to: BTreeSet<NodeId>,
    },
    /// The proposal has ended.
    Finished(ProposalOutcome),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ObservedExpiry {
    value: LeaseValue,
    expires_at: Timestamp,
}

/// Runs the proposals for one lease, and holds the lease once it is acquired.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Proposer {
    local_holder: ProcessIdentity,
    lease: LeaseId,
    duration: Ticks,
    round: u64,
    phase: Phase,
    observed: Option<ObservedExpiry>,
    held: Option<HeldLease>,
    /// Bounds new tokens from below, even if all acceptors have lost the last token.
    token_floor: FencingToken,
}

/// Divides the promises of one ballot by whether the acceptor reports another holder's lease.
struct PromiseTally {
    free: BTreeSet<NodeId>,
    /// Holds the values that the free acceptors accepted last.
    values: Vec<LeaseValue>,
    /// Holds the leases of other holders that the remaining acceptors reported.
    blocking: Vec<AcceptedLease>,
}

impl PromiseTally {
    fn new(promises: &BTreeMap<NodeId, Option<AcceptedLease>>, local_holder: ProcessIdentity) -> Self {
        let mut tally = PromiseTally { free: BTreeSet::new(), values: Vec::new(), blocking: Vec::new() };
        for (acceptor, accepted) in promises {
            match accepted {
                Some(accepted) if is_held_by_other(accepted, local_holder) => tally.blocking.push(*accepted),
                _ => {
                    tally.free.insert(*acceptor);
                    tally.values.extend(accepted.map(|accepted| accepted.value));
                }
            }
        }
        tally
    }
}

fn is_held_by_other(accepted: &AcceptedLease, local_holder: ProcessIdentity) -> bool {
    accepted.remaining_ticks > 0 && accepted.value.holder.is_some_and(|holder| holder != local_holder)
}

impl Proposer {
    /// Creates a proposer that holds no lease. All tokens that it issues are larger than `token_floor`: the
    /// Unix time in milliseconds when the process started, which is known even if all acceptors lose their
    /// memory.
    pub fn new(
        local_holder: ProcessIdentity,
        lease: LeaseId,
        duration: Ticks,
        token_floor: FencingToken,
    ) -> Proposer {
        Proposer {
            local_holder,
            lease,
            duration,
            round: 0,
            phase: Phase::Idle,
            observed: None,
            held: None,
            token_floor,
        }
    }

    /// Returns the lease if it is held at `now`.
    pub fn held(&self, now: Timestamp) -> Option<HeldLease> {
        self.held.filter(|held| now < held.expires_at)
    }

    /// Returns whether no proposal is in progress.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    /// Returns the lease of another process that blocked the last proposal.
    pub fn observed(&self, now: Timestamp) -> Option<ObservedLease> {
        self.observed.map(|observed| ObservedLease {
            value: observed.value,
            remaining: (observed.expires_at - now).max(Ticks::ZERO),
        })
    }

    /// Returns the proposal in progress in a form that a model checker can compare.
    pub fn abstract_phase(&self, now: Timestamp) -> AbstractPhase {
        match self.phase.clone() {
            Phase::Idle => AbstractPhase::Idle,
            Phase::Preparing { ballot, request, promises } => {
                AbstractPhase::Preparing { ballot, request, promises }
            }
            Phase::Accepting { ballot, value, requested_at, accepted } => {
                AbstractPhase::Accepting { ballot, value, age_ticks: (now - requested_at).0, accepted }
            }
        }
    }

    /// Returns the round of the last ballot.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Stops holding the lease at this process. Acceptors learn this from a proposal with
    /// [`LeaseRequest::Release`].
    pub fn drop_held(&mut self) {
        self.held = None;
    }

    /// Abandons the proposal in progress. Later responses to it are ignored.
    pub fn abandon(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Begins a proposal under a new ballot, and returns the message for all acceptors.
    pub fn prepare(&mut self, request: LeaseRequest) -> Message {
        if request == LeaseRequest::Release {
            self.drop_held();
        }
        self.round += 1;
        let ballot = Ballot {
            round: self.round,
            proposer: self.local_holder.node.0,
            incarnation: self.local_holder.incarnation.0,
        };
        self.phase = Phase::Preparing { ballot, request, promises: BTreeMap::new() };
        Message::Prepare { lease: self.lease, ballot }
    }

    /// Handles a response from an acceptor.
    pub fn on_response(
        &mut self,
        now: Timestamp,
        from: NodeId,
        response: &Message,
        rules: &LeaseRules,
    ) -> ProposalStep {
        if !rules.acceptors.contains(&from) {
            return ProposalStep::Ignored;
        }
        match *response {
            Message::Promise { ballot, accepted, .. } => self.on_promise(now, from, ballot, accepted, rules),
            Message::Accepted { ballot, .. } => self.on_accepted(from, ballot, rules),
            Message::Rejected { ballot, promised, .. } if self.current_ballot() == Some(ballot) => {
                self.round = self.round.max(promised.round);
                self.finish(ProposalOutcome::Preempted)
            }
            _ => ProposalStep::Ignored,
        }
    }

    fn current_ballot(&self) -> Option<Ballot> {
        match self.phase {
            Phase::Idle => None,
            Phase::Preparing { ballot, .. } | Phase::Accepting { ballot, .. } => Some(ballot),
        }
    }

    fn finish(&mut self, outcome: ProposalOutcome) -> ProposalStep {
        self.phase = Phase::Idle;
        ProposalStep::Finished(outcome)
    }

    fn on_promise(
        &mut self,
        now: Timestamp,
        from: NodeId,
        ballot: Ballot,
        accepted: Option<AcceptedLease>,
        rules: &LeaseRules,
    ) -> ProposalStep {
        let Phase::Preparing { ballot: current, request, promises } = &mut self.phase else {
            return ProposalStep::Ignored;
        };
        if *current != ballot {
            return ProposalStep::Ignored;
        }
        promises.insert(from, accepted);
        let request = *request;
        let tally = PromiseTally::new(promises, self.local_holder);
        if tally.free.len() >= rules.majority() {
            return self.propose(now, ballot, request, tally, rules);
        }
        if rules.acceptors.len() - tally.blocking.len() >= rules.majority() {
            return ProposalStep::Ignored;
        }
        self.finish_blocked_by_other(now, request, &tally.blocking, rules)
    }

    fn propose(
        &mut self,
        now: Timestamp,
        ballot: Ballot,
        request: LeaseRequest,
        tally: PromiseTally,
        rules: &LeaseRules,
    ) -> ProposalStep {
        let Some(value) = self.next_value(now, request, &tally.values, rules) else {
            return self.finish(ProposalOutcome::Released);
        };
        self.observed = None;
        self.phase = Phase::Accepting { ballot, value, requested_at: now, accepted: BTreeSet::new() };
        ProposalStep::Send { message: Message::Accept { lease: self.lease, ballot, value }, to: tally.free }
    }

    /// Ends the proposal, because too few acceptors are free for a majority. Records when enough of the
    /// reported leases expire if they are not renewed.
    fn finish_blocked_by_other(
        &mut self,
        now: Timestamp,
        request: LeaseRequest,
        blocking: &[AcceptedLease],
        rules: &LeaseRules,
    ) -> ProposalStep {
        let mut remaining: Vec<i64> = blocking.iter().map(|accepted| accepted.remaining_ticks).collect();
        remaining.sort_unstable();
        let expiries_needed = blocking.len() + rules.majority() - rules.acceptors.len();
        let expires_at = now + Ticks(remaining[expiries_needed.min(remaining.len()) - 1] + 1);
        self.observed = blocking.first().map(|accepted| ObservedExpiry { value: accepted.value, expires_at });
        match request {
            LeaseRequest::Hold => self.finish(ProposalOutcome::HeldByOther(expires_at)),
            LeaseRequest::Release => self.finish(ProposalOutcome::Released),
        }
    }

    /// Returns the value to propose, or `None` if there is nothing to release.
    fn next_value(
        &self,
        now: Timestamp,
        request: LeaseRequest,
        accepted: &[LeaseValue],
        rules: &LeaseRules,
    ) -> Option<LeaseValue> {
        let last_token = accepted.iter().map(|value| value.token).max().unwrap_or_default();
        match request {
            LeaseRequest::Release => {
                let own = accepted.iter().find(|value| value.holder == Some(self.local_holder))?;
                Some(LeaseValue { holder: None, token: last_token, duration_ticks: own.duration_ticks })
            }
            LeaseRequest::Hold => {
                let new_token = FencingToken(last_token.0.max(self.token_floor.0) + 1);
                // The token is kept only if the lease is still held, since another process may have held it
                // after an interruption.
                let token = self.held(now).map_or(new_token, |held| held.token);
                let duration_ticks = self.duration.min(rules.max_duration).0;
                Some(LeaseValue { holder: Some(self.local_holder), token, duration_ticks })
            }
        }
    }

    fn on_accepted(&mut self, from: NodeId, ballot: Ballot, rules: &LeaseRules) -> ProposalStep {
        let Phase::Accepting { ballot: current, value, requested_at, accepted } = &mut self.phase else {
            return ProposalStep::Ignored;
        };
        if *current != ballot {
            return ProposalStep::Ignored;
        }
        accepted.insert(from);
        if accepted.len() < rules.majority() {
            return ProposalStep::Ignored;
        }
        if value.holder.is_none() {
            return self.finish(ProposalOutcome::Released);
        }
        // Acceptors count the duration from a later time, when they accept the value.
        let expires_at = *requested_at + Ticks(value.duration_ticks);
        self.held = Some(HeldLease { token: value.token, expires_at });
        self.finish(ProposalOutcome::Acquired)
    }
}
