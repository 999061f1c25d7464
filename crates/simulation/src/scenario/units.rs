//! The text format of times in a scenario.

use crate::time::{MS, Micros, SECOND};

/// The number before the unit must be smaller than this.
const MAX_VALUE: f64 = 1e6;

/// Formats a time as seconds with microseconds, such as `1.500000s`.
pub fn format_seconds(time: Micros) -> String {
    format!("{}.{:06}s", time / SECOND, time % SECOND)
}

/// Reads a time such as `1.5s` or `20ms`.
pub fn parse_time(text: &str) -> Option<Micros> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, MS),
        None => (text.strip_suffix('s')?, SECOND),
    };
    let number: f64 = number.parse().ok()?;
    (0.0..MAX_VALUE).contains(&number).then_some((number * unit as f64).round() as Micros)
}
