//! Tests of [`super`].

use super::*;

/// Detects a violation that follows from a faulty path: of two overlapping faults on it, only one has
/// ended.
#[test]
fn path_is_healed_when_its_last_fault_ends() {
    let mut timeline = FaultTimeline::default();
    let ways = vec![(CLIENTS.to_string(), "n0".to_string())];
    for (at, over) in [(10, false), (20, false), (30, true), (50, true)] {
        timeline.on_event(at, &Event::Fault { text: String::new(), ways: ways.clone(), over });
    }
    let was_faulty = |from, to| timeline.had_client_path_fault("n0", from, to);
    assert!(!was_faulty(0, 9) && was_faulty(40, 45) && !was_faulty(51, 60));
}
