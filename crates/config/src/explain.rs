//! Finds the route of a request, and explains why the other routes do not match it. A running sidecar also
//! calls [`SidecarConfig::match_request`], so an explanation cannot differ from what the sidecar does.

use std::fmt::Write;
use std::time::Duration;

use doorproxy_routes::request::{InvalidRequest, RequestView};
use doorproxy_routes::router::{Mismatch, PatternIndex};

use crate::sidecar::{EndpointSource, ListenAddress, Pool, SidecarConfig, ValueSource};

/// Limits how many routes that do not match are shown.
const MAX_MISMATCHES_SHOWN: usize = 50;

/// Holds the route that matches a request, and the values that it takes from the request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteMatch {
    /// Holds the index of the route.
    pub route: usize,
    /// Holds the index of its class.
    pub class: usize,
    /// Holds the index of its pool.
    pub pool: usize,
    /// Holds the request's key, if it has one.
    pub key: Option<String>,
    /// Holds the cost estimate as the client wrote it, if there is one.
    pub cost_estimate: Option<String>,
    /// Holds the tenant's name, if there is one.
    pub tenant: Option<String>,
    /// Limits how long the request may take.
    pub timeout: Duration,
}

/// Pairs a route that does not match with the reason.
struct RouteMismatch {
    route: usize,
    mismatch: Mismatch,
}

impl SidecarConfig {
    /// Returns the route that matches a request, if any. `field` is called with names in lower case.
    ///
    /// # Errors
    /// Returns an error if another spelling of the path matches a route that allows fewer retries.
    pub fn match_request<'a>(
        &self,
        request: &RequestView,
        field: impl Fn(&str) -> Option<&'a str>,
    ) -> Result<Option<RouteMatch>, InvalidRequest> {
        let strictness = |pattern: PatternIndex| {
            let route = &self.routes[self.route_of_pattern[pattern]];
            self.classes[route.class].idempotency.strictness()
        };
        let Some(pattern) = self.router.find_unambiguous(request, &field, strictness)? else {
            return Ok(None);
        };
        let index = self.route_of_pattern[pattern];
        let route = &self.routes[index];
        let value = |source: &Option<ValueSource>| source.as_ref()?.value_of(request, &field);
        Ok(Some(RouteMatch {
            route: index,
            class: route.class,
            pool: route.pool,
            key: value(&route.key),
            cost_estimate: value(&route.cost_estimate),
            tenant: value(&route.tenant),
            timeout: route.timeout,
        }))
    }

    /// Explains in text how a request is routed. `key_slot` hashes a key to the slot that is looked up in the
    /// ranges.
    ///
    /// # Errors
    /// Returns an error if another spelling of the path matches a route that allows fewer retries.
    pub fn explain<'a>(
        &self,
        request: &RequestView,
        field: impl Fn(&str) -> Option<&'a str>,
        key_slot: impl Fn(&str) -> u64,
    ) -> Result<String, InvalidRequest> {
        let matched = self.match_request(request, &field)?;
        let mut text = match &matched {
            Some(matched) => self.describe_match(matched, key_slot),
            None => "route      none, answered with 404\n".to_string(),
        };
        let matched_route = matched.map(|matched| matched.route);
        let mismatches = self.mismatches(request, field, matched_route)?;
        // Writing to a String cannot fail.
        for RouteMismatch { route, mismatch } in mismatches.iter().take(MAX_MISMATCHES_SHOWN) {
            let _ = writeln!(text, "no match   {} ({}): {mismatch}", route + 1, self.routes[*route].name);
        }
        if mismatches.len() > MAX_MISMATCHES_SHOWN {
            let _ = writeln!(text, "no match   {} more routes", mismatches.len() - MAX_MISMATCHES_SHOWN);
        }
        Ok(text)
    }

    fn describe_match(&self, matched: &RouteMatch, key_slot: impl Fn(&str) -> u64) -> String {
        let route = &self.routes[matched.route];
        let class = &self.classes[matched.class];
        let pool = &self.pools[matched.pool];
        let slot = matched.key.as_deref().map(key_slot);
        let mut text = String::new();
        // Writing to a String cannot fail.
        let _ = writeln!(text, "route      {} ({})", matched.route + 1, route.name);
        let _ = writeln!(text, "category   {}, repeats {}", class.name, class.idempotency.describe());
        if let Some(reason) = &route.unsafe_retry_reason {
            let _ = writeln!(text, "repeats    also unsafe methods, since: {reason}");
        }
        let _ = writeln!(text, "tenant     {}", matched.tenant.as_deref().unwrap_or("none"));
        let _ = match matched.key.as_deref().zip(slot) {
            Some((key, slot)) => writeln!(text, "key        {key:?}, slot {slot:016x}"),
            None => writeln!(text, "key        none"),
        };
        let _ = writeln!(text, "kind       {}", pool.describe_owner(slot));
        let _ = writeln!(text, "pool       {}", pool.name);
        let _ = writeln!(text, "ttl        {:?}, target {:?}", matched.timeout, class.latency_objective);
        text
    }

    /// Lists why each other route does not match, in the order of the routes and each reason once per route.
    fn mismatches<'a>(
        &self,
        request: &RequestView,
        field: impl Fn(&str) -> Option<&'a str>,
        matched_route: Option<usize>,
    ) -> Result<Vec<RouteMismatch>, InvalidRequest> {
        // With equal strictness for all patterns, no spelling is rejected as ambiguous.
        let winner = self.router.find_unambiguous(request, &field, |_| 0)?;
        let mut mismatches: Vec<RouteMismatch> = Vec::new();
        for pattern_mismatch in self.router.explain_mismatches(request, &field, winner) {
            let route = self.route_of_pattern[pattern_mismatch.pattern];
            let mismatch = pattern_mismatch.mismatch;
            let is_listed = mismatches.iter().any(|known| known.route == route && known.mismatch == mismatch);
            if Some(route) != matched_route && !is_listed {
                mismatches.push(RouteMismatch { route, mismatch });
            }
        }
        Ok(mismatches)
    }

    /// Summarizes the configuration in a few lines of text.
    pub fn summary(&self) -> String {
        let listeners: Vec<String> = self.listeners.iter().map(ListenAddress::describe).collect();
        let mut text = format!("{} listens on {}\n", self.name, listeners.join(", "));
        // Writing to a String cannot fail.
        for pool in &self.pools {
            let _ = match &pool.source {
                EndpointSource::Static(endpoints) => {
                    writeln!(text, "pool {}: {} servers", pool.name, endpoints.len())
                }
                EndpointSource::Discovery(address) => {
                    writeln!(text, "pool {}: servers from discovery at {address}", pool.name)
                }
            };
        }
        for class in &self.classes {
            let _ = writeln!(text, "category {}: repeats {}", class.name, class.idempotency.describe());
        }
        let _ = writeln!(text, "{} routes, {} tenants", self.routes.len(), self.tenants.len());
        text
    }
}

