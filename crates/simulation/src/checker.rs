//! Checks the rules of the service from outside the balancers.
//!
//! The checker records what clients send and receive, what endpoints receive and execute, and what discovery
//! tells each balancer. It checks every record when it is made and never reads a balancer's internal state.

mod attempts;
mod request;
mod responses;
mod slow_start;

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

pub use attempts::{AttemptArrival, ReceivedAttempt};
pub use request::{ClientRequest, Idempotency, RequestStatus};
pub use responses::ResponseArrival;
pub use slow_start::ServerStart;

use crate::counters::Counters;
use crate::hard_cases::HardCase;
use crate::kernel::Kernel;
use crate::rule::Rule;
use crate::time::{MS, Micros};
use crate::trace::EventKind;
use request::RequestRecord;

/// The longest time between a drain notice and a retry that counts as the hard case.
const DRAIN_AT_RETRY_WINDOW: Micros = 5 * MS;

/// A rule that a run broke.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The broken rule.
    pub rule: Rule,
    /// The time of the violation.
    pub at: Micros,
    /// A description of what broke the rule.
    pub text: String,
}

/// An endpoint as one balancer knows it: the balancer's index and the endpoint's name in the endpoint list.
type KnownServer = (usize, String);

/// The latest start of an endpoint that a balancer has been told of.
#[derive(Clone, Copy)]
struct KnownStart {
    started_at: Micros,
    /// The time at which the balancer was first told of this start.
    told_at: Micros,
}

/// The part of a run's history that the rules need.
#[derive(Default)]
pub struct Records {
    requests: BTreeMap<u64, RequestRecord>,
    /// All starts of all endpoints.
    pub server_starts: Vec<ServerStart>,
    /// The time at which a balancer's process was told that an endpoint drains or is removed.
    drain_notices: BTreeMap<KnownServer, Micros>,
    /// The time at which a balancer confirmed a manual ejection. The ejection outlives the balancer's
    /// processes.
    manual_ejections: BTreeMap<KnownServer, Micros>,
    known_starts: BTreeMap<KnownServer, KnownStart>,
    /// The first violation.
    pub violation: Option<Violation>,
    /// Counts of attempt results, by the balancers' names for them.
    pub attempt_results: Counters,
    /// Counts of the hard cases that occurred.
    pub hard_cases: Counters,
    /// Counts of what clients and endpoints observed.
    pub outcomes: Counters,
    last_retry_at: Option<Micros>,
    last_drain_notice_at: Option<Micros>,
}

/// The records of a run, shared by all clients, endpoints and hooks that write them.
#[derive(Default)]
pub struct SharedRecords(Mutex<Records>);

impl SharedRecords {
    /// Locks the records. The lock is not re-entrant: no stream may be dropped while it is held.
    ///
    /// # Panics
    ///
    /// Panics if another holder of the lock panicked.
    pub fn lock(&self) -> MutexGuard<'_, Records> {
        self.0.lock().expect("no panic while the records are locked")
    }

    /// Returns whether a rule has been broken.
    pub fn has_violation(&self) -> bool {
        self.lock().violation.is_some()
    }
}

impl Records {
    /// Records an event for a broken rule, and keeps the violation if it is the first. The numbers carry the
    /// same details as the text.
    pub fn report_violation(&mut self, kernel: &mut Kernel, rule: Rule, numbers: &[u64], text: String) {
        let numbers = [&[rule as u64], numbers].concat();
        kernel.record_event(EventKind::RuleBroken, &numbers, format_args!("VIOLATION {rule}: {text}"));
        self.violation.get_or_insert(Violation { rule, at: kernel.now, text });
    }

    /// Counts an occurrence of a hard case.
    pub fn record_hard_case(&mut self, case: HardCase) {
        self.hard_cases.increment(case.name());
    }

    /// Records that a balancer confirmed a manual ejection, or the end of one.
    pub fn record_manual_ejection(&mut self, now: Micros, balancer: usize, server: &str, is_ejected: bool) {
        let key = (balancer, server.to_string());
        if is_ejected {
            self.manual_ejections.entry(key).or_insert(now);
        } else {
            self.manual_ejections.remove(&key);
        }
    }

    /// Returns an endpoint that is manually ejected at this balancer, and the time of the ejection.
    pub fn manually_ejected_server(&self, balancer: usize) -> Option<(String, Micros)> {
        let ejection = self.manual_ejections.iter().find(|((other, _), _)| *other == balancer);
        ejection.map(|((_, server), since)| (server.clone(), *since))
    }

    /// Records that discovery told a balancer that an endpoint drains or is removed.
    pub fn record_drain_notice(&mut self, now: Micros, balancer: usize, server: &str) {
        self.drain_notices.entry((balancer, server.to_string())).or_insert(now);
        self.last_drain_notice_at = Some(now);
        self.detect_drain_at_retry();
    }

    /// Records that discovery told a balancer that an endpoint is ready, and when that endpoint started.
    pub fn record_ready_notice(&mut self, now: Micros, balancer: usize, server: &str, started_at: Micros) {
        let key = (balancer, server.to_string());
        self.drain_notices.remove(&key);
        let new = KnownStart { started_at, told_at: now };
        let known = self.known_starts.entry(key).or_insert(new);
        if known.started_at != started_at {
            *known = new;
        }
    }

    /// Records that a balancer received a complete snapshot, which removes every endpoint that it does not
    /// list.
    pub fn record_snapshot(&mut self, now: Micros, balancer: usize, listed: &[String]) {
        let missing: Vec<KnownServer> = self
            .known_starts
            .keys()
            .filter(|(other, server)| *other == balancer && !listed.contains(server))
            .cloned()
            .collect();
        for key in missing {
            self.drain_notices.entry(key).or_insert(now);
        }
    }

    /// Drops all that discovery told a balancer, because its process ended.
    pub fn forget_balancer(&mut self, balancer: usize) {
        self.drain_notices.retain(|(other, _), _| *other != balancer);
        self.known_starts.retain(|(other, _), _| *other != balancer);
    }

    fn detect_drain_at_retry(&mut self) {
        if let (Some(retry), Some(drain)) = (self.last_retry_at, self.last_drain_notice_at)
            && retry.abs_diff(drain) <= DRAIN_AT_RETRY_WINDOW
        {
            self.record_hard_case(HardCase::DrainAtRetry);
            self.last_drain_notice_at = None;
        }
    }
}
