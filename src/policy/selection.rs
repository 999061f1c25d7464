//! Selects the endpoint of an attempt: this balancer's subset of each pool, power of two choices within it,
//! and the conditions for an endpoint to receive an attempt.

use super::Balancer;
use super::concurrency::MIN_LIMIT;
use crate::effects::Effects;
use crate::endpoint::{Endpoint, EndpointIndex, RingEntry};
use crate::ids::{RequestId, Timestamp};
use crate::request::{Attempt, Progress, Request};
use crate::rng::mix;
use crate::route_table::{DEFAULT_POOL, PoolIndex};

/// The smallest subset of a pool: power of two choices needs two endpoints.
const MIN_SUBSET: usize = 2;
/// How much higher the load of the first choice may be than that of the second, where loads are known. The
/// first choice has the key cached and does half the work for the request.
const CACHED_KEY_ADVANTAGE: f64 = 1.0;
/// The fraction of a limit that is open to requests with zero weight.
const MIN_OPEN_LIMIT_RATIO: f64 = 0.2;

/// One set of endpoints to try; a request tries several sets in order.
#[derive(Clone, Copy)]
struct Candidates {
    pools: Pools,
    /// Whether only endpoints in this balancer's own zone are candidates.
    is_zone_local: bool,
}

#[derive(Clone, Copy)]
enum Pools {
    One(PoolIndex),
    All,
}

impl Pools {
    fn contains(self, pool: PoolIndex) -> bool {
        match self {
            Pools::One(own) => own == pool,
            Pools::All => true,
        }
    }
}

/// An endpoint and its rank in the sampling by key. The two highest ranks are the choices.
type RankedEndpoint = (u64, EndpointIndex);

impl<E: Effects> Balancer<E> {
    /// Selects an endpoint for a request and starts an attempt there. Returns false if no endpoint is
    /// available, or if the request first waits for a load report.
    pub(super) fn try_place(&mut self, now: Timestamp, id: RequestId) -> bool {
        match self.select(now, id) {
            Some(index) => {
                self.start_attempt(now, id, index);
                true
            }
            None => {
                if self.uses_whole_pools() {
                    self.defer(now, id);
                }
                false
            }
        }
    }

    fn start_attempt(&mut self, now: Timestamp, id: RequestId, index: EndpointIndex) {
        let request = self.request(id);
        let cost = request.cost;
        let charged_cost = self.charged_cost(request);
        let attempt_timeout = self.attempt_timeout(self.endpoints[index].pool, cost);
        let warm_up_time = self.settings.slow_start.warm_up_time;
        let endpoint = &mut self.endpoints[index];
        endpoint.on_attempt_started(now, cost, charged_cost, warm_up_time);
        let attempt = Attempt::new(now, index, endpoint);
        let endpoint_id = endpoint.id;
        let request = self.request_mut(id);
        request.progress = Progress::InFlight;
        request.attempts.push(attempt);
        self.attempts_in_flight += 1;
        self.effects.start_attempt(id, endpoint_id);
        self.schedule_hedge(now, id, attempt_timeout);
    }

    /// Selects an endpoint for a request. Returns `None` if none is available or its load must be learned
    /// first.
    fn select(&mut self, now: Timestamp, id: RequestId) -> Option<EndpointIndex> {
        self.refresh_sustained_work(now);
        let salt = u64::from(self.rng.next_u32());
        let request = self.request(id);
        let sampled = self.candidates(now, request).find_map(|candidates| {
            let probed = self.find_probe_target(now, request, candidates);
            probed.or_else(|| self.sample_two(now, request, salt, candidates))
        });
        let selected = sampled.or_else(|| self.fallback_endpoint(now, request, salt))?;
        let waits_for_load = self.probe_if_unknown(now, id, selected);
        (!waits_for_load).then_some(selected)
    }

    /// Returns the candidates in order: the preferred pool, the default pool, then all pools. Where whole
    /// pools are used, endpoints in the own zone come before all others.
    fn candidates(&self, now: Timestamp, request: &Request) -> impl Iterator<Item = Candidates> + use<E> {
        let preferred = self.preferred_pool(now, request);
        let zone_preference: &[bool] = if self.uses_whole_pools() { &[true, false] } else { &[false] };
        zone_preference.iter().flat_map(move |&is_zone_local| {
            let fallback = (preferred != DEFAULT_POOL).then_some(Pools::One(DEFAULT_POOL));
            let pools = std::iter::once(Pools::One(preferred)).chain(fallback).chain([Pools::All]);
            pools.map(move |pools| Candidates { pools, is_zone_local })
        })
    }

    /// Returns an endpoint on probation that may get this request as its next probe request.
    fn find_probe_target(
        &self,
        now: Timestamp,
        request: &Request,
        candidates: Candidates,
    ) -> Option<EndpointIndex> {
        let is_target = |index: &&EndpointIndex| {
            let endpoint = &self.endpoints[**index];
            let is_candidate = endpoint.is_ready() && candidates.pools.contains(endpoint.pool);
            is_candidate && self.may_probe_with(now, request, **index)
        };
        self.ejected.iter().find(is_target).copied()
    }

