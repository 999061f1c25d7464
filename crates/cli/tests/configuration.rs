//! The configuration file: which changes a reload applies, and how an invalid file is reported.

mod common;

use std::fmt::Write as _;

use common::*;
use expect_test::expect;
use serde_json::{Value, json};

/// Detects a SIGHUP that ends the process, and a reload that keeps polling the old discovery
/// address.
#[test]
fn reload_follows_discovery_to_its_new_address() {
    let trace = Trace::default();
    let (a, b) = (test_endpoint("A", &trace), test_endpoint("B", &trace));
    let calls = Trace::default();
    let call_log = calls.clone();
    let new_discovery = discovery_service(move |call| {
        call_log.record(call);
        (!call.contains("after")).then(|| endpoint_snapshot(&[endpoint_entry("b", b, "active")]).to_string())
    });
    let known = [endpoint_entry("a", a, "active")];
    let balancer = start(&known);
    let mut pending_client = Client::new(&balancer);
    pending_client.post("/slow", "1");
    trace.wait_for("A: POST /slow HTTP/1.1 id 1 body \"one\"");
    std::fs::write(&balancer.config, "{").unwrap();
    balancer.signal("HUP");
    balancer.log.wait_for_prefix("config: not reloaded: ", 1);
    Client::new(&balancer).get("/", "2").record_answer(&trace);
    std::fs::write(&balancer.config, config(&known, new_discovery, 256).to_string()).unwrap();
    balancer.signal("HUP");
    calls.wait_for("GET /api/targets HTTP/1.1");
    calls.wait_for("GET /api/targets?after=1&wait_ms=1000 HTTP/1.1");
    Client::new(&balancer).get("/", "3").record_answer(&trace);
    trace.record("go on");
    pending_client.record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: POST /slow HTTP/1.1 id 1 body "one"
        A: GET / HTTP/1.1 id 2 body ""
        client: 200 "well", x-kept as it came
        B: GET / HTTP/1.1 id 3 body ""
        client: 200 "well", x-kept as it came
        go on
        client: 200 "slow"
    "#]]);
}

#[test]
fn invalid_config_is_reported_in_one_line() {
    let mut report = String::new();
    let valid = config(&[], UNREACHABLE_ADDRESS.parse().unwrap(), 256);
    let with = |path: &str, value: Value| {
        let mut config = valid.clone();
        let (parent, name) = path.rsplit_once('/').unwrap();
        config.pointer_mut(parent).unwrap()[name] = value;
        config.to_string()
    };
    let mut conflicting = valid.clone();
    conflicting["settings"]["limits"]["probes"] = json!(false);
    conflicting["settings"]["report"] = json!({"source": "probe", "fields": ["active"]});
    let invalid_configs = [
        "{".to_string(),
        with("/listen", json!("here")),
        with("/seed", json!("seven")),
        with("/limits/sockets", json!(8)),
        with("/settings/categories/0/semantics", json!("sometimes")),
        with("/settings/obligations/cold", Value::Null),
        with("/known/servers", json!([{"id": "a"}])),
        with("/settings/report", json!({"source": "guesses"})),
        with("/settings/report", json!({"source": "probe", "fields": "active"})),
        conflicting.to_string(),
        with("/settings/az", json!(1)),
        with("/settings/prices", json!({"probe": -0.5})),
        with("/settings/prices", json!({"connection": "free"})),
        with("/settings/categories/0/overdue_benefit", json!(1.5)),
    ];
    for config in invalid_configs {
        let output = spawn_balancer(&config, None).0.wait_with_output().unwrap();
        let error = String::from_utf8(output.stderr).unwrap();
        let (_, error) = error.split_once(".json: ").expect("the error names the file");
        writeln!(report, "{:?} {}", output.status.code(), error.trim_end()).unwrap();
    }
    expect![[r#"
        Some(1) EOF while parsing an object at line 1 column 1
        Some(1) invalid socket address syntax at line 1 column 114
        Some(1) seed: "seven" is not a 64-bit hexadecimal number
        Some(1) limits.sockets: 8 is too few; expected 64 or more
        Some(1) settings: categories.0.semantics: "sometimes" is not a known value
        Some(1) settings: obligations.cold: "null" is not valid
        Some(1) missing field `addr` at line 1 column 69
        Some(1) settings: report.source: "guesses" is not a known value
        Some(1) settings: limits.probes is missing
        Some(1) settings: limits.probes is false; expected true, since report.source is "probe"
        Some(1) settings: az: 1 is out of range; expected less than 1
        Some(1) settings: prices.probe: -0.5 is negative; expected a number of at least 0
        Some(1) settings: prices.connection: "free" is not valid
        Some(1) settings: categories.0.overdue_benefit: 1.5 is out of range; expected at most 1
    "#]]
    .assert_eq(&report);
}