impl Pool {
    /// Returns the endpoint kind that owns a slot, or says how the owner is determined.
    fn describe_owner(&self, slot: Option<u64>) -> &str {
        let owns =
            |slot: u64| self.key_ranges.iter().find(|range| (range.first..=range.last).contains(&slot));
        let owner = slot.and_then(owns).map(|range| range.kind.as_str());
        let derived = if self.key_ranges.is_empty() { "from the derived route table" } else { "default" };
        owner.or(self.default_kind.as_deref()).unwrap_or(derived)
    }
}

impl ValueSource {
    /// Returns the value in a request, or `None` if it is missing or empty.
    fn value_of<'a>(&self, request: &RequestView, field: impl Fn(&str) -> Option<&'a str>) -> Option<String> {
        let value = match self {
            ValueSource::Header(name) => field(name)?,
            ValueSource::Cookie(name) => cookie_value(field("cookie")?, name)?,
            ValueSource::Query(name) => query_value(request.query?, name)?,
            ValueSource::PathSegment(index) => request.segments.get(*index)?,
            ValueSource::Fixed(value) => value,
        };
        (!value.is_empty()).then(|| value.to_string())
    }
}

/// Returns the value of the named cookie in a Cookie header field.
fn cookie_value<'a>(cookies: &'a str, name: &str) -> Option<&'a str> {
    let pairs = cookies.split(';').filter_map(|pair| pair.split_once('='));
    let mut trimmed = pairs.map(|(known, value)| (known.trim(), value.trim()));
    trimmed.find(|(known, _)| *known == name).map(|(_, value)| value)
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| value)
}
