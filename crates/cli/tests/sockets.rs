//! Runs the balancer in front of test endpoints and a test discovery service on free ports, and compares
//! traces of what clients get and what endpoints receive.

mod common;

use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::thread;

use common::*;
use expect_test::expect;
use serde_json::{Value, json};

#[test]
fn requests_are_forwarded_byte_for_byte() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    client.get("/look?at=%2fa{b}&", "1").record_answer(&trace);
    client.post("//buy/./it", "2").record_answer(&trace);
    client.send(&format!(
        "PUT / HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        request_headers("3", "look")
    ));
    client.send("3\r\nin \r\n6\r\npieces\r\n0\r\n\r\n").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: GET /look?at=%2fa{b}& HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
        A: POST //buy/./it HTTP/1.1 id 2 body "one"
        client: 200 "well", x-kept as it came
        A: PUT / HTTP/1.1 id 3 body "in pieces"
        client: 200 "well", connection close, x-kept as it came
    "#]]);
}

#[test]
fn started_requests_are_retried_only_if_idempotent() {
    let trace = Trace::default();
    let upstreams = [
        endpoint_entry("a", test_endpoint("A", &trace), "active"),
        endpoint_entry("b", test_endpoint("B", &trace), "active"),
    ];
    // A response that makes no progress is waited for until its request's time is up.
    let headers = |id, class| request_headers(id, class).replace("30000", "1500");
    for path in ["/break", "/cut", "/long", "/fail", "/stall"] {
        let post = format!("POST {path} HTTP/1.1\r\n{}Content-Length: 3\r\n\r\none", headers("1", "buy"));
        Client::new(&start(&upstreams)).send(&post).record_answer(&trace);
        let get = format!("GET {path} HTTP/1.1\r\n{}\r\n", headers("2", "look"));
        Client::new(&start(&upstreams)).send(&get).record_answer(&trace);
    }
    trace.assert_matches(expect![[r#"
        B: POST /break HTTP/1.1 id 1 body "one"
        client: 502 "no answer, and it may have run"
        B: GET /break HTTP/1.1 id 2 body ""
        A: GET /break HTTP/1.1 id 2 body ""
        client: 503 "not now"
        B: POST /cut HTTP/1.1 id 1 body "one"
        client: 502 "no answer, and it may have run"
        B: GET /cut HTTP/1.1 id 2 body ""
        A: GET /cut HTTP/1.1 id 2 body ""
        client: 503 "not now"
        B: POST /long HTTP/1.1 id 1 body "one"
        client: 502 "no answer, and it may have run"
        B: GET /long HTTP/1.1 id 2 body ""
        A: GET /long HTTP/1.1 id 2 body ""
        client: 503 "not now"
        B: POST /fail HTTP/1.1 id 1 body "one"
        client: 502 "no answer, and it may have run"
        B: GET /fail HTTP/1.1 id 2 body ""
        A: GET /fail HTTP/1.1 id 2 body ""
        client: 503 "not now"
        B: POST /stall HTTP/1.1 id 1 body "one"
        client: 502 "no answer, and it may have run"
        B: GET /stall HTTP/1.1 id 2 body ""
        A: GET /stall HTTP/1.1 id 2 body ""
        client: 503 "not now"
    "#]]);
}

#[test]
fn unstarted_requests_are_retried_elsewhere() {
    let trace = Trace::default();
    let unreachable = UNREACHABLE_ADDRESS.parse().unwrap();
    let a = test_endpoint("A", &trace);
    let refused = start(&[endpoint_entry("a", unreachable, "active"), endpoint_entry("b", a, "active")]);
    Client::new(&refused).post("/refused", "1").record_answer(&trace);
    let refused = start(&[endpoint_entry("b", unreachable, "active"), endpoint_entry("a", a, "active")]);
    Client::new(&refused).post("/refused", "2").record_answer(&trace);
    let declined =
        [endpoint_entry("a", a, "active"), endpoint_entry("b", test_endpoint("B", &trace), "active")];
    let declined = start(&declined);
    Client::new(&declined).post("/A/decline", "3").record_answer(&trace);
    Client::new(&declined).post("/B/decline", "4").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: POST /refused HTTP/1.1 id 1 body "one"
        client: 200 "well", x-kept as it came
        A: POST /refused HTTP/1.1 id 2 body "one"
        client: 200 "well", x-kept as it came
        B: POST /A/decline HTTP/1.1 id 3 body "one"
        client: 200 "well", x-kept as it came
        B: POST /B/decline HTTP/1.1 id 4 body "one"
        A: POST /B/decline HTTP/1.1 id 4 body "one"
        client: 200 "well", x-kept as it came
    "#]]);
}

#[test]
fn invalid_requests_never_reach_an_endpoint() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let valid = request_headers("1", "look");
    let invalid = [
        ("GET / HTTP/1.1", valid.replace("Req-Id: 1\r\n", ""), ""),
        ("GET / HTTP/1.1", valid.replace("look", "browse"), ""),
        ("GET / HTTP/1.1", valid.replace("acme", "unknown"), ""),
        ("GET / HTTP/1.1", valid.replace("30000", "soon"), ""),
        ("GET / HTTP/1.1", valid.replace("30000", "-1"), ""),
        ("GET / HTTP/1.1", format!("{valid}Req-Cost: NaN\r\n"), ""),
        ("GET / HTTP/1.1", format!("{valid}Req-Kind: buy\r\n"), ""),
        ("OPTIONS * HTTP/1.1", valid.clone(), ""),
        ("CONNECT / HTTP/1.1", valid.clone(), ""),
        ("POST / HTTP/1.1", format!("{valid}Content-Length: 60000000\r\n"), "it begins"),
        ("GET / HTTP/1.1", format!("{valid}Content-Length: many\r\n"), ""),
        ("GET / HTTP/1.1", format!("{valid}Content-Length: +1\r\n"), "1"),
        ("GET / HTTP/1.1", format!("{valid}Content-Length: 1\r\nContent-Length: 1\r\n"), "1"),
        ("GET / HTTP/1.1", format!("{valid}Transfer-Encoding: gzip, chunked\r\n"), "0\r\n\r\n"),
        (
            "GET / HTTP/1.1",
            format!("{valid}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
            "0\r\n\r\n",
        ),
        ("GET / HTTP/1.1", format!("{valid}X: {}", "x".repeat(20_000)), ""),
        ("NONSENSE", String::new(), ""),
    ];
    for (start, fields, body) in invalid {
        Client::new(&balancer).send(&format!("{start}\r\n{fields}\r\n{body}")).record_answer(&trace);
    }
    // A second request follows the last chunk, or follows a complete request. It must not be smuggled to an
    // endpoint, and its fault must not cost the first request its answer.
    let mut client = Client::new(&balancer);
    client.send(&format!(
        "POST / HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        request_headers("2", "buy")
    ));
    client.send(&format!("0\r\n\r\nGET /hidden HTTP/1.1\r\n{}\r\n", request_headers("3", "look")));
    client.record_answer(&trace);
    client.record_answer(&trace);
    client = Client::new(&balancer);
    client
        .send(&format!("GET / HTTP/1.1\r\n{}\r\nNONSENSE\r\n\r\n", request_headers("4", "look")))
        .record_answer(&trace);
    client.record_answer(&trace);
    trace.assert_matches(expect![[r#"
        client: 400 "req-id: missing"
        client: 400 "req-kind: unknown value"
        client: 400 "req-owner: unknown value"
        client: 400 "req-deadline-ms: not a number of whole milliseconds"
        client: 400 "req-deadline-ms: not a number of whole milliseconds"
        client: 400 "req-cost: not a number of microseconds"
        client: 400 "req-kind: occurs more than once"
        client: 400 "request target: must be a path that begins with /; CONNECT is not supported"
        client: 400 "request target: must be a path that begins with /; CONNECT is not supported"
        client: 413 "request body: longer than 50331648 bytes", connection close
        client: 400 "content-length: only a single whole number is accepted", connection close
        client: 400 "content-length: only a single whole number is accepted", connection close
        client: 400 "content-length: only a single whole number is accepted", connection close
        client: 400 "transfer-encoding: only a single \"chunked\" is accepted", connection close
        client: 400 "content-length: not accepted together with transfer-encoding", connection close
        client: 431 "request head: too large; expected at most 16384 bytes and 64 fields", connection close
        client: 400 "request head: not valid HTTP/1.1", connection close
        A: POST / HTTP/1.1 id 2 body ""
        client: 200 "well", connection close, x-kept as it came
        client: connection ended
        A: GET / HTTP/1.1 id 4 body ""
        client: 200 "well", x-kept as it came
        client: 400 "request head: not valid HTTP/1.1", connection close
    "#]]);
}

/// Checks that no two attempts have one request id, and that no client holds a connection open without a
/// request or with an incomplete one.
#[test]
fn duplicate_ids_and_silent_clients_are_rejected() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (mut silent, mut incomplete) = (Client::new(&balancer), Client::new(&balancer));
    incomplete.send("GET / HTTP/1.1\r\n");
    let mut pending = Client::new(&balancer);
    pending.get("/slow", "1");
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    Client::new(&balancer).post("/", "1").record_answer(&trace);
    trace.record("go on");
    pending.record_answer(&trace);
    pending.post("/", "1").record_answer(&trace);
    silent.record_answer(&trace);
    incomplete.record_answer(&trace);
    // The body is rejected unread: the client must still get the answer while it is sending.
    let mut large = Client::new(&balancer);
    large
        .send(&format!("POST / HTTP/1.1\r\n{}Content-Length: 99999999\r\n\r\n", request_headers("2", "buy")));
    large.send(&"x".repeat(100_000)).record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: GET /slow HTTP/1.1 id 1 body ""
        client: 409 "req-id: a request with this id is in flight"
        go on
        client: 200 "slow"
        A: POST / HTTP/1.1 id 1 body "one"
        client: 200 "well", x-kept as it came
        client: connection ended
        client: 408 "request: not received in time", connection close
        client: 413 "request body: longer than 50331648 bytes", connection close
    "#]]);
}

#[test]
fn disconnect_cancels_the_attempt() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    client.post("/hang", "1");
    trace.wait_for("A: POST /hang HTTP/1.1 id 1 body \"one\"");
    client.0.get_ref().shutdown(Shutdown::Both).unwrap();
    trace.wait_for("A: connection closed: true");
    trace.assert_matches(expect![[r#"
        A: POST /hang HTTP/1.1 id 1 body "one"
        A: connection closed: true
    "#]]);
}

/// Detects attempts on idle connections to an endpoint whose machine has disappeared without closing
/// them.
#[test]
fn unresponsive_endpoint_loses_its_idle_connections() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (mut idle, mut silent, answers) = (Client::new(&balancer), Client::new(&balancer), Trace::default());
    silent.get("/slow", "1");
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    idle.get("/stay", "2").record_answer(&trace);
    trace.record("go on");
    silent.record_answer(&trace);
    let short_deadline = request_headers("3", "buy").replace("30000", "3000");
    silent.send(&format!("GET /mute HTTP/1.1\r\n{short_deadline}\r\n")).record_answer(&answers);
    trace.wait_for("A: idle connection closed");
    answers.wait_for("client: 502 \"no answer, and it may have run\"");
    trace.assert_matches(expect![[r#"
        A: GET /slow HTTP/1.1 id 1 body ""
        A: GET /stay HTTP/1.1 id 2 body ""
        client: 200 "stay"
        go on
        client: 200 "slow"
        A: GET /mute HTTP/1.1 id 3 body ""
        A: idle connection closed
    "#]]);
}

#[test]
fn shutdown_finishes_accepted_requests() {
    let trace = Trace::default();
    let mut balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (mut pending, mut idle) = (Client::new(&balancer), Client::new(&balancer));
    pending.post("/slow", "1");
    trace.wait_for("A: POST /slow HTTP/1.1 id 1 body \"one\"");
    idle.get("/", "2").record_answer(&trace);
    balancer.signal("TERM");
    let is_ready = || {
        let mut probe = Client::new(&balancer);
        let answer = read_message(&mut probe.send("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n").0).unwrap();
        answer.start_line().contains("200")
    };
    while is_ready() {}
    idle.get("/", "3").record_answer(&trace);
    Client::new(&balancer).get("/", "4").record_answer(&trace);
    trace.record("go on");
    pending.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        A: POST /slow HTTP/1.1 id 1 body "one"
        A: GET / HTTP/1.1 id 2 body ""
        client: 200 "well", x-kept as it came
        A: GET / HTTP/1.1 id 3 body ""
        client: 200 "well", x-kept as it came
        A: GET / HTTP/1.1 id 4 body ""
        client: 200 "well", x-kept as it came
        go on
        client: 200 "slow"
        Some(0)
    "#]]);
}

/// Detects a request that is still pending, and gets no answer, when the platform kills the process
/// after the grace period.
#[test]
fn shutdown_abandons_requests_after_grace() {
    let trace = Trace::default();
    let mut balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut pending = Client::new(&balancer);
    pending.post("/mute", "1");
    trace.wait_for("A: POST /mute HTTP/1.1 id 1 body \"one\"");
    balancer.signal("TERM");
    pending.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        A: POST /mute HTTP/1.1 id 1 body "one"
        client: 502 "no answer, and it may have run", connection close
        Some(0)
    "#]]);
}

#[test]
fn discovery_is_watched_and_polled_again_after_errors() {
    let trace = Trace::default();
    let (a, b) = (test_endpoint("A", &trace), test_endpoint("B", &trace));
    let calls = Arc::new(Mutex::new(0));
    let received_calls = Trace::default();
    let call_log = received_calls.clone();
    let discovery = discovery_service(move |call| {
        let number = {
            let mut calls = calls.lock().unwrap();
            *calls += 1;
            *calls
        };
        call_log.record(&format!("call {number}: {call}"));
        let changes = [endpoint_entry("a", a, "leaving"), endpoint_entry("b", b, "active")];
        match number {
            1 => Some(json!({"version": 5, "full": false, "servers": changes}).to_string()),
            2 => Some("no list".to_string()),
            _ => None,
        }
    });
    let balancer = start_with(&[endpoint_entry("a", a, "active")], discovery, 256);
    let call = "GET /api/targets?after=5&wait_ms=1000 HTTP/1.1";
    received_calls.wait_for(&format!("call 2: {call}"));
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    // The third call is never answered.
    received_calls.wait_for(&format!("call 4: {call}"));
    received_calls.assert_matches(expect![[r#"
        call 1: GET /api/targets?after=1&wait_ms=1000 HTTP/1.1
        call 2: GET /api/targets?after=5&wait_ms=1000 HTTP/1.1
        call 3: GET /api/targets?after=5&wait_ms=1000 HTTP/1.1
        call 4: GET /api/targets?after=5&wait_ms=1000 HTTP/1.1
    "#]]);
    trace.assert_matches(expect![[r#"
        B: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Detects that every endpoint that was ever listed is kept, and that the state of a removed endpoint
/// applies to its replacement at the same address.
#[test]
fn replaced_endpoint_is_forgotten() {
    let trace = Trace::default();
    let a = test_endpoint("A", &trace);
    let lists = Arc::new(Mutex::new(vec![vec!["old"], vec!["new"], vec!["old", "new"]].into_iter()));
    let discovery = discovery_service(move |_| {
        let ids = lists.lock().unwrap().next()?;
        let servers: Vec<Value> = ids.into_iter().map(|id| endpoint_entry(id, a, "active")).collect();
        Some(endpoint_snapshot(&servers).to_string())
    });
    let balancer = start_with(&[], discovery, 256);
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    balancer.log.wait_for_prefix("discovery: endpoint ", 3);
    let log = balancer.log.0.0.lock().unwrap().replace(&a.to_string(), "A");
    let log =
        log.lines().filter(|line| line.starts_with("discovery: endpoint ")).collect::<Vec<_>>().join("\n");
    expect![[r#"
        discovery: endpoint 176711122 is old at A, ready
        discovery: endpoint 2122082209 is new at A, ready
        discovery: endpoint 176711122 is old at A, ready"#]]
    .assert_eq(&log);
}

#[test]
fn idle_connections_are_closed_for_new_ones() {
    let trace = Trace::default();
    let balancer = start_with(
        &[endpoint_entry("a", test_endpoint("A", &trace), "active")],
        UNREACHABLE_ADDRESS.parse().unwrap(),
        64,
    );
    let idle: Vec<Client> = (0..200).map(|_| Client::new(&balancer)).collect();
    // Whether this client's connection stays open varies, so the trace leaves out the Connection field.
    let answer = read_message(&mut Client::new(&balancer).get("/", "1").0).expect("an answer");
    trace.record(&format!("client: {} {:?}", answer.start_line(), answer.body));
    drop(idle);
    trace.assert_matches(expect![[r#"
        A: GET / HTTP/1.1 id 1 body ""
        client: HTTP/1.1 200 OK "well"
    "#]]);
}

/// Checks that clients which send one request and keep their connection open can't use up the sockets that
/// others need.
#[test]
fn one_shot_clients_are_closed_before_sockets_run_out() {
    let trace = Trace::default();
    let upstreams = [endpoint_entry("a", test_endpoint("A", &Trace::default()), "active")];
    let (full_balancer, idle_balancer) =
        (start_with(&upstreams, UNREACHABLE_ADDRESS.parse().unwrap(), 64), start(&upstreams));
    let (mut idle_client, idle_trace) = (Client::new(&idle_balancer), trace.clone());
    let waiter = thread::spawn(move || {
        read_message(&mut idle_client.0);
        idle_trace.record("idle balancer closed a connection without a request");
    });
    // A connection that has sent nothing for 200 ms may be closed too: each request is there before its connection
    // is accepted.
    full_balancer.signal("STOP");
    let mut clients: Vec<Client> = (0..20).map(|_| Client::new(&full_balancer)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.get("/", &id.to_string());
    }
    full_balancer.signal("CONT");
    for client in &mut clients {
        let answer = read_message(&mut client.0).expect("an answer");
        assert!(answer.start_line().contains("200"), "{}", answer.start_line());
    }
    clients[0].record_answer(&trace);
    waiter.join().unwrap();
    trace.assert_matches(expect![[r#"
        client: connection ended
        idle balancer closed a connection without a request
    "#]]);
}

/// Checks that clients which start requests and never complete them can't use up all sockets.
#[test]
fn incomplete_requests_are_closed_for_new_connections() {
    let trace = Trace::default();
    let balancer = start_with(
        &[endpoint_entry("a", test_endpoint("A", &trace), "active")],
        UNREACHABLE_ADDRESS.parse().unwrap(),
        64,
    );
    let mut incomplete: Vec<Client> = (0..100).map(|_| Client::new(&balancer)).collect();
    for client in &mut incomplete {
        client.send(&format!(
            "POST / HTTP/1.1\r\n{}Content-Length: 9\r\n\r\nhalf",
            request_headers("0", "buy")
        ));
    }
    let answer = read_message(&mut Client::new(&balancer).post("/", "1").0).expect("an answer");
    trace.record(&format!("client: {} {:?}", answer.start_line(), answer.body));
    trace.assert_matches(expect![[r#"
        A: POST / HTTP/1.1 id 1 body "one"
        client: HTTP/1.1 200 OK "well"
    "#]]);
}
