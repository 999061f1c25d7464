//! Tests what the log says of the requests that are open when a process ends.

mod common;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::Extension;
use common::{TestRuntime, TestStream};
use doorproxy_balancer::http::client_connections::ClientConnections;
use doorproxy_balancer::http::connection::ClientConnection;
use doorproxy_balancer::memory::{DEFAULT_LIMIT_MB, MemoryBudget};
use expect_test::expect;

const BODY_BYTES: usize = 40_000;

/// Answers at once, except requests for `/hang`, which it never answers.
async fn answer(
    Extension(client): Extension<Arc<ClientConnection<TestRuntime>>>,
    request: axum::extract::Request,
) -> String {
    client.on_request_complete();
    if request.uri().path() == "/hang" {
        std::future::pending::<()>().await;
    }
    "x".repeat(BODY_BYTES)
}

/// Prevents that an operator can't tell a lost request from an idle connection: the log had the number of open
/// connections alone.
#[tokio::test(start_paused = true)]
async fn log_names_requests_that_are_open_at_the_end() {
    let connections =
        ClientConnections::new(TestRuntime::start(), 1024, MemoryBudget::new(DEFAULT_LIMIT_MB, 1024));
    let router = Router::new().fallback(answer);
    let requests = [
        "GET / HTTP/1.1\r\nHost: a\r\nReq-Id: done\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nReq-Id: slow\r\n\r\n",
        "GET /hang HTTP/1.1\r\nHost: a\r\nReq-Id: hangs\r\n\r\n",
        "GET /hang HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HT",
        "",
    ];
    let streams = requests.map(|_| TestStream::default());
    for ((stream, request), taken) in streams.iter().zip(requests).zip([2 * BODY_BYTES, 10_000, 0, 0, 0, 0]) {
        connections.spawn(&router, stream.clone());
        stream.take(taken);
        stream.send(request.as_bytes());
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert!(streams[0].output().ends_with('x') && !streams.iter().any(TestStream::is_ended));
    streams[5].close();
    let open = connections.open_requests();
    expect![[r#"3 lost: without a response on client connection 2, id "hangs", for 250 ms; without a response on client connection 3, for 250 ms; with part of a response on client connection 1, id "slow", for 250 ms; received in part on client connection 4, for 250 ms"#]]
    .assert_eq(&format!("{} lost: {open}", open.unanswered_count()));
}
