//! Decides which pool a request belongs to by its cost and key, with one exception for heavy requests.

use super::Balancer;
use crate::effects::Effects;
use crate::ids::Timestamp;
use crate::request::Request;
use crate::rng::mix;
use crate::route_table::{DEFAULT_POOL, PoolIndex, SMALL_POOL};

/// The fraction of the time to its objective that a request may need in its home pool. It leaves a margin
/// because service times are medians and the request may be queued.
const HEAVY_REQUEST_RATIO: f64 = 0.4;

impl<E: Effects> Balancer<E> {
    /// Returns the pool that the route table assigns: the small pool for small requests, the range pool that
    /// owns the key's slot, or else the default pool.
    pub(super) fn home_pool(&self, request: &Request) -> PoolIndex {
        let small_bound = self.statistics.cost_estimates.small_bound();
        let is_small = request.incoming.cost_estimate.is_some_and(|estimate| estimate <= small_bound);
        if is_small && self.routes.has_small_pool() {
            return SMALL_POOL;
        }
        match request.incoming.key {
            Some(key) => self.routes.pool_of_slot(mix(key.0)),
            None => DEFAULT_POOL,
        }
    }

    /// Returns the home pool. A heavy request that would miss its objective there goes to the fastest pool,
    /// if that one can meet the objective.
    pub(super) fn preferred_pool(&self, now: Timestamp, request: &Request) -> PoolIndex {
        let home = self.home_pool(request);
        let time_left = (request.objective_at - now).as_secs_f64();
        let expected_secs = |pool: PoolIndex| {
            self.statistics.service_times(pool).map(|service_times| service_times.median * request.cost)
        };
        let is_heavy = expected_secs(home).is_some_and(|secs| secs > HEAVY_REQUEST_RATIO * time_left);
        if !is_heavy {
            return home;
        }
        let measured = (0..self.routes.pool_count()).filter_map(|pool| Some((pool, expected_secs(pool)?)));
        let fastest = measured.min_by(|(_, a), (_, b)| a.total_cmp(b));
        fastest.filter(|(_, secs)| *secs <= time_left).map_or(home, |(pool, _)| pool)
    }
}
