//! Reads the `state`, `leases` and `verdicts` sections of a fleet file, and holds the checks that several
//! sections share.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use toml::de::DeValue;

use super::{FaultReportsConfig, LeasesConfig, Replicas, StateConfig};
use crate::finding::Code;
use crate::table::{Findings, Located, TableReader, TomlValue};

const DEFAULT_STATE_INTERVAL: Duration = Duration::from_secs(1);
const DEFAULT_REPORT_LIFETIME: Duration = Duration::from_secs(5);
const DEFAULT_LEASE_DURATION: Duration = Duration::from_secs(10);
const MAX_PERMIT_HOLDERS: u16 = 16;
/// Limits the length of names, since a datagram must fit several of them.
const MAX_NAME_BYTES: usize = 32;

/// Reads the `state` section. Returns `None` if the directory is missing.
pub fn read_state(mut table: TableReader, findings: &mut Findings) -> Option<StateConfig> {
    let directory = table.required_string("folder", findings);
    let interval = table.duration("every", ("100ms", "60s"), findings);
    table.reject_unknown_fields(findings);
    let directory = directory?;
    let path = PathBuf::from(&directory.value);
    if !path.is_absolute() {
        let message = format!("folder of state must be an absolute path, not {:?}", directory.value);
        findings.error(Code::OutOfBounds, directory.span, message);
    }
    let interval = interval.map_or(DEFAULT_STATE_INTERVAL, |interval| interval.value);
    Some(StateConfig { directory: path, interval })
}

/// Reads the `verdicts` section, the fault reports.
pub fn read_fault_reports(
    mut table: TableReader,
    replicas: Replicas,
    findings: &mut Findings,
) -> FaultReportsConfig {
    let lifetime = table.duration("length", ("1s", "60s"), findings);
    require_replicas("verdicts", &table, replicas, findings);
    table.reject_unknown_fields(findings);
    FaultReportsConfig { report_lifetime: lifetime.map_or(DEFAULT_REPORT_LIFETIME, |time| time.value) }
}

/// Reads the `leases` section.
pub fn read_leases(mut table: TableReader, replicas: Replicas, findings: &mut Findings) -> LeasesConfig {
    let duration = table.duration("length", ("1s", "5m"), findings);
    let mut permits = BTreeMap::new();
    for entry in table.entries("permits", findings) {
        check_name_length("a permit's name", &entry.name, findings);
        if let Some(count) = read_holder_count(&entry.name.value, entry.value, findings) {
            permits.insert(entry.name.value, count);
        }
    }
    require_replicas("leases", &table, replicas, findings);
    table.reject_unknown_fields(findings);
    LeasesConfig { duration: duration.map_or(DEFAULT_LEASE_DURATION, |time| time.value), permits }
}

/// Reads how many balancers can hold a permit at a time.
fn read_holder_count(permit: &str, value: &TomlValue, findings: &mut Findings) -> Option<u16> {
    let count = match value.get_ref() {
        DeValue::Integer(number) => u16::from_str_radix(number.as_str(), number.radix()).ok(),
        _ => None,
    };
    let count = count.filter(|count| (1..=MAX_PERMIT_HOLDERS).contains(count));
    if count.is_none() {
        let message = format!(
            "permit {permit} must be the number of balancers that can hold it at a time, from 1 to \
            {MAX_PERMIT_HOLDERS}"
        );
        findings.error(Code::OutOfBounds, value.span(), message);
    }
    count
}

/// Adds a finding to a section that needs registry replicas if there are none.
pub fn require_replicas(what: &str, table: &TableReader, replicas: Replicas, findings: &mut Findings) {
    if replicas == Replicas::Missing {
        let message = format!(
            "{what} needs keepers in peers: three, five or seven balancers, a majority of which must agree"
        );
        findings.error(Code::MissingField, table.span.clone(), message);
    }
}

/// Adds a finding if a name is empty or too long.
pub fn check_name_length(what: &str, name: &Located<String>, findings: &mut Findings) {
    let length = name.value.len();
    if !(1..=MAX_NAME_BYTES).contains(&length) {
        let message = format!("{what} must have 1 to {MAX_NAME_BYTES} bytes, not {length}");
        findings.error(Code::OutOfBounds, name.span.clone(), message);
    }
}
