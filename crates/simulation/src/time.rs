//! Virtual time.

/// A virtual time in microseconds since the start of the run, or a duration in microseconds.
pub type Micros = u64;

/// One millisecond.
pub const MS: Micros = 1_000;
/// One second.
pub const SECOND: Micros = 1_000_000;
/// The Unix time in milliseconds at the start of a run, on all hosts.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;