    /// Power of two choices: samples two endpoints and returns the less loaded one. Sampling is by the
    /// request's key, so that requests with the same key meet endpoints that have it cached. A request
    /// without a key is sampled randomly, by `salt`.
    fn sample_two(
        &self,
        now: Timestamp,
        request: &Request,
        salt: u64,
        candidates: Candidates,
    ) -> Option<EndpointIndex> {
        let seed = mix(request.incoming.key.map_or(salt, |key| key.0));
        let mut first: Option<RankedEndpoint> = None;
        let mut second: Option<RankedEndpoint> = None;
        for pool in self.open_pools(now, candidates.pools) {
            for entry in self.subset(pool) {
                let ranked = Some((mix(seed ^ entry.hash_key()), entry.index));
                let is_other_zone =
                    candidates.is_zone_local && Some(self.endpoints[entry.index].zone) != self.settings.zone;
                if ranked <= second || is_other_zone || !self.is_available(now, request, entry.index) {
                    continue;
                }
                if ranked > first {
                    second = first;
                    first = ranked;
                } else {
                    second = ranked;
                }
            }
        }
        let (_, first) = first?;
        Some(match second {
            Some((_, second)) => self.less_loaded(now, first, second),
            None => first,
        })
    }

    /// Returns those of the pools that may get an attempt now, within this balancer's share and pacing.
    fn open_pools(&self, now: Timestamp, pools: Pools) -> impl Iterator<Item = PoolIndex> {
        let pool_count = self.rings.len();
        let range = match pools {
            Pools::One(pool) if pool < pool_count => pool..pool + 1,
            Pools::One(_) => 0..0,
            Pools::All => 0..pool_count,
        };
        range.filter(move |&pool| {
            self.uses_whole_pools() || self.pool_has_capacity(pool) && now >= self.paced_until(pool)
        })
    }

    /// Returns the second choice if the first is known to be more loaded, and the first otherwise. An unknown
    /// load of the second is a reason to choose and probe it only if the first is loaded, because probes add
    /// up in cost.
    fn less_loaded(&self, now: Timestamp, first: EndpointIndex, second: EndpointIndex) -> EndpointIndex {
        let load = |index: EndpointIndex| self.load(now, &self.endpoints[index]);
        let is_unknown =
            |index: EndpointIndex| self.probes_load() && !self.is_load_known(now, &self.endpoints[index]);
        let advantage = if self.probes_load() { CACHED_KEY_ADVANTAGE } else { 0.0 };
        let is_first_loaded = !is_unknown(first) && load(first) > advantage;
        let takes_second = is_first_loaded && (is_unknown(second) || load(second) + advantage < load(first));
        if takes_second { second } else { first }
    }

    /// Returns the least loaded of the avoided endpoints, for a request that no other endpoint can take. If
    /// all endpoints are unhealthy, any may be chosen, because their state then does not distinguish them.
    /// Otherwise only a low-risk request is sent to an endpoint that fails some requests.
    fn fallback_endpoint(&self, now: Timestamp, request: &Request, salt: u64) -> Option<EndpointIndex> {
        let entries = || self.rings.iter().flatten();
        let is_healthy = |index: EndpointIndex| self.endpoints[index].health.is_healthy();
        let are_all_unhealthy = entries().all(|entry| !is_healthy(entry.index));
        let is_acceptable_risk = |index: EndpointIndex| {
            let endpoint = &self.endpoints[index];
            let responds = !endpoint.refuses_connections && !self.is_unresponsive(now, endpoint);
            self.is_low_risk(request) && !endpoint.health.is_healthy() && responds
        };
        let candidates = entries().filter(|entry| are_all_unhealthy || is_acceptable_risk(entry.index));
        let open = candidates.filter(|entry| self.is_eligible(now, request, entry.index));
        let least_loaded = open.min_by_key(|entry| {
            let in_flight = self.endpoints[entry.index].in_flight;
            (in_flight, mix(salt ^ entry.hash_key()))
        });
        least_loaded.map(|entry| entry.index)
    }

    /// Returns whether an endpoint, healthy or not, may get the request: it is ready, has not been tried, has
    /// capacity, and a repeat there would be harmless.
    fn is_eligible(&self, now: Timestamp, request: &Request, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        // The attempt may begin as late as a new connection is established.
        let latest_begin = now + self.settings.connect_timeout;
        endpoint.is_ready()
            && !request.was_sent_to(index)
            && self.has_capacity_for_weight(now, request, endpoint)
            && self.may_repeat(latest_begin, request, &request.attempts, endpoint)
            && self.has_capacity(now, request, endpoint)
    }

