//! Reads the pools: their endpoints, and which endpoint kind owns which keys.

use std::net::{IpAddr, SocketAddr};

use super::key_ranges::{EndpointKinds, KeyRangeReader};
use super::known_hosts::KnownHosts;
use super::listeners::read_address;
use crate::finding::Code;
use crate::sidecar::{EndpointSource, ListenAddress, Pool, StaticEndpoint};
use crate::table::{Findings, Located, NamedValue, TableReader, TomlValue};

const DEFAULT_KIND: &str = "k";

/// Reads the pools, sorted by name. They depend on the listeners, since a sidecar must not send to itself.
pub fn read_pools(
    file: &mut TableReader,
    listeners: &[ListenAddress],
    known_hosts: &KnownHosts,
    findings: &mut Findings,
) -> Vec<Pool> {
    let reader = PoolReader { listeners, known_hosts };
    let entries = file.entries("pool", findings).into_iter();
    entries.filter_map(|entry| reader.read_pool(entry, findings)).collect()
}

/// Reads pools, and holds what they are checked against.
struct PoolReader<'c> {
    listeners: &'c [ListenAddress],
    known_hosts: &'c KnownHosts,
}

/// Holds an endpoint with the positions of its name and its address.
struct ParsedEndpoint {
    endpoint: StaticEndpoint,
    name: Located<String>,
    address: Located<SocketAddr>,
}

impl PoolReader<'_> {
    fn read_pool(&self, entry: NamedValue, findings: &mut Findings) -> Option<Pool> {
        let pool = entry.name;
        let mut table = TableReader::from_value(format!("pool {:?}", pool.value), entry.value, findings)?;
        let discovery = read_address(&mut table, "discovery", findings);
        if let Some(address) = discovery {
            let address = Located { value: address, span: table.span_of("discovery") };
            self.check_loop(&address, findings);
        }
        let endpoints = self.read_endpoints(&pool.value, &mut table, findings);
        let default_kind = table.string("default", findings);
        let source = match discovery {
            Some(address) => EndpointSource::Discovery(address),
            None => EndpointSource::Static(endpoints),
        };
        check_source(&pool, &source, &table, findings);
        let kinds = EndpointKinds::of_source(&source);
        if let Some(kind) = &default_kind
            && !kinds.contains(&kind.value)
        {
            let hint = kinds.hint(&kind.value);
            let message =
                format!("default kind {:?} has no server in pool {:?}{hint}", kind.value, pool.value);
            findings.error(Code::RangeWithoutGroup, kind.span.clone(), message);
        }
        let reader = KeyRangeReader { pool: &pool.value, kinds, has_default: default_kind.is_some() };
        let key_ranges = reader.read(&mut table, findings);
        table.reject_unknown_fields(findings);
        let default_kind = default_kind.map(|kind| kind.value);
        Some(Pool { name: pool.value, source, default_kind, key_ranges })
    }

    fn read_endpoints(
        &self,
        pool: &str,
        table: &mut TableReader,
        findings: &mut Findings,
    ) -> Vec<StaticEndpoint> {
        let mut endpoints: Vec<StaticEndpoint> = Vec::new();
        for value in table.array("servers", findings) {
            let Some(parsed) = read_endpoint(pool, value, findings) else { continue };
            self.known_hosts.check(&parsed.name, "server", findings);
            check_duplicates(pool, &parsed, &endpoints, findings);
            self.check_loop(&parsed.address, findings);
            endpoints.push(parsed.endpoint);
        }
        endpoints
    }

    /// Adds a finding if the address is one of the sidecar's own, where it would forward requests to itself
    /// endlessly.
    fn check_loop(&self, address: &Located<SocketAddr>, findings: &mut Findings) {
        let Located { value, span } = address;
        if self.listeners.iter().any(|listener| is_reached_at(listener, *value)) {
            let message = format!("{value} is an address on which this sidecar itself listens");
            findings.error(Code::LoopToSelf, span.clone(), message);
        }
    }
}

fn is_reached_at(listener: &ListenAddress, address: SocketAddr) -> bool {
    let ListenAddress::Tcp(listener) = listener else { return false };
    let reaches = |ip: IpAddr| ip == address.ip() || ip.is_unspecified() && address.ip().is_loopback();
    listener.port() == address.port() && reaches(listener.ip())
}

fn read_endpoint(pool: &str, value: &TomlValue, findings: &mut Findings) -> Option<ParsedEndpoint> {
    let mut table = TableReader::from_value(format!("a server of pool {pool:?}"), value, findings)?;
    let name = table.required_string("name", findings);
    let address = read_address(&mut table, "address", findings);
    if address.is_none() && !table.has("address") {
        let message = format!("{} is missing the required field address", table.description);
        findings.error(Code::MissingField, table.span.clone(), message);
    }
    let zone = table.string("zone", findings).map(|zone| zone.value);
    let has_cell = table.has("cell");
    let cell = table.number("cell", (0.0, 65535.0), 0.0, findings) as u16;
    let kind = table.string("kind", findings).map_or(DEFAULT_KIND.to_string(), |kind| kind.value);
    let weight = table.number("size", (0.001, 1e6), 1.0, findings);
    let address_span = table.span_of("address");
    table.reject_unknown_fields(findings);
    let (name, address) = (name?, address?);
    let endpoint = StaticEndpoint {
        name: name.value.clone(),
        address,
        zone,
        cell: has_cell.then_some(cell),
        kind,
        weight,
    };
    Some(ParsedEndpoint { endpoint, name, address: Located { value: address, span: address_span } })
}

fn check_duplicates(pool: &str, parsed: &ParsedEndpoint, known: &[StaticEndpoint], findings: &mut Findings) {
    let ParsedEndpoint { name, address, .. } = parsed;
    if known.iter().any(|endpoint| endpoint.name == name.value) {
        let message = format!("pool {pool:?} has two servers named {:?}", name.value);
        findings.error(Code::DuplicateName, name.span.clone(), message);
    }
    if known.iter().any(|endpoint| endpoint.address == address.value) {
        let message = format!("pool {pool:?} has two servers at {}", address.value);
        findings.error(Code::DuplicateName, address.span.clone(), message);
    }
}

/// Checks that a pool has exactly one source. An invalid discovery address has already added a finding.
fn check_source(
    pool: &Located<String>,
    source: &EndpointSource,
    table: &TableReader,
    findings: &mut Findings,
) {
    let has_discovery = table.has("discovery");
    if has_discovery && table.has("servers") {
        let message = format!("pool {:?} has both servers and discovery; remove one of them", pool.value);
        findings.error(Code::DuplicateName, table.span_of("discovery"), message);
    }
    if let EndpointSource::Static(endpoints) = source
        && endpoints.is_empty()
        && !has_discovery
    {
        let message =
            format!("pool {:?} has neither servers nor discovery, so it has no endpoints", pool.value);
        findings.error(Code::EmptyPool, pool.span.clone(), message);
    }
}
