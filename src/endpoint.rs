//! One endpoint as a balancer knows it, and the table of all endpoints.
//!
//! The state is divided by concern ([`Health`], [`ConcurrencyLimit`], [`LoadState`], ...). This module
//! contains only the state transitions; the decisions that follow from the state are made in
//! [`crate::policy`].

mod health;
mod table;

use crate::effects::{AttemptOutcome, EndpointStatus, EndpointUpdate};
use crate::ids::{CellId, EndpointId, Ticks, Timestamp, ZoneId};
use crate::route_table::PoolIndex;
use crate::samples::WorkLog;

pub use health::Health;
pub use table::{EndpointIndex, EndpointTable, RingEntry};

/// An endpoint with the work that this balancer sent to it and the answers that it got.
pub struct Endpoint {
    pub id: EndpointId,
    pub pool: PoolIndex,
    pub zone: ZoneId,
    pub cell: CellId,
    /// The capacity relative to other endpoints, as stated by discovery.
    pub weight: f64,
    pub listing: Listing,
    /// The start of the endpoint's process; `None` means long ago.
    pub started_at: Option<Timestamp>,
    /// This balancer's attempts that have not finished.
    pub in_flight: u32,
    /// Whether an attempt was sent since connections to the endpoint were last closed.
    pub has_connections: bool,
    /// The end of the pause after a rejection or a slow answer.
    pub overloaded_until: Timestamp,
    /// Whether the last response was a failed connection.
    pub refuses_connections: bool,
    pub health: Health,
    pub limit: ConcurrencyLimit,
    pub load: LoadState,
    pub awaiting: AwaitedResponse,
    pub slow_start: SlowStartState,
    /// When this balancer's last attempt here finished; the minimum [`Timestamp`] before the first attempt.
    pub idle_since: Timestamp,
    /// The duration of that attempt.
    pub last_duration: Ticks,
    /// The cost of attempts sent within the warm-up time.
    pub sent: WorkLog,
    /// The cost of attempts answered within the warm-up time.
    pub answered: WorkLog,
}

/// The state of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub status: EndpointStatus,
    /// Whether the endpoint was dropped from the list without draining first, where only draining is binding.
    pub is_missing: bool,
    has_drained: bool,
}

/// The limit on concurrent attempts for all balancers together. Each balancer uses its share.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    pub value: f64,
    pub decreased_at: Timestamp,
    pub was_decreased: bool,
}

/// The state of load probes to an endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadState {
    pub reported: Option<ReportedLoad>,
    /// When the probe in flight was sent.
    pub probe_sent_at: Option<Timestamp>,
}

/// The requests in flight at an endpoint from all balancers, as it reported them.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    pub at: Timestamp,
    pub in_flight: f64,
}

/// Tracks how long an endpoint has had attempts in flight without responding to any.
#[derive(Clone, Copy, Debug, Default)]
pub struct AwaitedResponse {
    pub since: Option<Timestamp>,
    /// The largest cost estimate sent in that time, in core seconds.
    pub max_cost: f64,
}

/// Timing of attempts to an endpoint that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartState {
    /// When this balancer was notified of the endpoint's last start.
    pub notified_at: Timestamp,
    /// The random fraction of a pacing interval by which this balancer's first attempt is sent early, in
    /// 0..1.
    pub phase: f64,
    /// When the last attempt ended that the endpoint may still be working on.
    pub unfinished_at: Option<Timestamp>,
}

impl Endpoint {
    /// Creates an endpoint from its first update. `limit` is its initial concurrency limit; for `phase` see
    /// [`SlowStartState::phase`].
    pub fn new(now: Timestamp, update: &EndpointUpdate, pool: PoolIndex, limit: f64, phase: f64) -> Endpoint {
        Endpoint {
            id: update.endpoint,
            pool,
            zone: update.zone,
            cell: update.cell,
            weight: update.weight,
            listing: Listing::new(update.status),
            started_at: update.started_at,
            in_flight: 0,
            has_connections: false,
            overloaded_until: now,
            refuses_connections: false,
            health: Health::new(now),
            limit: ConcurrencyLimit { value: limit, decreased_at: now, was_decreased: false },
            load: LoadState::default(),
            awaiting: AwaitedResponse::default(),
            slow_start: SlowStartState { notified_at: now, phase, unfinished_at: None },
            idle_since: Timestamp(i64::MIN),
            last_duration: Ticks::ZERO,
            sent: WorkLog::default(),
            answered: WorkLog::default(),
        }
    }

    /// Returns whether the endpoint is listed as ready, or is missing from the list but known to be up: it
    /// has answered, and its last response was not a failed connection.
    pub fn is_ready(&self) -> bool {
        let is_answering = !self.refuses_connections && self.answered.last().is_some();
        self.listing.status == EndpointStatus::Ready && (!self.listing.is_missing || is_answering)
    }

    /// Handles the removal of the endpoint by an update, or its absence from a snapshot.
    pub fn on_removed(&mut self, only_draining_is_binding: bool) {
        let was_ready = self.listing.status == EndpointStatus::Ready;
        self.listing.is_missing = only_draining_is_binding && was_ready && !self.listing.has_drained;
        if !self.listing.is_missing {
            self.listing.status = EndpointStatus::Removed;
        }
    }

    /// Applies an update of a known endpoint. Returns true if its process has restarted; the failures of the
    /// previous process do not count against the new one.
    pub fn on_update(&mut self, now: Timestamp, update: &EndpointUpdate) -> bool {
        self.listing.status = update.status;
        self.listing.is_missing = false;
        self.listing.has_drained |= update.status == EndpointStatus::Draining;
        self.weight = update.weight;
        self.zone = update.zone;
        self.cell = update.cell;
        let has_restarted = update.started_at > self.started_at;
        if has_restarted {
            self.started_at = update.started_at;
            self.limit.was_decreased = false;
            self.health.on_restart(now);
            self.slow_start.notified_at = now;
            self.slow_start.unfinished_at = None;
        }
        has_restarted
    }

    /// Records the start of an attempt. `cost` is its estimate and `charged_cost` the amount that counts
    /// against a warm-up budget, both in core seconds.
    pub fn on_attempt_started(&mut self, now: Timestamp, cost: f64, charged_cost: f64, warm_up_time: Ticks) {
        self.has_connections = true;
        self.in_flight += 1;
        self.awaiting.since.get_or_insert(now);
        self.awaiting.max_cost = self.awaiting.max_cost.max(cost);
        self.sent.put(now, warm_up_time, charged_cost);
    }

    /// Records the end of an attempt and how long it took.
    pub fn on_attempt_finished(&mut self, now: Timestamp, outcome: AttemptOutcome, duration: Ticks) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if may_leave_unfinished_work(outcome) {
            self.slow_start.unfinished_at = Some(now);
        }
        let has_responded = outcome.is_response();
        if has_responded {
            self.refuses_connections = outcome == AttemptOutcome::ConnectFailed;
            self.awaiting.since = None;
        }
        if self.in_flight == 0 {
            self.idle_since = now;
            self.last_duration = duration;
            self.awaiting = AwaitedResponse::default();
        } else if has_responded {
            self.awaiting.since = Some(now);
        }
    }
}

/// Returns whether the endpoint may still be working on the attempt. It is not after an answer, or if the
/// attempt never reached it.
fn may_leave_unfinished_work(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Succeeded
            | AttemptOutcome::ErrorResponse
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent
    )
}

impl Listing {
    fn new(status: EndpointStatus) -> Listing {
        Listing { status, is_missing: false, has_drained: status == EndpointStatus::Draining }
    }
}
