//! Accepts the connections of the admin API. Their number is limited, and each serves one call.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use tokio::sync::oneshot;
use tower_service::Service;

use crate::admin::{AdminApi, poll_overrides, routes};
use crate::log_line;
use crate::runtime::{Listener, Runtime};

const MAX_HEAD_BYTES: usize = 8 << 10;
/// Limits the duration of a call; callers wait one second for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Limits the number of concurrent connections; a further one closes the oldest.
pub const MAX_CONNECTIONS: usize = 8;

/// Serves the admin API. Never returns.
pub async fn serve<R: Runtime>(listener: R::Listener, api: AdminApi<R>) {
    let runtime = api.runtime.clone();
    let api = Arc::new(api);
    let router = routes::router(api.clone());
    runtime.spawn(poll_overrides(api));
    // Ordered from the oldest call to the newest. Dropping a sender closes its connection.
    let mut calls: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log_line!(runtime, "admin: a connection could not be accepted, trying again: {error}");
                runtime.sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            }
        };
        calls.retain(|call| !call.is_closed());
        if calls.len() >= MAX_CONNECTIONS {
            calls.pop_front();
        }
        let (close_sender, closed) = oneshot::channel();
        calls.push_back(close_sender);
        let call = serve_connection(router.clone(), stream);
        let call_runtime = runtime.clone();
        runtime.spawn(async move {
            tokio::select! {
                biased;
                _ = call_runtime.timeout(CALL_TIMEOUT, call) => {}
                _ = closed => {}
            }
        });
    }
}

async fn serve_connection<S: hyper::rt::Read + hyper::rt::Write + Unpin + Send>(router: Router, stream: S) {
    let service =
        service_fn(move |request: hyper::Request<Incoming>| router.clone().call(request.map(Body::new)));
    let mut http = http1::Builder::new();
    http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
    // An error only means that the caller ended its connection early.
    let _ = http.serve_connection(stream, service).await;
}
