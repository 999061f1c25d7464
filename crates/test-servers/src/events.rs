//! The events of a history: what clients, endpoints, discovery and the test harness observed. Apart from the
//! few that a checker needs by name, such as [`Event::MemberCount`], no event holds what a balancer reports
//! about itself.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::clock::Micros;

/// How a request may be repeated once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Idempotent: repeats are harmless.
    #[serde(rename = "look")]
    Idempotent,
    /// Deduplicated by every endpoint, for [`DEDUP_WINDOW`].
    #[serde(rename = "top")]
    Deduplicated,
    /// Non-idempotent: may run only once.
    #[serde(rename = "buy")]
    NonIdempotent,
}

/// The time for which endpoints drop a repeat of a deduplicated request.
pub const DEDUP_WINDOW: Micros = 3_000_000;

impl RequestClass {
    /// All classes.
    pub const ALL: [RequestClass; 3] =
        [RequestClass::Idempotent, RequestClass::Deduplicated, RequestClass::NonIdempotent];

    /// Returns the class's name on the wire.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Idempotent => "look",
            RequestClass::Deduplicated => "top",
            RequestClass::NonIdempotent => "buy",
        }
    }
}

/// One row of an endpoint list as discovery sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The endpoint's name.
    pub server: String,
    /// Its state: `active`, `leaving` or `left`.
    pub state: String,
    /// When its process started, in the time of the run; 0 if it started before the run.
    pub started: Micros,
}

