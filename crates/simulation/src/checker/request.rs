//! The checker's record of one request.

use std::fmt::{self, Display};

use crate::time::Micros;

/// The rule by which requests of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// May be repeated without limit.
    Idempotent,
    /// May be repeated within the window, among endpoints of one deduplication scope.
    Deduplicated {
        /// The time for which endpoints remember a request.
        window: Micros,
        /// Whether the whole fleet is one deduplication scope.
        is_fleet_wide: bool,
    },
    /// Must not be repeated once it may have been executed.
    NonIdempotent,
}

impl Idempotency {
    /// Returns whether the request may be rejected after it was executed. A rejection tells the client to
    /// repeat it.
    pub(super) fn may_be_rejected_after_execution(self) -> bool {
        matches!(self, Idempotency::Idempotent | Idempotency::Deduplicated { is_fleet_wide: true, .. })
    }
}

impl Display for Idempotency {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Idempotency::Idempotent => "idempotent",
            Idempotency::Deduplicated { .. } => "deduplicated",
            Idempotency::NonIdempotent => "not idempotent",
        })
    }
}

/// A request as its client sends it.
pub struct ClientRequest {
    /// The rule by which it may be repeated.
    pub idempotency: Idempotency,
    /// The request line.
    pub start_line: String,
    /// The bytes after the head.
    pub body: Vec<u8>,
    /// The work in seconds on a core of normal speed.
    pub work: f64,
}

/// The meaning of a response to the client.
#[derive(Clone, Copy, PartialEq)]
pub enum RequestStatus {
    /// Status 200.
    Succeeded,
    /// Status 429 or 503: the client may send the request again.
    Rejected,
    /// Any other status: the request may or may not have been executed.
    Failed,
    /// Any 4xx status but 429.
    Refused,
}

impl RequestStatus {
    /// Returns the meaning of a status code.
    pub fn from_code(status: u16) -> RequestStatus {
        match status {
            200 => RequestStatus::Succeeded,
            429 | 503 => RequestStatus::Rejected,
            400..=499 => RequestStatus::Refused,
            _ => RequestStatus::Failed,
        }
    }

    /// Returns the name under which it is counted and printed.
    pub fn name(self) -> &'static str {
        match self {
            RequestStatus::Succeeded => "Acked",
            RequestStatus::Rejected => "Nacked",
            RequestStatus::Failed => "Failed",
            RequestStatus::Refused => "Turned",
        }
    }
}

/// The first response to a request.
#[derive(Clone, Copy)]
pub(super) struct FinalResponse {
    pub status: RequestStatus,
    pub sent_at: Micros,
}

/// An attempt that an endpoint has received completely.
pub(super) struct Attempt {
    pub server: usize,
    pub dedup_group: u32,
    /// The time at which its first byte was sent.
    pub sent_at: Micros,
    /// The time at which the endpoint declined it, and so proved that it does not execute it.
    pub declined_at: Option<Micros>,
    pub executed_at: Option<Micros>,
}

/// A request with its attempts and its response.
pub(super) struct RequestRecord {
    pub request: ClientRequest,
    /// Set when the client has written the last byte.
    pub deadline: Option<Micros>,
    pub attempts: Vec<Attempt>,
    pub final_response: Option<FinalResponse>,
    pub client_gone_at: Option<Micros>,
}

impl RequestRecord {
    pub fn new(request: ClientRequest) -> RequestRecord {
        RequestRecord {
            request,
            deadline: None,
            attempts: Vec::new(),
            final_response: None,
            client_gone_at: None,
        }
    }
}
