//! The state of a request until its final answer.

use crate::effects::IncomingRequest;
use crate::endpoint::{Endpoint, EndpointIndex};
use crate::ids::{CellId, Timestamp, ZoneId};
use crate::settings::DedupScope;

/// The progress of a request that has not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The request has an attempt in flight or is being placed.
    InFlight,
    /// The request waits in the queue. None of its attempts can have run.
    Waiting,
}

/// A request without a final answer.
pub struct Request {
    pub incoming: IncomingRequest,
    /// The cost estimate in core seconds, or the mean of other requests' estimates if the request has none.
    pub cost: f64,
    /// The time by which an answer meets the latency objective.
    pub objective_at: Timestamp,
    /// The time at which the client gives up.
    pub deadline: Timestamp,
    /// The weight of the class, reduced if the tenant is over its quota.
    pub priority_weight: f64,
    pub attempts: Vec<Attempt>,
    pub progress: Progress,
    /// Whether an attempt has started to send a body that can be sent only once. This can become known after
    /// that attempt has failed.
    pub is_streaming: bool,
    /// While waiting: the time at which the request is rejected if it has not been placed. In flight: the
    /// time of a hedged request.
    pub due_at: Timestamp,
    pub load_probes: LoadProbes,
}

/// Load probes that were sent or awaited for a request.
#[derive(Clone, Copy, Debug)]
pub struct LoadProbes {
    /// Probes sent since the request was last deferred.
    pub sent: u8,
    /// How often the request was deferred because no endpoint had capacity.
    pub deferrals: u32,
    /// The endpoint whose load the request waits for.
    pub awaited: Option<EndpointIndex>,
    /// The request is not placed again before this time unless the awaited load arrives.
    pub retry_at: Timestamp,
}

/// An attempt, with the zone and cell that its endpoint had when it started. The endpoint's id may since have
/// passed to an instance elsewhere.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub endpoint: EndpointIndex,
    zone: ZoneId,
    cell: CellId,
    pub started_at: Timestamp,
    pub is_in_flight: bool,
    pub may_have_run: bool,
}

impl Request {
    pub fn new(
        now: Timestamp,
        incoming: IncomingRequest,
        cost: f64,
        objective_at: Timestamp,
        priority_weight: f64,
    ) -> Request {
        Request {
            incoming,
            cost,
            objective_at,
            deadline: now + incoming.timeout,
            priority_weight,
            attempts: Vec::with_capacity(1),
            progress: Progress::InFlight,
            is_streaming: false,
            due_at: now,
            load_probes: LoadProbes { sent: 0, deferrals: 0, awaited: None, retry_at: now },
        }
    }

    pub fn is_waiting(&self) -> bool {
        self.progress == Progress::Waiting
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }

    /// Returns whether a finished attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    pub fn was_sent_to(&self, endpoint: EndpointIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.endpoint == endpoint)
    }
}

impl Attempt {
    pub fn new(now: Timestamp, index: EndpointIndex, endpoint: &Endpoint) -> Attempt {
        Attempt {
            endpoint: index,
            zone: endpoint.zone,
            cell: endpoint.cell,
            started_at: now,
            is_in_flight: true,
            may_have_run: false,
        }
    }

    /// Returns whether a repeat at `endpoint` is recognized as a duplicate of this attempt and dropped.
    pub fn shares_scope(&self, scope: DedupScope, endpoint: &Endpoint) -> bool {
        match scope {
            DedupScope::All => true,
            DedupScope::Zone => self.zone == endpoint.zone,
            DedupScope::Cell => self.cell == endpoint.cell,
        }
    }
}
