//! Coming back with a kept state, on real processes: who serves before the list is back, and from what.

use doorproxy_process_tests::cluster::{RunOptions, RunReport, run_scenario};
use doorproxy_process_tests::scenario::Scenario;
use doorproxy_test_servers::events::{Event, ProcessChange};

fn run_text(text: &str) -> RunReport {
    let folder = tempfile::tempdir().unwrap();
    run_scenario(&Scenario::parse(text).unwrap(), &RunOptions::with_built_program(folder.path()).unwrap())
        .unwrap()
}

/// Requests that each balancer served between its return and the first word of the list service to it.
fn served_before_discovery(played: &RunReport) -> Vec<(String, bool)> {
    let lines = &played.history.lines;
    let killed = lines
        .iter()
        .position(|line| matches!(&line.event, Event::Process { did: ProcessChange::Killed, .. }))
        .unwrap();
    let of_node = |node: &str| {
        let mut ops = std::collections::BTreeSet::new();
        let after = lines[killed..].iter().skip_while(
            |line| !matches!(&line.event, Event::Process { node: of, did: ProcessChange::Started, .. } if of == node),
        );
        for line in after {
            match &line.event {
                Event::DiscoveryCalled { node: of, .. } if of == node => return false,
                Event::RequestStarted { op, node: of, .. } if of == node => drop(ops.insert(*op)),
                Event::ResponseReceived { op, status: 200, .. } if ops.contains(op) => return true,
                _ => {}
            }
        }
        false
    };
    ["n0", "n1", "n2", "n3"].map(|node| (node.to_string(), of_node(node))).to_vec()
}

fn scenario_text(state: bool, folder: &str) -> String {
    format!(
        "seed = 5\nseconds = 9.0\nfleet = {{ balancers = 4, upstreams = 4, state = {state} }}\n\
         [[fault]]\nat = 1.9\nwhat = \"list-away\"\nfor = 6.0\n\
         [[fault]]\nat = 2.0\nwhat = \"kill\"\nwho = \"n*\"\nfor = 0.5\nknown = \"empty\"\nfolder = {folder:?}\n"
    )
}

/// With a kept folder all four serve while nobody can tell them of an endpoint; without one, or with it lost,
/// none does.
#[test]
fn a_kept_state_directory_serves_before_discovery_is_back() {
    let cases = [(true, "kept"), (true, "emptied"), (false, "kept")];
    let plays = std::thread::scope(|scope| {
        let plays = cases.map(|(state, folder)| scope.spawn(move || run_text(&scenario_text(state, folder))));
        plays.map(|play| play.join().unwrap())
    });
    for ((state, folder), played) in cases.into_iter().zip(plays) {
        assert_eq!(played.findings, [], "{state} {folder}");
        let expected = state && folder == "kept";
        let served = served_before_discovery(&played);
        assert!(served.iter().all(|(_, is_served)| *is_served == expected), "{state} {folder}: {served:?}");
    }
}

/// Guards against balancers that refuse before idle endpoints, since idle ones had borne little before they
/// restarted.
#[test]
fn upstreams_that_were_idle_are_used_while_they_warm() {
    let text = "seed = 6\nseconds = 8.0\n\
                fleet = { balancers = 3, upstreams = 4, warm_s = 60.0 }\nload = { rate = 120.0 }\n\
                [[fault]]\nat = 2.0\nwhat = \"restart\"\nwho = \"u*\"\n";
    let played = run_text(text);
    assert_eq!(played.findings, []);
    let from =
        played.history.lines.iter().position(|line| matches!(&line.event, Event::Fault { .. })).unwrap();
    let answers = played.history.lines[from..].iter().filter_map(|line| match &line.event {
        Event::ResponseReceived { status, .. } => Some(*status),
        _ => None,
    });
    let (served, refused): (Vec<u16>, Vec<u16>) = answers.partition(|status| *status == 200);
    // Of 700 or so, and some that the restart itself broke off.
    assert!(refused.len() * 4 < served.len(), "{} were served, {} refused", served.len(), refused.len());
}
