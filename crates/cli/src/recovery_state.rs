//! Stores the recovery state on its own thread, and reads the state that the last process stored. A start
//! waits at most [`READ_TIMEOUT`] for the disk, and no content of the directory can prevent it.

use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use doorproxy_balancer::log_line;
use doorproxy_balancer::recovery::{RestoredState, StateOwner, StateStore};
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_recovery::age::ClockReading;
use doorproxy_recovery::state_directory::{LoadError, LocalDisk, StateDirectory};
use doorproxy_recovery::state_file::{self, PersistedState};

use crate::error::ServeError;

const THREAD_NAME: &str = "state";
/// The longest wait for the stored state. Without it, a process starts as if its state directory were lost:
/// it gets the endpoints from discovery and serves.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
const MS_PER_SECOND: f64 = 1e3;

type LoadResult = Result<PersistedState, LoadError>;

/// The handle of the writer thread, and the state that the last process stored.
pub struct RecoveryStore {
    pub store: Arc<dyn StateStore>,
    pub restored: RestoredState,
}

/// The state store of this process: the machine's clocks and the queue of the writer thread.
struct StateWriter {
    write_queue: SyncSender<PersistedState>,
}

impl StateStore for StateWriter {
    fn read_clocks(&self) -> ClockReading {
        read_clocks()
    }

    fn save(&self, state: PersistedState) {
        // If the queue is full, this state is dropped; the next one replaces it anyway.
        let _ = self.write_queue.try_send(state);
    }
}

/// Reads the wall clock, the time since boot and the boot ID.
pub fn read_clocks() -> ClockReading {
    let read = |path: &str| std::fs::read_to_string(path).unwrap_or_default();
    let uptime = read("/proc/uptime");
    let uptime_s: Option<f64> = uptime.split(' ').next().and_then(|text| text.parse().ok());
    let boot_id = read("/proc/sys/kernel/random/boot_id").trim().to_string();
    ClockReading {
        wall_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64,
        // The boot ID and the time since boot are valid only together.
        boot_id: uptime_s.map_or(String::new(), |_| boot_id),
        since_boot_ms: uptime_s.map_or(0, |seconds| (seconds * MS_PER_SECOND) as u64),
    }
}

/// Starts the writer thread and restores the stored state. The thread does all disk access, so that a disk
/// that hangs delays the start by at most [`READ_TIMEOUT`].
///
/// # Errors
/// Returns an error if the thread can't be started.
pub fn start_state_writer(
    runtime: SystemRuntime,
    directory: &Path,
    owner: &StateOwner<'_>,
) -> Result<RecoveryStore, ServeError> {
    let (write_queue, states) = sync_channel::<PersistedState>(1);
    let (load_sender, loaded) = sync_channel(1);
    let mut directory = StateDirectory::new(LocalDisk, directory);
    let file = directory.state_path(owner.balancer);
    let balancer = owner.balancer.to_string();
    let run_writer = move || {
        // The send fails if the start has timed out waiting for the state.
        let _ = load_sender.send(directory.load(&balancer));
        write_states(runtime, &mut directory, &states);
    };
    let thread = std::thread::Builder::new().name(THREAD_NAME.to_string());
    thread.spawn(run_writer).map_err(ServeError::StateThread)?;
    let restored = restore_state(runtime, &file, owner.settings_hash, &loaded);
    Ok(RecoveryStore { store: Arc::new(StateWriter { write_queue }), restored })
}

/// Writes states until the process ends. Logs only changes of the outcome: a new error, or the first success
/// after one.
fn write_states(
    runtime: SystemRuntime,
    directory: &mut StateDirectory<LocalDisk>,
    states: &Receiver<PersistedState>,
) {
    let mut last_error = String::new();
    while let Ok(state) = states.recv() {
        let error = directory.save(&state).err().map_or(String::new(), |error| error.to_string());
        if error == last_error {
            continue;
        }
        if error.is_empty() {
            log_line!(runtime, "state: saving succeeds again");
        } else {
            log_line!(runtime, "state: could not be saved: {error}");
        }
        last_error = error;
    }
}

fn restore_state(
    runtime: SystemRuntime,
    file: &Path,
    settings_hash: u64,
    loaded: &Receiver<LoadResult>,
) -> RestoredState {
    let file = file.display();
    match loaded.recv_timeout(READ_TIMEOUT) {
        Ok(Ok(state)) if !state_file::has_settings(settings_hash, &state.learned_state) => {
            log_line!(runtime, "state: {file} is ignored: it was written under other settings");
            RestoredState::default()
        }
        Ok(Ok(state)) => {
            let endpoint_count = state.endpoints.len();
            let version = state.list_version;
            log_line!(runtime, "state: restored {endpoint_count} endpoints of list version {version}");
            RestoredState::from_state(state, &read_clocks())
        }
        Ok(Err(LoadError::NotFound)) => RestoredState::default(),
        Ok(Err(error)) => {
            log_line!(runtime, "state: {file} is ignored: {error}");
            RestoredState::default()
        }
        Err(_) => {
            log_line!(runtime, "state: {file} is ignored: it was not read within {READ_TIMEOUT:?}");
            RestoredState::default()
        }
    }
}
