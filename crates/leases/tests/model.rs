//! Explores the interleavings of two proposers and three acceptors up to a bounded depth: requests are
//! lost or late, responses are lost, proposals are abandoned, an acceptor restarts, and an acceptor is
//! upgraded: a successor process waits until it takes over the acceptor's address. At most one proposer may
//! hold the lease at a time. Each mutant lacks one rule and must violate this invariant.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_leases::acceptor::Acceptor;
use doorproxy_leases::messages::{FencingToken, LeaseId, LeaseRules, LeaseValue, Message, ProcessIdentity};
use doorproxy_leases::proposer::{AbstractPhase, LeaseRequest, ProposalOutcome, ProposalStep, Proposer};
use doorproxy_membership::message::{Incarnation, NodeId};
use doorproxy_model_checker::{Model, Successors, explore, max_states};
use expect_test::expect;

const ACCEPTORS: usize = 3;
const PROPOSERS: usize = 2;
const DURATION: Ticks = Ticks(1000);
const STEP: Ticks = Ticks(600);
/// Caps the ages of acceptors and of accepted leases in an abstract state, and the remaining time of observed
/// leases, in ticks. Beyond the cap they behave the same.
const MAX_AGE: i64 = 2000;
/// Limits the states explored in each case, unless the environment sets another limit.
const DEFAULT_MAX_STATES: usize = 20_000;

/// Says which rule is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// An acceptor considers an accepted lease expired almost at once.
    ExpiresEarly,
    /// A proposer counts the duration of its lease from the arrival of the last accept response.
    CountsFromResponse,
    /// An acceptor makes promises right after a restart.
    SkipsGracePeriod,
    /// A successor counts the grace period from the start of its process, not from when it took over.
    CountsFromProcessStart,
    /// A successor answers beside its predecessor, once the grace period since its start is over.
    SharesAddress,
    /// An acceptor accepts a value under any ballot.
    AcceptsUnpromised,
    /// Each proposer treats one acceptor as a majority.
    TrustsOneAcceptor,
}

#[derive(Clone)]
struct ClusterState {
    now: Timestamp,
    acceptors: Vec<Acceptor>,
    proposers: Vec<Proposer>,
    /// Holds the requests in flight, by proposer and acceptor.
    requests_in_flight: BTreeMap<(usize, usize), Message>,
    /// Holds the accept requests of abandoned proposals, each with its acceptor.
    stray_accepts: Vec<(usize, Message)>,
    /// Holds when each proposer's lease expires under [`Mutant::CountsFromResponse`].
    held_from_response: [Option<Timestamp>; PROPOSERS],
    /// Holds the successor of [`UPGRADED`], which waits for the address.
    successor: Option<Successor>,
    restart_count: usize,
    proposal_count: usize,
}

/// A process that waits until it takes over the address of its predecessor.
#[derive(Clone)]
struct Successor {
    started_at: Timestamp,
    /// Holds the acceptor that answers beside the predecessor under [`Mutant::SharesAddress`].
    acceptor: Acceptor,
}

/// The acceptor that has a successor.
const UPGRADED: usize = 0;

fn encode_value(value: Option<&LeaseValue>) -> [i64; 3] {
    value.map_or([-1; 3], |value| {
        [value.holder.map_or(0, |holder| holder.node.0 as i64), value.token.0 as i64, value.duration_ticks]
    })
}

impl ClusterState {
    fn abstract_state(&self) -> (Vec<i64>, String, Vec<AbstractPhase>) {
        let age = |age: Ticks| age.0.clamp(-MAX_AGE, MAX_AGE);
        let mut numbers = vec![self.restart_count as i64, self.proposal_count as i64];
        numbers.push(self.successor.as_ref().map_or(-1, |successor| age(self.now - successor.started_at)));
        let beside = self.successor.as_ref().map(|successor| &successor.acceptor);
        for acceptor in self.acceptors.iter().chain(beside) {
            numbers.push(age(acceptor.age(self.now)));
            for (_, register) in acceptor.registers() {
                numbers.extend([register.promised.round as i64, register.promised.proposer as i64]);
                let accepted = register.accepted.as_ref();
                numbers.push(accepted.map_or(-1, |accepted| age(self.now - accepted.accepted_at)));
                numbers.extend(encode_value(accepted.map(|accepted| &accepted.value)));
            }
        }
        for (proposer, held_until) in self.proposers.iter().zip(self.held_from_response) {
            let observed = proposer.observed(self.now);
            numbers.extend([
                -3,
                proposer.round() as i64,
                observed.map_or(-1, |observed| age(observed.remaining)),
            ]);
            numbers.extend(encode_value(observed.as_ref().map(|observed| &observed.value)));
            numbers.push(proposer.held(self.now).map_or(-1, |held| (held.expires_at - self.now).0));
            numbers.push(held_until.map_or(-1, |until| (until - self.now).0.max(-1)));
        }
        let messages = format!("{:?} {:?}", self.requests_in_flight, self.stray_accepts);
        let phases = self.proposers.iter().map(|proposer| proposer.abstract_phase(self.now)).collect();
        (numbers, messages, phases)
    }
}

