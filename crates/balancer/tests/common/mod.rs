//! A runtime with virtual time, and streams whose other side the test controls: it holds the writes of the code
//! under test until it takes bytes.

use std::fmt::Arguments;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::runtime::{Listener, Runtime, Stream};
use hyper::rt::{Read, ReadBufCursor, Write};

/// Runs on tokio's clock, which a test pauses. It opens no connections.
#[derive(Clone)]
pub struct TestRuntime {
    started_at: tokio::time::Instant,
    /// The time up to which all input has been read; `None` if that is always now.
    pub caught_up_to: Option<Timestamp>,
}

impl TestRuntime {
    pub fn start() -> TestRuntime {
        TestRuntime { started_at: tokio::time::Instant::now(), caught_up_to: None }
    }
}

impl Runtime for TestRuntime {
    type Stream = TestStream;
    type Listener = NoListener;

    fn now(&self) -> Timestamp {
        Timestamp(0) + Ticks::from_secs_f64(self.started_at.elapsed().as_secs_f64())
    }

    fn instant(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn caught_up_to(&self) -> Timestamp {
        self.caught_up_to.unwrap_or(self.now())
    }

    fn sleep(&self, time: Duration) -> impl Future<Output = ()> + Send + Sync + 'static {
        tokio::time::sleep(time)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(task);
    }

    async fn connect(&self, _: SocketAddr) -> io::Result<TestStream> {
        Err(io::ErrorKind::ConnectionRefused.into())
    }

    fn listen(&self, _: SocketAddr, _: u32, _: u32) -> io::Result<NoListener> {
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn log(&self, line: Arguments) {
        println!("{line}");
    }
}

/// Never accepts a connection.
pub struct NoListener;

impl Listener for NoListener {
    type Stream = TestStream;

    async fn accept(&self) -> io::Result<TestStream> {
        std::future::pending().await
    }

    fn try_accept(&self) -> Option<TestStream> {
        None
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Err(io::ErrorKind::NotConnected.into())
    }
}

#[derive(Default)]
struct Pipe {
    /// Bytes that the client has sent and the server has not read.
    input: Vec<u8>,
    /// Bytes that the server has written.
    output: Vec<u8>,
    /// Number of bytes that the server may still write before its writes are held.
    capacity: usize,
    is_input_ended: bool,
    is_output_ended: bool,
    wakers: Vec<Waker>,
}

impl Pipe {
    fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }
}

/// The server's side of a connection.
#[derive(Clone, Default)]
pub struct TestStream(Arc<Mutex<Pipe>>);

impl TestStream {
    fn pipe(&self) -> MutexGuard<'_, Pipe> {
        self.0.lock().unwrap()
    }

    /// Sends bytes to the server.
    pub fn send(&self, bytes: &[u8]) {
        let mut pipe = self.pipe();
        pipe.input.extend_from_slice(bytes);
        pipe.wake();
    }

    /// Closes the client's side of the connection.
    pub fn close(&self) {
        let mut pipe = self.pipe();
        pipe.is_input_ended = true;
        pipe.wake();
    }

    /// Allows the server to write `bytes` bytes more.
    pub fn take(&self, bytes: usize) {
        let mut pipe = self.pipe();
        pipe.capacity += bytes;
        pipe.wake();
    }

    /// Returns all that the server has written.
    pub fn output(&self) -> String {
        String::from_utf8(self.pipe().output.clone()).unwrap()
    }

    /// Returns whether the server has ended its side, or dropped the connection.
    pub fn is_ended(&self) -> bool {
        self.pipe().is_output_ended
    }
}

impl Stream for TestStream {
    fn poll_recv(&self, cx: &mut Context, into: &mut [u8]) -> Poll<io::Result<usize>> {
        let mut pipe = self.pipe();
        let read = pipe.input.len().min(into.len());
        if read == 0 && !pipe.is_input_ended {
            pipe.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        into[..read].copy_from_slice(&pipe.input[..read]);
        pipe.input.drain(..read);
        Poll::Ready(Ok(read))
    }

    fn poll_send(&self, cx: &mut Context, bytes: &[IoSlice]) -> Poll<io::Result<usize>> {
        let mut pipe = self.pipe();
        let all: Vec<u8> = bytes.iter().flat_map(|slice| slice.iter().copied()).collect();
        let written = all.len().min(pipe.capacity);
        if written == 0 {
            pipe.wakers.push(cx.waker().clone());
            return Poll::Pending;
        }
        pipe.capacity -= written;
        pipe.output.extend_from_slice(&all[..written]);
        Poll::Ready(Ok(written))
    }

    fn shutdown_write(&self) {
        self.pipe().is_output_ended = true;
    }

    fn is_idle(&self) -> bool {
        let pipe = self.pipe();
        pipe.input.is_empty() && !pipe.is_input_ended
    }

    fn is_read_closed(&self) -> bool {
        self.pipe().is_input_ended
    }
}

impl Read for TestStream {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context, _: ReadBufCursor) -> Poll<io::Result<()>> {
        unreachable!("client connections are read with poll_recv")
    }
}

impl Write for TestStream {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context, _: &[u8]) -> Poll<io::Result<usize>> {
        unreachable!("client connections are written with poll_send")
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
