//! A model checker for pure state machines: it visits every state that a small model can reach, in any order
//! of steps, and reports the first state that violates an invariant. The crate also has a runner for seeded
//! simulations.
//!
//! # Safety argument
//!
//! The search visits states in order of their distance from the initial states, so the first violation that
//! it finds has a shortest trace. A search without violation is complete only if
//! [`Exploration::is_truncated`] is false. States with the same 64-bit fingerprint are treated as one: among
//! a million states, the probability that any two share a fingerprint is less than 1 in 30 million.

#![warn(missing_docs)]

mod campaign;
mod exploration;
mod explore;
mod model;
mod seeds;

pub use campaign::{max_states, seed_count};
pub use exploration::{Exploration, Violation};
pub use explore::explore;
pub use model::{Model, Successors};
pub use seeds::{FailedSeed, OnFailure, first_failing_seed};
