//! The requests that a node may admit under one limit, and its demand for more.
//!
//! Invariant: an allocation is never used after it expires.

use std::collections::VecDeque;

use doorproxy::ids::{Ticks, Timestamp};

use crate::messages::LimitId;
use crate::quota_client::LimitStatus;
use crate::rules::QuotaRules;

/// Sets how long a balance should last at the current demand, as a ratio of the contact timeout.
const BALANCE_HORIZON_RATIO: f64 = 0.25;
/// Sets after how many contact timeouts without a request a limit is idle. Nothing is requested for an idle
/// limit.
const IDLE_TIMEOUT_FACTOR: f64 = 10.0;
/// Sets the half-life of the smoothed demand, in request intervals.
const DEMAND_HALF_LIFE_INTERVALS: f64 = 3.0;
/// Sets the expected number of requests per allocation lifetime below which a single granted request mostly
/// expires unused.
const MIN_REQUESTS_PER_LIFETIME: f64 = 0.4;
/// Sets the ratio of expected rate to demand up to which a limit counts as scarce.
const SCARCITY_FACTOR: f64 = 1.2;
/// Sets the lowest rate, in requests per second, at which rejected requests are assumed to be retried.
const MIN_RETRY_RATE: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
pub(super) struct UsableAllocation {
    pub(super) expires_at: Timestamp,
    /// Holds the requests that may still be admitted.
    pub(super) remaining: u32,
}

#[derive(Clone, Debug)]
pub(super) struct LocalBalance {
    allocations: VecDeque<UsableAllocation>,
    last_request_at: Option<Timestamp>,
    /// Counts the requests since the last update of the demand.
    arrivals: u32,
    /// Holds the smoothed rate of arriving requests, per second.
    demand: f64,
    /// Holds the rate that the allocator expects to grant, in requests per second.
    expected_rate: f64,
    allocation_requested_at: Option<Timestamp>,
    /// Estimates how many rejected requests have not been retried yet, from the rate at which they can be
    /// admitted.
    deferred: f64,
    deferred_updated_at: Timestamp,
    /// Holds the requests that the fallback rate allows now.
    fallback_balance: f64,
    fallback_updated_at: Timestamp,
    admitted: u64,
    admitted_by_fallback: u64,
    rejected: u64,
}

impl LocalBalance {
    pub(super) fn new(now: Timestamp) -> LocalBalance {
        LocalBalance {
            allocations: VecDeque::new(),
            last_request_at: None,
            arrivals: 0,
            demand: 0.0,
            expected_rate: 0.0,
            allocation_requested_at: None,
            deferred: 0.0,
            deferred_updated_at: now,
            fallback_balance: 0.0,
            fallback_updated_at: now,
            admitted: 0,
            admitted_by_fallback: 0,
            rejected: 0,
        }
    }

