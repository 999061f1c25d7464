//! The network between the nodes: loss, delay, duplication, impaired links, and mutants that change messages.

use std::net::SocketAddr;

use doorproxy_membership::ids::{NodeId, Nonce};
use doorproxy_membership::message::{Envelope, Message};

use super::{
    Event, LinkState, Mutant, RecordedEffects, SECOND, SimulatedFleet, node_address, node_index, node_name,
};

/// Sets how long a replica keeps a node with [`Mutant::ExpiresEarly`].
const MUTANT_RETENTION: i64 = SECOND;
/// Limits the buffered messages to a paused node; further ones are dropped, as by a full socket buffer.
const MAX_UNREAD_MESSAGES: usize = 500;

impl SimulatedFleet {
    pub(super) fn link(&self, from: usize, to: usize) -> LinkState {
        self.links.get(&(from, to)).copied().unwrap_or(LinkState::Healthy)
    }

    pub(super) fn send(&mut self, from: usize, to: SocketAddr, message: Envelope) {
        let to = node_index(to);
        self.datagrams += 1;
        self.bytes += postcard::to_allocvec(&message).unwrap().len() as u64 + 20;
        if let Message::Heartbeat { nonce, .. } = message.message {
            self.latest_nonces.insert((node_name(from), node_name(to)), nonce.0);
        }
        if to >= self.nodes.len() || self.rng.next_f64() < self.case.loss_ratio {
            return;
        }
        match self.link(from, to) {
            LinkState::Cut => return,
            LinkState::Stalled => return self.stalled_messages.push((from, to, message)),
            LinkState::Healthy | LinkState::Delayed(_) => {}
        }
        let link_delay = if let LinkState::Delayed(delay) = self.link(from, to) { delay as f64 } else { 0.0 };
        let copies = if self.rng.next_f64() < 0.01 { 2 } else { 1 };
        for _ in 0..copies {
            // Most messages arrive within two milliseconds, a few are overtaken by later ones, and some take
            // seconds.
            let network_delay = match self.rng.next_f64() {
                unit if unit < 0.001 => self.rng.next_f64() * 8.0 * SECOND as f64,
                unit if unit < 0.02 => self.rng.next_f64() * 0.1 * SECOND as f64,
                _ => 5.0 + self.rng.next_f64() * 15.0,
            };
            let event = Event::Deliver { to, from, message: message.clone() };
            self.schedule(self.now + (network_delay + link_delay) as i64, event);
        }
    }

    fn mutated(&self, to: usize, from: usize, mut message: Envelope) -> Envelope {
        let replica = &self.nodes[from].name;
        let is_recent = |node: &NodeId| {
            self.replica_heard_at.get(&(from, *node)).is_some_and(|at| self.now - at < MUTANT_RETENTION)
        };
        match (&mut message.message, self.case.mutant) {
            (
                Message::RegistrySnapshot { nonce, .. }
                | Message::RegistryUnchanged { nonce, .. }
                | Message::InGracePeriod(nonce),
                Mutant::CountsFromLatestRequest,
            ) => {
                if let Some(&latest) = self.latest_nonces.get(&(node_name(to), replica.clone())) {
                    *nonce = Nonce(latest);
                }
            }
            (Message::RegistrySnapshot { nodes, version, .. }, Mutant::ExpiresEarly) => {
                nodes.retain(is_recent);
                *version ^= self.now as u64;
            }
            (Message::InGracePeriod(nonce), Mutant::SkipsGracePeriod) => {
                let heard = self.replica_heard_at.keys().filter(|(replica, _)| *replica == from);
                message.message = Message::RegistrySnapshot {
                    nonce: *nonce,
                    version: self.now as u64,
                    chunk: 0,
                    chunk_count: 1,
                    nodes: heard.map(|(_, node)| *node).collect(),
                };
            }
            _ => {}
        }
        message
    }

    pub(super) fn deliver(&mut self, to: usize, from: usize, message: Envelope) {
        if self.nodes[to].is_paused {
            if self.nodes[to].unread_messages.len() < MAX_UNREAD_MESSAGES {
                self.nodes[to].unread_messages.push((node_address(from), message));
            }
            return;
        }
        if let Message::Heartbeat { .. } = message.message {
            self.replica_heard_at.insert((to, NodeId::from_name(&message.sender)), self.now);
        }
        let message = self.mutated(to, from, message);
        let now = self.clock(to);
        let mut effects = RecordedEffects::default();
        if let Some(node) = &mut self.nodes[to].node {
            node.on_message(now, node_address(from), message, &mut effects);
        }
        self.apply_effects(to, effects);
    }
}
