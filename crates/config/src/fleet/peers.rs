//! Reads the `peers` section of a fleet file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use toml::de::DeValue;

use super::PeersConfig;
use super::sections::check_name_length;
use crate::finding::Code;
use crate::table::{Findings, Located, TableReader, TomlValue};

const DEFAULT_PROTOCOL_PERIOD: Duration = Duration::from_secs(1);
const DEFAULT_MEMBERSHIP_LEASE: Duration = Duration::from_secs(3);
const DEFAULT_CLOCK_DRIFT_RATIO: f64 = 0.05;
const DEFAULT_RESERVE_RATIO: f64 = 0.25;
/// Lists the valid numbers of replicas. They are odd, since an even number needs a larger majority without
/// tolerating more failures.
const REPLICA_COUNTS: [usize; 4] = [0, 3, 5, 7];

/// Reads the section. Returns `None` if a required field is missing or invalid.
pub fn read_peers(mut table: TableReader, findings: &mut Findings) -> Option<PeersConfig> {
    let cluster = table.required_string("cluster", findings);
    let listen = table.required_string("listen", findings);
    let listen_address = listen.and_then(|text| parse_address("listen of peers", text, findings));
    let advertised = table.string("at", findings);
    let advertised_address = advertised.and_then(|text| parse_address("at of peers", text, findings));
    let key_file = table.required_string("key", findings);
    let zone = table.string("zone", findings);
    let seeds = read_seeds(&mut table, findings);
    let registry_replicas = read_replicas(&mut table, findings);
    let protocol_period = table.duration("period", ("100ms", "10s"), findings);
    let membership_lease = table.duration("cut_after", ("1s", "60s"), findings);
    let clock_drift_ratio = table.number("drift", (0.0, 0.2), DEFAULT_CLOCK_DRIFT_RATIO, findings);
    let has_reserve = table.has("reserve");
    let reserve_ratio = table.number("reserve", (0.05, 0.5), DEFAULT_RESERVE_RATIO, findings);
    if let Some(cluster) = &cluster {
        check_name_length("cluster of peers", cluster, findings);
    }
    if let Some(zone) = &zone {
        check_name_length("zone of peers", zone, findings);
    }
    let key_file = key_file.and_then(|path| check_key_path(path, findings));
    if seeds.is_empty() && registry_replicas.is_empty() {
        let message =
            "peers has neither seeds nor keepers, so the balancer finds no peer until one contacts it";
        findings.warning(Code::MissingField, table.span.clone(), message);
    }
    table.reject_unknown_fields(findings);
    let listen_address = listen_address?;
    Some(PeersConfig {
        cluster: cluster?.value,
        listen_address,
        advertised_address: advertised_address.unwrap_or(listen_address),
        key_file: key_file?,
        zone: zone.map_or(String::new(), |zone| zone.value),
        seeds,
        registry_replicas,
        protocol_period: protocol_period.map_or(DEFAULT_PROTOCOL_PERIOD, |time| time.value),
        membership_lease_duration: membership_lease.map_or(DEFAULT_MEMBERSHIP_LEASE, |time| time.value),
        clock_drift_ratio,
        reserve_ratio: has_reserve.then_some(reserve_ratio),
    })
}

fn read_seeds(table: &mut TableReader, findings: &mut Findings) -> Vec<SocketAddr> {
    let seeds = table.strings("seeds", findings).into_iter();
    seeds.filter_map(|text| parse_address("an entry of seeds", text, findings)).collect()
}

/// Reads the registry replicas. Two names at one address are an error, since one balancer would count twice
/// in a majority.
fn read_replicas(table: &mut TableReader, findings: &mut Findings) -> BTreeMap<String, SocketAddr> {
    let entries = table.entries("keepers", findings);
    let count = entries.len();
    let mut replicas = BTreeMap::new();
    for entry in entries {
        let name = entry.name;
        check_name_length("a keeper's name", &name, findings);
        let Some(address) = read_replica_address(&name.value, entry.value, findings) else { continue };
        if let Some((other, _)) = replicas.iter().find(|(_, known)| **known == address) {
            let message = format!("keepers {other} and {} have the same address, {address}", name.value);
            findings.error(Code::DuplicateName, name.span, message);
        }
        replicas.insert(name.value, address);
    }
    if !REPLICA_COUNTS.contains(&count) {
        let message = format!(
            "keepers of peers must be 3, 5 or 7 balancers, or none, not {count}: a majority must agree"
        );
        findings.error(Code::OutOfBounds, table.span_of("keepers"), message);
    }
    replicas
}

fn read_replica_address(name: &str, value: &TomlValue, findings: &mut Findings) -> Option<SocketAddr> {
    let what = format!("keeper {name}");
    match value.get_ref() {
        DeValue::String(text) => {
            parse_address(&what, Located { value: text.to_string(), span: value.span() }, findings)
        }
        _ => {
            let message = format!("{what} must be an address, as a string");
            findings.error(Code::WrongType, value.span(), message);
            None
        }
    }
}

fn parse_address(what: &str, text: Located<String>, findings: &mut Findings) -> Option<SocketAddr> {
    let address = text.value.parse().ok();
    if address.is_none() {
        let message = format!(
            "{what} must be an IP address and a port, such as \"10.0.0.4:5002\", not {:?}",
            text.value
        );
        findings.error(Code::BadAddress, text.span, message);
    }
    address
}

/// Checks that the path is absolute, since a process can be started in any directory.
fn check_key_path(path: Located<String>, findings: &mut Findings) -> Option<PathBuf> {
    if Path::new(&path.value).is_absolute() {
        return Some(PathBuf::from(path.value));
    }
    let message = format!("key of peers must be an absolute path, not {:?}", path.value);
    findings.error(Code::OutOfBounds, path.span, message);
    None
}
