//! Assigns the ids by which the dispatcher identifies endpoints.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy::ids::EndpointId;
use doorproxy::rng::hash_text;

/// Assigns ids to endpoint names. An id is the hash of the name, so that all balancers sample the same
/// endpoints for a key; if two names collide, the later one gets the next free id.
#[derive(Default)]
pub struct EndpointIds {
    by_name: BTreeMap<String, EndpointId>,
    used: BTreeSet<EndpointId>,
}

impl EndpointIds {
    /// Returns the id of a name, and assigns one if the name has none.
    pub fn id_for(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.get(name) {
            return id;
        }
        let mut id = EndpointId(hash_text(name) as u32);
        while !self.used.insert(id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.by_name.insert(name.to_string(), id);
        id
    }

    /// Returns the id of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// Forgets all ids for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, id| is_kept(*id));
        self.used.retain(|id| is_kept(*id));
    }
}
