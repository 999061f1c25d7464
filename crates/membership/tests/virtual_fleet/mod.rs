//! Simulates a fleet of nodes on a virtual clock and network, with faults drawn from a seed: loss, delay,
//! duplication, partitions in one direction or both, stalled links, pauses, crashes, restarts, drifting
//! clocks, and incarnations from a wall clock that was set back. The simulation runs the code under test and
//! has no second implementation of it.

// The tests and the example each use only some of the items.
#![allow(dead_code)]

mod checks;
mod faults;
mod network;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::Pcg;
use doorproxy_membership::member_list::MemberChange;
use doorproxy_membership::message::{Envelope, Incarnation, MemberState, Message, NodeId};
use doorproxy_membership::node::{Effects, MembershipNode, MembershipSettings};

use faults::Link;

/// Holds one second in ticks of the simulation, which are tenths of a millisecond.
pub const SECOND: i64 = 10_000;

/// Selects a seeded bug, which is injected by the network or when the state of a node is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    /// A response counts as the response to the latest heartbeat.
    CountsFromLatestRequest,
    /// Replicas leave out nodes that have been silent for a third of a lease.
    ExpiresEarly,
    /// A replica gives a snapshot right after its start, of the nodes it has heard from since.
    SkipsGracePeriod,
    /// A node uses a full share as soon as it holds its lease.
    SkipsNewcomerWait,
}

#[derive(Clone, Debug)]
pub struct SimulationCase {
    pub seed: u64,
    pub node_count: usize,
    pub replica_count: usize,
    /// Sets the ratio of all datagrams that is lost, on any link.
    pub loss_ratio: f64,
    pub clock_drift_ratio: f64,
    pub reserve_ratio: Option<f64>,
    pub configured_count: u32,
    /// Sets how long faults are injected, in seconds.
    pub fault_phase_s: f64,
    pub quiet_phase_s: f64,
    pub mutant: Mutant,
    /// Sets the shortest time between two checks of the invariants, in ticks. With 0, the invariants are
    /// checked after every event that may affect them.
    pub check_interval: i64,
}

/// Holds one node with its clock and its queue of messages.
struct SimulatedNode {
    name: String,
    node: Option<MembershipNode>,
    /// Holds the ticks of the node's clock per tick of the simulation.
    clock_rate: f64,
    clock_offset: i64,
    is_paused: bool,
    /// Holds the messages that arrived while the node was paused.
    unread_messages: Vec<(SocketAddr, Envelope)>,
    next_tick_at: i64,
}

