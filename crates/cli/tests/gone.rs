//! Clients that disconnect, and requests whose deadline passes, where the balancer cannot see it at once: the
//! end of the connection lies behind bytes that it has not read, the process was stopped, or an earlier
//! request on the connection comes first. Each test forces its race, and checks what clients and endpoints
//! saw.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use expect_test::expect;

/// Returns how many received bytes the other side of the connection has not read, from /proc/net/tcp.
fn unread_bytes(stream: &TcpStream) -> usize {
    let to_hex = |address: std::net::SocketAddr| format!("0100007F:{:04X}", address.port());
    let addresses =
        format!("{} {}", to_hex(stream.peer_addr().unwrap()), to_hex(stream.local_addr().unwrap()));
    // The table is not an atomic snapshot: a line may be missing while other connections open and close.
    let mut found = None;
    wait_until("the other side of the connection", || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        found = table.lines().find(|line| line.contains(&addresses)).map(str::to_string);
        found.is_some()
    });
    let line = found.unwrap();
    let queues = line.split_whitespace().nth(4).unwrap();
    usize::from_str_radix(queues.split_once(':').unwrap().1, 16).unwrap()
}

/// Returns whether the other side leaves bytes unread for a while.
fn stay_unread(stream: &TcpStream) -> bool {
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(200) {
        if unread_bytes(stream) == 0 {
            return false;
        }
        thread::sleep(Duration::from_millis(1));
    }
    true
}

/// Sends a request on a new connection and records its answer. The balancer reads it after whatever came
/// before, so it has had the chance to act on an earlier disconnect.
fn record_next_request(balancer: &Balancer, trace: &Trace) {
    Client::new(balancer).get("/", "next").record_answer(trace);
}

