//! Starts, kills and reaps balancers.

use doorproxy_test_servers::clock::{self, MS};
use doorproxy_test_servers::events::{Event, EventSink, ProcessChange};
use tokio::net::TcpStream;

use super::{Cluster, HANG_TIMEOUT, LOOP_INTERVAL, with_context};
use crate::node::Node;
use crate::scenario::{ConfiguredList, StateDirectoryCondition};

impl Cluster {
    /// Starts a balancer's process, with an endpoint list in its configuration.
    pub(super) fn start_balancer(
        &mut self,
        node: &str,
        list: ConfiguredList,
        condition: StateDirectoryCondition,
    ) -> Result<(), String> {
        let config = self.balancer_config(node, list);
        self.record(self.configured_list_event(node, &config["known"]));
        let entry = self.nodes.get_mut(node).ok_or_else(|| format!("{node}: there is no such balancer"))?;
        let child = with_context(node, entry.spawn(&config, condition))?;
        entry.child = Some(child);
        self.record_process(node, ProcessChange::Started);
        let (proxy, name, clock) = (self.proxy.clone(), node.to_string(), self.clock);
        let waiter = tokio::spawn(async move {
            let until = clock.now() + HANG_TIMEOUT;
            while TcpStream::connect(proxy.addresses.service(&name)).await.is_err() && clock.now() < until {
                clock::sleep(5 * MS).await;
            }
            proxy.set_down(&name, false);
        });
        if let Some(earlier) = self.listen_waiters.insert(node.to_string(), waiter) {
            earlier.abort();
        }
        Ok(())
    }

    /// Handles the end of a balancer's process: its relays refuse connections, and the current endpoint list
    /// is kept for the configuration of the next process.
    pub(super) fn on_process_gone(&mut self, node: &str) {
        if let Some(waiter) = self.listen_waiters.remove(node) {
            waiter.abort();
        }
        self.proxy.set_down(node, true);
        self.last_lists.insert(node.to_string(), self.discovery.full_list(node));
        self.paused.remove(node);
    }

    /// Kills a balancer's process, if one runs.
    pub(super) fn kill_balancer(&mut self, node: &str) {
        if self.nodes[node].child.is_none() {
            return;
        }
        // This is recorded before the kill, so that no consequence precedes it in the history.
        self.record_process(node, ProcessChange::Killed);
        if let Some(node) = self.nodes.get_mut(node) {
            node.kill();
        }
        self.on_process_gone(node);
    }

    /// Records the processes that have exited.
    pub(super) fn reap_exited(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in names {
            let id = self.nodes[&name].process_id();
            let Some(code) = self.nodes.get_mut(&name).and_then(Node::try_reap) else { continue };
            self.record(Event::Process { node: name.clone(), id, did: ProcessChange::Exited(code) });
            self.on_process_gone(&name);
        }
        let history = self.history.clone();
        self.duplicate_processes.retain_mut(|(name, child)| match child.try_wait() {
            Ok(None) => true,
            Ok(Some(status)) => {
                let did = ProcessChange::Exited(status.code().unwrap_or(-1));
                history.record(Event::Process { node: format!("{name}+"), id: child.id(), did });
                false
            }
            Err(_) => false,
        });
    }

    /// Ends every balancer, and kills those that do not end in time.
    pub(super) async fn shut_down(&mut self) {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            if self.nodes[name].child.is_some() {
                self.record_process(name, ProcessChange::Terminated);
                self.nodes[name].terminate();
            }
        }
        let until = self.clock.now() + self.hang_timeout;
        while self.nodes.values().any(|node| node.child.is_some()) && self.clock.now() < until {
            self.reap_exited();
            clock::sleep(LOOP_INTERVAL).await;
        }
        for name in &names {
            if self.nodes[name].child.is_some() {
                self.record_process(name, ProcessChange::DidNotExit);
                if let Some(node) = self.nodes.get_mut(name) {
                    node.kill();
                }
            }
        }
        self.tasks.shutdown().await;
    }
}
