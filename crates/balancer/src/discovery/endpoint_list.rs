//! Defines the endpoint list in the form that the discovery service and the configuration file share.

use std::net::SocketAddr;

use serde::Deserialize;

/// Holds a response of the discovery service, which is a complete snapshot or the entries that have changed.
#[derive(Clone, Deserialize)]
pub struct EndpointList {
    /// Holds the version of the list after this response.
    pub version: u64,
    /// Tells whether this is a complete snapshot.
    #[serde(rename = "full")]
    pub is_snapshot: bool,
    /// Holds the entries.
    #[serde(rename = "servers")]
    pub endpoints: Vec<EndpointEntry>,
}

/// Describes one endpoint in the list.
#[derive(Clone, Deserialize)]
pub struct EndpointEntry {
    /// Names the endpoint uniquely.
    #[serde(rename = "id")]
    pub name: String,
    /// Holds the address on which it listens.
    #[serde(rename = "addr")]
    pub address: SocketAddr,
    /// Names its zone.
    pub zone: String,
    /// Names its endpoint kind.
    pub kind: String,
    /// Identifies its cell within the zone.
    #[serde(default)]
    pub cell: u16,
    /// Tells whether it accepts requests.
    #[serde(rename = "state")]
    pub status: EntryState,
    /// Holds its capacity relative to other endpoints.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Holds the start of its process in Unix milliseconds, or 0 if that is unknown.
    #[serde(default, rename = "started_ms")]
    pub started_at_ms: i64,
}

fn default_weight() -> f64 {
    1.0
}

/// Tells the state of an endpoint in the list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// The endpoint accepts requests.
    Active,
    /// The endpoint no longer exists.
    #[serde(rename = "left")]
    Removed,
    /// The endpoint accepts no new requests. Unknown states count as this one.
    #[serde(other)]
    Draining,
}
