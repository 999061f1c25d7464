//! Tests of [`super`].

use super::*;

/// Guards against a checker that finds nothing: three run undisturbed, and one takes its part among two.
#[test]
fn a_part_among_too_few_is_found_once_all_have_settled() {
    let script =
        Scenario::parse("seed = 1\nseconds = 1.0\nfleet = { balancers = 3, keepers = 3 }\n").unwrap();
    let rules = |at: Micros, among: u32, stops: bool| {
        let (mut counts, mut world, mut found) =
            (MemberCountChecker::new(&script), FaultTimeline::default(), Findings::default());
        let process = |node: &str, did| Event::Process { node: node.to_string(), id: 1, did };
        let mut events: Vec<(Micros, Event)> =
            ["n0", "n1", "n2"].map(|node| (SECOND, process(node, ProcessChange::Started))).to_vec();
        if stops {
            events.push((at - SECOND, process("n2", ProcessChange::Paused)));
        }
        events.push((at, Event::MemberCount { node: "n0".to_string(), asked: at, among, counted: true }));
        for (at, event) in &events {
            world.on_event(*at, event);
            counts.on_event(*at, event, &world, &mut found);
        }
        found.findings.len()
    };
    assert_eq!((rules(20 * SECOND, 2, false), rules(20 * SECOND, 3, false)), (1, 0));
    // A newcomer, or one that stands still, takes no full part.
    assert_eq!((rules(5 * SECOND, 2, false), rules(20 * SECOND, 2, true)), (0, 0));
}
