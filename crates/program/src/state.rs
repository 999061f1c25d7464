//! The state folder as the program uses it: the thread that writes, the machine's clocks, and the commands that show, check
//! and drop what is kept. It must never keep a balancer from starting, whatever the folder holds.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use doorproxy_balancer::keeping::{Left, Outside};
use doorproxy_balancer::note;
use doorproxy_balancer::sockets::Sockets;
use doorproxy_config::fleet::{self, Fleet};
use doorproxy_recovery::age::{Age, Moment};
use doorproxy_recovery::folder::{Files, Folder, Unread};
use doorproxy_recovery::form::{self, State};
use serde_json::{Value, json};

use crate::tool::{self, Outcome};

/// The machine's clocks, and the way to the thread that writes.
struct Machine {
    to_disk: SyncSender<State>,
}

fn now() -> Moment {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let uptime = read("/proc/uptime");
    let seconds: Option<f64> = uptime.split(' ').next().and_then(|text| text.parse().ok());
    let boot = read("/proc/sys/kernel/random/boot_id").trim().to_string();
    Moment {
        wall_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64,
        // Without the one the other says nothing.
        boot: seconds.map_or(String::new(), |_| boot),
        since_boot_ms: seconds.map_or(0, |seconds| (seconds * 1e3) as u64),
    }
}

impl Outside for Machine {
    fn moment(&self) -> Moment {
        now()
    }

    fn keep(&self, state: State) {
        // Where the disk is slow the next state is the better one.
        let _ = self.to_disk.try_send(state);
    }
}

/// A start waits so long for its folder. Without one it is a start as after a lost folder, which asks the list and serves.
const READ_WITHIN: Duration = Duration::from_secs(1);

/// What a process keeps, and what the last one left; the folder's state, whatever it is, never stops the start. All that
/// touches the disk is done by the thread that writes: guards against a start that hangs as long as its disk.
pub fn begin(
    world: Sockets,
    folder: &Path,
    (balancer, settings): (&str, u64),
) -> Result<(Arc<dyn Outside>, Left), String> {
    let (to_disk, states) = sync_channel::<State>(1);
    let (to_start, loaded) = sync_channel(1);
    let (mut folder, name) = (Folder::new(Files, folder), balancer.to_string());
    let file = folder.file(balancer);
    let write = move || {
        // Where the start has gone on without, nobody takes it.
        let _ = to_start.send(folder.load(&name));
        let mut last = String::new();
        while let Ok(state) = states.recv() {
            let told = folder.save(&state).err().map_or(String::new(), |error| error.to_string());
            // Said once, not once a second.
            if told != last {
                match told.as_str() {
                    "" => note!(world, "state: it is kept again"),
                    told => note!(world, "state: it can't be kept: {told}"),
                }
                last = told;
            }
        }
    };
    let thread = std::thread::Builder::new().name("state".to_string()).spawn(write);
    thread.map_err(|error| format!("the thread that keeps the state could not start: {error}"))?;
    let left = match loaded.recv_timeout(READ_WITHIN) {
        Ok(Ok(state)) if !form::is_of(settings, &state.learned) => {
            note!(world, "state: {}: it is not of these settings; it starts without", file.display());
            Left::default()
        }
        Ok(Ok(state)) => {
            note!(world, "state: {} servers of version {} are kept", state.servers.len(), state.version);
            Left::of(state, &now())
        }
        Ok(Err(Unread::None)) => Left::default(),
        Ok(Err(fault)) => {
            note!(world, "state: {}: {fault}; it starts without", file.display());
            Left::default()
        }
        Err(_) => {
            note!(world, "state: {} was not read within {READ_WITHIN:?}; it starts without", file.display());
            Left::default()
        }
    };
    Ok((Arc::new(Machine { to_disk }), left))
}

/// The fleet file, or the findings in it.
pub fn fleet(path: &Path) -> Result<Fleet, String> {
    let text = tool::read(path)?;
    let fleet::CheckedFleet { fleet, findings } = fleet::check(&text);
    let file = path.display().to_string();
    let told: String = findings.iter().map(|finding| finding.told(&file, &text)).collect();
    if fleet.is_some() && !told.is_empty() {
        eprint!("{told}");
    }
    fleet.ok_or_else(|| format!("{file} is not good\n{}", told.trim_end()))
}

/// Show, check or drop what balancers keep in a folder.
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
pub struct Call {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Show(Show),
    Check(Check),
    Drop(DropState),
}

/// Say what is kept: of which balancer, how old, which servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the folder
    #[argh(positional)]
    folder: PathBuf,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

/// Say of each state whether a balancer could go on from it; ends with 1 where one could not.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the folder
    #[argh(positional)]
    folder: PathBuf,
}

/// Remove the state of one balancer, which starts without the next time.
#[derive(FromArgs)]
#[argh(subcommand, name = "drop")]
struct DropState {
    /// the folder
    #[argh(positional)]
    folder: PathBuf,
    /// the balancer, by the name in its configuration
    #[argh(option)]
    balancer: String,
}

/// A file's name, and what stands in it or why that is no state.
type Kept = (String, Result<State, String>);