/// Detects an attempt that continues after its client has disconnected: more pipelined requests follow
/// it than the balancer reads ahead, and the end of the connection comes after them.
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
    // Shuts down sending instead of closing, so that the only sign of the disconnect is the end of the bytes.
    client.0.get_ref().shutdown(Shutdown::Write).unwrap();
    trace.wait_for("A: connection closed: true");
    record_next_request(&balancer, &trace);
    trace.assert_matches(expect![[r#"
        A: POST /hang HTTP/1.1 id 1 body "one"
        A: connection closed: true
        A: GET / HTTP/1.1 id next body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Detects an attempt that starts after its client has disconnected behind a long body. The balancer
/// holds only the beginning of the body until an endpoint reads the rest, so the end of the connection lies
/// behind bytes that it does not read.
#[test]
fn no_attempt_starts_after_disconnect_behind_long_body() {
    let blocked = BlockedEndpoint::new();
    let mut config = config_with_long_connect_timeout(
        &[endpoint_entry("a", blocked.address, "active")],
        closing_service(),
    );
    config["settings"]["limits"]["cancelling"] = serde_json::json!(false);
    let balancer = start_from(&config.to_string());
    let mut client = Client::new(&balancer);
    let long = "x".repeat(100_000);
    client.send(&format!(
        "POST / HTTP/1.1\r\n{}Content-Length: 100000\r\n\r\n{long}",
        request_headers("1", "buy")
    ));
    blocked.wait_for_connect();
    client.0.get_ref().shutdown(Shutdown::Write).unwrap();
    // The balancer closes its side when it detects the disconnect; this read waits for that.
    let mut text = String::new();
    let _ = client.0.read_to_string(&mut text);
    assert_eq!(text, "");
    let started = blocked.accept_first();
    assert!(started.is_none(), "{}", started.unwrap().head);
}

/// Detects a body that streams on after its client has disconnected, while the endpoint has stopped
/// reading.
#[test]
fn long_body_stops_streaming_after_disconnect() {
    let trace = Trace::default();
    let endpoint_trace = trace.clone();
    let a = listen(move |mut stream| {
        let mut head = [0; 1000];
        stream.read_exact(&mut head).unwrap();
        endpoint_trace.record("A: request started");
        endpoint_trace.wait_for("go on");
        let mut rest = Vec::new();
        let read = stream.read_to_end(&mut rest);
        endpoint_trace
            .record(&format!("A: body complete: {}", read.is_ok() && rest.len() + head.len() > 30_000_000));
    });
    let balancer = start(&[endpoint_entry("a", a, "active")]);
    let mut client = Client::new(&balancer);
    client
        .send(&format!("POST / HTTP/1.1\r\n{}Content-Length: 30000000\r\n\r\n", request_headers("1", "buy")));
    let stream = client.0.get_ref();
    // Sends until the balancer can forward no more and leaves bytes unread, so that the disconnect lies
    // behind them.
    let mut writer = stream;
    // The balancer buffers this much before it starts to forward.
    writer.write_all(&[b'x'; 1 << 17]).unwrap();
    trace.wait_for("A: request started");
    while !stay_unread(stream) {
        writer.write_all(&[b'x'; 1 << 16]).unwrap();
    }
    stream.shutdown(Shutdown::Write).unwrap();
    // The endpoint reads nothing until the balancer has closed the client's connection. Without detection
    // that happens only after ten seconds without progress. Whether the balancer still sends an answer does
    // not matter.
    let disconnected = Instant::now();
    let _ = writer.read_to_end(&mut Vec::new());
    assert!(disconnected.elapsed() < Duration::from_secs(8), "detected after {:?}", disconnected.elapsed());
    trace.record("go on");
    trace.wait_for("A: body complete: false");
}

/// Detects a pipelined request's deadline that counts from its turn on the connection; its client
/// counts from when it sent the request.
#[test]
fn pipelined_request_deadline_counts_from_arrival() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    let short_headers = |id: &str, ms: &str| request_headers(id, "look").replace("30000", ms);
    client.send(&format!(
        "GET /slow HTTP/1.1\r\n{}\r\nGET / HTTP/1.1\r\n{}\r\nGET / HTTP/1.1\r\n{}\r\n",
        request_headers("1", "look"),
        short_headers("2", "400"),
        request_headers("3", "look"),
    ));
    let sent = Instant::now();
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    // Waits for the second request's deadline to pass, which a test cannot speed up.
    thread::sleep(Duration::from_millis(400).saturating_sub(sent.elapsed()));
    trace.record("go on");
    // A separate trace, since the endpoint may get the third request before this thread has read the second
    // answer.
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

/// Detects requests that arrived while the process was stopped but get a later arrival time because
/// reading them takes long. The process is stopped again as soon as it has logged the stall, for less than it
/// would detect.
fn requests_from_before_resume_are_rejected(on_new_connections: bool) {
    const REQUEST_COUNT: usize = 300;
    let trace = Trace::default();
    let endpoint_trace = trace.clone();
    let a = listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let id = request.field("req-id").unwrap_or("none");
            endpoint_trace.record(&format!("A: {id}"));
            let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    let balancer = start_with(&[endpoint_entry("a", a, "active")], closing_service(), 2048);
    let connect = || (0..REQUEST_COUNT).map(|_| Client::new(&balancer)).collect::<Vec<_>>();
    let mut clients = Vec::new();
    if !on_new_connections {
        // Each is used at once: an unused connection is closed after 2.5 s.
        for id in 0..REQUEST_COUNT {
            let mut client = Client::new(&balancer);
            assert!(read_message(&mut client.get("/", &format!("first-{id}")).0).is_some());
            clients.push(client);
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
    // All deadlines pass, counted from the last request.
    thread::sleep(Duration::from_millis(900));
    balancer.signal("CONT");
    balancer
        .log
        .wait_until("the stall", |log| log.contains("server: process was stopped or got no CPU time for"));
    balancer.signal("STOP");
    thread::sleep(Duration::from_millis(300));
    balancer.signal("CONT");
    let answered =
        |client: &mut Client| read_message(&mut client.0).map(|answer| answer.start_line().to_string());
    let answers: Vec<Option<String>> = clients.iter_mut().map(answered).collect();
    let forwarded = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("A: late")).count();
    let rejected = answers.iter().flatten().filter(|answer| answer.contains("503")).count();
    assert_eq!((forwarded, rejected), (0, REQUEST_COUNT));
}

#[test]
fn requests_from_before_resume_expire_however_slowly_read() {
    requests_from_before_resume_are_rejected(false);
}

/// Detects a later arrival time for requests on connections that are still in the accept queue when
/// the process resumes: accepting them takes one more turn of its event loop.
#[test]
fn connections_queued_before_resume_expire() {
    requests_from_before_resume_are_rejected(true);
}

/// Detects a request that is dated to an earlier stop of the process than the one in which it arrived, and so
/// rejected as expired: nothing was read in between.
#[test]
fn request_in_a_second_stop_is_not_dated_to_the_first() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    client.get("/", "1").record_answer(&trace);
    let stop = || {
        balancer.signal("STOP");
        thread::sleep(Duration::from_millis(700));
    };
    let count_stalls = |log: &str| log.matches("server: process was stopped or got no CPU time for").count();
    stop();
    balancer.signal("CONT");
    balancer.log.wait_until("the first stall", |log| count_stalls(log) == 1);
    thread::sleep(Duration::from_millis(2500));
    stop();
    // Its time is longer than the second stop and shorter than the time since the first.
    let headers = request_headers("2", "look").replace("30000", "2500");
    client.send(&format!("GET / HTTP/1.1\r\n{headers}\r\n"));
    balancer.signal("CONT");
    client.record_answer(&trace);
    balancer.log.wait_until("the second stall", |log| count_stalls(log) == 2);
    trace.assert_matches(expect![[r#"
        A: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
        A: GET / HTTP/1.1 id 2 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}

/// Prevents that a request is sent on after its client has closed the connection: more input lay unread before the
/// close than is read ahead, so the close was not seen when the response to the request before was finished.
#[test]
fn pipelined_request_is_not_sent_after_a_close_behind_unread_input() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let mut client = Client::new(&balancer);
    client.get("/slow", "1");
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    let body = "x".repeat(60_000);
    for id in 2..20 {
        let fields = request_headers(&id.to_string(), "buy");
        client.send(&format!("POST / HTTP/1.1\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()));
    }
    drop(client);
    // A request that begins up to 0.1 s after the close is allowed.
    thread::sleep(Duration::from_millis(200));
    trace.record("go on");
    let answers = Trace::default();
    record_next_request(&balancer, &answers);
    thread::sleep(Duration::from_millis(200));
    let text = trace.0.0.lock().unwrap().clone();
    assert!(
        !text.contains("A: POST"),
        "{}",
        text.lines().map(|line| &line[..line.len().min(60)]).collect::<Vec<_>>().join("\n")
    );
}

/// Prevents that an upload runs whose client left while it waited for an endpoint: the close lies behind more of the
/// body than is read before an attempt sends it.
#[test]
fn upload_is_not_completed_after_a_close_behind_its_body() {
    let blocked = BlockedEndpoint::new();
    let balancer = start_from(
        &config_with_long_connect_timeout(
            &[endpoint_entry("a", blocked.address, "active")],
            closing_service(),
        )
        .to_string(),
    );
    let mut client = Client::new(&balancer);
    let body = "x".repeat(1_000_000);
    client.send(&format!(
        "POST / HTTP/1.1\r\n{}Content-Length: {}\r\n\r\n{body}",
        request_headers("1", "buy"),
        body.len()
    ));
    blocked.wait_for_connect();
    drop(client);
    thread::sleep(Duration::from_millis(200));
    let completed = blocked.accept_first();
    assert!(completed.is_none(), "{}", completed.unwrap().head);
}

/// Prevents that an effect happens twice: the id of a request that may have run comes again on another connection
/// after its client has left, or after its response.
#[test]
fn id_of_a_request_that_may_have_run_is_not_sent_again() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let answers = Trace::default();
    let mut client = Client::new(&balancer);
    client.post("/hang", "left");
    trace.wait_for("A: POST /hang HTTP/1.1 id left body \"one\"");
    drop(client);
    trace.wait_for("A: connection closed: true");
    Client::new(&balancer).post("/", "left").record_answer(&answers);
    Client::new(&balancer).post("/", "answered").record_answer(&answers);
    Client::new(&balancer).post("/", "answered").record_answer(&answers);
    // What may run any number of times is sent again.
    Client::new(&balancer).get("/", "look").record_answer(&answers);
    Client::new(&balancer).get("/", "look").record_answer(&answers);
    answers.assert_matches(expect![[r#"
        client: 409 "req-id: a request with this id may have run"
        client: 200 "well", x-kept as it came
        client: 409 "req-id: a request with this id may have run"
        client: 200 "well", x-kept as it came
        client: 200 "well", x-kept as it came
    "#]]);
    trace.assert_matches(expect![[r#"
        A: POST /hang HTTP/1.1 id left body "one"
        A: connection closed: true
        A: POST / HTTP/1.1 id answered body "one"
        A: GET / HTTP/1.1 id look body ""
        A: GET / HTTP/1.1 id look body ""
    "#]]);
}

/// Prevents that an id is refused although its request never ran: an endpoint declined it.
#[test]
fn id_of_a_request_that_never_ran_is_sent_again() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let answers = Trace::default();
    Client::new(&balancer).post("/decline", "1").record_answer(&answers);
    thread::sleep(Duration::from_millis(100));
    Client::new(&balancer).post("/", "1").record_answer(&answers);
    let text = answers.0.0.lock().unwrap().clone();
    assert!(!text.contains("409"), "{text}");
}
