//! The routes of a configuration, arranged so that the most specific one is found without trying them all. The host
//! decides first: one written out, then the longest wildcard, then none. Among those that are left, paths are compared
//! segment by segment from the left, a literal before `{name}` before `**`; alike paths are told apart by more header
//! fields, then by naming methods.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::pattern::{Host, Pattern, Segment};
use crate::request::{Seen, Unclear};

/// A route by its place among those that were given.
pub type Place = usize;

#[derive(Default)]
struct Node {
    literals: BTreeMap<String, usize>,
    any: Option<usize>,
    /// Routes whose path ends here, and those that take what is below, the most specific first.
    ends: Vec<Place>,
    open: Vec<Place>,
}

struct Tree {
    nodes: Vec<Node>,
}

pub struct Router {
    patterns: Vec<Pattern>,
    exact: BTreeMap<String, Tree>,
    below: BTreeMap<String, Tree>,
    any: Tree,
}

impl Tree {
    fn new() -> Tree {
        Tree { nodes: vec![Node::default()] }
    }

    fn add(&mut self, place: Place, pattern: &Pattern) {
        let mut at = 0;
        for segment in &pattern.path.segments {
            let next = match segment {
                Segment::Literal(text) => self.nodes[at].literals.get(text).copied(),
                Segment::Any(_) => self.nodes[at].any,
            };
            at = match next {
                Some(next) => next,
                None => {
                    self.nodes.push(Node::default());
                    let new = self.nodes.len() - 1;
                    match segment {
                        Segment::Literal(text) => drop(self.nodes[at].literals.insert(text.clone(), new)),
                        Segment::Any(_) => self.nodes[at].any = Some(new),
                    }
                    new
                }
            };
        }
        let node = &mut self.nodes[at];
        if pattern.path.is_open { &mut node.open } else { &mut node.ends }.push(place);
    }

    fn sort(&mut self, patterns: &[Pattern]) {
        let rank =
            |place: &Place| (Reverse(patterns[*place].fields.len()), patterns[*place].methods.is_empty());
        for node in &mut self.nodes {
            node.ends.sort_by_key(rank);
            node.open.sort_by_key(rank);
        }
    }

    fn find(&self, at: usize, left: &[String], takes: &impl Fn(Place) -> bool) -> Option<Place> {
        let node = &self.nodes[at];
        let Some((segment, rest)) = left.split_first() else {
            return node.ends.iter().copied().find(|place| takes(*place));
        };
        let literal = node.literals.get(segment).and_then(|&next| self.find(next, rest, takes));
        literal
            .or_else(|| {
                node.any.filter(|_| !segment.is_empty()).and_then(|next| self.find(next, rest, takes))
            })
            .or_else(|| node.open.iter().copied().find(|place| takes(*place)))
    }
}

impl Router {
    /// Of patterns of which no two are alike; see [`Pattern::is_alike`].
    pub fn new(patterns: Vec<Pattern>) -> Router {
        let mut router =
            Router { patterns: Vec::new(), exact: BTreeMap::new(), below: BTreeMap::new(), any: Tree::new() };
        for (place, pattern) in patterns.iter().enumerate() {
            let tree = match &pattern.host {
                Host::Exact(name) => router.exact.entry(name.clone()).or_insert_with(Tree::new),
                Host::Below(name) => router.below.entry(name.clone()).or_insert_with(Tree::new),
                Host::Any => &mut router.any,
            };
            tree.add(place, pattern);
        }
        let trees = router.exact.values_mut().chain(router.below.values_mut()).chain([&mut router.any]);
        trees.for_each(|tree| tree.sort(&patterns));
        router.patterns = patterns;
        router
    }

    pub fn pattern(&self, place: Place) -> &Pattern {
        &self.patterns[place]
    }

    /// The route that takes the request, by its path as it stands.
    pub fn find<'a>(&self, seen: &Seen, field: impl Fn(&str) -> Option<&'a str>) -> Option<Place> {
        self.find_path(&seen.host, &seen.segments, seen.method, &field)
    }

    fn find_path<'a>(
        &self,
        host: &str,
        path: &[String],
        method: &str,
        field: &impl Fn(&str) -> Option<&'a str>,
    ) -> Option<Place> {
        let takes = |place: Place| {
            let Pattern { methods, fields, .. } = &self.patterns[place];
            (methods.is_empty() || methods.iter().any(|known| known == method))
                && fields.iter().all(|(name, value)| field(name) == Some(value))
        };
        let exact = self.exact.get(host).and_then(|tree| tree.find(0, path, &takes));
        exact
            .or_else(|| {
                // From the longest name that it is below to the shortest.
                let mut rest = host;
                while let Some((_, parent)) = rest.split_once('.') {
                    if let Some(found) = self.below.get(parent).and_then(|tree| tree.find(0, path, &takes)) {
                        return Some(found);
                    }
                    rest = parent;
                }
                None
            })
            .or_else(|| self.any.find(0, path, &takes))
    }

    /// The same, but a request is turned away if another spelling of its path belongs to a route that is stricter:
    /// guards against an order that reaches a route which may repeat it, since its server makes no difference between
    /// the two. Strictness grows with what must not be repeated.
    pub fn find_guarded<'a>(
        &self,
        seen: &Seen,
        field: impl Fn(&str) -> Option<&'a str>,
        strictness: impl Fn(Place) -> u8,
    ) -> Result<Option<Place>, Unclear> {
        let found = self.find_path(&seen.host, &seen.segments, seen.method, &field);
        if let Some(place) = found
            && let Some(folded) = seen.folded()
            && let Some(other) = self.find_path(&seen.host, &folded, seen.method, &field)
            && strictness(other) > strictness(place)
        {
            return Err(Unclear::Spelling);
        }
        Ok(found)
    }

    /// Why each of the other routes that could be meant does not take it, in the order in which they were given.
    pub fn passed_over<'a>(
        &self,
        seen: &Seen,
        field: impl Fn(&str) -> Option<&'a str>,
        winner: Option<Place>,
    ) -> Vec<(Place, &'static str)> {
        let why = |pattern: &Pattern| {
            let host = match &pattern.host {
                Host::Exact(name) => *name == seen.host,
                Host::Below(name) => {
                    seen.host.strip_suffix(name).is_some_and(|rest| rest.ends_with('.') && rest.len() > 1)
                }
                Host::Any => true,
            };
            let segments = &pattern.path.segments;
            let is_long_enough = match pattern.path.is_open {
                true => seen.segments.len() > segments.len(),
                false => seen.segments.len() == segments.len(),
            };
            let fits = segments.iter().zip(&seen.segments).all(|(segment, text)| match segment {
                Segment::Literal(literal) => literal == text,
                Segment::Any(_) => !text.is_empty(),
            });
            if !host {
                "another host"
            } else if !is_long_enough || !fits {
                "another path"
            } else if !pattern.methods.is_empty() && !pattern.methods.iter().any(|known| known == seen.method)
            {
                "another method"
            } else if !pattern.fields.iter().all(|(name, value)| field(name) == Some(value)) {
                "a header field differs"
            } else {
                "less specific"
            }
        };
        let others = self.patterns.iter().enumerate().filter(|(place, _)| Some(*place) != winner);
        others.map(|(place, pattern)| (place, why(pattern))).collect()
    }
}
