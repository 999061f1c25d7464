//! Stores the path patterns of one host in a tree of segments.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::PatternIndex;
use crate::pattern::{RoutePattern, SegmentPattern};

type NodeIndex = usize;

const ROOT: NodeIndex = 0;

#[derive(Default)]
struct Node {
    literal_children: BTreeMap<String, NodeIndex>,
    parameter_child: Option<NodeIndex>,
    /// Lists the patterns whose path ends here, the most specific first.
    exact_patterns: Vec<PatternIndex>,
    /// Lists the patterns that match all paths below this node, the most specific first.
    prefix_patterns: Vec<PatternIndex>,
}

impl Node {
    fn child(&self, segment: &SegmentPattern) -> Option<NodeIndex> {
        match segment {
            SegmentPattern::Literal(text) => self.literal_children.get(text).copied(),
            SegmentPattern::Parameter(_) => self.parameter_child,
        }
    }

    fn set_child(&mut self, segment: &SegmentPattern, child: NodeIndex) {
        match segment {
            SegmentPattern::Literal(text) => {
                self.literal_children.insert(text.clone(), child);
            }
            SegmentPattern::Parameter(_) => self.parameter_child = Some(child),
        }
    }
}

/// Holds a tree of path segments. Nodes refer to each other by index; the first is the root.
pub struct PathTree {
    nodes: Vec<Node>,
}

impl PathTree {
    /// Creates a tree without patterns.
    pub fn new() -> PathTree {
        PathTree { nodes: vec![Node::default()] }
    }

    /// Adds a pattern at the node of its path.
    pub fn insert(&mut self, index: PatternIndex, pattern: &RoutePattern) {
        let mut node = ROOT;
        for segment in &pattern.path.segments {
            node = self.child_or_new(node, segment);
        }
        let node = &mut self.nodes[node];
        if pattern.path.is_prefix {
            node.prefix_patterns.push(index);
        } else {
            node.exact_patterns.push(index);
        }
    }

    fn child_or_new(&mut self, parent: NodeIndex, segment: &SegmentPattern) -> NodeIndex {
        if let Some(child) = self.nodes[parent].child(segment) {
            return child;
        }
        let child = self.nodes.len();
        self.nodes.push(Node::default());
        self.nodes[parent].set_child(segment, child);
        child
    }

    /// Sorts the patterns of each node: those with more header fields come first, then those that name their
    /// methods. Equal ones keep their order.
    pub fn sort_by_specificity(&mut self, patterns: &[RoutePattern]) {
        let rank = |index: &PatternIndex| {
            let pattern = &patterns[*index];
            (Reverse(pattern.headers.len()), pattern.methods.is_empty())
        };
        for node in &mut self.nodes {
            node.exact_patterns.sort_by_key(rank);
            node.prefix_patterns.sort_by_key(rank);
        }
    }

    /// Returns the most specific pattern that matches a path and satisfies `matches`.
    pub fn find(&self, path: &[String], matches: &impl Fn(PatternIndex) -> bool) -> Option<PatternIndex> {
        self.find_below(ROOT, path, matches)
    }

    fn find_below(
        &self,
        node: NodeIndex,
        path: &[String],
        matches: &impl Fn(PatternIndex) -> bool,
    ) -> Option<PatternIndex> {
        let node = &self.nodes[node];
        let first_match = |patterns: &[PatternIndex]| patterns.iter().copied().find(|index| matches(*index));
        let Some((segment, rest)) = path.split_first() else {
            return first_match(&node.exact_patterns);
        };
        let find_in = |child: NodeIndex| self.find_below(child, rest, matches);
        let literal = node.literal_children.get(segment).copied();
        let parameter = node.parameter_child.filter(|_| !segment.is_empty());
        literal
            .and_then(find_in)
            .or_else(|| parameter.and_then(find_in))
            .or_else(|| first_match(&node.prefix_patterns))
    }
}
