//! Rule 3: nothing new to an endpoint that a balancer has been told is leaving, or that was taken out by hand there.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};

use super::{Checker, FaultTimeline, Findings};

const DRAIN_GRACE: Micros = SECOND;
/// Told so shortly before a process was stopped, or its way to the list went bad, it may not have read it.
const UNREAD_WINDOW: Micros = 500_000;

/// Balancer and endpoint.
type BalancerAndEndpoint = (String, String);

#[derive(Default)]
pub struct DrainNoticeChecker {
    draining_since: BTreeMap<BalancerAndEndpoint, Micros>,
    listed: BTreeMap<String, Vec<String>>,
    manual_ejections: BTreeMap<BalancerAndEndpoint, Micros>,
}

impl DrainNoticeChecker {
    /// What was told to this balancer from `since` on is put off until now: it can't have been read.
    fn postpone_unread(&mut self, node: &str, since: Micros, now: Micros) {
        for of in [&mut self.draining_since, &mut self.manual_ejections] {
            for ((_, _), told) in of.iter_mut().filter(|((of, _), told)| of == node && **told >= since) {
                *told = now;
            }
        }
    }
}

impl Checker for DrainNoticeChecker {
    fn on_event(&mut self, at: Micros, event: &Event, world: &FaultTimeline, found: &mut Findings) {
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
            // Who is out by hand is kept in the folder, and binds the next process as well.
            Event::StateDirectoryChanged { node, .. } => {
                self.manual_ejections.retain(|(of, _), _| of != node)
            }
            Event::Process { node, did, .. } => match did {
                ProcessChange::Killed | ProcessChange::Exited(_) => {
                    self.draining_since.retain(|(of, _), _| of != node);
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
                let is_late = |told: &Micros| *first_byte > told + DRAIN_GRACE + world.slack();
                let mut broken = |rule, told: &Micros| {
                    let late = (first_byte - told) / 1000;
                    found.report(
                        rule,
                        at,
                        format!("op {op:x} went to {server} {late} ms after {node} was told"),
                    );
                };
                if let Some(told) = self.draining_since.get(&pair).filter(|told| is_late(told))
                    && !world.had_discovery_path_fault(node, told.saturating_sub(UNREAD_WINDOW), *first_byte)
                {
                    broken("drain", told);
                }
                if let Some(out) = self.manual_ejections.get(&pair).filter(|out| is_late(out)) {
                    broken("ban", out);
                }
            }
            _ => {}
        }
    }
}