impl SimulatedNode {
    /// Creates a node that does not run yet, with a random clock.
    fn with_random_clock(index: usize, case: &SimulationCase, rng: &mut Pcg) -> SimulatedNode {
        // The rates of any two clocks differ by at most the configured ratio.
        let clock_rate = 1.0 + case.clock_drift_ratio * (rng.next_f64() - 0.5);
        let clock_offset = (rng.next_f64() * 1e9) as i64;
        SimulatedNode {
            name: node_name(index),
            node: None,
            clock_rate,
            clock_offset,
            is_paused: false,
            unread_messages: Vec::new(),
            next_tick_at: 0,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkState {
    Healthy,
    Cut,
    Stalled,
    /// Messages arrive this many ticks later.
    Delayed(i64),
}

enum Event {
    Tick(usize),
    Deliver { to: usize, from: usize, message: Envelope },
    Fault,
    FaultOver(Vec<Link>),
    Resume(usize),
    Restart(usize),
}

/// Records that a node has changed its belief about another one.
pub struct StateChange {
    pub at: i64,
    pub observer: String,
    pub member: String,
    pub state: MemberState,
}

#[derive(Default)]
struct RecordedEffects {
    sent: Vec<(SocketAddr, Envelope)>,
    changes: Vec<MemberChange>,
}

impl Effects for RecordedEffects {
    fn send(&mut self, to: SocketAddr, message: Envelope) {
        self.sent.push((to, message));
    }

    fn on_member_change(&mut self, change: MemberChange) {
        self.changes.push(change);
    }
}

pub struct SimulatedFleet {
    case: SimulationCase,
    pub now: i64,
    rng: Pcg,
    nodes: Vec<SimulatedNode>,
    events: BTreeMap<(i64, u64), Event>,
    event_count: u64,
    links: BTreeMap<Link, LinkState>,
    stalled_messages: Vec<(usize, usize, Envelope)>,
    checked_at: i64,
    pub violation: Option<String>,
    pub datagrams: u64,
    pub bytes: u64,
    /// Counts how often a running node was declared dead.
    pub false_deaths: u64,
    /// Holds the changes of beliefs, in the order of time.
    pub state_changes: Vec<StateChange>,
    replica_heard_at: BTreeMap<(usize, NodeId), i64>,
    latest_nonces: BTreeMap<(String, String), u64>,
}

fn node_address(index: usize) -> SocketAddr {
    (Ipv4Addr::from(0x0a00_0000 + index as u32), 5002).into()
}

fn node_index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0000) as usize,
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

pub fn node_name(index: usize) -> String {
    format!("n{index}")
}

impl SimulatedFleet {
    pub fn new(case: SimulationCase) -> SimulatedFleet {
        let mut rng = Pcg::new(case.seed);
        let nodes = (0..case.node_count)
            .map(|index| SimulatedNode::with_random_clock(index, &case, &mut rng))
            .collect();
        let mut fleet = SimulatedFleet {
            now: 0,
            rng,
            nodes,
            events: BTreeMap::new(),
            event_count: 0,
            links: BTreeMap::new(),
            stalled_messages: Vec::new(),
            checked_at: 0,
            violation: None,
            datagrams: 0,
            bytes: 0,
            false_deaths: 0,
            state_changes: Vec::new(),
            replica_heard_at: BTreeMap::new(),
            latest_nonces: BTreeMap::new(),
            case,
        };
        for index in 0..fleet.nodes.len() {
            fleet.start(index);
        }
        fleet
    }

    fn schedule(&mut self, at: i64, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn clock(&self, index: usize) -> Timestamp {
        let simulated = &self.nodes[index];
        Timestamp((self.now as f64 * simulated.clock_rate) as i64 + simulated.clock_offset)
    }

    pub fn start(&mut self, index: usize) {
        // An incarnation is smaller than the one before if the wall clock was set back.
        let incarnation = 1_000_000 + self.now as u64 / 10;
        let incarnation = if self.rng.next_f64() < 0.2 { incarnation - 900_000 } else { incarnation };
        let settings = self.settings(index, Incarnation(incarnation.max(1)));
        let seed = self.case.seed ^ (index as u64) << 32 ^ self.event_count;
        let now = self.clock(index);
        let simulated = &mut self.nodes[index];
        let mut node = MembershipNode::new(now, seed, settings);
        node.start_replica(now);
        simulated.node = Some(node);
        simulated.is_paused = false;
        simulated.unread_messages.clear();
        self.replica_heard_at.retain(|(replica, _), _| *replica != index);
        self.schedule(self.now, Event::Tick(index));
    }

    fn settings(&self, index: usize, incarnation: Incarnation) -> MembershipSettings {
        let registry_replicas =
            (0..self.case.replica_count).map(|index| (node_name(index), node_address(index))).collect();
        MembershipSettings {
            name: node_name(index),
            incarnation,
            advertised_address: node_address(index),
            zone: if index.is_multiple_of(2) { "east" } else { "west" }.to_string(),
            seeds: vec![node_address(0), node_address(self.case.node_count / 2)],
            registry_replicas,
            protocol_period: Ticks(SECOND),
            lease_duration: Ticks(3 * SECOND),
            clock_drift_ratio: self.case.clock_drift_ratio,
            configured_count: self.case.configured_count,
            reserve_ratio: self.case.reserve_ratio,
        }
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].node = None;
        self.nodes[index].unread_messages.clear();
    }

    fn apply_effects(&mut self, index: usize, effects: RecordedEffects) {
        for (to, message) in effects.sent {
            self.send(index, to, message);
        }
        for change in effects.changes {
            let is_up =
                self.nodes.iter().any(|simulated| simulated.name == change.name && simulated.node.is_some());
            if change.state == MemberState::Dead && is_up {
                self.false_deaths += 1;
            }
            self.state_changes.push(StateChange {
                at: self.now,
                observer: self.nodes[index].name.clone(),
                member: change.name,
                state: change.state,
            });
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.clock(index);
        let simulated = &mut self.nodes[index];
        if simulated.is_paused {
            return;
        }
        let Some(node) = &mut simulated.node else { return };
        let mut effects = RecordedEffects::default();
        let next = node.tick(now, &mut effects);
        let wait = (((next - now).0 as f64 / simulated.clock_rate) as i64).max(1) + 1;
        simulated.next_tick_at = self.now + wait;
        self.schedule(self.now + wait, Event::Tick(index));
        self.apply_effects(index, effects);
    }

    fn resume(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        // A resumed process may handle its buffered messages before or after its tick.
        let unread = std::mem::take(&mut self.nodes[index].unread_messages);
        let ticks_first = self.rng.next_f64() < 0.5;
        if ticks_first {
            self.tick(index);
        }
        for (from, message) in unread {
            self.deliver(index, node_index(from), message);
            self.check_invariants();
        }
        if !ticks_first {
            self.tick(index);
        }
    }

    fn random_index(&mut self, count: usize) -> usize {
        (self.rng.next_f64() * count as f64) as usize % count.max(1)
    }

    pub fn run_until(&mut self, until: i64) {
        while self.violation.is_none() {
            let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= until) else { break };
            let at = entry.key().0;
            let event = entry.remove();
            self.now = at;
            let is_plain_probe = matches!(&event, Event::Deliver { message, .. }
                if matches!(message.message, Message::Ping(_) | Message::Ack(_)));
            self.handle(event);
            // A check reads the snapshots of all nodes, which is slow, so pings and acknowledgements do not
            // trigger one.
            if !is_plain_probe && at - self.checked_at >= self.case.check_interval {
                self.checked_at = at;
                self.check_invariants();
            }
        }
        self.now = self.now.max(until);
    }

    fn handle(&mut self, event: Event) {
        match event {
            // Each start and resumption schedules its own tick, which replaces the earlier one.
            Event::Tick(index) if self.nodes[index].next_tick_at > self.now => {}
            Event::Tick(index) => self.tick(index),
            Event::Deliver { to, from, message } => self.deliver(to, from, message),
            Event::Fault => self.inject_fault(),
            Event::FaultOver(links) => self.end_fault(&links),
            Event::Resume(index) => self.resume(index),
            Event::Restart(index) if self.nodes[index].node.is_some() => {}
            Event::Restart(index) => {
                self.nodes[index].next_tick_at = 0;
                self.start(index);
            }
        }
    }

    /// Runs the fault phase and then the quiet phase.
    pub fn run(&mut self) {
        self.schedule(5 * SECOND, Event::Fault);
        let end = ((self.case.fault_phase_s + 20.0 + self.case.quiet_phase_s) * SECOND as f64) as i64;
        self.run_until(end);
    }
}
