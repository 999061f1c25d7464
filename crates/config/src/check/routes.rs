//! Reads the routes: which requests they match, which values they take from a request, and whether it can be
//! retried.

use std::ops::Range;
use std::time::Duration;

use doorproxy_routes::pattern::{HostPattern, PathPattern, PatternError, RoutePattern};
use toml::de::DeValue;

use super::compare::path_shape;
use super::{Declarations, ParsedRoute};
use crate::finding::{Code, nearest_name_hint};
use crate::sidecar::{
    DedupScope, EndpointSource, Idempotency, Pool, RequestClass, Route, StaticEndpoint, ValueSource,
};
use crate::table::{Findings, Located, TableReader, TomlValue};

/// Lists the methods that RFC 9110 defines as safe: a client does not request a change with them.
const SAFE_METHODS: [&str; 4] = ["GET", "HEAD", "OPTIONS", "TRACE"];
/// Lists the methods that a route can name.
pub const METHODS: [&str; 8] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "TRACE"];
const VALUE_SOURCES: [&str; 5] = ["header", "cookie", "query", "path", "fixed"];
/// Sets the minimum length, in bytes, of the reason for retrying unsafe methods.
const MIN_REASON_LENGTH: usize = 8;

/// Reads the routes in the order of the file. A route that is incomplete because of an error is left out.
pub fn read_routes(
    file: &mut TableReader,
    declarations: &Declarations,
    findings: &mut Findings,
) -> Vec<ParsedRoute> {
    let values = file.array("route", findings).iter().enumerate();
    let reader = RouteReader { declarations };
    values.filter_map(|(index, value)| reader.read_route(index, value, findings)).collect()
}

struct RouteReader<'d> {
    declarations: &'d Declarations,
}

/// Holds the fields of a route, as written.
struct RouteFields {
    name: Option<Located<String>>,
    path: Option<PathPattern>,
    hosts: Vec<Located<String>>,
    methods: Vec<Located<String>>,
    class: Option<Located<String>>,
    pool: Option<Located<String>>,
    unsafe_retry_reason: Option<Located<String>>,
    /// Lists the required header fields, sorted, with names in lower case.
    headers: Vec<(String, String)>,
    key: Option<ValueSource>,
    cost_estimate: Option<ValueSource>,
    tenant: Option<ValueSource>,
    timeout: Option<Located<Duration>>,
    spans: RouteSpans,
}

struct RouteSpans {
    route: Range<usize>,
    class: Range<usize>,
    methods: Range<usize>,
}

