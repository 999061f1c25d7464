//! Upgrades: two processes of one balancer on a listening socket that both inherit from the platform.

mod common;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::admin::{call_admin, status};
use common::platform::Platform;
use common::*;
use expect_test::expect;
use serde_json::{Value, json};

fn platform(known: &[Value]) -> Platform {
    Platform::new(config(known, closing_service(), 256))
}

fn metric(admin: SocketAddr, name: &str) -> i64 {
    let metrics = call_admin(admin, "GET /_vars", "").unwrap().body;
    let value = metrics.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    value.split_once('|').unwrap().0.parse().unwrap()
}

fn call_status(admin: SocketAddr, call: &str, body: &str) -> String {
    call_admin(admin, call, body).map_or("none".to_string(), |answer| status(&answer))
}

/// Sends one request after another on a connection, and opens a new one when the balancer closes it. Returns
/// the number of 200 responses, and everything that was neither a 200 nor a 503.
fn generate_load(
    address: SocketAddr,
    client: u64,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<(u64, Vec<String>)> {
    thread::spawn(move || {
        let (mut connection, mut answered, mut unexpected) = (None::<BufReader<TcpStream>>, 0, Vec::new());
        while !stop.load(Ordering::Relaxed) {
            let stream = connection.get_or_insert_with(|| {
                let stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                BufReader::new(stream)
            });
            let id = format!("{client}-{answered}");
            let head = request_headers(&id, "look").replace("Req-Key: k\r\n", "");
            write!(stream.get_mut(), "GET / HTTP/1.1\r\n{head}\r\n").unwrap();
            match read_message(stream) {
                Some(answer) if answer.start_line().contains("200") => {
                    answered += 1;
                    if answer.field("connection") == Some("close") {
                        connection = None;
                    }
                }
                // The reattached endpoint is warming up and takes less than these clients send.
                Some(answer) if answer.start_line().contains("503") => {
                    if answer.field("connection") == Some("close") {
                        connection = None;
                    }
                }
                answer => {
                    unexpected
                        .push(answer.map_or("connection ended".to_string(), |answer| {
                            answer.start_line().to_string()
                        }));
                    connection = None;
                }
            }
        }
        (answered, unexpected)
    })
}

#[test]
fn handover_under_load_loses_nothing_and_keeps_overrides() {
    let trace = Trace::default();
    let known = [
        endpoint_entry("a", test_endpoint("A", &trace), "active"),
        endpoint_entry("b", test_endpoint("B", &trace), "active"),
    ];
    let platform = platform(&known);
    let (mut old, old_admin) = platform.start();
    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = (0..6).map(|number| generate_load(old.address, number, stop.clone())).collect();
    let report = Trace::default();
    trace.wait_for_prefix("A: ", 20);
    report.record(&format!("detach a at old: {}", call_status(old_admin, "POST /_upstreams/detach", "a")));
    let (new, new_admin) = platform.start();
    report.record(&format!("new: {}", call_status(new_admin, "GET /_ready", "")));
    old.log.wait_for("server: successor process is serving");
    report.record(&format!("old: {}", call_status(old_admin, "GET /_ready", "")));
    // An override at one process also applies to the other: b is detached at both, and a is attached again.
    report.record(&format!("attach a at old: {}", call_status(old_admin, "POST /_upstreams/attach", "a")));
    report.record(&format!("detach b at new: {}", call_status(new_admin, "POST /_upstreams/detach", "b")));
    old.signal("TERM");
    report.record(&format!("old ended: {:?}", old.process.wait().unwrap().code()));
    // Requests that were in flight to b when it was detached may still arrive.
    let a = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("A: ")).count();
    trace.wait_for_prefix("A: ", a + 50);
    let b = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("B: ")).count();
    trace.wait_for_prefix("A: ", a + 200);
    let later = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("B: ")).count();
    report.record(&format!("sent to b later: {}", later - b));
    stop.store(true, Ordering::Relaxed);
    for load in loads {
        let (answered, unexpected) = load.join().unwrap();
        assert!(answered > 20);
        report.record(&format!("unexpected answers: {unexpected:?}"));
    }
    drop(new);
    report.assert_matches(expect![[r#"
        detach a at old: 200
        new: 200
        old: 503
        attach a at old: 200
        detach b at new: 200
        old ended: Some(0)
        sent to b later: 0
        unexpected answers: []
        unexpected answers: []
        unexpected answers: []
        unexpected answers: []
        unexpected answers: []
        unexpected answers: []
    "#]]);
}

#[test]
fn predecessor_serves_on_when_successor_dies() {
    let trace = Trace::default();
    let mut platform = platform(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (old, old_admin) = platform.start();
    let observed = Trace::default();
    let mut pending_client = Client::new(&old);
    pending_client.get("/slow", "1");
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    // A successor that fails to start.
    let valid_config = platform.config.clone();
    platform.config["seed"] = json!("no seed");
    let ended = platform.spawn("3", platform.socket()).wait().unwrap();
    observed.record(&format!("can't start: {:?}", ended.code()));
    platform.config = valid_config;
    // A successor that hangs before it serves: it is stopped while it waits for an endpoint list that never
    // arrives.
    let known = std::mem::replace(&mut platform.config["discovery"], json!(unresponsive_service()));
    let mut hung = platform.spawn("3", platform.socket());
    let mut line = String::new();
    BufReader::new(hung.stderr.take().unwrap()).read_line(&mut line).unwrap();
    let stop = format!("kill -STOP {}", hung.id());
    assert!(Command::new("sh").arg("-c").arg(stop).status().unwrap().success());
    observed.record(&format!("hangs: {}", line.starts_with("admin: listening on")));
    platform.config["discovery"] = known;
    Client::new(&old).get("/", "0").record_answer(&observed);
    observed.record(&format!("old: {}", call_status(old_admin, "GET /_ready", "")));
    hung.kill().unwrap();
    hung.wait().unwrap();
    // A successor that is killed while it serves, and leaves its process file behind.
    let (new, _) = platform.start();
    old.log.wait_for("server: successor process is serving");
    drop(new);
    old.log.wait_for("server: successor process has exited");
    observed.record(&format!("old: {}", call_status(old_admin, "GET /_ready", "")));
    Client::new(&old).get("/", "2").record_answer(&observed);
    trace.record("go on");
    pending_client.record_answer(&observed);
    // The next successor right after it: existing connections are asked to close, and new ones reach the
    // successor.
    let mut kept_client = Client::new(&old);
    kept_client.get("/", "3").record_answer(&observed);
    let (new, new_admin) = platform.start();
    old.log.wait_for_prefix("server: successor process is serving", 2);
    kept_client.get("/", "4").record_answer(&observed);
    let answered = || metric(old_admin, "edge_proxy.answered.look:");
    let before = answered();
    (5..15).for_each(|id| drop(read_message(&mut Client::new(&new).get("/", &id.to_string()).0)));
    observed.record(&format!("requests answered by old: {}", answered() - before));
    observed.record(&format!("new: {}", call_status(new_admin, "GET /_ready", "")));
    old.signal("TERM");
    Client::new(&new).get("/", "15").record_answer(&observed);
    observed.assert_matches(expect![[r#"
        can't start: Some(1)
        hangs: true
        client: 200 "well", x-kept as it came
        old: 200
        old: 200
        client: 200 "well", x-kept as it came
        client: 200 "slow"
        client: 200 "well", x-kept as it came
        client: 200 "well", connection close, x-kept as it came
        requests answered by old: 0
        new: 200
        client: 200 "well", x-kept as it came
    "#]]);
}

#[test]
fn unusable_descriptor_fails_start_in_one_line() {
    let mut platform = platform(&[]);
    let other_listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(other_listener.local_addr().unwrap()).unwrap();
    let own = platform.address().to_string();
    let other = other_listener.local_addr().unwrap().to_string();
    let mut report = String::new();
    let sockets: [(&str, OwnedFd); 5] = [
        ("three", platform.socket()),
        ("77", platform.socket()),
        ("1", platform.socket()),
        ("3", connected.into()),
        ("3", other_listener.into()),
    ];
    for (accept, socket) in sockets {
        let output = platform.spawn(accept, socket).wait_with_output().unwrap();
        let line = String::from_utf8(output.stderr).unwrap().replace(&own, "OWN").replace(&other, "OTHER");
        let line: Vec<&str> = line.lines().filter(|line| !line.starts_with("admin: listening on")).collect();
        report += &format!("{:?} {}\n", output.status.code(), line.join(" | "));
    }
    platform.config["listen"] = json!("127.0.0.1:0");
    expect![[r#"
        Some(1) doorproxy: PROXY_ACCEPT_FD: "three" is not a descriptor number
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 77 is a standard stream or is not open
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 1 is a standard stream or is not open
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 3 is not a listening socket
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 3 listens on OTHER, expected OWN
    "#]]
    .assert_eq(&report);
}

/// Detects a successor that is asked to shut down while it waits for the endpoint list, and then still
/// takes over from its predecessor.
#[test]
fn successor_terminated_before_ready_never_serves() {
    let trace = Trace::default();
    let mut platform = platform(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (old, old_admin) = platform.start();
    // The successor waits for an endpoint list that never arrives.
    platform.config["discovery"] = json!(unresponsive_service());
    let mut new = platform.spawn("3", platform.socket());
    let mut lines = BufReader::new(new.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.next().unwrap().starts_with("admin: listening on"));
    let stop = format!("kill -TERM {}", new.id());
    assert!(Command::new("sh").arg("-c").arg(stop).status().unwrap().success());
    let log: Vec<String> = lines.collect();
    assert!(!log.iter().any(|line| line.starts_with("server: serving on")), "{log:?}");
    assert!(log.iter().any(|line| line == "server: shutdown requested before serving"), "{log:?}");
    assert_eq!(new.wait().unwrap().code(), Some(0));
    assert_eq!(call_status(old_admin, "GET /_ready", ""), "200");
    Client::new(&old).get("/", "1").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Prevents that an effect happens twice in an upgrade: the id of a request that one process has sent comes again at
/// the other after its client has left.
#[test]
fn id_that_one_process_sent_is_not_sent_by_the_other() {
    let trace = Trace::default();
    let platform = platform(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (old, _) = platform.start();
    let answers = Trace::default();
    let mut kept_client = Client::new(&old);
    kept_client.post("/", "first").record_answer(&answers);
    let mut leaving_client = Client::new(&old);
    leaving_client.post("/hang", "left").send("");
    trace.wait_for("A: POST /hang HTTP/1.1 id left body \"one\"");
    let (new, _) = platform.start();
    old.log.wait_for("server: successor process is serving");
    drop(leaving_client);
    trace.wait_for("A: connection closed: true");
    Client::new(&new).post("/", "left").record_answer(&answers);
    Client::new(&new).post("/", "first").record_answer(&answers);
    Client::new(&new).post("/", "second").record_answer(&answers);
    kept_client.post("/", "second").record_answer(&answers);
    answers.assert_matches(expect![[r#"
        client: 200 "well", x-kept as it came
        client: 409 "req-id: a request with this id may have run"
        client: 409 "req-id: a request with this id may have run"
        client: 200 "well", x-kept as it came
        client: 409 "req-id: a request with this id may have run", connection close
    "#]]);
}
