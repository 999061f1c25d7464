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

/// An event of a history. In all events `op` is a request id, `server` an endpoint, `node` a balancer, and
/// `start` counts the processes of an endpoint from 1.
#[allow(missing_docs, reason = "the fields that need it are described with their variants")]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    /// A client is about to send a request to a balancer. `work` is the processing time that it asks for,
    /// `ttl` its timeout, and `of` the id of the client's first try.
    #[serde(rename = "asked")]
    RequestStarted { op: u64, node: String, kind: RequestClass, work: Micros, ttl: Micros, of: u64 },
    /// The client wrote the last byte of the request.
    #[serde(rename = "sent")]
    RequestWritten { op: u64 },
    /// The client received a complete response. `by` is the endpoint that the body of a served request names.
    #[serde(rename = "answered")]
    ResponseReceived { op: u64, status: u16, by: Option<String> },
    /// The connection ended without a complete response.
    #[serde(rename = "lost")]
    ConnectionLost { op: u64 },
    /// The client could connect to no balancer, so the request was never sent.
    #[serde(rename = "untaken")]
    NotConnected { op: u64 },
    /// The client gave up before its timeout.
    #[serde(rename = "left")]
    ClientAbandoned { op: u64 },
    /// Neither a response nor the end of the connection came within the hang timeout.
    #[serde(rename = "silent")]
    ResponseMissing { op: u64 },
    /// More bytes followed the complete response.
    #[serde(rename = "second")]
    ExtraBytes { op: u64 },
    /// An endpoint received a complete attempt. `first_byte` is when its first byte reached the fault proxy,
    /// and `right` states that it is as the client sent it.
    #[serde(rename = "came")]
    AttemptReceived { op: u64, server: String, start: u32, node: String, first_byte: Micros, right: bool },
    /// An endpoint declined an attempt and stated that it did not run it.
    Declined { op: u64, server: String, start: u32 },
    /// An endpoint applied the effect of a request.
    #[serde(rename = "ran")]
    EffectApplied { op: u64, server: String, start: u32 },
    /// An endpoint accepted a connection.
    #[serde(rename = "opened")]
    ConnectionAccepted { server: String, start: u32, node: String },
    /// A process of an endpoint started. `since` is the start time that the endpoint list states; on a busy
    /// machine the event itself may be recorded later. `capacity` is the work in seconds that the endpoint
    /// does per second when warm.
    #[serde(rename = "started")]
    UpstreamStarted { server: String, start: u32, cold: bool, since: Micros, capacity: f64 },
    /// A warming endpoint received more work than it can take, and declines everything for the rest of this
    /// process.
    #[serde(rename = "fell")]
    UpstreamCollapsed { server: String, start: u32 },
    /// The process of an endpoint ended.
    #[serde(rename = "ended")]
    UpstreamEnded { server: String },
    /// A balancer called discovery, which answered with this status.
    #[serde(rename = "called")]
    DiscoveryCalled { node: String, status: u16 },
    /// Discovery sent an endpoint list to a balancer. `whole` is false where it holds only changes.
    #[serde(rename = "told")]
    ListSent { node: String, version: u64, whole: bool, rows: Vec<ListedEndpoint> },
    /// The state of an endpoint in the endpoint list from now on.
    #[serde(rename = "listed")]
    EndpointListed { server: String, state: String },
    /// A process of a balancer changed its state; `id` is the process id, or 0 where the observer does not
    /// know it.
    Process { node: String, id: u32, did: ProcessChange },
    /// A balancer confirmed a manual override that ejects an endpoint (`out`) or takes that back.
    #[serde(rename = "by-hand")]
    ManualOverride { node: String, server: String, out: bool },
    /// A balancer confirmed a fleet override that ejects an endpoint (`out`) or takes that back.
    #[serde(rename = "for-fleet")]
    FleetOverride { node: String, server: String, out: bool },
    /// All faults were over, and the balancers still reported different fleet overrides after the hang
    /// timeout.
    #[serde(rename = "differ")]
    OverridesDiffer { text: String },
    /// A balancer's state directory was changed between two of its processes.
    #[serde(rename = "folder")]
    StateDirectoryChanged { node: String, state: String },
    /// A balancer's answer, to a call made at `asked`, how many members share the fleet's capacity (`among`),
    /// and whether it counted them (`counted`) or took the number from its settings.
    #[serde(rename = "counted")]
    MemberCount { node: String, asked: Micros, among: u32, counted: bool },
    /// The worker at this balancer acts under a permit with this token until the given time.
    #[serde(rename = "acts")]
    PermitHeld { node: String, token: u64, until: Micros },
    /// The worker at this balancer stopped acting and gives the permit back.
    #[serde(rename = "rests")]
    PermitReleased { node: String },
    /// All faults were over, and a balancer served no request within the hang timeout.
    #[serde(rename = "stuck")]
    BalancerStuck { node: String },
    /// The harness began a fault, or ended it (`over`); `ways` are the network paths that it affects.
    Fault { text: String, ways: Vec<(String, String)>, over: bool },
    /// The largest delay of the harness itself since the previous such event.
    #[serde(rename = "late")]
    HarnessLate { by: Micros },
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
