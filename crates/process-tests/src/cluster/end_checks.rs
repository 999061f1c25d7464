//! The checks at the end of a run, when all faults are over.

use std::collections::BTreeMap;
use std::time::Duration;

use doorproxy_test_servers::clock;
use doorproxy_test_servers::events::{Event, EventSink, ProcessChange};
use serde_json::Value;
use tokio::task::JoinSet;

use super::Cluster;
use crate::admin_client::{MEMBERSHIP_POLL_INTERVAL, admin_request};
use crate::scenario::FaultTarget;

impl Cluster {
    /// Waits until all running balancers report the same operator overrides, and records it if they never do.
    pub(super) async fn check_overrides_agree(&self) {
        let running = || self.nodes.iter().filter(|(_, node)| node.child.is_some());
        let until = self.clock.now() + self.hang_timeout;
        loop {
            let mut answers: BTreeMap<String, Vec<&String>> = BTreeMap::new();
            for (name, _) in running() {
                let call = admin_request(self.proxy.addresses.admin(name), "GET /_members", "");
                let answer = tokio::time::timeout(Duration::from_secs(2), call).await;
                let body = answer.ok().and_then(Result::ok).map(|(_, body)| body).unwrap_or_default();
                let overrides = serde_json::from_slice::<Value>(&body).unwrap_or_default();
                let overrides = overrides["verdicts"]["words"].as_array().cloned().unwrap_or_default();
                let override_text =
                    |entry: &Value| format!("{} {} {}", entry["name"], entry["out"], entry["version"]);
                answers
                    .entry(overrides.iter().map(override_text).collect::<Vec<_>>().join(", "))
                    .or_default()
                    .push(name);
            }
            if answers.len() <= 1 {
                return;
            }
            if self.clock.now() > until {
                return self.record(Event::OverridesDiffer { text: format!("{answers:?}") });
            }
            clock::sleep(MEMBERSHIP_POLL_INTERVAL).await;
        }
    }

    /// Ends the faults that have no duration, then waits until each running balancer serves a request, and
    /// records those that do not.
    pub(super) async fn check_all_serve(&mut self) {
        let paused = std::mem::take(&mut self.paused);
        for name in &paused {
            self.nodes[name].resume();
            self.record_process(name, ProcessChange::Resumed);
        }
        self.record(Event::Fault { text: "the end".to_string(), ways: Vec::new(), over: true });
        for (index, fault) in self.scenario.faults.clone().iter().enumerate() {
            if fault.duration_s == 0.0 && fault.kind.target() != FaultTarget::Balancers {
                let _ = self.end_fault(index, fault).await;
                self.record_fault(fault, true);
            }
        }
        let mut checks = JoinSet::new();
        for (index, name) in self.nodes.keys().cloned().enumerate() {
            if self.nodes[&name].child.is_some() {
                let (load_generator, history, hang_timeout) =
                    (self.load_generator.clone(), self.history.clone(), self.hang_timeout);
                checks.spawn(async move {
                    if !load_generator.wait_until_served(index, hang_timeout).await {
                        history.record(Event::BalancerStuck { node: name });
                    }
                });
            }
        }
        while checks.join_next().await.is_some() {
            self.reap_exited();
        }
    }
}
