//! Checks that a balancer starts no attempt at an endpoint after it was informed that the endpoint is
//! draining, or after the endpoint was ejected manually there.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Violations};

/// The time after an update in which attempts are still allowed.
const DRAIN_GRACE: Micros = SECOND;
/// An update sent this shortly before the process was paused, or before its path to discovery failed, may not
/// have been read.
const UNREAD_WINDOW: Micros = 500_000;

/// The names of a balancer and of an endpoint.
type BalancerAndEndpoint = (String, String);

/// Checks attempts against the updates and the manual overrides that their balancer received.
#[derive(Default)]
pub struct DrainNoticeChecker {
    draining_since: BTreeMap<BalancerAndEndpoint, Micros>,
    listed: BTreeMap<String, Vec<String>>,
    manual_ejections: BTreeMap<BalancerAndEndpoint, Micros>,
}

impl DrainNoticeChecker {
    /// Postpones the updates that this balancer received from `since` on until `now`, since it can't have
    /// read them.
    fn postpone_unread(&mut self, node: &str, since: Micros, now: Micros) {
        for notices in [&mut self.draining_since, &mut self.manual_ejections] {
            for ((balancer, _), informed_at) in notices {
                if balancer == node && *informed_at >= since {
                    *informed_at = now;
                }
            }
        }
    }
}

impl Checker for DrainNoticeChecker {
    fn on_event(&mut self, at: Micros, event: &Event, timeline: &FaultTimeline, violations: &mut Violations) {
        match event {
            Event::ListSent { node, whole, rows, .. } => {
                let listed = self.listed.entry(node.clone()).or_default();
                if *whole {
                    for server in
                        listed.drain(..).filter(|server| rows.iter().all(|row| row.server != *server))
                    {
                        self.draining_since.entry((node.clone(), server)).or_insert(at);
                    }
                }
                for row in rows {
                    listed.retain(|server| *server != row.server);
                    let pair = (node.clone(), row.server.clone());
                    if row.state == "active" {
                        self.draining_since.remove(&pair);
                    } else {
                        self.draining_since.entry(pair).or_insert(at);
                    }
                    listed.push(row.server.clone());
                }
            }
            Event::ManualOverride { node, server, out } => {
                let pair = (node.clone(), server.clone());
                if *out {
                    self.manual_ejections.entry(pair).or_insert(at);
                } else {
                    self.manual_ejections.remove(&pair);
                }
            }
            // Manual overrides are stored in the state directory and bind the next process too, unless it was
            // changed.
            Event::StateDirectoryChanged { node, .. } => {
                self.manual_ejections.retain(|(balancer, _), _| balancer != node)
            }
            Event::Process { node, did, .. } => match did {
                ProcessChange::Killed | ProcessChange::Exited(_) => {
                    self.draining_since.retain(|(balancer, _), _| balancer != node);
                    self.listed.remove(node);
                }
                ProcessChange::Paused => {
                    self.postpone_unread(node, at.saturating_sub(UNREAD_WINDOW), Micros::MAX / 2)
                }
                ProcessChange::Resumed => self.postpone_unread(node, Micros::MAX / 2, at),
                _ => {}
            },
            Event::AttemptReceived { node, server, first_byte, op, .. } => {
                let pair = (node.clone(), server.clone());
                let is_late =
                    |informed_at: &Micros| *first_byte > informed_at + DRAIN_GRACE + timeline.slack();
                let mut report = |rule, reason, informed_at: &Micros| {
                    let late = (first_byte - informed_at) / 1000;
                    let text = format!(
                        "request {op:x} went to {server} {late} ms after {node} was informed of {reason}"
                    );
                    violations.report(rule, at, text);
                };
                if let Some(informed_at) = self.draining_since.get(&pair).filter(|at| is_late(at))
                    && !timeline.had_discovery_path_fault(
                        node,
                        informed_at.saturating_sub(UNREAD_WINDOW),
                        *first_byte,
                    )
                {
                    report("drain", "its draining", informed_at);
                }
                if let Some(informed_at) = self.manual_ejections.get(&pair).filter(|at| is_late(at)) {
                    report("ban", "its manual ejection", informed_at);
                }
            }
            _ => {}
        }
    }
}
