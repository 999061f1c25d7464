//! Finds endpoint lists that were sent to a process which had ended: discovery answers a call that waits in its
//! queue after its caller was killed. They say nothing of what the next process of the balancer knows.

use std::collections::BTreeMap;

use doorproxy_test_servers::clock::Micros;
use doorproxy_test_servers::events::{Event, ProcessChange};

/// The process of a balancer that reads the lists sent to it.
enum Recipient {
    /// The process that was started with the configuration of this time.
    ConfiguredAt(Micros),
    /// None: the process has ended, and no configuration was written since.
    Ended,
}

/// Distinguishes lists for the current process of a balancer from those for an earlier one.
#[derive(Default)]
pub struct ListRecipients {
    by_balancer: BTreeMap<String, Recipient>,
}

impl ListRecipients {
    /// Handles the next event, and returns true if it is a list on a connection of an earlier process.
    pub fn is_for_ended_process(&mut self, at: Micros, event: &Event) -> bool {
        match event {
            Event::ListSent { node, connected_at: None, .. } => {
                self.by_balancer.insert(node.clone(), Recipient::ConfiguredAt(at));
                false
            }
            Event::ListSent { node, connected_at: Some(connected_at), .. } => {
                match self.by_balancer.get(node) {
                    Some(Recipient::ConfiguredAt(configured_at)) => connected_at < configured_at,
                    Some(Recipient::Ended) => true,
                    None => false,
                }
            }
            Event::Process { node, did: ProcessChange::Killed | ProcessChange::Exited(_), .. } => {
                self.by_balancer.insert(node.clone(), Recipient::Ended);
                false
            }
            _ => false,
        }
    }
}
