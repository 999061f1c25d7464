//! The fault-injecting proxy: a relay on each network path between two nodes, for connections and for
//! datagrams.
//!
//! The bytes of a connection are never reordered, repeated or changed, because TCP guarantees that on any
//! network.

mod datagrams;
mod impairment;
mod listeners;
mod stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy_test_servers::clock::Clock;
use doorproxy_test_servers::upstream::{ConnectionOrigin, ConnectionOrigins};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::watch;

use crate::addresses::AddressBlock;
pub use impairment::Impairment;
use impairment::NetworkPath;

/// The relays of a run.
pub struct FaultProxy {
    /// The addresses of the nodes and of their relays.
    pub addresses: AddressBlock,
    clock: Clock,
    /// The paths, by the names of the sending and the receiving node.
    paths: Mutex<BTreeMap<(String, String), Arc<NetworkPath>>>,
    /// For each node, true while its process does not listen; its relays refuse connections then.
    down_nodes: Mutex<BTreeMap<String, watch::Sender<bool>>>,
    /// The nodes that connections come from, by the address from which the relay connects.
    origins: Mutex<BTreeMap<SocketAddr, ConnectionOrigin>>,
    rng: Mutex<Pcg64Mcg>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while it is locked")
}

impl ConnectionOrigins for FaultProxy {
    fn origin_of(&self, peer: SocketAddr) -> Option<ConnectionOrigin> {
        lock(&self.origins).get(&peer).cloned()
    }
}

impl FaultProxy {
    /// Returns a proxy without relays; the seed determines which packets are impaired.
    pub fn new(addresses: AddressBlock, clock: Clock, seed: u64) -> Arc<FaultProxy> {
        Arc::new(FaultProxy {
            addresses,
            clock,
            paths: Mutex::default(),
            down_nodes: Mutex::default(),
            origins: Mutex::default(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        })
    }

    fn path(&self, from: &str, to: &str) -> Arc<NetworkPath> {
        let mut paths = lock(&self.paths);
        let path = paths.entry((from.to_string(), to.to_string()));
        path.or_insert_with(|| Arc::new(NetworkPath::new())).clone()
    }

    /// Begins the fault of this number on a path, or ends it if there is no impairment. Several faults add
    /// up.
    pub fn set_fault(&self, from: &str, to: &str, fault: u64, impairment: Option<Impairment>) {
        self.path(from, to).set_fault(fault, impairment);
    }

    fn watch_down(&self, node: &str) -> watch::Receiver<bool> {
        let mut down_nodes = lock(&self.down_nodes);
        down_nodes.entry(node.to_string()).or_insert_with(|| watch::Sender::new(false)).subscribe()
    }

    /// Sets whether the process of a node does not listen, so that the node's relays refuse connections. A
    /// refused connection proves to the caller that its request did not run; an accepted one that is reset
    /// leaves that open. A relay that accepts connections for a process that is gone would show the caller
    /// the wrong one of the two.
    pub fn set_down(&self, node: &str, is_down: bool) {
        let mut down_nodes = lock(&self.down_nodes);
        let sender = down_nodes.entry(node.to_string()).or_insert_with(|| watch::Sender::new(false));
        sender.send_replace(is_down);
    }

    /// Returns a random number from 0 up to, but not including, 1.
    fn random_unit(&self) -> f64 {
        lock(&self.rng).random()
    }
}

#[cfg(test)]
mod tests;