/// An event of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    /// A client is about to send a request to a balancer.
    #[serde(rename = "asked")]
    RequestStarted {
        /// The request id.
        op: u64,
        /// The balancer.
        node: String,
        /// The class of the request.
        kind: RequestClass,
        /// The processing time that it asks for.
        work: Micros,
        /// Its timeout.
        ttl: Micros,
        /// The id of the client's first try.
        of: u64,
    },
    /// The client wrote the last byte of the request.
    #[serde(rename = "sent")]
    RequestWritten {
        /// The request id.
        op: u64,
    },
    /// The client received a complete response.
    #[serde(rename = "answered")]
    ResponseReceived {
        /// The request id.
        op: u64,
        /// The status of the response.
        status: u16,
        /// The endpoint and the number of its start, as the body of a served request names them.
        by: Option<String>,
    },
    /// The connection ended without a complete response.
    #[serde(rename = "lost")]
    ConnectionLost {
        /// The request id.
        op: u64,
    },
    /// The client could connect to no balancer, so the request was never sent.
    #[serde(rename = "untaken")]
    NotConnected {
        /// The request id.
        op: u64,
    },
    /// The client gave up before its timeout.
    #[serde(rename = "left")]
    ClientAbandoned {
        /// The request id.
        op: u64,
    },
    /// Neither a response nor the end of the connection came within the hang timeout.
    #[serde(rename = "silent")]
    ResponseMissing {
        /// The request id.
        op: u64,
    },
    /// More bytes followed the complete response.
    #[serde(rename = "second")]
    ExtraBytes {
        /// The request id.
        op: u64,
    },
    /// An endpoint received a complete attempt.
    #[serde(rename = "came")]
    AttemptReceived {
        /// The request id.
        op: u64,
        /// The endpoint.
        server: String,
        /// The number of its process, counted from 1.
        start: u32,
        /// The balancer.
        node: String,
        /// When its first byte reached the fault proxy.
        first_byte: Micros,
        /// True if it is as the client sent it.
        right: bool,
    },
    /// An endpoint declined an attempt and stated that it did not run it.
    Declined {
        /// The request id.
        op: u64,
        /// The endpoint.
        server: String,
        /// The number of its process, counted from 1.
        start: u32,
    },
    /// An endpoint applied the effect of a request.
    #[serde(rename = "ran")]
    EffectApplied {
        /// The request id.
        op: u64,
        /// The endpoint.
        server: String,
        /// The number of its process, counted from 1.
        start: u32,
    },
    /// An endpoint accepted a connection.
    #[serde(rename = "opened")]
    ConnectionAccepted {
        /// The endpoint.
        server: String,
        /// The number of its process, counted from 1.
        start: u32,
        /// The balancer.
        node: String,
    },
    /// A process of an endpoint started. On a busy machine this may be recorded later than it started.
    #[serde(rename = "started")]
    UpstreamStarted {
        /// The endpoint.
        server: String,
        /// The number of its process, counted from 1.
        start: u32,
        /// True if it has to warm up.
        cold: bool,
        /// The start time that the endpoint list states.
        since: Micros,
        /// The work in seconds that it does per second when warm.
        capacity: f64,
    },
    /// A warming endpoint received more work than it can take, and declines everything for the rest of this
    /// process.
    #[serde(rename = "fell")]
    UpstreamCollapsed {
        /// The endpoint.
        server: String,
        /// The number of its process, counted from 1.
        start: u32,
    },
    /// The process of an endpoint ended.
    #[serde(rename = "ended")]
    UpstreamEnded {
        /// The endpoint.
        server: String,
    },
    /// A balancer called discovery, which answered with this status.
    #[serde(rename = "called")]
    DiscoveryCalled {
        /// The balancer.
        node: String,
        /// The status of the response.
        status: u16,
    },
    /// Discovery sent an endpoint list to a balancer.
    #[serde(rename = "told")]
    ListSent {
        /// The balancer.
        node: String,
        /// When the balancer's connection was opened. `None` for the list of its configuration, which is
        /// recorded before its process is started.
        #[serde(rename = "connected", default, skip_serializing_if = "Option::is_none")]
        connected_at: Option<Micros>,
        /// The version of the list.
        version: u64,
        /// False if it holds only changes.
        whole: bool,
        /// The rows of the list.
        rows: Vec<ListedEndpoint>,
    },
    /// The state of an endpoint in the endpoint list from now on.
    #[serde(rename = "listed")]
    EndpointListed {
        /// The endpoint.
        server: String,
        /// `active`, `leaving` or `left`.
        state: String,
    },
    /// A process of a balancer changed its state.
    Process {
        /// The balancer.
        node: String,
        /// The process id, or 0 if the observer does not know it.
        id: u32,
        /// The change.
        did: ProcessChange,
    },
    /// A balancer confirmed a manual ejection, or is about to be asked to end one.
    #[serde(rename = "by-hand")]
    ManualOverride {
        /// The balancer.
        node: String,
        /// The endpoint.
        server: String,
        /// True to eject the endpoint, false to take that back.
        out: bool,
    },
    /// A balancer confirmed an ejection for the whole fleet, or is about to be asked to end one.
    #[serde(rename = "for-fleet")]
    FleetOverride {
        /// The balancer.
        node: String,
        /// The endpoint.
        server: String,
        /// True to eject the endpoint, false to take that back.
        out: bool,
    },
    /// All faults were over, and the balancers still reported different fleet overrides after the hang
    /// timeout.
    #[serde(rename = "differ")]
    OverridesDiffer {
        /// The balancers by the overrides that they reported.
        text: String,
    },
    /// A balancer's state directory was changed between two of its processes.
    #[serde(rename = "folder")]
    StateDirectoryChanged {
        /// The balancer.
        node: String,
        /// The condition of the directory.
        state: String,
    },
    /// A balancer reported how many members it counts, in response to a query of the harness.
    #[serde(rename = "counted")]
    MemberCount {
        /// The balancer.
        node: String,
        /// When the balancer was called.
        asked: Micros,
        /// The number of members that share the fleet's capacity.
        among: u32,
        /// True if they were counted, false if the number is from the settings.
        counted: bool,
    },
    /// The worker at this balancer acts under a permit with this token until the given time.
    #[serde(rename = "acts")]
    PermitHeld {
        /// The balancer.
        node: String,
        /// The fencing token.
        token: u64,
        /// The end of the granted time.
        until: Micros,
    },
    /// The worker at this balancer stopped acting and gives the permit back.
    #[serde(rename = "rests")]
    PermitReleased {
        /// The balancer.
        node: String,
    },
    /// All faults were over, and a balancer served no request within the hang timeout.
    #[serde(rename = "stuck")]
    BalancerStuck {
        /// The balancer.
        node: String,
    },
    /// The harness began a fault or ended it.
    Fault {
        /// A description of the fault.
        text: String,
        /// The affected network paths, from and to.
        ways: Vec<(String, String)>,
        /// True if the fault ended.
        over: bool,
    },
    /// The largest delay of the harness itself since the previous such event.
    #[serde(rename = "late")]
    HarnessLate {
        /// The delay.
        by: Micros,
    },
}

/// A change of a balancer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessChange {
    /// It was started.
    Started,
    /// Its readiness check succeeded, for the first time or after it had failed.
    Ready,
    /// It was killed.
    Killed,
    /// It was asked to end.
    Terminated,
    /// It was paused with SIGSTOP.
    #[serde(rename = "stopped")]
    Paused,
    /// It was resumed with SIGCONT.
    #[serde(rename = "continued")]
    Resumed,
    /// It ended with this code without being killed.
    Exited(i32),
    /// It was asked to end and still ran after the hang timeout.
    #[serde(rename = "stayed")]
    DidNotExit,
}

/// A destination of events.
pub trait EventSink: Send + Sync {
    /// Records an event without waiting.
    fn record(&self, event: Event);
}

/// An event sink that several observers share.
pub type SharedEventSink = Arc<dyn EventSink>;
