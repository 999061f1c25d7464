//! Reports about faults that balancers find on endpoints, passed to the other balancers through collectors.
//!
//! A report names its reporter, the endpoint's incarnation and the age of its evidence.
//!
//! # Safety argument
//!
//! *No report appears younger than its evidence.* The client dates the reports in a response to the time just
//! before it sent the request. The collector dates the reports in a request to the time at which it issued
//! the number that the request returns, which is before the reports were made. So delay, duplication and
//! reordering only make evidence appear older, and a report is neither used nor passed on after its lifetime.
//!
//! *A report is not a fact.* It can only put an endpoint on probation, never admit one. A reporter has one
//! vote per endpoint, regardless of how often it repeats its report, and the vote is weighted by how often
//! its earlier reports were right. A reporter of more than a third of all endpoints has no vote, and at most
//! a quarter of all endpoints are suspected at a time.

mod client;
mod collector;
mod messages;
mod trust;

pub use client::{ReportClient, ReportStatus, SuspectedEndpoint};
pub use collector::ReportCollector;
pub use messages::{AttributedReport, EndpointIncarnation, FaultReport, Message};

/// Limits the reports of one reporter.
const MAX_REPORTS_PER_REPORTER: usize = 16;
/// Limits the bytes of reports in one datagram.
const MAX_REPORT_BYTES: usize = 900;
/// Limits the balancers whose state is kept, which bounds the memory; further ones are ignored.
const MAX_BALANCERS: usize = 4000;
