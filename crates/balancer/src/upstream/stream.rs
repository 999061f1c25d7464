//! Wraps the byte stream of a connection to an endpoint, and does not write a request that is no longer
//! wanted.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};

use doorproxy::ids::{Ticks, Timestamp};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::sync::{Notify, OwnedSemaphorePermit};

use crate::memory::{MemoryBudget, SCARCE_READ_BYTES};
use crate::metrics::Metrics;
use crate::runtime::{Runtime, Stream};
use crate::sync::lock;
use crate::upstream::load_probes::LOAD_REPORT_PATH;
use crate::upstream::reservation::ReservationState;
use crate::upstream::response_check::RecentResponses;

type BeginCheck = Box<dyn Fn() -> bool + Send>;

/// Holds the state of the exchanges on a connection. It is shared by the stream, which the HTTP library owns,
/// and the connection.
#[derive(Default)]
pub(super) struct ExchangeState {
    /// Whether a write failed, so that the last byte of the request was never sent.
    write_failed: AtomicBool,
    /// Whether the request was not written because it was no longer wanted.
    is_withheld: AtomicBool,
    /// Whether a request was written to the connection.
    was_used: AtomicBool,
    /// Time at which the first byte of the latest request was written.
    begun_at: Mutex<Timestamp>,
    /// Time at which the latest bytes of the response were read; `None` before its first byte.
    last_read_at: Mutex<Option<Timestamp>>,
    /// Returns whether the queued request is still wanted. `None` if no request is queued: the next write takes
    /// the check, so that only writes decide whether a request has begun.
    queued: Mutex<Option<BeginCheck>>,
    /// Number of the connection, unique in the process.
    connection_id: u64,
    /// Bytes that were written to the connection in all its exchanges.
    written_bytes: AtomicU64,
    /// Number of reads that returned bytes or the end of the stream, in all its exchanges.
    reads: AtomicU64,
    /// Number of requests that were queued.
    exchanges: AtomicU64,
    /// The latest successful responses.
    pub(super) recent_responses: RecentResponses,
    /// Whether the connection may be used for another request.
    pub(super) reservation: ReservationState,
    /// Whether the connection has ended.
    is_closed: AtomicBool,
    closed: Notify,
}

impl ExchangeState {
    pub(super) fn last_read_at(&self) -> Option<Timestamp> {
        *lock(&self.last_read_at)
    }

    pub(super) fn connection_id(&self) -> u64 {
        self.connection_id
    }

    pub(super) fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }

    pub(super) fn reads(&self) -> u64 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Returns the number of the latest exchange.
    pub(super) fn exchange_number(&self) -> u64 {
        self.exchanges.load(Ordering::Relaxed)
    }

    pub(super) fn begun_at(&self) -> Timestamp {
        *lock(&self.begun_at)
    }

    /// Returns the time from the first byte of the latest request to the latest bytes that were read.
    pub(super) fn response_time(&self) -> Ticks {
        let begun_at = self.begun_at();
        self.last_read_at().unwrap_or(begun_at) - begun_at
    }

    /// Records that the connection has ended.
    pub(super) fn on_closed(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.closed.notify_waiters();
    }

    /// Waits until the connection has ended, because the endpoint closed it, or sent bytes while no request
    /// was open.
    pub(super) async fn wait_until_closed(&self) {
        // This is created before the flag is read because `notify_waiters` only wakes existing waiters.
        let closed = self.closed.notified();
        if !self.is_closed.load(Ordering::Relaxed) {
            closed.await;
        }
    }

    pub(super) fn write_failed(&self) -> bool {
        self.write_failed.load(Ordering::Relaxed)
    }

    pub(super) fn is_withheld(&self) -> bool {
        self.is_withheld.load(Ordering::Relaxed)
    }

    pub(super) fn was_used(&self) -> bool {
        self.was_used.load(Ordering::Relaxed)
    }

    /// Queues a request. The next write to the connection is its first byte, and calls `is_wanted` before.
    pub(super) fn queue_request(&self, is_wanted: BeginCheck) {
        self.exchanges.fetch_add(1, Ordering::Relaxed);
        *lock(&self.queued) = Some(is_wanted);
    }

    fn set_last_read_at(&self, at: Option<Timestamp>) {
        *lock(&self.last_read_at) = at;
    }

    fn take_queued(&self) -> Option<BeginCheck> {
        lock(&self.queued).take()
    }
}

