//! Pins the bytes of the messages about operator overrides and fault reports, the digests by which overrides
//! are compared, and the file that stores overrides. Every field has a different value, so that a swap of two
//! fields or variants is detected.

use doorproxy::ids::Timestamp;
use doorproxy_fleet_health::fault_reports::{self, AttributedReport, EndpointIncarnation, FaultReport};
use doorproxy_fleet_health::gossip;
use doorproxy_fleet_health::operator_overrides::{Digests, Override, OverrideEntry, OverrideRegister};
use doorproxy_membership::message::{NodeId, Nonce};
use expect_test::expect;

#[path = "../../../tests/common/wire.rs"]
mod wire;

fn entry(name: &str, version: u64, is_ejected: bool, author: u64) -> OverrideEntry {
    OverrideEntry {
        endpoint: name.to_string(),
        value: Override { version, is_ejected, author: NodeId(author) },
    }
}

fn entries() -> Vec<OverrideEntry> {
    vec![entry("s-1", 0x31, true, 0x32), entry("s-2", 0x33, false, 0x34)]
}

/// Returns the variant's number on the wire and a description.
fn override_label(message: &gossip::Message) -> &'static str {
    match message {
        gossip::Message::DigestRequest { .. } => "0 digest request",
        gossip::Message::DigestResponse { .. } => "1 digest response",
        gossip::Message::Push { .. } => "2 push",
    }
}

