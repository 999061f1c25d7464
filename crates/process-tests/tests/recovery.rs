//! Tests of recovery with real processes: which balancers serve requests before discovery is back, and which
//! endpoints they use.

use doorproxy_process_tests::cluster::{RunOptions, RunReport, run_scenario};
use doorproxy_process_tests::scenario::Scenario;
use doorproxy_test_servers::events::{Event, ProcessChange};

fn run_text(text: &str) -> RunReport {
    let directory = tempfile::tempdir().unwrap();
    let options = RunOptions::with_built_program(directory.path()).unwrap();
    run_scenario(&Scenario::parse(text).unwrap(), &options).unwrap()
}

/// Returns, for each balancer, true if it served a request after its restart and before its first call of
/// discovery.
fn served_before_discovery(report: &RunReport) -> Vec<(String, bool)> {
    let lines = &report.history.lines;
    let killed = lines
        .iter()
        .position(|line| matches!(&line.event, Event::Process { did: ProcessChange::Killed, .. }))
        .unwrap();
    let served = |node: &str| {
        let mut ops = std::collections::BTreeSet::new();
        let after = lines[killed..].iter().skip_while(|line| {
            !matches!(
                &line.event,
                Event::Process { node: of, did: ProcessChange::Started, .. } if of == node
            )
        });
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
    ["n0", "n1", "n2", "n3"].map(|node| (node.to_string(), served(node))).to_vec()
}

fn scenario_text(keeps_state: bool, state_directory: &str) -> String {
    format!(
        "seed = 5\nseconds = 9.0\nfleet = {{ balancers = 4, upstreams = 4, state = {keeps_state} }}\n\
         [[fault]]\nat = 1.9\nwhat = \"list-away\"\nfor = 6.0\n\
         [[fault]]\nat = 2.0\nwhat = \"kill\"\nwho = \"n*\"\nfor = 0.5\nknown = \"empty\"\n\
         folder = {state_directory:?}\n"
    )
}

/// With a kept state directory all four balancers serve requests while discovery is away and the configured
/// list is empty. Without a state directory, or with an emptied one, none does.
#[test]
fn kept_state_directory_serves_before_discovery_is_back() {
    let cases = [(true, "kept"), (true, "emptied"), (false, "kept")];
    let reports = std::thread::scope(|scope| {
        let runs = cases.map(|(keeps_state, directory)| {
            scope.spawn(move || run_text(&scenario_text(keeps_state, directory)))
        });
        runs.map(|run| run.join().unwrap())
    });
    for ((keeps_state, directory), report) in cases.into_iter().zip(reports) {
        let case = format!("state: {keeps_state}, directory: {directory}");
        assert_eq!(report.violations, [], "{case}");
        let expected = keeps_state && directory == "kept";
        let served = served_before_discovery(&report);
        assert!(served.iter().all(|(_, has_served)| *has_served == expected), "{case}: {served:?}");
    }
}

/// Detects balancers that reject requests although the endpoints are idle: endpoints that had little
/// load before they restarted count as able to sustain little.
#[test]
fn lightly_loaded_upstreams_are_used_while_they_warm() {
    let text = "seed = 6\nseconds = 8.0\n\
                fleet = { balancers = 3, upstreams = 4, warm_s = 60.0 }\nload = { rate = 120.0 }\n\
                [[fault]]\nat = 2.0\nwhat = \"restart\"\nwho = \"u*\"\n";
    let report = run_text(text);
    assert_eq!(report.violations, []);
    let lines = &report.history.lines;
    let restart = lines.iter().position(|line| matches!(&line.event, Event::Fault { .. })).unwrap();
    let statuses = lines[restart..].iter().filter_map(|line| match &line.event {
        Event::ResponseReceived { status, .. } => Some(*status),
        _ => None,
    });
    let (served, unserved): (Vec<u16>, Vec<u16>) = statuses.partition(|status| *status == 200);
    // There are about 700 responses; a few are errors because the restart itself interrupted their requests.
    assert!(unserved.len() * 4 < served.len(), "{} served, {} not served", served.len(), unserved.len());
}
