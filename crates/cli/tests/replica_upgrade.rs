//! Upgrades and restarts of a registry replica, which must not answer as if it knew what its predecessor had
//! accepted. The tests speak the protocols of the peers themselves, so that no schedule decides a verdict.

mod common;

use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

use common::platform::{CLUSTER, PEER_KEY, Platform, peers_section};
use common::*;
use doorproxy::ids::Ticks;
use doorproxy_leases::messages as leases;
use doorproxy_leases::messages::{Ballot, FencingToken, LeaseId, LeaseValue, ProcessIdentity};
use doorproxy_membership::message::{self as membership, Incarnation, NodeId, Nonce};
use doorproxy_membership::registry::RegistryRules;
use doorproxy_peer_transport::cluster_keys::ClusterKeys;
use doorproxy_peer_transport::datagram::{Channel, DatagramCodec, MAX_DATAGRAM_BYTES};
use doorproxy_quotas::messages as quotas;
use serde::Serialize;
use serde_json::json;

/// The length of each lease: of permits, of quota allocators and of membership.
const LEASE: Duration = Duration::from_secs(1);
const LEASE_TICKS: Ticks = Ticks(10_000);
/// Longer than any grace period: that of the membership registry is twice a lease and the drift.
const MAX_GRACE: Duration = Duration::from_millis(2_500);
const DRIFT: f64 = 0.05;
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long the test waits for an answer before it fails, also on a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(60);
/// The replica under test; the test answers at the addresses of the two others.
const REPLICA: &str = "n1";
const HOLDER: &str = "n0";
const CANDIDATE: &str = "n2";
const LEASE_ID: LeaseId = LeaseId(7);

/// What a registry replica stores for others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Protocol {
    Permits,
    QuotaAllocators,
    Membership,
}

const PROTOCOLS: [Protocol; 3] = [Protocol::Permits, Protocol::QuotaAllocators, Protocol::Membership];

/// A replica's answer to a request for a promise, or for the nodes that it knows.
struct Answer {
    /// Says whether it names the holder.
    names_holder: bool,
}

/// The replica's platform, and the two nodes that talk to it.
struct Fleet {
    platform: Platform,
    replica: SocketAddr,
    socket: UdpSocket,
    codec: DatagramCodec,
    last_round: u64,
}

fn identity(node: &str) -> ProcessIdentity {
    ProcessIdentity { node: NodeId::from_name(node), incarnation: Incarnation(1) }
}

impl Fleet {
    /// Creates the files of the replica. `group` separates tests that run in parallel.
    fn new(group: u16) -> Fleet {
        let [holder, replica, candidate] = [0, 1, 2].map(|ordinal| peer_address(group, ordinal));
        let mut config = config(&[], closing_service(), 256);
        config["name"] = json!(REPLICA);
        let platform = Platform::with_fleet(config, |key| {
            let options = format!(
                "cut_after = \"1s\"\ndrift = {DRIFT}\n[leases]\nlength = \"1s\"\npermits = {{ task = 1 }}\n\
                 [limits]\nlease = \"1s\"\ntenants = {{ acme = {{ rate = 100.0, strict = true }} }}\n"
            );
            peers_section(key, [holder, replica, candidate], 1, &options)
        });
        let socket = UdpSocket::bind(holder).unwrap();
        socket.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        let codec = DatagramCodec::new(CLUSTER, ClusterKeys::parse(PEER_KEY).unwrap());
        Fleet { platform, replica, socket, codec, last_round: 1 }
    }

    fn next_ballot(&mut self, node: &str) -> Ballot {
        self.last_round += 1;
        Ballot { round: self.last_round << 32, proposer: NodeId::from_name(node).0, incarnation: 1 }
    }

    fn send(&self, channel: Channel, message: &impl Serialize) {
        let datagram = self.codec.seal(channel, message).unwrap();
        self.socket.send_to(&datagram, self.replica).unwrap();
    }

