//! Implements the admin API: readiness, metrics, recovery status, members, permits and manual overrides. It
//! runs on a separate thread and does not wait for the tasks that serve requests.

mod error;
mod listener;
pub mod overrides;
pub mod routes;
mod store;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use doorproxy::dispatcher::Dispatcher;
use doorproxy::effects::EndpointStatus;
use doorproxy::ids::Timestamp;
use doorproxy_fleet_health::operator_overrides::{Override, OverrideEntry, OverrideError, OverrideRegister};
use doorproxy_membership::message::NodeId;

use crate::admin::overrides::ManualOverrides;
use crate::discovery::{DiscoveryState, apply_updates};
use crate::log_line;
use crate::metrics::{Gauges, Metrics};
use crate::peers::SharedPeerState;
use crate::readiness::Readiness;
use crate::recovery::RecoveryState;
use crate::runtime::Runtime;
use crate::sync::lock;
use crate::upstream::UpstreamClient;

pub use error::AdminError;
pub use listener::{MAX_CONNECTIONS, serve};
pub use store::{FileStore, TextStore};

/// Sets how often overrides of sibling processes and of the fleet are applied.
const OVERRIDE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Answers the calls of operators.
pub struct AdminApi<R: Runtime> {
    /// Provides the clock, tasks and the log.
    pub runtime: R,
    /// Receives the endpoint updates that follow from overrides.
    pub dispatcher: Dispatcher,
    /// Receives the same updates, and closes idle connections to ejected endpoints.
    pub upstream_client: Arc<UpstreamClient<R>>,
    /// Holds the endpoint list, to which overrides are applied.
    pub discovery: Arc<Mutex<DiscoveryState>>,
    /// Counts requests and attempts.
    pub metrics: Arc<Metrics>,
    /// Tells whether the process serves clients.
    pub readiness: Arc<Readiness>,
    /// Keeps state across restarts, if the fleet file names a state directory.
    pub recovery: Option<Arc<RecoveryState>>,
    /// Holds what is known of the other balancers, if the fleet file has a `[peers]` table.
    pub peers: Option<Arc<SharedPeerState>>,
    /// Stores the manual overrides of this balancer.
    pub override_store: Arc<dyn TextStore>,
    /// Stores the overrides for the whole fleet; set only together with `peers`.
    pub fleet_overrides: Option<Arc<FleetOverrides>>,
}

/// Stores the overrides for the whole fleet, so that the next process has them.
pub struct FleetOverrides {
    /// Holds their text.
    pub store: Arc<dyn TextStore>,
    /// Identifies this balancer as the author of overrides that are set here.
    pub balancer_id: NodeId,
    /// Holds the revision of the register that was last stored.
    saved_revision: AtomicU64,
}

impl FleetOverrides {
    /// Creates the storage of the balancer of this name.
    pub fn new(store: Arc<dyn TextStore>, name: &str) -> FleetOverrides {
        FleetOverrides { store, balancer_id: NodeId::from_name(name), saved_revision: AtomicU64::new(0) }
    }
}

/// Names what an operator does with an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideAction {
    /// Stops sending new requests to it.
    Eject,
    /// Undoes the ejection.
    Restore,
}

impl OverrideAction {
    /// Returns the state of the endpoint after the action, for the log.
    fn result_name(self) -> &'static str {
        match self {
            OverrideAction::Eject => "ejected",
            OverrideAction::Restore => "restored",
        }
    }
}

/// Reads the stored overrides. Logs what can't be read, and starts without it.
pub fn read_overrides<R: Runtime>(runtime: &R, store: &dyn TextStore) -> ManualOverrides {
    let text = match store.read() {
        Ok(text) => text,
        Err(error) => {
            log_line!(
                *runtime,
                "manual override: could not read the stored overrides; check the ejections and repeat them: \
                 {error}"
            );
            return ManualOverrides::default();
        }
    };
    let decoded = ManualOverrides::decode(&text);
    if decoded.damaged_lines > 0 {
        log_line!(
            *runtime,
            "manual override: ignored {} damaged lines; check the ejections and repeat them",
            decoded.damaged_lines
        );
    }
    decoded.overrides
}

