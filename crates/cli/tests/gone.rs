//! Clients that have gone, and requests whose time is over, where the balancer can't have seen it as it came: their end lies behind
//! bytes that it does not read, it stood still, or another request on the connection came first. Each crossing is forced; verdicts
//! come from what clients and endpoints saw.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use expect_test::expect;

/// How many bytes the other side of the connection has not read, as the system has it.
fn unread_bytes(stream: &TcpStream) -> usize {
    let hex = |at: std::net::SocketAddr| format!("0100007F:{:04X}", at.port());
    let ways = format!("{} {}", hex(stream.peer_addr().unwrap()), hex(stream.local_addr().unwrap()));
    // The table is no picture of one moment: read while others come and go it may leave out a line.
    let mut found = None;
    wait_until("the other side of the connection", || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        found = table.lines().find(|line| line.contains(&ways)).map(str::to_string);
        found.is_some()
    });
    let line = found.unwrap();
    let queues = line.split_whitespace().nth(4).unwrap();
    usize::from_str_radix(queues.split_once(':').unwrap().1, 16).unwrap()
}

/// The balancer has read of this client's going, or had the time to: what it reads later is answered.
fn next_request_is_answered(balancer: &Balancer, trace: &Trace) {
    Client::new(balancer).get("/", "next").record_answer(trace);
}

