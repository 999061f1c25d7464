//! Rule 2, and of rule 1 that nothing is sent for a request after its end: what endpoints got of each request, and what they did.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::Micros;
use doorproxy_test_servers::events::{DEDUP_WINDOW, Event, RequestClass};

use super::{Checker, FaultTimeline, Findings};
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

#[derive(Default)]
pub struct AttemptChecker {
    requests: BTreeMap<u64, RequestRecord>,
}

impl AttemptChecker {
    fn on_attempt(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings) {
        let Event::AttemptReceived { op: id, server, start, node, first_byte, right } = event else { return };
        let Some(op) = self.requests.get_mut(id) else {
            found.report(
                "unknown-op",
                at,
                format!("{server} got op {id:x} from {node}, which no client sent"),
            );
            return;
        };
        let mut broken = |rule, text: &str| {
            found.report(rule, at, format!("op {id:x} ({:?}) from {node} {text} {server}", op.class))
        };
        if !*right {
            broken("altered-op", "is not what its client sent, at");
        }
        if *node != op.node {
            broken("unknown-op", &format!("was sent to {} and came to", op.node));
        }
        let slack = world.slack();
        // How soon a balancer hears of an end depends on the way; one that stands still does nothing.
        let was_cut = world.had_client_path_fault(node, op.asked_at, *first_byte);
        if let Some(ended) = op.ended_at.filter(|ended| *first_byte > ended + slack && !was_cut) {
            broken(
                "push-after-answer",
                &format!("went, {} ms after its end, to", (first_byte - ended) / 1000),
            );
        }
        let ends = op.sent_at.map(|sent| sent + op.timeout);
        if ends.is_some_and(|ends| *first_byte > ends + slack) && !was_cut {
            broken("push-after-ttl", "went, after its time, to");
        }
        if op.attempts.len() >= MAX_ATTEMPTS {
            broken("too-many-pushes", "went once more than it may, to");
        }
        for other in &op.attempts {
            // Proved before this one was written, so that its balancer could know.
            let is_proved = other.declined_at.is_some_and(|declined| declined <= *first_byte);
            let (first, second) =
                (other.first_byte_at.min(*first_byte), other.first_byte_at.max(*first_byte));
            let is_allowed = match op.class {
                RequestClass::Idempotent => true,
                RequestClass::Deduplicated => second - first <= DEDUP_WINDOW + slack,
                RequestClass::NonIdempotent => false,
            };
            if !is_proved && !is_allowed {
                broken("repeated", &format!("may have run at {} and went to", other.server));
            }
        }
        let (server, start, first_byte) = (server.clone(), *start, *first_byte);
        op.attempts.push(Attempt { server, start, first_byte_at: first_byte, declined_at: None });
    }
}

impl Checker for AttemptChecker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings) {
        match event {
            Event::RequestStarted { op, node, kind, ttl, .. } => {
                let (node, kind, ttl) = (node.clone(), *kind, *ttl);
                let (ended, status, sent) = (None, None, None);
                let op_of = RequestRecord {
                    node,
                    class: kind,
                    timeout: ttl,
                    asked_at: at,
                    sent_at: sent,
                    ended_at: ended,
                    status,
                    run_count: 0,
                    attempts: Vec::new(),
                };
                self.requests.insert(*op, op_of);
            }
            Event::RequestWritten { op } => drop(self.requests.get_mut(op).map(|op| op.sent_at = Some(at))),
            Event::ResponseReceived { op, status, .. } => {
                if let Some(op) = self.requests.get_mut(op) {
                    op.ended_at.get_or_insert(at);
                    op.status = Some(*status);
                }
            }
            Event::ConnectionLost { op } | Event::ClientAbandoned { op } | Event::ResponseMissing { op } => {
                if let Some(op) = self.requests.get_mut(op) {
                    op.ended_at.get_or_insert(at);
                }
            }
            Event::AttemptReceived { .. } => self.on_attempt(at, event, world, found),
            Event::Declined { op, server, start } => {
                let op = self.requests.get_mut(op);
                let pushes = op.into_iter().flat_map(|op| op.attempts.iter_mut().rev());
                let mut undeclined = pushes.filter(|push| push.declined_at.is_none());
                if let Some(push) = undeclined.find(|push| push.server == *server && push.start == *start) {
                    push.declined_at = Some(at);
                }
            }
            Event::EffectApplied { op: id, server, .. } => {
                let Some(op) = self.requests.get_mut(id) else { return };
                op.run_count += 1;
                // A deduplicated attempt that a way held back may run again past the window: what counts is when it was sent.
                if op.run_count > 1 && op.class == RequestClass::NonIdempotent {
                    found.report(
                        "effect-twice",
                        at,
                        format!("op {id:x} ({:?}) ran again, at {server}", op.class),
                    );
                }
            }
            _ => {}
        }
    }

    fn on_end(&mut self, _: &FaultTimeline, found: &mut Findings) {
        for (id, op) in &self.requests {
            // An attempt may come long after the rejection that must not have been; only the end of the history tells.
            let may_have_run = op.attempts.iter().any(|push| push.declined_at.is_none());
            if op.class == RequestClass::NonIdempotent && matches!(op.status, Some(429 | 503)) && may_have_run
            {
                let at = op.ended_at.unwrap_or(op.asked_at);
                found.report(
                    "nack-after-run",
                    at,
                    format!("op {id:x} was nacked by {} though it may have run", op.node),
                );
            }
        }
    }
}
