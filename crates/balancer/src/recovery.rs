//! Keeps state across restarts: restores what the previous process stored, tracks the startup stage, and
//! stores the current state at intervals. It never waits for the disk.

pub mod initial_endpoints;
mod status;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use doorproxy::dispatcher::Dispatcher;
use doorproxy::rng::hash_text;
use doorproxy_recovery::age::ClockReading;
use doorproxy_recovery::startup_status::{Evidence, StageChange, StartupStatus};
use doorproxy_recovery::state_file::{self, PersistedEndpoint, PersistedState};
use doorproxy_recovery::validity::{FactSource, FactUse};
use serde_json::Value;

use crate::discovery::{DiscoveryState, EndpointEntry, EndpointList};
use crate::log_line;
use crate::recovery::initial_endpoints::persisted_from_entry;
use crate::runtime::Runtime;
use crate::sync::lock;

pub use initial_endpoints::{InitialEndpoints, RestoredState, initial_endpoints};

/// Reads the clocks of the machine and writes the state directory.
pub trait StateStore: Send + Sync {
    /// Returns the current time by all clocks.
    fn read_clocks(&self) -> ClockReading;

    /// Queues a state to be written without waiting. The state may be dropped while another is being written.
    fn save(&self, state: PersistedState);
}

struct Inner {
    startup_status: StartupStatus,
    restored: RestoredState,
    /// Holds when the discovery service last confirmed the list. It determines the age of the stored list,
    /// whichever process stores it.
    confirmed_at: Option<ClockReading>,
    list_version: u64,
}

/// Restores, tracks and stores the state of one process.
pub struct RecoveryState {
    balancer_name: String,
    /// Identifies the settings under which the state is learned.
    settings_hash: u64,
    save_interval: Duration,
    store: Arc<dyn StateStore>,
    inner: Mutex<Inner>,
}

/// Identifies the balancer that owns a state, and the settings under which the state is valid.
#[derive(Clone, Copy)]
pub struct StateOwner<'a> {
    /// Names the balancer.
    pub balancer: &'a str,
    /// Holds the hash of its settings.
    pub settings_hash: u64,
}

