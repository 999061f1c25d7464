//! The route table: assigns requests to pools of endpoints by cost estimate and key.
//!
//! The table is built once from the first endpoint list and is the same at every balancer. `docs/design.md`
//! cites the paper that it is based on.

use std::collections::BTreeMap;

use crate::effects::{EndpointStatus, EndpointUpdate};
use crate::ids::EndpointKindId;

/// The index of a pool in the route table. Each pool holds the endpoints of one kind.
pub type PoolIndex = usize;

/// The pool for requests that belong to no other pool.
pub const DEFAULT_POOL: PoolIndex = 0;
/// The pool for requests with a small cost estimate.
pub const SMALL_POOL: PoolIndex = 1;
/// The first of the pools that own a range of key slots.
const FIRST_RANGE_POOL: PoolIndex = 2;

/// Maps endpoint kinds to pools: the default pool, the small pool, then the range pools.
pub struct RouteTable {
    pub kinds: Vec<EndpointKindId>,
    /// The last key slot of each range pool, inclusive. A range starts after the end of the previous one;
    /// slots above the last range belong to the default pool.
    pub range_ends: Vec<u64>,
    /// The small pool's fraction of the total weight, in 0..=1.
    pub small_pool_ratio: f64,
}

/// The number of listed endpoints of a kind and the sum of their weights.
#[derive(Clone, Copy, Default)]
struct KindTotal {
    count: usize,
    weight: f64,
}

impl RouteTable {
    /// Builds the table from these endpoints. The kind with the most endpoints is the default pool, the
    /// second the small pool, and the others are range pools in the order of their ids. Ties are resolved by
    /// weight, then by id.
    pub fn new(updates: &[EndpointUpdate]) -> RouteTable {
        let totals = totals_by_kind(updates);
        let mut kinds: Vec<EndpointKindId> = totals.keys().copied().collect();
        kinds.sort_by(|a, b| {
            let by_count = totals[b].count.cmp(&totals[a].count);
            let by_weight = totals[b].weight.total_cmp(&totals[a].weight);
            by_count.then(by_weight).then(a.cmp(b))
        });
        if kinds.len() > FIRST_RANGE_POOL {
            kinds[FIRST_RANGE_POOL..].sort();
        }
        let total_weight: f64 = kinds.iter().map(|kind| totals[kind].weight).sum();
        let small_weight = kinds.get(SMALL_POOL).map_or(0.0, |kind| totals[kind].weight);
        let range_weights = kinds.iter().skip(FIRST_RANGE_POOL).map(|kind| totals[kind].weight);
        let range_ends = range_ends(range_weights, total_weight - small_weight);
        let small_pool_ratio = if total_weight > 0.0 { small_weight / total_weight } else { 0.0 };
        RouteTable { kinds, range_ends, small_pool_ratio }
    }

    pub fn pool_count(&self) -> usize {
        self.kinds.len()
    }

    pub fn has_small_pool(&self) -> bool {
        self.kinds.len() > SMALL_POOL
    }

    /// Returns the pool of a kind. A kind that was not in the first list belongs to the default pool.
    pub fn pool_of_kind(&self, kind: EndpointKindId) -> PoolIndex {
        self.kinds.iter().position(|&known| known == kind).unwrap_or(DEFAULT_POOL)
    }

    /// Returns the pool that owns a slot of the hashed key space.
    pub fn pool_of_slot(&self, slot: u64) -> PoolIndex {
        let range = self.range_ends.iter().position(|&end| slot <= end);
        range.map_or(DEFAULT_POOL, |range| FIRST_RANGE_POOL + range)
    }
}

fn totals_by_kind(updates: &[EndpointUpdate]) -> BTreeMap<EndpointKindId, KindTotal> {
    let mut totals: BTreeMap<EndpointKindId, KindTotal> = BTreeMap::new();
    for update in updates.iter().filter(|update| update.status != EndpointStatus::Removed) {
        let total = totals.entry(update.kind).or_default();
        total.count += 1;
        total.weight += update.weight;
    }
    totals
}

/// Returns the last slot of each range. The default pool and the range pools divide the key space by weight.
fn range_ends(range_weights: impl Iterator<Item = f64>, shared_weight: f64) -> Vec<u64> {
    let mut weight_below = 0.0;
    let end_of_range = |weight: f64| {
        weight_below += weight;
        (weight_below / shared_weight * u64::MAX as f64) as u64
    };
    range_weights.map(end_of_range).collect()
}
