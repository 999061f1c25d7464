//! Checks the attempts of each request: endpoints receive it unaltered, in time, not too often, and repeated
//! only as its class allows.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::Micros;
use doorproxy_test_servers::events::{DEDUP_WINDOW, Event, RequestClass};

use super::{Checker, FaultTimeline, Violations};
use crate::cluster::MAX_ATTEMPTS;

struct Attempt {
    server: String,
    start: u32,
    first_byte_at: Micros,
    declined_at: Option<Micros>,
}

struct RequestRecord {
    node: String,
    class: RequestClass,
    timeout: Micros,
    asked_at: Micros,
    sent_at: Option<Micros>,
    ended_at: Option<Micros>,
    status: Option<u16>,
    run_count: u32,
    attempts: Vec<Attempt>,
}

/// Checks the attempts that endpoints received against the requests that clients sent.
#[derive(Default)]
pub struct AttemptChecker {
    requests: BTreeMap<u64, RequestRecord>,
}

impl AttemptChecker {
    fn on_attempt(
        &mut self,
        at: Micros,
        event: &Event,
        timeline: &FaultTimeline,
        violations: &mut Violations,
    ) {
        let Event::AttemptReceived { op: id, server, start, node, first_byte, right } = event else { return };
        let Some(request) = self.requests.get_mut(id) else {
            let text = format!("{server} received request {id:x} from {node}, but no client sent it");
            violations.report("unknown-op", at, text);
            return;
        };
        let mut report = |rule, text: &str| {
            violations.report(rule, at, format!("request {id:x} ({:?}) at {node}: {text}", request.class))
        };
        if !*right {
            report("altered-op", &format!("the attempt at {server} differs from the client's request"));
        }
        if *node != request.node {
            let text =
                format!("the client sent it to {}, but {server} received it from {node}", request.node);
            report("unknown-op", &text);
        }
        let slack = timeline.slack();
        // A faulty path from the client may delay the balancer's knowledge of the request's end.
        let client_path_was_faulty = timeline.had_client_path_fault(node, request.asked_at, *first_byte);
        let ended_at = request.ended_at.filter(|_| !client_path_was_faulty);
        if let Some(ended_at) = ended_at.filter(|ended_at| *first_byte > ended_at + slack) {
            let late = (first_byte - ended_at) / 1000;
            report("push-after-answer", &format!("an attempt went to {server} {late} ms after its end"));
        }
        let deadline = request.sent_at.map(|sent_at| sent_at + request.timeout);
        if deadline.is_some_and(|deadline| *first_byte > deadline + slack) && !client_path_was_faulty {
            report("push-after-ttl", &format!("an attempt went to {server} after its deadline"));
        }
        if request.attempts.len() >= MAX_ATTEMPTS {
            let text = format!(
                "attempt {} went to {server}, {MAX_ATTEMPTS} are allowed",
                request.attempts.len() + 1
            );
            report("too-many-pushes", &text);
        }
        for other in &request.attempts {
            // Only a decline before this attempt began can have been known to the balancer.
            let is_declined = other.declined_at.is_some_and(|declined_at| declined_at <= *first_byte);
            let (first, second) =
                (other.first_byte_at.min(*first_byte), other.first_byte_at.max(*first_byte));
            let is_allowed = match request.class {
                RequestClass::Idempotent => true,
                RequestClass::Deduplicated => second - first <= DEDUP_WINDOW + slack,
                RequestClass::NonIdempotent => false,
            };
            if !is_declined && !is_allowed {
                let text =
                    format!("it was repeated at {server} although it may have run at {}", other.server);
                report("repeated", &text);
            }
        }
        let (server, start, first_byte) = (server.clone(), *start, *first_byte);
        request.attempts.push(Attempt { server, start, first_byte_at: first_byte, declined_at: None });
    }
}

impl Checker for AttemptChecker {
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, violations: &mut Violations) {
        match event {
            Event::RequestStarted { op, node, kind, ttl, .. } => {
                let request = RequestRecord {
                    node: node.clone(),
                    class: *kind,
                    timeout: *ttl,
                    asked_at: at,
                    sent_at: None,
                    ended_at: None,
                    status: None,
                    run_count: 0,
                    attempts: Vec::new(),
                };
                self.requests.insert(*op, request);
            }
            Event::RequestWritten { op } => {
                if let Some(request) = self.requests.get_mut(op) {
                    request.sent_at = Some(at);
                }
            }
            Event::ResponseReceived { op, status, .. } => {
                if let Some(request) = self.requests.get_mut(op) {
                    request.ended_at.get_or_insert(at);
                    request.status = Some(*status);
                }
            }
            Event::ConnectionLost { op } | Event::ClientAbandoned { op } | Event::ResponseMissing { op } => {
                if let Some(request) = self.requests.get_mut(op) {
                    request.ended_at.get_or_insert(at);
                }
            }
            Event::AttemptReceived { .. } => self.on_attempt(at, event, timeline, violations),
            Event::Declined { op, server, start } => {
                let request = self.requests.get_mut(op);
                let attempts = request.into_iter().flat_map(|request| request.attempts.iter_mut().rev());
                let mut undeclined = attempts.filter(|attempt| attempt.declined_at.is_none());
                if let Some(attempt) =
                    undeclined.find(|attempt| attempt.server == *server && attempt.start == *start)
                {
                    attempt.declined_at = Some(at);
                }
            }
            Event::EffectApplied { op: id, server, .. } => {
                let Some(request) = self.requests.get_mut(id) else { return };
                request.run_count += 1;
                // A deduplicated attempt that a faulty path delayed may run again after the window without a
                // fault of the balancer: its rule is checked by the times at which attempts were sent.
                if request.run_count > 1 && request.class == RequestClass::NonIdempotent {
                    let text = format!("request {id:x} ({:?}) ran a second time, at {server}", request.class);
                    violations.report("effect-twice", at, text);
                }
            }
            _ => {}
        }
    }

    fn on_end(&mut self, _: &FaultTimeline, violations: &mut Violations) {
        for (id, request) in &self.requests {
            // An attempt may arrive long after the rejection, so this is decided at the end of the history.
            let may_have_run = request.attempts.iter().any(|attempt| attempt.declined_at.is_none());
            let was_rejected = matches!(request.status, Some(429 | 503));
            if request.class == RequestClass::NonIdempotent && was_rejected && may_have_run {
                let at = request.ended_at.unwrap_or(request.asked_at);
                let text =
                    format!("request {id:x} was rejected by {} although it may have run", request.node);
                violations.report("nack-after-run", at, text);
            }
        }
    }
}
