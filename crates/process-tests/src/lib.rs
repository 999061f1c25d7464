//! Tests with several real doorproxy processes on loopback and a fault-injecting proxy between them. Checkers
//! read what clients, endpoints and discovery observed; what balancers report about themselves is used only
//! where a checker says so.

#![warn(missing_docs)]

pub mod addresses;
mod admin_client;
pub mod checkers;
pub mod cluster;
pub mod fault_proxy;
pub mod fault_report_measurement;
pub mod generator;
pub mod history;
mod lateness;
pub mod node;
mod permit_worker;
pub mod plot;
pub mod quota_measurement;
pub mod recovery_measurement;
pub mod scenario;
pub mod shrink;
