//! Tests of how the test cluster behaves when a part of it fails.

use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use doorproxy_process_tests::cluster::{RunOptions, run_scenario};
use doorproxy_process_tests::node::Node;
use doorproxy_process_tests::scenario::{Scenario, StateDirectoryCondition};
use serde_json::json;

/// The timeout of every wait; each of them normally takes much less.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Detects a wait of a minute for a program that rejected its configuration and exited.
#[test]
fn program_that_exits_before_it_is_ready_is_an_error_at_once() {
    let directory = tempfile::tempdir().unwrap();
    let program = Path::new("/bin/false").to_path_buf();
    let options = RunOptions { program, ..RunOptions::with_built_program(directory.path()).unwrap() };
    let scenario = Scenario::parse("seed = 1\nseconds = 3.0").unwrap();
    let start = Instant::now();
    let error = run_scenario(&scenario, &options).map(|_| ()).unwrap_err();
    assert!(error.contains("ended before it was ready"), "{error}");
    assert!(start.elapsed() < TIMEOUT, "it took {:?}", start.elapsed());
}

fn is_running(process: u32) -> bool {
    Path::new("/proc").join(process.to_string()).exists()
}

/// Detects processes that outlive a test that panicked.
#[test]
fn process_is_killed_and_reaped_when_its_test_panics() {
    let directory = tempfile::tempdir().unwrap();
    let program = RunOptions::with_built_program(directory.path()).unwrap().program;
    let id = Mutex::new(0);
    let panicked = std::panic::catch_unwind(|| {
        let mut node = Node::new("n0", directory.path(), &program, &[]).unwrap();
        node.child = Some(node.spawn(&json!({}), StateDirectoryCondition::Kept).unwrap());
        *id.lock().unwrap() = node.process_id();
        assert!(is_running(node.process_id()));
        panic!("a panic as in a failing test");
    });
    assert!(panicked.is_err());
    assert!(!is_running(id.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner())));
}

fn children(process: u32) -> Vec<u32> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let lists = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    lists
        .flat_map(|list| list.split_whitespace().map(|id| id.parse().unwrap()).collect::<Vec<u32>>())
        .collect()
}

/// Detects balancers that outlive a test cluster that is killed, and a truncated history that
/// is checked as if it were complete.
#[test]
fn killed_cluster_ends_its_processes_and_leaves_a_history() {
    let directory = tempfile::tempdir().unwrap();
    let scenario = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/half-paused.toml");
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorproxy-processes"));
    command.args(["play", "--script"]).arg(&scenario).arg("--out").arg(directory.path());
    let mut cluster = command.stdout(Stdio::null()).spawn().unwrap();
    let deadline = Instant::now() + TIMEOUT;
    let history = directory.path().join("history.jsonl");
    let is_under_way = || std::fs::metadata(&history).is_ok_and(|file| file.len() > 50_000);
    while (children(cluster.id()).len() < 6 || !is_under_way()) && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    let processes = children(cluster.id());
    assert_eq!(processes.len(), 6);
    cluster.kill().unwrap();
    cluster.wait().unwrap();
    while processes.iter().any(|id| is_running(*id)) {
        assert!(Instant::now() < deadline, "some of {processes:?} still run");
        std::thread::sleep(Duration::from_millis(10));
    }
    let output = Command::new(env!("CARGO_BIN_EXE_doorproxy-processes"))
        .args(["check", "--script"])
        .arg(&scenario)
        .arg(&history)
        .output()
        .unwrap();
    let output = String::from_utf8(output.stdout).unwrap();
    assert!(output.contains("0 violations in"), "{output}");
}
