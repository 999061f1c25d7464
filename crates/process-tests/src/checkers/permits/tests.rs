//! Tests of [`super`].

use super::*;

/// Detects a checker that misses two holders at a time, or a token that decreases.
#[test]
fn second_holder_and_decreasing_token_are_found() {
    let rules = |slots: u16, events: &[(Micros, &str, u64, Micros)]| {
        let text = format!("seed = 1\nseconds = 1.0\nfleet = {{ keepers = 3, permits = {slots} }}\n");
        let mut checker = PermitChecker::new(&Scenario::parse(&text).unwrap());
        let mut violations = Violations::default();
        for (at, node, token, until) in events {
            let event = match token {
                0 => Event::PermitReleased { node: node.to_string() },
                token => Event::PermitHeld { node: node.to_string(), token: *token, until: *until },
            };
            checker.on_event(*at, &event, &FaultTimeline::default(), &mut violations);
        }
        violations.reported.iter().map(|violation| violation.rule).collect::<Vec<_>>()
    };
    let (a, b) = ((10, "n0", 5, 50), (40, "n1", 6, 90));
    assert_eq!(rules(1, &[a, b]), ["too-many-act"]);
    assert!(rules(2, &[a, b]).is_empty() && rules(1, &[a, (20, "n0", 0, 0), b]).is_empty());
    assert_eq!(rules(1, &[a, (60, "n1", 4, 90)]), ["token-fell"]);
    assert_eq!(rules(1, &[a, (60, "n1", 5, 90)]), ["token-fell"]);
    // A worker may act again after its own time, and others after its extended time.
    assert!(rules(1, &[a, (60, "n0", 7, 90)]).is_empty());
    assert!(rules(1, &[a, (30, "n0", 5, 80), (85, "n1", 6, 90)]).is_empty());
}