    /// Returns the first message for which `read` returns a value, within [`RESPONSE_TIMEOUT`] for each.
    fn receive<T>(&self, channel: Channel, read: impl Fn(&[u8]) -> Option<T>) -> Option<T> {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        while let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
            let Ok((found, bytes)) = self.codec.open(&buffer[..length]) else { continue };
            if found == channel
                && let Some(value) = read(bytes)
            {
                return Some(value);
            }
        }
        None
    }

    /// Sends a request about a lease in the name of a node and returns its response.
    fn request_lease(
        &self,
        protocol: Protocol,
        node: &str,
        message: leases::Message,
    ) -> Option<leases::Message> {
        let ballot = message.ballot();
        let is_response = |found: &leases::Message| found.ballot() == ballot && !found.is_request();
        if protocol == Protocol::Permits {
            self.send(Channel::Leases, &leases::Envelope { sender: node.to_string(), message });
            return self.receive(Channel::Leases, |bytes| {
                let envelope: leases::Envelope = DatagramCodec::decode(bytes).ok()?;
                Some(envelope.message).filter(is_response)
            });
        }
        let envelope = quotas::Envelope { sender: identity(node), message: quotas::Message::Lease(message) };
        self.send(Channel::Quotas, &envelope);
        self.receive(Channel::Quotas, |bytes| {
            match DatagramCodec::decode::<quotas::Envelope>(bytes).ok()?.message {
                quotas::Message::Lease(message) => Some(message).filter(is_response),
                _ => None,
            }
        })
    }

    /// Sends a heartbeat in the name of a node. Returns the nodes that the replica reports, or `None` in its
    /// grace period.
    fn send_heartbeat(&mut self, node: &str) -> Option<Vec<NodeId>> {
        self.last_round += 1;
        let nonce = Nonce(self.last_round);
        let replicas = [HOLDER, REPLICA, CANDIDATE].map(NodeId::from_name).into();
        let rules = RegistryRules { replicas, lease_duration: LEASE_TICKS, clock_drift_ratio: DRIFT };
        let heartbeat = membership::Message::Heartbeat {
            nonce,
            rules_fingerprint: rules.fingerprint(),
            known_version: 0,
        };
        let envelope = membership::Envelope {
            sender: node.to_string(),
            incarnation: Incarnation(1),
            message: heartbeat,
            updates: Vec::new(),
        };
        self.send(Channel::Membership, &envelope);
        let response = self.receive(Channel::Membership, |bytes| {
            match DatagramCodec::decode::<membership::Envelope>(bytes).ok()?.message {
                membership::Message::RegistrySnapshot { nonce: found, nodes, .. } if found == nonce => {
                    Some(Some(nodes))
                }
                membership::Message::InGracePeriod(found) if found == nonce => Some(None),
                _ => None,
            }
        });
        response.flatten()
    }

    /// Requests a promise, or the nodes that the replica knows. Returns `None` in its grace period.
    fn request_answer(&mut self, protocol: Protocol, node: &str) -> Option<Answer> {
        let holder = NodeId::from_name(HOLDER);
        if protocol == Protocol::Membership {
            let nodes = self.send_heartbeat(node)?;
            return Some(Answer { names_holder: nodes.contains(&holder) });
        }
        let ballot = self.next_ballot(node);
        let prepare = leases::Message::Prepare { lease: LEASE_ID, ballot };
        match self.request_lease(protocol, node, prepare)? {
            leases::Message::Promise { accepted, .. } => {
                let named = accepted.and_then(|accepted| accepted.value.holder);
                Some(Answer { names_holder: named.is_some_and(|named| named.node == holder) })
            }
            _ => None,
        }
    }

    /// Has the replica accept a lease of the holder. Returns the time from which the holder counts it.
    fn hold(&mut self, protocol: Protocol) -> Option<Instant> {
        let requested_at = Instant::now();
        self.request_answer(protocol, HOLDER)?;
        if protocol == Protocol::Membership {
            return Some(requested_at);
        }
        let ballot =
            Ballot { round: self.last_round << 32, proposer: NodeId::from_name(HOLDER).0, incarnation: 1 };
        let value = LeaseValue {
            holder: Some(identity(HOLDER)),
            token: FencingToken(1),
            duration_ticks: LEASE_TICKS.0,
        };
        let accept = leases::Message::Accept { lease: LEASE_ID, ballot, value };
        let response = self.request_lease(protocol, HOLDER, accept);
        matches!(response, Some(leases::Message::Accepted { .. })).then_some(requested_at)
    }

    /// Has the replica accept a lease of each protocol, once it votes.
    fn hold_all(&mut self) -> [Instant; PROTOCOLS.len()] {
        let began = Instant::now();
        loop {
            let counted_from = PROTOCOLS.map(|protocol| self.hold(protocol));
            if let [Some(permit), Some(quota), Some(member)] = counted_from {
                return [permit, quota, member];
            }
            assert!(began.elapsed() < MAX_WAIT, "the replica does not vote: {counted_from:?}");
        }
    }

    /// Checks that the first answer of each protocol names the holder, or comes after the holder's time.
    fn check_first_answers(&mut self, counted_from: [Instant; PROTOCOLS.len()]) {
        let began = Instant::now();
        let mut waiting: Vec<_> = PROTOCOLS.into_iter().zip(counted_from).collect();
        let mut forgotten = Vec::new();
        while !waiting.is_empty() {
            assert!(began.elapsed() < MAX_WAIT, "no answers: {waiting:?}");
            waiting.retain(|&(protocol, counted_from)| {
                let Some(answer) = self.request_answer(protocol, CANDIDATE) else { return true };
                let elapsed = counted_from.elapsed();
                if !answer.names_holder && elapsed < LEASE {
                    forgotten.push((protocol, elapsed));
                }
                false
            });
        }
        assert!(forgotten.is_empty(), "holders forgotten before {LEASE:?} were over: {forgotten:?}");
    }
}

