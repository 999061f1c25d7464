//! A state file that a balancer wrote under load is read completely, and written back byte for byte.

use std::fmt::Write as _;
use std::path::Path;

use doorproxy_recovery::persisted_state::{PersistedEndpoint, PersistedState};
use doorproxy_recovery::state_directory::{LocalDisk, StateDirectory};
use expect_test::expect;

fn testdata() -> &'static Path {
    Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/testdata"))
}

fn load() -> PersistedState {
    StateDirectory::new(LocalDisk, testdata()).load("n0").unwrap()
}

#[test]
fn stored_state_is_read() {
    let state = load();
    let mut text = format!("{} list {}\n", state.balancer, state.list_version);
    for reading in [&state.written_at, &state.list_confirmed_at] {
        writeln!(text, "{} ms, {} ms since boot {}", reading.wall_ms, reading.since_boot_ms, reading.boot_id)
            .unwrap();
    }
    for endpoint in &state.endpoints {
        let PersistedEndpoint { id, address, zone, kind, cell, status, weight, started_ms } = endpoint;
        writeln!(
            text,
            "{id} at {address}, {zone}, {kind}, cell {cell}, {status}, weight {weight}, {started_ms} ms"
        )
        .unwrap();
    }
    let mut lines = state.learned_state.lines();
    writeln!(text, "{}\n{}", lines.next().unwrap(), lines.next().unwrap()).unwrap();
    writeln!(text, "and {} more lines", lines.count()).unwrap();
    expect![[r#"
        n0 list 9
        1796288606747 ms, 2012010 ms since boot 952f9774-3fda-49a5-ba88-ce942f9e4c84
        1796288605243 ms, 2010500 ms since boot 952f9774-3fda-49a5-ba88-ce942f9e4c84
        u0 at 127.3.227.10:6110, east, small, cell 0, active, weight 1, 1796288599249 ms
        u1 at 127.3.227.11:6110, west, small, cell 0, leaving, weight 1, 0 ms
        u2 at 127.3.227.12:6110, east, small, cell 0, active, weight 1, 0 ms
        u3 at 127.3.227.13:6110, west, small, cell 0, active, weight 1, 0 ms
        u4 at 127.3.227.14:6110, east, small, cell 0, active, weight 1, 0 ms
        u5 at 127.3.227.15:6110, west, small, cell 0, active, weight 1, 0 ms
        settings cf9dcef14bbdf60c
        sent 3715113093 17962886027701 0.01078
        and 99 more lines
    "#]]
    .assert_eq(&text);
}

#[test]
fn stored_state_is_written_back_byte_for_byte() {
    let directory = tempfile::tempdir().unwrap();
    StateDirectory::new(LocalDisk, directory.path()).save(&load()).unwrap();
    let written = std::fs::read(directory.path().join("n0.state")).unwrap();
    assert!(written == std::fs::read(testdata().join("n0.state")).unwrap());
}
