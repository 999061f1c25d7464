//! Test servers and clients on loopback, for tests and tools that run real balancers: endpoints, the
//! discovery service and a load generator. Each records what it observes in an [`events::EventSink`]. None of
//! this is part of doorproxy, and none of it asks a balancer about its own state.

#![warn(missing_docs)]

pub mod client;
pub mod clock;
pub mod discovery_service;
pub mod events;
pub mod http;
pub mod upstream;
