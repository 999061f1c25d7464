//! Listeners and connections of simulated processes.

use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use doorproxy_balancer::runtime::{Listener, Stream};
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::kernel::{HostId, SocketId};
use crate::runtime::SimulatedRuntime;

/// The maximum number of bytes that one read returns to hyper.
const READ_BUFFER_BYTES: usize = 4096;

/// A listener. Dropping it closes the connections that wait to be accepted.
pub struct SimulatedListener {
    pub(crate) runtime: SimulatedRuntime,
    pub(crate) address: SocketAddr,
}

impl SimulatedListener {
    fn poll_accept(&self, cx: &mut Context) -> Poll<io::Result<SimulatedStream>> {
        let process = self.runtime.process;
        let accepted = self.runtime.simulation.state().network.poll_accept(cx, process, self.address);
        accepted.map_ok(|socket| SimulatedStream { runtime: self.runtime.clone(), socket })
    }
}

impl Listener for SimulatedListener {
    type Stream = SimulatedStream;

    async fn accept(&self) -> io::Result<SimulatedStream> {
        poll_fn(|cx| self.poll_accept(cx)).await
    }

    fn try_accept(&self) -> Option<SimulatedStream> {
        match self.poll_accept(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(stream)) => Some(stream),
            _ => None,
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        self.runtime.simulation.state().stop_listening(self.runtime.process, self.address);
    }
}

/// One side of a connection. Dropping it closes that side.
pub struct SimulatedStream {
    /// The process that the stream belongs to.
    pub runtime: SimulatedRuntime,
    /// The socket in the network.
    pub socket: SocketId,
}

impl SimulatedStream {
    /// Writes all of the bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection is reset or closed.
    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            let written = poll_fn(|cx| self.poll_send(cx, &[IoSlice::new(bytes)])).await?;
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Returns the host of the peer, or host 0 if the connection is gone.
    pub fn peer_host(&self) -> HostId {
        self.runtime.simulation.state().network.peer_host(self.socket).unwrap_or(HostId(0))
    }

    fn send_with_hooks(&self, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.runtime.simulation.state().poll_send(Some(cx), self.socket, bytes);
        if let (Some(hooks), Poll::Ready(Ok(written))) = (&self.runtime.hooks, &written) {
            hooks.on_sent(self, &bytes[..*written]);
        }
        written
    }
}

impl Stream for SimulatedStream {
    fn poll_recv(&self, cx: &mut Context, buffer: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = self.runtime.simulation.state().poll_recv(cx, self.socket, buffer);
        if let (Some(hooks), Poll::Pending) = (&self.runtime.hooks, &read) {
            hooks.on_read_pending(self);
        }
        read
    }

    fn poll_send(&self, cx: &mut Context, slices: &[IoSlice]) -> Poll<io::Result<usize>> {
        let joined;
        let bytes: &[u8] = match slices {
            [slice] => slice,
            several => {
                joined = several.iter().flat_map(|slice| slice.iter().copied()).collect::<Vec<u8>>();
                &joined
            }
        };
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        if let Some(hooks) = &self.runtime.hooks
            && let Some(written) = hooks.intercept_send(self, bytes)
        {
            return Poll::Ready(Ok(written));
        }
        self.send_with_hooks(cx, bytes)
    }

    fn shutdown_write(&self) {
        self.runtime.simulation.state().shutdown_write(self.socket);
    }

    fn is_idle(&self) -> bool {
        self.runtime.simulation.state().network.is_idle(self.socket)
    }

    fn is_read_closed(&self) -> bool {
        self.runtime.simulation.state().network.is_read_closed(self.socket)
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        self.runtime.simulation.state().close(self.socket);
        if let Some(hooks) = &self.runtime.hooks {
            hooks.on_closed(self);
        }
    }
}

impl Read for SimulatedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut cursor: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let limit = cursor.remaining().min(buffer.len());
        self.poll_recv(cx, &mut buffer[..limit]).map_ok(|read| cursor.put_slice(&buffer[..read]))
    }
}

impl Write for SimulatedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, &[IoSlice::new(bytes)])
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        self.shutdown_write();
        Poll::Ready(Ok(()))
    }
}
