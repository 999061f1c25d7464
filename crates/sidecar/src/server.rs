//! Runs the server of a sidecar: accepts connections, applies reloaded configurations, and shuts down
//! gracefully.

use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex};

use axum::Router;
use doorproxy::ids::Ticks;
use doorproxy_balancer::http::client_connections::ClientConnections;
use doorproxy_balancer::http::lifecycle::Lifecycle;
use doorproxy_balancer::http::shutdown::advance_shutdown;
use doorproxy_balancer::http::shutdown_times::ShutdownTimes;
use doorproxy_balancer::http::{LISTEN_BACKLOG, SEND_BUFFER_BYTES};
use doorproxy_balancer::log_line;
use doorproxy_balancer::memory::{DEFAULT_LIMIT_MB, MemoryBudget};
use doorproxy_balancer::runtime::{Listener, Runtime};
use doorproxy_balancer::state_line;
use doorproxy_balancer::sync::lock;
use doorproxy_config::sidecar::{ListenAddress, SidecarConfig};
use tokio::sync::mpsc;

use crate::SidecarError;
use crate::handler::handle_request;
use crate::pools::{ServingState, start_pools};
use crate::settings::ticks;

/// Sets how often the progress of a shutdown is checked.
const DRAIN_CHECK_INTERVAL: Ticks = Ticks(200);

/// Holds the state of a running sidecar.
pub struct Sidecar<R: Runtime> {
    pub(crate) runtime: R,
    seed: u64,
    /// Serves new requests. Requests in flight keep the state that they started with.
    state: Mutex<Arc<ServingState<R>>>,
    /// Holds the name in `Via` by which the sidecar recognizes requests that it has forwarded itself.
    pub(crate) via: String,
    pub(crate) connections: Arc<ClientConnections<R>>,
    pub(crate) lifecycle: Lifecycle,
}

impl<R: Runtime> Sidecar<R> {
    pub(crate) fn state(&self) -> Arc<ServingState<R>> {
        lock(&self.state).clone()
    }

    /// Applies a new configuration as a whole, or keeps the old one if the new one can't be applied.
    fn reload(&self, config: SidecarConfig) -> Result<(), SidecarError> {
        let previous = self.state();
        let has_equal_listeners = previous.config.listeners == config.listeners;
        if !has_equal_listeners || previous.config.limits.max_sockets != config.limits.max_sockets {
            return Err(SidecarError::RestartOnly);
        }
        let shutdown_times = shutdown_times(&config);
        let state =
            start_pools(&self.runtime, config, self.seed, self.connections.memory(), Some(&previous))?;
        self.lifecycle.set_shutdown_times(shutdown_times);
        *lock(&self.state) = Arc::new(state);
        Ok(())
    }
}

/// Serves until shutdown, and returns once all requests are answered. `reloads` delivers new configurations.
///
/// # Errors
///
/// Fails if the configuration can't be served, or if requests had no response at the end.
pub async fn serve<R: Runtime>(
    runtime: R,
    config: SidecarConfig,
    seed: u64,
    reloads: mpsc::Receiver<SidecarConfig>,
    shutdown: impl Future<Output = ()>,
) -> Result<(), SidecarError> {
    let listeners = listen(&runtime, &config)?;
    let sidecar = Arc::new(new_sidecar(runtime.clone(), config, seed)?);
    let router = Router::new().fallback(handle_request::<R>).with_state(sidecar.clone());
    let connections = sidecar.connections.clone();
    runtime.spawn(async move { connections.run_maintenance().await });
    for listener in &listeners {
        spawn_accept_loop(&sidecar, &router, listener.clone());
    }
    tokio::pin!(shutdown);
    run_until_shutdown(&sidecar, reloads, shutdown).await;
    drain(&sidecar, &router, listeners).await
}

