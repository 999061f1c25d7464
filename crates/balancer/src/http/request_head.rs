//! Validates the input of a client connection before the HTTP library reads it. A head is passed on only once
//! it is complete and determines the length of its request unambiguously.

use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use doorproxy::ids::Timestamp;
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::http::connection::ClientConnection;
use crate::http::framing::{ClientError, RequestLength, parse_request_length};
use crate::http::hidden_close::HiddenCloseCheck;
use crate::memory::MemoryReservation;
use crate::memory::SCARCE_READ_BYTES;
use crate::runtime::{Runtime, Stream};

/// Maximum length of a request head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Bytes after a request that are read before its response. If there are more, the operating system is asked
/// whether the client has closed the connection.
const MAX_PIPELINED_BYTES: usize = 2 * MAX_HEAD_BYTES;
/// Maximum number of reads whose arrival times are stored separately. Later reads share the arrival time of
/// the last of them.
const MAX_RECEIVE_TIMES: usize = 64;
const READ_BUFFER_BYTES: usize = 4096;
const PASSTHROUGH_BUFFER_BYTES: usize = 16 << 10;

/// Wraps the stream of a client connection for the HTTP library, which reads and writes it.
pub struct HeadValidatingStream<R: Runtime> {
    stream: Arc<R::Stream>,
    client: Arc<ClientConnection<R>>,
    /// Input that has not been passed on yet: an incomplete head, or bytes after a request.
    buffer: Vec<u8>,
    /// Memory of the buffer beyond [`READ_BUFFER_BYTES`].
    reservation: MemoryReservation,
    /// Checks for a close that unread input hides, before the next request begins.
    hidden_close: HiddenCloseCheck,
    receive_times: VecDeque<ReceivedChunk>,
    /// Bytes of the current request that have not been passed on yet. The next head follows them.
    remaining: usize,
}

/// Counts bytes of the buffer that arrived in one read, or in several with the same arrival time.
struct ReceivedChunk {
    bytes: usize,
    /// The earliest time at which the bytes can have arrived.
    arrived_at: Timestamp,
}

impl<R: Runtime> HeadValidatingStream<R> {
    /// Wraps the stream of a connection that was accepted just now.
    pub fn new(stream: Arc<R::Stream>, client: Arc<ClientConnection<R>>) -> HeadValidatingStream<R> {
        let reservation = client.memory().reservation();
        HeadValidatingStream {
            stream,
            client,
            buffer: Vec::new(),
            reservation,
            hidden_close: HiddenCloseCheck::default(),
            receive_times: VecDeque::new(),
            remaining: 0,
        }
    }

    /// Returns whether the memory allows one more read into the buffer, whose capacity doubles as it grows.
    fn may_fill(&mut self) -> bool {
        self.buffer.is_empty() || self.reservation.try_grow_to(2 * (self.buffer.len() + READ_BUFFER_BYTES))
    }

    /// Reads more input into the buffer. Returns 0 at the end of the input.
    fn poll_fill(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        let read = ready!(self.stream.poll_recv(cx, &mut bytes))?;
        self.buffer.extend_from_slice(&bytes[..read]);
        let arrived_at = self.client.earliest_arrival();
        let is_full = self.receive_times.len() >= MAX_RECEIVE_TIMES;
        match self.receive_times.back_mut() {
            Some(chunk) if chunk.arrived_at == arrived_at || is_full => chunk.bytes += read,
            _ => self.receive_times.push_back(ReceivedChunk { bytes: read, arrived_at }),
        }
        Poll::Ready(Ok(read))
    }

    /// Returns the time by which the first `bytes` bytes of the buffer had arrived.
    fn arrival_time(&self, bytes: usize) -> Timestamp {
        let mut sum = 0;
        let covers = |chunk: &&ReceivedChunk| {
            sum += chunk.bytes;
            sum >= bytes
        };
        let chunk = self.receive_times.iter().find(covers).or(self.receive_times.back());
        chunk.map_or_else(|| self.client.earliest_arrival(), |chunk| chunk.arrived_at)
    }

