//! Computes the time limits of a shutdown as sums of the settings.

use doorproxy::ids::Ticks;

/// Fraction of the grace period in which clients are still accepted and served after a shutdown request: if
/// other balancers restart at the same time, the clients of this one would find no other.
const SERVING_GRACE_RATIO: f64 = 2.0 / 3.0;
/// Time after the end of the grace period for flushing the last responses.
const FINAL_FLUSH_TIME: Ticks = Ticks(3500);
/// Time beyond the longest timeout after which open requests expire. Together with the final flush it ends
/// 0.1 s before the operator may kill the process, which is 0.7 s after the longest timeout.
const EXPIRY_ALLOWANCE: Ticks = Ticks(2500);

/// Holds the time limits of a shutdown, all counted from the shutdown request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Until then clients are accepted and served. Afterwards connections close once they have no request.
    pub serving: Ticks,
    /// The end of the grace period: no attempt starts afterwards, and every open request gets its final
    /// response.
    pub grace: Ticks,
    /// The end of the final flush, in which these responses are written: the process exits even if connections
    /// are open.
    pub exit: Ticks,
}

impl ShutdownTimes {
    /// Returns the times for a given grace period. Clients are served for two thirds of it, but at least for
    /// `min_serving_time`.
    pub fn with_grace_period(grace_period: Ticks, min_serving_time: Ticks) -> ShutdownTimes {
        ShutdownTimes {
            serving: grace_period.mul_f64(SERVING_GRACE_RATIO).max(min_serving_time),
            grace: grace_period,
            exit: grace_period + FINAL_FLUSH_TIME,
        }
    }

    /// Returns the times for a process that may be killed 0.7 s after the longest timeout of its requests.
    /// Requests keep as much of their time as that allows.
    pub fn for_longest_timeout(timeout: Ticks) -> ShutdownTimes {
        let grace = timeout + EXPIRY_ALLOWANCE;
        ShutdownTimes { serving: timeout.mul_f64(SERVING_GRACE_RATIO), grace, exit: grace + FINAL_FLUSH_TIME }
    }
}
