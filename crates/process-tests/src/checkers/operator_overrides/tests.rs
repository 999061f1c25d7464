//! Tests of [`super`].

use super::*;

/// Guards against a checker that finds nothing, and against one that blames whoever could not have heard.
#[test]
fn who_pushes_to_what_is_out_for_the_fleet_is_found_once_it_can_have_heard() {
    let rules = |pushed: Micros, killed: Option<&str>, back: bool| {
        let text = "seed = 1\nseconds = 9.0\nfleet = { balancers = 3, keepers = 3 }\n";
        let mut said = OperatorOverrideChecker::new(&Scenario::parse(text).unwrap());
        let (mut world, mut found) = (FaultTimeline::default(), Findings::default());
        let mut see = |at: Micros, event: Event| {
            world.on_event(at, &event);
            said.on_event(at, &event, &world, &mut found);
        };
        let (server, node) = ("u0".to_string(), "n0".to_string());
        see(SECOND, Event::FleetOverride { node, server: server.clone(), out: true });
        if let Some(node) = killed {
            see(2 * SECOND, Event::Process { node: node.to_string(), id: 1, did: ProcessChange::Killed });
        }
        for half in 3..40 {
            see(half * SECOND / 2, Event::HarnessLate { by: 0 });
        }
        if back {
            let (node, server) = ("n1".to_string(), server.clone());
            see(20 * SECOND, Event::FleetOverride { node, server, out: false });
        }
        let node = "n2".to_string();
        see(
            pushed,
            Event::AttemptReceived { op: 1, server, start: 1, node, first_byte: pushed, right: true },
        );
        found.findings.iter().map(|finding| finding.rule).next()
    };
    assert_eq!(rules(20 * SECOND, None, false), Some("fleet-ban"));
    assert_eq!(rules(8 * SECOND, None, false), None);
    assert_eq!(rules(20 * SECOND, None, true), None);
    // Nobody else had heard of it, or the one that sends was away.
    assert_eq!(rules(20 * SECOND, Some("n0"), false), None);
    assert_eq!(rules(20 * SECOND, Some("n2"), false), None);
    assert_eq!(rules(20 * SECOND, Some("n1"), false), Some("fleet-ban"));
}
