//! Deterministic simulation of the balancer's network code. Seeded runs on a virtual clock and a virtual
//! network apply faults and check the rules of the service.
//!
//! The modules from the bottom up are [`kernel`] (clock, random numbers, events, trace), [`network`],
//! [`simulation`] (the executor), [`runtime`] and [`stream`] (the interface to a process), [`checker`] (the
//! rules), [`context`] (the state that the processes of a run share), [`client`], [`upstream`],
//! [`discovery_service`], [`mutants`], [`cluster`] and [`runner`].

#![warn(missing_docs)]

pub mod addresses;
pub mod checker;
pub mod client;
pub mod cluster;
pub mod context;
pub mod counters;
pub mod discovery_service;
pub mod generator;
pub mod hard_cases;
pub mod http;
pub mod kernel;
pub mod limits;
pub mod mutants;
pub mod network;
pub mod nodes;
pub mod report;
pub mod request_class;
pub mod rule;
pub mod runner;
pub mod runtime;
pub mod scenario;
pub mod shrink;
pub mod simulation;
pub mod stream;
pub mod time;
pub mod trace;
pub mod upstream;
