//! Explores the orders of calls, releases and time at two balancers for a permit with one slot: two callers of
//! one balancer and one of the other acquire it, give it back and give up. Callers of different balancers may
//! never act at once. Each mutant lacks one rule and must violate this invariant.
//!
//! Messages between balancers are delivered at once; `crates/leases/tests/model.rs` explores their loss.

use std::hash::{Hash, Hasher};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::permits::{Permit, PermitAction, PermitCall};
use doorproxy_leases::acceptor::Acceptor;
use doorproxy_leases::caller_grants::Caller;
use doorproxy_leases::messages::{FencingToken, LeaseId, LeaseRules, ProcessIdentity};
use doorproxy_leases::proposer::{LeaseRequest, ProposalOutcome, ProposalStep, Proposer};
use doorproxy_membership::message::{Incarnation, NodeId};
use doorproxy_model_checker::{Model, Successors, explore, max_states};
use expect_test::expect;

const BALANCERS: usize = 2;
/// The balancer of each caller.
const BALANCER_OF: [usize; 3] = [0, 0, 1];
const DURATION: Ticks = Ticks(100_000);
const STEP: Ticks = Ticks(30_000);
const START: Timestamp = Timestamp(1_000_000);
/// The time for which a balancer requested a permit without `--keep` before the fault was fixed.
const FORMER_REQUEST_TIME: Ticks = Ticks(50_000);
const ACCEPTOR: NodeId = NodeId(9);
const LEASE: LeaseId = LeaseId(7);
/// Limits the states explored, unless the environment sets another limit.
const DEFAULT_MAX_STATES: usize = 40_000;

/// Says which rule is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// A balancer releases the lease a fixed time after the last call, whatever it granted.
    ReleasesAfterRequestTime,
    /// A caller that gives up gives the permit back.
    GivesBackOnGivingUp,
    /// Two callers of a balancer use the same name.
    SharesName,
    /// A balancer still grants times after it decided to release the lease.
    GrantsAfterDecision,
}

#[derive(Clone, Debug)]
struct Balancer {
    permit: Permit,
    proposer: Proposer,
    /// Holds the decision whether to renew, until it is carried out.
    decision: Option<bool>,
    /// Holds the time of the last call under [`Mutant::ReleasesAfterRequestTime`].
    last_call_at: Timestamp,
}

#[derive(Clone, Debug)]
struct State {
    now: Timestamp,
    acceptor: Acceptor,
    balancers: Vec<Balancer>,
    /// Holds until when each caller acts.
    acts_until: [Timestamp; BALANCER_OF.len()],
    call_count: usize,
}

/// Replaces each time by the time until then, and times that have passed by 0.
fn relative_times(text: &str, now: Timestamp) -> String {
    let mut parts = text.split("Timestamp(");
    let mut relative = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let (time, rest) = part.split_once(')').unwrap();
        let remaining = (time.parse::<i64>().unwrap() - now.0).max(0);
        relative += &format!("{remaining}){rest}");
    }
    relative
}

/// Ballots, tokens and the time of the start don't affect which steps are possible, and are left out.
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let registers = self.acceptor.registers();
        let accepted = registers.filter_map(|(_, register)| register.accepted_lease(self.now, &rules()));
        let accepted = accepted.map(|lease| (lease.value.holder, lease.remaining_ticks));
        accepted.collect::<Vec<_>>().hash(hasher);
        for balancer in &self.balancers {
            let held = balancer.proposer.held(self.now);
            held.map(|held| (held.expires_at - self.now).0).hash(hasher);
            let text = format!("{:?} {:?}", balancer.permit, balancer.last_call_at + FORMER_REQUEST_TIME);
            relative_times(&without_token(&text), self.now).hash(hasher);
            balancer.decision.hash(hasher);
        }
        self.acts_until.map(|until| (until - self.now).0.max(0)).hash(hasher);
        self.call_count.hash(hasher);
    }
}