impl RouteReader<'_> {
    fn read_route(&self, index: usize, value: &TomlValue, findings: &mut Findings) -> Option<ParsedRoute> {
        let table = TableReader::from_value(format!("route {}", index + 1), value, findings)?;
        let mut fields = self.read_fields(table, findings);
        let class_names = self.declarations.classes.iter().map(|class| class.name.as_str());
        let class =
            resolve_name(Code::UnknownCategory, fields.class.take(), "category", class_names, findings);
        let pool_names = self.declarations.pools.iter().map(|pool| pool.name.as_str());
        let pool = resolve_name(Code::UnknownPool, fields.pool.take(), "pool", pool_names, findings);
        let hosts = self.read_hosts(&fields.hosts, findings);
        let methods = read_methods(&fields.methods, findings);
        let class_config = class.map(|index| &self.declarations.classes[index]);
        let pool_config = pool.map(|index| &self.declarations.pools[index]);
        if let Some(class) = class_config {
            check_unsafe_retries(&fields, &methods, class, findings);
        }
        if let (Some(class), Some(pool)) = (class_config, pool_config) {
            check_dedup_scope(&fields, class, pool, findings);
        }
        if let Some(class) = class_config {
            check_timeout(&fields, class, findings);
        }
        let (path, class, pool) = (fields.path?, class?, pool?);
        let derived_name = || format!("{} {}", methods.join(","), path_shape(&path)).trim().to_string();
        let name = fields.name.map_or_else(derived_name, |name| name.value);
        let class_timeout = self.declarations.classes[class].timeout;
        let route = Route {
            name,
            class,
            pool,
            key: fields.key,
            cost_estimate: fields.cost_estimate,
            tenant: fields.tenant,
            timeout: fields.timeout.map_or(class_timeout, |timeout| timeout.value),
            unsafe_retry_reason: fields.unsafe_retry_reason.map(|reason| reason.value),
        };
        let headers = fields.headers;
        let pattern = |host| RoutePattern {
            host,
            path: path.clone(),
            methods: methods.clone(),
            headers: headers.clone(),
        };
        let patterns = hosts.into_iter().map(pattern).collect();
        Some(ParsedRoute { route, patterns, span: fields.spans.route })
    }

    fn read_fields(&self, mut table: TableReader, findings: &mut Findings) -> RouteFields {
        let name = table.string("name", findings);
        let path = table.required_string("path", findings);
        let hosts = table.strings("hosts", findings);
        let methods = table.strings("methods", findings);
        let class = table.required_string("category", findings);
        let pool = table.required_string("pool", findings);
        let unsafe_retry_reason = table.string("may_repeat_unsafe", findings);
        let headers = read_headers(&mut table, findings);
        let path = path.and_then(|path| read_path(path, findings));
        let key = read_value_source(&mut table, "key", path.as_ref(), findings);
        let cost_estimate = read_value_source(&mut table, "hint", path.as_ref(), findings);
        let tenant = read_value_source(&mut table, "tenant", path.as_ref(), findings);
        self.check_tenant(tenant.as_ref(), &table, findings);
        let timeout = table.duration("ttl", ("1ms", "60m"), findings);
        let spans = RouteSpans {
            route: table.span.clone(),
            class: table.span_of("category"),
            methods: table.span_of("methods"),
        };
        table.reject_unknown_fields(findings);
        RouteFields {
            name,
            path,
            hosts,
            methods,
            class,
            pool,
            unsafe_retry_reason,
            headers,
            key,
            cost_estimate,
            tenant,
            timeout,
            spans,
        }
    }

    /// Checks that a tenant with a fixed name is declared in the file.
    fn check_tenant(&self, tenant: Option<&ValueSource>, table: &TableReader, findings: &mut Findings) {
        let Some(ValueSource::Fixed(name)) = tenant else { return };
        let mut known = self.declarations.tenants.iter().map(|tenant| tenant.name.as_str());
        if known.clone().any(|known| known == name) {
            return;
        }
        let hint = nearest_name_hint(name, &mut known);
        let message = format!("tenant {name:?} is not declared{hint}");
        findings.error(Code::UnknownTenant, table.span_of("tenant"), message);
    }

    /// Parses the hosts of a route. Without hosts, it matches any.
    fn read_hosts(&self, hosts: &[Located<String>], findings: &mut Findings) -> Vec<HostPattern> {
        if hosts.is_empty() {
            return vec![HostPattern::Any];
        }
        let mut patterns = Vec::new();
        for host in hosts {
            match HostPattern::parse(&host.value) {
                Ok(pattern) => {
                    if let HostPattern::Exact(name) = &pattern {
                        let name = Located { value: name.clone(), span: host.span.clone() };
                        self.declarations.known_hosts.check(&name, "host", findings);
                    }
                    patterns.push(pattern);
                }
                Err(error) => {
                    let message = format!("host {:?} is invalid: {error}", host.value);
                    findings.error(Code::BadPattern, host.span.clone(), message);
                }
            }
        }
        patterns
    }
}

fn resolve_name<'a>(
    code: Code,
    name: Option<Located<String>>,
    what: &str,
    known: impl Iterator<Item = &'a str> + Clone,
    findings: &mut Findings,
) -> Option<usize> {
    let name = name?;
    let index = known.clone().position(|known| known == name.value);
    if index.is_none() {
        let hint = nearest_name_hint(&name.value, known);
        findings.error(code, name.span, format!("{what} {:?} is not declared{hint}", name.value));
    }
    index
}

fn read_headers(table: &mut TableReader, findings: &mut Findings) -> Vec<(String, String)> {
    let mut headers = Vec::new();
    for entry in table.entries("fields", findings) {
        match entry.value.get_ref() {
            DeValue::String(text) => headers.push((entry.name.value.to_ascii_lowercase(), text.to_string())),
            _ => {
                let message = "each value of fields must be a string, the required value of a header field";
                findings.error(Code::WrongType, entry.name.span, message);
            }
        }
    }
    headers.sort();
    headers
}

fn read_path(path: Located<String>, findings: &mut Findings) -> Option<PathPattern> {
    let Located { value: text, span } = path;
    match PathPattern::parse(&text) {
        Ok(pattern) => return Some(pattern),
        Err(error @ PatternError::Unreachable(_)) => {
            findings.error(Code::RouteShadowed, span, format!("path {text:?} never matches: {error}"));
        }
        Err(error) => {
            findings.error(Code::BadPattern, span, format!("path {text:?} is invalid: {error}"));
        }
    }
    None
}

