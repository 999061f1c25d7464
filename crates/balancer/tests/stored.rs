//! Tests that the files in a balancer's directory keep their names and formats: stored files are found, read
//! completely, and written again byte for byte.

use std::path::Path;

use doorproxy::ids::Timestamp;
use doorproxy_balancer::admin::overrides::{FileStore, ManualOverrides, TextStore};
use doorproxy_balancer::handover::{ProcessLocks, Siblings};

const OVERRIDES: &str = include_str!("../testdata/doorproxy-n0.bans");
const FLEET_OVERRIDES: &str = include_str!("../../fleet-health/testdata/doorproxy-n0.words");
const LEARNED: &str = include_str!("../../../testdata/doorproxy-n0.process-learned");

#[test]
fn stored_overrides_are_written_again_unchanged() {
    let decoded = ManualOverrides::decode(OVERRIDES);
    assert_eq!(decoded.damaged_lines, 0);
    let overrides = decoded.overrides;
    assert_eq!(["u1", "u2", "u3"].map(|name| overrides.is_ejected(name)), [false, true, false]);
    let restored = ["u1", "u2", "u3"].map(|name| overrides.restored_since(name));
    assert_eq!(restored, [None, None, Some(Timestamp(17_962_886_007_430))]);
    assert_eq!(overrides.encode(), OVERRIDES);
}

#[test]
fn override_files_keep_their_names() {
    let path = |text: &str| Path::new(env!("CARGO_MANIFEST_DIR")).join(text);
    assert_eq!(FileStore::for_balancer(&path("testdata"), "n0").read().unwrap(), OVERRIDES);
    assert_eq!(
        FileStore::for_fleet(&path("../fleet-health/testdata"), "n0").read().unwrap(),
        FLEET_OVERRIDES
    );
    let directory = tempfile::tempdir().unwrap();
    FileStore::for_balancer(directory.path(), "n0").update(&mut |_| OVERRIDES.to_string()).unwrap();
    FileStore::for_fleet(directory.path(), "n0").update(&mut |_| FLEET_OVERRIDES.to_string()).unwrap();
    let written = |name: &str| std::fs::read_to_string(directory.path().join(name)).unwrap();
    assert_eq!(written("doorproxy-n0.bans"), OVERRIDES);
    assert_eq!(written("doorproxy-n0.words"), FLEET_OVERRIDES);
}

#[test]
fn snapshot_file_keeps_its_name() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("doorproxy-n0.process-learned");
    std::fs::write(&file, LEARNED).unwrap();
    let process = ProcessLocks::register(directory.path(), "n0").unwrap();
    assert!(process.load_snapshot().as_deref() == Some(LEARNED));
    std::fs::remove_file(&file).unwrap();
    process.save_snapshot(LEARNED).unwrap();
    assert!(std::fs::read_to_string(&file).unwrap() == LEARNED);
}
