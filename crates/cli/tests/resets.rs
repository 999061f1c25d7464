//! Responses that are cut off by a connection reset, and descriptors that idle clients exhaust: a client must
//! not take a partial response for a complete one, and service must recover without a restart. The endpoint,
//! the discovery service or the clients wait where needed, so that each race happens in every run.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use expect_test::expect;
use socket2::SockRef;

/// Sends the beginning of a response without a length, waits for the line `reset`, and resets the connection.
fn resetting_endpoint(trace: &Trace, beginning: &'static str) -> SocketAddr {
    let trace = trace.clone();
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let Some(request) = read_message(&mut reader) else { return };
        trace.record(&format!("A: {}", request.start_line()));
        (&stream).write_all(beginning.as_bytes()).unwrap();
        trace.wait_for("reset");
        // With a linger time of zero, closing the socket sends a reset.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
    })
}

/// Reads until the connection ends. Returns the text, and whether it ends with the last chunk as a complete
/// response does.
fn read_to_end(client: &mut Client) -> (String, bool) {
    let mut text = String::new();
    let ended = client.0.read_to_string(&mut text).is_ok();
    (text.clone(), ended && text.ends_with("0\r\n\r\n"))
}

/// Detects forwarding a partial response as complete: the end of the connection marks the end of a
/// response without a length, but a reset does not.
#[test]
fn reset_response_without_length_is_not_forwarded() {
    let trace = Trace::default();
    let a = resetting_endpoint(&trace, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it");
    let balancer = start(&[endpoint_entry("a", a, "active")]);
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    trace.wait_for("A: POST / HTTP/1.1");
    trace.record("reset");
    client.record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: POST / HTTP/1.1
        reset
        client: 502 "no answer, and it may have run"
    "#]]);
}

/// Checks that a client can't take a partial response for a complete one when the endpoint resets the
/// connection after the balancer has already forwarded the beginning.
#[test]
fn response_reset_while_streaming_is_visibly_incomplete() {
    let trace = Trace::default();
    let a = resetting_endpoint(&trace, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it");
    let balancer = start(&[endpoint_entry("a", a, "active")]);
    let mut client = Client::new(&balancer);
    client.post("/", "1");
    let mut first = [0; 12];
    client.0.read_exact(&mut first).unwrap();
    assert_eq!(&first, b"HTTP/1.1 200");
    trace.record("reset");
    let (text, looks_complete) = read_to_end(&mut client);
    assert!(!looks_complete, "{text:?}");
}

/// Detects a balancer that stays unusable once idle clients have held all its descriptors. It must
/// still reach discovery and its endpoints and accept new clients, and must not spin on failing accepts
/// meanwhile.
#[test]
fn idle_clients_exhausting_descriptors_do_not_block_discovery() {
    let trace = Trace::default();
    let b = test_endpoint("B", &trace);
    let discovery_state = Trace::default();
    let service_state = discovery_state.clone();
    // Resets each call until the test marks the service as up.
    let discovery = listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while read_message(&mut reader).is_some() {
            if !service_state.0.0.lock().unwrap().contains("up") {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            let list = endpoint_snapshot(&[endpoint_entry("b", b, "active")]).to_string();
            write!(&stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).unwrap();
        }
    });
    let balancer = start_with(&[], discovery, 64);
    // The process limit is below the configured 64 sockets, so that accept fails as well when the clients
    // connect.
    let limit = format!("--nofile=48:48 --pid {}", balancer.process.id());
    let mut prlimit = Command::new("prlimit");
    let prlimit = prlimit.args(limit.split(' ')).stdout(Stdio::null()).status().unwrap();
    assert!(prlimit.success());
    let idle: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(balancer.address).unwrap()).collect();
    let (before, started) = (cpu_ms(&balancer), Instant::now());
    thread::sleep(Duration::from_secs(2));
    let (cpu_used, elapsed) = (cpu_ms(&balancer) - before, started.elapsed().as_millis() as u64);
    assert!(cpu_used < elapsed / 2, "{cpu_used} ms of CPU in {elapsed} ms");
    discovery_state.record("up");
    // The log drops lines at this rate, so a response from B is what shows that the list has arrived. The
    // balancer either closes idle connections for this client, or closes its connection unread, and the
    // client retries.
    let answered = || {
        let mut client = Client::new(&balancer);
        let sent = client
            .0
            .get_mut()
            .write_all(format!("GET / HTTP/1.1\r\n{}\r\n", request_headers("1", "look")).as_bytes());
        sent.ok()
            .and_then(|()| read_message(&mut client.0))
            .is_some_and(|answer| answer.start_line().contains("200"))
    };
    wait_until("an answer", answered);
    drop(idle);
    // After the idle clients have left, a new client is served.
    trace.record("-- idle clients have left");
    Client::new(&balancer).get("/", "2").record_answer(&trace);
    assert!(trace.0.0.lock().unwrap().ends_with("client: 200 \"well\", x-kept as it came\n"));
}

/// Returns the CPU time that the process has used so far.
fn cpu_ms(balancer: &Balancer) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", balancer.process.id())).unwrap();
    // The fields after the process name, which may contain any character: the twelfth and thirteenth are user
    // and system time in hundredths of a second.
    let fields: Vec<&str> = stat.rsplit_once(')').unwrap().1.split_whitespace().collect();
    10 * (fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap())
}
