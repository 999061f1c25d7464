//! Process setup that the balancer and the sidecar share: a single-threaded runtime, signals and the panic
//! hook.

use std::future::Future;

use doorproxy_balancer::runtime::log;
use doorproxy_balancer::runtime::system::SystemRuntime;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::ServeError;
use crate::exit;

/// Runs a server on a single-threaded runtime, then flushes the log.
pub fn run_on_runtime<F: Future<Output = Result<(), ServeError>>>(
    serve: impl FnOnce(SystemRuntime) -> F,
) -> Result<(), ServeError> {
    exit_on_panic();
    let runtime = SystemRuntime::start();
    let tokio_runtime = runtime.tokio_runtime().map_err(ServeError::Runtime)?;
    let result = tokio_runtime.block_on(serve(runtime));
    log::flush();
    result
}

/// Makes a panic on any thread end the process, since going on with partly applied decisions does more harm
/// than a restart. The log thread is exempt: a log that can't be written must not stop the service.
fn exit_on_panic() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if std::thread::current().name() != Some(log::THREAD_NAME) {
            default_hook(panic);
            std::process::exit(exit::PANICKED);
        }
    }));
}

/// Registers a handler. From this call on, the signal no longer ends the process.
pub fn signal_stream(kind: SignalKind) -> Result<Signal, ServeError> {
    signal(kind).map_err(ServeError::Signals)
}

/// Registers handlers for SIGTERM and SIGINT, and returns a future that waits for either. The handlers are in
/// place before the future is polled.
pub fn shutdown_signal() -> Result<impl Future<Output = ()>, ServeError> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
