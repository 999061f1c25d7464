//! A process takes up what an older one left of what it had learned, and only under the same settings. The file is one that a
//! balancer under load wrote; the test stands for the older process, and then for a younger one.

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
/// What the process that wrote it was started with.
const CONFIG: &str = include_str!("../../../testdata/balancer.json");
/// The older process leaves it anew this often.
const BETWEEN_WRITES: Duration = Duration::from_millis(50);

/// Tenths of a millisecond of Unix time.
fn now() -> i64 {
    (SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() / 100) as i64
}

/// Which word of a line is a time, if any.
fn place_of_time(line: &str) -> Option<usize> {
    match line.split(' ').next().unwrap_or_default() {
        "doorproxy-learned" => Some(3),
        "sample" => Some(1),
        "sent" | "answered" => Some(2),
        _ => None,
    }
}

fn time(line: &str) -> Option<i64> {
    line.split(' ').nth(place_of_time(line)?).map(|word| word.parse().unwrap())
}

/// The text as if it had been written so much later.
fn shifted(text: &str, by: i64) -> String {
    let shift = |line: &str| {
        let Some(place) = place_of_time(line) else { return format!("{line}\n") };
        let mut words: Vec<String> = line.split(' ').map(String::from).collect();
        words[place] = (words[place].parse::<i64>().unwrap() + by).to_string();
        words.join(" ") + "\n"
    };
    text.lines().map(shift).collect()
}

fn head_time(text: &str) -> i64 {
    time(text.lines().next().unwrap()).unwrap()
}

/// What a process is known to the others by: a file that it holds a lock on for as long as it lives. It is locked before it
/// has its name, or it would pass for that of a dead process.
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

/// Leaves the stored text, dated now.
fn leave(folder: &Path) {
    let new = folder.join("doorproxy-n0.process-learned-1");
    std::fs::write(&new, shifted(STORED, now() - head_time(STORED))).unwrap();
    std::fs::rename(&new, learned_file(folder)).unwrap();
}

/// Leaves it over and over until it is told to stop, from before this returns on.
fn leave_on(folder: &Path, stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
    leave(folder);
    let folder = folder.to_path_buf();
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            leave(&folder);
            thread::sleep(BETWEEN_WRITES);
        }
    })
}

/// Ended with the test, also one that failed.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a process on a listening socket as the platform hands it over, and waits until it serves.
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
    // What a process is started with stands at its standard input; the shell moves it to where the platform has it.
    let line = format!("exec 3<&0 </dev/null; exec {} serve", env!("CARGO_BIN_EXE_doorproxy"));
    let mut command = Command::new("sh");
    command.arg("-c").arg(line).stdin(Stdio::from(std::os::fd::OwnedFd::from(listener)));
    command.env("TMPDIR", folder).env("PROXY_CONFIG", file).env("PROXY_ACCEPT_FD", "3");
    command.env_remove("PROXY_CONTROL").stderr(Stdio::piped());
    let mut process = Process(command.spawn().unwrap());
    let mut lines = BufReader::new(process.0.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.any(|line| line.starts_with("server: serving on ")), "it ended before it served");
    thread::spawn(move || lines.for_each(drop));
    process
}

/// What a process of this configuration leaves for a younger one, after an older one has left the stored text.
fn handed_on(config: Value) -> String {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stop = Arc::new(AtomicBool::new(false));
    let _elder = process_file(folder, 1, "serves\n");
    let leaves = leave_on(folder, stop.clone());
    let _process = start(folder, config, listener);
    stop.store(true, Ordering::Relaxed);
    leaves.join().unwrap();
    std::fs::remove_file(learned_file(folder)).unwrap();
    let _heir = process_file(folder, 3, "");
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Ok(text) = std::fs::read_to_string(learned_file(folder)) {
            return text;
        }
        assert!(Instant::now() < until, "nothing was left for a younger process");
        thread::sleep(Duration::from_millis(10));
    }
}

fn config() -> Value {
    serde_json::from_str(CONFIG).unwrap()
}

/// Whether a line stays for as long as its process lives; what was sent and answered grows old within seconds.
fn is_lasting(line: &str) -> bool {
    !["doorproxy-learned ", "sent ", "answered "].iter().any(|word| line.starts_with(word))
}

fn first_sample(text: &str) -> i64 {
    time(text.lines().find(|line| line.starts_with("sample ")).unwrap()).unwrap()
}

#[test]
fn a_process_goes_on_from_the_stored_text_of_an_older_one() {
    let left = handed_on(config());
    let (stored, left) = (shifted(STORED, -first_sample(STORED)), shifted(&left, -first_sample(&left)));
    let lasting =
        |text: &str| text.lines().filter(|line| is_lasting(line)).map(String::from).collect::<Vec<_>>();
    assert_eq!(lasting(&left), lasting(&stored));
    let head = |text: &str| text.lines().next().unwrap().rsplit_once(' ').unwrap().0.to_string();
    assert_eq!(head(&left), head(&stored));
    let stored: BTreeSet<&str> = stored.lines().collect();
    let made_up: Vec<&str> = left.lines().skip(1).filter(|line| !stored.contains(line)).collect();
    assert_eq!(made_up, Vec::<&str>::new());
}

#[test]
fn what_was_learned_under_other_settings_is_left_alone() {
    let mut config = config();
    config["settings"]["overage_benefit"] = json!(0.2);
    let left = handed_on(config);
    assert_eq!(left.lines().skip(1).collect::<Vec<&str>>(), Vec::<&str>::new());
}
