//! Tests on real sockets which requests are written to a connection and which are withheld.

use std::io::Write as _;
use std::net::TcpListener;
use std::sync::atomic::AtomicUsize;

use expect_test::expect;
use hyper::rt::ReadBuf;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::sync::Semaphore;

use super::*;
use crate::memory::DEFAULT_LIMIT_MB;
use crate::metrics::Gauges;
use crate::runtime::system::SystemRuntime;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

/// A connection to a peer that the test controls.
struct TestConnection {
    stream: UpstreamStream<SystemRuntime>,
    peer: Option<std::net::TcpStream>,
    metrics: Arc<Metrics>,
}

impl TestConnection {
    async fn open() -> TestConnection {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let runtime = SystemRuntime::start();
        let stream = runtime.connect(listener.local_addr().unwrap()).await.unwrap();
        let peer = Some(listener.accept().unwrap().0);
        let permit = Arc::new(Semaphore::new(1)).acquire_owned().await.unwrap();
        let metrics = Arc::new(Metrics::new(std::iter::empty()));
        let memory = MemoryBudget::new(DEFAULT_LIMIT_MB, 1024);
        let stream = UpstreamStream::new(runtime, stream, permit, (metrics.clone(), memory), 0);
        TestConnection { stream, peer, metrics }
    }

    fn state(&self) -> Arc<ExchangeState> {
        self.stream.exchange_state()
    }

    /// Queues a request that is wanted, and returns the count of its checks.
    fn queue_request(&self) -> Arc<AtomicUsize> {
        let checks = Arc::new(AtomicUsize::new(0));
        let counter = checks.clone();
        let is_wanted = move || counter.fetch_add(1, Ordering::Relaxed) < usize::MAX;
        self.state().queue_request(Box::new(is_wanted));
        checks
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let stream = &mut self.stream;
        let written = std::future::poll_fn(|cx| Pin::new(&mut *stream).poll_write(cx, bytes)).await?;
        std::future::poll_fn(|cx| Pin::new(&mut *stream).poll_flush(cx)).await?;
        Ok(written)
    }

    /// Makes the peer send bytes, and reads them.
    async fn receive(&mut self, bytes: &[u8]) {
        self.peer.as_mut().unwrap().write_all(bytes).unwrap();
        let stream = &mut self.stream;
        let mut memory = [0; 64];
        let mut buffer = ReadBuf::new(&mut memory);
        while buffer.filled().len() < bytes.len() {
            std::future::poll_fn(|cx| Pin::new(&mut *stream).poll_read(cx, buffer.unfilled())).await.unwrap();
        }
    }

    fn counted_attempts(&self) -> String {
        let figures = self.metrics.render(&Gauges { listed_endpoints: 0, avoided_endpoints: 0 });
        figures.lines().find(|line| line.contains("sends")).unwrap().to_string()
    }
}

#[tokio::test]
async fn request_is_withheld_on_unread_input_or_closed_connection() {
    let mut trace = String::new();
    for input in ["none", "unread bytes", "closed"] {
        let mut connection = TestConnection::open().await;
        match input {
            "unread bytes" => connection.peer.as_mut().unwrap().write_all(b"HTTP/1.1 200 OK").unwrap(),
            "closed" => drop(connection.peer.take()),
            _ => {}
        }
        connection.queue_request();
        let written = connection.write(REQUEST).await;
        let write_failed = connection.state().write_failed();
        trace +=
            &format!("{input}: {:?}, write failed {write_failed}\n", written.map_err(|error| error.kind()));
    }
    expect![[r#"
        none: Ok(18), write failed false
        unread bytes: Err(ConnectionReset), write failed true
        closed: Err(ConnectionReset), write failed true
    "#]]
    .assert_eq(&trace);
}

/// Prevents an attempt without its last check: the response to the request before it came while that request
/// was still being written, and the rest of the body was taken for the first byte of the next request.
#[tokio::test]
async fn request_after_early_response_is_checked() {
    let mut connection = TestConnection::open().await;
    connection.queue_request();
    connection.write(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nha").await.unwrap();
    connection.receive(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n").await;
    connection.write(b"lf").await.unwrap();
    connection.state().queue_request(Box::new(|| false));
    let written = connection.write(REQUEST).await;
    assert_eq!(written.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    assert!(connection.state().is_withheld());
}

/// Prevents that a request which the endpoint processes is taken for a stalled response: the time of the last
/// read was that of the early response before it.
#[tokio::test]
async fn request_after_early_response_resets_time_of_last_read() {
    let mut connection = TestConnection::open().await;
    connection.queue_request();
    connection.write(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nha").await.unwrap();
    connection.receive(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n").await;
    connection.write(b"lf").await.unwrap();
    assert!(connection.state().last_read_at().is_some());
    connection.queue_request();
    connection.write(REQUEST).await.unwrap();
    assert_eq!(connection.state().last_read_at(), None);
}

/// Prevents that a request in several parts is broken off because part of an early response is still unread
/// when the next part is written.
#[tokio::test]
async fn request_continues_while_early_response_is_unread() {
    let mut connection = TestConnection::open().await;
    let checks = connection.queue_request();
    connection.write(b"POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nha").await.unwrap();
    connection.receive(b"HTTP/1.1 200 OK\r\n").await;
    connection.peer.as_mut().unwrap().write_all(b"Content-Length: 0\r\n\r\n").unwrap();
    // The bytes have arrived once the operating system reports them.
    while connection.stream.stream.is_idle() {
        tokio::task::yield_now().await;
    }
    connection.write(b"lf").await.unwrap();
    assert_eq!(checks.load(Ordering::Relaxed), 1);
    assert_eq!(connection.counted_attempts(), "edge_proxy.sends:1|c");
}

/// One step of an exchange.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A part of the request is written.
    Write,
    /// A part of a response, or a whole one, is read.
    Read,
}

fn exchanges() -> impl Strategy<Value = Vec<Vec<Step>>> {
    let step = prop_oneof![Just(Step::Write), Just(Step::Read)];
    prop::collection::vec(prop::collection::vec(step, 0..6), 1..6)
}

/// Plays exchanges in which reads and writes follow each other in any order. The first step of each writes.
async fn play(exchanges: Vec<Vec<Step>>) {
    let mut connection = TestConnection::open().await;
    for (index, steps) in exchanges.into_iter().enumerate() {
        let checks = connection.queue_request();
        assert_eq!(checks.load(Ordering::Relaxed), 0, "the check came before the first byte");
        connection.write(b"part").await.unwrap();
        for step in steps {
            match step {
                Step::Write => drop(connection.write(b"part").await.unwrap()),
                Step::Read => connection.receive(b"answer").await,
            }
        }
        assert_eq!(checks.load(Ordering::Relaxed), 1, "exchange {index} ran its check so often");
        assert_eq!(connection.counted_attempts(), format!("edge_proxy.sends:{}|c", index + 1));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Prevents that an attempt whose bytes were written is reported as not sent, which its check decides.
    #[test]
    fn each_exchange_runs_its_check_exactly_once(exchanges in exchanges()) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(play(exchanges));
    }
}
