//! Describes the requests that are open when a process ends, for its log and its exit code.

use std::fmt::{self, Display};

use axum::http::HeaderValue;
use doorproxy::ids::Ticks;

/// Maximum number of requests that are described in full; the others are only counted.
const MAX_LISTED: usize = 8;
/// Maximum number of characters of a request's id that are shown.
const MAX_ID_CHARS: usize = 64;
const TICKS_PER_MS: i64 = 10;

/// States how far an open request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestPhase {
    /// The whole request was read, and no byte of a response was given to the HTTP library.
    AwaitingResponse,
    /// The response is being streamed or written.
    Responding,
    /// Only a part of the request was read.
    Receiving,
}

impl RequestPhase {
    fn name(self) -> &'static str {
        match self {
            RequestPhase::AwaitingResponse => "without a response",
            RequestPhase::Responding => "with part of a response",
            RequestPhase::Receiving => "received in part",
        }
    }
}

/// Describes a request that is open.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    /// Number of its client connection, as in the trace of connections.
    pub connection: u64,
    /// Value of its id header field, if it has one.
    pub id: Option<HeaderValue>,
    /// How far it has come.
    pub phase: RequestPhase,
    /// Time since its last bytes arrived.
    pub age: Ticks,
}

impl Display for OpenRequest {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{} on client connection {}", self.phase.name(), self.connection)?;
        if let Some(id) = self.id.as_ref().and_then(|id| id.to_str().ok()) {
            let shown: String = id.chars().take(MAX_ID_CHARS).collect();
            write!(out, ", id {shown:?}")?;
        }
        write!(out, ", for {} ms", self.age.0 / TICKS_PER_MS)
    }
}

/// Holds the requests that are open at one time, ordered by phase and connection.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests(Vec<OpenRequest>);

impl OpenRequests {
    /// Sorts the requests.
    pub fn new(mut requests: Vec<OpenRequest>) -> OpenRequests {
        requests.sort_by_key(|request| (request.phase, request.connection));
        OpenRequests(requests)
    }

    /// Returns whether no request is open.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of requests that were read whole and have no whole response. They are lost if the
    /// process ends now.
    pub fn unanswered_count(&self) -> usize {
        self.0.iter().filter(|request| request.phase != RequestPhase::Receiving).count()
    }
}

impl Display for OpenRequests {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for (index, request) in self.0.iter().take(MAX_LISTED).enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(out, "{separator}{request}")?;
        }
        match self.0.len().saturating_sub(MAX_LISTED) {
            0 => Ok(()),
            more => write!(out, "; and {more} more"),
        }
    }
}