    pub(super) fn is_idle(&self, now: Timestamp, rules: &QuotaRules) -> bool {
        let timeout = rules.contact_timeout.mul_f64(IDLE_TIMEOUT_FACTOR);
        self.last_request_at.is_none_or(|last| now - last > timeout)
    }

    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        self.last_request_at = Some(now);
        self.arrivals = self.arrivals.saturating_add(1);
    }

    pub(super) fn drop_expired(&mut self, now: Timestamp) {
        self.allocations.retain(|allocation| allocation.remaining > 0 && now < allocation.expires_at);
    }

    /// Adds the grant for a request that was sent at `requested_at`.
    pub(super) fn add_allocation(
        &mut self,
        requested_at: Timestamp,
        allocation: UsableAllocation,
        expected_rate: f64,
    ) {
        self.allocations.push_back(allocation);
        self.expected_rate = expected_rate;
        self.allocation_requested_at = Some(requested_at);
    }

    /// Returns the requests that may be admitted at `at` if none is admitted before.
    fn balance_at(&self, at: Timestamp) -> u32 {
        let usable = self.allocations.iter().filter(|allocation| at < allocation.expires_at);
        usable.map(|allocation| allocation.remaining).sum()
    }

    /// Admits a request against the allocation that expires first. The caller must have called
    /// [`LocalBalance::drop_expired`].
    pub(super) fn admit_by_allocation(&mut self) -> bool {
        let first = self.allocations.iter_mut().min_by_key(|allocation| allocation.expires_at);
        let Some(allocation) = first else { return false };
        allocation.remaining -= 1;
        self.admitted += 1;
        true
    }

    /// Admits a request against the fallback rate, of which at most `max_balance` requests are saved.
    pub(super) fn admit_by_fallback(&mut self, now: Timestamp, rate: f64, max_balance: f64) -> bool {
        let elapsed = (now - self.fallback_updated_at).as_secs_f64().max(0.0);
        self.fallback_balance = (self.fallback_balance + elapsed * rate).min(max_balance);
        self.fallback_updated_at = now;
        if self.fallback_balance < 1.0 {
            return false;
        }
        self.fallback_balance -= 1.0;
        self.admitted += 1;
        self.admitted_by_fallback += 1;
        true
    }

    pub(super) fn reset_fallback(&mut self, now: Timestamp) {
        self.fallback_balance = 0.0;
        self.fallback_updated_at = now;
    }

    /// Rejects a request, and returns the time after which to retry it. The retries of rejected requests are
    /// spaced at the rate at which they can be admitted.
    pub(super) fn reject(&mut self, now: Timestamp, min_wait: Ticks, rate: f64) -> Ticks {
        self.rejected += 1;
        let rate = rate.max(MIN_RETRY_RATE);
        let elapsed = (now - self.deferred_updated_at).as_secs_f64().max(0.0);
        self.deferred = (self.deferred - elapsed * rate).max(0.0) + 1.0;
        self.deferred_updated_at = now;
        Ticks::from_secs_f64(self.deferred / rate).max(min_wait)
    }

    pub(super) fn expected_rate(&self) -> f64 {
        self.expected_rate
    }

    /// Returns the smoothed demand in requests per second.
    pub(super) fn demand(&self) -> f64 {
        self.demand
    }

    /// Updates the demand after `elapsed` seconds, and returns how many more requests to ask for.
    pub(super) fn missing_requests(
        &mut self,
        now: Timestamp,
        elapsed: f64,
        request_interval: Ticks,
        rules: &QuotaRules,
    ) -> u32 {
        let demand = self.update_demand(elapsed, request_interval);
        let target = self.target_balance(demand, rules);
        target.saturating_sub(self.balance_at(now + request_interval))
    }

    /// Returns the larger of the smoothed demand and the arrival rate since the last update, so that the
    /// result rises at once with the arrivals.
    fn update_demand(&mut self, elapsed: f64, request_interval: Ticks) -> f64 {
        let arrival_rate = f64::from(std::mem::take(&mut self.arrivals)) / elapsed;
        let decay = 0.5_f64.powf(elapsed / (DEMAND_HALF_LIFE_INTERVALS * request_interval.as_secs_f64()));
        self.demand = self.demand * decay + arrival_rate * (1.0 - decay);
        self.demand.max(arrival_rate)
    }

    fn target_balance(&self, demand: f64, rules: &QuotaRules) -> u32 {
        let horizon = rules.contact_timeout.mul_f64(BALANCE_HORIZON_RATIO);
        let target = (demand * horizon.as_secs_f64()).ceil() as u32;
        // At least one request is kept for the next arrival, unless it would mostly expire here while other
        // nodes need it.
        let mostly_expires = demand * rules.allocation_lifetime().as_secs_f64() < MIN_REQUESTS_PER_LIFETIME;
        let is_scarce =
            self.allocation_requested_at.is_some() && self.expected_rate <= demand * SCARCITY_FACTOR;
        if mostly_expires && is_scarce { 0 } else { target.max(1) }
    }

    pub(super) fn usable_allocations(&self, now: Timestamp) -> impl Iterator<Item = &UsableAllocation> {
        let is_usable =
            move |allocation: &&UsableAllocation| allocation.remaining > 0 && now < allocation.expires_at;
        self.allocations.iter().filter(is_usable)
    }

    pub(super) fn status(&self, now: Timestamp, limit: LimitId, is_connected: bool) -> LimitStatus {
        LimitStatus {
            limit,
            balance: self.balance_at(now),
            expected_rate: self.expected_rate,
            demand: self.demand,
            allocation_age: self.allocation_requested_at.map(|requested_at| now - requested_at),
            is_connected,
            admitted: self.admitted,
            admitted_by_fallback: self.admitted_by_fallback,
            rejected: self.rejected,
        }
    }
}
