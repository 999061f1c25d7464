//! The command line of the balancer: it reads the configuration, at the start and on SIGHUP, and puts the parts
//! together. It must never know what the parts do.

mod clock;
mod endings;
mod front;
mod given;
mod heads;
mod list;
mod log;
mod upstreams;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use doorproxy::facade::{Facade, News};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;

use clock::Clock;
use front::Front;
use list::List;
use upstreams::{Outlet, Upstreams};

/// A load balancer for fleets of HTTP servers.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Version(Version),
}

/// Serve until SIGTERM, then finish what was taken. SIGHUP reads the configuration again.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration file; without it, $PROXY_CONFIG names it
    #[argh(option)]
    config: Option<PathBuf>,
    /// how long after SIGTERM ops are still waited for, in milliseconds; less than until SIGKILL (default 3000)
    #[argh(option, default = "3000")]
    grace_ms: u64,
}

/// Read a configuration file and say what is wrong with it, or what it holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration file; without it, $PROXY_CONFIG names it
    #[argh(option)]
    config: Option<PathBuf>,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let Arguments { command } = argh::from_env();
    let done = match command {
        Command::Serve(Serve { config, grace_ms }) => {
            given::path(config).and_then(|config| serve(config, Duration::from_millis(grace_ms)))
        }
        Command::Check(Check { config }) => given::path(config)
            .and_then(|config| given::read(&config))
            .map(|given| println!("{}", given.summary())),
        Command::Version(Version {}) => {
            println!("doorproxy {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("doorproxy: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn serve(config: PathBuf, grace: Duration) -> Result<(), String> {
    let given = given::read(&config)?;
    // Guards against a balancer that runs on with decisions half made: restarted at once, it loses less. A log
    // that nobody reads any more is no reason to end.
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if std::thread::current().name() != Some(log::THREAD) {
            print(panic);
            std::process::exit(70);
        }
    }));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("the runtime could not start: {error}"))?;
    let served = runtime.block_on(async {
        // Before anything else: unheeded, it ends the process.
        let reloads = signal(SignalKind::hangup()).map_err(|error| format!("no signals: {error}"))?;
        let clock = Clock::start();
        // The rest is for the list, the log and what the runtime itself opens.
        let upstreams = Arc::new(Upstreams::new(clock, &given, given.sockets * 5 / 16));
        let outlet = Box::new(Outlet(upstreams.clone()));
        let facade = Facade::new(clock.now(), given.seed, given.terms.clone(), outlet);
        let mut list = List::new(given.clone());
        let (rows, addresses) = list.rows(&given.known);
        list.tell(&given.known, &rows);
        upstreams.follow(&rows, &addresses, true);
        facade.tick(clock.now(), News::Whole(&rows));
        tokio::spawn(clock::ring(clock, facade.clone()));
        let (source, of_list) = watch::channel(given.discovery);
        tokio::spawn(list::follow(clock, list, facade.clone(), upstreams.clone(), of_list));
        tokio::spawn(reload(config, reloads, source));
        let sockets = given.sockets * 10 / 16;
        // The platform kills the process so long after SIGTERM as an op may take, where that is less.
        let grace = grace.min(clock::duration(given.terms.longest_ttl()));
        front::serve(Front::new(clock, given, facade, upstreams, sockets, grace)).await
    });
    log::finish();
    served
}

/// On SIGHUP the list is taken from where the file now says. All else holds until the next start: ops in hand
/// were taken under it.
async fn reload(config: PathBuf, mut reloads: Signal, source: watch::Sender<SocketAddr>) {
    while reloads.recv().await.is_some() {
        match given::read(&config) {
            Ok(given) => {
                note!("configuration read again: the list is at {}", given.discovery);
                source.send_if_modified(|known| std::mem::replace(known, given.discovery) != given.discovery);
            }
            // Guards against a file that is being replaced, or was spoilt: the old one has served so far.
            Err(fault) => note!("configuration kept as it was: {fault}"),
        }
    }
}
