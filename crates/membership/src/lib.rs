//! Tracks the membership of a fleet of balancers: which of them run, and how many of them may use a full
//! share of the fleet's common limits.
//!
//! The state machines use no clock, socket or file, so that the program, the simulated fleets of the tests
//! and the model checker all drive the same code. [`member_list`] holds this process's view of the
//! other nodes, [`registry`] gives counts that are safe to rely on, and [`node`] drives both. The crate does
//! not handle the load, health or routing of endpoints.

#![warn(missing_docs)]

pub mod effects;
pub mod ids;
pub mod member_list;
pub mod message;
pub mod node;
pub mod outgoing;
pub mod registry;
pub mod settings;