impl RecoveryState {
    /// Creates the recovery of a process that starts now with what the previous one stored.
    pub fn new<R: Runtime>(
        runtime: &R,
        owner: StateOwner<'_>,
        save_interval: Duration,
        store: Arc<dyn StateStore>,
        restored: RestoredState,
    ) -> Arc<RecoveryState> {
        let inner = Inner {
            startup_status: StartupStatus::new(runtime.now()),
            confirmed_at: restored.confirmed_at.clone(),
            restored,
            list_version: 0,
        };
        Arc::new(RecoveryState {
            balancer_name: owner.balancer.to_string(),
            settings_hash: owner.settings_hash,
            save_interval,
            store,
            inner: Mutex::new(inner),
        })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Returns the endpoint list to start with.
    pub fn initial_endpoints(&self, configured: &EndpointList) -> InitialEndpoints {
        initial_endpoints(configured, &self.inner().restored)
    }

    /// Restores the learned state as far as it is valid. Called once the initial list is applied.
    pub fn on_initial_endpoints<R: Runtime>(
        &self,
        runtime: &R,
        dispatcher: &Dispatcher,
        initial: &InitialEndpoints,
    ) {
        let now = runtime.now();
        let list = &initial.list;
        let mut inner = self.inner();
        inner.list_version = list.version;
        if initial.source == FactSource::Configuration && !list.endpoints.is_empty() {
            // The configured list counts as confirmed at this start. The discovery service may have no newer
            // version to send, and the list would otherwise be stored as never confirmed.
            inner.confirmed_at = Some(self.store.read_clocks());
        }
        dispatcher.restore(now, &transferable_state(&inner.restored, list));
        let change = inner
            .startup_status
            .on_initial_list(now, list.endpoints.len(), initial.source, initial.age)
            .cloned();
        inner.restored = RestoredState::default();
        drop(inner);
        log_change(runtime, change);
    }

    /// Records a list from the discovery service. `endpoint_count` is the number of endpoints after the list
    /// is applied.
    pub fn on_endpoint_list<R: Runtime>(&self, runtime: &R, endpoint_count: usize, version: u64) {
        let mut inner = self.inner();
        inner.confirmed_at = Some(self.store.read_clocks());
        inner.list_version = version;
        let change = inner.startup_status.on_discovery_snapshot(runtime.now(), endpoint_count).cloned();
        drop(inner);
        log_change(runtime, change);
    }

    /// Records that a request to the discovery service has failed.
    pub fn on_discovery_error(&self) {
        self.inner().startup_status.on_discovery_error();
    }

    /// Updates the startup status from the responses seen so far, and stores the state.
    fn checkpoint<R: Runtime>(
        &self,
        runtime: &R,
        dispatcher: &Dispatcher,
        discovery: &Mutex<DiscoveryState>,
    ) {
        let evidence = dispatcher.evidence();
        let evidence = Evidence {
            ready_endpoints: evidence.ready_endpoints,
            answered_endpoints: evidence.answered_endpoints,
            answer_count: evidence.answer_count,
        };
        let endpoints: Vec<PersistedEndpoint> = lock(discovery).entries().map(persisted_from_entry).collect();
        let mut inner = self.inner();
        let change = inner.startup_status.on_evidence(runtime.now(), evidence).cloned();
        let written_at = self.store.read_clocks();
        let list_confirmed_at = inner.confirmed_at.clone().unwrap_or_else(unknown_time);
        let list_version = inner.list_version;
        drop(inner);
        log_change(runtime, change);
        // A process that started without endpoints must not replace a stored list by an empty one.
        if endpoints.is_empty() {
            return;
        }
        let snapshot = dispatcher.snapshot(runtime.now());
        let learned_state = state_file::transferable_learned_state(&snapshot, |_| false);
        self.store.save(PersistedState {
            balancer: self.balancer_name.clone(),
            written_at,
            list_confirmed_at,
            list_version,
            endpoints,
            learned_state: state_file::prepend_settings(self.settings_hash, &learned_state),
        });
    }

    /// Stores the state at intervals. Never returns.
    pub async fn run<R: Runtime>(
        self: Arc<Self>,
        runtime: R,
        dispatcher: Dispatcher,
        discovery: Arc<Mutex<DiscoveryState>>,
    ) {
        loop {
            runtime.sleep(self.save_interval).await;
            self.checkpoint(&runtime, &dispatcher, &discovery);
        }
    }

    /// Returns the name and value of each metric.
    pub fn metrics(&self) -> [(&'static str, i64); 4] {
        status::metrics(&self.inner().startup_status)
    }

    /// Returns the JSON of `doorproxy recovery`.
    pub fn status<R: Runtime>(&self, runtime: &R) -> Value {
        status::to_json(&self.inner().startup_status, runtime.now())
    }
}

/// Returns the oldest possible time, for a list that was never confirmed.
fn unknown_time() -> ClockReading {
    ClockReading { wall_ms: 0, boot_id: String::new(), since_boot_ms: 0 }
}

/// Returns the learned state without endpoints that are no longer listed or were restarted since it was
/// stored.
fn transferable_state(restored: &RestoredState, list: &EndpointList) -> String {
    let start_times = |entries: &[EndpointEntry]| -> BTreeMap<u32, i64> {
        entries.iter().map(|entry| (hash_text(&entry.name) as u32, entry.started_at_ms)).collect()
    };
    let known = start_times(&list.endpoints);
    let stored = restored.endpoints.as_ref().and_then(|fact| fact.for_use(FactUse::AvoidEndpoint));
    let stored = stored.map(|stored| start_times(&stored.endpoints)).unwrap_or_default();
    let is_gone = |id: u32| {
        let is_unchanged = |start: &i64| stored.get(&id).is_some_and(|stored_start| stored_start >= start);
        !known.get(&id).is_some_and(is_unchanged)
    };
    let learned_state = restored.learned_state.as_ref().and_then(|fact| fact.for_use(FactUse::ChargeWork));
    state_file::transferable_learned_state(learned_state.map_or("", String::as_str), is_gone)
}

fn log_change<R: Runtime>(runtime: &R, change: Option<StageChange>) {
    if let Some(StageChange { from, to, cause, .. }) = change {
        log_line!(*runtime, "recovery: stage changed from {from} to {to}: {cause}");
    }
}
