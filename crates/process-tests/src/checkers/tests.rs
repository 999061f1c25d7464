//! Tests of [`super`].

use doorproxy_test_servers::events::ListedEndpoint;

use super::*;
use crate::history::HistoryLine;

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

fn list_sent(connected_at: Option<Micros>, state: Option<&str>) -> Event {
    let row = |state: &str| ListedEndpoint { server: "u0".to_string(), state: state.to_string(), started: 0 };
    let rows = state.map(row).into_iter().collect();
    Event::ListSent { node: "n0".to_string(), connected_at, version: 1, whole: true, rows }
}

/// Plays a balancer whose first process is killed, and returns the rules that its second process violates with an
/// attempt 3 s after it was started.
fn rules_of_second_process(first_list: Event, late_list: Event, second_list: Event) -> Vec<&'static str> {
    let process = |did| Event::Process { node: "n0".to_string(), id: 1, did };
    let (server, node) = ("u0".to_string(), "n0".to_string());
    let first_byte = 8 * SECOND;
    let events = [
        (0, list_sent(None, None)),
        (1, process(ProcessChange::Started)),
        (SECOND, first_list),
        (3 * SECOND, process(ProcessChange::Killed)),
        (4 * SECOND, late_list),
        (5 * SECOND, list_sent(None, None)),
        (5 * SECOND + 1, process(ProcessChange::Started)),
        (5 * SECOND + 2, second_list),
        (first_byte, Event::AttemptReceived { op: 1, server, start: 1, node, first_byte, right: true }),
    ];
    let lines = events.into_iter().map(|(at, event)| HistoryLine { at, event }).collect();
    let scenario = Scenario::parse("seed = 1\nseconds = 9.0\nfleet = { balancers = 1 }\n").unwrap();
    let violations = check_history(&scenario, &History { lines, is_truncated: true });
    violations.iter().map(|violation| violation.rule).filter(|rule| *rule == "drain").collect()
}

/// Prevents that a list which discovery sent to a process that was dead already counts for the balancer's next
/// process, and that a list which the next process gets does not count.
#[test]
fn list_for_a_dead_process_does_not_inform_the_next_one() {
    let old = Some(SECOND / 2);
    let active = list_sent(old, Some("active"));
    let nothing = Event::HarnessLate { by: 0 };
    assert_eq!(rules_of_second_process(active.clone(), nothing.clone(), nothing.clone()), [""; 0]);
    assert_eq!(rules_of_second_process(active.clone(), active.clone(), nothing.clone()), [""; 0]);
    let leaving = |connected_at| list_sent(connected_at, Some("leaving"));
    assert_eq!(rules_of_second_process(active.clone(), nothing.clone(), leaving(old)), [""; 0]);
    let own = Some(5 * SECOND + 1);
    assert_eq!(rules_of_second_process(active.clone(), active, leaving(own)), ["drain"]);
    assert_eq!(rules_of_second_process(nothing.clone(), nothing, leaving(own)), ["drain"]);
}
