//! Checks attempts when an endpoint has received them and when it executes them.

use super::Records;
use super::request::{Attempt, Idempotency, RequestRecord, RequestStatus};
use crate::kernel::Kernel;
use crate::limits::{DRAIN_GRACE, MAX_ATTEMPTS, MAX_DECISION_TO_WRITE, NETWORK_TOLERANCE};
use crate::request_class::MAX_BUFFERED_BODY_BYTES;
use crate::rule::Rule;
use crate::time::Micros;
use crate::trace::EventKind;

/// An attempt that an endpoint has received completely.
pub struct AttemptArrival<'a> {
    /// The request's number.
    pub request_id: u64,
    /// The request line.
    pub start_line: &'a str,
    /// The bytes after the head.
    pub body: &'a [u8],
    /// The index of the endpoint's start.
    pub start: usize,
    /// The index of the endpoint.
    pub server: usize,
    /// The deduplication scope that the endpoint belongs to.
    pub dedup_group: u32,
    /// The index of the balancer that sent it.
    pub balancer: usize,
    /// The time at which its first byte was sent. The rules apply to this time.
    pub sent_at: Micros,
}

impl AttemptArrival<'_> {
    fn numbers(&self) -> [u64; 5] {
        [self.request_id, self.start as u64, self.server as u64, self.balancer as u64, self.sent_at]
    }
}

/// The facts that an endpoint needs about an attempt that it has received.
pub struct ReceivedAttempt {
    /// The attempt's index among the attempts of its request, from 0.
    pub attempt_index: usize,
    /// Whether an endpoint received an earlier attempt of the request.
    pub is_retry: bool,
    /// Whether the request may be executed at most once.
    pub is_non_idempotent: bool,
    /// The work in seconds on a core of normal speed.
    pub work: f64,
}

/// The input of the rules for attempts.
struct AttemptContext<'a> {
    arrival: &'a AttemptArrival<'a>,
    request: &'a RequestRecord,
    server_name: &'a str,
    /// The time at which the balancer was told that the endpoint drains or is removed.
    draining_since: Option<Micros>,
    /// The time at which the balancer confirmed the manual ejection of the endpoint.
    ejected_since: Option<Micros>,
}

/// Returns a description of the violation if the rule is broken.
type AttemptRule = fn(&AttemptContext) -> Option<String>;

/// The rules for attempts. If an attempt breaks several, the last of them in this order is reported.
const ATTEMPT_RULES: [(Rule, AttemptRule); 9] = [
    (Rule::AttemptAfterAnswer, attempt_after_answer),
    (Rule::AttemptAfterDisconnect, attempt_after_disconnect),
    (Rule::AttemptAfterDeadline, attempt_after_deadline),
    (Rule::TooManyAttempts, too_many_attempts),
    (Rule::Repeated, repeated),
    (Rule::RejectedAfterExecution, attempt_of_rejected_request),
    (Rule::AttemptAfterDrain, attempt_at_draining_server),
    (Rule::ManuallyEjected, attempt_at_ejected_server),
    (Rule::StreamedTwice, streamed_twice),
];

fn attempt_after_answer(context: &AttemptContext) -> Option<String> {
    let answered_at = context.request.final_response?.sent_at;
    let AttemptArrival { request_id, sent_at, .. } = *context.arrival;
    let is_broken = sent_at > answered_at + MAX_DECISION_TO_WRITE;
    is_broken.then(|| {
        let delay = sent_at - answered_at;
        format!("request {request_id:x} went to {} {delay} us after its response", context.server_name)
    })
}

fn attempt_after_disconnect(context: &AttemptContext) -> Option<String> {
    let gone_at = context.request.client_gone_at?;
    let AttemptArrival { request_id, sent_at, .. } = *context.arrival;
    // A balancer notices a closed connection only after it has read the whole request. It streams a longer
    // body and may not have read it to the end.
    let is_broken =
        sent_at > gone_at + 2 * NETWORK_TOLERANCE && context.arrival.body.len() <= MAX_BUFFERED_BODY_BYTES;
    is_broken.then(|| {
        let delay = sent_at - gone_at;
        format!("request {request_id:x} went to {} {delay} us after its client left", context.server_name)
    })
}

