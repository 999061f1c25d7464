//! The rules on which all nodes of a fleet must agree, and the overshoot bound that follows from them. The
//! bound is printed for operators, and tests compare a recorded history with it.

use std::collections::BTreeMap;

use doorproxy::ids::Ticks;

use crate::messages::{LimitId, Shard};

/// Sets the lifetime of an allocation as a ratio of the contact timeout. It leaves time for several requests;
/// a longer lifetime would increase the overshoot.
const ALLOCATION_LIFETIME_RATIO: f64 = 0.5;

/// Limits the request rate of the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimit {
    /// Holds the name, which is the same on all nodes.
    pub name: String,
    /// Holds the rate in requests per second, which is greater than 0.
    pub rate: f64,
    /// Holds the number of requests that may accumulate while fewer arrive, at least 1.
    pub burst: f64,
    /// Holds the rate in requests per second that each disconnected node may admit. A node without one admits
    /// nothing once its allocations have expired.
    pub fallback_rate: Option<f64>,
}

/// Holds the rules on which all nodes of a fleet must agree.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaRules {
    /// Holds all limits.
    pub limits: BTreeMap<LimitId, RateLimit>,
    /// Holds the number of shards; 0 is treated as 1.
    pub shard_count: u16,
    /// Sets how long a node counts as connected to an allocator. The node counts on its own clock, from
    /// before the last request that the allocator answered.
    pub contact_timeout: Ticks,
    /// Limits the relative difference between the rates of two clocks.
    pub clock_drift_ratio: f64,
}

/// Bounds the overshoot of a limit. In any window of `t` seconds at most `rate * t + burst + excess_rate * t`
/// requests are admitted, as long as no more than the given number of nodes are disconnected at some time in
/// it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OvershootBound {
    /// Holds the number of requests that may be admitted in any window, however short.
    pub burst: f64,
    /// Holds the requests per second above the limit's rate.
    pub excess_rate: f64,
}

impl OvershootBound {
    /// Returns the largest number of requests that are admitted in a window of `window` seconds.
    pub fn max_admitted(&self, rate: f64, window: f64) -> f64 {
        rate * window + self.burst + self.excess_rate * window
    }
}

impl QuotaRules {
    /// Returns how long an allocation may be used, by the client's clock from before the request.
    pub fn allocation_lifetime(&self) -> Ticks {
        self.contact_timeout.mul_f64(ALLOCATION_LIFETIME_RATIO)
    }

    /// Returns how many requests a disconnected node may save of its fallback rate: those of an allocation's
    /// lifetime, and at least one.
    pub fn fallback_burst(&self, fallback_rate: f64) -> f64 {
        (fallback_rate * self.allocation_lifetime().as_secs_f64()).max(1.0)
    }

    /// Returns the shard that a limit belongs to.
    pub fn shard_of(&self, limit: LimitId) -> Shard {
        Shard((limit.0 % u64::from(self.shard_count.max(1))) as u16)
    }

    /// Returns the overshoot bound with at most `disconnected_nodes` nodes out of contact with their
    /// allocator. The crate documentation explains why it holds.
    pub fn overshoot_bound(&self, limit: &RateLimit, disconnected_nodes: u32) -> OvershootBound {
        // Converts time of the slowest clock to true time, and the limit's rate to the grant rate of the
        // fastest allocator.
        let drift_factor = 1.0 + self.clock_drift_ratio;
        let disconnected = f64::from(disconnected_nodes);
        let fallback_rate = limit.fallback_rate.unwrap_or(0.0);
        let fallback_burst = limit.fallback_rate.map_or(0.0, |rate| self.fallback_burst(rate));
        OvershootBound {
            burst: limit.rate * drift_factor * self.allocation_lifetime().as_secs_f64() * drift_factor
                + limit.burst
                + disconnected * fallback_burst,
            excess_rate: limit.rate * self.clock_drift_ratio + disconnected * fallback_rate * drift_factor,
        }
    }
}
