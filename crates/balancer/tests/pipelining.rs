//! Tests in virtual time that requests which a client sends without waiting for responses are answered in order.

mod common;

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::Extension;
use common::{TestRuntime, TestStream};
use doorproxy_balancer::http::client_connections::ClientConnections;
use doorproxy_balancer::http::connection::ClientConnection;
use doorproxy_balancer::memory::{DEFAULT_LIMIT_MB, MemoryBudget};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
const RESPONSE_TIME: Duration = Duration::from_millis(100);
const PLENTY: usize = 1 << 20;

/// Answers after a while, as a request that waits for an endpoint.
async fn answer(Extension(client): Extension<Arc<ClientConnection<TestRuntime>>>) -> &'static str {
    client.on_request_complete();
    tokio::time::sleep(RESPONSE_TIME).await;
    "fine"
}

/// A connection to a server with its requests.
struct Exchange {
    connections: Arc<ClientConnections<TestRuntime>>,
    stream: TestStream,
}

impl Exchange {
    fn start() -> Exchange {
        let connections =
            ClientConnections::new(TestRuntime::start(), 1024, MemoryBudget::new(DEFAULT_LIMIT_MB, 1024));
        let stream = TestStream::default();
        connections.spawn(&Router::new().fallback(answer), stream.clone());
        stream.take(PLENTY);
        Exchange { connections, stream }
    }

    async fn send_and_wait(&self, bytes: &[u8], time: Duration) {
        self.stream.send(bytes);
        tokio::time::sleep(time).await;
    }

    fn responses(&self) -> usize {
        self.stream.output().matches("HTTP/1.1 200 OK").count()
    }
}

/// Prevents that a request which came before the response to the one before it is not read until something else
/// happens on its connection: the HTTP library waited for input that had come already.
#[tokio::test(start_paused = true)]
async fn second_request_is_read_after_the_first_response() {
    let exchange = Exchange::start();
    exchange.send_and_wait(&REQUEST.repeat(3), RESPONSE_TIME * 7 / 2).await;
    assert_eq!(exchange.responses(), 3);
    exchange.stream.close();
    tokio::time::sleep(RESPONSE_TIME).await;
    assert_eq!(exchange.connections.count(), 0);
}

/// Prevents the same where the second request comes in parts while the first waits for its response.
#[tokio::test(start_paused = true)]
async fn second_request_may_come_in_parts() {
    let exchange = Exchange::start();
    exchange.send_and_wait(&[REQUEST, &REQUEST[..5]].concat(), RESPONSE_TIME / 2).await;
    exchange.send_and_wait(&REQUEST[5..10], RESPONSE_TIME).await;
    assert_eq!(exchange.responses(), 1);
    exchange.send_and_wait(&REQUEST[10..], RESPONSE_TIME * 3 / 2).await;
    assert_eq!(exchange.responses(), 2);
}

/// Prevents that a request is lost which came before its connection was asked to close: the process answered the
/// first request and closed the connection with the second one unread.
#[tokio::test(start_paused = true)]
async fn requests_before_the_close_are_answered() {
    let exchange = Exchange::start();
    exchange.send_and_wait(&REQUEST.repeat(2), RESPONSE_TIME / 2).await;
    exchange.connections.close_all();
    tokio::time::sleep(RESPONSE_TIME * 2).await;
    assert_eq!(exchange.responses(), 2);
    exchange.connections.close_all();
    tokio::time::sleep(RESPONSE_TIME).await;
    assert!(exchange.stream.is_ended(), "the connection is idle and closes");
}

/// Prevents that a response to a client which pipelines announces the close while requests wait on the connection: only the
/// last response may say so.
#[tokio::test(start_paused = true)]
async fn only_the_last_response_announces_the_close() {
    let exchange = Exchange::start();
    let last = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    exchange.send_and_wait(&[REQUEST, last].concat(), RESPONSE_TIME * 3).await;
    let output = exchange.stream.output().to_ascii_lowercase();
    assert_eq!(exchange.responses(), 2);
    assert_eq!(output.matches("connection: close").count(), 1);
}

/// Prevents that half a head which came before the response to another request keeps its connection for good: it
/// counted as input that waits for that response even while it was being read, so its eviction did not close it.
#[tokio::test(start_paused = true)]
async fn half_a_pipelined_head_may_be_evicted() {
    let exchange = Exchange::start();
    exchange.send_and_wait(&[REQUEST, &REQUEST[..5]].concat(), RESPONSE_TIME * 20).await;
    exchange.connections.close_idle(1);
    tokio::time::sleep(RESPONSE_TIME * 100).await;
    assert_eq!(exchange.responses(), 1);
    assert_eq!(exchange.connections.count(), 0);
}
