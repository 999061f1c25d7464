//! A process that saves its state is killed repeatedly at arbitrary points. Every state that it reported as
//! saved must be stored afterwards.

use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::Duration;

use doorproxy_recovery::age::ClockReading;
use doorproxy_recovery::state_directory::{LoadError, LocalDisk, StateDirectory};
use doorproxy_recovery::state_file::{PersistedEndpoint, PersistedState};

const STATE_DIRECTORY_VARIABLE: &str = "DOORPROXY_TEST_WRITES";
/// Sets the number of kills. For a longer run, set `DOORPROXY_KILLS=5000`.
const DEFAULT_KILLS: u64 = 150;

fn state(version: u64) -> PersistedState {
    let endpoint = |n: u64| PersistedEndpoint {
        id: format!("s-{n}"),
        address: "127.0.0.1:80".to_string(),
        zone: "east".to_string(),
        kind: "small".to_string(),
        cell: 0,
        status: "active".to_string(),
        weight: 1.0,
        started_ms: 0,
    };
    let reading = ClockReading { wall_ms: version, boot_id: String::new(), since_boot_ms: 0 };
    // The state is long enough that a write takes more than one system call.
    let endpoints = (0..200 + version % 300).map(endpoint).collect();
    PersistedState {
        balancer: "n0".to_string(),
        written_at: reading.clone(),
        list_confirmed_at: reading,
        list_version: version,
        endpoints,
        learned_state: "hint 0.5\n".repeat(10_000),
    }
}

/// Runs in the child process that is killed, and does nothing when it runs as a test by itself.
#[test]
fn child_saves_states_until_killed() {
    let Some(path) = std::env::var_os(STATE_DIRECTORY_VARIABLE) else { return };
    let mut states = StateDirectory::new(LocalDisk, Path::new(&path));
    let first = states.load("n0").map_or(0, |state| state.list_version);
    // The test runner captures standard output, so the parent reads standard error.
    let mut report = std::io::stderr().lock();
    for version in first + 1.. {
        states.save(&state(version)).unwrap();
        writeln!(report, "saved {version}").unwrap();
    }
}

#[test]
fn a_saved_state_survives_a_kill_at_any_point() {
    let directory = std::env::temp_dir().join(format!("doorproxy-kill-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let kill_count =
        std::env::var("DOORPROXY_KILLS").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_KILLS);
    let mut last_saved = 0;
    for iteration in 0..kill_count {
        let mut writer = Command::new(std::env::current_exe().unwrap());
        writer
            .args(["--exact", "child_saves_states_until_killed", "--nocapture", "--test-threads=1"])
            .env(STATE_DIRECTORY_VARIABLE, &directory);
        let mut writer = writer.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(writer.stderr.take().unwrap()).lines().map_while(Result::ok);
        let saved_version =
            |line: &String| line.strip_prefix("saved ").and_then(|text| text.parse::<u64>().ok());
        // The kill comes at some point during the saves after the first one.
        let first = lines.find_map(|line| saved_version(&line)).expect("a saved state");
        std::thread::sleep(Duration::from_micros(iteration * 7919 % 5000));
        writer.kill().unwrap();
        writer.wait().unwrap();
        let reported = lines.filter_map(|line| saved_version(&line)).last().unwrap_or(first);
        assert!(reported > last_saved, "saved {reported} after {last_saved}");
        last_saved = reported;
        let found = StateDirectory::new(LocalDisk, &directory).load("n0");
        match found {
            // A save that was not reported before the kill may also have succeeded.
            Ok(found) => {
                assert!(
                    found == state(last_saved) || found == state(last_saved + 1),
                    "found {} after saving {last_saved}",
                    found.list_version
                );
            }
            Err(LoadError::NotFound) => panic!("no state file after saving {last_saved}"),
            Err(error) => panic!("{error} after saving {last_saved}"),
        }
    }
    std::fs::remove_dir_all(&directory).unwrap();
}
