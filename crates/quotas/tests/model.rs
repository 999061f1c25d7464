//! Explores the interleavings of two clients of one limit up to a bounded depth: requests and responses are
//! lost or late, a second allocator succeeds the first, and a client restarts while responses to its last
//! process are in flight. The admitted requests must stay within the overshoot bound. Each mutant lacks one
//! rule and must exceed the bound.

use std::hash::{Hash, Hasher};
use std::sync::Arc;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_leases::messages::ProcessIdentity;
use doorproxy_membership::message::{Incarnation, NodeId};
use doorproxy_membership::outgoing::OutgoingMessage;
use doorproxy_model_checker::{Exploration, Model, Successors, explore};
use doorproxy_quotas::messages::{Demand, LimitId, Message};
use doorproxy_quotas::quota_allocator::QuotaAllocator;
use doorproxy_quotas::quota_client::{QuotaClient, SpendOutcome};
use doorproxy_quotas::rules::{QuotaRules, RateLimit};
use expect_test::expect;

const STEP: Ticks = Ticks(5_000);
const LIMIT: LimitId = LimitId(0);
/// Identifies the first allocator and its successor.
const ALLOCATORS: [NodeId; 2] = [NodeId(1), NodeId(2)];

/// Says which rule is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutant {
    None,
    /// An allocator starts with a full bucket.
    StartsFull,
    /// The first allocator continues after the second has started.
    AllocatesWithoutLease,
    /// The age of an allocation counts from its arrival.
    CountsFromResponse,
    /// A restarted client starts with the same nonces as its last process.
    ReusesNonces,
}

#[derive(Clone, Debug)]
struct SentRequest {
    client: usize,
    message: Message,
}

#[derive(Clone, Debug)]
struct SentResponse {
    client: usize,
    from: NodeId,
    message: Message,
}

#[derive(Clone, Debug)]
struct ClusterState {
    now: Timestamp,
    clients: Vec<QuotaClient>,
    incarnations: [u64; 2],
    allocators: [Option<QuotaAllocator>; 2],
    requests: Vec<SentRequest>,
    responses: Vec<SentResponse>,
    /// Counts the admitted requests above the rate, in hundredths of a request.
    excess_over_rate: i64,
    request_count: usize,
}

impl ClusterState {
    /// Describes the state so that equivalent states compare equal: demands are always the same, and times
    /// are replaced by ages.
    fn abstract_state(&self) -> String {
        let balance = |allocator: &Option<QuotaAllocator>| {
            let buckets = allocator.as_ref().map(|allocator| allocator.bucket_statuses(self.now, &rules()));
            buckets.map(|buckets| buckets.first().map(|bucket| (bucket.balance * 100.0) as i64))
        };
        let age = |allocator: &Option<QuotaAllocator>| {
            allocator.as_ref().map(|allocator| allocator.age(self.now).min(Ticks(20_000)))
        };
        let clients = self.clients.iter().map(|client| client.abstract_client(self.now));
        format!(
            "{:?} {:?} {:?} {:?} {:?} {:?} {} {}",
            self.allocators.iter().map(balance).collect::<Vec<_>>(),
            self.allocators.iter().map(age).collect::<Vec<_>>(),
            clients.collect::<Vec<_>>(),
            self.incarnations,
            self.requests,
            self.responses,
            self.excess_over_rate,
            self.request_count
        )
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
    SendRequest(usize),
    /// The request with the first index reaches the allocator with the second, which sends its response. A
    /// request or response that is never delivered is lost.
    DeliverRequest(usize, usize),
    DeliverResponse(usize),
    /// A client's request is admitted or rejected.
    Spend(usize),
    /// The second allocator acquires the lease after the first has lost it.
    HandOver,
    /// The client's process restarts.
    RestartClient(usize),
}

struct TwoClients {
    mutant: Mutant,
    /// Limits the total number of requests of both clients.
    max_requests: usize,
    may_restart: bool,
    may_hand_over: bool,
}

fn rules() -> QuotaRules {
    let limit = RateLimit { name: "acme".to_string(), rate: 1.0, burst: 1.0, fallback_rate: None };
    QuotaRules {
        limits: [(LIMIT, limit)].into(),
        shard_count: 1,
        contact_timeout: Ticks(20_000),
        clock_drift_ratio: 0.0,
    }
}

impl TwoClients {
    fn new_client(&self, now: Timestamp, incarnation: u64) -> QuotaClient {
        let incarnation = if self.mutant == Mutant::ReusesNonces { 1 } else { incarnation };
        QuotaClient::new(now, Incarnation(incarnation), Arc::new(rules()), ALLOCATORS.to_vec())
    }

    fn new_allocator(&self, now: Timestamp) -> QuotaAllocator {
        let is_full = self.mutant == Mutant::StartsFull;
        QuotaAllocator::new(if is_full { now - Ticks(1_000_000) } else { now })
    }

