//! Spreads overrides to every balancer. A new override is pushed to a few balancers at once. In every period
//! each balancer also compares digests with another one, and the two exchange the entries that differ, in
//! both directions.
//!
//! The work per period is constant while nothing changes. Overrides are ordered by their content alone, so
//! delayed, duplicated or reordered messages do no harm.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::Pcg;
use doorproxy_membership::outgoing::{self, OutgoingMessage};
use serde::{Deserialize, Serialize};

use crate::operator_overrides::{
    DIGEST_BUCKETS, Digests, ENTRY_OVERHEAD_BYTES, MAX_NAME_BYTES, OverrideEntry, OverrideRegister,
};

/// Sets to how many balancers a new override is pushed at once.
const PUSH_FANOUT: usize = 3;
/// Limits the entries that are pushed at once; the others follow through the comparison of digests.
const MAX_PUSHED_ENTRIES: usize = 4;
/// Bounds the encoded size of an entry.
const MAX_ENTRY_BYTES: usize = MAX_NAME_BYTES + ENTRY_OVERHEAD_BYTES;
/// Limits the bytes of entries in one datagram, so that the digests fit too.
const MAX_BYTES_PER_DATAGRAM: usize = 800;
/// Sets how long a peer counts as in sync after its digests matched, in periods per other balancer.
const IN_SYNC_PERIODS: f64 = 3.0;
/// Sets the smallest factor by which the period is scaled; the factor is drawn at random.
const PERIOD_JITTER_MIN: f64 = 0.8;
/// Sets the width of the range of that factor.
const PERIOD_JITTER_WIDTH: f64 = 0.4;

/// Represents a message between two balancers. It is encoded with postcard, so the order of fields and
/// variants is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for the entries that differ.
    DigestRequest {
        /// Holds the digests of the sender's overrides.
        digests: Digests,
    },
    /// Answers a [`Message::DigestRequest`].
    DigestResponse {
        /// Holds the digests of the responder's overrides.
        digests: Digests,
        /// Holds the responder's entries in buckets that differ.
        entries: Vec<OverrideEntry>,
    },
    /// Sends entries that the recipient lacks or has older versions of. No response is expected.
    Push {
        /// Holds the entries.
        entries: Vec<OverrideEntry>,
    },
}

/// Holds messages to send, each with its address.
pub type Outgoing = Vec<OutgoingMessage<Message, SocketAddr>>;
/// Holds the result of a call of `tick`.
pub type TickResult = outgoing::TickResult<Message, SocketAddr>;

/// Records that a peer had the same overrides.
struct SyncRecord {
    /// Holds the revision of the local register at that time.
    revision: u64,
    observed_at: Timestamp,
}

/// Spreads the overrides of one balancer.
pub struct OverrideGossip {
    period: Ticks,
    rng: Pcg,
    next_sync_at: Timestamp,
    in_sync: BTreeMap<SocketAddr, SyncRecord>,
    /// Names the endpoint of the last entry that was sent because it differed; the next response continues
    /// after it.
    cursor: String,
    pushed_revision: u64,
}

impl OverrideGossip {
    /// Creates a state machine that compares digests every `period`. The `seed` determines its jitter and its
    /// choice of peers.
    pub fn new(now: Timestamp, seed: u64, period: Ticks) -> OverrideGossip {
        OverrideGossip {
            period,
            rng: Pcg::new(seed),
            next_sync_at: now,
            in_sync: BTreeMap::new(),
            cursor: String::new(),
            pushed_revision: 0,
        }
    }

    /// Pushes new overrides and compares digests if that is due. `peers` returns the addresses of all other
    /// balancers, and is called only if there is something to send.
    pub fn tick(
        &mut self,
        now: Timestamp,
        register: &OverrideRegister,
        peers: impl FnOnce() -> Vec<SocketAddr>,
    ) -> TickResult {
        let mut outgoing = Vec::new();
        let has_unpushed_changes = register.revision() != self.pushed_revision;
        if !has_unpushed_changes && now < self.next_sync_at {
            return TickResult { outgoing, next_tick_at: self.next_sync_at };
        }
        let peers = peers();
        if has_unpushed_changes {
            self.pushed_revision = register.revision();
            self.push_newest(register, &peers, &mut outgoing);
        }
        if now >= self.next_sync_at {
            self.request_digests(now, register, &peers, &mut outgoing);
        }
        TickResult { outgoing, next_tick_at: self.next_sync_at }
    }

