//! Errors of reading a scenario.

use thiserror::Error;

/// The reason why a text is not a scenario.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScenarioError {
    /// A line is not valid.
    #[error("line {number}: {text:?}: {problem}")]
    Line {
        /// The line number, from 1.
        number: usize,
        /// The problem of the line.
        #[source]
        problem: LineProblem,
        /// The line without its comment.
        text: String,
    },
    /// The number of balancers, servers or clients is 0.
    #[error("balancers, servers, clients: one of them is 0; each must be at least 1")]
    MissingNode,
}

/// The reason why a line is not valid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum LineProblem {
    /// The line has only one word.
    #[error("value is missing; a line is a keyword and a value")]
    MissingValue,
    /// The value is not a whole number.
    #[error("value is not a whole number")]
    NotInteger,
    /// The value does not fit into 32 bits.
    #[error("value does not fit into 32 bits")]
    TooLarge,
    /// The value is not a time, or has no unit.
    #[error("value is not a time; accepted are seconds such as 1.5s and milliseconds such as 20ms")]
    NotTime,
    /// The value is not a range.
    #[error("value is not a range such as 0..100")]
    NotRange,
    /// The value is not a number, or is outside the accepted range of rates.
    #[error("value is not a rate; accepted are 0.1 to below 100000 requests per second")]
    NotRate,
    /// The line begins with an unknown keyword.
    #[error("unknown keyword or value")]
    UnknownWord,
    /// The line begins like a fault but is not one.
    #[error("not a fault such as \"at 1s kill server 0 for 2s\"")]
    Fault(#[from] FaultError),
}

/// A text that is not a fault.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{0:?}: not a fault")]
pub struct FaultError(pub String);
