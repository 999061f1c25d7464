//! Tracks until when the callers of one process may act under a permit.
//!
//! The process holds the permit's lease for as long as [`CallerGrants::is_needed`] says, and releases it then.
//! Invariant: it is needed until the end of every time that a caller was granted, unless that caller gave
//! the permit back. What other callers request, how their calls end and how long they asked for renewal changes
//! nothing about this.

use std::collections::BTreeMap;

use doorproxy::ids::{Ticks, Timestamp};
use thiserror::Error;

/// Limits the callers that may act at a time through one process.
pub const MAX_CALLERS: usize = 64;

/// Identifies a caller among those of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Caller {
    /// Gave no name, so it can't be distinguished from other callers without one.
    Unnamed,
    /// Gave this name, which no other caller of the process uses at the same time.
    Named(String),
}

/// Holds what the calls of one caller were granted.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Grant {
    /// Holds the end of the longest granted time, by any clock within the drift.
    acts_until: Timestamp,
    /// Holds until when the lease is renewed for the caller.
    renewed_until: Timestamp,
    /// Holds the number of calls that were granted a time and gave nothing back.
    call_count: usize,
}

impl Grant {
    fn ends_at(&self) -> Timestamp {
        self.acts_until.max(self.renewed_until)
    }
}

/// As many callers as possible act already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{MAX_CALLERS} callers hold the permit through this balancer, which is the most")]
pub struct TooManyCallers;

/// Holds the callers that act or wait at one process, for one permit.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct CallerGrants {
    /// Holds until when callers wait that were granted no time yet.
    waiting_until: Option<Timestamp>,
    grants: BTreeMap<Caller, Grant>,
}

impl CallerGrants {
    /// Records that a caller waits for the permit.
    pub fn wait(&mut self, until: Timestamp) {
        self.waiting_until = self.waiting_until.max(Some(until));
    }

    /// Records that callers no longer wait. Those that act are not affected.
    pub fn stop_waiting(&mut self) {
        self.waiting_until = None;
    }

    /// Grants the caller a time, which it counts on a clock of its own. `stretched` is that time with the clock
    /// drift, and `renewal` the time for which the caller wants the lease to be renewed.
    ///
    /// # Errors
    /// Returns an error if too many other callers act. The caller is granted nothing then.
    pub fn grant(
        &mut self,
        now: Timestamp,
        caller: &Caller,
        stretched: Ticks,
        renewal: Ticks,
    ) -> Result<(), TooManyCallers> {
        self.remove_ended(now);
        if self.grants.len() >= MAX_CALLERS && !self.grants.contains_key(caller) {
            return Err(TooManyCallers);
        }
        // Callers that still wait call again, and are granted a time then.
        self.stop_waiting();
        let none = Grant { acts_until: now, renewed_until: now, call_count: 0 };
        let grant = self.grants.entry(caller.clone()).or_insert(none);
        grant.acts_until = grant.acts_until.max(now + stretched);
        grant.renewed_until = grant.renewed_until.max(now + renewal);
        grant.call_count += 1;
        Ok(())
    }

    /// Records that the caller no longer acts. Of several calls without a name each has to give back its own
    /// time, since another caller may have made it.
    pub fn give_back(&mut self, now: Timestamp, caller: &Caller) {
        self.stop_waiting();
        self.remove_ended(now);
        let Some(grant) = self.grants.get_mut(caller) else { return };
        grant.call_count -= 1;
        if grant.call_count == 0 || *caller != Caller::Unnamed {
            self.grants.remove(caller);
        }
    }

    /// Returns whether a caller acts, waits, or has the lease renewed. If not, the lease may be released.
    pub fn is_needed(&self, now: Timestamp) -> bool {
        let is_waiting = self.waiting_until.is_some_and(|until| now < until);
        is_waiting || self.grants.values().any(|grant| now < grant.ends_at())
    }

    /// Returns until when a caller may still act, or `None` if none does.
    pub fn acting_until(&self, now: Timestamp) -> Option<Timestamp> {
        let latest = self.grants.values().map(|grant| grant.acts_until).max();
        latest.filter(|until| now < *until)
    }

    fn remove_ended(&mut self, now: Timestamp) {
        self.grants.retain(|_, grant| now < grant.ends_at());
    }
}
