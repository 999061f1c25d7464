//! The measured cases and their scenarios.

use super::{DOWNTIME_S, FAULT_AT_S};
use crate::scenario::{ConfiguredList, Fault, FaultKind, Fleet, Load, Scenario, StateDirectoryCondition};

/// A measured case, which is one row of the table.
#[derive(Clone, Copy)]
pub struct Case {
    /// The name of the case.
    pub name: &'static str,
    /// The balancers that are killed; empty for none.
    killed: &'static str,
    configured_list: ConfiguredList,
    state_directory: StateDirectoryCondition,
    /// True if all endpoints restart at the time of the fault.
    restart_upstreams: bool,
    /// The seconds for which discovery is down from the time of the fault.
    discovery_outage_s: f64,
    /// True if balancers keep their state in a state directory.
    keeps_state: bool,
    /// The seconds for which the load goes on after the killed processes restart.
    pub(super) load_after_s: f64,
    /// The number of balancers in the settings, if it differs from the true one.
    configured_balancers: Option<u32>,
    /// The number of registry replicas; balancers know each other if it is set.
    registry_replicas: Option<usize>,
    /// The setting `reserve` of `[peers]`.
    reserve: Option<f64>,
    /// The time of the fault in seconds after the load began, by which balancers have counted each other.
    pub(super) fault_at_s: f64,
    /// The paths that are partitioned from two seconds before the fault until the end; empty for none.
    partitioned_paths: &'static str,
    /// True for few endpoints with one core and requests of 70 ms, so that one request of each balancer is
    /// much work for a warming endpoint.
    pub(super) heavy_requests: bool,
}

const BASE: Case = Case {
    name: "",
    killed: "n0..n8",
    configured_list: ConfiguredList::Last,
    state_directory: StateDirectoryCondition::Kept,
    restart_upstreams: false,
    discovery_outage_s: 0.0,
    keeps_state: false,
    load_after_s: 8.0,
    configured_balancers: None,
    registry_replicas: None,
    reserve: None,
    fault_at_s: FAULT_AT_S,
    partitioned_paths: "",
    heavy_requests: false,
};

const WITH_STATE: Case = Case { configured_list: ConfiguredList::Empty, keeps_state: true, ..BASE };
const STATE_LOST: Case = Case {
    configured_list: ConfiguredList::Empty,
    state_directory: StateDirectoryCondition::Emptied,
    load_after_s: 9.0,
    ..BASE
};
/// All endpoints restart, and no balancer does.
const COLD_UPSTREAMS: Case =
    Case { killed: "", restart_upstreams: true, load_after_s: 13.0, fault_at_s: 8.0, ..BASE };
const HEAVY_REQUESTS: Case = Case { heavy_requests: true, ..COLD_UPSTREAMS };
const TOO_FEW_CONFIGURED: Case = Case { configured_balancers: Some(4), ..HEAVY_REQUESTS };
const TOO_MANY_CONFIGURED: Case = Case { configured_balancers: Some(36), ..HEAVY_REQUESTS };
const EMPTY_LIST: Case =
    Case { configured_list: ConfiguredList::EmptyWithVersion, load_after_s: 13.0, ..STATE_LOST };

