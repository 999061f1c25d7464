//! Defines the errors of the admin API.

use std::io;

use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use doorproxy_fleet_health::operator_overrides::{MAX_NAME_BYTES, OverrideError};
use thiserror::Error;

/// States why a call is refused. The text is the body of the response.
#[derive(Debug, Error)]
pub enum AdminError {
    /// The endpoint list has no endpoint of this name.
    #[error("endpoint {0:?} is not in the endpoint list")]
    UnknownEndpoint(String),
    /// The fleet file does not name the other balancers.
    #[error("fleet file: [peers] is missing; this call needs it")]
    NoPeers,
    /// The fleet file names no state directory.
    #[error("fleet file: [state] folder is missing; this call needs it")]
    NoState,
    /// The fleet file names no such permit.
    #[error("permit {0:?} is not in the fleet file")]
    UnknownPermit(String),
    /// The override could not be stored.
    #[error("the override could not be stored: {0}")]
    Store(#[source] io::Error),
    /// The maximum number of endpoints is ejected.
    #[error("too many endpoints are ejected; restore others first")]
    TooManyEjected,
    /// The name does not fit into a message between balancers.
    #[error("the endpoint name is too long; expected at most {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// The body is not the name of one endpoint.
    #[error("body: not an endpoint name; expected exactly one")]
    ExpectedEndpoint,
    /// The body is not a permit's name with an optional time and an optional caller.
    #[error("body: not a permit request; expected NAME, NAME SECONDS or NAME SECONDS CALLER")]
    ExpectedPermit,
    /// The endpoint is restored on this balancer, but a fleet override still ejects it.
    #[error("endpoint {0:?} is restored on this balancer, but a fleet override still ejects it")]
    EjectedByFleet(String),
}

impl AdminError {
    fn status(&self) -> StatusCode {
        match self {
            AdminError::UnknownEndpoint(_)
            | AdminError::NoPeers
            | AdminError::NoState
            | AdminError::UnknownPermit(_) => StatusCode::NOT_FOUND,
            AdminError::Store(_) => StatusCode::INTERNAL_SERVER_ERROR,
            AdminError::TooManyEjected => StatusCode::INSUFFICIENT_STORAGE,
            AdminError::InvalidName | AdminError::ExpectedEndpoint | AdminError::ExpectedPermit => {
                StatusCode::BAD_REQUEST
            }
            AdminError::EjectedByFleet(_) => StatusCode::CONFLICT,
        }
    }
}

impl From<OverrideError> for AdminError {
    fn from(error: OverrideError) -> AdminError {
        match error {
            OverrideError::Full => AdminError::TooManyEjected,
            OverrideError::InvalidName => AdminError::InvalidName,
        }
    }
}

impl IntoResponse for AdminError {
    fn into_response(self) -> Response {
        (self.status(), format!("{self}\n")).into_response()
    }
}