    /// Reads the rest of the current request directly into `into`, bypassing the empty buffer. Reads no
    /// further, because a head follows.
    fn poll_passthrough(&mut self, cx: &mut Context, into: &mut ReadBufCursor) -> Poll<io::Result<usize>> {
        let mut bytes = [0; PASSTHROUGH_BUFFER_BYTES];
        let max_read = if self.client.memory().is_scarce() { SCARCE_READ_BYTES } else { bytes.len() };
        let max_bytes = self.remaining.min(into.remaining()).min(max_read);
        let read = ready!(self.stream.poll_recv(cx, &mut bytes[..max_bytes]))?;
        into.put_slice(&bytes[..read]);
        Poll::Ready(Ok(read))
    }

    fn copy_buffered(&mut self, max_bytes: usize, into: &mut ReadBufCursor) -> usize {
        let copied = max_bytes.min(self.buffer.len()).min(into.remaining());
        into.put_slice(&self.buffer[..copied]);
        self.buffer.drain(..copied);
        self.drop_receive_times(copied);
        if self.buffer.is_empty() {
            // This frees the memory of idle connections, which most connections are most of the time.
            self.buffer = Vec::new();
            self.reservation.release();
            self.receive_times = VecDeque::new();
        }
        copied
    }

    fn drop_receive_times(&mut self, mut bytes: usize) {
        while let Some(chunk) = self.receive_times.front_mut() {
            let dropped = bytes.min(chunk.bytes);
            chunk.bytes -= dropped;
            bytes -= dropped;
            if chunk.bytes > 0 {
                return;
            }
            self.receive_times.pop_front();
        }
    }

    /// Reads until a head is complete, and prepares to pass on its request. Returns false if nothing more is
    /// to be read, because the input ended or the head was rejected.
    fn poll_head(&mut self, cx: &mut Context) -> Poll<io::Result<bool>> {
        while self.remaining == 0 {
            // Input after a request is not passed to the HTTP library yet: with it in its buffer, the library
            // would not notice that the client closes the connection.
            if self.client.awaits_response() {
                if !self.buffer.is_empty() {
                    self.client.on_pipelined_input(cx.waker());
                }
                if self.buffer.len() >= MAX_PIPELINED_BYTES || !self.may_fill() {
                    self.client.unread_input.notify_one();
                    self.hidden_close.on_unread_input();
                    return Poll::Pending;
                }
                if ready!(self.poll_fill(cx))? == 0 {
                    return Poll::Ready(Ok(false));
                }
                continue;
            }
            if !self.buffer.is_empty() {
                self.client.on_first_byte();
            }
            match parse_request_length(&self.buffer) {
                Ok(Some(length)) => {
                    if ready!(self.hidden_close.poll_is_closed(cx, &*self.client, &*self.stream)) {
                        return Poll::Ready(Ok(false));
                    }
                    self.expect_request(length);
                }
                Ok(None) if !self.may_fill() => {
                    self.client.set_client_error(ClientError::OutOfMemory);
                    return Poll::Ready(Ok(false));
                }
                Ok(None) => {
                    if ready!(self.poll_fill(cx))? == 0 {
                        return Poll::Ready(Ok(false));
                    }
                }
                Err(error) => {
                    self.client.set_client_error(error);
                    return Poll::Ready(Ok(false));
                }
            }
        }
        Poll::Ready(Ok(true))
    }

    fn expect_request(&mut self, length: RequestLength) {
        let is_last = length == RequestLength::Chunked;
        let bytes = match length {
            RequestLength::Known(bytes) => bytes,
            RequestLength::Chunked => usize::MAX,
        };
        self.client.on_head(bytes, self.arrival_time(bytes));
        self.client.expect_response(is_last);
        self.remaining = bytes;
    }
}

impl<R: Runtime> Read for HeadValidatingStream<R> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut into: ReadBufCursor) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !ready!(this.poll_head(cx))? {
            return Poll::Ready(Ok(()));
        }
        let copied = if !this.buffer.is_empty() {
            this.copy_buffered(this.remaining, &mut into)
        } else if let Poll::Ready(copied) = this.poll_passthrough(cx, &mut into) {
            copied?
        } else {
            this.client.on_read_pending();
            return Poll::Pending;
        };
        this.remaining -= copied;
        this.client.on_bytes_read(copied);
        Poll::Ready(Ok(()))
    }
}

impl<R: Runtime> Write for HeadValidatingStream<R> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    /// Records that everything was written: the HTTP library flushes once its buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.client.on_buffer_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        // The task that serves the connection shuts it down, since it may have to send an error first.
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(self.stream.poll_send(cx, bytes))?;
        self.client.on_bytes_written(written);
        Poll::Ready(Ok(written))
    }
}
