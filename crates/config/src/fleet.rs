//! Parses and checks the fleet file of balancers. It configures what a balancer stores for its next process,
//! and how balancers cooperate. A feature whose section is missing is disabled.

mod peers;
mod quotas;
mod sections;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::check::parse;
use crate::finding::Finding;
use crate::table::{Findings, TableReader};

/// Holds the sections of a fleet file. A missing section disables its feature.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Configures where the recovery state is stored.
    pub state: Option<StateConfig>,
    /// Configures membership.
    pub peers: Option<PeersConfig>,
    /// Configures leases; valid only if the peers have registry replicas.
    pub leases: Option<LeasesConfig>,
    /// Configures fleet-wide quotas; valid only with registry replicas.
    pub quotas: Option<QuotasConfig>,
    /// Configures fault reports; valid only with registry replicas.
    pub fault_reports: Option<FaultReportsConfig>,
}

/// Configures fault reports, in which balancers tell each other which endpoints they found faulty. The values
/// must be the same for all balancers of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultReportsConfig {
    /// Limits the age of the evidence in a report that is used: 1 s to 60 s, by default 5 s.
    pub report_lifetime: Duration,
}

/// Configures fleet-wide quotas. The values must be the same for all balancers of a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotasConfig {
    /// Sets how long the allocator can be silent before a balancer counts as disconnected: 200 ms to 10 s, by
    /// default 1 s. An allocation is valid for half of it.
    pub contact_timeout: Duration,
    /// Sets how long an allocator can allocate without renewing its lease: 1 s to 60 s, by default 2 s.
    pub allocator_lease: Duration,
    /// Maps the name of a tenant to its quota.
    pub tenants: BTreeMap<String, QuotaConfig>,
}

/// Configures the quota of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaConfig {
    /// Limits the requests per second of the whole fleet: 0.1 to 1,000,000.
    pub rate: f64,
    /// Limits the unused requests that accumulate for a burst: 1 or more, by default those of 0.2 s.
    pub burst: f64,
    /// What a balancer admits while it is disconnected from the allocator.
    pub when_disconnected: DisconnectedPolicy,
}

/// Says what a balancer admits while it is disconnected from the allocator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DisconnectedPolicy {
    /// It admits nothing once its allocations have expired.
    Strict,
    /// It admits this many requests per second.
    Floor(f64),
    /// It admits an even share of the rate, divided by the number of balancers in its settings.
    EvenShare,
}

/// Configures the leases that balancers grant each other. The values must be the same for all balancers of a
/// fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct LeasesConfig {
    /// Sets how long a lease is held without renewal: 1 s to 5 min, by default 10 s.
    pub duration: Duration,
    /// Maps the name of a permit to the number of balancers that can hold it at a time: 1 to 16.
    pub permits: BTreeMap<String, u16>,
}

/// Configures how a balancer finds its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// Names the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Where it receives datagrams.
    pub listen_address: SocketAddr,
    /// Where peers reach it; by default the listen address.
    pub advertised_address: SocketAddr,
    /// Holds the path of a file with one or two keys, each a line of 64 hexadecimal digits.
    pub key_file: PathBuf,
    /// Holds the zone that it announces to its peers; empty for none.
    pub zone: String,
    /// Lists the addresses that it contacts to find a first peer.
    pub seeds: Vec<SocketAddr>,
    /// Maps names to addresses of three, five or seven balancers, or is empty.
    pub registry_replicas: BTreeMap<String, SocketAddr>,
    /// Sets the interval at which one peer is probed: 100 ms to 10 s, by default 1 s.
    pub protocol_period: Duration,
    /// Sets how long it can be disconnected from a majority of replicas before it reduces its own share: 1 s
    /// to 60 s, by default 3 s.
    pub membership_lease_duration: Duration,
    /// Limits the assumed drift between clocks, as a ratio: up to 0.2, by default 0.05.
    pub clock_drift_ratio: f64,
    /// Sets the ratio of the capacity that is reserved for balancers that are not counted. Without it, the
    /// number of balancers in the settings is the minimum that is assumed.
    pub reserve_ratio: Option<f64>,
}

/// Configures where a balancer stores its recovery state, and how often.
#[derive(Clone, Debug, PartialEq)]
pub struct StateConfig {
    /// Holds an absolute path, since a process can be started in any directory.
    pub directory: PathBuf,
    /// Sets the time between writes: 100 ms to 60 s, by default 1 s.
    pub interval: Duration,
}

/// Holds the result of a check.
pub struct CheckedFleetConfig {
    /// Holds the configuration, or `None` if any finding is an error.
    pub config: Option<FleetConfig>,
    /// Lists the findings in the order of the file.
    pub findings: Vec<Finding>,
}

/// Parses and checks the text of a fleet file.
pub fn check(text: &str) -> CheckedFleetConfig {
    let mut findings = Findings::default();
    let config = parse(text, &mut findings)
        .map(|table| read_file(TableReader::new("the file", 0..0, table.get_ref()), &mut findings));
    let config = config.filter(|_| !findings.has_error());
    CheckedFleetConfig { config, findings: findings.into_sorted() }
}

fn read_file(mut file: TableReader, findings: &mut Findings) -> FleetConfig {
    let state = section(&mut file, "state", findings).and_then(|table| sections::read_state(table, findings));
    let peers = section(&mut file, "peers", findings).and_then(|table| peers::read_peers(table, findings));
    let replicas = match &peers {
        Some(peers) if !peers.registry_replicas.is_empty() => Replicas::Configured,
        _ => Replicas::Missing,
    };
    let leases =
        section(&mut file, "leases", findings).map(|table| sections::read_leases(table, replicas, findings));
    let quotas =
        section(&mut file, "limits", findings).map(|table| quotas::read_quotas(table, replicas, findings));
    let fault_reports = section(&mut file, "verdicts", findings)
        .map(|table| sections::read_fault_reports(table, replicas, findings));
    file.reject_unknown_fields(findings);
    FleetConfig { state, peers, leases, quotas, fault_reports }
}

fn section<'t, 'a>(
    file: &mut TableReader<'t, 'a>,
    name: &'static str,
    findings: &mut Findings,
) -> Option<TableReader<'t, 'a>> {
    file.get(name).and_then(|value| TableReader::from_value(name, value, findings))
}

/// Says whether the peers have registry replicas.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Replicas {
    Configured,
    Missing,
}
