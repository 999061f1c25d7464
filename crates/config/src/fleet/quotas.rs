//! Reads the `limits` section of a fleet file, the fleet-wide quotas.

use std::collections::BTreeMap;
use std::time::Duration;

use super::sections::{check_name_length, require_replicas};
use super::{DisconnectedPolicy, QuotaConfig, QuotasConfig, Replicas};
use crate::finding::Code;
use crate::table::{Findings, TableReader};

const DEFAULT_CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_ALLOCATOR_LEASE: Duration = Duration::from_secs(2);
/// Replaces a missing rate, so that the other fields can still be checked; the missing rate is an error.
const PLACEHOLDER_RATE: f64 = 1.0;
/// Divides the rate to give the default burst, the requests of 0.2 s.
const DEFAULT_BURSTS_PER_SECOND: f64 = 5.0;
const MIN_BURST: f64 = 1.0;

/// Reads the section.
pub fn read_quotas(mut table: TableReader, replicas: Replicas, findings: &mut Findings) -> QuotasConfig {
    let contact_timeout = table.duration("length", ("200ms", "10s"), findings);
    let allocator_lease = table.duration("lease", ("1s", "60s"), findings);
    let mut tenants = BTreeMap::new();
    for entry in table.entries("tenants", findings) {
        check_name_length("a tenant's name", &entry.name, findings);
        let name = entry.name.value;
        if let Some(tenant) = TableReader::from_value(format!("tenant {name}"), entry.value, findings) {
            tenants.insert(name, read_quota(tenant, findings));
        }
    }
    if tenants.is_empty() {
        let message = "limits has no tenants, so no request is limited";
        findings.warning(Code::MissingField, table.span.clone(), message);
    }
    require_replicas("limits", &table, replicas, findings);
    table.reject_unknown_fields(findings);
    QuotasConfig {
        contact_timeout: contact_timeout.map_or(DEFAULT_CONTACT_TIMEOUT, |time| time.value),
        allocator_lease: allocator_lease.map_or(DEFAULT_ALLOCATOR_LEASE, |time| time.value),
        tenants,
    }
}

fn read_quota(mut table: TableReader, findings: &mut Findings) -> QuotaConfig {
    if !table.has("rate") {
        let message = format!(
            "{} is missing the required field rate, the requests per second of the whole fleet",
            table.description
        );
        findings.error(Code::MissingField, table.span.clone(), message);
    }
    let rate = table.number("rate", (0.1, 1e6), PLACEHOLDER_RATE, findings);
    let default_burst = (rate / DEFAULT_BURSTS_PER_SECOND).max(MIN_BURST);
    let burst = table.number("burst", (MIN_BURST, 1e7), default_burst, findings);
    let when_disconnected = read_disconnected_policy(&mut table, rate, findings);
    table.reject_unknown_fields(findings);
    QuotaConfig { rate, burst, when_disconnected }
}

fn read_disconnected_policy(
    table: &mut TableReader,
    rate: f64,
    findings: &mut Findings,
) -> DisconnectedPolicy {
    let is_strict = table.boolean("strict", findings);
    let has_floor = table.has("floor");
    let floor = table.number("floor", (0.01, rate), rate, findings);
    if is_strict && has_floor {
        let message = format!("{} has both strict and floor; remove one of them", table.description);
        findings.error(Code::OutOfBounds, table.span_of("floor"), message);
    }
    match (is_strict, has_floor) {
        (true, _) => DisconnectedPolicy::Strict,
        (false, true) => DisconnectedPolicy::Floor(floor),
        (false, false) => DisconnectedPolicy::EvenShare,
    }
}
