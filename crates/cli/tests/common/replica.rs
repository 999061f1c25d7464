//! A balancer of a fleet on the listening socket that its platform holds, so that it can be upgraded.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;

use serde_json::{Value, json};

use super::Trace;
use super::admin::admin_address;

pub const PEER_KEY: &str = "7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a7a";

/// What outlives the processes of a balancer: its listening socket and its files.
pub struct Platform {
    listener: TcpListener,
    directory: tempfile::TempDir,
}

impl Platform {
    /// Writes the configuration and the fleet file, whose key file is to be `peers.key` in its directory.
    pub fn new(mut config: Value, fleet: impl FnOnce(&Path) -> String) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let directory = tempfile::tempdir().unwrap();
        let key = directory.path().join("peers.key");
        std::fs::write(&key, PEER_KEY).unwrap();
        std::fs::write(directory.path().join("fleet.toml"), fleet(&key)).unwrap();
        config["listen"] = json!(listener.local_addr().unwrap());
        std::fs::write(directory.path().join("config.json"), config.to_string()).unwrap();
        Platform { listener, directory }
    }

    /// Returns the address of the listening socket.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Starts a process and waits until it serves.
    pub fn start(&self) -> Process {
        // A program that is given by its path shows whether a test finds the faults of another version.
        let program =
            std::env::var("DOORPROXY_PROGRAM").unwrap_or(env!("CARGO_BIN_EXE_doorproxy").to_string());
        let file = |name: &str| -> PathBuf { self.directory.path().join(name) };
        let mut command = Command::new("sh");
        command.arg("-c").arg("exec 3<&0 </dev/null; exec \"$PROGRAM\" serve --fleet \"$FLEET\"");
        command.stdin(Stdio::from(OwnedFd::from(self.listener.try_clone().unwrap())));
        command.env("PROGRAM", program);
        command.env("FLEET", file("fleet.toml")).env("PROXY_CONFIG", file("config.json"));
        command.env("TMPDIR", self.directory.path()).env("PROXY_ACCEPT_FD", "3");
        command.env("PROXY_CONTROL", "127.0.0.1:0").stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log = Trace::default();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let log_writer = log.clone();
        thread::spawn(move || lines.for_each(|line| log_writer.record(&line)));
        log.wait_for_prefix("server: serving on ", 1);
        Process { admin: admin_address(&log), child, log }
    }

    /// Starts a process that has to wait for the datagram address of its predecessor.
    pub fn start_successor(&self) -> Process {
        let process = self.start();
        let text = "is in use, probably by the predecessor";
        process.log.wait_until(text, |log| log.contains(text));
        process
    }
}

/// A process of a balancer, which is killed when this is dropped.
pub struct Process {
    pub admin: SocketAddr,
    pub log: Trace,
    child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
    }

    /// Asks the process to end, and waits until it has.
    pub fn terminate(mut self) {
        self.signal("TERM");
        self.child.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
