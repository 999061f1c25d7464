//! What comes between two lines: news, a client's leaving, a signal or bytes in the very moment in which the balancer does
//! something else. Each crossing is forced: a connection that can't come up, a service that holds its answer, a process that
//! is stopped. Verdicts come from what clients and endpoints saw.

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

/// Guards against an endpoint that goes on with work for a client that has long gone: the time that is told was reckoned as
/// the attempt was decided on, and the connection came up late.
#[test]
fn attempt_carries_time_left_at_its_start() {
    let shut = BlockedEndpoint::new();
    let balancer = start_from(
        &config_with_long_connect_timeout(&[endpoint_entry("a", shut.address, "active")], closing_service())
            .to_string(),
    );
    let mut client = Client::new(&balancer);
    client.get("/", "1");
    let sent = Instant::now();
    shut.wait_for_connect();
    let waited = Instant::now();
    // It has waited at least until here, and the system tries again after a second.
    let op = shut.accept_first().expect("an op");
    let (at_most, at_least) = (sent.elapsed(), waited - sent);
    let told: u128 = op.field("req-deadline-ms").unwrap().parse().unwrap();
    assert!(at_most > Duration::from_millis(200), "it was not held back: {at_most:?}");
    assert!(at_least <= at_most);
    // What it takes to read it is ours.
    let left = 30_000 - at_most.as_millis();
    assert!(told <= left + 100, "{told} ms were told, {left} ms were left");
}

