//! One endpoint as a balancer knows it, and the table of all endpoints.
//!
//! The state here is kept by concern ([`Health`], [`ConcurrencyLimit`], [`LoadState`], ...). It holds no rule
//! of its own beyond the transitions of each part: what follows from the state is decided in
//! [`crate::policy`].

mod health;
mod table;

use crate::effects::{AttemptOutcome, EndpointStatus, EndpointUpdate};
use crate::ids::{CellId, EndpointId, Ticks, Timestamp, ZoneId};
use crate::route_table::PoolIndex;
use crate::samples::WorkLog;

pub use health::Health;
pub use table::{EndpointIndex, EndpointTable, RingEntry};

/// An endpoint, with what this balancer has sent to it and heard from it.
pub struct Endpoint {
    pub id: EndpointId,
    pub pool: PoolIndex,
    pub zone: ZoneId,
    pub cell: CellId,
    /// Capacity relative to other endpoints, as discovery states it.
    pub weight: f64,
    pub listing: Listing,
    /// When its process started; `None` means long ago.
    pub started_at: Option<Timestamp>,
    /// Attempts of this balancer that are not finished.
    pub in_flight: u32,
    /// An attempt was sent since its connections were last closed.
    pub has_connections: bool,
    /// No attempt before this time, after a rejection or a slow answer.
    pub overloaded_until: Timestamp,
    /// The last attempt's connection failed.
    pub refuses_connections: bool,
    pub health: Health,
    pub limit: ConcurrencyLimit,
    pub load: LoadState,
    pub awaiting: AwaitedResponse,
    pub slow_start: SlowStartState,
    /// When the last attempt of this balancer finished here; [`Timestamp`]'s minimum before the first.
    pub idle_since: Timestamp,
    /// How long that attempt took.
    pub last_duration: Ticks,
    /// Cost of the attempts sent, within the warm-up time.
    pub sent: WorkLog,
    /// Cost of the attempts answered, within the warm-up time.
    pub answered: WorkLog,
}

/// What discovery says of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub status: EndpointStatus,
    /// Dropped from the list without having been draining, where only draining is binding.
    pub is_missing: bool,
    has_drained: bool,
}

/// The limit on concurrent attempts, for all balancers together; each keeps to its share.
#[derive(Clone, Copy, Debug)]
pub struct ConcurrencyLimit {
    pub value: f64,
    pub decreased_at: Timestamp,
    pub was_decreased: bool,
}

/// What load probes have told.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadState {
    pub reported: Option<ReportedLoad>,
    /// When the outstanding probe was sent.
    pub probe_sent_at: Option<Timestamp>,
}

/// Requests in flight at an endpoint from all balancers, as it reported them.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    pub at: Timestamp,
    pub in_flight: f64,
}

/// For how long an endpoint has owed a response without giving any.
#[derive(Clone, Copy, Debug, Default)]
pub struct AwaitedResponse {
    pub since: Option<Timestamp>,
    /// The largest cost estimate sent in that time, in core seconds.
    pub max_cost: f64,
}

/// What spaces out attempts to an endpoint that is warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartState {
    /// When this balancer was notified of the endpoint's last start.
    pub notified_at: Timestamp,
    /// By which fraction of a pacing interval this balancer's first attempt comes early, in 0..1.
    pub phase: f64,
    /// When an attempt of this balancer last ended that the endpoint may still be working on.
    pub unfinished_at: Option<Timestamp>,
}

impl Endpoint {
    /// An endpoint that discovery has just named. `limit` is its initial concurrency limit, `phase` see
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

    /// Listed as ready, or missing from the list but shown to be up: it has answered, and refused no
    /// connection since.
    pub fn is_ready(&self) -> bool {
        let is_answering = !self.refuses_connections && self.answered.last().is_some();
        self.listing.status == EndpointStatus::Ready && (!self.listing.is_missing || is_answering)
    }

    /// Discovery calls the endpoint removed, or a snapshot leaves it out.
    pub fn on_removed(&mut self, only_draining_binds: bool) {
        let was_ready = self.listing.status == EndpointStatus::Ready;
        self.listing.is_missing = only_draining_binds && was_ready && !self.listing.has_drained;
        if !self.listing.is_missing {
            self.listing.status = EndpointStatus::Removed;
        }
    }

    /// Discovery names the endpoint again. True where a new process answers under its name, which is not
    /// judged by the failures of the process before it.
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

    /// An attempt is about to be sent. `cost` is its estimate, and `charged_cost` what counts against a
    /// warm-up budget, both in core seconds.
    pub fn on_attempt_started(&mut self, now: Timestamp, cost: f64, charged_cost: f64, warm_up_time: Ticks) {
        self.has_connections = true;
        self.in_flight += 1;
        self.awaiting.since.get_or_insert(now);
        self.awaiting.max_cost = self.awaiting.max_cost.max(cost);
        self.sent.put(now, warm_up_time, charged_cost);
    }

    /// An attempt has finished, after `duration`.
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

/// After an answer the endpoint has nothing left to do for an attempt, nor where it never got it.
fn may_leave_unfinished_work(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::Succeeded
            | AttemptOutcome::ErrorAnswer
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent
    )
}

impl Listing {
    fn new(status: EndpointStatus) -> Listing {
        Listing { status, is_missing: false, has_drained: status == EndpointStatus::Draining }
    }
}