fn read_value_source(
    table: &mut TableReader,
    field: &'static str,
    path: Option<&PathPattern>,
    findings: &mut Findings,
) -> Option<ValueSource> {
    let Located { value, span } = table.string(field, findings)?;
    let parts = value.split_once(':');
    let Some((kind, name)) = parts.filter(|(kind, name)| VALUE_SOURCES.contains(kind) && !name.is_empty())
    else {
        let message = format!(
            "{field} must be \"header:NAME\", \"cookie:NAME\", \"query:NAME\", \"path:NAME\" or \
            \"fixed:VALUE\", not {value:?}"
        );
        findings.error(Code::OutOfBounds, span, message);
        return None;
    };
    match kind {
        "header" => Some(ValueSource::Header(name.to_ascii_lowercase())),
        "cookie" => Some(ValueSource::Cookie(name.to_string())),
        "query" => Some(ValueSource::Query(name.to_string())),
        "fixed" => Some(ValueSource::Fixed(name.to_string())),
        _ => {
            let index = path.and_then(|path| path.parameter_index(name));
            if index.is_none() {
                findings.error(
                    Code::UnknownParameter,
                    span,
                    format!("{field}: the path has no parameter {{{name}}}"),
                );
            }
            index.map(ValueSource::PathSegment)
        }
    }
}

/// Returns the valid methods, sorted, and adds a finding for each invalid one.
fn read_methods(methods: &[Located<String>], findings: &mut Findings) -> Vec<String> {
    let mut valid = Vec::new();
    for method in methods {
        if METHODS.contains(&method.value.as_str()) {
            valid.push(method.value.clone());
            continue;
        }
        let hint = nearest_name_hint(&method.value.to_ascii_uppercase(), METHODS);
        let message = format!("method {:?} is not one of {}{hint}", method.value, METHODS.join(", "));
        findings.error(Code::BadPattern, method.span.clone(), message);
    }
    valid.sort();
    valid
}

/// Checks that a route of a class that allows retries names only safe methods, or states why retries do no
/// harm.
fn check_unsafe_retries(
    fields: &RouteFields,
    methods: &[String],
    class: &RequestClass,
    findings: &mut Findings,
) {
    let names_methods = !fields.methods.is_empty();
    let unsafe_method = methods.iter().find(|method| !SAFE_METHODS.contains(&method.as_str()));
    let matches_unsafe_methods = !names_methods || unsafe_method.is_some();
    let reason = fields.unsafe_retry_reason.as_ref().map_or("", |reason| reason.value.trim());
    let is_allowed = class.idempotency == Idempotency::NonIdempotent || reason.len() >= MIN_REASON_LENGTH;
    if is_allowed || !matches_unsafe_methods {
        return;
    }
    let what = match unsafe_method {
        Some(method) => format!("matches {method}, which is not a safe method"),
        None => "names no methods, so it matches POST and other unsafe methods".to_string(),
    };
    let message = format!(
        "this route {what}, but its category {:?} allows retries ({}); name only safe methods, choose a \
        category with repeats = \"never\", or state in may_repeat_unsafe why a retry does no harm",
        class.name,
        class.idempotency.describe()
    );
    let spans = &fields.spans;
    let span = if names_methods { &spans.methods } else { &spans.class };
    findings.error(Code::OrderRetriable, span.clone(), message);
}

/// Checks that static endpoints state the zone or cell within which they drop duplicates. Those without one
/// would count as one scope, and retries would go to endpoints that do not drop them.
fn check_dedup_scope(fields: &RouteFields, class: &RequestClass, pool: &Pool, findings: &mut Findings) {
    let Idempotency::Deduplicated(scope, _) = class.idempotency else { return };
    let EndpointSource::Static(endpoints) = &pool.source else { return };
    let lacks_scope = |endpoint: &&StaticEndpoint| match scope {
        DedupScope::All => false,
        DedupScope::Zone => endpoint.zone.is_none(),
        DedupScope::Cell => endpoint.cell.is_none(),
    };
    if let Some(endpoint) = endpoints.iter().find(lacks_scope) {
        let scope = scope.as_str();
        let message = format!(
            "category {:?} is deduplicated per {scope}, but server {:?} has no {scope}",
            class.name, endpoint.name
        );
        findings.error(Code::MissingField, fields.spans.class.clone(), message);
    }
}

fn check_timeout(fields: &RouteFields, class: &RequestClass, findings: &mut Findings) {
    let Some(timeout) = &fields.timeout else { return };
    if timeout.value > class.timeout {
        let message = format!(
            "ttl of this route is {:?}, longer than the {:?} of its category",
            timeout.value, class.timeout
        );
        findings.error(Code::BudgetOverTtl, timeout.span.clone(), message);
    }
}