fn attempt_after_deadline(context: &AttemptContext) -> Option<String> {
    let AttemptArrival { request_id, sent_at, .. } = *context.arrival;
    let is_broken = context.request.deadline.is_some_and(|deadline| sent_at > deadline + NETWORK_TOLERANCE);
    is_broken.then(|| format!("request {request_id:x} went to {} after its deadline", context.server_name))
}

fn too_many_attempts(context: &AttemptContext) -> Option<String> {
    let request_id = context.arrival.request_id;
    let is_broken = context.request.attempts.len() >= MAX_ATTEMPTS;
    is_broken.then(|| format!("request {request_id:x} had more than {MAX_ATTEMPTS} attempts"))
}

fn repeated(context: &AttemptContext) -> Option<String> {
    let request_id = context.arrival.request_id;
    let idempotency = context.request.request.idempotency;
    let is_broken = context.request.attempts.iter().any(|other| !may_coexist(context, other));
    is_broken.then(|| {
        let server = context.server_name;
        format!("request {request_id:x} ({idempotency}) went to {server} though it may have run elsewhere")
    })
}

/// Returns whether the rules allow the attempt in addition to another, which may have been sent before or
/// after it.
fn may_coexist(context: &AttemptContext, other: &Attempt) -> bool {
    let sent_at = context.arrival.sent_at;
    let is_proved_unexecuted = other.declined_at.is_some_and(|at| other.sent_at <= sent_at && at <= sent_at);
    let may_repeat = match context.request.request.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::Deduplicated { window, .. } => {
            other.dedup_group == context.arrival.dedup_group
                && sent_at.abs_diff(other.sent_at) <= window + NETWORK_TOLERANCE
        }
    };
    is_proved_unexecuted || may_repeat
}

fn attempt_of_rejected_request(context: &AttemptContext) -> Option<String> {
    let AttemptArrival { request_id, sent_at, .. } = *context.arrival;
    let response = context.request.final_response?;
    let is_broken = response.status == RequestStatus::Rejected
        && sent_at <= response.sent_at
        && !context.request.request.idempotency.may_be_rejected_after_execution();
    is_broken
        .then(|| format!("request {request_id:x} was rejected after it was sent to {}", context.server_name))
}

fn attempt_at_draining_server(context: &AttemptContext) -> Option<String> {
    let AttemptArrival { request_id, balancer, sent_at, .. } = *context.arrival;
    let since = context.draining_since?;
    let is_broken = sent_at > since + DRAIN_GRACE + NETWORK_TOLERANCE;
    is_broken.then(|| {
        let server = context.server_name;
        format!("request {request_id:x} went to {server}, which b{balancer} knew to be draining")
    })
}

fn attempt_at_ejected_server(context: &AttemptContext) -> Option<String> {
    let AttemptArrival { request_id, balancer, sent_at, .. } = *context.arrival;
    let since = context.ejected_since?;
    let is_broken = sent_at > since + DRAIN_GRACE + NETWORK_TOLERANCE;
    is_broken.then(|| {
        let server = context.server_name;
        format!("request {request_id:x} went to {server}, which is ejected manually at b{balancer}")
    })
}

/// Reports a second complete attempt with a streamed body, which a balancer can send only once.
fn streamed_twice(context: &AttemptContext) -> Option<String> {
    let AttemptArrival { request_id, body, .. } = *context.arrival;
    let is_broken = body.len() > MAX_BUFFERED_BODY_BYTES && !context.request.attempts.is_empty();
    is_broken.then(|| {
        format!("request {request_id:x} with a streamed body was also sent to {}", context.server_name)
    })
}

