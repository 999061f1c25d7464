//! Runs the server for clients, which accepts connections, gives each request one response, and drains on
//! shutdown.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::pin::Pin;
use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use doorproxy::dispatcher::Dispatcher;
use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::settings::DiscoveryTiming;
use thiserror::Error;

use crate::components::{Components, InheritedListener};
use crate::config::Config;
use crate::handover::{Siblings, snapshot};
use crate::http::LISTEN_BACKLOG;
use crate::http::client_connections::ClientConnections;
use crate::http::dispatch::UpstreamService;
use crate::http::handler::{handle_request, is_ready};
use crate::http::lifecycle::Lifecycle;
use crate::http::request_ids::RequestIds;
use crate::http::shutdown::advance_shutdown;
use crate::http::shutdown_times::ShutdownTimes;
use crate::log_line;
use crate::metrics::Metrics;
use crate::runtime::{Listener, Runtime, duration};
use crate::state_line;
use crate::upstream::{self, UpstreamClient};

pub use crate::http::SEND_BUFFER_BYTES;

const READY_PATH: &str = "/-/ready";
/// Minimum time for which clients are still accepted and served after a shutdown request, so that load
/// balancers in front have time to notice it.
const MIN_SERVING_TIME: Ticks = Ticks(5_000);
/// Interval at which the sibling processes and the progress of a shutdown are checked.
const LIFECYCLE_CHECK_INTERVAL: Ticks = Ticks(500);

/// States why a balancer can't serve.
#[derive(Debug, Error)]
pub enum ServeError {
    /// Listening on the address for clients failed.
    #[error("{address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Announcing this process to its sibling processes failed.
    #[error("announcing this process to its sibling processes failed: {0}")]
    Announce(#[source] io::Error),
}

/// Holds the state of a process's server for clients.
pub struct Server<R: Runtime> {
    pub(super) runtime: R,
    pub(super) config: Arc<Config>,
    pub(super) components: Components<R>,
    pub(super) lifecycle: Lifecycle,
    pub(super) connections: Arc<ClientConnections<R>>,
    pub(super) request_ids: RequestIds,
}

impl<R: Runtime> UpstreamService<R> for Server<R> {
    fn dispatcher(&self) -> &Dispatcher {
        &self.components.dispatcher
    }

    fn upstream_client(&self) -> &UpstreamClient<R> {
        &self.components.upstream_client
    }

    fn metrics(&self) -> &Arc<Metrics> {
        &self.components.metrics
    }
}

impl<R: Runtime> Server<R> {
    /// Creates a server that does not listen yet. After a shutdown request it finishes the requests in flight
    /// within `grace_period`.
    pub fn new(
        runtime: R,
        config: Arc<Config>,
        components: Components<R>,
        grace_period: Ticks,
    ) -> Arc<Server<R>> {
        let memory = components.memory.clone();
        let connections = ClientConnections::new(runtime.clone(), components.max_sockets, memory);
        Arc::new(Server {
            runtime,
            config,
            components,
            lifecycle: Lifecycle::new(ShutdownTimes::with_grace_period(grace_period, MIN_SERVING_TIME)),
            connections,
            request_ids: RequestIds::default(),
        })
    }

    /// Saves the learned state for a successor that is starting, hands over to a successor that serves, and
    /// shares the sockets with sibling processes.
    fn update_from_siblings(&self, siblings: &dyn Siblings) {
        let status = siblings.status();
        if status.has_starting_successor {
            self.save_snapshot(siblings);
        }
        if status.has_successor != self.lifecycle.has_successor() {
            self.on_successor_change(status.has_successor);
        }
        let max_sockets = self.components.max_sockets;
        let lent = if status.has_siblings { max_sockets / 2 } else { 0 };
        self.connections.set_max_sockets(max_sockets - lent);
        self.connections.memory().set_shared(status.has_siblings);
        let shared = self.request_ids.update_siblings(self.runtime.now(), status.has_siblings, siblings);
        if let Err(error) = shared {
            log_line!(
                self.runtime,
                "server: ids of sent requests could not be shared with the sibling: {error}"
            );
        }
        self.components.upstream_client.lend_sockets(upstream::max_upstream_sockets(lent));
    }

