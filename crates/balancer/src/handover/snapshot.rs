//! Encodes the learned-state snapshot that a process leaves to its successor: a header line with the hash of
//! the settings and the time, and then the state.

use doorproxy::ids::{Ticks, Timestamp};

const FORMAT: &str = "doorproxy-learned 1";
/// Limits the age of a snapshot. The predecessor writes one at each lifecycle check while a successor starts,
/// so an older one belongs to an earlier handover.
const MAX_AGE: Ticks = Ticks(10_000);

fn header(settings_hash: u64, at: Timestamp) -> String {
    format!("{FORMAT} {settings_hash:016x} {}", at.0)
}

/// Prepends the header to a learned state, whose ids are valid only under equal settings.
pub fn encode(settings_hash: u64, at: Timestamp, learned_state: &str) -> String {
    format!("{}\n{learned_state}", header(settings_hash, at))
}

/// Returns the learned state of a snapshot, or `None` if its format or settings differ or it is older than a
/// second.
pub fn decode(text: &str, settings_hash: u64, now: Timestamp) -> Option<&str> {
    let (head, learned_state) = text.split_once('\n')?;
    let (_, at) = head.rsplit_once(' ')?;
    let at = Timestamp(at.parse().ok()?);
    let is_valid = now - at <= MAX_AGE && head == header(settings_hash, at);
    is_valid.then_some(learned_state)
}