impl Records {
    /// Records and checks an attempt that an endpoint has received completely. Returns `None` if no client
    /// sent the request or if its bytes differ from those that the client sent.
    pub fn record_attempt(
        &mut self,
        kernel: &mut Kernel,
        arrival: &AttemptArrival,
    ) -> Option<ReceivedAttempt> {
        let numbers = arrival.numbers();
        let AttemptArrival { request_id, balancer, sent_at, start, .. } = *arrival;
        let server_name = self.server_starts[start].name.clone();
        let line =
            format_args!("{server_name} received request {request_id:x} sent by b{balancer} at {sent_at}");
        kernel.record_event(EventKind::RequestReceived, &numbers, line);
        if let Some((rule, text)) = self.check_integrity(arrival, &server_name) {
            self.report_violation(kernel, rule, &numbers, text);
            return None;
        }
        if let Some((rule, text)) = self.find_broken_rule(arrival, &server_name) {
            self.report_violation(kernel, rule, &numbers, text);
        }
        let record = self.requests.get(&request_id)?;
        let work = record.request.work;
        let is_non_idempotent = record.request.idempotency == Idempotency::NonIdempotent;
        let is_retry = !record.attempts.is_empty();
        self.check_slow_start(kernel, start, balancer, work, sent_at);
        if is_retry {
            self.last_retry_at = Some(sent_at);
            self.detect_drain_at_retry();
        }
        let record = self.requests.get_mut(&request_id)?;
        let attempt_index = record.attempts.len();
        record.attempts.push(Attempt {
            server: arrival.server,
            dedup_group: arrival.dedup_group,
            sent_at,
            declined_at: None,
            executed_at: None,
        });
        Some(ReceivedAttempt { attempt_index, is_retry, is_non_idempotent, work })
    }

    fn check_integrity(&self, arrival: &AttemptArrival, server_name: &str) -> Option<(Rule, String)> {
        let AttemptArrival { request_id, start_line, body, .. } = *arrival;
        let Some(record) = self.requests.get(&request_id) else {
            let text = format!("{server_name} received request {request_id:x}, which no client sent");
            return Some((Rule::UnknownRequest, text));
        };
        let is_altered = record.request.start_line != start_line || record.request.body != body;
        is_altered.then(|| {
            let text =
                format!("{server_name} received request {request_id:x} with changed bytes: {start_line}");
            (Rule::AlteredRequest, text)
        })
    }

    fn find_broken_rule(&self, arrival: &AttemptArrival, server_name: &str) -> Option<(Rule, String)> {
        let key = (arrival.balancer, server_name.to_string());
        let context = AttemptContext {
            arrival,
            request: self.requests.get(&arrival.request_id)?,
            server_name,
            draining_since: self.drain_notices.get(&key).copied(),
            ejected_since: self.manual_ejections.get(&key).copied(),
        };
        ATTEMPT_RULES.iter().rev().find_map(|(rule, check)| Some((*rule, check(&context)?)))
    }

    /// Records that an endpoint declined an attempt, which proves that it does not execute it.
    pub fn record_declined(&mut self, now: Micros, request_id: u64, attempt_index: usize) {
        let record = self.requests.get_mut(&request_id);
        if let Some(attempt) = record.and_then(|record| record.attempts.get_mut(attempt_index)) {
            attempt.declined_at = Some(now);
        }
    }

    /// Records that an endpoint executes an attempt.
    pub fn record_executed(&mut self, kernel: &mut Kernel, request_id: u64, attempt_index: usize) {
        let attempts = self.requests.get(&request_id).map(|record| &record.attempts);
        let server = attempts.and_then(|attempts| attempts.get(attempt_index)).map(|attempt| attempt.server);
        let numbers = [request_id, attempt_index as u64, server.map_or(u64::MAX, |server| server as u64)];
        let line = format_args!("request {request_id:x} is executed, attempt {attempt_index}");
        kernel.record_event(EventKind::RequestExecuted, &numbers, line);
        let Some(record) = self.requests.get_mut(&request_id) else { return };
        if let Some(attempt) = record.attempts.get_mut(attempt_index) {
            attempt.executed_at = Some(kernel.now);
        }
        let executed: Vec<&Attempt> =
            record.attempts.iter().filter(|attempt| attempt.executed_at.is_some()).collect();
        let is_executed_twice = match record.request.idempotency {
            Idempotency::Idempotent => false,
            Idempotency::NonIdempotent => executed.len() > 1,
            Idempotency::Deduplicated { .. } => {
                executed.iter().any(|other| other.dedup_group != executed[0].dedup_group)
            }
        };
        if is_executed_twice {
            let servers: Vec<usize> = executed.iter().map(|attempt| attempt.server).collect();
            let mut numbers = vec![request_id];
            numbers.extend(servers.iter().map(|server| *server as u64));
            let text = format!("request {request_id:x} was executed by servers {servers:?}");
            self.report_violation(kernel, Rule::ExecutedTwice, &numbers, text);
        }
    }
}
