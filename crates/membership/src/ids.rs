//! Identifiers of nodes, of their processes and of requests.

use serde::{Deserialize, Serialize};

/// Identifies one process of a node. A later process with the same name has a larger number and counts as a
/// different member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Identifies a request among those of its sender; the response repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Nonce(pub u64);

/// Identifies a node by the hash of its name, which is the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the identifier of the node with this name.
    pub fn from_name(name: &str) -> NodeId {
        NodeId(doorproxy::rng::hash_text(name))
    }
}
