//! Clock readings that can be persisted, and the age of a fact between two of them.
//!
//! An age that may be too short is always marked as uncertain, because a wall clock can be set and differs
//! between machines.

use std::fmt;

use doorproxy::ids::Ticks;
use serde::{Deserialize, Serialize};

const TICKS_PER_MS: i64 = 10;
/// Limits a span of time to what fits into [`Ticks`], in milliseconds.
const MAX_SPAN_MS: i64 = i64::MAX / TICKS_PER_MS;

/// Represents a point in time by the two clocks of a machine: the wall clock, and the time since boot
/// including sleep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClockReading {
    /// Holds the Unix time in milliseconds.
    pub wall_ms: u64,
    /// Identifies the boot of the machine. It is empty if the boot is unknown.
    pub boot_id: String,
    /// Holds the milliseconds since the machine booted.
    pub since_boot_ms: u64,
}

/// Describes the age of a fact, and how certain it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Age {
    /// The age was measured by a monotonic clock.
    Monotonic(Ticks),
    /// The age was measured only by the wall clock, which may have been set, so the fact may be older.
    WallClock(Ticks),
    /// The age is unknown, because a clock ran backwards.
    Unknown,
}

impl Age {
    /// Returns the age at `now` of a fact from `then`.
    pub fn between(then: &ClockReading, now: &ClockReading) -> Age {
        let is_same_boot = !now.boot_id.is_empty() && then.boot_id == now.boot_id;
        if is_same_boot {
            // If the time since boot ran backwards within one boot, neither clock can be trusted.
            let elapsed_ms = now.since_boot_ms.checked_sub(then.since_boot_ms);
            return elapsed_ms.map_or(Age::Unknown, |elapsed_ms| Age::Monotonic(ticks_from_ms(elapsed_ms)));
        }
        let elapsed_ms = now.wall_ms.checked_sub(then.wall_ms);
        elapsed_ms.map_or(Age::Unknown, |elapsed_ms| Age::WallClock(ticks_from_ms(elapsed_ms)))
    }

    /// Returns a bound that the true age does not exceed, or `None` if no such bound is certain.
    pub fn upper_bound(self) -> Option<Ticks> {
        match self {
            Age::Monotonic(age) => Some(age),
            Age::WallClock(_) | Age::Unknown => None,
        }
    }
}

fn ticks_from_ms(ms: u64) -> Ticks {
    let ms = i64::try_from(ms).unwrap_or(MAX_SPAN_MS);
    Ticks(ms.saturating_mul(TICKS_PER_MS))
}

impl fmt::Display for Age {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Age::Monotonic(age) => write!(formatter, "{:.1} s old", age.as_secs_f64()),
            Age::WallClock(age) => write!(formatter, "{:.1} s old by the wall clock", age.as_secs_f64()),
            Age::Unknown => write!(formatter, "of unknown age"),
        }
    }
}

#[cfg(test)]
mod tests;