    fn deliver_request(&self, state: &mut ClusterState, index: usize, allocator_index: usize) {
        let SentRequest { client, message } = state.requests.remove(index);
        let Message::AllocationRequest { nonce, demands, .. } = message else { return };
        let process = ProcessIdentity {
            node: NodeId(10 + client as u64),
            incarnation: Incarnation(state.incarnations[client]),
        };
        let Some(allocator) = &mut state.allocators[allocator_index] else { return };
        if let Some(allocations) = allocator.allocate(state.now, process, nonce, &demands, &rules()) {
            let message = Message::AllocationGrant { nonce, allocations };
            state.responses.push(SentResponse { client, from: ALLOCATORS[allocator_index], message });
        }
    }

    fn deliver_response(&self, state: &mut ClusterState, index: usize) {
        let SentResponse { client, from, mut message } = state.responses.remove(index);
        // The mutant treats the allocation as if it had been requested just now.
        if self.mutant == Mutant::CountsFromResponse
            && let Message::AllocationGrant { nonce, .. } = &mut message
            && let requests = state.clients[client].tick(state.now + Ticks(2_000)).outgoing
            && let Some(Message::AllocationRequest { nonce: new_nonce, .. }) =
                requests.first().map(|request| &request.message)
        {
            *nonce = *new_nonce;
        }
        state.clients[client].on_response(state.now, from, &message);
    }
}

impl TwoClients {
    fn client_steps(&self, successors: &mut Successors<Step, ClusterState>, state: &ClusterState) {
        for client in 0..2 {
            if state.request_count < self.max_requests
                && state.requests.iter().all(|request| request.client != client)
            {
                successors.add(Step::SendRequest(client), |state| {
                    for OutgoingMessage { mut message, .. } in state.clients[client].tick(state.now).outgoing
                    {
                        if let Message::AllocationRequest { demands, .. } = &mut message {
                            *demands = vec![Demand { limit: LIMIT, requested: 1, arrival_rate_tenths: 10 }];
                        }
                        state.request_count += 1;
                        state.requests.push(SentRequest { client, message });
                    }
                });
            }
            if state.clients[client].limit_statuses(state.now)[0].balance > 0 {
                successors.add(Step::Spend(client), |state| {
                    if state.clients[client].spend(state.now, LIMIT) == SpendOutcome::Admitted {
                        state.excess_over_rate += 100;
                    }
                });
            }
            if self.may_restart
                && state.incarnations[client] == 1
                && state.responses.iter().any(|response| response.client == client)
            {
                successors.add(Step::RestartClient(client), |state| {
                    state.incarnations[client] = 2;
                    state.clients[client] = self.new_client(state.now, 2);
                    state.clients[client].spend(state.now, LIMIT);
                });
            }
        }
    }

    fn delivery_steps(&self, successors: &mut Successors<Step, ClusterState>, state: &ClusterState) {
        for index in 0..state.requests.len() {
            for allocator in (0..2).filter(|&allocator| state.allocators[allocator].is_some()) {
                successors.add(Step::DeliverRequest(index, allocator), |state| {
                    self.deliver_request(state, index, allocator)
                });
            }
        }
        for index in 0..state.responses.len() {
            successors.add(Step::DeliverResponse(index), |state| self.deliver_response(state, index));
        }
    }

    fn hand_over_steps(&self, successors: &mut Successors<Step, ClusterState>, state: &ClusterState) {
        if self.may_hand_over && state.allocators[1].is_none() {
            successors.add(Step::HandOver, |state| {
                if self.mutant != Mutant::AllocatesWithoutLease {
                    state.allocators[0] = None;
                }
                state.allocators[1] = Some(self.new_allocator(state.now));
            });
        }
    }
}

impl Model for TwoClients {
    type State = ClusterState;
    type Step = Step;

    fn initial_states(&self) -> Vec<ClusterState> {
        let now = Timestamp(1_000_000);
        let mut clients = vec![self.new_client(now, 1), self.new_client(now, 1)];
        // Both clients rejected a request a moment ago, so both have demand.
        for client in &mut clients {
            client.spend(now, LIMIT);
        }
        vec![ClusterState {
            now,
            clients,
            incarnations: [1; 2],
            // The allocator started so long ago that its bucket is full.
            allocators: [Some(QuotaAllocator::new(now - Ticks(20_000))), None],
            requests: Vec::new(),
            responses: Vec::new(),
            excess_over_rate: 0,
            request_count: 0,
        }]
    }

    fn successors(&self, state: &ClusterState) -> Vec<(Step, ClusterState)> {
        let mut successors = Successors::new(state);
        successors.add(Step::AdvanceTime, |state| {
            state.now = state.now + STEP;
            let allowed = (STEP.as_secs_f64() * rules().limits[&LIMIT].rate * 100.0) as i64;
            state.excess_over_rate = (state.excess_over_rate - allowed).max(0);
        });
        self.client_steps(&mut successors, state);
        self.delivery_steps(&mut successors, state);
        self.hand_over_steps(&mut successors, state);
        successors.into_vec()
    }

