//! Tests how the processes of one balancer detect each other by their lock files.

use std::fmt::Write as _;
use std::path::Path;

use doorproxy_balancer::handover::{ProcessLocks, SentId, SiblingStatus, Siblings};
use expect_test::expect;

fn remaining_numbers(directory: &Path, prefix: &str) -> Vec<u64> {
    let names = std::fs::read_dir(directory).unwrap().map(|entry| entry.unwrap().file_name());
    names.filter_map(|name| name.to_str()?.strip_prefix(prefix)?.parse().ok()).collect()
}

#[test]
fn processes_detect_running_siblings_and_ignore_dead_ones() {
    let directory = std::env::temp_dir().join(format!("doorproxy-handover-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let mut trace = String::new();
    // This lock file was left by a process that was killed.
    std::fs::write(directory.join("doorproxy-n_0.process-7"), "serves\n").unwrap();
    let mut record = |observer: &str, process: &ProcessLocks| {
        let SiblingStatus { has_successor, has_starting_successor, has_predecessor, has_siblings } =
            process.status();
        writeln!(
            trace,
            "{observer}: successor {has_successor}, starting successor {has_starting_successor}, \
             predecessor {has_predecessor}, siblings {has_siblings}"
        )
        .unwrap();
    };
    let old = ProcessLocks::register(&directory, "n/0").unwrap();
    record("old, alone", &old);
    let other = ProcessLocks::register(&directory, "n1").unwrap();
    other.announce_serving().unwrap();
    let new = ProcessLocks::register(&directory, "n/0").unwrap();
    record("old, while new starts", &old);
    new.announce_serving().unwrap();
    old.announce_serving().unwrap();
    record("old, while new serves", &old);
    record("new, while old serves", &new);
    let newest = ProcessLocks::register(&directory, "n/0").unwrap();
    newest.announce_serving().unwrap();
    record("new, while newest serves", &new);
    drop(new);
    drop(newest);
    record("old, after others ended", &old);
    drop(old);
    let remaining = remaining_numbers(&directory, "doorproxy-n_0.process-");
    writeln!(trace, "remaining lock files {remaining:?}").unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    expect![[r#"
        old, alone: successor false, starting successor false, predecessor false, siblings false
        old, while new starts: successor false, starting successor true, predecessor false, siblings true
        old, while new serves: successor true, starting successor false, predecessor false, siblings true
        new, while old serves: successor false, starting successor false, predecessor true, siblings true
        new, while newest serves: successor true, starting successor false, predecessor true, siblings true
        old, after others ended: successor false, starting successor false, predecessor false, siblings false
        remaining lock files []
    "#]]
    .assert_eq(&trace);
}

/// Prevents that the last ids of a process that ends are lost, and that an id is read twice.
#[test]
fn shared_ids_are_read_once_also_after_their_process_ended() {
    let directory = tempfile::tempdir().unwrap();
    let older = ProcessLocks::register(directory.path(), "n0").unwrap();
    let newer = ProcessLocks::register(directory.path(), "n0").unwrap();
    let id = |hash, may_have_run| SentId { hash, may_have_run };
    older.share_sent_ids(&[id(1, true), id(2, true)]).unwrap();
    assert_eq!(newer.read_sent_ids(), [id(1, true), id(2, true)]);
    older.share_sent_ids(&[id(2, false)]).unwrap();
    older.share_sent_ids(&[id(3, true)]).unwrap();
    drop(older);
    assert_eq!(newer.read_sent_ids(), [id(2, false), id(3, true)]);
    assert_eq!(newer.read_sent_ids(), []);
    drop(newer);
    assert_eq!(std::fs::read_dir(directory.path()).unwrap().count(), 0);
}
