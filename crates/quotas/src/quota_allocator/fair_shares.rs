//! Max-min fair shares of a rate. Small demands are met, and the clients whose demands cannot be met get
//! equal shares. If the rate exceeds the sum of all demands, the rest is divided equally.

use doorproxy::ids::Timestamp;

/// Determines the share of each client of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct FairShares {
    pub(crate) computed_at: Timestamp,
    /// Limits the share of each client while the rate is scarce, in requests per second.
    fair_share: f64,
    /// Holds the requests per second that each client gets in addition to its demand.
    surplus_share: f64,
}

impl FairShares {
    /// Returns the share of a client with this demand, both in requests per second.
    pub(crate) fn share_of(&self, demand: f64) -> f64 {
        demand.min(self.fair_share) + self.surplus_share
    }
}

/// Divides `rate` among clients with these demands, all in requests per second.
pub(crate) fn max_min_fair_shares(
    now: Timestamp,
    rate: f64,
    demands: impl Iterator<Item = f64>,
) -> FairShares {
    let mut demands: Vec<f64> = demands.collect();
    demands.sort_by(f64::total_cmp);
    let count = demands.len();
    let mut remaining = rate;
    for (index, demand) in demands.iter().enumerate() {
        let equal_share = remaining / (count - index) as f64;
        if *demand > equal_share {
            return FairShares { computed_at: now, fair_share: equal_share, surplus_share: 0.0 };
        }
        remaining -= demand;
    }
    FairShares { computed_at: now, fair_share: rate, surplus_share: remaining / count.max(1) as f64 }
}

#[cfg(test)]
mod tests;
