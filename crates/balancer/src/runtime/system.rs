//! Implements the [`Runtime`] of a serving balancer on the system's clock and sockets and on tokio's tasks.

use std::fmt::Arguments;
use std::future::Future;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::{Shutdown, SocketAddr};
use std::pin::{Pin, pin};
use std::sync::atomic::{AtomicI64, Ordering};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use doorproxy::ids::Timestamp;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::runtime::{Listener, Runtime, Stream, TraceTopic, log};

pub use crate::runtime::inherit::inherit_listener;

/// Provides the system's sockets and clock.
///
/// The Unix time is read once at the start and advanced by the monotonic clock, since a forward step of the
/// wall clock would otherwise make all requests time out at once.
#[derive(Clone, Copy)]
pub struct SystemRuntime {
    unix_at_start: Duration,
    started_at: Instant,
    event_loop: &'static EventLoopProgress,
    traces_attempts: bool,
    traces_connections: bool,
    traces_requests: bool,
}

/// Environment variable that lists the topics to be traced, with commas between them.
const TRACE_VARIABLE: &str = "DOORPROXY_TRACE";
const TRACE_ATTEMPTS: &str = "attempts";
const TRACE_CONNECTIONS: &str = "connections";
const TRACE_REQUESTS: &str = "requests";

/// Size of the kernel receive buffer of a client connection, in bytes. The system doubles it for its own use.
pub const RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Tracks up to which time the event loop has handled all input. A connection that is accepted in one turn of
/// the loop is read in the next, so a poll counts as handled after two turns.
#[derive(Default)]
struct EventLoopProgress {
    polled_at: AtomicI64,
    previous_polled_at: AtomicI64,
    /// Holds the time up to which all input that had arrived was accepted and read.
    caught_up_to: AtomicI64,
}

impl EventLoopProgress {
    fn on_poll(&self, now: Timestamp) {
        self.polled_at.store(now.0, Ordering::Relaxed);
    }

    fn on_turn_finished(&self) {
        let polled_at = self.polled_at.load(Ordering::Relaxed);
        let previous_polled_at = self.previous_polled_at.swap(polled_at, Ordering::Relaxed);
        self.caught_up_to.store(previous_polled_at, Ordering::Relaxed);
    }
}

impl SystemRuntime {
    /// Creates a runtime whose clock starts now. Leaks a few bytes, which is harmless since each process
    /// creates one.
    pub fn start() -> SystemRuntime {
        let topics = std::env::var(TRACE_VARIABLE).unwrap_or_default();
        let has_topic = |topic| topics.split(',').any(|listed| listed == topic);
        SystemRuntime {
            unix_at_start: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            started_at: Instant::now(),
            event_loop: Box::leak(Box::default()),
            traces_attempts: has_topic(TRACE_ATTEMPTS),
            traces_connections: has_topic(TRACE_CONNECTIONS),
            traces_requests: has_topic(TRACE_REQUESTS),
        }
    }

    /// Creates the single-threaded tokio runtime that serves clients.
    ///
    /// # Errors
    ///
    /// Fails if the system has no free file descriptor for its event queue.
    pub fn tokio_runtime(&self) -> io::Result<tokio::runtime::Runtime> {
        let runtime = *self;
        let event_loop = self.event_loop;
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .on_thread_unpark(move || event_loop.on_poll(runtime.now()))
            .on_thread_park(move || event_loop.on_turn_finished())
            .build()
    }
}

impl Runtime for SystemRuntime {
    type Stream = SystemStream;
    type Listener = SystemListener;

    fn now(&self) -> Timestamp {
        Timestamp(((self.unix_at_start + self.started_at.elapsed()).as_micros() / 100) as i64)
    }

    fn instant(&self) -> Instant {
        Instant::now()
    }

    fn caught_up_to(&self) -> Timestamp {
        Timestamp(self.event_loop.caught_up_to.load(Ordering::Relaxed))
    }

    fn sleep(&self, time: Duration) -> impl Future<Output = ()> + Send + Sync + 'static {
        tokio::time::sleep(time)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        tokio::spawn(task);
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<SystemStream> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(SystemStream(TokioIo::new(stream)))
    }

    fn listen(&self, at: SocketAddr, send_buffer: u32, backlog: u32) -> io::Result<SystemListener> {
        let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit the size of the send buffer.
        socket.set_send_buffer_size(send_buffer)?;
        socket.bind(at)?;
        socket.listen(backlog).map(SystemListener)
    }

    fn log(&self, line: Arguments) {
        log::write_line(line);
    }

    fn log_state(&self, line: Arguments) {
        log::write_unlimited_line(line);
    }

    fn traces(&self, topic: TraceTopic) -> bool {
        match topic {
            TraceTopic::Attempts => self.traces_attempts,
            TraceTopic::Connections => self.traces_connections,
            TraceTopic::Requests => self.traces_requests,
        }
    }

    fn log_trace(&self, line: Arguments) {
        log::write_unlimited_line(line);
    }
}

/// Bounds the input that the system holds unread, which it otherwise lets grow to many megabytes. A connection on which
/// the bound can't be set works as well.
fn bound_receive_buffer(socket: SockRef) {
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
}

/// Accepts TCP connections.
pub struct SystemListener(TcpListener);

impl SystemListener {
    pub(super) fn new(listener: TcpListener) -> SystemListener {
        SystemListener(listener)
    }
}

impl Listener for SystemListener {
    type Stream = SystemStream;

    async fn accept(&self) -> io::Result<SystemStream> {
        let (stream, _) = self.0.accept().await?;
        let _ = stream.set_nodelay(true);
        bound_receive_buffer(SockRef::from(&stream));
        Ok(SystemStream(TokioIo::new(stream)))
    }

    fn try_accept(&self) -> Option<SystemStream> {
        let (stream, _) = SockRef::from(&self.0).accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        let _ = stream.set_tcp_nodelay(true);
        bound_receive_buffer(SockRef::from(&stream));
        Some(SystemStream(TokioIo::new(TcpStream::from_std(stream.into()).ok()?)))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Reads and writes one TCP connection.
pub struct SystemStream(TokioIo<TcpStream>);

impl Stream for SystemStream {
    fn poll_recv(&self, cx: &mut Context, into: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.inner().poll_read_ready(cx))?;
            match self.0.inner().try_read(into) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }

    fn poll_send(&self, cx: &mut Context, bytes: &[IoSlice]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.inner().poll_write_ready(cx))?;
            match self.0.inner().try_write_vectored(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn shutdown_write(&self) {
        let _ = SockRef::from(self.0.inner()).shutdown(Shutdown::Write);
    }

    fn is_idle(&self) -> bool {
        let waiting = SockRef::from(self.0.inner()).peek(&mut [MaybeUninit::uninit()]);
        waiting.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn has_ended(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.0.inner()).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
        }
    }

    fn is_read_closed(&self) -> bool {
        // Polled once without waiting. Unread bytes keep the connection ready, so readiness alone says
        // nothing.
        let ready = pin!(self.0.inner().ready(Interest::READABLE));
        let ready = ready.poll(&mut Context::from_waker(Waker::noop()));
        matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }
}

impl Read for SystemStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, into)
    }
}

impl Write for SystemStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bytes)
    }
}