    fn save_snapshot(&self, siblings: &dyn Siblings) {
        let now = self.runtime.now();
        let learned_state = self.components.dispatcher.snapshot(now);
        let text = snapshot::encode(self.config.settings_hash, now, &learned_state);
        if let Err(error) = siblings.save_snapshot(&text) {
            log_line!(
                self.runtime,
                "server: learned state could not be saved, the successor starts without it: {error}"
            );
        }
    }

    fn on_successor_change(&self, has_successor: bool) {
        let now = self.runtime.now();
        let since = has_successor.then_some(now);
        self.lifecycle.on_successor(since);
        self.components.readiness.set_ready(!has_successor && !self.lifecycle.is_draining());
        self.components.delegate_warming(now, since);
        let change = if has_successor { "is serving" } else { "has exited" };
        state_line!(self.runtime, "server: successor process {change}");
    }

    /// Restores the learned state that the predecessor saved if it is recent and was saved with the same
    /// settings. Returns whether it was restored.
    fn restore_snapshot(&self, text: &str) -> bool {
        let now = self.runtime.now();
        let learned_state = snapshot::decode(text, self.config.settings_hash, now);
        if let Some(learned_state) = learned_state {
            self.components.dispatcher.restore(now, learned_state);
        }
        learned_state.is_some()
    }
}

/// Serves until shutdown is requested or a successor serves, and returns once the requests in flight are
/// finished or the grace period has ended.
///
/// # Errors
///
/// Fails if the server can't listen on its address, or can't announce itself to the sibling processes.
pub async fn serve<R: Runtime>(
    server: Arc<Server<R>>,
    inherited: Option<InheritedListener<R>>,
    has_predecessor: bool,
    shutdown: impl Future<Output = ()>,
) -> Result<(), ServeError> {
    let (listener, siblings) = bind(&server, inherited)?;
    if let Some(siblings) = &siblings {
        server.request_ids.set_siblings(siblings.clone());
    }
    let siblings = siblings.as_deref();
    tokio::pin!(shutdown);
    if has_predecessor {
        if wait_for_discovery(&server, shutdown.as_mut()).await.is_break() {
            state_line!(server.runtime, "server: shutdown requested before serving");
            return Ok(());
        }
        take_over(&server, siblings);
    }
    let router = Router::new()
        .route(READY_PATH, get(is_ready::<R>))
        .fallback(handle_request::<R>)
        .with_state(server.clone());
    announce(&server, siblings, &listener)?;
    let connections = server.connections.clone();
    server.runtime.spawn(async move { connections.run_maintenance().await });
    run_until_drained(&server, &router, listener, siblings, shutdown).await;
    Ok(())
}

type BoundListener<R> = (<R as Runtime>::Listener, Option<Arc<dyn Siblings>>);

fn bind<R: Runtime>(
    server: &Server<R>,
    inherited: Option<InheritedListener<R>>,
) -> Result<BoundListener<R>, ServeError> {
    if let Some(InheritedListener { listener, siblings }) = inherited {
        return Ok((listener, Some(siblings)));
    }
    let address = server.config.listen_address;
    let listener = server
        .runtime
        .listen(address, SEND_BUFFER_BYTES, LISTEN_BACKLOG)
        .map_err(|source| ServeError::Listen { address, source })?;
    Ok((listener, None))
}

/// Waits for the endpoint list while the predecessor still serves. An update of the list binds this process
/// too, so the wait is limited to the time within which an update has to take effect. Breaks if shutdown is
/// requested first.
async fn wait_for_discovery<R: Runtime>(
    server: &Server<R>,
    shutdown: Pin<&mut impl Future<Output = ()>>,
) -> ControlFlow<()> {
    let discovered = server.runtime.timeout(
        duration(DiscoveryTiming::NOTIFIED_WITHIN),
        server.components.readiness.discovery_attempted(),
    );
    tokio::select! {
        biased;
        () = shutdown => ControlFlow::Break(()),
        _ = discovered => ControlFlow::Continue(()),
    }
}

/// Restores the predecessor's learned state and takes over its warming-up endpoints. If the state could be
/// restored, it says how much the predecessor sent to them, and they are taken over at once; otherwise they
/// are taken over once those requests are outside the overload window.
fn take_over<R: Runtime>(server: &Arc<Server<R>>, siblings: Option<&dyn Siblings>) {
    let snapshot = siblings.and_then(|siblings| siblings.load_snapshot());
    let is_restored = snapshot.is_some_and(|snapshot| server.restore_snapshot(&snapshot));
    let overload_window = server.config.settings.slow_start.overload_window;
    let wait = duration(if is_restored { Ticks::ZERO } else { overload_window });
    let runtime = server.runtime.clone();
    let components = server.components.clone();
    server.runtime.spawn(async move {
        runtime.sleep(wait).await;
        components.delegate_warming(runtime.now(), None);
    });
}

fn announce<R: Runtime>(
    server: &Server<R>,
    siblings: Option<&dyn Siblings>,
    listener: &R::Listener,
) -> Result<(), ServeError> {
    if let Some(siblings) = siblings {
        siblings.announce_serving().map_err(ServeError::Announce)?;
    }
    // This precedes the log line because its readers may query the readiness at once.
    server.components.readiness.set_ready(true);
    // If the configured port is 0, the operating system has chosen one.
    let address = listener.local_addr().unwrap_or(server.config.listen_address);
    state_line!(server.runtime, "server: serving on {address}");
    Ok(())
}

async fn run_until_drained<R: Runtime>(
    server: &Server<R>,
    router: &Router,
    listener: R::Listener,
    siblings: Option<&dyn Siblings>,
    mut shutdown: Pin<&mut impl Future<Output = ()>>,
) {
    let runtime = &server.runtime;
    let connections = &server.connections;
    let mut listeners = vec![Arc::new(listener)];
    let mut next_check = runtime.now();
    loop {
        let listener = listeners.first().cloned();
        tokio::select! {
            biased;
            () = &mut shutdown, if !server.lifecycle.is_draining() => next_check = on_shutdown(server),
            () = runtime.sleep_until(next_check) => {
                next_check = runtime.now() + LIFECYCLE_CHECK_INTERVAL;
                if check_lifecycle(server, router, &mut listeners, siblings).is_break() {
                    break;
                }
            }
            stream = accept(connections, listener.as_deref()), if !server.lifecycle.has_successor() => {
                connections.spawn(router, stream);
            }
        }
    }
    drop(listeners);
    connections.log_stopped(&server.lifecycle);
}

/// Accepts a connection. Never completes if there is no listener.
async fn accept<R: Runtime>(connections: &ClientConnections<R>, listener: Option<&R::Listener>) -> R::Stream {
    match listener {
        Some(listener) => connections.accept(listener).await,
        None => std::future::pending().await,
    }
}

/// Starts the shutdown and returns the time of the next check, which is now.
fn on_shutdown<R: Runtime>(server: &Server<R>) -> Timestamp {
    server.components.readiness.set_ready(false);
    server.lifecycle.on_shutdown_requested(server.runtime.now());
    state_line!(server.runtime, "server: shutdown requested");
    server.runtime.now()
}

/// Checks the sibling processes and the progress of a shutdown. Breaks once the process may end.
fn check_lifecycle<R: Runtime>(
    server: &Server<R>,
    router: &Router,
    listeners: &mut Vec<Arc<R::Listener>>,
    siblings: Option<&dyn Siblings>,
) -> ControlFlow<()> {
    if let Some(siblings) = siblings {
        server.update_from_siblings(siblings);
    }
    advance_shutdown(&server.runtime, &server.lifecycle, &server.connections, router, listeners)
}
