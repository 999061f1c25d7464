//! Holds the state that the admin API shares with the peer thread, which communicates with the other
//! balancers: the status of the other balancers, permits, and overrides for the whole fleet. The dispatcher
//! does not read it.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_fleet_health::operator_overrides::OverrideRegister;
use serde_json::{Value, json};

use crate::sync::lock;

/// Holds the status of the other balancers for operators.
#[derive(Clone, Debug, Default)]
pub struct PeersSnapshot {
    /// Holds the JSON of `doorproxy members`.
    pub members: Value,
    /// Holds the name and value of each metric.
    pub metrics: Vec<(&'static str, i64)>,
}

/// Describes a permit that this balancer holds or requests.
#[derive(Clone, Debug, Default)]
pub struct Permit {
    /// Says until when the permit is requested and renewed.
    pub requested_until: Option<Timestamp>,
    /// Holds the fencing token and the end of the lease by the clock of this process.
    pub lease: Option<(u64, Timestamp)>,
    /// Says who holds the permit or why it can't be acquired, as text for operators.
    pub reason: String,
}

/// Sets the minimum time for which a permit is requested.
const MIN_REQUEST_TIME: Ticks = Ticks(50_000);

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
    pub fn new(permits: impl IntoIterator<Item = String>) -> SharedPeerState {
        let permits = permits.into_iter().map(|name| (name, Permit::default())).collect();
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

    /// Requests a permit, renews it for the given time, and returns its status. A caller that gets the permit
    /// may act for `for_s` seconds, counted from before its call. Returns `None` if the fleet file names no
    /// such permit.
    pub fn request_permit(&self, now: Timestamp, name: &str, renewal: Ticks) -> Option<Value> {
        let mut permits = self.permits();
        let permit = permits.get_mut(name)?;
        permit.requested_until = Some(now + renewal.max(MIN_REQUEST_TIME));
        Some(permit_status(permit, now))
    }

    /// Releases a permit and returns its status; the caller must no longer act under it. Returns `None` if
    /// the fleet file names no such permit.
    pub fn release_permit(&self, now: Timestamp, name: &str) -> Option<Value> {
        let mut permits = self.permits();
        let permit = permits.get_mut(name)?;
        permit.requested_until = None;
        permit.lease = None;
        Some(permit_status(permit, now))
    }
}

fn permit_status(permit: &Permit, now: Timestamp) -> Value {
    match permit.lease.filter(|(_, until)| now < *until) {
        Some((token, until)) => json!({"held": true, "token": token, "for_s": (until - now).as_secs_f64()}),
        None => json!({"held": false, "why": permit.reason}),
    }
}
