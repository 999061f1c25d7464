//! Permits are leases that operators' scripts hold through a balancer to limit how many hosts of a fleet do
//! something at the same time. The peer thread drives this balancer's lease clients and, on a registry
//! replica, its acceptor. A permit is never reported as held after its expiry.

use std::collections::BTreeMap;
use std::sync::Arc;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::log_line;
use doorproxy_balancer::peers::SharedPeerState;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_config::fleet::{LeasesConfig, PeersConfig};
use doorproxy_leases::acceptor::Acceptor;
use doorproxy_leases::lease_client::{LeaseClient, Outgoing};
use doorproxy_leases::messages::{self, Envelope, FencingToken, LeaseId, LeaseRules, ProcessIdentity};
use doorproxy_leases::proposer::{HeldLease, LeaseRequest};
use doorproxy_membership::message::NodeId;
use doorproxy_membership::outgoing::{OutgoingMessage, TickResult};
use serde_json::{Value, json};

use crate::peer_thread::ticks;

/// The longest and the shortest time until the next tick.
const MAX_TICK_INTERVAL: Ticks = Ticks(5_000);
const MIN_TICK_INTERVAL: Ticks = Ticks(10);

/// One permit of the fleet file. Each slot is a lease, so at most as many holders exist as there are slots.
struct Permit {
    /// The lease clients by slot. This balancer holds at most one slot.
    slots: Vec<LeaseClient>,
    /// The slot that is held or requested.
    current_slot: usize,
    logged_token: Option<u64>,
}

impl Permit {
    /// Creates a permit. The first slot depends on the balancer, so that fewer compete for the same slot.
    fn new(slots: Vec<LeaseClient>, local_node: NodeId) -> Permit {
        let current_slot = (local_node.0 % slots.len() as u64) as usize;
        Permit { slots, current_slot, logged_token: None }
    }

    /// Returns the lease of the current slot, under which callers act.
    fn held(&self, now: Timestamp) -> Option<HeldLease> {
        self.slots[self.current_slot].held(now)
    }

    /// Keeps the current slot if it is held, or chooses another that is held. If another balancer holds the
    /// current slot, moves on to the next, which may be free.
    fn choose_slot(&mut self, now: Timestamp, is_requested: bool) {
        if self.held(now).is_some() {
            return;
        }
        if let Some(held) = self.slots.iter().position(|slot| slot.held(now).is_some()) {
            self.current_slot = held;
        } else if is_requested && self.slots.len() > 1 && self.is_held_elsewhere(now) {
            self.current_slot = (self.current_slot + 1) % self.slots.len();
        }
    }

    fn is_held_elsewhere(&self, now: Timestamp) -> bool {
        let proposer = &self.slots[self.current_slot].proposer;
        proposer.is_idle() && proposer.observed(now).is_some_and(|observed| observed.value.holder.is_some())
    }

    /// Describes for operators why the permit isn't held yet.
    fn describe_wait(&self, now: Timestamp) -> String {
        match self.slots[self.current_slot].proposer.observed(now) {
            Some(observed) => format!(
                "all slots are held: token {} is valid for {:.1} s more, or longer if renewed",
                observed.value.token.0,
                observed.remaining.as_secs_f64()
            ),
            None => "no majority of replicas has answered yet; replicas that started recently don't vote"
                .to_string(),
        }
    }
}

/// The position of a lease client that receives the responses about its lease.
struct SlotIndex {
    permit: String,
    slot: usize,
}

/// This balancer's permits, with a lease client for each slot.
pub struct PermitLeases {
    runtime: SystemRuntime,
    rules: LeaseRules,
    peer_state: Arc<SharedPeerState>,
    permits: BTreeMap<String, Permit>,
    slot_of_lease: BTreeMap<LeaseId, SlotIndex>,
    is_replica: bool,
    /// Present on a registry replica, once this process is the only one that answers in its name.
    acceptor: Option<Acceptor>,
}

impl PermitLeases {
    /// Creates the lease clients, which hold no lease yet.
    pub fn new(
        runtime: SystemRuntime,
        now: Timestamp,
        local_holder: ProcessIdentity,
        peers: &PeersConfig,
        config: &LeasesConfig,
        peer_state: Arc<SharedPeerState>,
    ) -> PermitLeases {
        let duration = ticks(config.duration);
        let acceptors = peers.registry_replicas.keys().map(|name| NodeId::from_name(name)).collect();
        let rules =
            LeaseRules { acceptors, max_duration: duration, clock_drift_ratio: peers.clock_drift_ratio };
        let mut permits = BTreeMap::new();
        let mut slot_of_lease = BTreeMap::new();
        for (name, &slot_count) in &config.permits {
            let mut slots = Vec::new();
            for slot in 0..slot_count {
                let lease = LeaseId::from_name(name, slot);
                slots.push(lease_client(now, local_holder, lease, duration));
                slot_of_lease.insert(lease, SlotIndex { permit: name.clone(), slot: usize::from(slot) });
            }
            permits.insert(name.clone(), Permit::new(slots, local_holder.node));
        }
        let is_replica = rules.acceptors.contains(&local_holder.node);
        PermitLeases { runtime, rules, peer_state, permits, slot_of_lease, is_replica, acceptor: None }
    }

