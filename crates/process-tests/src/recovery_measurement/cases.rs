//! The cases that are measured, one for each row of the table, and the scenario of each.

use super::{DOWNTIME_S, FAULT_AT_S};
use crate::scenario::{ConfiguredList, Fault, FaultKind, Fleet, Load, Scenario, StateDirectoryCondition};

/// One row of the table.
#[derive(Clone, Copy)]
pub struct Case {
    pub name: &'static str,
    killed: &'static str,
    configured_list: ConfiguredList,
    state_directory: StateDirectoryCondition,
    restart_upstreams: bool,
    discovery_outage_s: f64,
    /// Balancers keep a state, and their configuration holds no list.
    keeps_state: bool,
    /// Seconds of load after the processes are back.
    pub(super) load_after_s: f64,
    /// So many balancers the settings speak of, where they are wrong.
    configured_balancers: Option<u32>,
    /// Balancers know each other, and so many are keepers.
    registry_replicas: Option<usize>,
    reserve: Option<f64>,
    /// Seconds after the load began; balancers that know each other have counted each other by then.
    pub(super) fault_at_s: f64,
    /// A way that is cut from two seconds before until the end.
    partitioned_paths: &'static str,
    /// Few endpoints of one core, and requests of 70 ms: one request of each balancer is a lot for a warming one.
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
/// Endpoints start anew and no balancer does.
const COLD_UPSTREAMS: Case =
    Case { killed: "", restart_upstreams: true, load_after_s: 13.0, fault_at_s: 8.0, ..BASE };
const HEAVY_REQUESTS: Case = Case { heavy_requests: true, ..COLD_UPSTREAMS };
const TOO_FEW_CONFIGURED: Case = Case { configured_balancers: Some(4), ..HEAVY_REQUESTS };
const TOO_MANY_CONFIGURED: Case = Case { configured_balancers: Some(36), ..HEAVY_REQUESTS };
const EMPTY_LIST: Case =
    Case { configured_list: ConfiguredList::EmptyWithVersion, load_after_s: 13.0, ..STATE_LOST };

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
        let usual = Fault {
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
        let who = |who: &str| who.to_string();
        if !self.killed.is_empty() {
            scenario.faults.push(Fault { targets: who(self.killed), ..usual.clone() });
        }
        let others = Fault {
            configured_list: ConfiguredList::Last,
            state_directory: StateDirectoryCondition::Kept,
            ..usual
        };
        if self.restart_upstreams {
            scenario.faults.push(Fault {
                kind: FaultKind::Restart,
                targets: who("u*"),
                duration_s: 0.0,
                ..others.clone()
            });
        }
        if !self.partitioned_paths.is_empty() {
            let cut = Fault {
                kind: FaultKind::Partition,
                paths: who(self.partitioned_paths),
                at: self.fault_at_s - 2.0,
                duration_s: 0.0,
                ..others.clone()
            };
            scenario.faults.push(cut);
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
