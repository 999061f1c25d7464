//! Tests of [`super`].

use doorproxy_test_servers::events::RequestClass;

use super::*;

/// Detects a checker that misses an overshoot, or reports one that disconnected balancers are allowed.
#[test]
fn overshoot_is_found_unless_disconnected_balancers_explain_it() {
    let rules = |floor: &str, gap: Micros, killed: &[&str]| {
        let text = format!(
            "seed = 1\nseconds = 9.0\nfleet = {{ balancers = 8, keepers = 3, limit = 10.0{floor} }}\n"
        );
        let mut checker = FleetLimitChecker::new(&Scenario::parse(&text).unwrap());
        let (mut timeline, mut violations) = (FaultTimeline::default(), Violations::default());
        let mut observe = |at: Micros, event: Event| {
            timeline.on_event(at, &event);
            checker.on_event(at, &event, &timeline, &mut violations);
        };
        let process = |node: &str, did| Event::Process { node: node.to_string(), id: 1, did };
        observe(1, process("n0", ProcessChange::Started));
        killed.iter().for_each(|node| observe(50 * SECOND, process(node, ProcessChange::Killed)));
        for op in 0..40 {
            let (at, node, server) = (60 * SECOND + op * gap, "n1".to_string(), "u0".to_string());
            observe(
                at,
                Event::RequestStarted {
                    op,
                    node: node.clone(),
                    kind: RequestClass::Idempotent,
                    work: 1,
                    ttl: 9,
                    of: op,
                },
            );
            observe(
                at + 9,
                Event::AttemptReceived { op, server, start: 1, node, first_byte: at + 9, right: true },
            );
        }
        checker.on_end(&timeline, &mut violations);
        violations.reported.iter().map(|violation| violation.rule).next()
    };
    // 40 requests at 12 per second take 3.3 s: 6.7 over the rate, 4.8 allowed.
    assert_eq!(rules("", SECOND / 12, &[]), Some("over-limit"));
    assert_eq!(rules("", SECOND / 10, &[]), None);
    // A disconnected balancer admits its fallback rate. A fault of a registry replica may disconnect all
    // balancers. A strict limit has no fallback rate.
    assert_eq!(rules(", floor = 1.0", SECOND / 12, &[]), Some("over-limit"));
    assert_eq!(rules(", floor = 1.0", SECOND / 12, &["n7"]), None);
    assert_eq!(rules(", floor = 1.0", SECOND / 18, &["n7"]), Some("over-limit"));
    assert_eq!(rules(", floor = 1.0", SECOND / 18, &["n0"]), None);
    assert_eq!(rules("", SECOND / 12, &["n0"]), Some("over-limit"));
}
