//! The platform of a balancer, which holds its listening socket, so that the balancer can be upgraded.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;

use serde_json::{Value, json};

use super::admin::admin_address;
use super::{Balancer, Trace};

pub const PEER_KEY: &str = "7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a";
pub const CLUSTER: &str = "test";
const CONFIG_FILE: &str = "config.json";
const FLEET_FILE: &str = "fleet.toml";

/// Returns the section `[peers]` of the balancer `n` of this ordinal, in a fleet of `n0`, `n1` and `n2` that are
/// all registry replicas. `options` are further lines.
pub fn peers_section(key: &Path, addresses: [SocketAddr; 3], ordinal: usize, options: &str) -> String {
    let own = addresses[ordinal];
    let replicas = addresses.iter().enumerate().map(|(index, address)| format!("n{index} = \"{address}\""));
    let replicas = replicas.collect::<Vec<_>>().join(", ");
    format!(
        "[peers]\ncluster = \"{CLUSTER}\"\nlisten = \"{own}\"\nat = \"{own}\"\nkey = {key:?}\nzone = \"east\"\n\
         keepers = {{ {replicas} }}\n{options}"
    )
}

/// Holds the listening socket and the directory, which outlive the processes of a balancer.
pub struct Platform {
    /// The configuration of the next process.
    pub config: Value,
    listener: TcpListener,
    directory: tempfile::TempDir,
}

impl Platform {
    /// Creates the platform of a balancer without a fleet file.
    pub fn new(mut config: Value) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        config["listen"] = json!(listener.local_addr().unwrap());
        Platform { config, listener, directory: tempfile::tempdir().unwrap() }
    }

    /// Creates the platform of a balancer with a fleet file, for which `fleet` gets the path of the key file.
    pub fn with_fleet(config: Value, fleet: impl FnOnce(&Path) -> String) -> Platform {
        let platform = Platform::new(config);
        let key = platform.directory.path().join("peers.key");
        std::fs::write(&key, PEER_KEY).unwrap();
        std::fs::write(platform.directory.path().join(FLEET_FILE), fleet(&key)).unwrap();
        platform
    }

    /// Returns the address of the listening socket.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Returns a descriptor of the listening socket.
    pub fn socket(&self) -> OwnedFd {
        self.listener.try_clone().unwrap().into()
    }

    /// Starts a process that inherits `socket`. `accept` is the descriptor that it is given.
    pub fn spawn(&self, accept: &str, socket: OwnedFd) -> Child {
        let config = self.directory.path().join(CONFIG_FILE);
        std::fs::write(&config, self.config.to_string()).unwrap();
        let fleet = self.directory.path().join(FLEET_FILE);
        // A program that is given by its path shows whether a test finds the faults of another version.
        let program =
            std::env::var("DOORPROXY_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_doorproxy").to_string());
        // `Command` can pass the socket only as standard input; the shell moves it to descriptor 3, as on the
        // platform.
        let mut command = Command::new("sh");
        command.arg("-c").arg("exec 3<&0 </dev/null; exec \"$0\" serve \"$@\"").arg(program);
        if fleet.exists() {
            command.arg("--fleet").arg(fleet);
        }
        command.stdin(Stdio::from(socket)).stderr(Stdio::piped());
        command.env("TMPDIR", self.directory.path()).env("PROXY_CONFIG", config);
        command.env("PROXY_ACCEPT_FD", accept).env("PROXY_CONTROL", "127.0.0.1:0").spawn().unwrap()
    }

    /// Starts a process, waits until it serves, and returns it with the address of its admin API.
    pub fn start(&self) -> (Balancer, SocketAddr) {
        let mut process = self.spawn("3", self.socket());
        let lines = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
        let log = Trace::default();
        let log_writer = log.clone();
        thread::spawn(move || lines.for_each(|line| log_writer.record(&line)));
        log.wait_for_prefix("server: serving on ", 1);
        let admin = admin_address(&log);
        let config = self.directory.path().join(CONFIG_FILE);
        (Balancer { process, address: self.address(), config, log }, admin)
    }

    /// Starts a process that has to wait for the datagram address of its predecessor.
    pub fn start_successor(&self) -> Balancer {
        let (process, _) = self.start();
        let text = "is in use, probably by the predecessor";
        process.log.wait_until(text, |log| log.contains(text));
        process
    }
}
