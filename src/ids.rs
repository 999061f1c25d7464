//! Typed identifiers, and times in units of 0.1 ms.

use std::ops::{Add, Sub};
use std::time::Duration;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Identifies a request within this balancer.
    RequestId(u32),
    /// Identifies one instance of the service behind the balancer.
    EndpointId(u32),
    /// The number of an attempt among those of its request, from 0.
    AttemptNumber(u16),
    /// Identifies a timer.
    TimerId(u64),
    /// An endpoint kind, by its index in the settings.
    EndpointKindId(u16),
    /// A zone, by its index in the settings.
    ZoneId(u16),
    /// Identifies a cell within a zone.
    CellId(u16),
    /// A request class, by its index in the settings.
    ClassId(u16),
    /// A tenant, by its index in the settings.
    TenantId(u16),
    /// The hash of a request's key.
    KeyHash(u64),
}

/// A point in time, in units of 0.1 ms since an epoch that the caller chooses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub i64);

/// A duration in units of 0.1 ms. It can be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticks(pub i64);

const TICKS_PER_SECOND: f64 = 1e4;
const TICKS_PER_MILLISECOND: i64 = 10;
const MICROSECONDS_PER_TICK: u64 = 100;

impl Ticks {
    /// A duration of zero.
    pub const ZERO: Ticks = Ticks(0);

    /// Converts seconds to ticks, rounded to the nearest tick.
    pub fn from_secs_f64(secs: f64) -> Ticks {
        Ticks((secs * TICKS_PER_SECOND).round() as i64)
    }

    /// Returns the duration in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / TICKS_PER_SECOND
    }

    /// Returns the duration in whole milliseconds, rounded towards zero.
    pub fn as_millis(self) -> i64 {
        self.0 / TICKS_PER_MILLISECOND
    }

    /// Multiplies the duration and rounds to the nearest tick.
    pub fn mul_f64(self, factor: f64) -> Ticks {
        Ticks((self.0 as f64 * factor).round() as i64)
    }
}

/// Converts a negative duration to zero.
impl From<Ticks> for Duration {
    fn from(ticks: Ticks) -> Duration {
        Duration::from_micros(ticks.0.max(0) as u64 * MICROSECONDS_PER_TICK)
    }
}

impl Timestamp {
    /// Converts seconds since the epoch, rounded to the nearest tick.
    pub fn from_secs_f64(secs: f64) -> Timestamp {
        Timestamp(Ticks::from_secs_f64(secs).0)
    }

    /// Returns the time in seconds since the epoch.
    pub fn as_secs_f64(self) -> f64 {
        Ticks(self.0).as_secs_f64()
    }
}

impl Add<Ticks> for Timestamp {
    type Output = Timestamp;

    fn add(self, ticks: Ticks) -> Timestamp {
        Timestamp(self.0.saturating_add(ticks.0))
    }
}

impl Sub<Ticks> for Timestamp {
    type Output = Timestamp;

    fn sub(self, ticks: Ticks) -> Timestamp {
        Timestamp(self.0.saturating_sub(ticks.0))
    }
}

impl Sub<Timestamp> for Timestamp {
    type Output = Ticks;

    fn sub(self, earlier: Timestamp) -> Ticks {
        Ticks(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Ticks {
    type Output = Ticks;

    fn add(self, other: Ticks) -> Ticks {
        Ticks(self.0.saturating_add(other.0))
    }
}