/// All cases, in the order of the table.
pub const CASES: &[Case] = &[
    Case { name: "9-of-12", ..BASE },
    Case { name: "9-of-12-cold", restart_upstreams: true, load_after_s: 13.0, ..BASE },
    Case { name: "12-of-12-cold", killed: "n*", restart_upstreams: true, load_after_s: 13.0, ..BASE },
    Case { name: "12-of-12-list-away", killed: "n*", discovery_outage_s: 8.0, load_after_s: 12.0, ..BASE },
    Case { name: "9-of-12-lost", ..STATE_LOST },
    Case { name: "12-of-12-lost", killed: "n*", ..STATE_LOST },
    Case { name: "9-of-12-lost-cold", restart_upstreams: true, load_after_s: 13.0, ..STATE_LOST },
    Case { name: "9-of-12-lost-list-away", discovery_outage_s: 8.0, load_after_s: 20.0, ..STATE_LOST },
    Case {
        name: "12-of-12-lost-list-away",
        killed: "n*",
        discovery_outage_s: 8.0,
        load_after_s: 20.0,
        ..STATE_LOST
    },
    Case { name: "9-of-12-kept", ..WITH_STATE },
    Case { name: "12-of-12-kept", killed: "n*", ..WITH_STATE },
    Case {
        name: "12-of-12-kept-list-away",
        killed: "n*",
        discovery_outage_s: 8.0,
        load_after_s: 12.0,
        ..WITH_STATE
    },
    Case {
        name: "12-of-12-kept-cold",
        killed: "n*",
        restart_upstreams: true,
        load_after_s: 13.0,
        ..WITH_STATE
    },
    Case {
        name: "12-of-12-lost-cold",
        killed: "n*",
        restart_upstreams: true,
        load_after_s: 13.0,
        ..STATE_LOST
    },
    Case { name: "9-of-12-kept-hour-old", state_directory: StateDirectoryCondition::HourOld, ..WITH_STATE },
    Case {
        name: "12-of-12-kept-hour-old",
        killed: "n*",
        state_directory: StateDirectoryCondition::HourOld,
        ..WITH_STATE
    },
    Case { name: "9-of-12-kept-untrue", state_directory: StateDirectoryCondition::Untrue, ..WITH_STATE },
    Case {
        name: "12-of-12-kept-untrue",
        killed: "n*",
        state_directory: StateDirectoryCondition::Untrue,
        ..WITH_STATE
    },
    Case { name: "9-of-12-hollow", ..EMPTY_LIST },
    Case { name: "12-of-12-hollow", killed: "n*", ..EMPTY_LIST },
    Case { name: "cold", ..HEAVY_REQUESTS },
    Case { name: "cold-counted", registry_replicas: Some(3), ..HEAVY_REQUESTS },
    Case { name: "cold-reserve", registry_replicas: Some(3), reserve: Some(0.25), ..HEAVY_REQUESTS },
    Case {
        name: "cold-counted-cut",
        registry_replicas: Some(3),
        partitioned_paths: "n*<->n*",
        ..HEAVY_REQUESTS
    },
    Case {
        name: "cold-reserve-cut",
        registry_replicas: Some(3),
        reserve: Some(0.25),
        partitioned_paths: "n*<->n*",
        ..HEAVY_REQUESTS
    },
    Case { name: "cold-settings-4", ..TOO_FEW_CONFIGURED },
    Case { name: "cold-settings-4-counted", registry_replicas: Some(3), ..TOO_FEW_CONFIGURED },
    Case {
        name: "cold-settings-4-reserve",
        registry_replicas: Some(3),
        reserve: Some(0.25),
        ..TOO_FEW_CONFIGURED
    },
    Case { name: "cold-settings-36", ..TOO_MANY_CONFIGURED },
    Case { name: "cold-settings-36-counted", registry_replicas: Some(3), ..TOO_MANY_CONFIGURED },
    Case {
        name: "cold-settings-36-reserve",
        registry_replicas: Some(3),
        reserve: Some(0.25),
        ..TOO_MANY_CONFIGURED
    },
];

/// Returns the scenario of a load without a fault.
pub(super) fn scenario_without_fault(seed: u64, seconds: f64, heavy: bool) -> Scenario {
    let mut fleet = Fleet { balancers: 12, upstreams: 8, ..Fleet::default() };
    let mut load = Load { rate: 500.0, abandon_ratio: 0.0, ..Load::default() };
    if heavy {
        fleet = Fleet { upstreams: 6, cores: 1, warm_up_s: 20.0, overload_factor: 2.0, ..fleet };
        load = Load { rate: 40.0, work_ms: 70.0, ttl_ms: 3000.0, ..load };
    }
    Scenario { seed, seconds, fleet, load, faults: Vec::new() }
}

impl Case {
    /// Returns the scenario of the case with this seed.
    pub fn scenario(&self, seed: u64) -> Scenario {
        let mut scenario = scenario_without_fault(
            seed,
            self.fault_at_s + DOWNTIME_S + self.load_after_s,
            self.heavy_requests,
        );
        scenario.fleet.keeps_state = self.keeps_state;
        (scenario.fleet.configured_balancers, scenario.fleet.registry_replicas) =
            (self.configured_balancers, self.registry_replicas);
        scenario.fleet.reserve = self.reserve;
        let kill = Fault {
            at: self.fault_at_s,
            kind: FaultKind::Kill,
            targets: String::new(),
            paths: String::new(),
            duration_s: DOWNTIME_S,
            magnitude: 0.0,
            restart_spread_s: 0.0,
            configured_list: self.configured_list,
            state_directory: self.state_directory,
        };
        if !self.killed.is_empty() {
            scenario.faults.push(Fault { targets: self.killed.to_string(), ..kill.clone() });
        }
        let others = Fault {
            configured_list: ConfiguredList::Last,
            state_directory: StateDirectoryCondition::Kept,
            ..kill
        };
        if self.restart_upstreams {
            scenario.faults.push(Fault {
                kind: FaultKind::Restart,
                targets: "u*".to_string(),
                duration_s: 0.0,
                ..others.clone()
            });
        }
        if !self.partitioned_paths.is_empty() {
            let partition = Fault {
                kind: FaultKind::Partition,
                paths: self.partitioned_paths.to_string(),
                at: self.fault_at_s - 2.0,
                duration_s: 0.0,
                ..others.clone()
            };
            scenario.faults.push(partition);
        }
        if self.discovery_outage_s > 0.0 {
            scenario.faults.push(Fault {
                kind: FaultKind::DiscoveryOutage,
                duration_s: self.discovery_outage_s,
                ..others
            });
        }
        scenario
    }
}
