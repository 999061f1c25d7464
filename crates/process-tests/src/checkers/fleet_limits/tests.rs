//! Tests of [`super`].

use doorproxy_test_servers::events::RequestClass;

use super::*;

/// Guards against a checker that finds nothing, or blames a fleet for what a cut allows.
#[test]
fn too_many_in_a_window_are_found_unless_so_many_are_out_of_touch() {
    let rules = |floor: &str, gap: Micros, killed: &[&str]| {
        let text = format!(
            "seed = 1\nseconds = 9.0\nfleet = {{ balancers = 8, keepers = 3, limit = 10.0{floor} }}\n"
        );
        let mut limited = FleetLimitChecker::new(&Scenario::parse(&text).unwrap());
        let (mut world, mut found) = (FaultTimeline::default(), Findings::default());
        let mut see = |at: Micros, event: Event| {
            world.on_event(at, &event);
            limited.on_event(at, &event, &world, &mut found);
        };
        let process = |node: &str, did| Event::Process { node: node.to_string(), id: 1, did };
        see(1, process("n0", ProcessChange::Started));
        killed.iter().for_each(|node| see(50 * SECOND, process(node, ProcessChange::Killed)));
        for op in 0..40 {
            let (at, node, server) = (60 * SECOND + op * gap, "n1".to_string(), "u0".to_string());
            see(
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
            see(
                at + 9,
                Event::AttemptReceived { op, server, start: 1, node, first_byte: at + 9, right: true },
            );
        }
        limited.on_end(&world, &mut found);
        found.findings.iter().map(|finding| finding.rule).next()
    };
    // 12 a second, in 3.3 s: 6.7 beyond the rate, where 4.8 may be.
    assert_eq!(rules("", SECOND / 12, &[]), Some("over-limit"));
    assert_eq!(rules("", SECOND / 10, &[]), None);
    // Whoever is out of touch has a floor; with a keeper in trouble it may be all of them, and strict allows none.
    assert_eq!(rules(", floor = 1.0", SECOND / 12, &[]), Some("over-limit"));
    assert_eq!(rules(", floor = 1.0", SECOND / 12, &["n7"]), None);
    assert_eq!(rules(", floor = 1.0", SECOND / 18, &["n7"]), Some("over-limit"));
    assert_eq!(rules(", floor = 1.0", SECOND / 18, &["n0"]), None);
    assert_eq!(rules("", SECOND / 12, &["n0"]), Some("over-limit"));
}