/// Guards against an attempt that goes on for nobody: more requests lie behind it than are read ahead, and the end behind them.
#[test]
fn disconnect_behind_unread_pipeline_is_detected() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    client.post("/hang", "1");
    trace.wait_for("A: POST /hang HTTP/1.1 id 1 body \"one\"");
    for id in 2..1000 {
        client.get("/", &id.to_string());
    }
    // Ended, and not closed: that is told by nothing but the bytes' end.
    client.0.get_ref().shutdown(Shutdown::Write).unwrap();
    trace.wait_for("A: connection closed: true");
    next_request_is_answered(&balancer, &trace);
    trace.assert_matches(expect![[r#"
        A: POST /hang HTTP/1.1 id 1 body "one"
        A: connection closed: true
        A: GET / HTTP/1.1 id next body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// The same behind a long body, of which only the beginning is held until an endpoint reads the rest. What the system itself
/// has no room for stays with the client, and the end behind it.
#[test]
fn no_attempt_starts_after_disconnect_behind_long_body() {
    let shut = BlockedEndpoint::new();
    let mut config =
        config_with_long_connect_timeout(&[endpoint_entry("a", shut.address, "active")], closing_service());
    config["settings"]["limits"]["cancelling"] = serde_json::json!(false);
    let balancer = start_from(&config.to_string());
    let mut client = Client::new(&balancer);
    let long = "x".repeat(100_000);
    client.send(&format!(
        "POST / HTTP/1.1\r\n{}Content-Length: 100000\r\n\r\n{long}",
        request_headers("1", "buy")
    ));
    shut.wait_for_connect();
    client.0.get_ref().shutdown(Shutdown::Write).unwrap();
    // The balancer ends its side as it sees that; the wait is for the system to tell.
    let mut told = String::new();
    let _ = client.0.read_to_string(&mut told);
    assert_eq!(told, "");
    let begun = shut.accept_first();
    assert!(begun.is_none(), "{}", begun.unwrap().head);
}

/// And while it goes on to an endpoint that has stopped reading.
#[test]
fn long_body_stops_streaming_after_disconnect() {
    let trace = Trace::default();
    let of_upstream = trace.clone();
    let a = listen(move |mut stream| {
        let mut head = [0; 1000];
        stream.read_exact(&mut head).unwrap();
        of_upstream.record("A: begun");
        of_upstream.wait_for("go on");
        let mut rest = Vec::new();
        let read = stream.read_to_end(&mut rest);
        of_upstream
            .record(&format!("A: came whole {}", read.is_ok() && rest.len() + head.len() > 30_000_000));
    });
    let balancer = start(&[endpoint_entry("a", a, "active")]);
    let mut client = Client::new(&balancer);
    client
        .send(&format!("POST / HTTP/1.1\r\n{}Content-Length: 30000000\r\n\r\n", request_headers("1", "buy")));
    let stream = client.0.get_ref();
    // Until the balancer itself can pass no more on and leaves it unread: the end is to lie behind that.
    let mut writer = stream;
    // So much is held before anything goes on.
    writer.write_all(&[b'x'; 1 << 17]).unwrap();
    trace.wait_for("A: begun");
    while unread_bytes(stream) == 0 {
        writer.write_all(&[b'x'; 1 << 14]).unwrap();
        let written = Instant::now();
        while unread_bytes(stream) > 0 && written.elapsed() < Duration::from_millis(100) {
            thread::sleep(Duration::from_millis(1));
        }
    }
    stream.shutdown(Shutdown::Write).unwrap();
    // The endpoint reads nothing until the balancer has let go of the client, which it would do in the end, after ten seconds in
    // which nothing moves. Whether it says something to one who has left is nobody's concern.
    let left = Instant::now();
    let _ = writer.read_to_end(&mut Vec::new());
    assert!(left.elapsed() < Duration::from_secs(8), "it noticed after {:?}", left.elapsed());
    trace.record("go on");
    trace.wait_for("A: came whole false");
}

/// Guards against a time that is counted from when a request's turn comes, where its client counts from when it sent it.
#[test]
fn pipelined_request_deadline_counts_from_arrival() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    let brief = |id: &str, ms: &str| request_headers(id, "look").replace("30000", ms);
    client.send(&format!(
        "GET /slow HTTP/1.1\r\n{}\r\nGET / HTTP/1.1\r\n{}\r\nGET / HTTP/1.1\r\n{}\r\n",
        request_headers("1", "look"),
        brief("2", "400"),
        request_headers("3", "look"),
    ));
    let sent = Instant::now();
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    // What is to pass is the second one's time, and no test can make it pass sooner.
    thread::sleep(Duration::from_millis(400).saturating_sub(sent.elapsed()));
    trace.record("go on");
    // A trace of its own: the endpoint may get the third request before this thread has read the second one's answer.
    let answers = Trace::default();
    (0..3).for_each(|_| client.record_answer(&answers));
    answers.assert_matches(expect![[r#"
        client: 200 "slow"
        client: 503 "not now"
        client: 200 "well", x-kept as it came
    "#]]);
    trace.assert_matches(expect![[r#"
        A: GET /slow HTTP/1.1 id 1 body ""
        go on
        A: GET / HTTP/1.1 id 3 body ""
    "#]]);
}

/// Guards against requests that came to a stopped process and are dated later because reading them takes it long: it is stopped
/// once more as soon as it has said that it stood still, for less than what it would notice.
fn requests_from_before_resume_are_rejected(on_new_connections: bool) {
    const OPS: usize = 300;
    let trace = Trace::default();
    let of_upstream = trace.clone();
    let a = listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(op) = read_message(&mut reader) {
            let id = op.field("req-id").unwrap_or("none");
            of_upstream.record(&format!("A: {id}"));
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let balancer = start_with(&[endpoint_entry("a", a, "active")], closing_service(), 2048);
    let connect = || (0..OPS).map(|_| Client::new(&balancer)).collect::<Vec<_>>();
    let mut clients = Vec::new();
    if !on_new_connections {
        clients = connect();
        for (id, client) in clients.iter_mut().enumerate() {
            assert!(read_message(&mut client.get("/", &format!("first-{id}")).0).is_some());
        }
    }
    balancer.signal("STOP");
    if on_new_connections {
        clients = connect();
    }
    let body = "x".repeat(60_000);
    for (id, client) in clients.iter_mut().enumerate() {
        let fields = request_headers(&format!("late-{id}"), "buy").replace("30000", "900");
        client.send(&format!("POST / HTTP/1.1\r\n{fields}Content-Length: 60000\r\n\r\n{body}"));
    }
    // All their time passes, from the last of them on.
    thread::sleep(Duration::from_millis(900));
    balancer.signal("CONT");
    balancer.log.wait_until("its stall", |log| log.contains("server: process was stalled for"));
    balancer.signal("STOP");
    thread::sleep(Duration::from_millis(300));
    balancer.signal("CONT");
    let answered =
        |client: &mut Client| read_message(&mut client.0).map(|answer| answer.start_line().to_string());
    let answers: Vec<Option<String>> = clients.iter_mut().map(answered).collect();
    let late = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("A: late")).count();
    let refused = answers.iter().flatten().filter(|answer| answer.contains("503")).count();
    assert_eq!((late, refused), (0, OPS));
}

#[test]
fn requests_from_before_resume_expire_however_slowly_read() {
    requests_from_before_resume_are_rejected(false);
}

/// The same where nobody has accepted them yet: that takes a turn more.
#[test]
fn connections_queued_before_resume_expire() {
    requests_from_before_resume_are_rejected(true);
}
