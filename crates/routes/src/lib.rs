//! Matches HTTP requests against the routes of a configuration. The result does not depend on the order in
//! which the routes are declared. The crate does no I/O.

#![warn(missing_docs)]

pub mod pattern;
pub mod request;
pub mod router;
