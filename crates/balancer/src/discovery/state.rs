//! Holds the endpoints of the last list, and applies the manual overrides before the dispatcher receives
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use doorproxy::effects::{EndpointStatus, EndpointUpdate};
use doorproxy::ids::{CellId, EndpointId, EndpointKindId, Ticks, Timestamp, ZoneId};
use doorproxy::settings::DiscoveryTiming;

use crate::admin::overrides::ManualOverrides;
use crate::config::Config;
use crate::discovery::endpoint_ids::EndpointIds;
use crate::discovery::summary::describe_entry;
use crate::discovery::{EndpointEntry, EndpointList, EntryState};
use crate::log_line;
use crate::runtime::Runtime;

const TICKS_PER_MS: i64 = 10;
/// Sets the minimum weight. Shares are divided by weights, so an endpoint of weight zero would get all
/// requests or none.
const MIN_WEIGHT: f64 = 1e-3;
const DEFAULT_WEIGHT: f64 = 1.0;

/// Holds what is known of the endpoints of one upstream service.
pub struct DiscoveryState {
    config: Arc<Config>,
    ids: EndpointIds,
    /// Holds what was last logged for each endpoint.
    logged: BTreeMap<EndpointId, LoggedEndpoint>,
    /// Holds the list entries by endpoint name.
    entries: BTreeMap<String, EndpointEntry>,
    overrides: ManualOverrides,
    /// If set, endpoints that were warming up at this time are left to a sibling process, unless no other is
    /// usable.
    warming_delegated_since: Option<Timestamp>,
    /// Holds the known version of the list; with `None`, the next request asks for a complete snapshot.
    version: Option<u64>,
    timing: DiscoveryTiming,
}

#[derive(Clone, Copy, PartialEq)]
struct LoggedEndpoint {
    status: EndpointStatus,
    address: SocketAddr,
}

/// Tells where the next watch begins.
#[derive(Clone, Copy)]
pub struct WatchPosition {
    /// Holds the version after which to wait for changes; `None` asks for a complete snapshot.
    pub version: Option<u64>,
    /// Holds the timing of watches.
    pub timing: DiscoveryTiming,
}

/// Counts the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Counts the endpoints in the list.
    pub listed: usize,
    /// Counts the listed endpoints that are ejected manually.
    pub ejected: usize,
}

impl DiscoveryState {
    /// Creates a state without endpoints.
    pub fn new(config: Arc<Config>) -> DiscoveryState {
        let timing = config.settings.discovery_timing(config.seed);
        DiscoveryState {
            config,
            ids: EndpointIds::default(),
            logged: BTreeMap::new(),
            entries: BTreeMap::new(),
            overrides: ManualOverrides::default(),
            warming_delegated_since: None,
            version: None,
            timing,
        }
    }

    /// Records the version of a list, and returns its updates and the address of each.
    pub fn to_updates(&mut self, list: &EndpointList) -> (Vec<EndpointUpdate>, Vec<SocketAddr>) {
        // A restarted service counts its versions from the beginning, so its changes don't apply to the known
        // list.
        let version_decreased = !list.is_snapshot && self.version.is_some_and(|known| list.version < known);
        self.version = (!version_decreased).then_some(list.version);
        list.endpoints.iter().map(|entry| (self.update_for(entry), entry.address)).unzip()
    }

    /// Makes the next request ask for a complete snapshot.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Returns where the next watch begins.
    pub fn watch_position(&self) -> WatchPosition {
        WatchPosition { version: self.version, timing: self.timing }
    }

    /// Leaves the endpoints that are warming up at the given time to a sibling process, or takes them back
    /// with `None`. The limits of a warming endpoint hold for a whole balancer, so only one of its processes
    /// may send to the endpoint. Returns the updates of all listed endpoints.
    pub fn delegate_warming(&mut self, since: Option<Timestamp>) -> Vec<EndpointUpdate> {
        self.warming_delegated_since = since;
        self.updates_for(self.entries.values().cloned().collect())
    }

    fn updates_for(&mut self, entries: Vec<EndpointEntry>) -> Vec<EndpointUpdate> {
        let mut updates: Vec<EndpointUpdate> = entries.iter().map(|entry| self.update_for(entry)).collect();
        self.apply_warming_delegation(&mut updates);
        updates
    }

    /// Marks endpoints that are left to a sibling process as draining, unless no other endpoint is usable.
    pub fn apply_warming_delegation(&self, updates: &mut [EndpointUpdate]) {
        let Some(since) = self.warming_delegated_since else { return };
        let is_warming = |started_at: Option<Timestamp>| {
            started_at.is_some_and(|started_at| since - started_at < self.warm_up_time())
        };
        let is_warm = |entry: &EndpointEntry| self.is_usable(entry) && !is_warming(self.started_at(entry));
        if !self.entries.values().any(is_warm) {
            return;
        }
        for update in updates {
            if update.status == EndpointStatus::Ready && is_warming(update.started_at) {
                update.status = EndpointStatus::Draining;
            }
        }
    }