/// Guards against an attempt that was decided on before the news, and begins after them.
#[test]
fn no_attempt_starts_at_endpoint_draining_since_connect() {
    let trace = Trace::default();
    let (shut, b) = (BlockedEndpoint::new(), test_endpoint("B", &trace));
    let (news, a) = (Trace::default(), shut.address);
    let held = news.clone();
    // A watch that is held back for too long is given up, and the next one is told instead.
    let discovery = scripted_discovery(&Trace::default(), move |_| {
        held.wait_for("tell");
        let changes = [endpoint_entry("a", a, "leaving"), endpoint_entry("b", b, "active")];
        Some(json!({"version": 2, "full": false, "servers": changes}))
    });
    let balancer = start_from(
        &config_with_long_connect_timeout(&[endpoint_entry("a", shut.address, "active")], discovery)
            .to_string(),
    );
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    shut.wait_for_connect();
    news.record("tell");
    balancer.log.wait_until("A drains", |log| log.contains(", draining"));
    let begun = shut.accept_first();
    client.record_answer(&trace);
    assert!(begun.is_none(), "{}", begun.unwrap().head);
    trace.assert_matches(expect![[r#"
        B: POST / HTTP/1.1 id 1 body "one"
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Guards against an attempt for nobody, where attempts that have begun may not be called off.
#[test]
fn no_attempt_starts_for_disconnected_client() {
    let shut = BlockedEndpoint::new();
    let mut config =
        config_with_long_connect_timeout(&[endpoint_entry("a", shut.address, "active")], closing_service());
    config["settings"]["limits"]["cancelling"] = json!(false);
    let balancer = start_from(&config.to_string());
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    shut.wait_for_connect();
    drop(client);
    // Once this is answered, the balancer has seen the other one go: it read of both in one turn or earlier.
    let mut next = Client::new(&balancer);
    let probe = next.send("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
    read_message(&mut probe.0).expect("an answer");
    let begun = shut.accept_first();
    assert!(begun.is_none(), "{}", begun.unwrap().head);
}

/// Guards against requests for a client that has gone, and attempts that go on for it: its end lies behind the requests that it sent in
/// the same go.
#[test]
fn disconnect_behind_pipeline_ends_all_its_requests() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    client.post("/hang", "1").get("/", "2").post("/", "3");
    trace.wait_for("A: POST /hang HTTP/1.1 id 1 body \"one\"");
    drop(client);
    trace.wait_for("A: connection closed: true");
    // Whatever was to come of the others would have come before this.
    Client::new(&balancer).get("/", "4").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: POST /hang HTTP/1.1 id 1 body "one"
        A: connection closed: true
        A: GET / HTTP/1.1 id 4 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// The same while the answer passes: the rest of it is nobody's.
#[test]
fn disconnect_during_response_ends_pipelined_requests() {
    let trace = Trace::default();
    let of_upstream = trace.clone();
    let a = listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        let Some(op) = read_message(&mut reader) else { return };
        of_upstream.record(&format!("A: {}", op.start_line()));
        // As long as any, and its end never comes.
        writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n").unwrap();
        writer.write_all(&[b'x'; 100_000]).unwrap();
        of_upstream
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

/// Requests in one go are answered in their order, also such whose bodies lie behind all that is read ahead.
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

// The end of a process.

/// With so little to wait for that a test has it over in a moment: requests of 2 s, and a connection that may take longer.
fn config_with_short_timeouts(known: &[Value]) -> Value {
    let mut config = config_with_long_connect_timeout(known, closing_service());
    for category in config["settings"]["categories"].as_array_mut().unwrap() {
        category["ttl"] = json!(2.0);
    }
    config
}

/// Guards against a request that is lost with the socket on which it waits to be accepted: the last look finds no connection, and
/// the process ends.
#[test]
fn connection_in_backlog_at_last_accept_is_served() {
    let trace = Trace::default();
    let mut balancer = start_from(
        &config_with_short_timeouts(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]).to_string(),
    );
    balancer.signal("TERM");
    let asked = Instant::now();
    balancer.log.wait_for("server: shutdown requested");
    // It has no connection, and nothing but the time keeps it. It stands still until that is over.
    balancer.signal("STOP");
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    thread::sleep((asked + Duration::from_millis(1600)).saturating_duration_since(Instant::now()));
    balancer.signal("CONT");
    client.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        A: POST / HTTP/1.1 id 1 body "one"
        client: 200 "well", connection close, x-kept as it came
        Some(0)
    "#]]);
}

/// The same on connections that rest, or never had a request: it came before they were let go of.
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
    let asked = Instant::now();
    balancer.log.wait_for("server: shutdown requested");
    balancer.signal("STOP");
    for (id, client) in clients.iter_mut().enumerate() {
        client.post("/", &format!("second-{id}"));
    }
    thread::sleep((asked + Duration::from_millis(1600)).saturating_duration_since(Instant::now()));
    balancer.signal("CONT");
    let answered = clients.iter_mut().filter_map(|client| read_message(&mut client.0)).count();
    assert_eq!((answered, balancer.process.wait().unwrap().code()), (100, Some(0)));
}

/// Guards against "nothing is known of whether it ran" for what provably never did.
#[test]
fn unstarted_requests_are_rejected_at_shutdown() {
    let trace = Trace::default();
    let shut = BlockedEndpoint::new();
    // The request itself has more time than the process.
    let config =
        config_with_long_connect_timeout(&[endpoint_entry("a", shut.address, "active")], closing_service());
    let mut balancer = start_from(&config.to_string());
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    shut.wait_for_connect();
    balancer.signal("TERM");
    client.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        client: 503 "not now", connection close
        Some(0)
    "#]]);
}

/// Guards against a request that is cut off half read: its connection was told to close before it began to come.
#[test]
fn request_racing_connection_close_is_answered_or_unread() {
    // Those that rest after a request, and those that never had one.
    for has_rested in [true, false] {
        let trace = Trace::default();
        let balancer = start_from(
            &config_with_short_timeouts(&[endpoint_entry("a", test_endpoint("A", &trace), "active")])
                .to_string(),
        );
        let mut clients: Vec<Client> = (0..120).map(|_| Client::new(&balancer)).collect();
        if has_rested {
            for (id, client) in clients.iter_mut().enumerate() {
                assert!(read_message(&mut client.get("/", &format!("first-{id}")).0).is_some());
            }
        }
        balancer.signal("TERM");
        balancer.log.wait_for("server: shutdown requested");
        let asked = Instant::now();
        // The connections are let go of at two thirds of 2 s. Around it one request begins every 2 ms, and goes on 150 ms later.
        let converse = |place: usize, client: &mut Client| {
            let begins = asked + Duration::from_millis(1250 + 2 * place as u64);
            let op = format!("GET / HTTP/1.1\r\n{}\r\n", request_headers(&format!("second-{place}"), "look"));
            let (head, rest) = op.split_at(40);
            thread::sleep(begins.saturating_duration_since(Instant::now()));
            let _ = client.0.get_mut().write_all(head.as_bytes());
            // What crossed the end on its way was not read: a client sends it elsewhere.
            let crossed = has_ended(client);
            thread::sleep(Duration::from_millis(150));
            let _ = client.0.get_mut().write_all(rest.as_bytes());
            crossed || read_message(&mut client.0).is_some()
        };
        let were_well: Vec<bool> = thread::scope(|scope| {
            let tasks = clients.iter_mut().enumerate();
            let tasks: Vec<_> =
                tasks.map(|(place, client)| scope.spawn(move || converse(place, client))).collect();
            tasks.into_iter().map(|task| task.join().unwrap()).collect()
        });
        // Between the balancer's last look at a connection and its end lie microseconds, and a request may begin in them.
        let lost = were_well.iter().filter(|was_well| !**was_well).count();
        assert!(lost <= 2, "{lost} of 120 were begun and never answered, rested {has_rested}: {were_well:?}");
    }
}

/// The other side has ended its sending, and there is nothing to read.
fn has_ended(client: &Client) -> bool {
    let stream = client.0.get_ref();
    stream.set_nonblocking(true).unwrap();
    let has_ended = matches!(stream.peek(&mut [0]), Ok(0));
    stream.set_nonblocking(false).unwrap();
    has_ended
}

/// Guards against a second word that ends what the first one let finish.
#[test]
fn signals_during_shutdown_are_ignored() {
    let trace = Trace::default();
    let mut balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut held = Client::new(&balancer);
    held.post("/slow", "1");
    trace.wait_for("A: POST /slow HTTP/1.1 id 1 body \"one\"");
    balancer.signal("TERM");
    balancer.log.wait_for("server: shutdown requested");
    for signal in ["TERM", "INT", "HUP", "TERM"] {
        balancer.signal(signal);
    }
    balancer.log.wait_for_prefix("configuration read again", 1);
    trace.record("go on");
    held.record_answer(&trace);
    trace.record(&format!("{:?}", balancer.process.wait().unwrap().code()));
    trace.assert_matches(expect![[r#"
        A: POST /slow HTTP/1.1 id 1 body "one"
        go on
        client: 200 "slow"
        Some(0)
    "#]]);
}

// What is told, and by whom.

/// Answers the calls for the list in their order, by number and start line; one that it is told nothing for hangs.
fn scripted_discovery(
    asked: &Trace,
    answer: impl Fn(u32) -> Option<Value> + Clone + Send + 'static,
) -> SocketAddr {
    let (asked, calls) = (asked.clone(), Arc::new(Mutex::new(0)));
    discovery_service(move |call| {
        let number = {
            let mut calls = calls.lock().unwrap();
            *calls += 1;
            *calls
        };
        asked.record(&format!("call {number}: {call}"));
        answer(number).map(|answer| answer.to_string())
    })
}

/// Guards against a service that hangs once and is not asked again in the time in which its news come to bind: a call that
/// waits for nothing was given as long as a watch, which may be told to wait for minutes.
#[test]
fn hanging_snapshot_call_times_out_before_watch_wait() {
    let (trace, asked) = (Trace::default(), Trace::default());
    let b = test_endpoint("B", &trace);
    let discovery = scripted_discovery(&asked, move |call| {
        (call == 2).then(|| endpoint_snapshot(&[endpoint_entry("b", b, "active")]))
    });
    let mut config = config(&[], discovery, 256);
    config["settings"]["obligations"]["ask_within"] = json!(600.0);
    let balancer = start_from(&config.to_string());
    let began = Instant::now();
    asked.wait_for("call 2: GET /api/targets HTTP/1.1");
    // 2.2 s and a pause of 0.6 s at most; a busy machine may take its time, but not until a watch would be given up.
    assert!(began.elapsed() < Duration::from_secs(10), "{:?}", began.elapsed());
    balancer.log.wait_for_prefix("discovery: endpoint ", 1);
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        B: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Guards against changes that are never heard: a service that has started anew counts versions from the beginning.
#[test]
fn decreasing_discovery_version_forces_snapshot() {
    let (trace, asked) = (Trace::default(), Trace::default());
    let (a, b) = (test_endpoint("A", &trace), test_endpoint("B", &trace));
    let discovery = scripted_discovery(&asked, move |call| match call {
        1 => Some(json!({"version": 41, "full": true, "servers": [endpoint_entry("a", a, "active")]})),
        2 => Some(json!({"version": 3, "full": false, "servers": []})),
        3 => Some(json!({"version": 3, "full": true, "servers": [endpoint_entry("b", b, "active")]})),
        _ => None,
    });
    let balancer = start_with(&[], discovery, 256);
    asked.wait_for("call 4: GET /api/targets?after=3&wait_ms=1000 HTTP/1.1");
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    asked.assert_matches(expect![[r#"
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

/// Guards against requests of one customer at the endpoints of another, and against a change that is taken for followed.
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
        .wait_for("configuration kept as it was: the file is of \"n0-of-another\", and this is \"n0\"");
    Client::new(&balancer).get("/", "1").record_answer(&trace);
    newer["name"] = json!("n0");
    newer["seed"] = json!("8");
    newer["settings"]["limits"]["max_pushes"] = json!(2);
    std::fs::write(&balancer.config, newer.to_string()).unwrap();
    balancer.signal("HUP");
    balancer.log.wait_for(&format!(
        "configuration read again: the list is at {elsewhere}; from the next start on, and not before: seed, settings"
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

/// Guards against a list and amounts of work that another deployment left under the same names.
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
    wait_until("a state", || folder.join("n0.state").exists());
    drop(first);
    // Nobody is known but by the folder.
    config["known"] = endpoint_snapshot(&[]);
    let same = start_with_fleet(&config.to_string(), Some(&file));
    Client::new(&same).get("/", "2").record_answer(&trace);
    drop(same);
    config["settings"]["categories"][1]["window"] = json!(1.0);
    let other = start_with_fleet(&config.to_string(), Some(&file));
    Client::new(&other).get("/", "3").record_answer(&trace);
    other.log.wait_until("what is not taken", |log| {
        log.contains("it is not of these settings; it starts without")
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
