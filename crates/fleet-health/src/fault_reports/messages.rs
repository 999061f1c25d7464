//! Messages between report clients and collectors.
//!
//! They are encoded with postcard, so the order of fields and variants is the wire format.

use doorproxy_membership::message::{NodeId, Nonce};
use serde::{Deserialize, Serialize};

/// Bounds the encoded size of a report without the endpoint's name.
const REPORT_OVERHEAD_BYTES: usize = 36;

/// Identifies one process of an endpoint. A report about it does not apply to the process that replaces it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// Names the endpoint as in the endpoint list.
    pub name: String,
    /// Holds the start time that the endpoint list gives, in milliseconds.
    pub started_ms: i64,
}

/// Reports that an endpoint is unhealthy, because attempts of the reporter failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultReport {
    /// Identifies the endpoint.
    pub endpoint: EndpointIncarnation,
    /// Bounds the age of the latest evidence from above, in tenths of a millisecond.
    pub age_ticks: i64,
}

impl FaultReport {
    /// Returns an upper bound of the report's size in a datagram, including its reporter and zone.
    pub(super) fn max_encoded_bytes(&self) -> usize {
        self.endpoint.name.len() + REPORT_OVERHEAD_BYTES
    }
}

/// Holds a report and its reporter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttributedReport {
    /// Identifies the balancer that made the report.
    pub reporter: NodeId,
    /// Holds the hash of the reporter's zone.
    pub zone: NodeId,
    /// Holds the report.
    pub report: FaultReport,
}

/// Represents a message between a balancer and a collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Sends a balancer's reports to a collector.
    Request {
        /// Identifies the request; the response repeats it.
        nonce: Nonce,
        /// Holds the number of the collector's last response, by which the collector dates the reports.
        last_number: Option<Nonce>,
        /// Holds the hash of the balancer's zone.
        zone: NodeId,
        /// Holds the balancer's own reports.
        reports: Vec<FaultReport>,
    },
    /// Answers a request with the reports of other balancers.
    Response {
        /// Holds the nonce of the request.
        nonce: Nonce,
        /// Holds the number that the next request returns.
        number: Nonce,
        /// Holds the reports of others, those with the latest evidence first.
        reports: Vec<AttributedReport>,
    },
}