fn without_token(text: &str) -> String {
    match text.split_once("FencingToken(") {
        None => text.to_string(),
        Some((before, after)) => before.to_string() + after.split_once(')').unwrap().1,
    }
}

#[derive(Clone, Debug)]
#[allow(dead_code)]
enum Step {
    AdvanceTime,
    Acquire(usize),
    GiveBack(usize),
    GiveUp(usize),
    /// The balancer decides whether to renew the lease.
    Decide(usize),
    /// The balancer renews or releases the lease as decided, and publishes the result.
    CarryOut(usize),
}

struct PermitModel {
    mutant: Mutant,
    max_calls: usize,
}

fn rules() -> LeaseRules {
    LeaseRules { acceptors: [ACCEPTOR].into(), max_duration: DURATION, clock_drift_ratio: 0.0 }
}

/// Runs a whole proposal at the only acceptor, again if its ballot was too small.
fn propose(state: &mut State, balancer: usize, request: LeaseRequest) {
    let State { now, acceptor, balancers, .. } = state;
    let proposer = &mut balancers[balancer].proposer;
    let mut message = proposer.prepare(request);
    while let Some(response) = acceptor.respond(*now, &message, &rules()) {
        match proposer.on_response(*now, ACCEPTOR, &response, &rules()) {
            ProposalStep::Send { message: next, .. } => message = next,
            ProposalStep::Finished(ProposalOutcome::Preempted) => message = proposer.prepare(request),
            ProposalStep::Ignored | ProposalStep::Finished(_) => break,
        }
    }
}

impl PermitModel {
    fn call(&self, state: &mut State, caller: usize, action: PermitAction) {
        let balancer = &mut state.balancers[BALANCER_OF[caller]];
        let shared_name = Caller::Named("shared".to_string());
        let name = if self.mutant == Mutant::SharesName { shared_name } else { Caller::Unnamed };
        let call = PermitCall { name: "restart", caller: name, action, renewal: Ticks::ZERO };
        let answer = balancer.permit.call(state.now, &call);
        state.call_count += 1;
        if action == PermitAction::Acquire {
            balancer.last_call_at = state.now;
            let granted = answer["for_s"].as_f64().unwrap_or(0.0);
            state.acts_until[caller] =
                state.acts_until[caller].max(state.now + Ticks::from_secs_f64(granted));
        } else {
            state.acts_until[caller] = state.now;
        }
    }

    fn decide(&self, balancer: &mut Balancer, now: Timestamp) -> bool {
        match self.mutant {
            Mutant::ReleasesAfterRequestTime => {
                let is_requested = now - balancer.last_call_at < FORMER_REQUEST_TIME;
                if !is_requested {
                    balancer.permit.publish(None, String::new());
                }
                is_requested
            }
            Mutant::GrantsAfterDecision => balancer.permit.clone().decide_renewal(now),
            _ => balancer.permit.decide_renewal(now),
        }
    }

    fn carry_out(&self, state: &mut State, balancer: usize, renew: bool) {
        propose(state, balancer, if renew { LeaseRequest::Hold } else { LeaseRequest::Release });
        let Balancer { permit, proposer, decision, .. } = &mut state.balancers[balancer];
        permit.publish(proposer.held(state.now), String::new());
        *decision = None;
    }
}

impl Model for PermitModel {
    type State = State;
    type Step = Step;

    fn initial_states(&self) -> Vec<State> {
        let holder =
            |index: usize| ProcessIdentity { node: NodeId(index as u64), incarnation: Incarnation(1) };
        let balancer = |index| {
            let mut permit = Permit::new(0.0);
            permit.publish(None, String::new());
            Balancer {
                permit,
                proposer: Proposer::new(holder(index), LEASE, DURATION, FencingToken(0)),
                decision: None,
                last_call_at: Timestamp(0),
            }
        };
        vec![State {
            now: START,
            acceptor: Acceptor::new(Timestamp(0)),
            balancers: (0..BALANCERS).map(balancer).collect(),
            acts_until: [START; BALANCER_OF.len()],
            call_count: 0,
        }]
    }

