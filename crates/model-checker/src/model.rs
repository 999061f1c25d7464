//! The interface of a model to be checked.

use std::fmt::Debug;
use std::hash::Hash;

/// Defines a model: its initial states, the possible steps in each state, and an invariant that must hold in
/// every state.
pub trait Model {
    /// Represents a state of the model. States with equal hashes are treated as one, so `Hash` must cover
    /// everything that affects later steps, and should cover nothing else.
    type State: Clone + Hash;
    /// Represents a step from one state to another. Its `Debug` is the text in a trace.
    type Step: Clone + Debug;

    /// Returns the initial states.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Returns all steps that are possible in a state, each with the state after it.
    fn successors(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Checks the invariant in a state.
    ///
    /// # Errors
    /// Returns a text for the report that says what does not hold.
    fn check_invariant(&self, state: &Self::State) -> Result<(), String>;
}

/// Collects the successors of a state.
pub struct Successors<'a, Step, State> {
    state: &'a State,
    successors: Vec<(Step, State)>,
}

impl<'a, Step, State: Clone> Successors<'a, Step, State> {
    /// Creates an empty collection for `state`.
    pub fn new(state: &'a State) -> Successors<'a, Step, State> {
        Successors { state, successors: Vec::new() }
    }

    /// Adds a step. `change` turns a copy of the state into the successor.
    pub fn add(&mut self, step: Step, change: impl FnOnce(&mut State)) {
        let mut successor = self.state.clone();
        change(&mut successor);
        self.successors.push((step, successor));
    }

    /// Returns the successors in the order in which they were added.
    pub fn into_vec(self) -> Vec<(Step, State)> {
        self.successors
    }
}
