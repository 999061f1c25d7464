//! Estimates the share of this node in the fleet's common limits.

use doorproxy::dispatcher::FleetShare;
use doorproxy::ids::Timestamp;

use super::MembershipNode;

/// Says how many nodes share the fleet's common limits, for the decisions of this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetEstimate {
    /// Holds the number of nodes that share the limits until `valid_until`.
    pub balancer_count: u32,
    /// Holds the ratio of an endpoint's slow-start limit that these nodes may use together, in 0..=1.
    pub slow_start_ratio: f64,
    /// Holds the time until which `balancer_count` and `slow_start_ratio` are valid, by this process's clock.
    pub valid_until: Timestamp,
    /// Holds the share to use after `valid_until` unless there is a newer estimate.
    pub fallback: FleetShare,
    /// Counts the members that are believed alive. It is a belief, for display only.
    pub alive_count: u32,
    /// Is true if `balancer_count` was counted by the registry, and false if it is the fallback.
    pub is_counted: bool,
}

impl FleetEstimate {
    /// Returns the ratio of an endpoint's slow-start limit that this node may use.
    pub fn own_slow_start_ratio(&self) -> f64 {
        self.slow_start_ratio / f64::from(self.balancer_count.max(1))
    }
}

impl MembershipNode {
    /// Returns the estimate for this node's decisions.
    ///
    /// A counted `balancer_count` is never less than the number of nodes that may use full shares. The ratios
    /// of all nodes add up to at most 1, provided that no more nodes run than are configured, or than the
    /// reserve covers.
    pub fn estimate_fleet(&mut self, now: Timestamp) -> FleetEstimate {
        let counted = self.node_count(now);
        let present_count = self.member_list.present().count() as u32 + 1;
        let alive_count = self.member_list.alive_count() as u32;
        let counted_or_zero = counted.map_or(0, |counted| counted.upper_bound);
        self.max_observed_count = self.max_observed_count.max(counted_or_zero).max(present_count);
        let configured_count = self.settings.configured_count.max(1);
        let fallback = FleetShare {
            balancer_count: configured_count.max(self.max_observed_count),
            slow_start_ratio: self.settings.reserve_ratio.unwrap_or(1.0),
        };
        let Some(counted) = counted else {
            return FleetEstimate {
                balancer_count: fallback.balancer_count,
                slow_start_ratio: fallback.slow_start_ratio,
                valid_until: now,
                fallback,
                alive_count,
                is_counted: false,
            };
        };
        // A reliable count also drops nodes that stopped long ago.
        self.max_observed_count = counted.upper_bound.max(present_count);
        FleetEstimate {
            balancer_count: counted.upper_bound,
            slow_start_ratio: self.counted_slow_start_ratio(counted.upper_bound, configured_count),
            valid_until: counted.valid_until,
            fallback,
            alive_count,
            is_counted: true,
        }
    }

    /// Returns the ratio that the counted nodes may use together. The rest is the reserve. Without a reserve,
    /// the rest is left to the nodes that were not counted, each of which uses a share by the configured
    /// number.
    fn counted_slow_start_ratio(&self, counted: u32, configured_count: u32) -> f64 {
        match self.settings.reserve_ratio {
            Some(reserve_ratio) => 1.0 - reserve_ratio,
            None => f64::from(counted) / f64::from(counted.max(configured_count)),
        }
    }
}
