//! An override and the endpoint to which it applies.

use doorproxy_membership::message::NodeId;
use serde::{Deserialize, Serialize};

/// Limits the length of an endpoint's name, so that its entry fits into a datagram with others.
pub const MAX_NAME_BYTES: usize = 200;
/// Bounds the encoded size of an entry without the endpoint's name.
pub(crate) const ENTRY_OVERHEAD_BYTES: usize = 24;

/// Describes an operator's decision about an endpoint. Of two overrides the greater one holds. The order of
/// the fields defines the comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Override {
    /// Is greater than the version of every override of the endpoint that the author knew of.
    pub version: u64,
    /// Tells whether the endpoint is ejected or restored.
    pub is_ejected: bool,
    /// Identifies the balancer at which the operator decided.
    pub author: NodeId,
}

/// Holds an override with its endpoint, as it is sent and stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverrideEntry {
    /// Names the endpoint.
    pub endpoint: String,
    /// Holds the override.
    pub value: Override,
}

impl OverrideEntry {
    /// Returns an upper bound of the entry's size in a datagram.
    pub fn max_encoded_bytes(&self) -> usize {
        self.endpoint.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// Returns whether a name is not empty, fits into a datagram, and is a single field of a stored line.
pub(super) fn is_valid_name(name: &str) -> bool {
    let is_separator = |c: char| c.is_whitespace() || c.is_control();
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains(is_separator)
}
