//! Tests of [`super`].

use super::*;

/// Detects a checker that misses a wrong count: three balancers run undisturbed, and one counts two
/// members.
#[test]
fn undercount_is_found_once_all_members_have_settled() {
    let scenario =
        Scenario::parse("seed = 1\nseconds = 1.0\nfleet = { balancers = 3, keepers = 3 }\n").unwrap();
    let rules = |at: Micros, among: u32, stops: bool| {
        let (mut counts, mut timeline, mut violations) =
            (MemberCountChecker::new(&scenario), FaultTimeline::default(), Violations::default());
        let process = |node: &str, did| Event::Process { node: node.to_string(), id: 1, did };
        let mut events: Vec<(Micros, Event)> =
            ["n0", "n1", "n2"].map(|node| (SECOND, process(node, ProcessChange::Started))).to_vec();
        if stops {
            events.push((at - SECOND, process("n2", ProcessChange::Paused)));
        }
        events.push((at, Event::MemberCount { node: "n0".to_string(), asked: at, among, counted: true }));
        for (at, event) in &events {
            timeline.on_event(*at, event);
            counts.on_event(*at, event, &timeline, &mut violations);
        }
        violations.reported.len()
    };
    assert_eq!((rules(20 * SECOND, 2, false), rules(20 * SECOND, 3, false)), (1, 0));
    // A balancer that has just started, or is paused, need not be counted.
    assert_eq!((rules(5 * SECOND, 2, false), rules(20 * SECOND, 2, true)), (0, 0));
}
