//! Runs a sidecar: serves until a signal, and reloads its configuration on SIGHUP.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use doorproxy_balancer::log_line;
use doorproxy_balancer::runtime::Runtime;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_config::sidecar::SidecarConfig;
use doorproxy_sidecar::SidecarError;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::sync::mpsc;

use crate::error::ServeError;
use crate::exit::{self, Answer};
use crate::{process, sidecar_config};

/// Serve as the sidecar of one application until SIGTERM, then finish the requests in flight.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
pub struct SidecarCommand {
    /// the configuration file
    #[argh(option)]
    config: PathBuf,
    /// the seed of random decisions, for reproducible runs (default: from the clock)
    #[argh(option)]
    seed: Option<u64>,
}

/// Runs a sidecar. An unreadable or invalid file leads to the exit code of a command, a failure to serve to
/// that of a server.
pub fn run(command: SidecarCommand) -> ExitCode {
    match sidecar_config::load(&command.config) {
        Ok(Some(config)) => exit::code_for_server(serve(command.config, config, command.seed)),
        Ok(None) => exit::code_for_command(Ok(Answer::No)),
        Err(error) => exit::code_for_command(Err(error.into())),
    }
}

fn serve(config_path: PathBuf, config: SidecarConfig, seed: Option<u64>) -> Result<(), ServeError> {
    process::run_on_runtime(async move |runtime| {
        let reload_signals = process::signal_stream(SignalKind::hangup())?;
        let shutdown = process::shutdown_signal()?;
        let (reloaded_sender, reloaded) = mpsc::channel(1);
        tokio::spawn(reload_on_hangup(runtime, config_path, reload_signals, reloaded_sender));
        let seed = seed.unwrap_or(runtime.now().0 as u64);
        let result = doorproxy_sidecar::server::serve(runtime, config, seed, reloaded, shutdown).await;
        Ok(result?)
    })
}

async fn reload_on_hangup(
    runtime: SystemRuntime,
    config_path: PathBuf,
    mut reload_signals: Signal,
    reloaded: mpsc::Sender<SidecarConfig>,
) {
    while reload_signals.recv().await.is_some() {
        match sidecar_config::load_or_first_error(&config_path) {
            Ok(config) => {
                if reloaded.send(config).await.is_err() {
                    log_line!(runtime, "config: not reloaded: {}", SidecarError::ShuttingDown);
                }
            }
            // The file may be only partly written; the old configuration stays in use.
            Err(error) => log_line!(runtime, "config: not reloaded: {error}"),
        }
    }
}
