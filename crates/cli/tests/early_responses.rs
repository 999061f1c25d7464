//! Responses that an endpoint sends while it is still receiving their requests. The endpoint and the client
//! wait for each other, so that the response crosses the rest of the body in every run.

mod common;

use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;

use common::*;
use expect_test::expect;

/// Bytes of a body that the balancer streams, since it buffers at most 64 KiB.
const BODY_BYTES: usize = 100_000;
/// Bytes of the body that the client sends before it has its answer.
const FIRST_BYTES: usize = 80_000;

/// Answers an upload by its head, then reads the rest of it. Never answers any other request.
fn early_endpoint(trace: &Trace, answer: &'static str) -> SocketAddr {
    let trace = trace.clone();
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut byte = [0];
        let mut head = Vec::new();
        while reader.read(&mut byte).unwrap_or(0) == 1 {
            head.push(byte[0]);
            if !head.ends_with(b"\r\n\r\n") {
                continue;
            }
            let text = String::from_utf8(std::mem::take(&mut head)).unwrap();
            trace.record(&format!("A: {}", text.lines().next().unwrap()));
            if text.starts_with("POST /upload") {
                (&stream).write_all(answer.as_bytes()).unwrap();
                let has_body = reader.read_exact(&mut vec![0; BODY_BYTES]).is_ok();
                trace.record(if has_body { "A: has the whole body" } else { "A: has part of the body" });
            }
        }
    })
}

/// Sends part of an upload, and the rest once it is answered. Returns the client, whose connection stays open: an upload
/// is not completed once its client has closed it.
fn upload(balancer: &Balancer, trace: &Trace) -> Client {
    let mut client = Client::new(balancer);
    client.send(&format!(
        "POST /upload HTTP/1.1\r\n{}Content-Length: {BODY_BYTES}\r\n\r\n{}",
        request_headers("1", "buy"),
        "x".repeat(FIRST_BYTES)
    ));
    client.record_answer(trace);
    client.send(&"x".repeat(BODY_BYTES - FIRST_BYTES));
    client
}

/// Prevents that a request which an endpoint has begun is rejected as retryable: it follows, on its connection,
/// a request that was declined while its body was still being written.
#[test]
fn request_after_early_decline_may_have_run() {
    let trace = Trace::default();
    let a = early_endpoint(&trace, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
    let balancer = start(&[endpoint_entry("a", a, "active")]);
    let _uploading_client = upload(&balancer, &trace);
    trace.wait_for("A: has the whole body");
    let mut client = Client::new(&balancer);
    let fields = request_headers("2", "buy").replace("Req-Deadline-Ms: 30000", "Req-Deadline-Ms: 500");
    client.send(&format!("POST /order HTTP/1.1\r\n{fields}Content-Length: 3\r\n\r\none"));
    trace.wait_for("A: POST /order HTTP/1.1");
    client.record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: POST /upload HTTP/1.1
        client: 503 "not now", connection close
        A: has the whole body
        A: POST /order HTTP/1.1
        client: 502 "no answer, and it may have run"
    "#]]);
}

/// Prevents that an upload runs after it was answered as not received: its early response stalls, its client waits
/// for it in the middle of the body, which ends the attempt, and the rest of the body follows.
#[test]
fn upload_with_stalled_early_response_is_not_completed() {
    let (endpoint, client) = (Trace::default(), Trace::default());
    let a = early_endpoint(&endpoint, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    let balancer = start(&[endpoint_entry("a", a, "active")]);
    let _uploading_client = upload(&balancer, &client);
    endpoint.wait_for_prefix("A: has", 1);
    client.assert_matches(expect![[r#"
        client: 408 "request: not received in time", connection close
    "#]]);
    endpoint.assert_matches(expect![[r#"
        A: POST /upload HTTP/1.1
        A: has part of the body
    "#]]);
}
