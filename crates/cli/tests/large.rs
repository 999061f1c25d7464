//! Request and response bodies that are longer than the balancer buffers, with endpoints that drop the
//! connection, wait or send in chunks as the path says.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

use common::*;
use expect_test::expect;

const MIB: usize = 1 << 20;

/// Returns bytes whose values depend on their position, so that lost or misplaced bytes are detected.
fn pattern_bytes(from: usize, length: usize) -> Vec<u8> {
    (from..from + length).map(|at| (at % 251) as u8).collect()
}

struct Head(String);

impl Head {
    fn read(reader: &mut impl BufRead) -> Option<Head> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if reader.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        Some(Head(head))
    }

    fn field(&self, name: &str) -> Option<String> {
        let mut fields = self.0.lines().filter_map(|line| line.split_once(':'));
        fields.find(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim().to_string())
    }

    fn length(&self) -> Option<usize> {
        self.field("content-length")?.parse().ok()
    }

    fn start_line(&self) -> &str {
        self.0.lines().next().unwrap_or_default()
    }
}

/// Reads a body by its framing. Returns the number of bytes received, and whether each has the expected
/// value.
fn read_body(reader: &mut impl BufRead, head: &Head) -> (usize, bool) {
    let (mut received, mut intact) = (0, true);
    let mut take = |bytes: &[u8]| {
        intact &= bytes.iter().zip(received..).all(|(byte, at)| *byte == (at % 251) as u8);
        received += bytes.len();
    };
    match head.length() {
        Some(length) => {
            let mut remaining = length;
            let mut bytes = vec![0; 64 << 10];
            while remaining > 0 {
                let most = remaining.min(bytes.len());
                match reader.read(&mut bytes[..most]) {
                    Ok(0) | Err(_) => break,
                    Ok(read) => {
                        take(&bytes[..read]);
                        remaining -= read;
                    }
                }
            }
        }
        None if head.field("transfer-encoding").is_some() => loop {
            let mut size = String::new();
            if reader.read_line(&mut size).unwrap_or(0) == 0 {
                break;
            }
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
            let mut bytes = vec![0; size + 2];
            if reader.read_exact(&mut bytes).is_err() || size == 0 {
                break;
            }
            take(&bytes[..size]);
        },
        None => {}
    }
    (received, intact)
}

/// Answers as the path says, and records what it received.
fn streaming_endpoint(name: &'static str, trace: &Trace) -> SocketAddr {
    let trace = trace.clone();
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(head) = Head::read(&mut reader) {
            let path = head.start_line().split(' ').nth(1).unwrap_or_default().to_string();
            if path == "/break" {
                let mut part = vec![0; 100_000];
                let _ = reader.read_exact(&mut part);
                trace.record(&format!("{name}: {} dropped", head.start_line()));
                return;
            }
            let (received, intact) = read_body(&mut reader, &head);
            trace.record(&format!("{name}: {} received {received}, intact {intact}", head.start_line()));
            match path.as_str() {
                "/cut" => {
                    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n").unwrap();
                    writer.write_all(&pattern_bytes(0, 100_000)).unwrap();
                    return;
                }
                "/cut-pieces" => {
                    write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n").unwrap();
                    writer.write_all(&pattern_bytes(0, 100_000)).unwrap();
                    return;
                }
                "/first" => {
                    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n").unwrap();
                    writer.write_all(&pattern_bytes(0, 1000)).unwrap();
                    trace.wait_for("client: has the first bytes");
                    writer.write_all(&pattern_bytes(1000, 199_000)).unwrap();
                }
                "/pieces" => {
                    write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
                    for at in 0..20 {
                        write!(writer, "2710\r\n").unwrap();
                        writer.write_all(&pattern_bytes(at * 10_000, 10_000)).unwrap();
                        write!(writer, "\r\n").unwrap();
                    }
                    write!(writer, "0\r\nX-Sum: none\r\n\r\n").unwrap();
                }
                "/until-closed" => {
                    write!(writer, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n").unwrap();
                    writer.write_all(&pattern_bytes(0, 150_000)).unwrap();
                    return;
                }
                "/large" => {
                    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", 32 * MIB).unwrap();
                    (0..32).for_each(|at| writer.write_all(&pattern_bytes(at * MIB, MIB)).unwrap());
                }
                _ if head.start_line().starts_with("HEAD") => {
                    write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n").unwrap();
                }
                _ => write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell").unwrap(),
            }
        }
    })
}

fn connect(balancer: &Balancer) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(balancer.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    BufReader::new(stream)
}

fn get(balancer: &Balancer, path: &str, id: &str) -> BufReader<TcpStream> {
    let mut connection = connect(balancer);
    write!(connection.get_mut(), "GET {path} HTTP/1.1\r\n{}\r\n", request_headers(id, "look")).unwrap();
    connection
}