#[test]
fn each_kind_of_message_about_overrides_keeps_its_bytes() {
    let digests: Digests = std::array::from_fn(|bucket| 0x10 + bucket as u64);
    let messages = [
        gossip::Message::DigestRequest { digests },
        gossip::Message::DigestResponse { digests, entries: entries() },
        gossip::Message::Push { entries: entries() },
    ];
    wire::assert_wire_format(
        &messages,
        override_label,
        expect![[r#"
        0 digest request: 00101112131415161718191a1b1c1d1e1f
        1 digest response: 01101112131415161718191a1b1c1d1e1f0203732d3131013203732d32330034
        2 push: 020203732d3131013203732d32330034
    "#]],
    );
}

/// Holds a message about faults with its sender, which precedes it on the wire.
type FromBalancer = (NodeId, fault_reports::Message);

/// Returns the variant's number on the wire and a description, which says what is absent.
fn fault_label((_, message): &FromBalancer) -> &'static str {
    match message {
        fault_reports::Message::Request { last_number: None, reports, .. } if reports.is_empty() => {
            "0 first request, empty"
        }
        fault_reports::Message::Request { last_number: None, .. } => "0 first request",
        fault_reports::Message::Request { last_number: Some(_), .. } => "0 later request",
        fault_reports::Message::Response { reports, .. } if reports.is_empty() => "1 response, empty",
        fault_reports::Message::Response { .. } => "1 response",
    }
}

fn report(name: &str, started_ms: i64, age_ticks: i64) -> FaultReport {
    FaultReport { endpoint: EndpointIncarnation { name: name.to_string(), started_ms }, age_ticks }
}

#[test]
fn each_kind_of_message_about_faults_keeps_its_bytes() {
    let (nonce, zone) = (Nonce(0x21), NodeId(0x22));
    let request =
        |last_number, reports| fault_reports::Message::Request { nonce, last_number, zone, reports };
    let reports = vec![report("s-1", 0x11, 0x12), report("s-2", 0x13, 0x14)];
    let first =
        AttributedReport { reporter: NodeId(0x41), zone: NodeId(0x42), report: report("s-1", 0x15, 0x16) };
    let second =
        AttributedReport { reporter: NodeId(0x43), zone: NodeId(0x44), report: report("s-2", 0x17, 0x18) };
    let messages = [
        request(None, Vec::new()),
        request(None, reports.clone()),
        request(Some(Nonce(0x23)), reports),
        fault_reports::Message::Response { nonce, number: Nonce(0x24), reports: Vec::new() },
        fault_reports::Message::Response { nonce, number: Nonce(0x24), reports: vec![first, second] },
    ]
    .map(|message| (NodeId(0x51), message));
    wire::assert_wire_format(
        &messages,
        fault_label,
        expect![[r#"
        0 first request, empty: 510021002200
        0 first request: 51002100220203732d31222403732d322628
        0 later request: 5100210123220203732d31222403732d322628
        1 response, empty: 5101212400
        1 response: 5101212402414203732d312a2c434403732d322e30
    "#]],
    );
}

/// Pins the encoded width and sign of numbers that take all bytes of their type.
#[test]
fn the_largest_numbers_keep_their_bytes() {
    let push = gossip::Message::Push { entries: vec![entry("s-3", u64::MAX, true, u64::MAX - 1)] };
    wire::assert_wire_format(
        &[push],
        override_label,
        expect![[r#"
        2 push: 020103732d33ffffffffffffffffff0101feffffffffffffffff01
    "#]],
    );
    let request = fault_reports::Message::Request {
        nonce: Nonce(u64::MAX),
        last_number: Some(Nonce(u64::MAX - 1)),
        zone: NodeId(u64::MAX - 2),
        reports: vec![report("s-3", i64::MAX, i64::MIN)],
    };
    let from = NodeId(u64::MAX - 3);
    wire::assert_wire_format(
        &[(from, request)],
        fault_label,
        expect![[r#"
        0 later request: fcffffffffffffffff0100ffffffffffffffffff0101feffffffffffffffff01fdffffffffffffffff010103732d33feffffffffffffffff01ffffffffffffffffff01
    "#]],
    );
}

fn some_overrides() -> OverrideRegister {
    let mut overrides = OverrideRegister::default();
    for number in 1..=20 {
        overrides.merge(Timestamp(number * 100), &entry(&format!("s-{number}"), 2, number % 3 != 0, 0x61));
    }
    overrides
}

/// Detects different digests for the same overrides, with which balancers would exchange entries
/// without end.
#[test]
fn overrides_have_the_same_digests_everywhere() {
    let mut lines = String::new();
    for (bucket, digest) in some_overrides().digests().into_iter().enumerate() {
        lines += &format!("bucket {bucket:02}: {digest:016x}\n");
    }
    let mut changed = some_overrides();
    changed.merge(Timestamp(1), &entry("s-1", 3, false, 0x62));
    let buckets = changed.digests().into_iter().zip(some_overrides().digests()).enumerate();
    for (bucket, (digest, _)) in buckets.filter(|(_, (digest, before))| digest != before) {
        lines += &format!("bucket {bucket:02} after a change: {digest:016x}\n");
    }
    expect![[r#"
        bucket 00: f9af17ccd6aad117
        bucket 01: 0000000000000000
        bucket 02: 3506ded439340f66
        bucket 03: a1a4e47f856a0912
        bucket 04: 89022c22229ba26e
        bucket 05: c6c70bc77ab29e52
        bucket 06: 0000000000000000
        bucket 07: 76670cb4a1c76c68
        bucket 08: 00a97e13f9a6521b
        bucket 09: 0000000000000000
        bucket 10: 2f7f619a95cc5c05
        bucket 11: be8bd4b82d6f9b89
        bucket 12: 5a71d640b1d0b921
        bucket 13: 0000000000000000
        bucket 14: d344869ba5f4cf60
        bucket 15: aaeb7abf4c10092c
        bucket 10 after a change: 248eab60dab68531
    "#]]
    .assert_eq(&lines);
}

/// A later program must be able to read the file.
#[test]
fn the_file_of_overrides_keeps_its_form() {
    let mut overrides = OverrideRegister::default();
    for (number, entry) in entries().iter().enumerate() {
        overrides.merge(Timestamp(70 + number as i64), entry);
    }
    let text = overrides.encode();
    expect![[r#"
        out 49 0000000000000032 70 s-1 4d027e0e
        back 51 0000000000000034 71 s-2 ab3a7679
    "#]]
    .assert_eq(&text);
    let decoded = OverrideRegister::decode(Timestamp(1_000), &text);
    assert_eq!(decoded.unreadable_lines, 0);
    assert_eq!(decoded.register.iter().collect::<Vec<_>>(), overrides.iter().collect::<Vec<_>>());
}
