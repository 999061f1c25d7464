//! Timeouts of discovery calls and the intervals between them.

use crate::ids::Ticks;

/// The timing of discovery calls.
///
/// A change becomes binding [`DiscoveryTiming::NOTIFIED_WITHIN`] after discovery had it and was reachable.
/// Every possible sequence of waits until this balancer is notified fits into that time, whichever call
/// fails, is refused or times out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryTiming {
    /// Discovery answers a watch without changes after this time.
    pub watch_wait: Ticks,
    /// The additional time after which a silent watch is considered broken. All watches of a fleet may break
    /// at the same moment, and discovery handles calls one after the other, so this time differs between
    /// balancers.
    pub watch_grace: Ticks,
}

impl DiscoveryTiming {
    /// The time after which a change is binding at the latest.
    pub const NOTIFIED_WITHIN: Ticks = Ticks(60_000);
    /// The time after which discovery itself aborts a waiting call.
    pub const SERVICE_TIMEOUT: Ticks = Ticks(20_000);
    /// The timeout of a call for a snapshot.
    pub const SNAPSHOT_TIMEOUT: Ticks = Ticks(22_000);
    /// The longest time from a failed call to the next.
    pub const MAX_BACKOFF: Ticks = Ticks(12_000);
    const MAX_WATCH_WAIT: Ticks = Ticks(20_000);
    const MIN_WATCH_WAIT: Ticks = Ticks(10_000);
    /// The minimum covers a busy process on the path; the spread makes the time differ between balancers.
    const MIN_WATCH_GRACE: Ticks = Ticks(4_000);
    const WATCH_GRACE_SPREAD: Ticks = Ticks(4_000);

    /// Creates the timing. `spread` in 0..=1 differs between balancers.
    pub(super) fn new(max_poll_interval: Ticks, spread: f64) -> DiscoveryTiming {
        let watch_wait = max_poll_interval.mul_f64(0.5).clamp(Self::MIN_WATCH_WAIT, Self::MAX_WATCH_WAIT);
        let watch_grace = Self::MIN_WATCH_GRACE + Self::WATCH_GRACE_SPREAD.mul_f64(spread);
        DiscoveryTiming { watch_wait, watch_grace }
    }

    /// Returns the timeout of a watch.
    pub fn watch_timeout(&self) -> Ticks {
        self.watch_wait + self.watch_grace
    }
}
