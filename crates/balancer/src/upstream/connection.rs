//! Manages a connection to an endpoint, which carries one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use axum::http::Request;
use axum::response::Response;
use doorproxy::ids::Ticks;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use thiserror::Error;
use tokio::sync::Semaphore;

use crate::http::request_body::AttemptBody;
use crate::memory::MemoryBudget;
use crate::metrics::Metrics;
use crate::runtime::{Runtime, duration};
use crate::upstream::reservation::ReservationState;
use crate::upstream::response_check::ResponseTimes;
use crate::upstream::stream::{ExchangeState, UpstreamStream};

/// Opens connections to one endpoint.
#[derive(Clone)]
pub(super) struct Connector<R> {
    pub runtime: R,
    pub address: SocketAddr,
    pub connect_timeout: Ticks,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Ticks,
    /// Permits for sockets, shared by all endpoints.
    pub socket_permits: Arc<Semaphore>,
    pub metrics: Arc<Metrics>,
    /// Number of connections that were opened to all endpoints.
    pub opened_connections: Arc<AtomicU64>,
    /// Bounds the memory of all buffers.
    pub memory: MemoryBudget,
    /// Times of the endpoint.
    pub response_times: Arc<ResponseTimes>,
}

impl<R: Runtime> Connector<R> {
    async fn open_stream(&self) -> io::Result<UpstreamStream<R>> {
        let permit = self.socket_permits.clone().acquire_owned().await.map_err(io::Error::other)?;
        let started_at = self.runtime.now();
        let stream = self.runtime.connect(self.address).await?;
        self.response_times.on_connected(self.runtime.now() - started_at);
        let connection_id = self.opened_connections.fetch_add(1, Ordering::Relaxed);
        let shared = (self.metrics.clone(), self.memory.clone());
        Ok(UpstreamStream::new(self.runtime.clone(), stream, permit, shared, connection_id))
    }

    pub(super) async fn connect(&self) -> io::Result<UpstreamConnection> {
        let opened = self.runtime.timeout(duration(self.connect_timeout), self.open_stream()).await;
        let stream = opened.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
        let exchange_state = stream.exchange_state();
        let (sender, connection) = http1::Builder::new()
            .preserve_header_case(true)
            .max_buf_size(self.memory.max_read_buffer())
            .handshake(stream)
            .await
            .map_err(io::Error::other)?;
        let closed_state = exchange_state.clone();
        self.runtime.spawn(async move {
            tokio::select! {
                biased;
                () = closed_state.reservation.wait_until_abandoned() => {}
                _ = connection => {}
            }
            closed_state.on_closed();
        });
        Ok(UpstreamConnection { sender, exchange_state })
    }
}

/// States why an exchange has no response.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum ExchangeError {
    /// The request was no longer wanted when its first byte was about to be written.
    #[error("the request is no longer wanted")]
    Withheld,
    /// The request was not written completely: the connection had ended, or a write failed.
    #[error("the request was not sent")]
    NotSent,
    /// The connection broke after the request was written, or at an unknown time.
    #[error("the connection broke")]
    ConnectionBroken,
}

/// Sends requests on an open connection to an endpoint.
pub(super) struct UpstreamConnection {
    sender: SendRequest<AttemptBody>,
    exchange_state: Arc<ExchangeState>,
}

impl UpstreamConnection {
    /// Sends a request and waits for the head of its response. `is_wanted` is called just before the first
    /// byte is written; if it returns false, nothing is written.
    pub(super) async fn exchange(
        &mut self,
        request: Request<AttemptBody>,
        is_wanted: impl Fn() -> bool + Send + 'static,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.exchange_state.queue_request(Box::new(is_wanted));
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|error| {
            let is_unsent = error.message().is_some();
            if self.exchange_state.is_withheld() {
                ExchangeError::Withheld
            } else if is_unsent || self.exchange_state.write_failed() {
                ExchangeError::NotSent
            } else {
                ExchangeError::ConnectionBroken
            }
        })
    }

    pub(super) fn exchange_state(&self) -> Arc<ExchangeState> {
        self.exchange_state.clone()
    }

    pub(super) fn reservation(&self) -> &ReservationState {
        &self.exchange_state.reservation
    }

    /// Returns whether the connection can take a request now.
    pub(super) fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take another request. Returns false if the connection ends first.
    pub(super) async fn wait_until_ready(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }
}
