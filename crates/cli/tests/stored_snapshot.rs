//! A process restores the learned-state snapshot of its predecessor, but only under the same settings. The
//! file was written by a balancer under load; the test plays the predecessor, and then the successor.

mod common;

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use common::{TEST_TIMEOUT, UNREACHABLE_ADDRESS, discovery_service};
use serde_json::{Value, json};

const STORED: &str = include_str!("../../../testdata/doorproxy-n0.process-learned");
/// The configuration of the process that wrote the snapshot.
const CONFIG: &str = include_str!("../../../testdata/balancer.json");
/// The time between two writes of the snapshot by the predecessor.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the Unix time in tenths of a millisecond.
fn now() -> i64 {
    (SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() / 100) as i64
}

/// Returns the index of the word that holds a time, if the line has one.
fn time_index(line: &str) -> Option<usize> {
    match line.split(' ').next().unwrap_or_default() {
        "doorproxy-learned" => Some(3),
        "sample" => Some(1),
        "sent" | "answered" => Some(2),
        _ => None,
    }
}

fn time(line: &str) -> Option<i64> {
    line.split(' ').nth(time_index(line)?).map(|word| word.parse().unwrap())
}

/// Returns the snapshot with all times moved by `by`.
fn shifted(text: &str, by: i64) -> String {
    let shift = |line: &str| {
        let Some(index) = time_index(line) else { return format!("{line}\n") };
        let mut words: Vec<String> = line.split(' ').map(String::from).collect();
        words[index] = (words[index].parse::<i64>().unwrap() + by).to_string();
        words.join(" ") + "\n"
    };
    text.lines().map(shift).collect()
}

fn head_time(text: &str) -> i64 {
    time(text.lines().next().unwrap()).unwrap()
}

/// Creates the file by which other processes recognize a process: it holds a lock on the file while it lives.
/// The file is locked before it gets its name, since an unlocked one would be taken for that of a dead
/// process.
fn process_file(folder: &Path, number: u32, text: &str) -> File {
    let new = folder.join(format!("doorproxy-n0.new-{number}"));
    let mut file = File::create(&new).unwrap();
    file.lock().unwrap();
    file.write_all(text.as_bytes()).unwrap();
    std::fs::hard_link(new, folder.join(format!("doorproxy-n0.process-{number}"))).unwrap();
    file
}

fn learned_file(folder: &Path) -> PathBuf {
    folder.join("doorproxy-n0.process-learned")
}

/// Writes the stored snapshot with the current time.
fn write_snapshot(folder: &Path) {
    let new = folder.join("doorproxy-n0.process-learned-1");
    std::fs::write(&new, shifted(STORED, now() - head_time(STORED))).unwrap();
    std::fs::rename(&new, learned_file(folder)).unwrap();
}

/// Writes the snapshot once before it returns, and then periodically until `stop` is set.
fn write_snapshots_until_stopped(folder: &Path, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    write_snapshot(folder);
    let folder = folder.to_path_buf();
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            write_snapshot(&folder);
            thread::sleep(WRITE_INTERVAL);
        }
    })
}

/// A process that is killed when the test ends, even if it fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process with a listening socket inherited the way the platform passes it, and waits until it
/// serves.
fn start(folder: &Path, mut config: Value, listener: TcpListener) -> Process {
    let servers = config["known"]["servers"].as_array_mut().unwrap();
    servers.iter_mut().for_each(|server| server["addr"] = json!(UNREACHABLE_ADDRESS));
    let list = config["known"].to_string();
    // A call that waits for a change stays unanswered.
    let service = discovery_service(move |call| (!call.contains("after=")).then(|| list.clone()));
    config["discovery"] = json!(service);
    config["listen"] = json!(listener.local_addr().unwrap());
    let file = folder.join("config.json");
    std::fs::write(&file, config.to_string()).unwrap();
    // `Command` can pass the socket only as standard input; the shell moves it to descriptor 3, as on the
    // platform.
    let shell_command = format!("exec 3<&0 </dev/null; exec {} serve", env!("CARGO_BIN_EXE_doorproxy"));
    let mut command = Command::new("sh");
    command.arg("-c").arg(shell_command).stdin(Stdio::from(std::os::fd::OwnedFd::from(listener)));
    command.env("TMPDIR", folder).env("PROXY_CONFIG", file).env("PROXY_ACCEPT_FD", "3");
    command.env_remove("PROXY_CONTROL").stderr(Stdio::piped());
    let mut process = Process(command.spawn().unwrap());
    let mut lines = BufReader::new(process.0.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.starts_with("server: serving on ")), "the process ended before it served");
    thread::spawn(move || lines.for_each(drop));
    process
}

/// Starts a process with this configuration while a predecessor writes the stored snapshot, and returns the
/// snapshot that the process writes for its own successor.
fn snapshot_for_successor(config: Value) -> String {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let _predecessor = process_file(folder, 1, "serves\n");
    let writer = write_snapshots_until_stopped(folder, stop.clone());
    let _process = start(folder, config, listener);
    stop.store(true, Ordering::Relaxed);
    writer.join().unwrap();
    std::fs::remove_file(learned_file(folder)).unwrap();
    let _successor = process_file(folder, 3, "");
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Ok(text) = std::fs::read_to_string(learned_file(folder)) {
            return text;
        }
        assert!(Instant::now() < deadline, "no snapshot was written for the successor");
        thread::sleep(Duration::from_millis(10));
    }
}

fn config() -> Value {
    serde_json::from_str(CONFIG).unwrap()
}

/// Returns whether a line is kept for the life of the process; `sent` and `answered` lines expire within
/// seconds.
fn is_lasting(line: &str) -> bool {
    !["doorproxy-learned ", "sent ", "answered "].iter().any(|word| line.starts_with(word))
}

fn first_sample(text: &str) -> i64 {
    time(text.lines().find(|line| line.starts_with("sample ")).unwrap()).unwrap()
}

/// Detects a successor that loses or invents lines of the snapshot it restores.
#[test]
fn successor_restores_snapshot_of_predecessor() {
    let written = snapshot_for_successor(config());
    let (stored, written) =
        (shifted(STORED, -first_sample(STORED)), shifted(&written, -first_sample(&written)));
    let lasting =
        |text: &str| text.lines().filter(|line| is_lasting(line)).map(String::from).collect::<Vec<_>>();
    assert_eq!(lasting(&written), lasting(&stored));
    let head = |text: &str| text.lines().next().unwrap().rsplit_once(' ').unwrap().0.to_string();
    assert_eq!(head(&written), head(&stored));
    let stored: BTreeSet<&str> = stored.lines().collect();
    let invented: Vec<&str> = written.lines().skip(1).filter(|line| !stored.contains(line)).collect();
    assert_eq!(invented, Vec::<&str>::new());
}

/// Detects restoring state that was learned under other settings.
#[test]
fn snapshot_from_other_settings_is_not_restored() {
    let mut config = config();
    config["settings"]["overage_benefit"] = json!(0.2);
    let written = snapshot_for_successor(config);
    assert_eq!(written.lines().skip(1).collect::<Vec<&str>>(), Vec::<&str>::new());
}
