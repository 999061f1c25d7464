//! Settings of a membership node.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use doorproxy::ids::Ticks;

use crate::ids::{Incarnation, NodeId};
use crate::message::{MemberState, MemberUpdate};
use crate::registry::RegistryRules;

/// Holds the settings of a node, which do not change while it runs.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Names the node, uniquely in the fleet.
    pub name: String,
    /// Identifies the node's process.
    pub incarnation: Incarnation,
    /// Sets the address at which other nodes reach this node.
    pub advertised_address: SocketAddr,
    /// Names the node's zone.
    pub zone: String,
    /// Lists the addresses that the node contacts to find other members.
    pub seeds: Vec<SocketAddr>,
    /// Maps the name of each registry replica to its address.
    pub registry_replicas: BTreeMap<String, SocketAddr>,
    /// Sets the time between two probes of members.
    pub protocol_period: Ticks,
    /// Sets how long a membership lease lasts after a heartbeat.
    pub lease_duration: Ticks,
    /// Bounds the ratio by which the rates of two nodes' clocks differ.
    pub clock_drift_ratio: f64,
    /// Sets the configured number of nodes. It determines the node's share while no reliable count is
    /// available.
    pub configured_count: u32,
    /// Sets the ratio of the common limit that is reserved for nodes without a lease. With `None` nothing is
    /// reserved, and a share never exceeds the limit divided by `configured_count`.
    pub reserve_ratio: Option<f64>,
}

impl MembershipSettings {
    pub(crate) fn registry_rules(&self) -> RegistryRules {
        RegistryRules {
            replicas: self.registry_replicas.keys().map(|name| NodeId::from_name(name)).collect(),
            lease_duration: self.lease_duration,
            clock_drift_ratio: self.clock_drift_ratio,
        }
    }

    pub(crate) fn local_member(&self) -> MemberUpdate {
        MemberUpdate {
            name: self.name.clone(),
            incarnation: self.incarnation,
            address: self.advertised_address,
            zone: self.zone.clone(),
            refutation_count: 0,
            state: MemberState::Alive,
        }
    }

    pub(crate) fn is_registry_replica(&self) -> bool {
        self.registry_replicas.contains_key(&self.name)
    }
}
