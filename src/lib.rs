//! The routing decisions of doorproxy, independent of the protocol.
//!
//! [`policy`] makes the decisions and acts through [`effects`]. [`dispatcher`] makes them available to
//! asynchronous network code. [`settings`] configures both at the start. Nothing in this crate does I/O.

#![warn(missing_docs)]

pub mod dispatcher;
pub mod effects;
mod endpoint;
pub mod ids;
pub mod policy;
mod request;
pub mod rng;
mod route_table;
mod samples;
pub mod settings;
pub mod snapshot;
mod statistics;
