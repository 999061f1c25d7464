//! Parses and checks the text of a sidecar's file, and returns all findings together with the configuration
//! if there is no error. A file with which a non-idempotent request could be retried is rejected.

mod classes;
mod compare;
mod key_ranges;
mod known_hosts;
mod limits;
mod listeners;
mod pools;
mod routes;

use std::ops::Range;

use doorproxy_routes::pattern::RoutePattern;
use doorproxy_routes::router::Router;
use toml::Spanned;
use toml::de::DeTable;

use crate::finding::{Code, Finding};
use crate::sidecar::{ListenAddress, Pool, RequestClass, ResourceLimits, Route, SidecarConfig, Tenant};
use crate::table::{Findings, TableReader};
use known_hosts::KnownHosts;

const DEFAULT_NAME: &str = "sidecar";
/// Holds the only valid value of the field `unrouted`.
const NOT_FOUND: &str = "not-found";
/// Replaces a missing quota by one that no tenant reaches, in requests per second.
const UNLIMITED_QUOTA: f64 = 1e9;

/// Holds the result of a check.
pub struct CheckedSidecarConfig {
    /// Holds the configuration, or `None` if any finding is an error.
    pub config: Option<SidecarConfig>,
    /// Lists the findings in the order of the file.
    pub findings: Vec<Finding>,
}

/// Holds the sections that routes refer to.
struct Declarations {
    known_hosts: KnownHosts,
    classes: Vec<RequestClass>,
    pools: Vec<Pool>,
    tenants: Vec<Tenant>,
}

/// Holds a route with its patterns and its position.
struct ParsedRoute {
    route: Route,
    patterns: Vec<RoutePattern>,
    span: Range<usize>,
}

/// Parses and checks the text of a sidecar's file. If an endpoint list is given, servers and hosts must have
/// names from the list or from the file's `roster`.
pub fn check(text: &str, endpoint_list: Option<&[String]>) -> CheckedSidecarConfig {
    let mut findings = Findings::default();
    let config = parse(text, &mut findings).map(|table| {
        let file = TableReader::new("the file", 0..0, table.get_ref());
        read_file(file, endpoint_list, &mut findings)
    });
    let config = config.filter(|_| !findings.has_error());
    CheckedSidecarConfig { config, findings: findings.into_sorted() }
}

/// Parses the file as a table. Otherwise adds a finding and returns `None`.
pub(crate) fn parse<'a>(text: &'a str, findings: &mut Findings) -> Option<Spanned<DeTable<'a>>> {
    let error = match DeTable::parse(text) {
        Ok(table) => return Some(table),
        Err(error) => error,
    };
    let span = error.span().unwrap_or(0..0);
    let message = error.message().lines().next().unwrap_or_default();
    if message.contains("duplicate") {
        let name = text.get(span.clone()).unwrap_or_default();
        findings.error(Code::DuplicateName, span, format!("{name} is defined twice; remove one of them"));
    } else {
        findings.error(Code::NotToml, span, format!("the file is not valid TOML: {message}"));
    }
    None
}

/// Reads the sections in the order in which they depend on each other: classes need the limits, pools the
/// listeners, and routes the classes, pools and tenants.
fn read_file(
    mut file: TableReader,
    endpoint_list: Option<&[String]>,
    findings: &mut Findings,
) -> SidecarConfig {
    let name = file.string("name", findings).map_or(DEFAULT_NAME.to_string(), |name| name.value);
    let known_hosts = KnownHosts::read(&mut file, endpoint_list, findings);
    let limits = limits::read_limits(&mut file, findings);
    let listeners = listeners::read_listeners(&mut file, findings);
    let classes = classes::read_classes(&mut file, &limits, findings);
    let tenants = read_tenants(&mut file, findings);
    let pools = pools::read_pools(&mut file, &listeners, &known_hosts, findings);
    let declarations = Declarations { known_hosts, classes, pools, tenants };
    let routes = routes::read_routes(&mut file, &declarations, findings);
    compare::compare_routes(&routes, findings);
    check_unrouted(&mut file, &routes, findings);
    file.reject_unknown_fields(findings);
    assemble(name, listeners, limits, declarations, routes)
}

fn read_tenants(file: &mut TableReader, findings: &mut Findings) -> Vec<Tenant> {
    let mut tenants = Vec::new();
    for entry in file.entries("tenant", findings) {
        let name = entry.name.value;
        let table = TableReader::from_value(format!("tenant {name:?}"), entry.value, findings);
        if let Some(mut table) = table {
            let quota = table.number("share", (0.001, 1e9), UNLIMITED_QUOTA, findings);
            table.reject_unknown_fields(findings);
            tenants.push(Tenant { name, quota });
        }
    }
    tenants
}

/// Checks that requests are only left without a route if the file says so.
fn check_unrouted(file: &mut TableReader, routes: &[ParsedRoute], findings: &mut Findings) {
    match file.string("unrouted", findings) {
        Some(unrouted) if unrouted.value != NOT_FOUND => {
            let message = format!(
                "unrouted must be {NOT_FOUND:?}, which answers with 404, not {:?}; to route all other \
                requests, add a route with path \"/**\"",
                unrouted.value
            );
            findings.error(Code::OutOfBounds, unrouted.span, message);
        }
        None if !file.has("unrouted") && !compare::has_catch_all(routes) => {
            let message = "some requests match no route; add a route with path \"/**\" and no methods, hosts \
                or fields, or set unrouted = \"not-found\"";
            let last_span = routes.last().map_or(0..0, |route| route.span.clone());
            findings.error(Code::RouteMissing, last_span, message);
        }
        _ => {}
    }
}

fn assemble(
    name: String,
    listeners: Vec<ListenAddress>,
    limits: ResourceLimits,
    declarations: Declarations,
    parsed_routes: Vec<ParsedRoute>,
) -> SidecarConfig {
    let mut routes = Vec::new();
    let mut patterns = Vec::new();
    let mut route_of_pattern = Vec::new();
    for (index, parsed) in parsed_routes.into_iter().enumerate() {
        route_of_pattern.extend(parsed.patterns.iter().map(|_| index));
        patterns.extend(parsed.patterns);
        routes.push(parsed.route);
    }
    SidecarConfig {
        name,
        listeners,
        pools: declarations.pools,
        classes: declarations.classes,
        tenants: declarations.tenants,
        routes,
        router: Router::new(patterns),
        route_of_pattern,
        limits,
    }
}
