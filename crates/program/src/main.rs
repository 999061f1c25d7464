//! The command line of the balancer: it reads the configuration, at the start and on SIGHUP, and waits for signals.
//! It must never know what the parts do.

mod claims;
mod leases;
mod limits;
mod migrate;
mod peers;
mod state;
mod tool;
mod verdicts;

use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use doorproxy::ids::Span;
use doorproxy_balancer::bans::Kept;
use doorproxy_balancer::control::{OfFleet, Operators};
use doorproxy_balancer::fellows::Fellows;
use doorproxy_balancer::given::Given;
use doorproxy_balancer::keeping::Keeping;
use doorproxy_balancer::sockets::{self, Sockets};
use doorproxy_balancer::succession::Locks;
use doorproxy_balancer::whole::Inherited;
use doorproxy_balancer::world::{Listener, World};
use doorproxy_balancer::{control, front, given, list, log, note, whole};
use doorproxy_config::fleet::{Fleet, State};
use doorproxy_config::plan::Plan;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

const ACCEPT_FD: &str = "PROXY_ACCEPT_FD";
const OPERATORS_BUFFER: u32 = 128 << 10;
const OPERATORS_BACKLOG: u32 = 64;

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
    Sidecar(Sidecar),
    Explain(tool::Explain),
    Configure(tool::Configure),
    Migrate(migrate::Migrate),
    State(state::Call),
    Recovery(state::Recovery),
    Members(peers::Call),
    Leases(leases::Show),
    Permit(leases::Take),
    Detach(verdicts::Detach),
    Attach(verdicts::Attach),
    Verdicts(verdicts::Show),
    Limits(limits::Call),
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
    /// a TOML file that turns on what is kept for the next process and the talk among balancers; without it there is neither
    #[argh(option)]
    fleet: Option<PathBuf>,
}

/// Serve as the sidecar of one application until SIGTERM, then finish what was taken.
#[derive(FromArgs)]
#[argh(subcommand, name = "sidecar")]
struct Sidecar {
    /// the configuration file
    #[argh(option)]
    config: PathBuf,
    /// where chance begins, for runs that are to be alike (default: from the clock)
    #[argh(option)]
    seed: Option<u64>,
}

/// Read a configuration file and say what is wrong with it, or what it holds. A sidecar's file ends in .toml.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the file
    #[argh(positional)]
    file: Option<PathBuf>,
    /// the configuration file of a balancer; without any, $PROXY_CONFIG names it
    #[argh(option)]
    config: Option<PathBuf>,
    /// for a sidecar's file: the roster, in the form of the list, that servers and hosts have to be in
    #[argh(option)]
    roster: Option<PathBuf>,
    /// for a sidecar's file: a newer one; what it changes is said
    #[argh(option)]
    against: Option<PathBuf>,
    /// for a sidecar's file: say the findings as JSON
    #[argh(switch)]
    json: bool,
}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let Arguments { command } = match Arguments::from_args(&words[..1], &words[1..]) {
        Ok(arguments) => arguments,
        Err(early) if early.status.is_ok() => {
            println!("{}", early.output);
            return ExitCode::SUCCESS;
        }
        Err(early) => {
            eprintln!("{}\n`doorproxy --help` tells more.", early.output.trim_end());
            return ExitCode::from(2);
        }
    };
    let is_sidecars = |file: &Path| file.extension().is_some_and(|extension| extension == "toml");
    let done = match command {
        Command::Check(Check { file: Some(file), roster, against, json, .. }) if is_sidecars(&file) => {
            return tool::exit(tool::check_file(&file, roster.as_deref(), against.as_deref(), json));
        }
        Command::Sidecar(call) => match tool::plan(&call.config) {
            Ok(Some(plan)) => sidecar(call.config, plan, call.seed),
            unread => return tool::exit(unread.map(|_| false)),
        },
        Command::Explain(call) => return tool::exit(tool::explain(&call)),
        Command::Configure(call) => return tool::exit(tool::configure(&call)),
        Command::Migrate(call) => return tool::exit(migrate::migrate(&call)),
        Command::State(call) => return tool::exit(state::run(&call)),
        Command::Recovery(call) => return tool::exit(state::recovery(&call)),
        Command::Members(call) => return tool::exit(peers::show(&call)),
        Command::Leases(call) => return tool::exit(leases::show(&call)),
        Command::Limits(call) => return tool::exit(limits::run(&call)),
        Command::Detach(call) => return tool::exit(verdicts::detach(&call)),
        Command::Attach(call) => return tool::exit(verdicts::attach(&call)),
        Command::Verdicts(call) => return tool::exit(verdicts::show(&call)),
        Command::Permit(call) => return tool::exit(leases::take(&call)),
        Command::Serve(Serve { config, grace_ms, fleet }) => given::path(config).and_then(|config| {
            let fleet = fleet.as_deref().map(state::fleet).transpose()?;
            serve(config, Span(grace_ms as i64 * 10), fleet.unwrap_or_default())
        }),
        Command::Check(Check { file, config, .. }) => given::path(config.or(file))
            .and_then(|config| given::read(&config))
            .map(|given| println!("{}", list::summary(&given))),
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

/// Plays a server on a runtime of one thread.
fn on_runtime<F: Future<Output = Result<(), String>>>(
    serve: impl FnOnce(Sockets) -> F,
) -> Result<(), String> {
    // Guards against a balancer that runs on with decisions half made: restarted at once, it loses less. A log
    // that nobody reads any more is no reason to end.
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        if std::thread::current().name() != Some(log::THREAD) {
            print(panic);
            std::process::exit(70);
        }
    }));
    let world = Sockets::start();
    let runtime = world.runtime().map_err(|error| format!("the runtime could not start: {error}"))?;
    let served = runtime.block_on(serve(world));
    log::finish();
    served
}

