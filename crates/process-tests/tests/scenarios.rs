//! What becomes of a test cluster that breaks down itself.

use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use doorproxy_process_tests::cluster::{RunOptions, run_scenario};
use doorproxy_process_tests::node::Node;
use doorproxy_process_tests::scenario::{Scenario, StateDirectoryCondition};
use serde_json::json;

/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(60);

/// Guards against a minute of waiting for a program that has refused its configuration.
#[test]
fn a_program_that_ends_before_it_is_ready_is_told_at_once() {
    let folder = tempfile::tempdir().unwrap();
    let program = Path::new("/bin/false").to_path_buf();
    let staging = RunOptions { program, ..RunOptions::with_built_program(folder.path()).unwrap() };
    let begun = Instant::now();
    let error =
        run_scenario(&Scenario::parse("seed = 1\nseconds = 3.0").unwrap(), &staging).map(|_| ()).unwrap_err();
    assert!(error.contains("ended before it was ready"), "{error}");
    assert!(begun.elapsed() < PATIENCE, "it took {:?}", begun.elapsed());
}

fn is_there(process: u32) -> bool {
    Path::new("/proc").join(process.to_string()).exists()
}

/// Guards against processes that outlive a test which panicked.
#[test]
fn a_panic_ends_and_reaps_the_process() {
    let folder = tempfile::tempdir().unwrap();
    let program = RunOptions::with_built_program(folder.path()).unwrap().program;
    let id = Mutex::new(0);
    let panicked = std::panic::catch_unwind(|| {
        let mut node = Node::new("n0", folder.path(), &program, &[]).unwrap();
        node.child = Some(node.spawn(&json!({}), StateDirectoryCondition::Kept).unwrap());
        *id.lock().unwrap() = node.process_id();
        assert!(is_there(node.process_id()));
        panic!("as a test does");
    });
    assert!(panicked.is_err());
    assert!(!is_there(id.into_inner().unwrap_or_else(|of| of.into_inner())));
}

fn children(process: u32) -> Vec<u32> {
    let tasks = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let told = tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    told.flat_map(|told| told.split_whitespace().map(|id| id.parse().unwrap()).collect::<Vec<u32>>())
        .collect()
}

/// Guards against balancers that go on when the test cluster itself is killed, and against a history without
/// an end that passes for a whole one.
#[test]
fn a_stage_that_is_killed_takes_its_processes_with_it_and_leaves_a_history() {
    let folder = tempfile::tempdir().unwrap();
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios/half-paused.toml");
    let mut stage = Command::new(env!("CARGO_BIN_EXE_doorproxy-processes"));
    stage.args(["play", "--script"]).arg(&script).arg("--out").arg(folder.path());
    let mut stage = stage.stdout(Stdio::null()).spawn().unwrap();
    let until = Instant::now() + PATIENCE;
    let history = folder.path().join("history.jsonl");
    let is_under_way = || std::fs::metadata(&history).is_ok_and(|file| file.len() > 50_000);
    while (children(stage.id()).len() < 6 || !is_under_way()) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(10));
    }
    let left = children(stage.id());
    assert_eq!(left.len(), 6);
    stage.kill().unwrap();
    stage.wait().unwrap();
    while left.iter().any(|id| is_there(*id)) {
        assert!(Instant::now() < until, "{left:?} go on");
        std::thread::sleep(Duration::from_millis(10));
    }
    let told = Command::new(env!("CARGO_BIN_EXE_doorproxy-processes"))
        .args(["check", "--script"])
        .arg(&script)
        .arg(&history)
        .output()
        .unwrap();
    let told = String::from_utf8(told.stdout).unwrap();
    assert!(told.contains("0 violations in"), "{told}");
}
