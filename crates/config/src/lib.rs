//! Parses and checks the configuration of a sidecar and the fleet file of balancers. Both are TOML, and a
//! file is checked as a whole, so that all findings are reported at once. The crate does no I/O: the caller
//! reads the file.

#![warn(missing_docs)]

pub mod changes;
pub mod check;
pub mod explain;
pub mod finding;
pub mod fleet;
pub mod generate;
pub mod sidecar;
pub mod table;
pub mod units;
