use proptest::prelude::*;

use super::*;
use crate::age::ClockReading;
use crate::persisted_state::PersistedEndpoint;

fn state() -> PersistedState {
    let endpoint = |n: u32| PersistedEndpoint {
        id: format!("s-{n}"),
        address: format!("10.0.0.{n}:80"),
        zone: "east".to_string(),
        kind: "small".to_string(),
        cell: 1,
        status: "active".to_string(),
        weight: 1.5,
        started_ms: i64::from(n) * 1000,
    };
    let reading = ClockReading { wall_ms: 1_700_000_000_000, boot_id: "b".to_string(), since_boot_ms: 77 };
    PersistedState {
        balancer: "n3".to_string(),
        written_at: reading.clone(),
        list_confirmed_at: reading,
        list_version: 41,
        endpoints: (0..5).map(endpoint).collect(),
        learned_state: "hint 0.01\nsent 7 12 0.5\n".to_string(),
    }
}

/// The file is as the first program with format version 1 wrote it. State directories still contain such
/// files.
#[test]
fn state_files_of_version_1_are_read_and_written() {
    assert_eq!(decode(include_bytes!("../../testdata/state-1")), Ok(state()));
    assert_eq!(encode(&state()).unwrap(), include_bytes!("../../testdata/state-1"));
}

#[test]
fn a_newer_version_is_distinguished_from_corruption() {
    let newer = encode_frame(FORMAT_VERSION + 1, b"any body").unwrap();
    assert_eq!(decode(&newer), Err(StateFileError::NewerVersion(FORMAT_VERSION + 1)));
    assert_eq!(decode(b""), Err(StateFileError::Truncated));
    assert_eq!(decode(b"something else"), Err(StateFileError::NotAStateFile));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(20_000))]

    /// Changed, truncated or extended bytes never decode as a state and never cause a panic.
    #[test]
    fn damaged_bytes_are_rejected(
        changes in prop::collection::vec((any::<prop::sample::Index>(), 1u8..), 0..4),
        new_length in prop::option::of(any::<prop::sample::Index>()),
        suffix in prop::collection::vec(any::<u8>(), 0..3),
    ) {
        let intact = encode(&state()).unwrap();
        let mut bytes = intact.clone();
        for (index, mask) in changes {
            let index = index.index(bytes.len());
            bytes[index] ^= mask;
        }
        if let Some(new_length) = new_length {
            bytes.truncate(new_length.index(bytes.len()));
        }
        bytes.extend(suffix);
        let decoded = decode(&bytes);
        prop_assert_eq!(decoded.is_ok(), bytes == intact, "{:?}", decoded);
    }

    #[test]
    fn decode_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), version in 0u32..4) {
        let _ = decode(&bytes);
        // A matching checksum must not cause a panic either, even for a body that no program wrote.
        let _ = decode(&encode_frame(version, &bytes).unwrap());
    }
}
