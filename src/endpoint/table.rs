//! The table of endpoints, and the order of endpoints on the ring of each pool.

use std::collections::BTreeMap;
use std::ops::{Index, IndexMut};

use super::Endpoint;
use crate::effects::EndpointStatus;
use crate::ids::{EndpointId, Timestamp};
use crate::rng::mix;

/// Identifies a row of the [`EndpointTable`]. An index is never reused for another endpoint, because
/// measurements refer to their endpoint by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndpointIndex(usize);

/// The low bits of an [`EndpointIndex`] are the slot; the bits above them count how often the slot was
/// reused.
const SLOT_BITS: u32 = 24;
const EVICTED: &str = "an endpoint is evicted only after everything that refers to it";

impl EndpointIndex {
    fn new(generation: usize, slot: usize) -> EndpointIndex {
        EndpointIndex(generation << SLOT_BITS | slot)
    }

    fn slot(self) -> usize {
        self.0 & ((1 << SLOT_BITS) - 1)
    }

    fn generation(self) -> usize {
        self.0 >> SLOT_BITS
    }
}

/// The position of an endpoint on the ring of its pool.
#[derive(Clone, Copy, Debug)]
pub struct RingEntry {
    pub id: EndpointId,
    pub index: EndpointIndex,
}

impl RingEntry {
    /// Returns the endpoint's number for hashing, which is the same at every balancer.
    pub fn hash_key(&self) -> u64 {
        u64::from(self.id.0)
    }
}

struct Slot {
    generation: usize,
    endpoint: Option<Endpoint>,
}

/// The endpoints that discovery lists or recently listed.
#[derive(Default)]
pub struct EndpointTable {
    slots: Vec<Slot>,
    index_of: BTreeMap<EndpointId, EndpointIndex>,
}

impl EndpointTable {
    /// Adds an endpoint that is not in the table.
    pub fn insert(&mut self, endpoint: Endpoint) -> EndpointIndex {
        let id = endpoint.id;
        let free = self.slots.iter().position(|slot| slot.endpoint.is_none());
        let slot = free.unwrap_or(self.slots.len());
        match self.slots.get_mut(slot) {
            Some(reused) => {
                reused.generation += 1;
                reused.endpoint = Some(endpoint);
            }
            None => self.slots.push(Slot { generation: 0, endpoint: Some(endpoint) }),
        }
        let index = EndpointIndex::new(self.slots[slot].generation, slot);
        self.index_of.insert(id, index);
        index
    }

    /// Returns the index of an endpoint, including removed endpoints that have not been evicted.
    pub fn index_of(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.index_of.get(&id).copied()
    }

    /// Returns whether the table has no endpoints: none was listed, or all were evicted.
    pub fn is_empty(&self) -> bool {
        self.index_of.is_empty()
    }

    /// Returns whether the endpoint of this index is still in the table.
    pub fn contains(&self, index: EndpointIndex) -> bool {
        let slot = self.slots.get(index.slot());
        slot.is_some_and(|slot| slot.generation == index.generation() && slot.endpoint.is_some())
    }

    /// Returns the index of an endpoint if it is ready.
    pub fn ready_index_of(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.ready().find(|(_, endpoint)| endpoint.id == id).map(|(index, _)| index)
    }

    /// Iterates over the endpoints that are ready; see [`Endpoint::is_ready`].
    pub fn ready(&self) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> {
        self.listed().filter(|(_, endpoint)| endpoint.is_ready())
    }

    /// Iterates over the endpoints that are listed as ready, or were when they went missing.
    fn listed(&self) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> {
        let rows = self.slots.iter().enumerate().filter_map(|(number, slot)| {
            let endpoint = slot.endpoint.as_ref()?;
            Some((EndpointIndex::new(slot.generation, number), endpoint))
        });
        rows.filter(|(_, endpoint)| endpoint.listing.status == EndpointStatus::Ready)
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Endpoint> {
        self.slots.iter_mut().filter_map(|slot| slot.endpoint.as_mut())
    }

    /// Returns whether the healthy endpoints other than this one hold at least half of the ready weight. If
    /// most endpoints look unhealthy, the cause is not the endpoints, and the remaining ones would be
    /// overloaded.
    pub fn can_spare(&self, index: EndpointIndex) -> bool {
        let ready: f64 = self.ready().map(|(_, endpoint)| endpoint.weight).sum();
        let others = self.ready().filter(|(other, endpoint)| endpoint.health.is_healthy() && *other != index);
        others.map(|(_, endpoint)| endpoint.weight).sum::<f64>() * 2.0 >= ready
    }

    /// Returns the listed endpoints of each pool, ordered by a hash of their ids that is the same at every
    /// balancer.
    pub fn rings(&self, pool_count: usize) -> Vec<Vec<RingEntry>> {
        let mut rings = vec![Vec::new(); pool_count];
        for (index, endpoint) in self.listed() {
            rings[endpoint.pool].push(RingEntry { id: endpoint.id, index });
        }
        for ring in &mut rings {
            ring.sort_by_key(|entry| mix(entry.hash_key()));
        }
        rings
    }

    /// Removes endpoints that are missing from the list, except those that have answered since `recent` and
    /// are still ready. A list that drops more endpoints than it keeps is not trusted and removes none.
    pub fn resolve_missing(&mut self, recent: Timestamp) {
        let ready = self.iter_mut().filter(|endpoint| endpoint.listing.status == EndpointStatus::Ready);
        let (missing, kept): (Vec<_>, Vec<_>) = ready.partition(|endpoint| endpoint.listing.is_missing);
        if missing.len() > kept.len() {
            return;
        }
        for endpoint in missing {
            let has_answered_lately = endpoint.answered.last().is_some_and(|at| at >= recent);
            if !has_answered_lately || !endpoint.is_ready() {
                endpoint.listing.status = EndpointStatus::Removed;
            }
        }
    }

    /// Evicts endpoints that are removed, have nothing in flight and satisfy `is_obsolete`.
    pub fn evict(&mut self, is_obsolete: impl Fn(&Endpoint) -> bool) {
        for slot in &mut self.slots {
            slot.endpoint.take_if(|endpoint| {
                let is_removed = endpoint.listing.status == EndpointStatus::Removed;
                is_removed && endpoint.in_flight == 0 && is_obsolete(endpoint)
            });
        }
        let slots = &self.slots;
        let is_present = |index: EndpointIndex| slots[index.slot()].endpoint.is_some();
        self.index_of.retain(|_, index| is_present(*index));
    }

    #[cfg(test)]
    pub(super) fn slot_count(&self) -> usize {
        self.slots.len()
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;

    /// # Panics
    /// If the endpoint was evicted.
    fn index(&self, index: EndpointIndex) -> &Endpoint {
        let slot = &self.slots[index.slot()];
        slot.endpoint.as_ref().filter(|_| slot.generation == index.generation()).expect(EVICTED)
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        let slot = &mut self.slots[index.slot()];
        slot.endpoint.as_mut().filter(|_| slot.generation == index.generation()).expect(EVICTED)
    }
}

#[cfg(test)]
mod tests;