    /// Starts the acceptor of a registry replica; see [`Acceptor::new`].
    pub fn start_acceptor(&mut self, sole_since: Timestamp) {
        self.acceptor = self.is_replica.then(|| Acceptor::new(sole_since));
    }

    /// Advances the clients to `now`, and returns the messages to send and the time of the next call.
    pub fn tick(&mut self, now: Timestamp) -> TickResult<messages::Message> {
        let mut outgoing = Vec::new();
        let mut next_at = now + MAX_TICK_INTERVAL;
        for (name, permit) in &mut self.permits {
            let is_requested = decide_renewal(&self.peer_state, name, now);
            permit.choose_slot(now, is_requested);
            for (index, slot) in permit.slots.iter_mut().enumerate() {
                let request = match slot.request() {
                    _ if is_requested && index == permit.current_slot => Some(LeaseRequest::Hold),
                    // Also releases an unconfirmed lease, so that others needn't wait for its expiry.
                    Some(_) => Some(LeaseRequest::Release),
                    None => None,
                };
                slot.set_request(now, request);
                let slot_tick = slot.tick(now, &self.rules);
                outgoing.extend(slot_tick.outgoing);
                next_at = next_at.min(slot_tick.next_tick_at);
            }
        }
        self.publish(now);
        TickResult { outgoing, next_tick_at: next_at.max(now + MIN_TICK_INTERVAL) }
    }

    /// Handles a message of a peer. Only a registry replica, which has an acceptor, answers requests.
    pub fn on_message(&mut self, now: Timestamp, envelope: &Envelope) -> Outgoing {
        let sender = NodeId::from_name(&envelope.sender);
        let message = &envelope.message;
        if message.is_request() {
            let acceptor = self.acceptor.as_mut();
            let response = acceptor.and_then(|acceptor| acceptor.respond(now, message, &self.rules));
            return response.into_iter().map(|message| OutgoingMessage { to: sender, message }).collect();
        }
        let Some(SlotIndex { permit, slot }) = self.slot_of_lease.get(&message.lease()) else {
            return Vec::new();
        };
        let client = self.permits.get_mut(permit).and_then(|permit| permit.slots.get_mut(*slot));
        let outgoing = client.map(|client| client.on_response(now, sender, message, &self.rules));
        self.publish(now);
        outgoing.unwrap_or_default()
    }

    /// Publishes the held permits to the admin API.
    fn publish(&mut self, now: Timestamp) {
        let mut shared_permits = self.peer_state.permits();
        for (name, permit) in &mut self.permits {
            let Some(shared) = shared_permits.get_mut(name) else { continue };
            let held = permit.held(now);
            shared.publish(held, permit.describe_wait(now));
            let token = held.map(|held| held.token.0);
            if token != permit.logged_token {
                log_change(self.runtime, name, token);
                permit.logged_token = token;
            }
        }
    }

    /// Returns the status for `doorproxy leases`.
    pub fn status(&self, now: Timestamp) -> Value {
        let permits = self.permits.iter().map(|(name, permit)| {
            let slots = permit.slots.iter().map(|slot| slot_as_json(slot, now));
            json!({"name": name, "places": slots.collect::<Vec<Value>>()})
        });
        let acceptor = self.acceptor.as_ref().map(|acceptor| {
            let is_voting = !acceptor.is_in_grace_period(now, &self.rules);
            json!({"registers": acceptor.registers().count(), "votes": is_voting})
        });
        json!({"permits": permits.collect::<Vec<Value>>(), "keeper": acceptor})
    }
}

/// Creates a lease client whose lowest token is the incarnation, a Unix time in milliseconds. Even if the
/// replicas have lost their state, new tokens are larger than all earlier ones.
fn lease_client(now: Timestamp, holder: ProcessIdentity, lease: LeaseId, duration: Ticks) -> LeaseClient {
    let seed = holder.node.0 ^ holder.incarnation.0;
    LeaseClient::new(now, seed, holder, lease, duration, FencingToken(holder.incarnation.0))
}

fn decide_renewal(peer_state: &SharedPeerState, name: &str, now: Timestamp) -> bool {
    let mut permits = peer_state.permits();
    permits.get_mut(name).is_some_and(|permit| permit.decide_renewal(now))
}

fn log_change(runtime: SystemRuntime, name: &str, token: Option<u64>) {
    match token {
        Some(token) => log_line!(runtime, "leases: {name} acquired, token {token}"),
        None => log_line!(runtime, "leases: {name} released or expired"),
    }
}

fn slot_as_json(slot: &LeaseClient, now: Timestamp) -> Value {
    let held = slot.held(now);
    let observed = slot.proposer.observed(now);
    json!({
        "held_s": held.map(|held| (held.expires_at - now).as_secs_f64()),
        "token": held.map(|held| held.token.0),
        "seen_token": observed.map(|observed| observed.value.token.0),
        "seen_s": observed.map(|observed| observed.remaining.as_secs_f64()),
    })
}

#[cfg(test)]
mod tests;
