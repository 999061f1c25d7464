//! The command line of doorproxy: parses the arguments and runs a server or a command. [`exit`] maps results
//! to exit codes.

mod admin_client;
mod admin_thread;
mod error;
mod exit;
mod fault_reports;
mod files;
mod fleet_file;
mod leases;
mod limits_command;
mod members_command;
mod migrate;
mod overrides;
mod peer_thread;
mod permit_command;
mod process;
mod quotas;
mod recovery_command;
mod recovery_state;
mod serve;
mod sidecar;
mod sidecar_config;
mod state_command;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use doorproxy_balancer::{config, discovery};

use crate::error::ServeError;

/// The extension that identifies a sidecar's configuration. A balancer's configuration is JSON.
const SIDECAR_FILE_EXTENSION: &str = "toml";

/// A load balancer for fleets of HTTP servers.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(serve::ServeCommand),
    Check(CheckCommand),
    Sidecar(sidecar::SidecarCommand),
    Explain(sidecar_config::ExplainCommand),
    Configure(sidecar_config::ConfigureCommand),
    Migrate(migrate::MigrateCommand),
    State(state_command::StateCommand),
    Recovery(recovery_command::RecoveryCommand),
    Members(members_command::MembersCommand),
    Leases(permit_command::LeasesCommand),
    Permit(permit_command::PermitCommand),
    Detach(overrides::DetachCommand),
    Attach(overrides::AttachCommand),
    Verdicts(overrides::VerdictsCommand),
    Limits(limits_command::LimitsCommand),
    Version(VersionCommand),
}

/// Check a configuration file, and print its errors or a summary. The file of a sidecar ends in .toml.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// the configuration file
    #[argh(positional)]
    file: Option<PathBuf>,
    /// the configuration file of a balancer; if no file is given, $PROXY_CONFIG names it
    #[argh(option)]
    config: Option<PathBuf>,
    /// for a sidecar's file: an endpoint list in the format of discovery, which must contain all servers and
    /// hosts
    #[argh(option)]
    roster: Option<PathBuf>,
    /// for a sidecar's file: a newer file to compare with; prints the changes
    #[argh(option)]
    against: Option<PathBuf>,
    /// for a sidecar's file: print the findings as JSON
    #[argh(switch)]
    json: bool,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct VersionCommand {}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match Arguments::from_args(&arguments[..1], &arguments[1..]) {
        Ok(Arguments { command }) => run(command),
        Err(early_exit) => exit::code_for_arguments(&early_exit),
    }
}

fn run(command: Command) -> ExitCode {
    match command {
        Command::Serve(command) => exit::code_for_server(serve::run(command)),
        Command::Sidecar(command) => sidecar::run(command),
        Command::Check(command) => check(command),
        Command::Version(VersionCommand {}) => exit::code_for_server(print_version()),
        Command::Explain(command) => exit::code_for_command(sidecar_config::explain(&command)),
        Command::Configure(command) => exit::code_for_command(sidecar_config::configure(&command)),
        Command::Migrate(command) => exit::code_for_command(migrate::migrate(&command)),
        Command::State(command) => exit::code_for_command(state_command::run(&command)),
        Command::Recovery(command) => exit::code_for_command(recovery_command::run(&command)),
        Command::Members(command) => exit::code_for_command(members_command::run(&command)),
        Command::Leases(command) => exit::code_for_command(permit_command::show_leases(&command)),
        Command::Permit(command) => exit::code_for_command(permit_command::run(&command)),
        Command::Limits(command) => exit::code_for_command(limits_command::run(&command)),
        Command::Detach(command) => exit::code_for_command(overrides::detach(&command)),
        Command::Attach(command) => exit::code_for_command(overrides::attach(&command)),
        Command::Verdicts(command) => exit::code_for_command(overrides::show(&command)),
    }
}

fn check(command: CheckCommand) -> ExitCode {
    match &command.file {
        Some(file) if is_sidecar_file(file) => exit::code_for_command(sidecar_config::check_file(
            file,
            command.roster.as_deref(),
            command.against.as_deref(),
            command.json,
        )),
        _ => exit::code_for_server(check_balancer_config(command.config.or(command.file))),
    }
}

fn is_sidecar_file(file: &Path) -> bool {
    file.extension().is_some_and(|extension| extension == SIDECAR_FILE_EXTENSION)
}

fn check_balancer_config(path: Option<PathBuf>) -> Result<(), ServeError> {
    let path = config::resolve_path(path)?;
    let config = config::load(&path)?;
    println!("{}", discovery::summary(&config));
    Ok(())
}

fn print_version() -> Result<(), ServeError> {
    println!("doorproxy {}", env!("CARGO_PKG_VERSION"));
    Ok(())
}
