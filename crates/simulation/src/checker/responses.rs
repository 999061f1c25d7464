//! Records what clients send and receive, and checks the rules for responses.

use super::Records;
use super::request::{ClientRequest, FinalResponse, Idempotency, RequestRecord, RequestStatus};
use crate::hard_cases::HardCase;
use crate::kernel::Kernel;
use crate::limits::NETWORK_TOLERANCE;
use crate::request_class::MAX_BUFFERED_BODY_BYTES;
use crate::rule::Rule;
use crate::time::Micros;
use crate::trace::EventKind;

/// The body states its own length within this many bytes from its beginning.
const DECLARED_LENGTH_WITHIN_BYTES: usize = 80;
/// The number of bytes of a wrong response that a violation shows.
const SHOWN_BODY_BYTES: usize = 40;

/// A complete response that a client has received.
pub struct ResponseArrival<'a> {
    /// The request's number.
    pub request_id: u64,
    /// The status code.
    pub status: u16,
    /// The bytes after the head.
    pub body: &'a [u8],
    /// The time at which its first byte was sent.
    pub sent_at: Micros,
}

/// Reads the length that a long body states in its text, which exposes a truncated body as incomplete.
fn declared_length(body: &[u8]) -> Option<usize> {
    let beginning = body.get(..body.len().min(DECLARED_LENGTH_WITHIN_BYTES))?;
    let (before, _) = std::str::from_utf8(beginning).ok()?.split_once(" long ")?;
    let (_, length) = before.rsplit_once(' ')?;
    length.parse().ok()
}

fn is_right_body(request_id: u64, body: &[u8]) -> bool {
    let is_of_request = body.starts_with(format!("{request_id:x} ").as_bytes());
    is_of_request && declared_length(body).is_none_or(|length| length == body.len())
}

/// Returns the rule that a response breaks, and a description whose subject is the request.
fn find_broken_rule(
    record: &RequestRecord,
    response: &ResponseArrival,
    now: Micros,
    is_second: bool,
) -> Option<(Rule, String)> {
    let status = RequestStatus::from_code(response.status);
    // The deadline of a streamed response applies to its first byte.
    let is_streamed = response.body.len() > MAX_BUFFERED_BODY_BYTES;
    let answered_at = if is_streamed { response.sent_at } else { now };
    let is_late = record.deadline.is_some_and(|deadline| answered_at > deadline + NETWORK_TOLERANCE);
    let is_executed = record.attempts.iter().any(|attempt| attempt.executed_at.is_some());
    let may_have_run = record
        .attempts
        .iter()
        .any(|attempt| attempt.declined_at.is_none() && attempt.sent_at <= response.sent_at);
    let may_be_rejected = record.request.idempotency.may_be_rejected_after_execution();
    if is_second {
        return Some((Rule::SecondAnswer, "was answered twice".to_string()));
    }
    if is_late {
        return Some((Rule::LateAnswer, "was answered after its deadline".to_string()));
    }
    match status {
        RequestStatus::Succeeded if !is_executed || !is_right_body(response.request_id, response.body) => {
            let shown = &response.body[..response.body.len().min(SHOWN_BODY_BYTES)];
            Some((Rule::WrongAnswer, format!("was answered {:?}", String::from_utf8_lossy(shown))))
        }
        RequestStatus::Rejected if may_have_run && !may_be_rejected => {
            Some((Rule::RejectedAfterExecution, "was rejected though it may have run".to_string()))
        }
        RequestStatus::Refused => Some((Rule::Refused, format!("was answered {}", response.status))),
        _ => None,
    }
}

impl Records {
    /// Records a request that a client is about to send.
    pub fn record_request(&mut self, request_id: u64, request: ClientRequest) {
        self.requests.insert(request_id, RequestRecord::new(request));
    }

    /// Records that a client wrote the last byte of a request, and the deadline that follows from it.
    pub fn record_sent(&mut self, request_id: u64, deadline: Micros) {
        if let Some(record) = self.requests.get_mut(&request_id) {
            record.deadline = Some(deadline);
        }
    }

    /// Records that the client abandoned the request.
    pub fn record_client_gone(&mut self, now: Micros, request_id: u64) {
        if let Some(record) = self.requests.get_mut(&request_id) {
            record.client_gone_at.get_or_insert(now);
        }
    }

    /// Records that a client received the beginning of a response and then the end of the connection. To the
    /// client the request has failed.
    pub fn record_truncated_response(&mut self, kernel: &mut Kernel, request_id: u64, sent_at: Micros) {
        let line = format_args!("request {request_id:x} got an incomplete response");
        kernel.record_event(EventKind::ResponseTruncated, &[request_id], line);
        if let Some(record) = self.requests.get_mut(&request_id) {
            let response = FinalResponse { status: RequestStatus::Failed, sent_at };
            record.final_response.get_or_insert(response);
        }
        self.outcomes.increment("incomplete long response");
    }

    /// Records that an endpoint responded, whether or not the client still waits.
    pub fn record_server_response(&mut self, request_id: u64, now: Micros) {
        let Some(record) = self.requests.get(&request_id) else { return };
        let is_past_deadline = record.deadline.is_some_and(|deadline| now > deadline);
        if record.request.idempotency == Idempotency::NonIdempotent && is_past_deadline {
            self.record_hard_case(HardCase::AnswerAfterTimeout);
        }
    }

    /// Records and checks a complete response that a client received.
    pub fn record_response(&mut self, kernel: &mut Kernel, response: &ResponseArrival) {
        let ResponseArrival { request_id, status, sent_at, .. } = *response;
        let numbers = [request_id, u64::from(status)];
        let line = format_args!("request {request_id:x} answered {status}");
        kernel.record_event(EventKind::RequestAnswered, &numbers, line);
        let Some(record) = self.requests.get_mut(&request_id) else { return };
        let is_second = record.final_response.is_some();
        let first = FinalResponse { status: RequestStatus::from_code(status), sent_at };
        record.final_response.get_or_insert(first);
        let broken = find_broken_rule(record, response, kernel.now, is_second);
        self.outcomes.increment(RequestStatus::from_code(status).name());
        if let Some((rule, text)) = broken {
            self.report_violation(kernel, rule, &numbers, format!("request {request_id:x} {text}"));
        }
    }
}
