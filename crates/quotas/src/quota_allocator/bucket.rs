//! The token bucket of one limit, which its clients share fairly.
//!
//! Invariant: a bucket grants no more than it holds, and never holds more than the limit's burst.

use std::collections::BTreeMap;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_membership::message::NodeId;

use super::MAX_CLIENTS;
use super::fair_shares::{FairShares, max_min_fair_shares};
use crate::messages::{Allocation, Demand};
use crate::rules::RateLimit;

/// Sets the age at which shares are computed again, as a ratio of the contact timeout. They are also computed
/// again for each new client.
const SHARE_REFRESH_RATIO: f64 = 0.05;
/// Sets after how many contact timeouts without a request a client is forgotten.
const CLIENT_TIMEOUT_FACTOR: f64 = 2.0;

#[derive(Clone, Debug, PartialEq)]
struct ClientState {
    last_request_at: Timestamp,
    /// Holds the requests per second that arrive at the client.
    demand: f64,
    /// Holds the requests that the client has accumulated from its share and has not been granted yet.
    credit: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub(super) struct Bucket {
    refilled_at: Timestamp,
    balance: f64,
    clients: BTreeMap<NodeId, ClientState>,
    shares: Option<FairShares>,
}

impl Bucket {
    /// Creates an empty bucket that fills from `started_at`.
    pub(super) fn new(started_at: Timestamp) -> Bucket {
        Bucket { refilled_at: started_at, balance: 0.0, clients: BTreeMap::new(), shares: None }
    }

    /// Returns the number of requests in the bucket as of its last refill.
    pub(super) fn balance(&self) -> f64 {
        self.balance
    }

    pub(super) fn client_count(&self) -> usize {
        self.clients.len()
    }

    pub(super) fn refill(&mut self, now: Timestamp, limit: &RateLimit) {
        let elapsed = (now - self.refilled_at).as_secs_f64().max(0.0);
        self.refilled_at = now.max(self.refilled_at);
        self.balance = (self.balance + elapsed * limit.rate).min(limit.burst);
    }

    pub(super) fn allocate(
        &mut self,
        now: Timestamp,
        client: NodeId,
        demand: &Demand,
        limit: &RateLimit,
        contact_timeout: Ticks,
    ) -> Allocation {
        self.refill(now, limit);
        let is_new = !self.clients.contains_key(&client);
        if is_new {
            self.forget_idle_clients(now, contact_timeout);
        }
        let is_full = self.clients.len() >= MAX_CLIENTS;
        let arrival_rate = f64::from(demand.arrival_rate_tenths) / 10.0;
        let elapsed = self.update_client(now, client, arrival_rate, contact_timeout);
        if is_new || self.are_shares_stale(now, contact_timeout) {
            self.forget_idle_clients(now, contact_timeout);
            self.refresh_shares(now, limit);
        }
        let share = self.shares.map_or(0.0, |shares| shares.share_of(arrival_rate));
        let earned = elapsed * share;
        let max_credit = (share * contact_timeout.as_secs_f64()).max(1.0);
        let requested = f64::from(demand.requested);
        let granted = if is_full { None } else { self.grant(client, requested, earned, max_credit) };
        let expected_rate_tenths = granted.map_or(0, |_| (share * 10.0) as u32);
        Allocation { limit: demand.limit, granted: granted.unwrap_or(0), expected_rate_tenths }
    }

    fn forget_idle_clients(&mut self, now: Timestamp, contact_timeout: Ticks) {
        let timeout = contact_timeout.mul_f64(CLIENT_TIMEOUT_FACTOR);
        self.clients.retain(|_, client| now - client.last_request_at < timeout);
    }

    /// Records a request, and returns the seconds since the client's last one, at most the contact timeout.
    fn update_client(
        &mut self,
        now: Timestamp,
        client: NodeId,
        arrival_rate: f64,
        contact_timeout: Ticks,
    ) -> f64 {
        let new_state = ClientState { last_request_at: now, demand: arrival_rate, credit: 0.0 };
        let state = self.clients.entry(client).or_insert(new_state);
        let elapsed = (now - state.last_request_at).as_secs_f64().clamp(0.0, contact_timeout.as_secs_f64());
        state.last_request_at = now;
        state.demand = arrival_rate;
        elapsed
    }

    fn are_shares_stale(&self, now: Timestamp, contact_timeout: Ticks) -> bool {
        let max_age = contact_timeout.mul_f64(SHARE_REFRESH_RATIO);
        self.shares.is_none_or(|shares| now - shares.computed_at >= max_age)
    }

    fn refresh_shares(&mut self, now: Timestamp, limit: &RateLimit) {
        let demands = self.clients.values().map(|client| client.demand);
        self.shares = Some(max_min_fair_shares(now, limit.rate, demands));
    }

    /// Grants a client whole requests up to its credit or to an equal part of the balance, whichever is
    /// larger. The latter admits a burst at one client while the bucket holds enough. Returns `None` for an
    /// unknown client.
    fn grant(&mut self, client: NodeId, requested: f64, earned: f64, max_credit: f64) -> Option<u32> {
        let equal_share = self.balance / self.clients.len().max(1) as f64;
        let state = self.clients.get_mut(&client)?;
        state.credit = (state.credit + earned).min(max_credit);
        let granted = requested.min(state.credit.max(equal_share)).min(self.balance).floor().max(0.0);
        state.credit = (state.credit - granted).max(0.0);
        self.balance -= granted;
        Some(granted as u32)
    }
}