impl PartialEq for ClusterState {
    fn eq(&self, other: &ClusterState) -> bool {
        self.abstract_state() == other.abstract_state()
    }
}

impl Eq for ClusterState {}

impl Hash for ClusterState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.abstract_state().hash(hasher);
    }
}

#[derive(Clone, Debug)]
#[allow(dead_code)]
enum Step {
    AdvanceTime,
    /// The proposer sends its prepare requests.
    StartProposal(usize),
    /// The proposer's request reaches the acceptor, and the response arrives at once.
    Deliver(usize, usize),
    /// The proposer's request reaches the acceptor, and the response is lost.
    DeliverLosingResponse(usize, usize),
    /// The proposer abandons its proposal. Its accept requests stay in flight.
    Abandon(usize),
    /// An accept request of an abandoned proposal arrives.
    DeliverStray(usize),
    /// The acceptor restarts.
    RestartAcceptor(usize),
    /// The predecessor has ended, and its successor takes over its address.
    TakeOver,
    /// The proposer's request reaches the successor beside its predecessor, and the response arrives at once.
    DeliverToSuccessor(usize),
}

struct TwoProposers {
    mutant: Mutant,
    max_restarts: usize,
    /// Says whether an acceptor is upgraded.
    has_upgrade: bool,
    /// Limits the total number of proposals of both proposers.
    max_proposals: usize,
}

fn node_id(index: usize) -> NodeId {
    NodeId(index as u64 + 1)
}

const LEASE: LeaseId = LeaseId(7);

impl TwoProposers {
    fn rules(&self) -> LeaseRules {
        LeaseRules {
            acceptors: (0..ACCEPTORS).map(node_id).collect(),
            max_duration: DURATION,
            clock_drift_ratio: 0.0,
        }
    }

    fn acceptor_rules(&self) -> LeaseRules {
        LeaseRules {
            clock_drift_ratio: if self.mutant == Mutant::ExpiresEarly { -0.99 } else { 0.0 },
            ..self.rules()
        }
    }

    /// Returns the proposer's rules. Under [`Mutant::TrustsOneAcceptor`], each proposer knows a single
    /// acceptor, which differs between them.
    fn proposer_rules(&self, proposer: usize) -> LeaseRules {
        let mut rules = self.rules();
        if self.mutant == Mutant::TrustsOneAcceptor {
            rules.acceptors = [node_id(proposer)].into();
        }
        rules
    }

    /// Delivers a request to an acceptor and returns its response.
    fn deliver_request(
        &self,
        state: &mut ClusterState,
        acceptor: usize,
        request: &Message,
    ) -> Option<Message> {
        if let (Mutant::AcceptsUnpromised, Message::Accept { ballot, value, lease }) = (self.mutant, request)
        {
            // The mutant replaces the ballot with the one that the acceptor promised last.
            let promised =
                state.acceptors[acceptor].registers().map(|(_, register)| register.promised).next();
            let forged =
                Message::Accept { ballot: promised.unwrap_or_default(), value: *value, lease: *lease };
            let response = state.acceptors[acceptor].respond(state.now, &forged, &self.acceptor_rules());
            let is_accepted = matches!(response, Some(Message::Accepted { .. }));
            return is_accepted.then_some(Message::Accepted { ballot: *ballot, lease: *lease });
        }
        state.acceptors[acceptor].respond(state.now, request, &self.acceptor_rules())
    }

    fn deliver_response(
        &self,
        state: &mut ClusterState,
        proposer: usize,
        acceptor: usize,
        response: &Message,
    ) {
        let rules = self.proposer_rules(proposer);
        let response_step =
            state.proposers[proposer].on_response(state.now, node_id(acceptor), response, &rules);
        match response_step {
            ProposalStep::Ignored => {}
            ProposalStep::Finished(outcome) => {
                state.requests_in_flight.retain(|(sender, _), _| *sender != proposer);
                if outcome == ProposalOutcome::Acquired {
                    state.held_from_response[proposer] = Some(state.now + DURATION);
                }
            }
            ProposalStep::Send { message, to } => {
                state.requests_in_flight.retain(|(sender, _), _| *sender != proposer);
                let acceptors = to.into_iter().map(|node| node.0 as usize - 1);
                state.requests_in_flight.extend(acceptors.map(|acceptor| ((proposer, acceptor), message)));
            }
        }
    }