    /// Returns whether the endpoint's limit is open to a request of this weight. Where whole pools are used,
    /// no queue of this balancer orders requests, so less of a limit is open to requests with less weight.
    fn has_capacity_for_weight(&self, now: Timestamp, request: &Request, endpoint: &Endpoint) -> bool {
        if !self.uses_whole_pools() {
            return true;
        }
        let relative_weight = request.priority_weight / self.settings.max_priority_weight();
        let open_ratio = MIN_OPEN_LIMIT_RATIO + (1.0 - MIN_OPEN_LIMIT_RATIO) * relative_weight;
        let limit = MIN_LIMIT * open_ratio * self.capacity_fraction(now, endpoint);
        self.load(now, endpoint) < limit
    }

    /// Returns whether the endpoint is within its concurrency limit, or within slow start while it warms up.
    fn has_capacity(&self, now: Timestamp, request: &Request, endpoint: &Endpoint) -> bool {
        let fraction = self.capacity_fraction(now, endpoint);
        if fraction < 1.0 {
            return self.slow_start_allows(now, request, endpoint, fraction);
        }
        self.probes_load() || self.is_within_limit(endpoint)
    }

    /// Returns whether the endpoint can take the request now as an ordinary request.
    fn is_available(&self, now: Timestamp, request: &Request, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let is_paused = self.uses_whole_pools() && now < endpoint.overloaded_until;
        !is_paused
            && !self.is_load_unavailable(now, request, endpoint)
            && !self.ignores_probes(now, endpoint)
            && !self.is_unresponsive(now, endpoint)
            && self.is_eligible(now, request, index)
    }

    /// Returns whether the request may be the next probe request of an endpoint on probation. One is sent at
    /// a time, so that a faulty endpoint fails one request and not several.
    fn may_probe_with(&self, now: Timestamp, request: &Request, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let due_at = endpoint.health.probe_after().max(self.probe_paced_until(endpoint));
        let is_due = now >= due_at && endpoint.in_flight == 0;
        is_due
            && request.attempts.is_empty()
            && self.is_low_risk(request)
            && self.is_eligible(now, request, index)
    }

    /// Returns whether the request's class has the lowest retry risk of all classes.
    fn is_low_risk(&self, request: &Request) -> bool {
        let risk = self.settings.class(request.incoming.class).idempotency.retry_risk();
        self.settings.classes.iter().all(|class| risk <= class.idempotency.retry_risk())
    }

    /// Returns whether requests may go to any endpoint of a pool, instead of this balancer's subset only.
    /// This applies if connections are free or load probes are used. A key then maps to the same endpoints at
    /// every balancer.
    pub(super) fn uses_whole_pools(&self) -> bool {
        self.settings.connections_free || self.probes_load()
    }

    /// Returns the size of this balancer's subset of a pool. If hundreds of balancers each used all
    /// endpoints, each would send too few requests to an endpoint to learn its state, and together they would
    /// hold more connections to it than it accepts.
    pub(super) fn subset_size(&self, pool: PoolIndex) -> usize {
        let endpoints = self.rings.get(pool).map_or(0, Vec::len);
        if self.uses_whole_pools() {
            return endpoints;
        }
        let ratio = MIN_LIMIT / f64::from(self.settings.balancer_count.max(1));
        let subset = (endpoints as f64 * ratio).ceil() as usize;
        endpoints.min(subset.max(MIN_SUBSET))
    }

    /// Returns how many balancers use each endpoint of a pool.
    pub(super) fn balancers_per_endpoint(&self, pool: PoolIndex) -> f64 {
        let endpoints = self.rings.get(pool).map_or(0, Vec::len).max(1);
        let balancers = f64::from(self.settings.balancer_count.max(1));
        balancers * self.subset_size(pool).max(1) as f64 / endpoints as f64
    }

    /// Returns this balancer's subset of a pool: the first healthy endpoints on its ring. An ejected endpoint
    /// is replaced by the next one, but an endpoint that is missing from the list is not: otherwise all
    /// balancers would converge on the few endpoints that a wrong list leaves.
    pub(super) fn subset(&self, pool: PoolIndex) -> impl Iterator<Item = RingEntry> {
        let ring = self.rings.get(pool).into_iter().flatten().copied();
        let healthy = ring.filter(|entry| self.endpoints[entry.index].health.is_healthy());
        let subset = healthy.take(self.subset_size(pool));
        subset.filter(|entry| self.endpoints[entry.index].is_ready())
    }

    /// Closes connections to endpoints that replaced others in the subset and are no longer used.
    pub(super) fn close_unused_connections(&mut self, pool: PoolIndex) {
        let mut places_left = self.subset_size(pool);
        for entry in &self.rings[pool] {
            let endpoint = &mut self.endpoints[entry.index];
            if places_left == 0 && endpoint.has_connections && endpoint.in_flight == 0 {
                endpoint.has_connections = false;
                self.effects.close_idle_connections(endpoint.id);
            }
            places_left -= usize::from(places_left > 0 && endpoint.health.is_healthy());
        }
    }
}
