//! The state that a balancer persists. The order of the fields is the format on disk (see
//! [`state_file`](crate::state_file)).

use serde::{Deserialize, Serialize};

use crate::age::ClockReading;

/// Describes one endpoint as discovery listed it last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedEndpoint {
    /// Holds the endpoint's id in discovery.
    pub id: String,
    /// Holds the address to which requests are sent, as `host:port`.
    pub address: String,
    /// Holds the availability zone.
    pub zone: String,
    /// Holds the endpoint kind, such as `small`.
    pub kind: String,
    /// Holds the number of the cell.
    pub cell: u16,
    /// Holds the status in discovery: `active`, or one in which the endpoint takes no requests.
    pub status: String,
    /// Holds the weight in discovery.
    pub weight: f64,
    /// Holds the start time of the endpoint's process as Unix time in milliseconds; 0 means long ago. An
    /// endpoint with another start time does not inherit the state of this one.
    pub started_ms: i64,
}

/// Holds the state of one balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Holds the name of the balancer that wrote the state. Another balancer must not use it, since addresses
    /// differ between balancers.
    pub balancer: String,
    /// Holds the time at which the state was written.
    pub written_at: ClockReading,
    /// Holds the time at which discovery last confirmed the endpoint list.
    pub list_confirmed_at: ClockReading,
    /// Holds the version of the endpoint list.
    pub list_version: u64,
    /// Holds the endpoint list.
    pub endpoints: Vec<PersistedEndpoint>,
    /// Holds what was learned about the endpoints, in the text format of `src/snapshot.rs`, after a line from
    /// [`prepend_settings`](crate::learned_state::prepend_settings).
    pub learned_state: String,
}
