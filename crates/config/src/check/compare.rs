//! Compares routes with each other: finds duplicate names, ambiguous patterns, and routes that never match.

use std::collections::BTreeMap;

use doorproxy_routes::pattern::{HostPattern, PathPattern, RoutePattern, SegmentPattern};

use super::ParsedRoute;
use super::routes::METHODS;
use crate::finding::Code;
use crate::table::Findings;

/// Pairs a pattern with the index of its route.
struct IndexedPattern<'a> {
    route: usize,
    pattern: &'a RoutePattern,
}

/// Holds a host and a path without the names of its parameters.
type Shape = (HostPattern, String);

/// Adds the findings that concern two or more routes.
pub fn compare_routes(routes: &[ParsedRoute], findings: &mut Findings) {
    check_names(routes, findings);
    let mut by_shape: BTreeMap<Shape, Vec<IndexedPattern>> = BTreeMap::new();
    for (route, parsed) in routes.iter().enumerate() {
        for pattern in &parsed.patterns {
            let shape = (pattern.host.clone(), path_shape(&pattern.path));
            by_shape.entry(shape).or_default().push(IndexedPattern { route, pattern });
        }
    }
    for patterns in by_shape.values() {
        for (index, pattern) in patterns.iter().enumerate() {
            check_ambiguity(pattern, &patterns[..index], routes, findings);
            check_shadowing(pattern, patterns, routes, findings);
        }
    }
}

/// Returns whether one of the routes matches every request.
pub fn has_catch_all(routes: &[ParsedRoute]) -> bool {
    let is_catch_all = |pattern: &RoutePattern| {
        let RoutePattern { host, path, methods, headers } = pattern;
        let matches_every_path = path.segments.is_empty() && path.is_prefix;
        *host == HostPattern::Any && matches_every_path && methods.is_empty() && headers.is_empty()
    };
    routes.iter().flat_map(|route| &route.patterns).any(is_catch_all)
}

/// Returns the text of a path without the names of its parameters. Two paths that differ only in these match
/// the same requests.
pub fn path_shape(path: &PathPattern) -> String {
    let segment_shape = |segment: &SegmentPattern| match segment {
        SegmentPattern::Literal(text) => format!("/{text}"),
        SegmentPattern::Parameter(_) => "/{}".to_string(),
    };
    let shape: String = path.segments.iter().map(segment_shape).collect();
    if path.is_prefix { shape + "/**" } else { shape }
}

/// Checks that no two routes have the same name. Names that were derived from a path may be equal.
fn check_names(routes: &[ParsedRoute], findings: &mut Findings) {
    let mut names: BTreeMap<&str, usize> = BTreeMap::new();
    for (index, parsed) in routes.iter().enumerate() {
        let name = &parsed.route.name;
        if let Some(first) = names.insert(name, index)
            && !name.contains('/')
        {
            let message = format!("routes {} and {} are both named {name:?}", first + 1, index + 1);
            findings.error(Code::DuplicateName, parsed.span.clone(), message);
        }
    }
}

fn check_ambiguity(
    pattern: &IndexedPattern,
    earlier: &[IndexedPattern],
    routes: &[ParsedRoute],
    findings: &mut Findings,
) {
    let ambiguous = earlier.iter().find(|known| known.pattern.is_ambiguous_with(pattern.pattern));
    if let Some(known) = ambiguous {
        let message = format!(
            "routes {} and {} match the same requests, and neither is more specific",
            known.route + 1,
            pattern.route + 1
        );
        findings.error(Code::RouteAmbiguous, routes[pattern.route].span.clone(), message);
    }
}

/// Checks that a pattern without methods can match: it never does if others of the same shape name every
/// method.
fn check_shadowing(
    pattern: &IndexedPattern,
    patterns: &[IndexedPattern],
    routes: &[ParsedRoute],
    findings: &mut Findings,
) {
    if !pattern.pattern.methods.is_empty() {
        return;
    }
    let others = patterns.iter().filter(|other| other.pattern.headers == pattern.pattern.headers);
    let named_methods: Vec<&String> = others.flat_map(|other| &other.pattern.methods).collect();
    if METHODS.iter().all(|method| named_methods.iter().any(|known| known == method)) {
        let message =
            format!("route {} never matches: others with the same path name every method", pattern.route + 1);
        findings.error(Code::RouteShadowed, routes[pattern.route].span.clone(), message);
    }
}
