//! Endpoints that write a response slowly: nothing that they still write may be cut off before its request's time is
//! up, whatever the framing and the class.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use common::*;
use expect_test::expect;
use serde_json::json;

/// Five times the connect timeout of these tests.
const PAUSE: Duration = Duration::from_millis(1000);
const CONNECT_TIMEOUT_SECONDS: f64 = 0.2;
const LONG_BYTES: usize = 150_000;
const SHORT_BYTES: usize = 20_000;

fn write_body(stream: &mut TcpStream, length: usize, is_chunked: bool) {
    let body = vec![b'z'; length];
    if is_chunked {
        write!(stream, "{length:x}\r\n").unwrap();
    }
    stream.write_all(&body).unwrap();
    if is_chunked {
        write!(stream, "\r\n0\r\n\r\n").unwrap();
    }
}

/// Writes the head of each response, pauses, and writes the body, with the framing that the path names.
fn pausing_endpoint() -> SocketAddr {
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let path = request.start_line().split(' ').nth(1).unwrap_or_default().to_string();
            let length = if path.starts_with("/long") { LONG_BYTES } else { SHORT_BYTES };
            let framing = match path.rsplit('/').next() {
                Some("chunked") => "Transfer-Encoding: chunked".to_string(),
                Some("close") => "Connection: close".to_string(),
                _ => format!("Content-Length: {length}"),
            };
            write!(writer, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").unwrap();
            thread::sleep(PAUSE);
            write_body(&mut writer, length, path.ends_with("chunked"));
            if path.ends_with("close") {
                return;
            }
        }
    })
}

/// Prevents that a sound response is cut off: it had begun, and made no progress for twice the connect timeout.
#[test]
fn response_that_pauses_after_its_head_is_not_cut_off() {
    // So many that no request waits for another one.
    let known: Vec<_> =
        (0..8).map(|n| endpoint_entry(&format!("s-{n}"), pausing_endpoint(), "active")).collect();
    let mut config = config(&known, closing_service(), 256);
    config["settings"]["limits"]["connect_timeout"] = json!(CONNECT_TIMEOUT_SECONDS);
    let balancer = start_from(&config.to_string());
    let mut answers = Vec::new();
    for method in ["GET", "POST"] {
        for path in ["/long/length", "/long/chunked", "/long/close", "/short/length", "/short/chunked"] {
            let class = if method == "GET" { "look" } else { "buy" };
            let fields = request_headers(&format!("{method}{path}"), class).replace("Req-Key: k\r\n", "");
            let mut client = Client::new(&balancer);
            client.send(&format!("{method} {path} HTTP/1.1\r\n{fields}Connection: close\r\n\r\n"));
            answers.push((method, path, client));
        }
    }
    let report = Trace::default();
    for (method, path, mut client) in answers {
        let mut answer = Vec::new();
        let _ = client.0.read_to_end(&mut answer);
        let status = String::from_utf8_lossy(&answer[..answer.len().min(12)]).to_string();
        let body_bytes = answer.iter().filter(|byte| **byte == b'z').count();
        report.record(&format!("{method} {path}: {status}, {body_bytes} bytes"));
    }
    report.assert_matches(expect![[r#"
        GET /long/length: HTTP/1.1 200, 150000 bytes
        GET /long/chunked: HTTP/1.1 200, 150000 bytes
        GET /long/close: HTTP/1.1 200, 150000 bytes
        GET /short/length: HTTP/1.1 200, 20000 bytes
        GET /short/chunked: HTTP/1.1 200, 20000 bytes
        POST /long/length: HTTP/1.1 200, 150000 bytes
        POST /long/chunked: HTTP/1.1 200, 150000 bytes
        POST /long/close: HTTP/1.1 200, 150000 bytes
        POST /short/length: HTTP/1.1 200, 20000 bytes
        POST /short/chunked: HTTP/1.1 200, 20000 bytes
    "#]]);
}