    fn is_usable(&self, entry: &EndpointEntry) -> bool {
        entry.status == EntryState::Active && !self.overrides.is_ejected(&entry.name)
    }

    /// Returns the later of the start in the list and the last restoration: operators restart ejected
    /// endpoints, and the list may report the new start late or never.
    fn started_at(&self, entry: &EndpointEntry) -> Option<Timestamp> {
        let listed =
            (entry.started_at_ms > 0).then(|| Timestamp(entry.started_at_ms.saturating_mul(TICKS_PER_MS)));
        listed.max(self.overrides.restored_since(&entry.name))
    }

    fn update_for(&mut self, entry: &EndpointEntry) -> EndpointUpdate {
        let weight = if entry.weight.is_finite() { entry.weight.max(MIN_WEIGHT) } else { DEFAULT_WEIGHT };
        EndpointUpdate {
            endpoint: self.ids.id_for(&entry.name),
            kind: EndpointKindId(index_of(&self.config.endpoint_kinds, &entry.kind)),
            zone: ZoneId(index_of(&self.config.zones, &entry.zone)),
            cell: CellId(entry.cell),
            weight,
            status: self.status(entry),
            started_at: self.started_at(entry),
        }
    }

    fn status(&self, entry: &EndpointEntry) -> EndpointStatus {
        match entry.status {
            EntryState::Removed => EndpointStatus::Removed,
            _ if self.is_usable(entry) => EndpointStatus::Ready,
            _ => EndpointStatus::Draining,
        }
    }

    /// Replaces the manual overrides. Returns the updates of all listed endpoints whose override has changed.
    pub fn set_overrides(&mut self, overrides: ManualOverrides) -> Vec<EndpointUpdate> {
        let changed = self.overrides.changed_names(&overrides);
        self.overrides = overrides;
        self.updates_for(changed.iter().filter_map(|name| self.entries.get(name).cloned()).collect())
    }

    /// Returns the entries of the list.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.entries.values()
    }

    /// Returns, for each listed endpoint, its name, its id and the start of its process in Unix milliseconds.
    pub fn incarnations(&self) -> impl Iterator<Item = (&String, EndpointId, i64)> {
        self.entries.iter().filter_map(|(name, entry)| Some((name, self.ids.get(name)?, entry.started_at_ms)))
    }

    /// Returns whether an endpoint of this name is listed or ejected.
    pub fn contains(&self, name: &str) -> bool {
        self.entries.contains_key(name) || self.overrides.is_ejected(name)
    }

    /// Counts the listed endpoints, and those of them that are ejected manually.
    pub fn endpoint_counts(&self) -> EndpointCounts {
        EndpointCounts {
            listed: self.entries.len(),
            ejected: self.entries.keys().filter(|name| self.overrides.is_ejected(name)).count(),
        }
    }

    /// Returns how long an endpoint warms up after its start.
    pub fn warm_up_time(&self) -> Ticks {
        self.config.settings.slow_start.warm_up_time
    }

    /// Stores the entries of a list, logs what has changed, and forgets endpoints that are removed or
    /// missing.
    pub fn record_entries<R: Runtime>(
        &mut self,
        runtime: &R,
        list: &EndpointList,
        updates: &[EndpointUpdate],
    ) {
        if list.is_snapshot {
            self.entries.clear();
        }
        for (entry, update) in list.endpoints.iter().zip(updates) {
            match update.status {
                EndpointStatus::Removed => drop(self.entries.remove(&entry.name)),
                _ => drop(self.entries.insert(entry.name.clone(), entry.clone())),
            }
            let logged = LoggedEndpoint { status: update.status, address: entry.address };
            if self.logged.insert(update.endpoint, logged) != Some(logged) {
                log_line!(*runtime, "discovery: {}", describe_entry(entry, update));
            }
        }
        self.forget_removed(list.is_snapshot, updates);
    }

    fn forget_removed(&mut self, is_snapshot: bool, updates: &[EndpointUpdate]) {
        let listed: BTreeSet<EndpointId> = updates.iter().map(|update| update.endpoint).collect();
        let is_missing = |id: &EndpointId| is_snapshot && !listed.contains(id);
        self.logged.retain(|id, logged| logged.status != EndpointStatus::Removed && !is_missing(id));
        self.ids.retain(|id| self.logged.contains_key(&id));
    }
}

/// Returns the index of a name. Names that are not configured share the index after the last one.
fn index_of(indices: &BTreeMap<String, u16>, name: &str) -> u16 {
    indices.get(name).copied().unwrap_or(indices.len() as u16)
}
