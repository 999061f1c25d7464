//! Selects the endpoint list with which a process starts: the list that the previous process stored, or the
//! configured list, in which the stored one may mark endpoints as draining or recently started.

use std::collections::BTreeMap;

use doorproxy_recovery::age::{Age, ClockReading};
use doorproxy_recovery::state_file::{PersistedEndpoint, PersistedState};
use doorproxy_recovery::validity::{Fact, FactSource, FactUse};

use crate::discovery::{EndpointEntry, EndpointList, EntryState};

const ACTIVE: &str = "active";
const DRAINING: &str = "leaving";

/// Holds what the previous process stored, with its age.
#[derive(Default)]
pub struct RestoredState {
    pub(super) endpoints: Option<Fact<EndpointList>>,
    pub(super) learned_state: Option<Fact<String>>,
    /// Holds when the discovery service last confirmed the list.
    pub(super) confirmed_at: Option<ClockReading>,
}

impl RestoredState {
    /// Computes the age of a stored state at `now`, the start of this process.
    pub fn from_state(state: PersistedState, now: &ClockReading) -> RestoredState {
        let list_age = Age::between(&state.list_confirmed_at, now);
        let learned_state_age = Age::between(&state.written_at, now);
        let list = EndpointList {
            version: state.list_version,
            is_snapshot: true,
            endpoints: state.endpoints.iter().filter_map(entry_from_persisted).collect(),
        };
        let learned_state = Fact::new(state.learned_state, FactSource::StateDirectory, learned_state_age);
        RestoredState {
            endpoints: Some(Fact::new(list, FactSource::StateDirectory, list_age)),
            learned_state: Some(learned_state),
            confirmed_at: Some(state.list_confirmed_at),
        }
    }
}

/// Holds an endpoint list with its source and age.
#[derive(Clone)]
pub struct InitialEndpoints {
    /// Holds the list.
    pub list: EndpointList,
    /// Tells the source of the list.
    pub source: FactSource,
    /// Holds the time since the discovery service confirmed the list.
    pub age: Age,
}

/// Converts a stored endpoint to a list entry. Returns `None` if its address can't be parsed.
pub fn entry_from_persisted(endpoint: &PersistedEndpoint) -> Option<EndpointEntry> {
    Some(EndpointEntry {
        name: endpoint.id.clone(),
        address: endpoint.address.parse().ok()?,
        zone: endpoint.zone.clone(),
        kind: endpoint.kind.clone(),
        cell: endpoint.cell,
        status: if endpoint.status == ACTIVE { EntryState::Active } else { EntryState::Draining },
        weight: endpoint.weight,
        started_at_ms: endpoint.started_ms,
    })
}

pub(super) fn persisted_from_entry(entry: &EndpointEntry) -> PersistedEndpoint {
    let status = if entry.status == EntryState::Active { ACTIVE } else { DRAINING };
    PersistedEndpoint {
        id: entry.name.clone(),
        address: entry.address.to_string(),
        zone: entry.zone.clone(),
        kind: entry.kind.clone(),
        cell: entry.cell,
        status: status.to_string(),
        weight: entry.weight,
        started_ms: entry.started_at_ms,
    }
}

/// Returns the list to start with. The stored list is used if it may be used to send requests and is not
/// older than the configured one. Otherwise it can only mark configured endpoints as draining or later
/// started.
pub fn initial_endpoints(configured: &EndpointList, restored: &RestoredState) -> InitialEndpoints {
    let from_configuration =
        |list| InitialEndpoints { list, source: FactSource::Configuration, age: Age::Unknown };
    let Some(stored) = &restored.endpoints else { return from_configuration(configured.clone()) };
    if let Some(list) = stored.for_use(FactUse::SendRequests)
        && !list.endpoints.is_empty()
        && (configured.endpoints.is_empty() || list.version >= configured.version)
    {
        return InitialEndpoints {
            list: list.clone(),
            source: FactSource::StateDirectory,
            age: stored.age(),
        };
    }
    let mut list = configured.clone();
    if let Some(stored) = stored.for_use(FactUse::AvoidEndpoint) {
        distrust_endpoints(&mut list, stored);
    }
    from_configuration(list)
}

/// Applies the later start times of the stored list, and marks the endpoints as draining that drain in it and
/// have not been restarted since.
fn distrust_endpoints(list: &mut EndpointList, stored: &EndpointList) {
    let stored: BTreeMap<&String, &EndpointEntry> =
        stored.endpoints.iter().map(|entry| (&entry.name, entry)).collect();
    for entry in &mut list.endpoints {
        let Some(known) = stored.get(&entry.name) else { continue };
        entry.started_at_ms = entry.started_at_ms.max(known.started_at_ms);
        let is_draining = known.status != EntryState::Active && known.started_at_ms >= entry.started_at_ms;
        if is_draining && entry.status == EntryState::Active {
            entry.status = EntryState::Draining;
        }
    }
}
