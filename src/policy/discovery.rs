//! Applies updates of the endpoint list and schedules the next discovery call after an error.

use super::{Balancer, WATCH_TIMER, concurrency};
use crate::effects::{Effects, EndpointStatus, EndpointUpdate};
use crate::endpoint::Endpoint;
use crate::ids::{Ticks, Timestamp};
use crate::settings::{DiscoveryTiming, Settings};

/// The shortest wait after the first error and after later ones, as fractions of the longest backoff. Jitter
/// adds up to the same amount again.
const FIRST_BACKOFF_RATIO: f64 = 0.25;
const BACKOFF_RATIO: f64 = 0.5;
/// The fractional part of the golden ratio, as a fraction of 2^64. Multiples of it are spread evenly over a
/// ring for any consecutive range of balancer indices.
const GOLDEN_RATIO_FRACTION: u64 = 0x9e37_79b9_7f4a_7c15;

impl<E: Effects> Balancer<E> {
    /// Applies a complete snapshot: endpoints that are not in it have been removed.
    pub(super) fn apply_snapshot(&mut self, now: Timestamp, updates: &[EndpointUpdate]) {
        let only_draining_is_binding = self.settings.only_draining_is_binding;
        for endpoint in self.endpoints.iter_mut() {
            endpoint.on_removed(only_draining_is_binding);
        }
        self.apply_updates(now, updates);
    }

    pub(super) fn apply_updates(&mut self, now: Timestamp, updates: &[EndpointUpdate]) {
        self.discovery_errors = 0;
        if self.routes.kinds.is_empty() {
            self.routes = crate::route_table::RouteTable::new(updates);
        }
        for update in updates {
            self.apply_update(now, update);
        }
        self.evict_removed(now);
        self.rebuild_rings();
        self.sustained_work.invalidate();
        self.serve_queue(now);
    }

    fn apply_update(&mut self, now: Timestamp, update: &EndpointUpdate) {
        let warm_up_time = self.settings.slow_start.warm_up_time;
        let is_warming = update.started_at.is_some_and(|started_at| now - started_at < warm_up_time);
        let is_removed = update.status == EndpointStatus::Removed;
        match self.endpoints.index_of(update.endpoint) {
            None if is_removed => {}
            None => {
                let pool = self.routes.pool_of_kind(update.kind);
                let phase = if is_warming { self.rng.next_f64() } else { 0.0 };
                self.endpoints.insert(Endpoint::new(now, update, pool, concurrency::MIN_LIMIT, phase));
            }
            Some(index) if is_removed => {
                self.endpoints[index].on_removed(self.settings.only_draining_is_binding);
            }
            Some(index) => {
                let has_restarted = self.endpoints[index].on_update(now, update);
                if has_restarted && is_warming {
                    let phase = self.rng.next_f64();
                    self.endpoints[index].slow_start.phase = phase;
                    self.endpoints[index].limit.value = concurrency::MIN_LIMIT;
                }
            }
        }
    }

    /// Evicts endpoints that were removed. The row of a removed endpoint is kept while recent attempts still
    /// count against its warm-up budget, in case the endpoint returns.
    fn evict_removed(&mut self, now: Timestamp) {
        let retention = self.settings.slow_start.warm_up_time.max(self.settings.max_timeout());
        let recent = now - retention;
        self.endpoints.resolve_missing(recent);
        self.endpoints.evict(|endpoint| endpoint.sent.last().is_none_or(|at| at < recent));
        let endpoints = &self.endpoints;
        self.ejected.retain(|index| endpoints.contains(*index));
    }

    /// Rotates every ring to this balancer's own starting point, so that endpoints are divided evenly among
    /// balancers.
    fn rebuild_rings(&mut self) {
        self.rings = self.endpoints.rings(self.routes.pool_count());
        let start = u64::from(self.settings.balancer_index).wrapping_mul(GOLDEN_RATIO_FRACTION);
        for ring in &mut self.rings {
            let first = (u128::from(start) * ring.len() as u128) >> u64::BITS;
            ring.rotate_left(first as usize);
        }
    }

    pub(super) fn schedule_next_poll(&mut self, now: Timestamp) {
        self.discovery_errors += 1;
        let has_endpoints = !self.endpoints.is_empty();
        let jitter = self.rng.next_f64();
        let backoff = poll_backoff(&self.settings, self.discovery_errors, has_endpoints, jitter);
        self.effects.set_timer(now + backoff, WATCH_TIMER);
    }
}

/// Returns the wait after the `errors`-th discovery error in a row; `jitter` is in 0..1.
///
/// After a fault all balancers call one small service, so the wait differs from balancer to balancer. It
/// stays well within the time after which a change becomes binding. A balancer without endpoints waits at
/// most half of the longest request timeout.
fn poll_backoff(settings: &Settings, errors: u32, has_endpoints: bool, jitter: f64) -> Ticks {
    let mut longest = DiscoveryTiming::MAX_BACKOFF.min(settings.max_poll_interval.mul_f64(0.5));
    if !has_endpoints {
        longest = longest.min(settings.max_timeout().mul_f64(0.5));
    }
    let ratio = if errors == 1 { FIRST_BACKOFF_RATIO } else { BACKOFF_RATIO };
    longest.mul_f64(ratio * (1.0 + jitter))
}
