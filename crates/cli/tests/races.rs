//! Races: an endpoint update, a disconnect, a signal or bytes arrive while the balancer is in the middle of
//! something else. Each test forces its race with a connection that cannot be established, a discovery
//! service that delays its answer, or a process that is stopped, and checks what clients and endpoints saw.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use expect_test::expect;
use serde_json::{Value, json};

/// Detects an endpoint that keeps working after the client's deadline: the remaining time was computed
/// when the attempt was chosen, but the connection was established later.
#[test]
fn attempt_carries_time_left_at_its_start() {
    let blocked = BlockedEndpoint::new();
    let balancer = start_from(
        &config_with_long_connect_timeout(
            &[endpoint_entry("a", blocked.address, "active")],
            closing_service(),
        )
        .to_string(),
    );
    let mut client = Client::new(&balancer);
    client.get("/", "1");
    let sent = Instant::now();
    blocked.wait_for_connect();
    let waited = Instant::now();
    // The attempt has waited at least until here; the system sends its next SYN a second after the first.
    let request = blocked.accept_first().expect("a request");
    let (at_most, at_least) = (sent.elapsed(), waited - sent);
    let received_ms: u128 = request.field("req-deadline-ms").unwrap().parse().unwrap();
    assert!(at_most > Duration::from_millis(200), "the attempt was not delayed: {at_most:?}");
    assert!(at_least <= at_most);
    // The margin of 100 ms covers the time that this test takes to read the request.
    let remaining_ms = 30_000 - at_most.as_millis();
    assert!(
        received_ms <= remaining_ms + 100,
        "{received_ms} ms in the request, but {remaining_ms} ms remaining"
    );
}