fn on(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|error| format!("signals can't be waited for: {error}"))
}

/// Waits for SIGTERM or SIGINT, which are heeded from now on.
fn asked_to_end() -> Result<impl Future<Output = ()>, String> {
    let (mut terminate, mut interrupt) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

fn serve(config: PathBuf, grace: Span, fleet: Fleet) -> Result<(), String> {
    let given = given::read(&config)?;
    on_runtime(async move |world| {
        // Before anything else: unheeded, they end the process.
        let reloads = on(SignalKind::hangup())?;
        let ask = asked_to_end()?;
        let (source, of_list) = watch::channel(given.discovery);
        tokio::spawn(reload(world, config, given.clone(), reloads, source));
        let mut parts = whole::parts(&world, &given);
        if let Some(State { folder, every }) = &fleet.state {
            let (outside, left) = state::begin(world, folder, (&given.name, given.settings))?;
            let of = (given.name.as_str(), given.settings);
            parts.keeping = Some(Keeping::new(&world, of, *every, outside, left));
        }
        let permits = fleet.leases.iter().flat_map(|leases| leases.permits.keys().cloned());
        parts.fellows = fleet.peers.as_ref().map(|_| Arc::new(Fellows::new(permits)));
        // Who is out by hand is part of the state.
        let kept = fleet.state.as_ref();
        let folder = kept.map_or_else(std::env::temp_dir, |kept| kept.folder.clone());
        let of_fleet =
            |_| Arc::new(OfFleet::new(Arc::new(Kept::of_fleet(&folder, &given.name)), &given.name));
        parts.of_fleet = fleet.peers.as_ref().map(of_fleet);
        if given.control.is_some() || parts.of_fleet.is_some() {
            let shelf = Arc::new(Kept::new(&folder, &given.name));
            staffed(given.control, parts.operators(&world, shelf))?;
        }
        let inherited = match std::env::var_os(ACCEPT_FD).filter(|number| !number.is_empty()) {
            Some(number) => Some(inherit(&number.to_string_lossy(), &given)?),
            None => None,
        };
        let speaks = match &parts.fellows {
            Some(fellows) => {
                peers::begin(world, &given, &fleet, (&parts.facade, &parts.list), fellows.clone())?
            }
            None => None,
        };
        let served = whole::serve(world, parts, given, of_list, inherited, grace, ask).await;
        // From here on it pushes nothing.
        if let Some(speaks) = speaks {
            speaks.say_goodbye();
        }
        served
    })
}

/// Takes over the clients' socket from the platform, and makes itself known to the other processes of this balancer.
fn inherit(number: &str, given: &Given) -> Result<Inherited<Sockets>, String> {
    let listener = sockets::inherited(number, given.listen, front::SEND_BUFFER)
        .map_err(|fault| format!("{ACCEPT_FD}: {fault}"))?;
    let folder = std::env::temp_dir();
    let signs =
        Locks::begin(&folder, &given.name).map_err(|error| format!("{}: {error}", folder.display()))?;
    Ok(Inherited { listener, signs: Arc::new(signs) })
}

/// Serves the operators' address on a thread and a runtime of its own: guards against calls that wait behind ops. Without an
/// address, what the fleet's operators say is still followed.
fn staffed(control: Option<SocketAddr>, operators: Operators<Sockets>) -> Result<(), String> {
    let (listens, listening) = std::sync::mpsc::sync_channel(1);
    let serve = move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        // Without an address it needs no socket.
        let builder = if control.is_some() { builder.enable_all() } else { builder.enable_time() };
        let runtime = match builder.build() {
            Ok(runtime) => runtime,
            Err(error) => return drop(listens.send(Err(error))),
        };
        runtime.block_on(async move {
            let world = operators.world;
            let Some(control) = control else {
                let _ = listens.send(Ok(()));
                return control::follow(Arc::new(operators)).await;
            };
            match world.listen(control, OPERATORS_BUFFER, OPERATORS_BACKLOG) {
                Ok(listener) => {
                    note!(world, "serving operators on {}", listener.address().unwrap_or(control));
                    let _ = listens.send(Ok(()));
                    control::serve(listener, operators).await;
                }
                Err(error) => drop(listens.send(Err(error))),
            }
        });
    };
    let started = std::thread::Builder::new().name("operators".to_string()).spawn(serve);
    let listens = started.and_then(|_| listening.recv().map_err(std::io::Error::other)?);
    let at = control.map_or(String::new(), |control| format!(" {control}"));
    listens.map_err(|error| format!("control{at}: {error}"))
}

