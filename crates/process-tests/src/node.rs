//! One balancer of a run: its directory, configuration, log and current process. The node owns the process,
//! and kills and reaps it when dropped. Logs are kept for people only: no check reads them.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;

use doorproxy_recovery::state_file::{self, PersistedState};
use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::Value;

use crate::scenario::StateDirectoryCondition;

/// The size up to which the log of a balancer is kept.
const MAX_LOG_BYTES: u64 = 8 << 20;

/// A directory in which not even root can create a file.
const UNWRITABLE_DIRECTORY: &str = "/proc/self/fdinfo";

/// A balancer of a run and its current process.
pub struct Node {
    /// The name of the balancer.
    pub name: String,
    directory: PathBuf,
    program: PathBuf,
    /// The arguments before the command `serve`; they select the mutant.
    arguments: Vec<String>,
    /// True if the balancer keeps its state in a state directory.
    pub keeps_state: bool,
    /// The text of the fleet file, without the section `[state]`.
    pub fleet_settings: String,
    /// The process, if one runs.
    pub child: Option<Child>,
    /// The files of the state directory when the load began.
    initial_files: BTreeMap<String, Vec<u8>>,
    /// The number of processes that were started.
    pub start_count: u32,
}

/// Makes a state look an hour old, and written before the last boot of the machine.
fn age_by_one_hour(state: &mut PersistedState) {
    for moment in [&mut state.written_at, &mut state.list_confirmed_at] {
        // One second less than an hour, after which an endpoint list expires.
        moment.wall_ms = moment.wall_ms.saturating_sub(3_599_000);
        moment.boot_id = "before".to_string();
    }
}

/// Makes a state wrong in ways that a decoder cannot find: a newer version, addresses of other endpoints,
/// wrong start times and statuses, and learned values of 1000.
fn falsify(state: &mut PersistedState) {
    state.list_version += 1_000_000;
    let count = state.endpoints.len();
    let addresses: Vec<String> = state.endpoints.iter().map(|endpoint| endpoint.address.clone()).collect();
    for (index, endpoint) in state.endpoints.iter_mut().enumerate() {
        endpoint.address.clone_from(&addresses[(index + 1) % count]);
        endpoint.started_ms = state.written_at.wall_ms as i64;
        match index % 4 {
            // Nothing in an address block listens on port 9.
            1 => {
                endpoint.address =
                    endpoint.address.rsplit_once(':').map_or_else(String::new, |(ip, _)| format!("{ip}:9"))
            }
            2 => endpoint.status = "draining".to_string(),
            _ => {}
        }
    }
    let lines = state.learned_state.lines().filter_map(|line| line.rsplit_once(' '));
    state.learned_state = lines.map(|(line, _)| format!("{line} 1000\n")).collect();
}

fn read_files(directory: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = fs::read_dir(directory).into_iter().flatten().flatten();
    let files = entries.filter(|entry| entry.path().is_file());
    files
        .filter_map(|entry| Some((entry.file_name().into_string().ok()?, fs::read(entry.path()).ok()?)))
        .collect()
}

fn replace_files(directory: &Path, files: &BTreeMap<String, Vec<u8>>) -> io::Result<()> {
    fs::remove_dir_all(directory)?;
    fs::create_dir_all(directory)?;
    files.iter().try_for_each(|(name, bytes)| fs::write(directory.join(name), bytes))
}

impl Node {
    /// Creates the directory of a balancer in this one; no process is started.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created.
    pub fn new(name: &str, parent: &Path, program: &Path, arguments: &[String]) -> io::Result<Node> {
        let directory = parent.join(name);
        fs::create_dir_all(directory.join("kept"))?;
        let (program, arguments) = (program.to_path_buf(), arguments.to_vec());
        Ok(Node {
            name: name.to_string(),
            directory,
            program,
            arguments,
            child: None,
            keeps_state: false,
            fleet_settings: String::new(),
            initial_files: BTreeMap::new(),
            start_count: 0,
        })
    }

    /// Returns the state directory, which is kept when a process ends.
    pub fn state_directory(&self) -> PathBuf {
        self.directory.join("kept")
    }

    /// Returns the path of the log of all processes.
    pub fn log_path(&self) -> PathBuf {
        self.directory.join("log")
    }

    /// Saves the files of the state directory for [`StateDirectoryCondition::Earlier`].
    pub fn save_initial_files(&mut self) {
        self.initial_files = read_files(&self.state_directory());
    }

    /// Changes the state directory for the next process; `other` is the state directory of another balancer.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read, written or removed.
    pub fn prepare_state_directory(
        &self,
        state: StateDirectoryCondition,
        other: Option<&Path>,
    ) -> io::Result<()> {
        match state {
            StateDirectoryCondition::Kept
            | StateDirectoryCondition::Full
            | StateDirectoryCondition::ReadOnly => Ok(()),
            StateDirectoryCondition::Emptied => replace_files(&self.state_directory(), &BTreeMap::new()),
            StateDirectoryCondition::Earlier => replace_files(&self.state_directory(), &self.initial_files),
            StateDirectoryCondition::Other => {
                replace_files(&self.state_directory(), &other.map(read_files).unwrap_or_default())
            }
            StateDirectoryCondition::Hung => self.replace_states_with_pipes(),
            StateDirectoryCondition::HourOld => self.rewrite_states(age_by_one_hour),
            StateDirectoryCondition::Untrue => self.rewrite_states(falsify),
        }
    }