fn describe_answer(connection: &mut BufReader<TcpStream>) -> String {
    let Some(head) = Head::read(connection) else { return "no answer".to_string() };
    let status = head.start_line().split(' ').nth(1).unwrap_or_default().to_string();
    let framing = head.length().map_or("chunked".to_string(), |length| format!("Content-Length {length}"));
    let (received, intact) = read_body(connection, &head);
    if received < 100 {
        return status;
    }
    format!("{status}, received {received} ({framing}), intact {intact}")
}

fn post(balancer: &Balancer, path: &str, id: &str, category: &str, length: usize) -> String {
    let mut connection = connect(balancer);
    let fields = request_headers(id, category);
    write!(connection.get_mut(), "POST {path} HTTP/1.1\r\n{fields}Content-Length: {length}\r\n\r\n").unwrap();
    let mut sender = connection.get_ref().try_clone().unwrap();
    let sending = thread::spawn(move || {
        for at in (0..length).step_by(MIB) {
            // The answer may arrive, and the connection close, before the whole body is sent.
            if sender.write_all(&pattern_bytes(at, MIB.min(length - at))).is_err() {
                return;
            }
        }
    });
    let answer = describe_answer(&mut connection);
    sending.join().unwrap();
    answer
}

/// Detects buffering whole bodies: four clients each send and receive 32 MiB, and the peak memory of
/// the balancer must stay under 32 MiB.
#[test]
fn large_bodies_stream_both_ways_in_bounded_memory() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", streaming_endpoint("A", &trace), "active")]);
    let report = Trace::default();
    thread::scope(|scope| {
        for id in 0..4 {
            let (balancer, report) = (&balancer, &report);
            scope.spawn(move || {
                report.record(&post(balancer, "/", &format!("up{id}"), "buy", 32 * MIB));
                report.record(&describe_answer(&mut get(balancer, "/large", &format!("down{id}"))));
            });
        }
    });
    let status = std::fs::read_to_string(format!("/proc/{}/status", balancer.process.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak: usize = peak.trim().trim_end_matches(" kB").parse().unwrap();
    assert!(peak < 32 << 10, "peak memory: {peak} kB");
    let mut lines: Vec<String> = [&trace, &report]
        .iter()
        .flat_map(|of| of.0.0.lock().unwrap().lines().map(str::to_string).collect::<Vec<_>>())
        .collect();
    lines.sort();
    lines.dedup();
    expect![[r#"
        200
        200, received 33554432 (Content-Length 33554432), intact true
        A: GET /large HTTP/1.1 received 0, intact true
        A: POST / HTTP/1.1 received 33554432, intact true"#]]
    .assert_eq(&lines.join("\n"));
}

/// Detects two attempts that each send part of one body, and a retry without the part that has
/// already been streamed.
#[test]
fn request_is_not_retried_once_its_body_streams() {
    let trace = Trace::default();
    let known = [
        endpoint_entry("a", streaming_endpoint("A", &trace), "active"),
        endpoint_entry("b", streaming_endpoint("B", &trace), "active"),
    ];
    let report = Trace::default();
    for (id, category) in [("1", "look"), ("2", "buy")] {
        report.record(&post(&start(&known), "/break", id, category, 4 * MIB));
    }
    let sent = trace.0.0.lock().unwrap().lines().count();
    report.record(&format!("sent {sent} times"));
    // An attempt that fails to connect has sent nothing of the body, so the request is retried.
    let unreachable = UNREACHABLE_ADDRESS.parse().unwrap();
    let known = [
        endpoint_entry("a", unreachable, "active"),
        endpoint_entry("b", streaming_endpoint("B", &trace), "active"),
    ];
    let balancer = start(&known);
    for id in 3..7 {
        report.record(&post(&balancer, "/", &id.to_string(), "buy", MIB));
    }
    report.assert_matches(expect![[r#"
        503
        503
        sent 2 times
        200
        200
        200
        200
    "#]]);
}

/// Detects a truncated response that looks complete, and buffering a response until it is
/// complete.
#[test]
fn long_responses_stream_from_first_byte_and_break_visibly() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", streaming_endpoint("A", &trace), "active")]);
    let report = Trace::default();
    for (id, path) in ["/cut", "/cut-pieces", "/pieces", "/until-closed"].into_iter().enumerate() {
        let mut connection = get(&balancer, path, &id.to_string());
        let answer = describe_answer(&mut connection);
        let mut rest = Vec::new();
        let end = if path == "/pieces" { Ok(0) } else { connection.read_to_end(&mut rest) };
        report.record(&format!("{path}: {answer}, then {:?}", end.map_err(|error| error.kind())));
    }
    let mut connection = get(&balancer, "/first", "first");
    let head = Head::read(&mut connection).unwrap();
    let mut first = [0; 1000];
    connection.read_exact(&mut first).unwrap();
    trace.record("client: has the first bytes");
    let mut rest = vec![0; 199_000];
    connection.read_exact(&mut rest).unwrap();
    report.record(&format!(
        "/first: {:?} intact {}",
        head.length(),
        [first.to_vec(), rest].concat() == pattern_bytes(0, 200_000)
    ));
    report.assert_matches(expect![[r#"
        /cut: 200, received 100000 (Content-Length 200000), intact true, then Ok(0)
        /cut-pieces: 200, received 100000 (chunked), intact true, then Ok(0)
        /pieces: 200, received 200000 (chunked), intact true, then Ok(0)
        /until-closed: 200, received 150000 (chunked), intact true, then Ok(0)
        /first: Some(200000) intact true
    "#]]);
}

/// Detects mishandled framing that HTTP/1.1 allows: chunk extensions and trailers,
/// `Expect: 100-continue`, HEAD, absolute URLs, slow heads and incomplete bodies.
#[test]
fn http_1_1_framing_variants_get_correct_answers() {
    let trace = Trace::default();
    let balancer = start(&[endpoint_entry("a", streaming_endpoint("A", &trace), "active")]);
    let report = Trace::default();
    // Chunks with an extension and a trailer, longer than the balancer buffers.
    let mut connection = connect(&balancer);
    write!(
        connection.get_mut(),
        "POST /chunked HTTP/1.1\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        request_headers("1", "buy")
    )
    .unwrap();
    for at in 0..10 {
        write!(connection.get_mut(), "2710;ext=\"a\"\r\n").unwrap();
        connection.get_mut().write_all(&pattern_bytes(at * 10_000, 10_000)).unwrap();
        write!(connection.get_mut(), "\r\n").unwrap();
    }
    write!(connection.get_mut(), "0\r\nX-Trailer: t\r\n\r\n").unwrap();
    report.record(&format!("chunked: {}", describe_answer(&mut connection)));
    // The client waits for 100 Continue before it sends its body.
    let mut connection = connect(&balancer);
    write!(
        connection.get_mut(),
        "POST /expect HTTP/1.1\r\n{}Expect: 100-continue\r\nContent-Length: 5\r\n\r\n",
        request_headers("2", "buy")
    )
    .unwrap();
    report.record(&format!("expect: {}", Head::read(&mut connection).unwrap().start_line()));
    connection.get_mut().write_all(&pattern_bytes(0, 5)).unwrap();
    report.record(&format!("expect: {}", describe_answer(&mut connection)));
    // The same connection is used for the next request.
    write!(connection.get_mut(), "HEAD /head HTTP/1.1\r\n{}\r\n", request_headers("3", "look")).unwrap();
    report.record(&format!("head: {}", Head::read(&mut connection).unwrap().start_line()));
    write!(
        connection.get_mut(),
        "GET http://origin.svc/absolute?a=b HTTP/1.1\r\n{}\r\n",
        request_headers("4", "look")
    )
    .unwrap();
    report.record(&format!("absolute: {}", describe_answer(&mut connection)));
    // A head that arrives byte by byte.
    for byte in format!("GET /bytes HTTP/1.1\r\n{}\r\n", request_headers("5", "look")).bytes() {
        connection.get_mut().write_all(&[byte]).unwrap();
    }
    report.record(&format!("byte by byte: {}", describe_answer(&mut connection)));
    // A body that stops halfway.
    let mut connection = connect(&balancer);
    write!(
        connection.get_mut(),
        "POST /half HTTP/1.1\r\n{}Content-Length: 200000\r\n\r\n",
        request_headers("6", "buy")
    )
    .unwrap();
    connection.get_mut().write_all(&pattern_bytes(0, 100_000)).unwrap();
    report.record(&format!("half: {}", describe_answer(&mut connection)));
    trace.wait_for_prefix("A: POST /half", 1);
    report.record(trace.0.0.lock().unwrap().trim_end());
    report.assert_matches(expect![[r#"
        chunked: 200
        expect: HTTP/1.1 100 Continue
        expect: 200
        head: HTTP/1.1 200 OK
        absolute: 200
        byte by byte: 200
        half: 408
        A: POST /chunked HTTP/1.1 received 100000, intact true
        A: POST /expect HTTP/1.1 received 5, intact true
        A: HEAD /head HTTP/1.1 received 0, intact true
        A: GET /absolute?a=b HTTP/1.1 received 0, intact true
        A: GET /bytes HTTP/1.1 received 0, intact true
        A: POST /half HTTP/1.1 received 100000, intact true
    "#]]);
}
