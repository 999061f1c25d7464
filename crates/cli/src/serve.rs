//! Runs a balancer: starts its parts in order, serves until a signal, and reloads its configuration on
//! SIGHUP.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use argh::FromArgs;
use doorproxy::ids::Ticks;
use doorproxy_balancer::admin::FleetOverrides;
use doorproxy_balancer::admin::overrides::FileStore;
use doorproxy_balancer::assembly::{self, Components, InheritedListener};
use doorproxy_balancer::config::{self, Config};
use doorproxy_balancer::handover::ProcessLocks;
use doorproxy_balancer::http::server;
use doorproxy_balancer::log_line;
use doorproxy_balancer::peers::SharedPeerState;
use doorproxy_balancer::permits::Permit;
use doorproxy_balancer::recovery::{RecoveryState, StateOwner};
use doorproxy_balancer::runtime::system::{self, SystemRuntime};
use doorproxy_config::fleet::FleetConfig;
use tokio::signal::unix::{Signal, SignalKind};
use tokio::sync::watch;

use crate::error::ServeError;
use crate::fleet_file::read_fleet_file;
use crate::recovery_state::RecoveryStore;
use crate::{admin_thread, peer_thread, process, recovery_state};

/// The environment variable with the number of an inherited listening descriptor. Unset or empty means none.
const ACCEPT_FD_VARIABLE: &str = "PROXY_ACCEPT_FD";
const TICKS_PER_MS: i64 = 10;

/// Serve until SIGTERM, then finish the requests in flight. SIGHUP reloads the configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct ServeCommand {
    /// the configuration file; without it, $PROXY_CONFIG names it
    #[argh(option)]
    config: Option<PathBuf>,
    /// how long to wait for requests in flight after SIGTERM, in milliseconds; must end before SIGKILL
    /// (default 3000)
    #[argh(option, default = "3000")]
    grace_ms: u64,
    /// a TOML file that enables the stored state and the exchange with other balancers; without it, both are
    /// off
    #[argh(option)]
    fleet: Option<PathBuf>,
}

/// Runs a balancer until it is shut down.
///
/// # Errors
/// Returns an error if a file is invalid, a component can't start, or serving fails.
pub fn run(command: ServeCommand) -> Result<(), ServeError> {
    let config_path = config::resolve_path(command.config)?;
    let fleet = command.fleet.as_deref().map(read_fleet_file).transpose()?;
    let grace = Ticks(command.grace_ms as i64 * TICKS_PER_MS);
    serve(config_path, grace, fleet.unwrap_or_default())
}

/// Starts the components in order and serves.
///
/// There is no `.await` between the starts, so on the single-threaded runtime the reload task first runs once
/// serving has begun. If a component fails to start, threads already started run until the process exits.
fn serve(config_path: PathBuf, grace: Ticks, fleet: FleetConfig) -> Result<(), ServeError> {
    let config = config::load(&config_path)?;
    process::run_on_runtime(async move |runtime| {
        // Registered first, because an unhandled signal ends the process.
        let reload_signals = process::signal_stream(SignalKind::hangup())?;
        let shutdown = process::shutdown_signal()?;
        let (discovery_sender, discovery_address) = watch::channel(config.discovery_address);
        tokio::spawn(reload_on_hangup(
            runtime,
            config_path,
            config.clone(),
            reload_signals,
            discovery_sender,
        ));
        let mut components = assembly::assemble(&runtime, &config);
        components.recovery = start_recovery(runtime, &config, &fleet)?;
        components.peers = shared_peer_state(&fleet);
        start_admin_api(&runtime, &config, &fleet, &mut components)?;
        let inherited = inherit_listener(&config)?;
        let peer_thread = peer_thread::start(runtime, &config, &fleet, &components)?;
        let result =
            assembly::serve(runtime, components, config, discovery_address, inherited, grace, shutdown).await;
        // No attempt starts after this point, so peers may stop counting this process.
        if let Some(peer_thread) = peer_thread {
            peer_thread.leave_and_join();
        }
        Ok(result?)
    })
}

/// Restores the state that the last process stored, and starts the thread that stores this process's state.
fn start_recovery(
    runtime: SystemRuntime,
    config: &Config,
    fleet: &FleetConfig,
) -> Result<Option<Arc<RecoveryState>>, ServeError> {
    let Some(state) = &fleet.state else { return Ok(None) };
    let owner = StateOwner { balancer: &config.name, settings_hash: config.settings_hash };
    let RecoveryStore { store, restored } =
        recovery_state::start_state_writer(runtime, &state.directory, &owner)?;
    Ok(Some(RecoveryState::new(&runtime, owner, state.interval, store, restored)))
}

