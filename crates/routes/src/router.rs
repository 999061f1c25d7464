//! Finds the most specific route for a request without trying every route.
//!
//! The host decides first: an exact name wins over the longest matching wildcard, which wins over routes for
//! any host. Among the remaining routes, paths are compared segment by segment from the left: a literal wins
//! over `{name}`, which wins over `**`. Between equal paths, the route with more header fields wins, then the
//! one that names its methods.

mod path_tree;

use std::collections::BTreeMap;
use std::fmt;

use crate::pattern::{HostPattern, RoutePattern};
use crate::request::{InvalidRequest, RequestView};
use path_tree::PathTree;

/// Identifies a pattern by its index in the list that the router was built from.
pub type PatternIndex = usize;

/// Indexes the patterns of a configuration by host and path.
pub struct Router {
    patterns: Vec<RoutePattern>,
    exact_hosts: BTreeMap<String, PathTree>,
    subdomains: BTreeMap<String, PathTree>,
    any_host: PathTree,
}

/// Says why a pattern was not chosen. Of several reasons, the first in this order is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The host differs.
    Host,
    /// The path differs.
    Path,
    /// The pattern names methods, and the method is none of them.
    Method,
    /// A required header field is missing or has another value.
    Header,
    /// The pattern matches, but a more specific one does too.
    LessSpecific,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Mismatch::Host => "the host differs",
            Mismatch::Path => "the path differs",
            Mismatch::Method => "the method differs",
            Mismatch::Header => "a header field differs",
            Mismatch::LessSpecific => "a more specific route matches",
        })
    }
}

/// Pairs a pattern that was not chosen with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PatternMismatch {
    /// Which pattern was not chosen.
    pub pattern: PatternIndex,
    /// Why it was not chosen.
    pub mismatch: Mismatch,
}

impl Router {
    /// Builds a router. No two patterns may be ambiguous; see [`RoutePattern::is_ambiguous_with`].
    pub fn new(patterns: Vec<RoutePattern>) -> Router {
        let mut router = Router {
            patterns: Vec::new(),
            exact_hosts: BTreeMap::new(),
            subdomains: BTreeMap::new(),
            any_host: PathTree::new(),
        };
        for (index, pattern) in patterns.iter().enumerate() {
            router.tree_mut(&pattern.host).insert(index, pattern);
        }
        let named_hosts = router.exact_hosts.values_mut().chain(router.subdomains.values_mut());
        for tree in named_hosts.chain([&mut router.any_host]) {
            tree.sort_by_specificity(&patterns);
        }
        router.patterns = patterns;
        router
    }

    fn tree_mut(&mut self, host: &HostPattern) -> &mut PathTree {
        match host {
            HostPattern::Exact(name) => self.exact_hosts.entry(name.clone()).or_insert_with(PathTree::new),
            HostPattern::Subdomains(name) => {
                self.subdomains.entry(name.clone()).or_insert_with(PathTree::new)
            }
            HostPattern::Any => &mut self.any_host,
        }
    }

    /// Returns the pattern with this index.
    ///
    /// # Panics
    /// Panics if this router has no pattern with the index.
    pub fn pattern(&self, index: PatternIndex) -> &RoutePattern {
        &self.patterns[index]
    }

    /// Returns the most specific pattern that matches a request, by its path as written. `field` is called
    /// with names in lower case.
    pub fn find<'a>(
        &self,
        request: &RequestView,
        field: impl Fn(&str) -> Option<&'a str>,
    ) -> Option<PatternIndex> {
        self.find_path(request, &request.segments, &field)
    }

    /// Finds a pattern like [`Router::find`], but rejects a request if the normalized spelling of its path
    /// matches a stricter route: the endpoint may treat both spellings alike, and the less strict route could
    /// retry a request that must not run twice. A higher `strictness` means that fewer retries are allowed.
    ///
    /// # Errors
    /// Returns [`InvalidRequest::AmbiguousSpelling`] for such a request.
    pub fn find_unambiguous<'a>(
        &self,
        request: &RequestView,
        field: impl Fn(&str) -> Option<&'a str>,
        strictness: impl Fn(PatternIndex) -> u8,
    ) -> Result<Option<PatternIndex>, InvalidRequest> {
        let found = self.find_path(request, &request.segments, &field);
        if let Some(found) = found
            && let Some(normalized) = request.normalized_path()
            && let Some(other) = self.find_path(request, &normalized, &field)
            && strictness(other) > strictness(found)
        {
            return Err(InvalidRequest::AmbiguousSpelling);
        }
        Ok(found)
    }

    /// Explains for each pattern other than the winner why it was not chosen, in the order of the patterns.
    pub fn explain_mismatches<'a>(
        &self,
        request: &RequestView,
        field: impl Fn(&str) -> Option<&'a str>,
        winner: Option<PatternIndex>,
    ) -> Vec<PatternMismatch> {
        let others = self.patterns.iter().enumerate().filter(|(index, _)| Some(*index) != winner);
        let explain = |(index, pattern): (PatternIndex, &RoutePattern)| PatternMismatch {
            pattern: index,
            mismatch: mismatch(pattern, request, &field),
        };
        others.map(explain).collect()
    }

    fn find_path<'a>(
        &self,
        request: &RequestView,
        path: &[String],
        field: &impl Fn(&str) -> Option<&'a str>,
    ) -> Option<PatternIndex> {
        let matches = |index: PatternIndex| {
            let pattern = &self.patterns[index];
            pattern.matches_method(request.method) && pattern.matches_headers(field)
        };
        let host = request.host.as_str();
        let exact = self.exact_hosts.get(host).and_then(|tree| tree.find(path, &matches));
        exact
            .or_else(|| self.find_in_subdomains(host, path, &matches))
            .or_else(|| self.any_host.find(path, &matches))
    }

    /// Tries the parent domains of the host, from the longest to the shortest.
    fn find_in_subdomains(
        &self,
        host: &str,
        path: &[String],
        matches: &impl Fn(PatternIndex) -> bool,
    ) -> Option<PatternIndex> {
        let mut name = host;
        while let Some((_, parent)) = name.split_once('.') {
            let tree = self.subdomains.get(parent);
            if let Some(found) = tree.and_then(|tree| tree.find(path, matches)) {
                return Some(found);
            }
            name = parent;
        }
        None
    }
}

fn mismatch<'a>(
    pattern: &RoutePattern,
    request: &RequestView,
    field: &impl Fn(&str) -> Option<&'a str>,
) -> Mismatch {
    if !pattern.host.matches(&request.host) {
        Mismatch::Host
    } else if !pattern.path.matches(&request.segments) {
        Mismatch::Path
    } else if !pattern.matches_method(request.method) {
        Mismatch::Method
    } else if !pattern.matches_headers(field) {
        Mismatch::Header
    } else {
        Mismatch::LessSpecific
    }
}
