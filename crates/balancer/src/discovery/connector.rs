//! Opens the HTTP client's connections to the discovery service.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use axum::http::Uri;
use doorproxy::settings::DiscoveryTiming;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection};

use crate::runtime::{Runtime, duration};

/// Connects to the address in a URI.
#[derive(Clone)]
pub(super) struct DiscoveryConnector<R>(pub R);

impl<R: Runtime> tower_service::Service<Uri> for DiscoveryConnector<R> {
    type Response = PlainStream<R::Stream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let runtime = self.0.clone();
        Box::pin(async move {
            let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
            let address: SocketAddr = address.ok_or(io::ErrorKind::InvalidInput)?;
            let limit = duration(DiscoveryTiming::SNAPSHOT_TIMEOUT);
            let connected = runtime.timeout(limit, runtime.connect(address)).await;
            connected.unwrap_or(Err(io::ErrorKind::TimedOut.into())).map(PlainStream)
        })
    }
}

/// Wraps a stream that uses neither TLS nor a proxy.
pub(super) struct PlainStream<S>(S);

impl<S> Connection for PlainStream<S> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl<S: Read + Unpin> Read for PlainStream<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, into)
    }
}

impl<S: Write + Unpin> Write for PlainStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