    fn is_holding(&self, state: &ClusterState, proposer: usize) -> bool {
        match self.mutant {
            Mutant::CountsFromResponse => {
                state.held_from_response[proposer].is_some_and(|until| state.now < until)
            }
            _ => state.proposers[proposer].held(state.now).is_some(),
        }
    }
}

impl TwoProposers {
    fn proposer_steps(&self, successors: &mut Successors<Step, ClusterState>, state: &ClusterState) {
        for proposer in 0..PROPOSERS {
            if state.proposers[proposer].is_idle() {
                if state.proposal_count < self.max_proposals {
                    successors.add(Step::StartProposal(proposer), |state| {
                        let message = state.proposers[proposer].prepare(LeaseRequest::Hold);
                        state.proposal_count += 1;
                        state
                            .requests_in_flight
                            .extend((0..ACCEPTORS).map(|acceptor| ((proposer, acceptor), message)));
                    });
                }
                continue;
            }
            successors.add(Step::Abandon(proposer), |state| {
                state.proposers[proposer].abandon();
                let is_accept = |message: &Message| matches!(message, Message::Accept { .. });
                let requests = state.requests_in_flight.iter();
                let strays =
                    requests.filter(|((sender, _), message)| *sender == proposer && is_accept(message));
                let strays = strays.map(|((_, acceptor), message)| (*acceptor, *message));
                state.stray_accepts.extend(strays);
                state.requests_in_flight.retain(|(sender, _), _| *sender != proposer);
            });
        }
    }

    fn delivery_steps(&self, successors: &mut Successors<Step, ClusterState>, state: &ClusterState) {
        for (&(proposer, acceptor), request) in &state.requests_in_flight {
            successors.add(Step::Deliver(proposer, acceptor), |state| {
                state.requests_in_flight.remove(&(proposer, acceptor));
                if let Some(response) = self.deliver_request(state, acceptor, request) {
                    self.deliver_response(state, proposer, acceptor, &response);
                }
            });
            successors.add(Step::DeliverLosingResponse(proposer, acceptor), |state| {
                state.requests_in_flight.remove(&(proposer, acceptor));
                self.deliver_request(state, acceptor, request);
            });
        }
        for (index, (acceptor, request)) in state.stray_accepts.iter().enumerate() {
            successors.add(Step::DeliverStray(index), |state| {
                state.stray_accepts.remove(index);
                self.deliver_request(state, *acceptor, request);
            });
        }
    }

    fn upgrade_steps(&self, successors: &mut Successors<Step, ClusterState>, state: &ClusterState) {
        let Some(successor) = &state.successor else { return };
        successors.add(Step::TakeOver, |state| {
            let counts_from_start = self.mutant == Mutant::CountsFromProcessStart;
            let sole_since = if counts_from_start { successor.started_at } else { state.now };
            state.acceptors[UPGRADED] = Acceptor::new(sole_since);
            state.successor = None;
        });
        if self.mutant != Mutant::SharesAddress {
            return;
        }
        for (&(proposer, acceptor), request) in &state.requests_in_flight {
            if acceptor != UPGRADED {
                continue;
            }
            successors.add(Step::DeliverToSuccessor(proposer), |state| {
                state.requests_in_flight.remove(&(proposer, acceptor));
                let rules = self.acceptor_rules();
                let beside = state.successor.as_mut().map(|successor| &mut successor.acceptor);
                let response = beside.and_then(|beside| beside.respond(state.now, request, &rules));
                if let Some(response) = response {
                    self.deliver_response(state, proposer, acceptor, &response);
                }
            });
        }
    }

    fn restart_steps(&self, successors: &mut Successors<Step, ClusterState>, state: &ClusterState) {
        if state.restart_count < self.max_restarts {
            for acceptor in 0..ACCEPTORS {
                successors.add(Step::RestartAcceptor(acceptor), |state| {
                    let started =
                        if self.mutant == Mutant::SkipsGracePeriod { Timestamp(0) } else { state.now };
                    state.acceptors[acceptor] = Acceptor::new(started);
                    state.restart_count += 1;
                });
            }
        }
    }
}

impl Model for TwoProposers {
    type State = ClusterState;
    type Step = Step;

    fn initial_states(&self) -> Vec<ClusterState> {
        let holder = |proposer: usize| ProcessIdentity {
            node: NodeId(100 + proposer as u64),
            incarnation: Incarnation(1),
        };
        let proposer = |index| Proposer::new(holder(index), LEASE, DURATION, FencingToken(0));
        vec![ClusterState {
            now: Timestamp(1_000_000),
            // The acceptors started long ago, so their grace period is over.
            acceptors: (0..ACCEPTORS).map(|_| Acceptor::new(Timestamp(0))).collect(),
            proposers: (0..PROPOSERS).map(proposer).collect(),
            requests_in_flight: BTreeMap::new(),
            stray_accepts: Vec::new(),
            held_from_response: [None; PROPOSERS],
            // The successor started long ago, so a grace period from its start is over.
            successor: self
                .has_upgrade
                .then(|| Successor { started_at: Timestamp(0), acceptor: Acceptor::new(Timestamp(0)) }),
            restart_count: 0,
            proposal_count: 0,
        }]
    }

