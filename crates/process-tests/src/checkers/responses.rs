//! Rule 1: every request taken gets exactly one final answer in its time, one that an endpoint made for it.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::Event;

use super::{Checker, FaultTimeline, Findings};

/// Later than this after its time, an answer is late on any schedule.
const MAX_RESPONSE_DELAY: Micros = 5 * SECOND;

struct PendingRequest {
    node: String,
    asked_at: Micros,
    timeout: Micros,
    sent_at: Option<Micros>,
    /// Endpoints that got it whole, as an answer names them.
    received_by: BTreeSet<String>,
}

#[derive(Default)]
pub struct ResponseChecker {
    requests: BTreeMap<u64, PendingRequest>,
}

impl ResponseChecker {
    /// The request is over for its client, and was one of a balancer that nothing happened to.
    fn take_unexcused(&mut self, op: u64, at: Micros, world: &FaultTimeline) -> Option<PendingRequest> {
        let op = self.requests.remove(&op)?;
        let is_excused = world.had_process_outage(&op.node, op.asked_at, at)
            || world.had_client_path_fault(&op.node, op.asked_at, at);
        (!is_excused).then_some(op)
    }
}

impl Checker for ResponseChecker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings) {
        match event {
            Event::RequestStarted { op, node, ttl, .. } if !node.is_empty() => {
                let (node, ttl) = (node.clone(), *ttl);
                self.requests.insert(
                    *op,
                    PendingRequest {
                        node,
                        asked_at: at,
                        timeout: ttl,
                        sent_at: None,
                        received_by: BTreeSet::new(),
                    },
                );
            }
            Event::RequestWritten { op } => drop(self.requests.get_mut(op).map(|op| op.sent_at = Some(at))),
            Event::AttemptReceived { op, server, start, .. } => {
                if let Some(op) = self.requests.get_mut(op) {
                    op.received_by.insert(format!("{server}#{start}"));
                }
            }
            Event::ResponseReceived { op: id, status, by } => {
                let is_made = |op: &PendingRequest| by.as_ref().is_some_and(|by| op.received_by.contains(by));
                // Nothing that the test cluster does makes an answer out of nothing.
                if let Some(op) = self.requests.get(id).filter(|op| *status == 200 && !is_made(op)) {
                    let text = format!(
                        "op {id:x} at {} was answered {by:?}, which no upstream made for it",
                        op.node
                    );
                    found.report("wrong-answer", at, text);
                }
                let Some(op) = self.take_unexcused(*id, at, world) else { return };
                let ends = op.sent_at.unwrap_or(op.asked_at) + op.timeout;
                if at > ends + MAX_RESPONSE_DELAY {
                    let text = format!(
                        "op {id:x} at {} was answered {} ms after its time",
                        op.node,
                        (at - ends) / 1000
                    );
                    found.report("late-answer", at, text);
                }
                if matches!(status, 400..=499) && *status != 429 {
                    found.report(
                        "turned-away",
                        at,
                        format!("op {id:x} at {} was answered {status}", op.node),
                    );
                }
            }
            Event::ConnectionLost { op: id } => {
                let Some(op) = self.take_unexcused(*id, at, world) else { return };
                // A balancer may close an idle connection in the moment in which a request is written to it.
                if !op.received_by.is_empty() {
                    let text =
                        format!("op {id:x} at {} reached {:?} and got no answer", op.node, op.received_by);
                    found.report("unanswered", at, text);
                }
            }
            Event::ResponseMissing { op: id } => {
                if let Some(op) = self.take_unexcused(*id, at, world) {
                    found.report("unanswered", at, format!("op {id:x} at {} got no answer", op.node));
                }
            }
            Event::ClientAbandoned { op } => drop(self.requests.remove(op)),
            Event::ExtraBytes { op } => {
                found.report("second-answer", at, format!("op {op:x} got more than one answer"));
            }
            _ => {}
        }
    }
}
