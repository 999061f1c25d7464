//! The configuration of a balancer.

pub mod decode;
mod discovery_timing;

use crate::ids::{ClassId, Ticks, Timestamp, ZoneId};
use crate::rng::mix;

pub use discovery_timing::DiscoveryTiming;

/// The set of endpoints within which a repeat is recognized and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// Endpoints in the same zone.
    Zone,
    /// Endpoints in the same cell.
    Cell,
}

/// Whether a request may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// Repeats are dropped within the scope and the window.
    Deduplicated {
        /// The endpoints at which a repeat is recognized.
        scope: DedupScope,
        /// How long after the first attempt a repeat is recognized.
        window: Ticks,
    },
    /// The request must not run twice.
    NonIdempotent,
}

impl Idempotency {
    /// Returns the risk of a failed attempt, from 0 for the lowest.
    pub fn retry_risk(self) -> u8 {
        match self {
            Idempotency::Idempotent => 0,
            Idempotency::Deduplicated { .. } => 1,
            Idempotency::NonIdempotent => 2,
        }
    }
}

/// The settings of a request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The value of a timely answer.
    pub priority_weight: f64,
    /// The time within which an answer is timely.
    pub latency_objective: Ticks,
    /// The multiple of a request's cost that is added to its latency objective.
    pub objective_stretch_factor: f64,
    /// The timeout of requests that state none.
    pub timeout: Ticks,
    /// The fraction of the weight that an answer after the objective still has, in 0..=1.
    pub late_weight_ratio: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
}

/// The capacity of endpoints while they warm up.
#[derive(Clone, Debug)]
pub struct SlowStart {
    /// The fraction of a warming endpoint's spare work that the balancers sharing it may use, in 0..=1.
    pub fleet_ratio: f64,
    /// The fraction of its capacity that an endpoint has at its start.
    pub initial_fraction: f64,
    /// The time from its start until an endpoint has its full capacity.
    pub warm_up_time: Ticks,
    /// The multiple of its current capacity at which an endpoint fails if it receives that much within the
    /// overload window.
    pub overload_factor: f64,
    /// The length of the overload window.
    pub overload_window: Ticks,
}

impl SlowStart {
    /// Returns the fraction of its capacity that an endpoint is certain to have reached, in 0..=1.
    pub fn capacity_fraction(&self, now: Timestamp, started_at: Option<Timestamp>) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let warmed = (now - started_at).as_secs_f64() / self.warm_up_time.as_secs_f64().max(1e-4);
        (self.initial_fraction + (1.0 - self.initial_fraction) * warmed).clamp(0.0, 1.0)
    }
}

/// The settings of one balancer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The request classes, in the order of the configuration.
    pub classes: Vec<RequestClass>,
    /// For each tenant, the requests per second through all balancers that get their full weight.
    pub tenant_quotas: Vec<f64>,
    /// The number of balancers in front of the same endpoints.
    pub balancer_count: u32,
    /// The index of this balancer among them, from 0.
    pub balancer_index: u32,
    /// The factor on the weight of requests beyond their tenant's quota.
    pub over_quota_factor: f64,
    /// The configured maximum of attempts, the first included. Values above `MAX_ATTEMPTS` in
    /// `policy/retries.rs` have no effect.
    pub max_attempts: u16,
    /// Whether a hedged request may be sent in addition to a slow attempt.
    pub hedging_enabled: bool,
    /// Whether attempts are cancelled when their request has finished.
    pub cancellation_enabled: bool,
    /// The longest delay between the decision to start an attempt and its first byte, while a connection is
    /// established.
    pub connect_timeout: Ticks,
    /// The longest retry-after that clients follow; `None` if they are given none.
    pub max_retry_after: Option<Ticks>,
    /// The index of the load among the values of a report, if endpoints report their load only to probes.
    pub load_report_field: Option<usize>,
    /// Whether both open and new connections are free of cost.
    pub connections_free: bool,
    /// The cost of one probe per request, as a fraction of all weight.
    pub probe_cost_ratio: f64,
    /// The zone of this balancer, if it is configured.
    pub zone: Option<ZoneId>,
    /// Whether discovery has to be asked for the endpoint list.
    pub discovery_polled: bool,
    /// Whether an endpoint that goes missing from the list without draining first may still be sent requests.
    pub only_draining_is_binding: bool,
    /// The longest interval between discovery calls.
    pub max_poll_interval: Ticks,
    /// The capacity of endpoints while they warm up.
    pub slow_start: SlowStart,
}

impl Settings {
    /// Returns the settings of a class.
    ///
    /// # Panics
    /// If the class does not exist; see [`Settings::has_class`].
    pub fn class(&self, id: ClassId) -> &RequestClass {
        &self.classes[usize::from(id.0)]
    }

    /// Returns whether the class exists.
    pub fn has_class(&self, id: ClassId) -> bool {
        usize::from(id.0) < self.classes.len()
    }

    /// Returns the load in a report, if endpoints report it to probes and it is valid.
    pub fn load_from_report(&self, report: &[f64]) -> Option<f64> {
        let load = self.load_report_field.and_then(|field| report.get(field)).copied();
        load.filter(|load| load.is_finite() && *load >= 0.0)
    }

    /// Returns the longest timeout of any class, or zero without classes.
    pub fn max_timeout(&self) -> Ticks {
        self.classes.iter().map(|class| class.timeout).max().unwrap_or(Ticks::ZERO)
    }

    /// Returns the shortest latency objective of any class, or zero without classes.
    pub fn min_latency_objective(&self) -> Ticks {
        self.classes.iter().map(|class| class.latency_objective).min().unwrap_or(Ticks::ZERO)
    }

    /// Returns the longest latency objective of any class.
    pub fn max_latency_objective(&self) -> Option<Ticks> {
        self.classes.iter().map(|class| class.latency_objective).max()
    }

    /// Returns the largest weight of any class; always greater than 0.
    pub fn max_priority_weight(&self) -> f64 {
        self.classes.iter().map(|class| class.priority_weight).fold(f64::MIN_POSITIVE, f64::max)
    }

    /// Returns the timing of discovery calls. It is the same at each start of this balancer and differs
    /// between balancers.
    pub fn discovery_timing(&self, seed: u64) -> DiscoveryTiming {
        let hash = mix(seed ^ u64::from(self.balancer_index));
        DiscoveryTiming::new(self.max_poll_interval, hash as f64 / u64::MAX as f64)
    }

    /// Returns one balancer's share of a total for all balancers.
    pub fn per_balancer_share(&self, total: f64) -> f64 {
        total / f64::from(self.balancer_count.max(1))
    }
}
