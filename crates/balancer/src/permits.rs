//! A permit of this balancer, between the callers of the admin API and the peer thread, which holds its lease.
//!
//! Invariant: a caller is granted a time only while the lease is held, and the decision to release the lease
//! also ends such grants, in one step.

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_leases::caller_grants::{Caller, CallerGrants};
use doorproxy_leases::messages::stretch_by_drift;
use doorproxy_leases::proposer::HeldLease;
use serde_json::{Value, json};

/// Is the reason until the peer thread publishes one.
const NOT_JOINED_REASON: &str = "this process has not joined the other balancers yet";
/// Sets the minimum time for which a permit is requested after the call of a waiting caller.
const MIN_WAIT_TIME: Ticks = Ticks(50_000);

/// Says what a permit call is to achieve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitAction {
    /// Acquires the permit, or extends the time for which the caller may act.
    Acquire,
    /// Ends the time of a caller that no longer acts.
    GiveBack,
    /// Ends the wait of a caller that was granted no time.
    StopWaiting,
}

/// Holds a permit call.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitCall<'a> {
    /// Names the permit.
    pub name: &'a str,
    /// Identifies the caller.
    pub caller: Caller,
    /// Says what the call is to achieve.
    pub action: PermitAction,
    /// Holds the time for which the permit's lease is to be renewed.
    pub renewal: Ticks,
}

/// Describes a permit that this balancer holds or requests.
#[derive(Clone, Debug)]
pub struct Permit {
    clock_drift_ratio: f64,
    callers: CallerGrants,
    lease: Option<HeldLease>,
    /// Says who holds the permit or why it can't be acquired, as text for operators.
    reason: String,
}

impl Permit {
    /// Creates a permit that isn't held. The clocks of callers and balancers differ in rate by up to the
    /// given ratio.
    pub fn new(clock_drift_ratio: f64) -> Permit {
        let reason = NOT_JOINED_REASON.to_string();
        Permit { clock_drift_ratio, callers: CallerGrants::default(), lease: None, reason }
    }

    /// Publishes the lease that the peer thread holds, and why it holds none.
    pub fn publish(&mut self, lease: Option<HeldLease>, reason: String) {
        self.lease = lease;
        self.reason = reason;
    }

    /// Returns whether the lease is to be acquired and renewed. If not, it may be released: no caller acts
    /// under it, and none is granted a time before a lease is published again.
    pub fn decide_renewal(&mut self, now: Timestamp) -> bool {
        let is_needed = self.callers.is_needed(now);
        if !is_needed {
            self.lease = None;
        }
        is_needed
    }

    /// Carries out a call. A caller whose answer has `held` may act for `for_s` seconds, counted from before its
    /// call.
    pub fn call(&mut self, now: Timestamp, call: &PermitCall) -> Value {
        match call.action {
            PermitAction::Acquire => self.acquire(now, &call.caller, call.renewal),
            PermitAction::GiveBack => self.give_back(now, &call.caller),
            PermitAction::StopWaiting => {
                self.callers.stop_waiting();
                not_held(&self.reason)
            }
        }
    }

    fn acquire(&mut self, now: Timestamp, caller: &Caller, renewal: Ticks) -> Value {
        let Some(lease) = self.lease.filter(|lease| now < lease.expires_at) else {
            self.callers.wait(now + renewal.max(MIN_WAIT_TIME));
            return not_held(&self.reason);
        };
        let stretched = stretch_by_drift(lease.expires_at - now, self.clock_drift_ratio);
        match self.callers.grant(now, caller, stretched, renewal) {
            Ok(()) => held(now, lease),
            Err(error) => not_held(&error.to_string()),
        }
    }

    /// Returns the time of those that still act, if there are any.
    fn give_back(&mut self, now: Timestamp, caller: &Caller) -> Value {
        self.callers.give_back(now, caller);
        let lease = self.lease.filter(|lease| now < lease.expires_at);
        match (lease, self.callers.acting_until(now)) {
            (Some(lease), Some(until)) => held(now, HeldLease { expires_at: until, ..lease }),
            _ => not_held(&self.reason),
        }
    }
}

fn held(now: Timestamp, lease: HeldLease) -> Value {
    json!({"held": true, "token": lease.token.0, "for_s": (lease.expires_at - now).as_secs_f64()})
}

fn not_held(reason: &str) -> Value {
    json!({"held": false, "why": reason})
}
