//! What the log says of a process when something has gone wrong: its state, and why connections closed and requests
//! were not answered.

mod common;

use std::io::{BufRead, BufReader};
use std::thread;

use common::*;

/// Prevents that the log does not show when a process began to serve: the lines about a long endpoint list had used
/// up the lines of that second.
#[test]
fn state_of_the_process_is_logged_beside_a_long_list() {
    let unreachable = UNREACHABLE_ADDRESS.parse().unwrap();
    let known: Vec<_> = (0..64).map(|n| endpoint_entry(&format!("s-{n}"), unreachable, "active")).collect();
    let (mut process, _) = spawn_balancer(&config(&known, closing_service(), 256).to_string(), None);
    let lines = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
    let log = Trace::default();
    let log_writer = log.clone();
    let reader = thread::spawn(move || lines.for_each(|line| log_writer.record(&line)));
    log.wait_for_prefix("server: serving on ", 1);
    process.kill().unwrap();
    process.wait().unwrap();
    reader.join().unwrap();
}

/// Prevents that an operator can't tell from the log why requests failed and connections were closed.
#[test]
fn log_counts_failures_by_their_reason() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    Client::new(&balancer).post("/break", "1").record_answer(&trace);
    Client::new(&balancer).get("/", "").record_answer(&trace);
    for part in ["broken: 1", "answered 502: 1", "answered 4xx: 1"] {
        balancer.log.wait_until(part, |log| {
            log.lines().any(|line| line.starts_with("server: since the last report: ") && line.contains(part))
        });
    }
}