    /// Replaces each state file by a named pipe that nobody else opens, so that opening it blocks.
    fn replace_states_with_pipes(&self) -> io::Result<()> {
        for name in read_files(&self.state_directory()).keys().filter(|name| name.ends_with(".state")) {
            let path = self.state_directory().join(name);
            fs::remove_file(&path)?;
            nix::unistd::mkfifo(&path, nix::sys::stat::Mode::S_IRUSR | nix::sys::stat::Mode::S_IWUSR)?;
        }
        Ok(())
    }

    /// Changes the content of the state files and writes them in their valid format.
    fn rewrite_states(&self, change: fn(&mut PersistedState)) -> io::Result<()> {
        let mut files = read_files(&self.state_directory());
        for bytes in files.values_mut() {
            if let Ok(mut state) = state_file::decode(bytes) {
                change(&mut state);
                *bytes = state_file::encode(&state).map_err(|error| io::Error::other(error.to_string()))?;
            }
        }
        replace_files(&self.state_directory(), &files)
    }

    /// Starts a process with this configuration, even while another process of the balancer still runs.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written or the program cannot be started.
    pub fn spawn(&mut self, config: &Value, condition: StateDirectoryCondition) -> io::Result<Child> {
        let path = self.directory.join("config.json");
        fs::write(&path, config.to_string())?;
        self.start_count += 1;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).arg("serve").arg("--config").arg(&path);
        let state_directory = if condition == StateDirectoryCondition::ReadOnly {
            PathBuf::from(UNWRITABLE_DIRECTORY)
        } else {
            self.state_directory()
        };
        let mut text = self.fleet_settings.clone();
        if self.keeps_state {
            text += &format!(
                "[state]\nfolder = {:?}\nevery = \"250ms\"\n",
                state_directory.display().to_string()
            );
        }
        if !text.is_empty() {
            let fleet = self.directory.join("fleet.toml");
            fs::write(&fleet, text)?;
            command.arg("--fleet").arg(fleet);
        }
        command.env("TMPDIR", state_directory).env_remove("PROXY_CONTROL").env_remove("PROXY_CONFIG");
        command
            .env_remove("PROXY_ACCEPT_FD")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let is_full = condition == StateDirectoryCondition::Full;
        // Only async-signal-safe functions may run between fork and exec; these are three system calls.
        #[allow(unsafe_code)]
        unsafe {
            command.pre_exec(move || {
                // The process must not outlive a test cluster that is killed itself.
                nix::sys::prctl::set_pdeathsig(Signal::SIGKILL)?;
                if is_full {
                    // On a full disk every write fails. A file size limit does the same, once the signal that
                    // would end the process is ignored.
                    signal::signal(Signal::SIGXFSZ, signal::SigHandler::SigIgn)?;
                    nix::sys::resource::setrlimit(nix::sys::resource::Resource::RLIMIT_FSIZE, 0, 0)?;
                }
                Ok(())
            });
        }
        let mut child = command.spawn()?;
        let errors = child.stderr.take().expect("stderr is piped");
        let log = File::options().create(true).append(true).open(self.log_path())?;
        thread::spawn(move || copy_log(errors, log));
        Ok(child)
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The child is not reaped yet, so its id cannot belong to another process.
            let _ = signal::kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Stops the process with SIGSTOP.
    pub fn pause(&self) {
        self.send_signal(Signal::SIGSTOP);
    }

    /// Continues a paused process.
    pub fn resume(&self) {
        self.send_signal(Signal::SIGCONT);
    }

    /// Asks the process to exit, with SIGTERM.
    pub fn terminate(&self) {
        self.send_signal(Signal::SIGTERM);
    }

    /// Returns the id of the process, or 0 if none runs.
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the last lines of the log.
    pub fn log_tail(&self) -> String {
        let log = fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines: Vec<&str> = log.trim_end().lines().collect();
        lines[lines.len().saturating_sub(8)..].join("\n")
    }

    /// Reaps the process if it has exited and returns its exit code, or -1 if a signal ended it.
    pub fn try_reap(&mut self) -> Option<i32> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code().unwrap_or(-1))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Copies the log to its file. It reads on after the size limit, because a process whose log nobody reads
/// would block or fail at its next line.
fn copy_log(mut from: impl Read, mut to: File) {
    let (mut bytes, mut written) = ([0; 4096], 0);
    while let Ok(read) = from.read(&mut bytes) {
        if read == 0 {
            return;
        }
        if written < MAX_LOG_BYTES {
            written += read as u64;
            let _ = to.write_all(&bytes[..read]);
        }
    }
}