fn states(folder: &Path) -> Result<Vec<Kept>, String> {
    let entries = std::fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "state"));
    paths.sort();
    let read = |path: &PathBuf| {
        let bytes = std::fs::read(path).map_err(|error| error.to_string())?;
        form::decode(&bytes).map_err(|fault| fault.to_string())
    };
    let name = |path: &PathBuf| path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    Ok(paths.iter().map(|path| (name(path), read(path))).collect())
}

fn age(then: &Moment) -> String {
    // A moment that was never noted is not 56 years old.
    let age = if then.wall_ms > 0 { Age::of(then, &now()) } else { Age::Unknown };
    age.to_string()
}

fn shown(file: &str, state: &State) -> Value {
    let servers: Vec<Value> = state
        .servers
        .iter()
        .map(|of| json!({"id": of.id, "addr": of.addr, "state": of.state, "started_ms": of.started_ms}))
        .collect();
    json!({"file": file, "balancer": state.balancer, "written": age(&state.written), "list": age(&state.heard),
        "version": state.version, "learned_lines": state.learned.lines().count(), "servers": servers})
}

pub fn run(call: &Call) -> Outcome {
    match &call.what {
        What::Show(Show { folder, json }) => {
            let states = states(folder)?;
            let values: Vec<Value> = states
                .iter()
                .map(|(file, state)| match state {
                    Ok(state) => shown(file, state),
                    Err(fault) => json!({"file": file, "fault": fault}),
                })
                .collect();
            if *json {
                println!("{}", Value::Array(values));
                return Ok(true);
            }
            for (file, state) in &states {
                match state {
                    Err(fault) => println!("{file}: {fault}"),
                    Ok(state) => {
                        let (balancer, written, heard) =
                            (&state.balancer, age(&state.written), age(&state.heard));
                        println!("{file}: of {balancer}, {written}; list {} is {heard}", state.version);
                        for of in &state.servers {
                            println!("  {} at {}, {}", of.id, of.addr, of.state);
                        }
                        println!("  {} lines of what was learned", state.learned.lines().count());
                    }
                }
            }
            Ok(true)
        }
        What::Check(Check { folder }) => {
            let mut all_good = true;
            for (file, state) in states(folder)? {
                let told = match &state {
                    Ok(state) => format!("good, of {}", state.balancer),
                    Err(fault) => fault.clone(),
                };
                println!("{file}: {told}");
                all_good &= state.is_ok();
            }
            Ok(all_good)
        }
        What::Drop(DropState { folder, balancer }) => {
            let mut kept = Folder::new(Files, folder);
            let file = kept.file(balancer);
            kept.drop_state(balancer).map_err(|error| format!("{}: {error}", file.display()))?;
            println!("{} is gone", file.display());
            Ok(true)
        }
    }
}

/// Ask a running balancer where it stands after its start.
#[derive(FromArgs)]
#[argh(subcommand, name = "recovery")]
pub struct Recovery {
    /// its operators' address
    #[argh(option)]
    at: SocketAddr,
    /// as JSON
    #[argh(switch)]
    json: bool,
}

const PATIENCE: Duration = Duration::from_secs(5);

/// What a running balancer tells its operators there.
pub fn ask(at: SocketAddr, path: &Path) -> Result<Value, String> {
    call(at, "GET", path, "")
}

/// A call at a running balancer's operators' address.
pub fn call(at: SocketAddr, method: &str, path: &Path, body: &str) -> Result<Value, String> {
    let text = call_text(at, method, path, body)?;
    serde_json::from_str(text.trim()).map_err(|error| format!("{at}: {error}"))
}

/// The same, of an answer that is no JSON.
pub fn call_text(at: SocketAddr, method: &str, path: &Path, body: &str) -> Result<String, String> {
    let call = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, PATIENCE)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        let (path, length) = (path.display(), body.len());
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n")?;
        write!(stream, "Content-Length: {length}\r\n\r\n{body}")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    };
    let answer = call().map_err(|error| format!("{at}: {error}"))?;
    let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(|| format!("{at}: no answer"))?;
    if !head.starts_with("HTTP/1.1 200") {
        return Err(format!("{at}: {}", body.trim()));
    }
    Ok(body.to_string())
}

/// Ends with 1 where the process is not at its last stage.
pub fn recovery(call: &Recovery) -> Outcome {
    let told = ask(call.at, Path::new("/_recovery"))?;
    let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_string);
    if call.json {
        println!("{told}");
    } else {
        let (list, evidence) = (&told["list"], &told["evidence"]);
        println!("{} after {} s", text(&told["stage"]), told["running_s"]);
        println!(
            "  list: {} servers, from {}, {} calls failed since it last told",
            list["servers"],
            text(&list["from"]),
            list["failed_calls"]
        );
        println!(
            "  {} of {} servers have answered, {} answers",
            evidence["answered"], evidence["ready"], evidence["answers"]
        );
        for change in told["changes"].as_array().into_iter().flatten() {
            println!(
                "  {} s: {} to {}: {}",
                change["after_s"],
                text(&change["from"]),
                text(&change["to"]),
                text(&change["cause"])
            );
        }
    }
    Ok(told["stage"] == "full")
}
