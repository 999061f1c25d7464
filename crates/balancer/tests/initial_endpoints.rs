//! Tests which endpoint list a process starts with, given a configuration and a stored state.

use doorproxy_balancer::discovery::{EndpointEntry, EndpointList, EntryState};
use doorproxy_balancer::recovery::initial_endpoints::{
    InitialEndpoints, RestoredState, entry_from_persisted, initial_endpoints,
};
use doorproxy_recovery::age::ClockReading;
use doorproxy_recovery::state_file::{PersistedEndpoint, PersistedState};
use doorproxy_recovery::validity::FactSource;

fn endpoint(id: &str, status: &str, started_ms: i64) -> PersistedEndpoint {
    PersistedEndpoint {
        id: id.to_string(),
        address: "127.0.0.1:80".to_string(),
        zone: "east".to_string(),
        kind: "small".to_string(),
        cell: 0,
        status: status.to_string(),
        weight: 1.0,
        started_ms,
    }
}

fn clock_reading(since_boot_ms: u64) -> ClockReading {
    ClockReading { wall_ms: since_boot_ms, boot_id: "b".to_string(), since_boot_ms }
}

fn restored_state(version: u64, endpoints: Vec<PersistedEndpoint>, now: &ClockReading) -> RestoredState {
    let state = PersistedState {
        balancer: "n0".to_string(),
        written_at: clock_reading(0),
        list_confirmed_at: clock_reading(0),
        list_version: version,
        endpoints,
        learned_state: String::new(),
    };
    RestoredState::from_state(state, now)
}

fn configured_list(version: u64, endpoints: &[PersistedEndpoint]) -> EndpointList {
    let endpoints = endpoints.iter().filter_map(entry_from_persisted).collect();
    EndpointList { version, is_snapshot: true, endpoints }
}

fn summarize(list: &EndpointList) -> Vec<(&str, bool, i64)> {
    let summary = |entry: &EndpointEntry| (entry.status == EntryState::Active, entry.started_at_ms);
    list.endpoints.iter().map(|entry| (entry.name.as_str(), summary(entry).0, summary(entry).1)).collect()
}

/// Checks that a stale stored list sends no requests to endpoints which the configuration excludes. The
/// list of the later version is used; an older stored one may only mark endpoints as draining or recently
/// started.
#[test]
fn stale_stored_list_never_makes_endpoints_usable() {
    let seconds_later = clock_reading(5_000);
    let stored = || vec![endpoint("a", "active", 7), endpoint("b", "leaving", 0), endpoint("c", "active", 0)];
    let configured = [endpoint("a", "active", 0), endpoint("b", "active", 0), endpoint("c", "leaving", 0)];
    // A stored list of a later version, or beside an empty configured one, is used unchanged.
    let InitialEndpoints { list, source, .. } =
        initial_endpoints(&configured_list(4, &configured), &restored_state(9, stored(), &seconds_later));
    assert_eq!(
        (summarize(&list), source),
        (vec![("a", true, 7), ("b", false, 0), ("c", true, 0)], FactSource::StateDirectory)
    );
    let initial = initial_endpoints(&configured_list(99, &[]), &restored_state(9, stored(), &seconds_later));
    assert_eq!(initial.list.endpoints.len(), 3);
    // A stored list of an earlier version may mark endpoints as draining, but not as ready.
    let InitialEndpoints { list, source, .. } =
        initial_endpoints(&configured_list(20, &configured), &restored_state(9, stored(), &seconds_later));
    assert_eq!(
        (summarize(&list), source),
        (vec![("a", true, 7), ("b", false, 0), ("c", false, 0)], FactSource::Configuration)
    );
    // A stored list that is two hours old is not used to send requests.
    let initial =
        initial_endpoints(&configured_list(0, &[]), &restored_state(9, stored(), &clock_reading(7_200_000)));
    assert!(initial.list.endpoints.is_empty());
}
