//! Parses the `Req-*` header fields of a request into the request for the dispatcher.

use std::collections::BTreeMap;

use axum::http::{HeaderMap, HeaderName, StatusCode};
use axum::response::{IntoResponse, Response};
use doorproxy::dispatcher::NewRequest;
use doorproxy::ids::{ClassId, KeyHash, TenantId, Ticks};
use doorproxy::rng::hash_text;
use thiserror::Error;

use crate::config::Config;
use crate::http::MAX_STREAMED_BYTES;
use crate::http::body::BodyError;
use crate::upstream::TIMEOUT_HEADER;

pub(super) const CLASS_HEADER: HeaderName = HeaderName::from_static("req-kind");
pub(crate) const ID_HEADER: HeaderName = HeaderName::from_static("req-id");
const TENANT_HEADER: HeaderName = HeaderName::from_static("req-owner");
const KEY_HEADER: HeaderName = HeaderName::from_static("req-key");
const COST_HEADER: HeaderName = HeaderName::from_static("req-cost");

const TICKS_PER_MS: i64 = 10;
const MICROS_PER_SECOND: f64 = 1e6;

/// States why a request is not submitted. All but [`RequestError::OutOfMemory`] are errors of the client, which is
/// not asked to retry. The text
/// is the body of the response and names the field first.
#[derive(Debug, Error, PartialEq, Eq)]
pub(crate) enum RequestError {
    #[error("{0}: missing")]
    Missing(HeaderName),
    #[error("{0}: occurs more than once")]
    Repeated(HeaderName),
    #[error("{0}: not ASCII")]
    NotAscii(HeaderName),
    #[error("{0}: unknown value")]
    Unknown(HeaderName),
    #[error("{header}: not a number of {expected}")]
    Malformed { header: HeaderName, expected: &'static str },
    #[error("request target: must be a path that begins with /; CONNECT is not supported")]
    InvalidTarget,
    #[error("request body: longer than {MAX_STREAMED_BYTES} bytes")]
    BodyTooLarge,
    #[error("request body: incomplete")]
    BodyIncomplete,
    #[error("request: too many large ones at once; it did not run")]
    OutOfMemory,
    #[error("{ID_HEADER}: a request with this id is in flight")]
    DuplicateId,
    #[error("{ID_HEADER}: a request with this id may have run")]
    MayHaveRun,
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
            RequestError::DuplicateId | RequestError::MayHaveRun => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> RequestError {
        match error {
            BodyError::TooLarge => RequestError::BodyTooLarge,
            BodyError::Incomplete => RequestError::BodyIncomplete,
            BodyError::OutOfMemory => RequestError::OutOfMemory,
        }
    }
}

impl IntoResponse for RequestError {
    fn into_response(self) -> Response {
        (self.status(), format!("{self}\n")).into_response()
    }
}

/// Returns the value of a field that may occur at most once. An empty value counts as missing.
pub(crate) fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(RequestError::Repeated(name.clone()));
    }
    let value = value.to_str().map_err(|_| RequestError::NotAscii(name.clone()))?;
    Ok(Some(value).filter(|value| !value.is_empty()))
}

fn required_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a str, RequestError> {
    header_text(headers, name)?.ok_or_else(|| RequestError::Missing(name.clone()))
}

fn lookup(ids: &BTreeMap<String, u16>, value: &str, name: &HeaderName) -> Result<u16, RequestError> {
    ids.get(value).copied().ok_or_else(|| RequestError::Unknown(name.clone()))
}

/// Parses the fields of a request.
pub(super) fn parse_request(config: &Config, headers: &HeaderMap) -> Result<NewRequest, RequestError> {
    // Endpoints identify a request by its id. They would reject a request without one, and the rejection
    // would count as an error of the endpoint.
    required_text(headers, &ID_HEADER)?;
    let class = ClassId(lookup(&config.classes, required_text(headers, &CLASS_HEADER)?, &CLASS_HEADER)?);
    let tenant = parse_tenant(config, headers)?;
    let timeout = parse_timeout(config, headers, class)?;
    let cost_estimate = parse_cost(headers)?;
    let key = header_text(headers, &KEY_HEADER)?.map(|key| KeyHash(hash_text(key)));
    Ok(NewRequest { class, tenant, key, cost_estimate, timeout })
}

fn parse_tenant(config: &Config, headers: &HeaderMap) -> Result<TenantId, RequestError> {
    let name = header_text(headers, &TENANT_HEADER)?;
    if config.tenants.is_empty() {
        return Ok(TenantId(0));
    }
    let name = name.ok_or(RequestError::Missing(TENANT_HEADER))?;
    lookup(&config.tenants, name, &TENANT_HEADER).map(TenantId)
}

/// Parses the timeout, given in milliseconds. It is limited to the longest timeout of any class, and defaults
/// to that of the request's class.
fn parse_timeout(config: &Config, headers: &HeaderMap, class: ClassId) -> Result<Ticks, RequestError> {
    let Some(milliseconds) = header_text(headers, &TIMEOUT_HEADER)? else {
        return Ok(config.settings.class(class).timeout);
    };
    let milliseconds: u32 = milliseconds
        .parse()
        .map_err(|_| RequestError::Malformed { header: TIMEOUT_HEADER, expected: "whole milliseconds" })?;
    Ok(Ticks(i64::from(milliseconds) * TICKS_PER_MS).min(config.settings.max_timeout()))
}

/// Parses the cost estimate, given in microseconds, and returns it in core seconds; `None` if it is missing
/// or zero.
fn parse_cost(headers: &HeaderMap) -> Result<Option<f64>, RequestError> {
    let malformed = || RequestError::Malformed { header: COST_HEADER, expected: "microseconds" };
    let Some(microseconds) = header_text(headers, &COST_HEADER)? else { return Ok(None) };
    let microseconds: f64 = microseconds.parse().map_err(|_| malformed())?;
    if !microseconds.is_finite() || microseconds < 0.0 {
        return Err(malformed());
    }
    Ok((microseconds > 0.0).then_some(microseconds / MICROS_PER_SECOND))
}
