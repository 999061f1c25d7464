use std::path::Path;

use super::*;
use crate::age::ClockReading;
use faulty_disk::FaultyDisk;

mod faulty_disk;

fn state(version: u64) -> PersistedState {
    let reading = ClockReading { wall_ms: version, boot_id: "b".to_string(), since_boot_ms: version };
    PersistedState {
        balancer: "n0".to_string(),
        written_at: reading.clone(),
        list_confirmed_at: reading,
        list_version: version,
        endpoints: Vec::new(),
        learned_state: "hint 0.5\n".repeat(version as usize * 100),
    }
}

fn directory(disk: FaultyDisk) -> StateDirectory<FaultyDisk> {
    StateDirectory::new(disk, Path::new("/state"))
}

/// Each disk call and each pair of calls of the first saves fails in turn. Either the old state or the new
/// one must then be intact.
#[test]
fn disk_errors_leave_the_old_state_or_the_new_one() {
    for first in 1..=14 {
        for second in first..=14 {
            let mut states =
                directory(FaultyDisk { failing_calls: vec![first, second], ..FaultyDisk::default() });
            let mut last_saved = None;
            for version in 1..=3 {
                if states.save(&state(version)).is_ok() {
                    last_saved = Some(version);
                }
            }
            states.disk.failing_calls.clear();
            let found = states.load("n0").ok().map(|state| state.list_version);
            // A state whose save failed only in its last call may still be stored completely.
            assert!(
                found >= last_saved,
                "calls {first} and {second} failed: {found:?} found, {last_saved:?} saved"
            );
            assert!(found.is_some(), "calls {first} and {second} failed: no state found");
        }
    }
}

/// No saved state is lost in a crash at any disk call, whether unsynced directory entries survive or not.
#[test]
fn crash_at_any_call_leaves_the_old_state_or_the_new_one() {
    let calls_of = |save_count: u64| {
        let mut states = directory(FaultyDisk::default());
        (1..=save_count).for_each(|version| states.save(&state(version)).unwrap());
        states.disk.call_count
    };
    for last_call in 0..=calls_of(3) {
        let mut states =
            directory(FaultyDisk { last_call_before_crash: Some(last_call), ..FaultyDisk::default() });
        let mut last_saved = 0;
        for version in 1..=3 {
            if states.save(&state(version)).is_ok() {
                last_saved = version;
            }
        }
        for keeps_unsynced_names in [false, true] {
            let mut recovered = directory(states.disk.after_crash(keeps_unsynced_names));
            match recovered.load("n0") {
                Ok(state) => assert!(
                    state.list_version >= last_saved && state.list_version <= last_saved + 1,
                    "after {last_call} calls: version {}",
                    state.list_version
                ),
                Err(LoadError::NotFound) => assert_eq!(last_saved, 0, "after {last_call} calls"),
                Err(error) => panic!("after {last_call} calls: {error}"),
            }
        }
    }
}

#[test]
fn other_balancers_and_newer_versions_are_rejected() {
    let mut states = directory(FaultyDisk::default());
    states.save(&state(1)).unwrap();
    let file = states.state_path("n0");
    let own = states.disk.current_bytes(&file).cloned().unwrap();
    let other = states.state_path("n1");
    states.disk.write_unsynced(&other, &own);
    assert!(matches!(states.load("n1"), Err(LoadError::OtherBalancer(name)) if name == "n0"));
    let mut newer = own;
    newer[16..20].copy_from_slice(&9u32.to_le_bytes());
    let (checked_header, rest) = newer.split_at(28);
    let checksum = crc32c::crc32c_append(crc32c::crc32c(checked_header), &rest[4..]);
    newer[28..32].copy_from_slice(&checksum.to_le_bytes());
    states.disk.write_unsynced(&file, &newer);
    assert!(matches!(states.save(&state(2)), Err(SaveError::NewerVersion(9))));
    assert_eq!(states.disk.current_bytes(&file), Some(&mut newer));
}

#[test]
fn two_balancer_names_never_share_a_file() {
    let states = directory(FaultyDisk::default());
    assert_ne!(states.state_path("a/b"), states.state_path("a_b"));
    assert_eq!(states.state_path("../n0").parent(), Some(Path::new("/state")));
}