    fn successors(&self, state: &State) -> Vec<(Step, State)> {
        let mut successors = Successors::new(state);
        successors.add(Step::AdvanceTime, |state| state.now = state.now + STEP);
        for index in 0..BALANCERS {
            match state.balancers[index].decision {
                Some(renew) => {
                    successors.add(Step::CarryOut(index), |state| self.carry_out(state, index, renew))
                }
                None => successors.add(Step::Decide(index), |state| {
                    let decision = self.decide(&mut state.balancers[index], state.now);
                    state.balancers[index].decision = Some(decision);
                }),
            }
        }
        for caller in 0..BALANCER_OF.len() {
            if state.call_count >= self.max_calls {
                break;
            }
            successors.add(Step::Acquire(caller), |state| self.call(state, caller, PermitAction::Acquire));
            if state.now < state.acts_until[caller] {
                successors
                    .add(Step::GiveBack(caller), |state| self.call(state, caller, PermitAction::GiveBack));
            } else {
                let gives_back = self.mutant == Mutant::GivesBackOnGivingUp;
                let action = if gives_back { PermitAction::GiveBack } else { PermitAction::StopWaiting };
                successors.add(Step::GiveUp(caller), |state| self.call(state, caller, action));
            }
        }
        successors.into_vec()
    }

    fn check_invariant(&self, state: &State) -> Result<(), String> {
        let acting = |caller: &usize| state.now < state.acts_until[*caller];
        let mut balancers: Vec<usize> =
            (0..BALANCER_OF.len()).filter(acting).map(|caller| BALANCER_OF[caller]).collect();
        balancers.dedup();
        if balancers.len() < 2 { Ok(()) } else { Err("callers of two balancers act at once".to_string()) }
    }
}

/// Prevents two holders of a slot in any order of calls, releases and time.
#[test]
fn callers_of_two_balancers_never_act_at_once() {
    for max_calls in [3, 4, 5] {
        let model = PermitModel { mutant: Mutant::None, max_calls };
        let exploration = explore(&model, 60, max_states(DEFAULT_MAX_STATES));
        println!("{max_calls} calls: {exploration}");
        assert_eq!(exploration.violation, None);
    }
}

/// Shows that the model finds each fault that the permit's rules prevent.
#[test]
fn each_mutant_lets_callers_of_two_balancers_act_at_once() {
    let mut report = String::new();
    for mutant in [
        Mutant::ReleasesAfterRequestTime,
        Mutant::GivesBackOnGivingUp,
        Mutant::SharesName,
        Mutant::GrantsAfterDecision,
    ] {
        let exploration = explore(&PermitModel { mutant, max_calls: 6 }, 60, 100_000);
        report += &format!("mutant {mutant:?}: {exploration}\n");
    }
    expect![[r#"
        mutant ReleasesAfterRequestTime: after 12 steps: callers of two balancers act at once
            Acquire(0), Decide(0), CarryOut(0), Acquire(0), AdvanceTime, AdvanceTime, Decide(0), CarryOut(0), Acquire(2), Decide(1), CarryOut(1), Acquire(2)
        mutant GivesBackOnGivingUp: after 11 steps: callers of two balancers act at once
            Acquire(0), Decide(0), CarryOut(0), Acquire(0), GiveUp(1), Decide(0), CarryOut(0), Acquire(2), Decide(1), CarryOut(1), Acquire(2)
        mutant SharesName: after 12 steps: callers of two balancers act at once
            Acquire(0), Decide(0), CarryOut(0), Acquire(0), Acquire(1), GiveBack(0), Decide(0), CarryOut(0), Acquire(2), Decide(1), CarryOut(1), Acquire(2)
        mutant GrantsAfterDecision: after 11 steps: callers of two balancers act at once
            Acquire(0), Decide(0), CarryOut(0), GiveUp(0), Decide(0), Acquire(0), CarryOut(0), Acquire(2), Decide(1), CarryOut(1), Acquire(2)
    "#]]
    .assert_eq(&report);
}