fn sidecar(config: PathBuf, plan: Plan, seed: Option<u64>) -> Result<(), String> {
    on_runtime(async move |world| {
        let mut reloads = on(SignalKind::hangup())?;
        let ask = asked_to_end()?;
        let (newer, of_sidecar) = mpsc::channel(1);
        tokio::spawn(async move {
            while reloads.recv().await.is_some() {
                match tool::plan_or_why(&config) {
                    Ok(plan) => drop(newer.send(plan).await),
                    // Guards against a file that is being replaced, or was spoilt: the old one has served so far.
                    Err(fault) => note!(world, "the old file is kept: {fault}"),
                }
            }
        });
        let seed = seed.unwrap_or(world.now().0 as u64);
        doorproxy_sidecar::front::serve(world, plan, seed, of_sidecar, ask).await
    })
}

/// On SIGHUP the list is taken from where the file now says. All else holds until the next start, and is named where it
/// differs: ops in hand were taken under it.
async fn reload(
    world: Sockets,
    config: PathBuf,
    given: Arc<Given>,
    mut reloads: Signal,
    source: watch::Sender<SocketAddr>,
) {
    while reloads.recv().await.is_some() {
        match given::read(&config) {
            // Guards against ops of one customer at the servers of another.
            Ok(newer) if newer.name != given.name => {
                let (name, other) = (&given.name, &newer.name);
                note!(world, "configuration kept as it was: the file is of {other:?}, and this is {name:?}");
            }
            Ok(newer) => {
                let waits = given.not_followed(&newer);
                let waits = match waits.is_empty() {
                    true => String::new(),
                    false => format!("; from the next start on, and not before: {}", waits.join(", ")),
                };
                note!(world, "configuration read again: the list is at {}{waits}", newer.discovery);
                source.send_if_modified(|known| std::mem::replace(known, newer.discovery) != newer.discovery);
            }
            // Guards against a file that is being replaced, or was spoilt: the old one has served so far.
            Err(fault) => note!(world, "configuration kept as it was: {fault}"),
        }
    }
}
