//! The thread of the admin API. It has its own runtime, so that operators' calls never wait for requests.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::thread;

use doorproxy_balancer::admin::{self, AdminApi};
use doorproxy_balancer::log_line;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_balancer::runtime::{Listener, Runtime};

use crate::error::ServeError;

const THREAD_NAME: &str = "operators";
const SEND_BUFFER_BYTES: u32 = 128 << 10;
const BACKLOG: u32 = 64;

/// Starts the thread and waits until it listens. Without an address, the thread only polls the overrides of
/// the fleet.
///
/// # Errors
/// Returns an error if the thread can't be started or the address can't be bound.
pub fn start(address: Option<SocketAddr>, admin_api: AdminApi<SystemRuntime>) -> Result<(), ServeError> {
    let (ready_sender, ready) = sync_channel(1);
    let thread = thread::Builder::new().name(THREAD_NAME.to_string());
    let spawned = thread.spawn(move || run(address, admin_api, &ready_sender));
    let started = spawned.and_then(|_| ready.recv().map_err(io::Error::other)?);
    started.map_err(|source| ServeError::AdminApi { address, source })
}

fn run(address: Option<SocketAddr>, admin_api: AdminApi<SystemRuntime>, ready: &SyncSender<io::Result<()>>) {
    let runtime = match build_runtime(address.is_some()) {
        Ok(runtime) => runtime,
        Err(error) => return drop(ready.send(Err(error))),
    };
    runtime.block_on(async move {
        match address {
            Some(address) => listen_and_serve(address, admin_api, ready).await,
            None => {
                let _ = ready.send(Ok(()));
                admin::poll_overrides(Arc::new(admin_api)).await
            }
        }
    });
}

/// Builds the runtime. Without sockets, I/O is left disabled, which saves the descriptor for polling.
fn build_runtime(needs_sockets: bool) -> io::Result<tokio::runtime::Runtime> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    if needs_sockets {
        builder.enable_all();
    } else {
        builder.enable_time();
    }
    builder.build()
}

async fn listen_and_serve(
    address: SocketAddr,
    admin_api: AdminApi<SystemRuntime>,
    ready: &SyncSender<io::Result<()>>,
) {
    let runtime = admin_api.runtime;
    match runtime.listen(address, SEND_BUFFER_BYTES, BACKLOG) {
        Ok(listener) => {
            log_line!(runtime, "admin: listening on {}", listener.local_addr().unwrap_or(address));
            let _ = ready.send(Ok(()));
            admin::serve(listener, admin_api).await;
        }
        Err(error) => drop(ready.send(Err(error))),
    }
}
