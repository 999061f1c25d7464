//! Hundreds of clients at once that hold as much of a process's memory as they can, under the least memory that the
//! platform gives. The peak is read from the system. A client that asks for little is answered beside each crowd; where
//! the crowd's requests hang at all endpoints, it may be rejected.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::*;
use serde_json::json;

const MEMORY_MB: usize = 32;
const SOCKETS: u32 = 1024;
/// Fewer than the connections that the process accepts, so that none waits in the backlog.
const CROWD: usize = 400;
const ENDPOINTS: usize = 24;
/// Longer than the crowd takes to send, shorter than any of its connections times out.
const HOLD_TIME: Duration = Duration::from_millis(1200);
const LARGE_BODY_BYTES: usize = 300_000;

/// Answers `/large` with a long body and `/hang` never.
fn crowd_endpoint(trace: &Trace) -> std::net::SocketAddr {
    let trace = trace.clone();
    listen(move |stream| {
        let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let answered = match request.start_line().split(' ').nth(1).unwrap_or_default() {
                "/hang" => return drop(reader.read(&mut [0])),
                "/large" => {
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n");
                    let body = vec![b'z'; LARGE_BODY_BYTES];
                    writer.write_all(&[head.as_bytes(), &body].concat())
                }
                _ => writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell"),
            };
            if answered.is_err() {
                return;
            }
            trace.record("answered");
        }
    })
}

struct Crowd {
    balancer: Balancer,
    clients: Vec<TcpStream>,
}

impl Crowd {
    /// Connects the clients, each of which sends what `input` returns for its number, and then nothing.
    fn start(input: impl Fn(usize) -> Vec<u8>) -> Crowd {
        let trace = Trace::default();
        let known: Vec<_> = (0..ENDPOINTS)
            .map(|number| endpoint_entry(&format!("s-{number}"), crowd_endpoint(&trace), "active"))
            .collect();
        let mut config = config(&known, closing_service(), SOCKETS);
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
        let balancer = start_from(&config.to_string());
        let connect = |number| {
            let mut client = TcpStream::connect(balancer.address).unwrap();
            client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            client.set_nonblocking(true).unwrap();
            let input = input(number);
            // What the balancer does not read, or no longer reads, is not sent.
            let _ = client.write(&input);
            client.set_nonblocking(false).unwrap();
            client
        };
        let clients = (0..CROWD).map(connect).collect();
        Crowd { balancer, clients }
    }

    /// Checks that a small request beside the crowd has an answer with one of these statuses, and that the peak of the
    /// memory is within the limit once the crowd has held what it could.
    fn assert_served_within_memory(&self, statuses: &[&str]) {
        let mut client = Client::new(&self.balancer);
        let answer =
            read_message(&mut client.post("/", "beside").0).expect("a request beside the crowd is answered");
        let status = answer.start_line().split(' ').nth(1).unwrap_or_default();
        assert!(statuses.contains(&status), "{}", answer.head);
        thread::sleep(HOLD_TIME);
        let peak = self.peak_kb();
        assert!(peak < MEMORY_MB << 10, "peak memory: {peak} kB of {MEMORY_MB} MB");
    }

    fn peak_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.balancer.process.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse().unwrap()
    }
}

fn head(method: &str, path: &str, number: usize, class: &str, fields: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\n{}{fields}\r\n", request_headers(&number.to_string(), class))
}

/// Prevents that requests which stop short of their end hold more than the memory of the process.
#[test]
fn half_sent_requests_stay_within_memory() {
    let crowd = Crowd::start(|number| {
        let head = head("POST", "/", number, "buy", "Content-Length: 65000\r\n");
        [head.as_bytes(), &[b'x'; 64_000]].concat()
    });
    crowd.assert_served_within_memory(&["200"]);
}

/// Prevents that the beginnings of long uploads hold more than the memory of the process.
#[test]
fn half_sent_uploads_stay_within_memory() {
    let crowd = Crowd::start(|number| {
        let head = head("POST", "/", number, "buy", "Content-Length: 1000000\r\n");
        [head.as_bytes(), &[b'x'; 500_000]].concat()
    });
    crowd.assert_served_within_memory(&["200"]);
}

/// Prevents that heads of many fields hold more than the memory of the process while their requests wait.
#[test]
fn heads_of_many_fields_stay_within_memory() {
    let crowd = Crowd::start(|number| {
        let field = |field| format!("a{field}: {}\r\n", "v".repeat(240));
        head("GET", "/hang", number, "look", &(0..55).map(field).collect::<String>()).into_bytes()
    });
    crowd.assert_served_within_memory(&["200", "503"]);
}

/// Prevents that input which comes before its turn holds more than the memory of the process.
#[test]
fn pipelined_input_stays_within_memory() {
    let crowd = Crowd::start(|number| {
        let input =
            head("GET", "/hang", number, "look", "") + "GET / HTTP/1.1\r\n" + &"a: b\r\n".repeat(9_000);
        input.into_bytes()
    });
    crowd.assert_served_within_memory(&["200", "503"]);
}

/// Prevents that responses which their clients read slowly hold more than the memory of the process, and that one of
/// them is cut off for it.
#[test]
fn slowly_read_responses_stay_within_memory() {
    let mut crowd = Crowd::start(|number| head("GET", "/large", number, "look", "").into_bytes());
    crowd.assert_served_within_memory(&["200"]);
    for mut client in crowd.clients.drain(..) {
        let mut answer = Vec::new();
        let mut buffer = [0; 1 << 16];
        // Answers of other lengths are rejections.
        while !answer.ends_with(b"not now\n") {
            match client.read(&mut buffer) {
                Ok(read) if read > 0 => answer.extend_from_slice(&buffer[..read]),
                end => panic!("cut off after {} bytes: {end:?}", answer.len()),
            }
            if answer.starts_with(b"HTTP/1.1 200") && answer.len() > LARGE_BODY_BYTES {
                break;
            }
        }
    }
}
