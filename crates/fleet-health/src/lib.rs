//! Knowledge about endpoints that balancers share: ejections by operators that hold for the whole fleet, and
//! reports of balancers about faults that they found.
//!
//! The state machines use no clock, socket or file. Invariant: this crate never admits an endpoint that
//! another rule excludes. An override can only eject an endpoint or withdraw that ejection, and a fault
//! report can only put an endpoint on probation.

#![warn(missing_docs)]

mod byte_budget;
pub mod fault_reports;
pub mod gossip;
pub mod operator_overrides;
