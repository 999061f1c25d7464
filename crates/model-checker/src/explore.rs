//! The breadth-first search.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::exploration::{Exploration, Violation};
use crate::model::Model;

/// Records how a state was first reached.
struct VisitedState<Step> {
    /// Holds the index of the previous state and the step from there, or `None` for an initial state.
    predecessor: Option<(usize, Step)>,
}

/// Holds a visited state whose successors are not visited yet.
struct FrontierState<State> {
    index: usize,
    state: State,
}

/// Holds the states at one distance from the initial states.
type Frontier<M> = Vec<FrontierState<<M as Model>::State>>;

struct Search<'a, M: Model> {
    model: &'a M,
    max_states: usize,
    fingerprints: HashSet<u64>,
    visited: Vec<VisitedState<M::Step>>,
    is_truncated: bool,
}

/// Visits the states up to `max_depth` steps away from the initial states, until the first violation. It
/// visits all initial states, and further states only while fewer than `max_states` were visited.
pub fn explore<M: Model>(model: &M, max_depth: usize, max_states: usize) -> Exploration {
    let mut search =
        Search { model, max_states, fingerprints: HashSet::new(), visited: Vec::new(), is_truncated: false };
    let mut frontier = search.initial_frontier();
    let mut depth = 0;
    loop {
        let violation = search.first_violation(&frontier);
        if violation.is_some() {
            return search.into_exploration(depth, violation);
        }
        if depth == max_depth {
            search.is_truncated |= !frontier.is_empty();
            break;
        }
        frontier = search.expand(frontier);
        if frontier.is_empty() {
            break;
        }
        depth += 1;
    }
    search.into_exploration(depth, None)
}

impl<M: Model> Search<'_, M> {
    fn initial_frontier(&mut self) -> Frontier<M> {
        let mut frontier = Vec::new();
        for state in self.model.initial_states() {
            if self.fingerprints.insert(fingerprint(&state)) {
                frontier.push(self.visit(None, state));
            }
        }
        frontier
    }

    fn visit(&mut self, predecessor: Option<(usize, M::Step)>, state: M::State) -> FrontierState<M::State> {
        let index = self.visited.len();
        self.visited.push(VisitedState { predecessor });
        FrontierState { index, state }
    }

    fn first_violation(&self, frontier: &Frontier<M>) -> Option<Violation> {
        frontier.iter().find_map(|FrontierState { index, state }| {
            let reason = self.model.check_invariant(state).err()?;
            Some(Violation { reason, trace: self.trace_to(*index) })
        })
    }

    /// Returns the successors of the frontier that were not visited before.
    fn expand(&mut self, frontier: Frontier<M>) -> Frontier<M> {
        let mut next = Vec::new();
        for FrontierState { index, state } in frontier {
            for (step, successor) in self.model.successors(&state) {
                let fingerprint = fingerprint(&successor);
                if self.fingerprints.contains(&fingerprint) {
                    continue;
                }
                if self.visited.len() >= self.max_states {
                    self.is_truncated = true;
                    continue;
                }
                self.fingerprints.insert(fingerprint);
                next.push(self.visit(Some((index, step)), successor));
            }
        }
        next
    }

    fn trace_to(&self, mut index: usize) -> Vec<String> {
        let mut trace = Vec::new();
        while let Some((predecessor, step)) = &self.visited[index].predecessor {
            trace.push(format!("{step:?}"));
            index = *predecessor;
        }
        trace.reverse();
        trace
    }

    fn into_exploration(self, depth: usize, violation: Option<Violation>) -> Exploration {
        Exploration { state_count: self.visited.len(), depth, is_truncated: self.is_truncated, violation }
    }
}

fn fingerprint(state: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}
