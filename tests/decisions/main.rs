//! Traces of decisions for human readers: each event is followed by what the balancer does, separated by
//! bars.

mod admission;
#[path = "../common/mod.rs"]
mod common;
mod concurrency;
mod discovery;
mod dispatcher;
mod load;
mod outliers;
mod queue;
mod requests;
mod retries;
mod routing;
mod selection;
mod slow_start;

use doorproxy::effects::{EndpointStatus, EndpointUpdate};
use doorproxy::ids::ZoneId;
use doorproxy::settings::{RequestClass, Settings};
use expect_test::Expect;

use common::{Harness, ready_update, settings};

/// Returns the trace with each event and what the balancer does on one line.
fn trace_of(harness: &Harness) -> String {
    harness.trace().replace("\n  ", " | ").replace("  ", "")
}

fn check(harness: &Harness, expected: Expect) {
    expected.assert_eq(&trace_of(harness));
}

/// Checks only the part of the trace that begins with this note.
fn check_after(harness: &Harness, note: &str, expected: Expect) {
    let trace = trace_of(harness);
    let (_, rest) = trace.split_once(note).expect("a trace with the note");
    expected.assert_eq(&format!("{note}{rest}"));
}

/// Kind 0 has four endpoints (default pool), kind 1 three (small pool), kinds 2 and 3 one each (range pools).
fn four_kinds() -> Vec<EndpointUpdate> {
    let kinds = [(10, 0), (11, 0), (12, 0), (13, 0), (20, 1), (21, 1), (22, 1), (30, 2), (40, 3)];
    kinds.iter().map(|&(endpoint, kind)| ready_update(endpoint, kind)).collect()
}

fn one_kind(endpoints: &[u32]) -> Vec<EndpointUpdate> {
    endpoints.iter().map(|&endpoint| ready_update(endpoint, 0)).collect()
}

fn with_status(status: EndpointStatus, update: EndpointUpdate) -> EndpointUpdate {
    EndpointUpdate { status, ..update }
}

/// One of many balancers with little traffic, in zone 0, with endpoints that report their load to probes.
/// Endpoints with even ids are in zone 0 too.
fn quiet_balancer() -> Settings {
    let classes = settings().classes;
    let classes = classes.into_iter().map(|class| RequestClass { late_weight_ratio: 0.5, ..class }).collect();
    Settings {
        classes,
        balancer_count: 90,
        load_report_field: Some(0),
        probe_cost_ratio: 0.005,
        zone: Some(ZoneId(0)),
        ..settings()
    }
}

/// The same settings, but probes are too expensive and connections are free.
fn without_probes() -> Settings {
    Settings { probe_cost_ratio: 0.03, connections_free: true, ..quiet_balancer() }
}
