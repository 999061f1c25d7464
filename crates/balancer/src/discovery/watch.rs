//! Implements the client of the discovery service. It keeps a watch open as long as requests succeed; after a
//! failure, the dispatcher decides when to continue.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use axum::BoxError;
use axum::http::uri::InvalidUri;
use axum::http::{StatusCode, Uri};
use bytes::Bytes;
use doorproxy::dispatcher::{DiscoveryEvent, Dispatcher};
use doorproxy::ids::Ticks;
use doorproxy::settings::DiscoveryTiming;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::{self, Client};
use thiserror::Error;
use tokio::sync::watch;

use crate::discovery::connector::DiscoveryConnector;
use crate::discovery::{DiscoveryState, EndpointList, WatchPosition, apply_list};
use crate::log_line;
use crate::readiness::Readiness;
use crate::recovery::RecoveryState;
use crate::runtime::{HyperRuntime, Runtime, duration};
use crate::sync::lock;
use crate::upstream::UpstreamClient;

/// Limits the size of a response; a list of ten thousand endpoints fits.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Sets the minimum interval between requests, since the watches of a service may return at once without
/// changes.
const MIN_POLL_INTERVAL: Ticks = Ticks(1000);
const LIST_PATH: &str = "/api/targets";

/// States why a request to the discovery service failed.
#[derive(Debug, Error)]
enum DiscoveryError {
    #[error("{0}")]
    Uri(#[from] InvalidUri),
    #[error("{0}")]
    Request(#[from] legacy::Error),
    #[error("status {0}, expected 200")]
    Status(StatusCode),
    #[error("{0}")]
    Body(BoxError),
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    #[error("no response within the timeout")]
    Timeout,
}

/// Watches the endpoint list of the discovery service, and passes lists and failures on.
pub struct Watcher<R: Runtime> {
    /// Provides the clock, tasks and connections.
    pub runtime: R,
    /// Holds the endpoint list, to which responses are applied.
    pub discovery: Arc<Mutex<DiscoveryState>>,
    /// Receives endpoints and failures, and decides when to continue after a failure.
    pub dispatcher: Dispatcher,
    /// Receives endpoints.
    pub upstream_client: Arc<UpstreamClient<R>>,
    /// Records that the first request has succeeded or failed.
    pub readiness: Arc<Readiness>,
    /// Records lists and failures.
    pub recovery: Option<Arc<RecoveryState>>,
}

type DiscoveryClient<R> = Client<DiscoveryConnector<R>, Empty<Bytes>>;

impl<R: Runtime> Watcher<R> {
    /// Watches the list of the service at the address in `source`, which may change. Never returns.
    pub async fn run(self, mut source: watch::Receiver<SocketAddr>) {
        let client = Client::builder(HyperRuntime(self.runtime.clone()))
            .pool_timer(HyperRuntime(self.runtime.clone()))
            .retry_canceled_requests(false)
            .build(DiscoveryConnector(self.runtime.clone()));
        loop {
            tokio::select! {
                biased;
                () = self.dispatcher.watch_wanted() => {}
                Ok(()) = source.changed() => lock(&self.discovery).forget_version(),
            }
            self.watch_until_error(&client, &mut source).await;
        }
    }

    async fn watch_until_error(&self, client: &DiscoveryClient<R>, source: &mut watch::Receiver<SocketAddr>) {
        loop {
            let requested_at = self.runtime.now();
            let address = *source.borrow_and_update();
            let response = tokio::select! {
                biased;
                response = self.fetch(client, address) => response,
                // The service was replaced. A watch on the old one may never return, and the new one has its
                // own versions.
                Ok(()) = source.changed() => {
                    lock(&self.discovery).forget_version();
                    continue;
                }
            };
            match response {
                Ok(list) => {
                    self.on_list(&list);
                    self.runtime.sleep_until(requested_at + MIN_POLL_INTERVAL).await;
                }
                Err(error) => return self.on_error(&error),
            }
        }
    }

    fn on_list(&self, list: &EndpointList) {
        {
            let mut discovery = lock(&self.discovery);
            apply_list(&self.runtime, &mut discovery, &self.dispatcher, &self.upstream_client, list);
            if let Some(recovery) = &self.recovery {
                let counts = discovery.endpoint_counts();
                recovery.on_endpoint_list(&self.runtime, counts.listed, list.version);
            }
        }
        self.readiness.set_discovery_attempted();
    }

    fn on_error(&self, error: &DiscoveryError) {
        log_line!(self.runtime, "discovery: request failed: {error}");
        if let Some(recovery) = &self.recovery {
            recovery.on_discovery_error();
        }
        self.dispatcher.tick(self.runtime.now(), DiscoveryEvent::Error);
        self.readiness.set_discovery_attempted();
    }

    async fn fetch(
        &self,
        client: &DiscoveryClient<R>,
        address: SocketAddr,
    ) -> Result<EndpointList, DiscoveryError> {
        let WatchPosition { version, timing } = lock(&self.discovery).watch_position();
        let mut uri = format!("http://{address}{LIST_PATH}");
        // The service answers a request for a complete snapshot without waiting for a change.
        let mut limit = DiscoveryTiming::SNAPSHOT_TIMEOUT;
        if let Some(after) = version {
            uri += &format!("?after={after}&wait_ms={}", duration(timing.watch_wait).as_millis());
            limit = timing.watch_timeout();
        }
        let uri: Uri = uri.parse()?;
        let response = self.runtime.timeout_at(self.runtime.now() + limit, get_list(client, uri)).await;
        response.unwrap_or(Err(DiscoveryError::Timeout))
    }
}

async fn get_list<R: Runtime>(client: &DiscoveryClient<R>, uri: Uri) -> Result<EndpointList, DiscoveryError> {
    let response = client.get(uri).await?;
    if response.status() != StatusCode::OK {
        return Err(DiscoveryError::Status(response.status()));
    }
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(DiscoveryError::Body)?.to_bytes();
    Ok(serde_json::from_slice(&body)?)
}
