//! The interface between the decisions and the code that carries them out: events go in, effects come out.

use crate::ids::{
    AttemptNumber, CellId, ClassId, EndpointId, EndpointKindId, KeyHash, RequestId, TenantId, Ticks, TimerId,
    Timestamp, ZoneId,
};

/// The actions of a balancer. They are called while an event is handled and must not call back into the
/// balancer.
pub trait Effects {
    /// Sends the request to the endpoint. The attempt's number is the number of earlier attempts of the
    /// request.
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId);

    /// Cancels an attempt. The attempt still finishes, as [`AttemptOutcome::Cancelled`] or with the outcome
    /// that it already had.
    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNumber);

    /// Rejects the request as its final answer. The client may send it again without repeating an effect,
    /// after `retry_after` if that is given.
    fn reject(&mut self, request: RequestId, retry_after: Option<Ticks>);

    /// Fails the request as its final answer. It is unknown whether the request ran.
    fn fail(&mut self, request: RequestId);

    /// Sets a timer that fires at this time or as soon as possible after it.
    fn set_timer(&mut self, at: Timestamp, timer: TimerId);

    /// Closes connections to the endpoint that carry no request.
    fn close_idle_connections(&mut self, endpoint: EndpointId);

    /// Asks discovery for the endpoint list and watches it for changes until a call fails.
    fn watch_endpoints(&mut self);

    /// Asks an endpoint for its load.
    fn probe_load(&mut self, endpoint: EndpointId);

    /// Counts a request of the tenant against the limits of the whole fleet. Returns `None` if it is within
    /// them, and otherwise the time until there should be capacity for it.
    fn fleet_limit_wait(&mut self, _now: Timestamp, _tenant: TenantId) -> Option<Ticks> {
        None
    }

    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}

/// A request as the decisions see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IncomingRequest {
    /// The id of the request, in use until its final answer.
    pub request: RequestId,
    /// The hash of the request's key. Requests with the same key go to the same endpoints where possible.
    pub key: Option<KeyHash>,
    /// The tenant whose quota the request counts against.
    pub tenant: TenantId,
    /// The request class, which determines the value of an answer and whether the request may run again.
    pub class: ClassId,
    /// The time that the client waits, counted from now.
    pub timeout: Ticks,
    /// The expected work in seconds of a standard core.
    pub cost_estimate: Option<f64>,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint answered.
    Succeeded,
    /// The endpoint answered with an error.
    ErrorResponse,
    /// The endpoint rejected the request without running it.
    Overloaded,
    /// The attempt was in flight when the request's time ended.
    TimedOut,
    /// No connection was established.
    ConnectFailed,
    /// The connection broke when the request may already have run.
    ConnectionReset,
    /// The attempt was cancelled after its first byte was sent.
    Cancelled,
    /// The attempt was cancelled before its first byte was sent.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the attempt never ran. After any other outcome it may have.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Overloaded | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }

    /// Returns whether the endpoint, or its operating system on its behalf, responded in any way.
    pub fn is_response(self) -> bool {
        !matches!(self, AttemptOutcome::Cancelled | AttemptOutcome::TimedOut | AttemptOutcome::NotSent)
    }
}

/// An attempt that has finished.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedAttempt {
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt among those of its request.
    pub attempt: AttemptNumber,
    /// The endpoint that it went to.
    pub endpoint: EndpointId,
    /// Whether the request has its final answer, by this attempt or an earlier event.
    pub request_finished: bool,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The time from the decision to start the attempt until its end.
    pub duration: Ticks,
}

/// The result of a load probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadProbeResult {
    /// The endpoint that was probed.
    pub endpoint: EndpointId,
    /// The requests that the endpoint holds from all balancers; `None` if it reported no load.
    pub load: Option<f64>,
}

/// The status of an endpoint in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// The endpoint gets requests.
    Ready,
    /// The endpoint finishes its requests and gets no new ones.
    Draining,
    /// The endpoint has been removed.
    Removed,
}

/// The current state of an endpoint in discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointUpdate {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The kind of the endpoint. Endpoints of the same kind form a pool.
    pub kind: EndpointKindId,
    /// The zone of the endpoint.
    pub zone: ZoneId,
    /// The cell of the endpoint within its zone.
    pub cell: CellId,
    /// The capacity relative to other endpoints, greater than 0.
    pub weight: f64,
    /// Whether the endpoint gets requests.
    pub status: EndpointStatus,
    /// The start of the endpoint's process; `None` means long ago.
    pub started_at: Option<Timestamp>,
}
