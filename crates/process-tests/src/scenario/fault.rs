//! The faults of a scenario: their kinds, targets, times and magnitudes.

use std::fmt;

use doorproxy_test_servers::clock::{MS, Micros};
use serde::{Deserialize, Serialize};

use crate::fault_proxy::Impairment;

/// The endpoint list in the configuration of a balancer process that starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfiguredList {
    /// The list as it was when the balancer's last process ended.
    #[default]
    Last,
    /// The list as it was at the start of the run.
    First,
    /// An empty list of version 0, as if the list was lost.
    Empty,
    /// An empty list with the current version, as if only the version of the list was kept.
    #[serde(rename = "hollow")]
    EmptyWithVersion,
}

/// The state directory that a restarted process finds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StateDirectoryCondition {
    /// As the last process left it.
    #[default]
    Kept,
    /// It is empty.
    Emptied,
    /// It is as it was at the start of the run.
    Earlier,
    /// It holds the files of another balancer.
    Other,
    /// Writes to files fail, as on a full disk.
    Full,
    /// No file can be created in it.
    ReadOnly,
    /// Opening its state file blocks forever, as on a disk that hangs.
    Hung,
    /// Its state was written just under an hour ago and before the machine was booted.
    HourOld,
    /// Its state is well-formed but false throughout: endpoints have swapped or unused addresses, wrong
    /// states and wrong start times, and the learned state claims work that was never sent.
    Untrue,
}

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    // Faults of balancers.
    /// Kills the process.
    Kill,
    /// Asks the process to end.
    Terminate,
    /// Pauses the process with SIGSTOP.
    Pause,
    /// Starts a second process of the same balancer.
    #[serde(rename = "twin")]
    DuplicateProcess,
    /// Ejects endpoints manually at some balancers.
    #[serde(rename = "put-out")]
    ManualEjection,
    /// Ejects endpoints for the whole fleet, by an override at some balancers.
    #[serde(rename = "put-out-of-fleet")]
    FleetEjection,
    // Faults of network paths.
    /// Lets nothing pass, without notice to either side.
    #[serde(rename = "cut")]
    Partition,
    /// Refuses new connections.
    Refuse,
    /// Holds everything back until the fault is over.
    #[serde(rename = "hold")]
    Stall,
    /// Adds latency.
    Delay,
    /// Limits the bandwidth of each connection.
    #[serde(rename = "slow")]
    Throttle,
    /// Loses a share of the packets; those of a connection are retransmitted.
    #[serde(rename = "lose")]
    Loss,
    /// Resets the connection in the middle of a share of the chunks.
    Reset,
    /// Ends the connection in the middle of a share of the chunks, and halves a share of the datagrams.
    #[serde(rename = "short")]
    Truncate,
    // Faults of network paths that affect only datagrams.
    /// Duplicates a share of the datagrams.
    #[serde(rename = "double")]
    Duplicate,
    /// Delivers a share of the datagrams late.
    Reorder,
    /// Flips one bit in a share of the datagrams.
    #[serde(rename = "flip")]
    Corrupt,
    // Faults of endpoints.
    /// Kills the process; a cold one follows when the fault is over.
    Crash,
    /// Kills the process and starts a cold one at once.
    Restart,
    /// Lists the endpoint as leaving; a cold process replaces it when the fault is over.
    Drain,
    /// Makes processing take longer.
    #[serde(rename = "drag")]
    SlowDown,
    /// Answers every request with 500.
    #[serde(rename = "fail")]
    AnswerErrors,
    /// Holds all responses back.
    Hang,
    /// Declines every request.
    #[serde(rename = "fill")]
    DeclineAll,
    // Faults of discovery.
    /// Stops the discovery service.
    #[serde(rename = "list-away")]
    DiscoveryOutage,
}

/// The part of the test cluster that a fault affects.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FaultTarget {
    /// Balancers.
    Balancers,
    /// Network paths between processes.
    Paths,
    /// Endpoints.
    Upstreams,
    /// The discovery service.
    Discovery,
}

impl FaultKind {
    /// All kinds. Generated scenarios depend on the order.
    pub const ALL: [FaultKind; 25] = [
        FaultKind::Kill,
        FaultKind::Terminate,
        FaultKind::Pause,
        FaultKind::DuplicateProcess,
        FaultKind::ManualEjection,
        FaultKind::FleetEjection,
        FaultKind::Partition,
        FaultKind::Refuse,
        FaultKind::Stall,
        FaultKind::Delay,
        FaultKind::Throttle,
        FaultKind::Loss,
        FaultKind::Reset,
        FaultKind::Truncate,
        FaultKind::Duplicate,
        FaultKind::Reorder,
        FaultKind::Corrupt,
        FaultKind::Crash,
        FaultKind::Restart,
        FaultKind::Drain,
        FaultKind::SlowDown,
        FaultKind::AnswerErrors,
        FaultKind::Hang,
        FaultKind::DeclineAll,
        FaultKind::DiscoveryOutage,
    ];