impl<R: Runtime> AdminApi<R> {
    fn discovery(&self) -> MutexGuard<'_, DiscoveryState> {
        lock(&self.discovery)
    }

    fn metrics_text(&self) -> String {
        let counts = self.discovery().endpoint_counts();
        // The dispatcher sees manually ejected endpoints as draining and leaves them out, so none is counted
        // twice.
        let avoided = self.dispatcher.avoided_endpoints(self.runtime.now()) + counts.ejected;
        let recovery = self.recovery.as_ref().map(|recovery| recovery.metrics());
        let peers = self.peers.as_ref().map(|peers| peers.snapshot().metrics);
        let gauges = Gauges { listed_endpoints: counts.listed, avoided_endpoints: avoided };
        let mut text = self.metrics.render(&gauges);
        for (name, value) in recovery.iter().flatten().chain(peers.iter().flatten()) {
            text += &format!("edge_proxy.{name}:{value}|g\n");
        }
        text
    }

    fn is_ejected_by_fleet(&self, name: &str) -> bool {
        let Some(peers) = &self.peers else { return false };
        peers.overrides().get(name).is_some_and(|value| value.is_ejected)
    }

    /// Ejects or restores an endpoint for this balancer. The override is stored before it is applied, so that
    /// it survives a crash after the response.
    fn set_override(&self, name: &str, action: OverrideAction) -> Result<(), AdminError> {
        let now = self.runtime.now();
        let warm_since = {
            let discovery = self.discovery();
            if !discovery.contains(name) {
                return Err(AdminError::UnknownEndpoint(name.to_string()));
            }
            now - discovery.warm_up_time()
        };
        let mut has_capacity = true;
        let stored = self.override_store.update(&mut |text| {
            let mut overrides = ManualOverrides::decode(text).overrides;
            match action {
                OverrideAction::Eject => has_capacity = overrides.eject(name),
                OverrideAction::Restore => overrides.restore(name, now, warm_since),
            }
            overrides.encode()
        });
        if let Err(error) = stored {
            log_line!(self.runtime, "manual override: could not store the overrides: {error}");
            return Err(AdminError::Store(error));
        }
        if !has_capacity {
            return Err(AdminError::TooManyEjected);
        }
        self.sync_overrides();
        log_line!(self.runtime, "manual override: {name} is {}", action.result_name());
        Ok(())
    }

    /// Ejects or restores an endpoint for the whole fleet. The override is stored before it is applied; the
    /// peer thread sends it to the other balancers.
    fn set_fleet_override(&self, name: &str, action: OverrideAction) -> Result<Override, AdminError> {
        let (Some(peers), Some(fleet)) = (&self.peers, &self.fleet_overrides) else {
            return Err(AdminError::NoPeers);
        };
        if !self.discovery().contains(name) && peers.overrides().get(name).is_none() {
            return Err(AdminError::UnknownEndpoint(name.to_string()));
        }
        let now = self.runtime.now();
        let known = peers.overrides().clone();
        let mut result = Err(OverrideError::Full);
        let stored = fleet.store.update(&mut |text| {
            let mut register = merge_saved(now, text, &known);
            result = register.set(now, name, action == OverrideAction::Eject, fleet.balancer_id);
            register.encode()
        });
        if let Err(error) = stored {
            log_line!(self.runtime, "fleet override: could not store the overrides: {error}");
            return Err(AdminError::Store(error));
        }
        let value = result?;
        peers.overrides().merge(now, &OverrideEntry { endpoint: name.to_string(), value });
        self.sync_overrides();
        let state = action.result_name();
        log_line!(self.runtime, "fleet override: {name} is {state}, version {}", value.version);
        Ok(value)
    }

    /// Loads the fleet overrides that a sibling process stored, and stores those that other balancers sent.
    fn sync_fleet_overrides(&self) {
        let (Some(peers), Some(fleet)) = (&self.peers, &self.fleet_overrides) else { return };
        let Ok(text) = fleet.store.read() else { return };
        let now = self.runtime.now();
        let known = {
            let mut register = peers.overrides();
            for (name, registered) in OverrideRegister::decode(now, &text).register.iter() {
                register.merge(now, &OverrideEntry { endpoint: name.clone(), value: registered.value });
            }
            register.clone()
        };
        if known.revision() == fleet.saved_revision.load(Ordering::Relaxed) {
            return;
        }
        match fleet.store.update(&mut |text| merge_saved(now, text, &known).encode()) {
            Ok(()) => fleet.saved_revision.store(known.revision(), Ordering::Relaxed),
            // The next poll tries again.
            Err(error) => {
                log_line!(self.runtime, "fleet override: could not store the overrides: {error}");
            }
        }
    }

    /// Applies the stored overrides. Called before the first endpoint list is applied.
    pub fn load_saved_overrides(&self) {
        self.sync_fleet_overrides();
        self.sync_overrides();
    }

    /// Applies the stored overrides of this balancer and of the fleet, whichever process stored them.
    fn sync_overrides(&self) {
        let Ok(text) = self.override_store.read() else { return };
        let mut overrides = ManualOverrides::decode(&text).overrides;
        let fleet_overrides = self.peers.as_ref().map(|peers| peers.overrides().clone());
        let mut discovery = self.discovery();
        if let Some(fleet_overrides) = fleet_overrides {
            let warm_since = self.runtime.now() - discovery.warm_up_time();
            overrides.merge_fleet_overrides(&fleet_overrides, warm_since);
        }
        // The lock is held until the end, so that no older endpoint list is applied after these updates.
        let updates = discovery.set_overrides(overrides);
        if updates.is_empty() {
            return;
        }
        for update in updates.iter().filter(|update| update.status == EndpointStatus::Draining) {
            self.upstream_client.close_idle_connections(update.endpoint);
        }
        apply_updates(self.runtime.now(), &self.dispatcher, &self.upstream_client, &updates);
    }
}

/// Merges the stored fleet overrides with those that this process knows.
fn merge_saved(now: Timestamp, text: &str, known: &OverrideRegister) -> OverrideRegister {
    let mut register = OverrideRegister::decode(now, text).register;
    for (name, registered) in known.iter() {
        let entry = OverrideEntry { endpoint: name.clone(), value: registered.value };
        register.merge(registered.learned_at, &entry);
    }
    register
}

/// Applies the overrides that other processes set. Never returns.
pub async fn poll_overrides<R: Runtime>(api: Arc<AdminApi<R>>) {
    loop {
        api.runtime.sleep(OVERRIDE_POLL_INTERVAL).await;
        api.sync_fleet_overrides();
        api.sync_overrides();
    }
}
