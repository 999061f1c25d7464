//! The learned state that one process passes to the next: the settings under which it was learned, and the
//! lines that may be restored.

const SETTINGS_PREFIX: &str = "settings ";
/// Marks the lines that count the work sent to an endpoint.
const SENT_PREFIX: &str = "sent ";

/// Prepends a line with the hash of the settings under which the state was learned.
pub fn prepend_settings(settings_hash: u64, learned_state: &str) -> String {
    format!("{SETTINGS_PREFIX}{settings_hash:016x}\n{learned_state}")
}

/// Returns whether the state was learned under the settings with this hash.
///
/// This rejects the state of another deployment whose balancer, endpoints and request classes have the same
/// names. A state without a settings line is rejected as well.
pub fn has_settings(settings_hash: u64, learned_state: &str) -> bool {
    let first_line = learned_state.lines().next();
    let persisted_hash = first_line.and_then(|line| line.strip_prefix(SETTINGS_PREFIX));
    persisted_hash.is_some_and(|hash| hash == format!("{settings_hash:016x}"))
}

/// Returns the lines of a learned state that may be passed from one process to the next: the work sent to
/// each endpoint, which counts against endpoints in slow start. Lines of endpoints for which `is_gone`
/// returns true (those that restarted or are no longer known) are omitted.
///
/// All other lines are omitted. Spare capacity and answered work would raise a slow-start limit by outdated
/// knowledge. Floors have no time and would be passed on from one restart to the next forever. Cost estimates
/// and samples brought no measurable benefit (`docs/design/recovery.md`). The filter is applied both when
/// writing and when reading, so that not even a forged file can raise a limit.
pub fn transferable_learned_state(learned_state: &str, is_gone: impl Fn(u32) -> bool) -> String {
    let is_transferable = |line: &&str| sent_endpoint(line).is_some_and(|endpoint| !is_gone(endpoint));
    let lines = learned_state.lines().filter(is_transferable);
    lines.flat_map(|line| [line, "\n"]).collect()
}

/// Returns the endpoint of a line that counts sent work, or `None` for any other line.
fn sent_endpoint(line: &str) -> Option<u32> {
    let rest = line.strip_prefix(SENT_PREFIX)?;
    rest.split(' ').next()?.parse().ok()
}

#[cfg(test)]
mod tests;