    fn successors(&self, state: &ClusterState) -> Vec<(Step, ClusterState)> {
        let mut successors = Successors::new(state);
        successors.add(Step::AdvanceTime, |state| state.now = state.now + STEP);
        self.proposer_steps(&mut successors, state);
        self.delivery_steps(&mut successors, state);
        self.restart_steps(&mut successors, state);
        self.upgrade_steps(&mut successors, state);
        successors.into_vec()
    }

    fn check_invariant(&self, state: &ClusterState) -> Result<(), String> {
        let holders = (0..PROPOSERS).filter(|&proposer| self.is_holding(state, proposer)).count();
        if holders < 2 { Ok(()) } else { Err(format!("{holders} hold the lease at once")) }
    }
}

#[test]
fn two_proposers_never_hold_the_lease_at_once() {
    for has_upgrade in [false, true] {
        for (max_restarts, max_proposals) in [(0, 2), (0, 3), (1, 2), (1, 3)] {
            let exploration = explore(
                &TwoProposers { mutant: Mutant::None, max_restarts, has_upgrade, max_proposals },
                60,
                max_states(DEFAULT_MAX_STATES),
            );
            println!(
                "{max_restarts} restarts, upgrade {has_upgrade}, {max_proposals} proposals: {exploration}"
            );
            assert_eq!(exploration.violation, None);
        }
    }
}

#[test]
fn each_mutant_allows_two_holders() {
    let mut report = String::new();
    for (mutant, max_restarts, has_upgrade) in [
        (Mutant::ExpiresEarly, 0, false),
        (Mutant::CountsFromResponse, 0, false),
        (Mutant::SkipsGracePeriod, 1, false),
        (Mutant::CountsFromProcessStart, 0, true),
        (Mutant::SharesAddress, 0, true),
        (Mutant::AcceptsUnpromised, 0, false),
        (Mutant::TrustsOneAcceptor, 0, false),
    ] {
        let model = TwoProposers { mutant, max_restarts, has_upgrade, max_proposals: 2 };
        let exploration = explore(&model, 60, 400_000);
        report += &format!("mutant {mutant:?}: {exploration}\n");
    }
    expect![[r#"
        mutant ExpiresEarly: after 11 steps: 2 hold the lease at once
            StartProposal(0), StartProposal(1), Deliver(0, 0), Deliver(0, 1), Deliver(0, 0), AdvanceTime, Deliver(0, 1), Deliver(1, 0), Deliver(1, 2), Deliver(1, 0), Deliver(1, 2)
        mutant CountsFromResponse: after 12 steps: 2 hold the lease at once
            StartProposal(0), StartProposal(1), Deliver(0, 0), Deliver(0, 1), Deliver(0, 0), AdvanceTime, AdvanceTime, Deliver(0, 1), Deliver(1, 0), Deliver(1, 2), Deliver(1, 0), Deliver(1, 2)
        mutant SkipsGracePeriod: after 11 steps: 2 hold the lease at once
            StartProposal(0), StartProposal(1), Deliver(0, 0), Deliver(0, 1), Deliver(0, 0), Deliver(0, 1), Deliver(1, 2), RestartAcceptor(0), Deliver(1, 0), Deliver(1, 0), Deliver(1, 2)
        mutant CountsFromProcessStart: after 11 steps: 2 hold the lease at once
            StartProposal(0), StartProposal(1), Deliver(0, 0), Deliver(0, 1), Deliver(0, 0), Deliver(0, 1), Deliver(1, 2), TakeOver, Deliver(1, 0), Deliver(1, 0), Deliver(1, 2)
        mutant SharesAddress: after 10 steps: 2 hold the lease at once
            StartProposal(0), StartProposal(1), Deliver(0, 0), Deliver(0, 1), Deliver(0, 0), Deliver(0, 1), Deliver(1, 2), DeliverToSuccessor(1), Deliver(1, 2), DeliverToSuccessor(1)
        mutant AcceptsUnpromised: after 10 steps: 2 hold the lease at once
            StartProposal(0), StartProposal(1), Deliver(0, 0), Deliver(0, 1), Deliver(0, 0), Deliver(1, 1), Deliver(0, 1), Deliver(1, 2), Deliver(1, 1), Deliver(1, 2)
        mutant TrustsOneAcceptor: after 6 steps: 2 hold the lease at once
            StartProposal(0), StartProposal(1), Deliver(0, 0), Deliver(0, 0), Deliver(1, 1), Deliver(1, 1)
    "#]].assert_eq(&report);
}
