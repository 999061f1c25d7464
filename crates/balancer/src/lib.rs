//! The balancer as a library. It carries out the decisions of the `doorproxy` crate on network connections,
//! on any [`runtime::Runtime`].

#![warn(missing_docs)]

pub mod admin;
pub mod assembly;
pub mod components;
pub mod config;
pub mod discovery;
pub mod file_names;
pub mod handover;
pub mod http;
pub mod memory;
pub mod metrics;
pub mod peers;
pub mod permits;
pub mod readiness;
pub mod recovery;
pub mod runtime;
pub mod sync;
pub mod upstream;
