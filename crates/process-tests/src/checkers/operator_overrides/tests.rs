//! Tests of [`super`].

use super::*;

/// Detects a checker that misses attempts at an ejected endpoint, or reports those of a balancer that
/// could not know of the ejection.
#[test]
fn attempt_at_a_fleet_ejected_endpoint_is_found() {
    let rules = |attempt_at: Micros, killed: Option<&str>, back: bool| {
        let text = "seed = 1\nseconds = 9.0\nfleet = { balancers = 3, keepers = 3 }\n";
        let mut checker = OperatorOverrideChecker::new(&Scenario::parse(text).unwrap());
        let (mut timeline, mut violations) = (FaultTimeline::default(), Violations::default());
        let mut observe = |at: Micros, event: Event| {
            timeline.on_event(at, &event);
            checker.on_event(at, &event, &timeline, &mut violations);
        };
        let (server, node) = ("u0".to_string(), "n0".to_string());
        observe(SECOND, Event::FleetOverride { node, server: server.clone(), out: true });
        if let Some(node) = killed {
            observe(2 * SECOND, Event::Process { node: node.to_string(), id: 1, did: ProcessChange::Killed });
        }
        for half in 3..40 {
            observe(half * SECOND / 2, Event::HarnessLate { by: 0 });
        }
        if back {
            let (node, server) = ("n1".to_string(), server.clone());
            observe(20 * SECOND, Event::FleetOverride { node, server, out: false });
        }
        let node = "n2".to_string();
        observe(
            attempt_at,
            Event::AttemptReceived { op: 1, server, start: 1, node, first_byte: attempt_at, right: true },
        );
        violations.reported.iter().map(|violation| violation.rule).next()
    };
    assert_eq!(rules(20 * SECOND, None, false), Some("fleet-ban"));
    assert_eq!(rules(8 * SECOND, None, false), None);
    assert_eq!(rules(20 * SECOND, None, true), None);
    // No other balancer had learned of the ejection, or the sending balancer was dead.
    assert_eq!(rules(20 * SECOND, Some("n0"), false), None);
    assert_eq!(rules(20 * SECOND, Some("n2"), false), None);
    assert_eq!(rules(20 * SECOND, Some("n1"), false), Some("fleet-ban"));
}