    /// Pushes the entries that were learned last.
    fn push_newest(&mut self, register: &OverrideRegister, peers: &[SocketAddr], outgoing: &mut Outgoing) {
        let newest = register.iter().map(|(_, registered)| registered.learned_at).max();
        let entries: Vec<OverrideEntry> = register
            .iter()
            .filter(|(_, registered)| Some(registered.learned_at) == newest)
            .take(MAX_PUSHED_ENTRIES)
            .map(|(name, registered)| OverrideEntry { endpoint: name.clone(), value: registered.value })
            .collect();
        debug_assert!(
            entries.iter().map(OverrideEntry::max_encoded_bytes).sum::<usize>()
                <= MAX_PUSHED_ENTRIES * MAX_ENTRY_BYTES
        );
        for _ in 0..PUSH_FANOUT {
            if let Some(to) = self.sample_peer(peers) {
                outgoing.push(OutgoingMessage { to, message: Message::Push { entries: entries.clone() } });
            }
        }
    }

    fn request_digests(
        &mut self,
        now: Timestamp,
        register: &OverrideRegister,
        peers: &[SocketAddr],
        outgoing: &mut Outgoing,
    ) {
        let jitter = PERIOD_JITTER_MIN + PERIOD_JITTER_WIDTH * self.rng.next_f64();
        self.next_sync_at = now + self.period.mul_f64(jitter);
        let oldest = now - self.in_sync_window(peers.len());
        self.in_sync.retain(|_, record| record.observed_at > oldest);
        if let Some(to) = self.sample_peer(peers) {
            let message = Message::DigestRequest { digests: register.digests() };
            outgoing.push(OutgoingMessage { to, message });
        }
    }

    /// Draws a random peer. It advances the generator by one number even if there are no peers.
    fn sample_peer(&mut self, peers: &[SocketAddr]) -> Option<SocketAddr> {
        peers.get((self.rng.next_f64() * peers.len() as f64) as usize).copied()
    }

    fn in_sync_window(&self, peer_count: usize) -> Ticks {
        self.period.mul_f64(IN_SYNC_PERIODS * peer_count.max(1) as f64)
    }

    /// Handles a message, merges new entries into the register, and returns the messages to send.
    pub fn on_message(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        message: &Message,
        register: &mut OverrideRegister,
    ) -> Outgoing {
        match message {
            Message::DigestRequest { digests } => {
                let entries = self.differing_entries(now, from, digests, register);
                let message = Message::DigestResponse { digests: register.digests(), entries };
                vec![OutgoingMessage { to: from, message }]
            }
            Message::DigestResponse { digests, entries } => {
                register.merge_all(now, entries);
                let entries = self.differing_entries(now, from, digests, register);
                if entries.is_empty() {
                    return Vec::new();
                }
                vec![OutgoingMessage { to: from, message: Message::Push { entries } }]
            }
            Message::Push { entries } => {
                register.merge_all(now, entries);
                Vec::new()
            }
        }
    }

    /// Returns the next entries of the buckets that differ from the peer's, and records whether the peer is
    /// in sync.
    fn differing_entries(
        &mut self,
        now: Timestamp,
        peer: SocketAddr,
        peer_digests: &Digests,
        register: &OverrideRegister,
    ) -> Vec<OverrideEntry> {
        let buckets = differing_buckets(register, peer_digests);
        if buckets.is_empty() {
            let record = SyncRecord { revision: register.revision(), observed_at: now };
            self.in_sync.insert(peer, record);
        } else {
            self.in_sync.remove(&peer);
        }
        let entries = register.entries_in_buckets(&buckets, &self.cursor, MAX_BYTES_PER_DATAGRAM);
        if let Some(last) = entries.last() {
            self.cursor = last.endpoint.clone();
        }
        entries
    }

    /// Returns how many of these balancers recently had the same overrides as the register has now.
    pub fn in_sync_count(&self, now: Timestamp, register: &OverrideRegister, peers: &[SocketAddr]) -> usize {
        let oldest = now - self.in_sync_window(peers.len());
        let is_in_sync = |peer: &&SocketAddr| {
            self.in_sync
                .get(peer)
                .is_some_and(|record| record.revision == register.revision() && record.observed_at > oldest)
        };
        peers.iter().filter(is_in_sync).count()
    }
}

fn differing_buckets(register: &OverrideRegister, peer_digests: &Digests) -> BTreeSet<usize> {
    let own_digests = register.digests();
    (0..DIGEST_BUCKETS).filter(|&bucket| own_digests[bucket] != peer_digests[bucket]).collect()
}
