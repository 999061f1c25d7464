//! Checks that every request that a balancer accepts gets exactly one response, in time, and that a
//! successful response was made for this request by an endpoint that received it.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::Event;

use super::{Checker, FaultTimeline, Violations};

/// A response that is this late after the deadline is a violation on any schedule.
const MAX_RESPONSE_DELAY: Micros = 5 * SECOND;

struct PendingRequest {
    node: String,
    asked_at: Micros,
    timeout: Micros,
    sent_at: Option<Micros>,
    /// The endpoints that received a complete attempt, as `NAME#START`, which is how response bodies name
    /// them.
    received_by: BTreeSet<String>,
}

/// Checks the responses that clients received.
#[derive(Default)]
pub struct ResponseChecker {
    requests: BTreeMap<u64, PendingRequest>,
}

impl ResponseChecker {
    /// Removes a request that ended, and returns it unless a fault of its balancer or of the path between
    /// them excuses it.
    fn take_unexcused(&mut self, op: u64, at: Micros, timeline: &FaultTimeline) -> Option<PendingRequest> {
        let request = self.requests.remove(&op)?;
        let is_excused = timeline.had_process_outage(&request.node, request.asked_at, at)
            || timeline.had_client_path_fault(&request.node, request.asked_at, at);
        (!is_excused).then_some(request)
    }
}

impl Checker for ResponseChecker {
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, violations: &mut Violations) {
        match event {
            Event::RequestStarted { op, node, ttl, .. } if !node.is_empty() => {
                let request = PendingRequest {
                    node: node.clone(),
                    asked_at: at,
                    timeout: *ttl,
                    sent_at: None,
                    received_by: BTreeSet::new(),
                };
                self.requests.insert(*op, request);
            }
            Event::RequestWritten { op } => {
                if let Some(request) = self.requests.get_mut(op) {
                    request.sent_at = Some(at);
                }
            }
            Event::AttemptReceived { op, server, start, .. } => {
                if let Some(request) = self.requests.get_mut(op) {
                    request.received_by.insert(format!("{server}#{start}"));
                }
            }
            Event::ResponseReceived { op: id, status, by } => {
                let has_source =
                    |request: &PendingRequest| by.as_ref().is_some_and(|by| request.received_by.contains(by));
                // No fault excuses this: none that the test cluster injects makes up a response.
                let request = self.requests.get(id);
                if let Some(request) = request.filter(|request| *status == 200 && !has_source(request)) {
                    let text = format!(
                        "the response to request {id:x} at {} names {by:?}, which received no attempt of it",
                        request.node
                    );
                    violations.report("wrong-answer", at, text);
                }
                let Some(request) = self.take_unexcused(*id, at, timeline) else { return };
                let deadline = request.sent_at.unwrap_or(request.asked_at) + request.timeout;
                if at > deadline + MAX_RESPONSE_DELAY {
                    let late = (at - deadline) / 1000;
                    let text = format!(
                        "request {id:x} at {} was answered {late} ms after its deadline",
                        request.node
                    );
                    violations.report("late-answer", at, text);
                }
                if matches!(status, 400..=499) && *status != 429 {
                    let text = format!("request {id:x} at {} was answered with {status}", request.node);
                    violations.report("turned-away", at, text);
                }
            }
            Event::ConnectionLost { op: id } => {
                let Some(request) = self.take_unexcused(*id, at, timeline) else { return };
                // Without an attempt this is no violation: a balancer may close an idle connection just when
                // a request is written to it.
                if !request.received_by.is_empty() {
                    let text = format!(
                        "request {id:x} at {} reached {:?} and got no response",
                        request.node, request.received_by
                    );
                    violations.report("unanswered", at, text);
                }
            }
            Event::ResponseMissing { op: id } => {
                if let Some(request) = self.take_unexcused(*id, at, timeline) {
                    let text = format!("request {id:x} at {} got no response", request.node);
                    violations.report("unanswered", at, text);
                }
            }
            Event::ClientAbandoned { op } => drop(self.requests.remove(op)),
            Event::ExtraBytes { op } => {
                violations.report("second-answer", at, format!("request {op:x} got more than one response"));
            }
            _ => {}
        }
    }
}