fn listen<R: Runtime>(runtime: &R, config: &SidecarConfig) -> Result<Vec<Arc<R::Listener>>, SidecarError> {
    let mut listeners = Vec::new();
    for listen_address in &config.listeners {
        let &ListenAddress::Tcp(address) = listen_address else {
            return Err(SidecarError::UnsupportedListener { listener: listen_address.describe() });
        };
        let listener = runtime
            .listen(address, SEND_BUFFER_BYTES, LISTEN_BACKLOG)
            .map_err(|source| SidecarError::Listen { address, source })?;
        state_line!(*runtime, "server: serving on {}", listener.local_addr().unwrap_or(address));
        listeners.push(Arc::new(listener));
    }
    Ok(listeners)
}

/// Returns the time limits of a shutdown, which depend on the longest time that a new request may have.
fn shutdown_times(config: &SidecarConfig) -> ShutdownTimes {
    let longest_timeout = config.classes.iter().map(|class| class.timeout).max().unwrap_or_default();
    ShutdownTimes::for_longest_timeout(ticks(longest_timeout))
}

fn new_sidecar<R: Runtime>(runtime: R, config: SidecarConfig, seed: u64) -> Result<Sidecar<R>, SidecarError> {
    let lifecycle = Lifecycle::new(shutdown_times(&config));
    let via = format!("doorproxy-{}", config.name.replace(|c: char| !c.is_ascii_alphanumeric(), "-"));
    let memory = MemoryBudget::new(DEFAULT_LIMIT_MB, config.limits.max_sockets);
    let connections = ClientConnections::new(runtime.clone(), config.limits.max_sockets, memory.clone());
    let state = start_pools(&runtime, config, seed, &memory, None)?;
    Ok(Sidecar { runtime, seed, state: Mutex::new(Arc::new(state)), via, connections, lifecycle })
}

/// Accepts connections until the end of the grace period. [`drain`] accepts those that are in the backlog then.
fn spawn_accept_loop<R: Runtime>(sidecar: &Arc<Sidecar<R>>, router: &Router, listener: Arc<R::Listener>) {
    let sidecar = sidecar.clone();
    let router = router.clone();
    sidecar.runtime.clone().spawn(async move {
        let grace_end = sidecar.lifecycle.wait_for_grace_end(&sidecar.runtime);
        tokio::pin!(grace_end);
        loop {
            tokio::select! {
                biased;
                () = &mut grace_end => return,
                stream = sidecar.connections.accept(&*listener) => sidecar.connections.spawn(&router, stream),
            }
        }
    });
}

async fn run_until_shutdown<R: Runtime>(
    sidecar: &Sidecar<R>,
    mut reloads: mpsc::Receiver<SidecarConfig>,
    mut shutdown: Pin<&mut impl Future<Output = ()>>,
) {
    loop {
        tokio::select! {
            biased;
            () = &mut shutdown => {
                reloads.close();
                if reloads.try_recv().is_ok() {
                    log_line!(sidecar.runtime, "config: not reloaded: {}", SidecarError::ShuttingDown);
                }
                return;
            }
            Some(config) = reloads.recv() => match sidecar.reload(config) {
                Ok(()) => log_line!(sidecar.runtime, "config: reloaded"),
                Err(error) => log_line!(sidecar.runtime, "config: not reloaded: {error}"),
            },
        }
    }
}

/// Serves clients for the serving part of the grace period, then closes the connections. Returns once all are
/// closed or the time for the final flush is over.
///
/// # Errors
///
/// Fails if the clients of requests that had arrived whole got no whole response.
async fn drain<R: Runtime>(
    sidecar: &Sidecar<R>,
    router: &Router,
    mut listeners: Vec<Arc<R::Listener>>,
) -> Result<(), SidecarError> {
    let Sidecar { runtime, connections, lifecycle, .. } = sidecar;
    state_line!(*runtime, "server: shutdown requested");
    let requested_at = runtime.now();
    lifecycle.on_shutdown_requested(requested_at);
    runtime.sleep_until(requested_at + lifecycle.serving_time()).await;
    while advance_shutdown(runtime, lifecycle, connections, router, &mut listeners).is_continue() {
        runtime.sleep_until(runtime.now() + DRAIN_CHECK_INTERVAL).await;
    }
    match connections.log_stopped(lifecycle).unanswered_count() {
        0 => Ok(()),
        count => Err(SidecarError::RequestsLost { count }),
    }
}
