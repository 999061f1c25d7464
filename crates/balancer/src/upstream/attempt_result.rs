//! Defines the results of attempts, and maps them to the outcomes that are reported to the dispatcher.

use axum::response::Response;
use doorproxy::effects::AttemptOutcome;

use crate::http::response_body::ResponseBody;

/// States how an attempt ended. A result says that the request was not processed only if that is certain.
#[derive(Debug)]
pub enum AttemptResult {
    /// A successful response was received, buffered whole or with its first bytes.
    Succeeded(Response<ResponseBody>),
    /// The endpoint rejected the request and declared that it did not start to process it.
    Overloaded,
    /// Any other response was received, including a rejection without that declaration.
    ErrorResponse,
    /// The endpoint sent a successful response whose body exceeds the limit for forwarding.
    ResponseTooLarge,
    /// The connection was refused, timed out, or ended before anything was sent on it; or no socket was free.
    ConnectFailed,
    /// The last byte of the request was certainly not sent: a connection that had served other requests ended
    /// before, or the byte never arrived from the client, or another attempt sends the body. This says
    /// nothing about the health of the endpoint, which closes idle connections.
    ClosedBeforeSent,
    /// The connection broke or ended after the last byte was sent, or at an unknown time.
    ConnectionReset,
    /// No response was received before the deadline of the request.
    TimedOut,
    /// The dispatcher cancelled the attempt.
    Cancelled,
    /// The attempt was cancelled or timed out before anything was sent.
    NotSent,
}

impl AttemptResult {
    /// The printed names of all results.
    pub const NAMES: [&str; 10] = [
        "answered",
        "declined",
        "failed",
        "too long",
        "no connection",
        "broken before sent",
        "broken",
        "timed out",
        "called off",
        "never sent",
    ];

    /// Returns the printed name, one of [`AttemptResult::NAMES`].
    pub fn name(&self) -> &'static str {
        let index = match self {
            AttemptResult::Succeeded(_) => 0,
            AttemptResult::Overloaded => 1,
            AttemptResult::ErrorResponse => 2,
            AttemptResult::ResponseTooLarge => 3,
            AttemptResult::ConnectFailed => 4,
            AttemptResult::ClosedBeforeSent => 5,
            AttemptResult::ConnectionReset => 6,
            AttemptResult::TimedOut => 7,
            AttemptResult::Cancelled => 8,
            AttemptResult::NotSent => 9,
        };
        AttemptResult::NAMES[index]
    }

    /// Returns the attempt outcome that is reported to the dispatcher.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            AttemptResult::Succeeded(_) => AttemptOutcome::Succeeded,
            AttemptResult::Overloaded => AttemptOutcome::Overloaded,
            AttemptResult::ErrorResponse | AttemptResult::ResponseTooLarge => AttemptOutcome::ErrorResponse,
            AttemptResult::ConnectFailed => AttemptOutcome::ConnectFailed,
            AttemptResult::ConnectionReset => AttemptOutcome::ConnectionReset,
            AttemptResult::TimedOut => AttemptOutcome::TimedOut,
            AttemptResult::Cancelled => AttemptOutcome::Cancelled,
            AttemptResult::ClosedBeforeSent | AttemptResult::NotSent => AttemptOutcome::NotSent,
        }
    }
}
