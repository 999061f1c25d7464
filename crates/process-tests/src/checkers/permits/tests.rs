//! Tests of [`super`].

use super::*;

/// Guards against a checker that finds nothing.
#[test]
fn two_who_act_at_once_and_a_token_that_falls_are_found() {
    let rules = |places: u16, events: &[(Micros, &str, u64, Micros)]| {
        let text = format!("seed = 1\nseconds = 1.0\nfleet = {{ keepers = 3, permits = {places} }}\n");
        let mut permits = PermitChecker::new(&Scenario::parse(&text).unwrap());
        let mut found = Findings::default();
        for (at, node, token, until) in events {
            let event = match token {
                0 => Event::PermitReleased { node: node.to_string() },
                token => Event::PermitHeld { node: node.to_string(), token: *token, until: *until },
            };
            permits.on_event(*at, &event, &FaultTimeline::default(), &mut found);
        }
        found.findings.iter().map(|finding| finding.rule).collect::<Vec<_>>()
    };
    let (a, b) = ((10, "n0", 5, 50), (40, "n1", 6, 90));
    assert_eq!(rules(1, &[a, b]), ["too-many-act"]);
    assert!(rules(2, &[a, b]).is_empty() && rules(1, &[a, (20, "n0", 0, 0), b]).is_empty());
    assert_eq!(rules(1, &[a, (60, "n1", 4, 90)]), ["token-fell"]);
    assert_eq!(rules(1, &[a, (60, "n1", 5, 90)]), ["token-fell"]);
    // Whoever acts again after its own time was over acts beside nobody.
    assert!(rules(1, &[a, (60, "n0", 7, 90)]).is_empty());
    assert!(rules(1, &[a, (30, "n0", 5, 80), (85, "n1", 6, 90)]).is_empty());
}