/// Wraps the stream of a connection to an endpoint and holds the permit for its socket.
pub(super) struct UpstreamStream<R: Runtime> {
    runtime: R,
    stream: R::Stream,
    exchange_state: Arc<ExchangeState>,
    /// Whether an attempt has been started and not been counted as sent.
    is_send_uncounted: bool,
    metrics: Arc<Metrics>,
    memory: MemoryBudget,
    _socket_permit: OwnedSemaphorePermit,
}

impl<R: Runtime> UpstreamStream<R> {
    pub(super) fn new(
        runtime: R,
        stream: R::Stream,
        socket_permit: OwnedSemaphorePermit,
        (metrics, memory): (Arc<Metrics>, MemoryBudget),
        connection_id: u64,
    ) -> UpstreamStream<R> {
        UpstreamStream {
            runtime,
            stream,
            exchange_state: Arc::new(ExchangeState { connection_id, ..ExchangeState::default() }),
            is_send_uncounted: false,
            metrics,
            memory,
            _socket_permit: socket_permit,
        }
    }

    pub(super) fn exchange_state(&self) -> Arc<ExchangeState> {
        self.exchange_state.clone()
    }

    /// Begins the queued request, if there is one; otherwise the write continues a request that has begun.
    /// What was read does not matter: responses may arrive while their requests are still being written.
    ///
    /// Checks that the request is still wanted, and that the connection has no unread bytes and has not
    /// ended: unread bytes would be taken for the response, and a request written to an ended connection has
    /// an unknown outcome. There is no await between this check and the first byte. The operating system is
    /// asked, since the runtime's view is older.
    fn begin_queued(&mut self, head: &[u8]) -> io::Result<()> {
        let Some(is_wanted) = self.exchange_state.take_queued() else { return Ok(()) };
        self.is_send_uncounted = !is_load_probe(head);
        self.exchange_state.set_last_read_at(None);
        *lock(&self.exchange_state.begun_at) = self.runtime.now();
        let is_wanted = is_wanted();
        if !is_wanted || !self.stream.is_idle() {
            self.exchange_state.is_withheld.store(!is_wanted, Ordering::Relaxed);
            self.exchange_state.write_failed.store(true, Ordering::Relaxed);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        self.exchange_state.was_used.store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Reads less than the HTTP library has room for, so that its buffer does not grow.
    fn poll_read_little(&self, cx: &mut Context, mut into: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut bytes = [0; SCARCE_READ_BYTES];
        let max_bytes = into.remaining().min(bytes.len());
        let read = ready!(self.stream.poll_recv(cx, &mut bytes[..max_bytes]))?;
        into.put_slice(&bytes[..read]);
        Poll::Ready(Ok(()))
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.exchange_state.written_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
            }
            Poll::Ready(Err(_)) => self.exchange_state.write_failed.store(true, Ordering::Relaxed),
            Poll::Pending => {}
        }
        written
    }
}

/// Returns whether the head is that of a load probe, which is not counted as an attempt.
fn is_load_probe(head: &[u8]) -> bool {
    head.strip_prefix(b"GET ").is_some_and(|target| target.starts_with(LOAD_REPORT_PATH.as_bytes()))
}

impl<R: Runtime> Read for UpstreamStream<R> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: ReadBufCursor) -> Poll<io::Result<()>> {
        let read = if self.memory.is_scarce() {
            self.poll_read_little(cx, into)
        } else {
            Pin::new(&mut self.stream).poll_read(cx, into)
        };
        if read.is_ready() {
            self.exchange_state.reads.fetch_add(1, Ordering::Relaxed);
            self.exchange_state.set_last_read_at(Some(self.runtime.now()));
        }
        read
    }
}

impl<R: Runtime> Write for UpstreamStream<R> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.begin_queued(bytes)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(written)
    }

    /// Counts the attempt as sent: the HTTP library flushes once it has written everything that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if std::mem::take(&mut self.is_send_uncounted) {
            self.metrics.count_attempt();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.begin_queued(bytes.first().map_or(&[], |first| first))?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.record_write(written)
    }
}

#[cfg(test)]
mod tests;