/// Prevents that a replica votes right after its upgrade, because the grace period of the new process was over
/// while the old one still accepted leases.
#[test]
fn upgraded_replica_forgets_no_holder() {
    let mut fleet = Fleet::new(1);
    let (old, _) = fleet.platform.start();
    let _new = fleet.platform.start_successor();
    thread::sleep(MAX_GRACE);
    let counted_from = fleet.hold_all();
    old.terminate();
    fleet.check_first_answers(counted_from);
}

/// Prevents the same where the old process hangs and is killed, as the platform does.
#[test]
fn replica_whose_predecessor_hung_forgets_no_holder() {
    let mut fleet = Fleet::new(2);
    let (old, _) = fleet.platform.start();
    let _new = fleet.platform.start_successor();
    thread::sleep(MAX_GRACE);
    let counted_from = fleet.hold_all();
    old.signal("STOP");
    thread::sleep(LEASE / 4);
    drop(old);
    fleet.check_first_answers(counted_from);
}

/// Prevents the same after two upgrades, in which two processes wait for the address.
#[test]
fn replica_after_two_upgrades_forgets_no_holder() {
    let mut fleet = Fleet::new(3);
    let (first, _) = fleet.platform.start();
    let second = fleet.platform.start_successor();
    let _third = fleet.platform.start_successor();
    thread::sleep(MAX_GRACE);
    let counted_from = fleet.hold_all();
    first.terminate();
    fleet.check_first_answers(counted_from);
    let counted_from = fleet.hold_all();
    second.terminate();
    fleet.check_first_answers(counted_from);
}

/// Prevents that a replica votes right after it was killed and started again.
#[test]
fn restarted_replica_forgets_no_holder() {
    let mut fleet = Fleet::new(4);
    let (old, _) = fleet.platform.start();
    let counted_from = fleet.hold_all();
    drop(old);
    let _new = fleet.platform.start().0;
    fleet.check_first_answers(counted_from);
}
