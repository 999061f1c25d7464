//! The impairments of a network path.

use std::collections::BTreeMap;
use std::sync::Mutex;

use doorproxy_test_servers::clock::Micros;
use tokio::sync::watch;

use super::lock;

/// The impairments of one direction between two nodes. Ratios are from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Impairment {
    /// Nothing passes, and no error tells the sender: connections are not established, datagrams are lost.
    pub is_partitioned: bool,
    /// New connections are refused; established ones stay.
    pub refuses_connections: bool,
    /// Nothing passes until the pause is over; then all held bytes and datagrams do.
    pub is_paused: bool,
    /// The added latency.
    pub delay: Micros,
    /// The bandwidth of each connection, in bytes per second.
    pub bytes_per_second: Option<f64>,
    /// The ratio of packets that are lost; those of a connection are retransmitted.
    pub loss_ratio: f64,
    /// The ratio of chunks in the middle of which the connection is reset.
    pub reset_ratio: f64,
    /// The ratio of chunks in the middle of which the connection ends, and of datagrams that are cut in half.
    pub truncate_ratio: f64,
    /// The ratio of datagrams that arrive twice.
    pub duplicate_ratio: f64,
    /// The ratio of datagrams that arrive late, after datagrams that were sent later.
    pub reorder_ratio: f64,
    /// The ratio of datagrams that arrive with one bit flipped.
    pub corrupt_ratio: f64,
}

impl Impairment {
    /// The state of a path without faults.
    pub const NONE: Impairment = Impairment {
        is_partitioned: false,
        refuses_connections: false,
        is_paused: false,
        delay: 0,
        bytes_per_second: None,
        loss_ratio: 0.0,
        reset_ratio: 0.0,
        truncate_ratio: 0.0,
        duplicate_ratio: 0.0,
        reorder_ratio: 0.0,
        corrupt_ratio: 0.0,
    };

    pub(super) fn is_blocked(&self) -> bool {
        self.is_partitioned || self.is_paused
    }

    /// Combines two impairments: delays add up, and the worse of every other value applies.
    fn combine(self, other: &Impairment) -> Impairment {
        let limits = self.bytes_per_second.into_iter().chain(other.bytes_per_second);
        Impairment {
            is_partitioned: self.is_partitioned || other.is_partitioned,
            refuses_connections: self.refuses_connections || other.refuses_connections,
            is_paused: self.is_paused || other.is_paused,
            delay: self.delay + other.delay,
            bytes_per_second: limits.reduce(f64::min),
            loss_ratio: self.loss_ratio.max(other.loss_ratio),
            reset_ratio: self.reset_ratio.max(other.reset_ratio),
            truncate_ratio: self.truncate_ratio.max(other.truncate_ratio),
            duplicate_ratio: self.duplicate_ratio.max(other.duplicate_ratio),
            reorder_ratio: self.reorder_ratio.max(other.reorder_ratio),
            corrupt_ratio: self.corrupt_ratio.max(other.corrupt_ratio),
        }
    }
}

/// One direction between two nodes, with its current faults by their numbers.
pub(super) struct NetworkPath {
    faults: Mutex<BTreeMap<u64, Impairment>>,
    current: watch::Sender<Impairment>,
}

impl NetworkPath {
    pub fn new() -> NetworkPath {
        NetworkPath { faults: Mutex::default(), current: watch::Sender::new(Impairment::NONE) }
    }

    /// Returns a receiver of the combined impairment of all faults, which follows their changes.
    pub fn subscribe(&self) -> watch::Receiver<Impairment> {
        self.current.subscribe()
    }

    pub fn refuses_connections(&self) -> bool {
        self.current.borrow().refuses_connections
    }

    pub fn set_fault(&self, fault: u64, impairment: Option<Impairment>) {
        let mut faults = lock(&self.faults);
        match impairment {
            Some(impairment) => faults.insert(fault, impairment),
            None => faults.remove(&fault),
        };
        self.current.send_replace(faults.values().fold(Impairment::NONE, Impairment::combine));
    }
}
