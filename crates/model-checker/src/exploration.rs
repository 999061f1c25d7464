//! The result of a search.

use std::fmt;

/// Holds what a search has visited and found. `Display` prints it as a report.
#[derive(Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Counts the distinct states that were visited.
    pub state_count: usize,
    /// Holds the distance of the last visited states from the initial states, in steps.
    pub depth: usize,
    /// Is true if the bound on the depth or on the number of states left out some states.
    pub is_truncated: bool,
    /// Holds the first violation, by its distance from the initial states.
    pub violation: Option<Violation>,
}

/// Describes a state in which the invariant does not hold.
#[derive(Debug, PartialEq, Eq)]
pub struct Violation {
    /// Says what does not hold.
    pub reason: String,
    /// Holds a shortest sequence of steps from an initial state.
    pub trace: Vec<String>,
}

impl fmt::Display for Exploration {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if let Some(violation) = &self.violation {
            return violation.fmt(formatter);
        }
        let note = if self.is_truncated { ", truncated" } else { "" };
        write!(formatter, "{} states, {} steps deep{note}: the invariant holds", self.state_count, self.depth)
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let trace = self.trace.join(", ");
        write!(formatter, "after {} steps: {}\n    {trace}", self.trace.len(), self.reason)
    }
}
