//! Holds the state that the admin API shares with the peer thread, which communicates with the other
//! balancers: the status of the other balancers, permits, and overrides for the whole fleet. The dispatcher
//! does not read it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use doorproxy::ids::Timestamp;
use doorproxy_fleet_health::operator_overrides::OverrideRegister;
use serde_json::Value;

use crate::permits::{Permit, PermitCall};
use crate::sync::lock;

/// Holds the status of the other balancers for operators.
#[derive(Clone, Debug, Default)]
pub struct PeersSnapshot {
    /// Holds the JSON of `doorproxy members`.
    pub members: Value,
    /// Holds the name and value of each metric.
    pub metrics: Vec<(&'static str, i64)>,
}

/// Shares state between the peer thread and the admin API.
#[derive(Default)]
pub struct SharedPeerState {
    snapshot: Mutex<PeersSnapshot>,
    /// Holds the permits that the fleet file names.
    permits: Mutex<BTreeMap<String, Permit>>,
    /// Holds the overrides for the whole fleet, as far as this process knows them.
    overrides: Mutex<OverrideRegister>,
}

impl SharedPeerState {
    /// Creates the state with these permits, of which none is held.
    pub fn new(permits: impl IntoIterator<Item = (String, Permit)>) -> SharedPeerState {
        let permits = permits.into_iter().collect();
        SharedPeerState {
            snapshot: Mutex::default(),
            permits: Mutex::new(permits),
            overrides: Mutex::default(),
        }
    }

    /// Replaces the status of the other balancers.
    pub fn set_snapshot(&self, snapshot: PeersSnapshot) {
        *lock(&self.snapshot) = snapshot;
    }

    /// Returns the status of the other balancers.
    pub fn snapshot(&self) -> PeersSnapshot {
        lock(&self.snapshot).clone()
    }

    /// Locks and returns all permits.
    pub fn permits(&self) -> MutexGuard<'_, BTreeMap<String, Permit>> {
        lock(&self.permits)
    }

    /// Locks and returns the overrides for the whole fleet. The guard must not be held during I/O.
    pub fn overrides(&self) -> MutexGuard<'_, OverrideRegister> {
        lock(&self.overrides)
    }

    /// Carries out a permit call and returns the permit's status for the caller. Returns `None` if the fleet
    /// file names no such permit.
    pub fn call_permit(&self, now: Timestamp, call: &PermitCall) -> Option<Value> {
        let mut permits = self.permits();
        let permit = permits.get_mut(call.name)?;
        Some(permit.call(now, call))
    }
}