    fn check_invariant(&self, state: &ClusterState) -> Result<(), String> {
        let rules = rules();
        let max_burst = rules.overshoot_bound(&rules.limits[&LIMIT], 0).burst;
        let is_within = state.excess_over_rate as f64 <= max_burst * 100.0;
        is_within
            .then_some(())
            .ok_or_else(|| format!("{} hundredths of a request above the rate", state.excess_over_rate))
    }
}

fn format_exploration(exploration: Exploration) -> String {
    let Exploration { state_count, depth, is_truncated, violation } = exploration;
    let extent = if is_truncated { "truncated" } else { "complete" };
    match violation {
        None => format!("{state_count} states, {depth} steps, {extent}: no violation\n"),
        Some(violation) => format!("{}:\n  {}\n", violation.reason, violation.trace.join("\n  ")),
    }
}

const MAX_STATES: usize = 150_000;

#[test]
fn no_interleaving_exceeds_the_bound() {
    let cases = [
        TwoClients { mutant: Mutant::None, max_requests: 4, may_restart: false, may_hand_over: true },
        TwoClients { mutant: Mutant::None, max_requests: 4, may_restart: true, may_hand_over: false },
        TwoClients { mutant: Mutant::None, max_requests: 3, may_restart: true, may_hand_over: true },
    ];
    let report: String = cases.iter().map(|case| format_exploration(explore(case, 40, MAX_STATES))).collect();
    expect![[r#"
        95385 states, 22 steps, complete: no violation
        38169 states, 20 steps, complete: no violation
        47545 states, 18 steps, complete: no violation
    "#]]
    .assert_eq(&report);
}

/// The bound needs each of these rules. The rule that a repeated request is granted nothing is not among
/// them, since it only saves requests.
#[test]
fn each_mutant_exceeds_the_bound() {
    let cases = [
        TwoClients { mutant: Mutant::StartsFull, max_requests: 4, may_restart: false, may_hand_over: true },
        TwoClients {
            mutant: Mutant::AllocatesWithoutLease,
            max_requests: 3,
            may_restart: false,
            may_hand_over: true,
        },
        TwoClients {
            mutant: Mutant::CountsFromResponse,
            max_requests: 4,
            may_restart: false,
            may_hand_over: false,
        },
        TwoClients { mutant: Mutant::ReusesNonces, max_requests: 4, may_restart: true, may_hand_over: false },
    ];
    let report: String = cases
        .iter()
        .map(|case| format!("{:?}: {}", case.mutant, format_exploration(explore(case, 24, MAX_STATES))))
        .collect();
    expect![[r#"
        StartsFull: 250 hundredths of a request above the rate:
          SendRequest(0)
          SendRequest(1)
          DeliverRequest(0, 0)
          DeliverResponse(0)
          HandOver
          DeliverRequest(0, 1)
          AdvanceTime
          Spend(0)
          SendRequest(1)
          DeliverResponse(0)
          Spend(1)
          AdvanceTime
          DeliverRequest(0, 1)
          DeliverResponse(0)
          Spend(1)
        AllocatesWithoutLease: 250 hundredths of a request above the rate:
          SendRequest(0)
          DeliverRequest(0, 0)
          DeliverResponse(0)
          HandOver
          AdvanceTime
          Spend(0)
          AdvanceTime
          SendRequest(0)
          SendRequest(1)
          DeliverRequest(0, 0)
          DeliverRequest(0, 1)
          DeliverResponse(0)
          Spend(0)
          DeliverResponse(0)
          Spend(1)
        CountsFromResponse: 250 hundredths of a request above the rate:
          SendRequest(0)
          DeliverRequest(0, 0)
          AdvanceTime
          AdvanceTime
          SendRequest(0)
          DeliverRequest(0, 0)
          AdvanceTime
          SendRequest(0)
          DeliverResponse(0)
          Spend(0)
          AdvanceTime
          DeliverRequest(0, 0)
          DeliverResponse(0)
          Spend(0)
          DeliverResponse(0)
          Spend(0)
        ReusesNonces: 250 hundredths of a request above the rate:
          SendRequest(0)
          DeliverRequest(0, 0)
          AdvanceTime
          AdvanceTime
          SendRequest(0)
          DeliverRequest(0, 0)
          AdvanceTime
          SendRequest(0)
          DeliverResponse(1)
          Spend(0)
          AdvanceTime
          DeliverRequest(0, 0)
          DeliverResponse(1)
          Spend(0)
          RestartClient(0)
          SendRequest(0)
          DeliverResponse(0)
          Spend(0)
    "#]]
    .assert_eq(&report);
}