fn shared_peer_state(fleet: &FleetConfig) -> Option<Arc<SharedPeerState>> {
    let peers = fleet.peers.as_ref()?;
    let names = fleet.leases.iter().flat_map(|leases| leases.permits.keys().cloned());
    let permits = names.map(|name| (name, Permit::new(peers.clock_drift_ratio)));
    Some(Arc::new(SharedPeerState::new(permits)))
}

/// Starts the admin API. Manual overrides are stored in the state directory or, if none is configured, in the
/// directory for temporary files.
fn start_admin_api(
    runtime: &SystemRuntime,
    config: &Config,
    fleet: &FleetConfig,
    components: &mut Components<SystemRuntime>,
) -> Result<(), ServeError> {
    let directory = match &fleet.state {
        Some(state) => state.directory.clone(),
        None => std::env::temp_dir(),
    };
    components.fleet_overrides = fleet.peers.as_ref().map(|_| fleet_overrides(&directory, &config.name));
    if config.admin_address.is_none() && components.fleet_overrides.is_none() {
        return Ok(());
    }
    let local_overrides = Arc::new(FileStore::for_balancer(&directory, &config.name));
    admin_thread::start(config.admin_address, components.admin_api(runtime, local_overrides))
}

fn fleet_overrides(directory: &Path, balancer: &str) -> Arc<FleetOverrides> {
    let store = Arc::new(FileStore::for_fleet(directory, balancer));
    Arc::new(FleetOverrides::new(store, balancer))
}

/// Takes over the listening socket that the platform passed to this process, if any, and registers this
/// process with the other processes of its balancer.
fn inherit_listener(config: &Config) -> Result<Option<InheritedListener<SystemRuntime>>, ServeError> {
    let Some(descriptor) = std::env::var_os(ACCEPT_FD_VARIABLE).filter(|value| !value.is_empty()) else {
        return Ok(None);
    };
    let descriptor = descriptor.to_string_lossy();
    let listener = system::inherit_listener(&descriptor, config.listen_address, server::SEND_BUFFER_BYTES)
        .map_err(|source| ServeError::InheritedSocket { variable: ACCEPT_FD_VARIABLE, source })?;
    let directory = std::env::temp_dir();
    let locks = ProcessLocks::register(&directory, &config.name)
        .map_err(|source| ServeError::ProcessLocks { directory, source })?;
    Ok(Some(InheritedListener { listener, siblings: Arc::new(locks) }))
}

/// On SIGHUP, switches to the discovery address in the configuration file if it has changed.
///
/// Requests in flight were admitted under the old settings, so every other change takes effect at the next
/// start and is only logged. The fleet file is not reloaded.
async fn reload_on_hangup(
    runtime: SystemRuntime,
    config_path: PathBuf,
    config: Arc<Config>,
    mut reload_signals: Signal,
    discovery_sender: watch::Sender<std::net::SocketAddr>,
) {
    while reload_signals.recv().await.is_some() {
        match config::load(&config_path) {
            // The file of another balancer could send one customer's requests to another's endpoints.
            Ok(reloaded) if reloaded.name != config.name => {
                let (expected, found) = (&config.name, &reloaded.name);
                log_line!(
                    runtime,
                    "config: not reloaded: the file is for balancer {found:?}, but this is {expected:?}"
                );
            }
            Ok(reloaded) => {
                log_reload(runtime, &config, &reloaded);
                discovery_sender.send_if_modified(|address| {
                    std::mem::replace(address, reloaded.discovery_address) != reloaded.discovery_address
                });
            }
            // The file may be only partly written; the old configuration stays in use.
            Err(error) => log_line!(runtime, "config: not reloaded: {error}"),
        }
    }
}

fn log_reload(runtime: SystemRuntime, config: &Config, reloaded: &Config) {
    let restart_only = config.restart_only_changes(reloaded);
    let restart_only = match restart_only.is_empty() {
        true => String::new(),
        false => format!("; changes that take effect at the next start: {}", restart_only.join(", ")),
    };
    let address = reloaded.discovery_address;
    log_line!(runtime, "config: reloaded: discovery is at {address}{restart_only}");
}