/// Detects an attempt that was chosen before an update marked the endpoint as draining, and starts
/// after it.
#[test]
fn no_attempt_starts_at_endpoint_draining_since_connect() {
    let trace = Trace::default();
    let (blocked, b) = (BlockedEndpoint::new(), test_endpoint("B", &trace));
    let (update_signal, a) = (Trace::default(), blocked.address);
    let discovery_signal = update_signal.clone();
    // The balancer abandons a watch that gets no answer for too long; the update then goes to the next watch.
    let discovery = scripted_discovery(&Trace::default(), move |_| {
        discovery_signal.wait_for("send update");
        let changes = [endpoint_entry("a", a, "leaving"), endpoint_entry("b", b, "active")];
        Some(json!({"version": 2, "full": false, "servers": changes}))
    });
    let balancer = start_from(
        &config_with_long_connect_timeout(&[endpoint_entry("a", blocked.address, "active")], discovery)
            .to_string(),
    );
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    blocked.wait_for_connect();
    update_signal.record("send update");
    balancer.log.wait_until("A drains", |log| log.contains(", draining"));
    let started = blocked.accept_first();
    client.record_answer(&trace);
    assert!(started.is_none(), "{}", started.unwrap().head);
    trace.assert_matches(expect![[r#"
        B: POST / HTTP/1.1 id 1 body "one"
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Detects an attempt for a client that has disconnected, where the settings do not allow cancelling
/// attempts that have started.
#[test]
fn no_attempt_starts_for_disconnected_client() {
    let blocked = BlockedEndpoint::new();
    let mut config = config_with_long_connect_timeout(
        &[endpoint_entry("a", blocked.address, "active")],
        closing_service(),
    );
    config["settings"]["limits"]["cancelling"] = json!(false);
    let balancer = start_from(&config.to_string());
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    blocked.wait_for_connect();
    drop(client);
    // An answer to this probe shows that the balancer has seen the disconnect, which it read in the same turn
    // of its event loop or before.
    let mut next = Client::new(&balancer);
    let probe = next.send("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
    read_message(&mut probe.0).expect("an answer");
    let started = blocked.accept_first();
    assert!(started.is_none(), "{}", started.unwrap().head);
}

/// Detects attempts that start or continue for a client that has disconnected: the end of the
/// connection comes after the requests that the client pipelined.
#[test]
fn disconnect_behind_pipeline_ends_all_its_requests() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    client.post("/hang", "1").get("/", "2").post("/", "3");
    trace.wait_for("A: POST /hang HTTP/1.1 id 1 body \"one\"");
    drop(client);
    trace.wait_for("A: connection closed: true");
    // An attempt for one of the pipelined requests would have reached the endpoint before this request.
    Client::new(&balancer).get("/", "4").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: POST /hang HTTP/1.1 id 1 body "one"
        A: connection closed: true
        A: GET / HTTP/1.1 id 4 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Detects attempts that start or continue for a client that disconnects while it receives a response.
#[test]
fn disconnect_during_response_ends_pipelined_requests() {
    let trace = Trace::default();
    let endpoint_trace = trace.clone();
    let a = listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let Some(request) = read_message(&mut reader) else { return };
        endpoint_trace.record(&format!("A: {}", request.start_line()));
        // A long response whose end is never sent.
        writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n").unwrap();
        writer.write_all(&[b'x'; 100_000]).unwrap();
        endpoint_trace
            .record(&format!("A: connection closed: {}", reader.read(&mut [0]).is_ok_and(|read| read == 0)));
    });
    let balancer = start(&[endpoint_entry("a", a, "active")]);
    let mut client = Client::new(&balancer);
    client.get("/", "1").get("/behind", "2");
    client.0.read_exact(&mut [0; 1000]).unwrap();
    drop(client);
    trace.wait_for("A: connection closed: true");
    trace.assert_matches(expect![[r#"
        A: GET / HTTP/1.1
        A: connection closed: true
    "#]]);
}

/// Detects answers out of order for pipelined requests, even if a body is longer than the balancer
/// reads ahead.
#[test]
fn pipelined_requests_are_answered_in_order() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    let large = "x".repeat(60_000);
    client.get("/slow", "1");
    client.send(&format!(
        "POST /A/fail HTTP/1.1\r\n{}Content-Length: 60000\r\n\r\n{large}",
        request_headers("2", "buy")
    ));
    client.get("/", "3");
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    trace.record("go on");
    let answers = Trace::default();
    (0..3).for_each(|_| client.record_answer(&answers));
    answers.assert_matches(expect![[r#"
        client: 200 "slow"
        client: 502 "no answer, and it may have run"
        client: 200 "well", x-kept as it came
    "#]]);
}

// Shutdown.

/// A configuration with which a balancer shuts down quickly: requests time out after 2 s, although connecting
/// may take longer.
fn config_with_short_timeouts(known: &[Value]) -> Value {
    let mut config = config_with_long_connect_timeout(known, closing_service());
    for category in config["settings"]["categories"].as_array_mut().unwrap() {
        category["ttl"] = json!(2.0);
    }
    config
}

/// Detects the loss of a connection that is still in the accept queue when the process decides that no
/// connection is left and exits.
#[test]
fn connection_in_backlog_at_last_accept_is_served() {
    let trace = Trace::default();
    let mut balancer = start_from(
        &config_with_short_timeouts(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]).to_string(),
    );
    balancer.signal("TERM");
    let signalled = Instant::now();
    balancer.log.wait_for("server: shutdown requested");
    // With no connection open, only the shutdown delay keeps the process running; it is stopped until that
    // has passed.
    balancer.signal("STOP");
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    thread::sleep((signalled + Duration::from_millis(1600)).saturating_duration_since(Instant::now()));
    balancer.signal("CONT");
    client.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        A: POST / HTTP/1.1 id 1 body "one"
        client: 200 "well", connection close, x-kept as it came
        Some(0)
    "#]]);
}

/// Detects the loss of a request that arrives on an idle or unused connection before the balancer closes
/// it.
#[test]
fn request_on_idle_connection_before_its_close_is_answered() {
    let trace = Trace::default();
    let mut balancer = start_from(
        &config_with_short_timeouts(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]).to_string(),
    );
    let mut clients: Vec<Client> = (0..100).map(|_| Client::new(&balancer)).collect();
    for client in clients.iter_mut().take(50) {
        assert!(read_message(&mut client.get("/", "1").0).is_some());
    }
    balancer.signal("TERM");
    let signalled = Instant::now();
    balancer.log.wait_for("server: shutdown requested");
    balancer.signal("STOP");
    for (id, client) in clients.iter_mut().enumerate() {
        client.post("/", &format!("second-{id}"));
    }
    thread::sleep((signalled + Duration::from_millis(1600)).saturating_duration_since(Instant::now()));
    balancer.signal("CONT");
    let answered = clients.iter_mut().filter_map(|client| read_message(&mut client.0)).count();
    assert_eq!((answered, balancer.process.wait().unwrap().code()), (100, Some(0)));
}

/// Detects a 502, which says that the request may have run, for a request that provably never started.
#[test]
fn unstarted_requests_are_rejected_at_shutdown() {
    let trace = Trace::default();
    let blocked = BlockedEndpoint::new();
    // The deadline of the request is later than the end of the process.
    let config = config_with_long_connect_timeout(
        &[endpoint_entry("a", blocked.address, "active")],
        closing_service(),
    );
    let mut balancer = start_from(&config.to_string());
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    blocked.wait_for_connect();
    balancer.signal("TERM");
    client.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        client: 503 "not now", connection close
        Some(0)
    "#]]);
}

/// Detects a connection that is closed in the middle of a request: the balancer decided to close it
/// before the first byte arrived.
#[test]
fn request_racing_connection_close_is_answered_or_unread() {
    // Covers connections that are idle after a request, and connections that never had one.
    for had_request in [true, false] {
        let trace = Trace::default();
        let balancer = start_from(
            &config_with_short_timeouts(&[endpoint_entry("a", test_endpoint("A", &trace), "active")])
                .to_string(),
        );
        let mut clients: Vec<Client> = (0..120).map(|_| Client::new(&balancer)).collect();
        if had_request {
            for (id, client) in clients.iter_mut().enumerate() {
                assert!(read_message(&mut client.get("/", &format!("first-{id}")).0).is_some());
            }
        }
        balancer.signal("TERM");
        balancer.log.wait_for("server: shutdown requested");
        let signalled = Instant::now();
        // The balancer closes the connections after two thirds of 2 s. Around that time one request starts
        // every 2 ms, and its rest follows 150 ms later.
        let run_client = |index: usize, client: &mut Client| {
            let send_time = signalled + Duration::from_millis(1250 + 2 * index as u64);
            let request =
                format!("GET / HTTP/1.1\r\n{}\r\n", request_headers(&format!("second-{index}"), "look"));
            let (head, rest) = request.split_at(40);
            thread::sleep(send_time.saturating_duration_since(Instant::now()));
            let _ = client.0.get_mut().write_all(head.as_bytes());
            // A request that crosses the close is never read, so its client can safely send it elsewhere.
            let closed_unread = has_ended(client);
            thread::sleep(Duration::from_millis(150));
            let _ = client.0.get_mut().write_all(rest.as_bytes());
            closed_unread || read_message(&mut client.0).is_some()
        };
        let succeeded: Vec<bool> = thread::scope(|scope| {
            let tasks = clients.iter_mut().enumerate();
            let tasks: Vec<_> =
                tasks.map(|(index, client)| scope.spawn(move || run_client(index, client))).collect();
            tasks.into_iter().map(|task| task.join().unwrap()).collect()
        });
        // A request may start in the microseconds between the balancer's last check of a connection and its
        // close.
        let lost = succeeded.iter().filter(|success| !**success).count();
        assert!(
            lost <= 2,
            "{lost} of 120 requests started but got no answer, had_request {had_request}: {succeeded:?}"
        );
    }
}

/// Returns whether the balancer has closed its side of the connection and no data is left to read.
fn has_ended(client: &Client) -> bool {
    let stream = client.0.get_ref();
    stream.set_nonblocking(true).unwrap();
    let has_ended = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    has_ended
}

/// Detects a second signal that ends requests which the first signal allowed to finish.
#[test]
fn signals_during_shutdown_are_ignored() {
    let trace = Trace::default();
    let mut balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut pending = Client::new(&balancer);
    pending.post("/slow", "1");
    trace.wait_for("A: POST /slow HTTP/1.1 id 1 body \"one\"");
    balancer.signal("TERM");
    balancer.log.wait_for("server: shutdown requested");
    for signal in ["TERM", "INT", "HUP", "TERM"] {
        balancer.signal(signal);
    }
    balancer.log.wait_for_prefix("config: reloaded", 1);
    trace.record("go on");
    pending.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        A: POST /slow HTTP/1.1 id 1 body "one"
        go on
        client: 200 "slow"
        Some(0)
    "#]]);
}

// Discovery, reload and stored state.

/// A discovery service that answers each call by its number, and records its start line. A call for which
/// `answer` returns `None` hangs.
fn scripted_discovery(
    received_calls: &Trace,
    answer: impl Fn(u32) -> Option<Value> + Clone + Send + 'static,
) -> SocketAddr {
    let (received_calls, calls) = (received_calls.clone(), Arc::new(Mutex::new(0)));
    discovery_service(move |call| {
        let number = {
            let mut calls = calls.lock().unwrap();
            *calls += 1;
            *calls
        };
        received_calls.record(&format!("call {number}: {call}"));
        answer(number).map(|answer| answer.to_string())
    })
}

/// Detects updates that arrive too late after the discovery service has hung once: a call for a
/// snapshot got the timeout of a watch, which may wait for minutes.
#[test]
fn hanging_snapshot_call_times_out_before_watch_wait() {
    let (trace, received_calls) = (Trace::default(), Trace::default());
    let b = test_endpoint("B", &trace);
    let discovery = scripted_discovery(&received_calls, move |call| {
        (call == 2).then(|| endpoint_snapshot(&[endpoint_entry("b", b, "active")]))
    });
    let mut config = config(&[], discovery, 256);
    config["settings"]["obligations"]["ask_within"] = json!(600.0);
    let balancer = start_from(&config.to_string());
    let began = Instant::now();
    received_calls.wait_for("call 2: GET /api/targets HTTP/1.1");
    // The timeout is 2.2 s and the pause at most 0.6 s; the limit allows for a busy machine, but stays
    // below the timeout of a watch.
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    balancer.log.wait_for_prefix("discovery: endpoint ", 1);
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        B: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Detects the loss of all further updates from a discovery service that has restarted and counts its
/// versions from the beginning.
#[test]
fn decreasing_discovery_version_forces_snapshot() {
    let (trace, received_calls) = (Trace::default(), Trace::default());
    let (a, b) = (test_endpoint("A", &trace), test_endpoint("B", &trace));
    let discovery = scripted_discovery(&received_calls, move |call| match call {
        1 => Some(json!({"version": 41, "full": true, "servers": [endpoint_entry("a", a, "active")]})),
        2 => Some(json!({"version": 3, "full": false, "servers": []})),
        3 => Some(json!({"version": 3, "full": true, "servers": [endpoint_entry("b", b, "active")]})),
        _ => None,
    });
    let balancer = start_with(&[], discovery, 256);
    received_calls.wait_for("call 4: GET /api/targets?after=3&wait_ms=1000 HTTP/1.1");
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    received_calls.assert_matches(expect![[r#"
        call 1: GET /api/targets HTTP/1.1
        call 2: GET /api/targets?after=41&wait_ms=1000 HTTP/1.1
        call 3: GET /api/targets HTTP/1.1
        call 4: GET /api/targets?after=3&wait_ms=1000 HTTP/1.1
    "#]]);
    trace.assert_matches(expect![[r#"
        B: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Checks that a reload with a foreign file sends no requests of one customer to the endpoints of another,
/// and that fields which apply only after a restart are named: otherwise an operator would assume that they
/// were reloaded.
#[test]
fn reload_rejects_foreign_file_and_names_deferred_fields() {
    let trace = Trace::default();
    let (a, b) = (test_endpoint("A", &trace), test_endpoint("B", &trace));
    let asked = Trace::default();
    let elsewhere = scripted_discovery(&asked, move |call| {
        (call == 1).then(|| endpoint_snapshot(&[endpoint_entry("b", b, "active")]))
    });
    let known = [endpoint_entry("a", a, "active")];
    let balancer = start(&known);
    let mut newer = config(&known, elsewhere, 256);
    newer["name"] = json!("n0-of-another");
    std::fs::write(&balancer.config, newer.to_string()).unwrap();
    balancer.signal("HUP");
    balancer
        .log
        .wait_for("config: not reloaded: the file is for balancer \"n0-of-another\", but this is \"n0\"");
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    newer["name"] = json!("n0");
    newer["seed"] = json!("8");
    newer["settings"]["limits"]["max_pushes"] = json!(2);
    std::fs::write(&balancer.config, newer.to_string()).unwrap();
    balancer.signal("HUP");
    balancer.log.wait_for(&format!(
        "config: reloaded: discovery is at {elsewhere}; changes that take effect at the next start: seed, settings"
    ));
    asked.wait_for_prefix("call 2: ", 1);
    Client::new(&balancer).get("/", "2").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
        B: GET / HTTP/1.1 id 2 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Detects restoring an endpoint list and learned values that another deployment stored under the same
/// names.
#[test]
fn state_from_other_settings_is_not_restored() {
    let trace = Trace::default();
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("races-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("fleet.toml");
    let text = format!("[state]\nfolder = {:?}\nevery = \"100ms\"\n", folder.display().to_string());
    std::fs::write(&file, text).unwrap();
    let a = test_endpoint("A", &trace);
    let mut config = config(&[endpoint_entry("a", a, "active")], unresponsive_service(), 256);
    let first = start_with_fleet(&config.to_string(), Some(&file));
    Client::new(&first).get("/", "1").record_answer(&trace);
    wait_until("a state file", || folder.join("n0.state").exists());
    drop(first);
    // The endpoints are now known only from the state folder.
    config["known"] = endpoint_snapshot(&[]);
    let same = start_with_fleet(&config.to_string(), Some(&file));
    Client::new(&same).get("/", "2").record_answer(&trace);
    drop(same);
    config["settings"]["categories"][1]["window"] = json!(1.0);
    let other = start_with_fleet(&config.to_string(), Some(&file));
    Client::new(&other).get("/", "3").record_answer(&trace);
    other.log.wait_until("what is not taken", |log| {
        log.contains("is ignored: it was written under other settings")
    });
    trace.assert_matches(expect![[r#"
        A: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
        A: GET / HTTP/1.1 id 2 body ""
        client: 200 "well", x-kept as it came
        client: 503 "not now"
    "#]]);
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Detects that a list which arrived in time, while the process was stopped, is dropped because the timeout of its
/// request is noticed first: the process would go on using a draining endpoint.
#[test]
fn list_that_arrives_while_the_process_is_stopped_is_applied() {
    let trace = Trace::default();
    let (a, b) = (test_endpoint("A", &trace), test_endpoint("B", &trace));
    let (calls, stopped) = (Trace::default(), Trace::default());
    let (call_log, is_stopped) = (calls.clone(), stopped.clone());
    let discovery = discovery_service(move |call| {
        call_log.record(call);
        is_stopped.wait_for("stopped");
        let servers = [endpoint_entry("a", a, "leaving"), endpoint_entry("b", b, "active")];
        Some(json!({"version": 2, "full": false, "servers": servers}).to_string())
    });
    let balancer = start_with(&[endpoint_entry("a", a, "active")], discovery, 256);
    calls.wait_for("GET /api/targets?after=1&wait_ms=1000 HTTP/1.1");
    balancer.signal("STOP");
    stopped.record("stopped");
    // The timeout of the call passes.
    thread::sleep(Duration::from_millis(2500));
    balancer.signal("CONT");
    balancer.log.wait_until("the list, or its timeout", |log| {
        log.contains("draining") || log.contains("discovery: request failed")
    });
    let log = balancer.log.0.0.lock().unwrap().clone();
    assert!(!log.contains("discovery: request failed"), "{log}");
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        B: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}