    /// Returns the part of the test cluster that a fault of this kind affects.
    pub fn target(self) -> FaultTarget {
        match self {
            FaultKind::Kill
            | FaultKind::Terminate
            | FaultKind::Pause
            | FaultKind::DuplicateProcess
            | FaultKind::ManualEjection
            | FaultKind::FleetEjection => FaultTarget::Balancers,
            FaultKind::Partition
            | FaultKind::Refuse
            | FaultKind::Stall
            | FaultKind::Delay
            | FaultKind::Throttle
            | FaultKind::Loss
            | FaultKind::Reset
            | FaultKind::Truncate
            | FaultKind::Duplicate
            | FaultKind::Reorder
            | FaultKind::Corrupt => FaultTarget::Paths,
            FaultKind::Crash
            | FaultKind::Restart
            | FaultKind::Drain
            | FaultKind::SlowDown
            | FaultKind::AnswerErrors
            | FaultKind::Hang
            | FaultKind::DeclineAll => FaultTarget::Upstreams,
            FaultKind::DiscoveryOutage => FaultTarget::Discovery,
        }
    }

    /// Returns true if the fault is an operator's ejection of endpoints through the admin API.
    pub fn is_manual_ejection(self) -> bool {
        matches!(self, FaultKind::ManualEjection | FaultKind::FleetEjection)
    }

    /// Returns the meaning of `size` with its least and greatest value, or none if the kind has no `size`.
    pub(super) fn magnitude_range(self) -> Option<(&'static str, f64, f64)> {
        match self {
            FaultKind::Delay => Some(("milliseconds in each direction", 0.0, 10_000.0)),
            FaultKind::Throttle => Some(("bytes a second", 100.0, 1e9)),
            FaultKind::Loss
            | FaultKind::Reset
            | FaultKind::Truncate
            | FaultKind::Duplicate
            | FaultKind::Reorder
            | FaultKind::Corrupt => Some(("a ratio from 0 to 1", 0.0, 1.0)),
            FaultKind::SlowDown => Some(("the factor by which processing takes longer", 1.0, 100.0)),
            _ => None,
        }
    }

    /// Returns the impairment of a network path by a fault of this kind and size.
    pub fn impairment(self, size: f64) -> Impairment {
        match self {
            FaultKind::Partition => Impairment { is_partitioned: true, ..Impairment::NONE },
            FaultKind::Refuse => Impairment { refuses_connections: true, ..Impairment::NONE },
            FaultKind::Stall => Impairment { is_paused: true, ..Impairment::NONE },
            FaultKind::Delay => Impairment { delay: (size * MS as f64) as Micros, ..Impairment::NONE },
            FaultKind::Throttle => Impairment { bytes_per_second: Some(size), ..Impairment::NONE },
            FaultKind::Loss => Impairment { loss_ratio: size, ..Impairment::NONE },
            FaultKind::Reset => Impairment { reset_ratio: size, ..Impairment::NONE },
            FaultKind::Truncate => Impairment { truncate_ratio: size, ..Impairment::NONE },
            FaultKind::Duplicate => Impairment { duplicate_ratio: size, ..Impairment::NONE },
            FaultKind::Reorder => Impairment { reorder_ratio: size, ..Impairment::NONE },
            FaultKind::Corrupt => Impairment { corrupt_ratio: size, ..Impairment::NONE },
            _ => Impairment::NONE,
        }
    }
}

pub(super) fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A fault of a scenario.

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds after the start of the load.
    pub at: f64,
    /// Its kind.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The balancers or endpoints that it affects: `n3`, `u*`, `n0..n8`, `zone east`, or several separated by
    /// commas.
    #[serde(rename = "who", default, skip_serializing_if = "String::is_empty")]
    pub targets: String,
    /// The network paths that it affects: `n3->u5` in one direction, `n*<->list` in both.
    #[serde(rename = "way", default, skip_serializing_if = "String::is_empty")]
    pub paths: String,
    /// The seconds until it is over: the process is started again, the path healed.
    #[serde(default, rename = "for", skip_serializing_if = "is_zero")]
    pub duration_s: f64,
    /// The magnitude of the fault; its meaning depends on the kind.
    #[serde(rename = "size", default, skip_serializing_if = "is_zero")]
    pub magnitude: f64,
    /// The seconds over which the restarts of several balancers are spread.
    #[serde(rename = "within", default, skip_serializing_if = "is_zero")]
    pub restart_spread_s: f64,
    /// The endpoint list in the configuration of the restarted process.
    #[serde(rename = "known", default, skip_serializing_if = "is_default")]
    pub configured_list: ConfiguredList,
    /// The state directory of the restarted process.
    #[serde(rename = "folder", default, skip_serializing_if = "is_default")]
    pub state_directory: StateDirectoryCondition,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let what = serde_json::to_value(self.kind).unwrap_or_default();
        write!(out, "{} {}{}", what.as_str().unwrap_or_default(), self.targets, self.paths)?;
        write!(out, " for {} s", self.duration_s)
    }
}
