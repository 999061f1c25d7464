//! Decodes incoming records into events for a balancer.

use doorproxy::effects::{AttemptOutcome, EndpointStatus, EndpointUpdate, FinishedAttempt, IncomingRequest};
use doorproxy::ids::{
    AttemptNumber, CellId, ClassId, EndpointId, EndpointKindId, KeyHash, RequestId, TenantId, Ticks,
    Timestamp, ZoneId,
};

use crate::error::WireError;
use crate::wire::{BatchReader, COST_ESTIMATE_VALID};

/// A load probe that has finished.
pub struct FinishedLoadProbe {
    /// The endpoint that was probed.
    pub endpoint: EndpointId,
    /// The outcome of the call.
    pub outcome: AttemptOutcome,
    /// The reported values as received, which may be negative, infinite or NaN.
    pub report: Vec<f64>,
}

/// Decodes a request that has arrived.
pub fn decode_request(reader: &mut BatchReader) -> Result<IncomingRequest, WireError> {
    let request = RequestId(reader.u32("a request")?);
    let key = reader.u64("a key")?;
    let tenant = TenantId(reader.u16("a tenant")?);
    let class = ClassId(reader.u16("a request class")?);
    let timeout = Ticks::from_secs_f64(reader.f64("timeout")?);
    let flags = reader.u8("flags")?;
    let cost_estimate = reader.f64("cost estimate")?;
    let has_cost_estimate = flags & COST_ESTIMATE_VALID != 0 && cost_estimate > 0.0;
    Ok(IncomingRequest {
        request,
        key: (key != 0).then_some(KeyHash(key)),
        tenant,
        class,
        timeout,
        cost_estimate: has_cost_estimate.then_some(cost_estimate),
    })
}

/// Decodes an attempt that has finished.
pub fn decode_finished_attempt(reader: &mut BatchReader) -> Result<FinishedAttempt, WireError> {
    let request = RequestId(reader.u32("a request")?);
    let attempt = AttemptNumber(reader.u16("the number of an attempt")?);
    let request_finished = reader.u8("a flag")? != 0;
    let outcome = decode_outcome(reader)?;
    let duration = Ticks::from_secs_f64(reader.f64("duration")?);
    let endpoint = EndpointId(reader.u32("an endpoint")?);
    decode_load_report(reader)?;
    Ok(FinishedAttempt { request, attempt, endpoint, request_finished, outcome, duration })
}

/// Decodes a load probe that has finished.
pub fn decode_load_probe(reader: &mut BatchReader) -> Result<FinishedLoadProbe, WireError> {
    let endpoint = EndpointId(reader.u32("an endpoint")?);
    let outcome = decode_outcome(reader)?;
    reader.f64("duration")?;
    let report = decode_load_report(reader)?;
    Ok(FinishedLoadProbe { endpoint, outcome, report })
}

/// Decodes one entry of an endpoint list.
pub fn decode_endpoint_update(reader: &mut BatchReader) -> Result<EndpointUpdate, WireError> {
    let kind = EndpointKindId(reader.u16("an endpoint kind")?);
    let endpoint = EndpointId(reader.u32("an endpoint")?);
    let weight = reader.f32("weight")?;
    let status = decode_endpoint_status(reader)?;
    let zone = ZoneId(reader.u16("a zone")?);
    let started_at_seconds = reader.f64("start time")?;
    let cell = CellId(reader.u16("a cell")?);
    let started_at = (started_at_seconds != 0.0).then(|| Timestamp::from_secs_f64(started_at_seconds));
    Ok(EndpointUpdate { endpoint, kind, zone, cell, weight, status, started_at })
}

fn decode_endpoint_status(reader: &mut BatchReader) -> Result<EndpointStatus, WireError> {
    match reader.u8("an endpoint status")? {
        0 => Ok(EndpointStatus::Removed),
        1 => Ok(EndpointStatus::Draining),
        3 => Ok(EndpointStatus::Ready),
        other => Err(reader.invalid("a known endpoint status", other)),
    }
}

fn decode_outcome(reader: &mut BatchReader) -> Result<AttemptOutcome, WireError> {
    match reader.u16("an outcome")? {
        1 => Ok(AttemptOutcome::Succeeded),
        2 => Ok(AttemptOutcome::ErrorResponse),
        3 => Ok(AttemptOutcome::Overloaded),
        4 => Ok(AttemptOutcome::TimedOut),
        5 => Ok(AttemptOutcome::ConnectFailed),
        6 => Ok(AttemptOutcome::ConnectionReset),
        7 => Ok(AttemptOutcome::Cancelled),
        8 => Ok(AttemptOutcome::NotSent),
        other => Err(reader.invalid("a known outcome", other)),
    }
}

fn decode_load_report(reader: &mut BatchReader) -> Result<Vec<f64>, WireError> {
    let values = reader.u8("the length of a load report")?;
    // The balancer checks for values that are not finite: an invalid report must not stop the adapter.
    (0..values).map(|_| reader.f32_unchecked("a value of a load report")).collect()
}
