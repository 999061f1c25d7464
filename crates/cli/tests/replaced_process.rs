//! An endpoint's process that is replaced by another one at the same address.

mod common;

use std::io::{BufReader, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use common::*;
use expect_test::expect;
use serde_json::json;

/// Numbers its connections, and records on which of them each request comes.
fn numbering_endpoint(trace: &Trace) -> std::net::SocketAddr {
    let trace = trace.clone();
    let connections = Arc::new(AtomicU64::new(0));
    listen(move |stream| {
        let number = connections.fetch_add(1, Ordering::Relaxed);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let id = request.field("req-id").unwrap_or("none");
            trace.record(&format!("connection {number}: id {id}"));
            writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell").unwrap();
        }
    })
}

/// Prevents that work goes to a process that is gone: a connection to it was kept, since the next process of the
/// endpoint has the same address, and nothing had come from it.
#[test]
fn connection_to_a_replaced_process_is_not_used() {
    let trace = Trace::default();
    let address = numbering_endpoint(&trace);
    let list = Arc::new(Mutex::new((1, 0)));
    let entry = move |started_ms: i64| {
        let mut entry = endpoint_entry("a", address, "active");
        entry["started_ms"] = json!(started_ms);
        entry
    };
    let served = list.clone();
    let discovery = discovery_service(move |call| {
        let known = call.split("after=").nth(1).and_then(|rest| rest.split('&').next()?.parse::<u64>().ok());
        wait_until("a newer list", || known.is_none_or(|known| served.lock().unwrap().0 > known));
        let (version, started_ms) = *served.lock().unwrap();
        Some(json!({"version": version, "full": true, "servers": [entry(started_ms)]}).to_string())
    });
    let balancer = start_with(&[entry(0)], discovery, 256);
    let answers = Trace::default();
    Client::new(&balancer).post("/", "1").record_answer(&answers);
    Client::new(&balancer).post("/", "2").record_answer(&answers);
    // Long ago, so that the new process is warm.
    *list.lock().unwrap() = (2, 1000);
    wait_until("a request on another connection", || {
        Client::new(&balancer).get("/", "3").record_answer(&answers);
        trace.0.0.lock().unwrap().contains("connection 1: id 3")
    });
    let text = trace.0.0.lock().unwrap().lines().take(2).collect::<Vec<_>>().join("\n");
    expect![[r#"
        connection 0: id 1
        connection 0: id 2"#]]
    .assert_eq(&text);
}
