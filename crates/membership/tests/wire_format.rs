//! Pins the bytes of membership messages, and the numbers that all nodes compute alike. Every field has a
//! different value, so that a swap of two fields or variants is detected.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use doorproxy::ids::Ticks;
use doorproxy_membership::message::{
    Envelope, Incarnation, MemberState, MemberUpdate, Message, NodeId, Nonce,
};
use doorproxy_membership::registry::RegistryRules;
use expect_test::expect;

#[path = "../../../tests/common/wire.rs"]
mod wire;

fn envelope(message: Message) -> Envelope {
    Envelope { sender: "n1".to_string(), incarnation: Incarnation(0x21), message, updates: Vec::new() }
}

/// Returns the variant's number on the wire and a description.
fn label(message: &Envelope) -> &'static str {
    match message.message {
        Message::Ping(_) => "0 direct probe",
        Message::Ack(_) => "1 acknowledgement",
        Message::IndirectPing(..) => "2 indirect probe",
        Message::Nack(_) => "3 negative acknowledgement",
        Message::Join => "4 join",
        Message::Heartbeat { .. } => "5 heartbeat",
        Message::RegistrySnapshot { .. } => "6 chunk of a registry snapshot",
        Message::RegistryUnchanged { .. } => "7 registry unchanged",
        Message::InGracePeriod(_) => "8 replica in its grace period",
        Message::Leave => "9 leave",
    }
}

#[test]
fn each_kind_of_message_keeps_its_bytes() {
    let messages = [
        Message::Ping(Nonce(0x11)),
        Message::Ack(Nonce(0x12)),
        Message::IndirectPing(Nonce(0x13), "n2".to_string()),
        Message::Nack(Nonce(0x14)),
        Message::Join,
        Message::Heartbeat { nonce: Nonce(0x15), rules_fingerprint: 0x16, known_version: 0x17 },
        Message::RegistrySnapshot {
            nonce: Nonce(0x31),
            version: 0x32,
            chunk: 0x33,
            chunk_count: 0x34,
            nodes: vec![NodeId(0x35), NodeId(0x36)],
        },
        Message::RegistryUnchanged { nonce: Nonce(0x18), version: 0x19 },
        Message::InGracePeriod(Nonce(0x1a)),
        Message::Leave,
    ]
    .map(envelope);
    wire::assert_wire_format(
        &messages,
        label,
        expect![[r#"
        0 direct probe: 026e3121001100
        1 acknowledgement: 026e3121011200
        2 indirect probe: 026e31210213026e3200
        3 negative acknowledgement: 026e3121031400
        4 join: 026e31210400
        5 heartbeat: 026e31210515161700
        6 chunk of a registry snapshot: 026e3121063132333402353600
        7 registry unchanged: 026e312107181900
        8 replica in its grace period: 026e3121081a00
        9 leave: 026e31210900
    "#]],
    );
}

/// Pins the encoded width of numbers that take all bytes of their type.
#[test]
fn the_largest_numbers_keep_their_bytes() {
    let snapshot = Message::RegistrySnapshot {
        nonce: Nonce(u64::MAX),
        version: u64::MAX - 1,
        chunk: u16::MAX,
        chunk_count: u16::MAX - 1,
        nodes: vec![NodeId(u64::MAX - 2)],
    };
    let messages = [
        envelope(Message::Heartbeat {
            nonce: Nonce(u64::MAX),
            rules_fingerprint: u64::MAX - 1,
            known_version: u64::MAX - 2,
        }),
        Envelope { incarnation: Incarnation(u64::MAX - 3), ..envelope(snapshot) },
    ];
    let largest = MemberUpdate {
        refutation_count: u32::MAX,
        incarnation: Incarnation(u64::MAX),
        ..update(MemberState::Alive, "255.255.255.255:65535")
    };
    wire::assert_wire_format(
        &[largest],
        update_label,
        expect![[r#"
        0 alive, at an IPv4 address: 026e33ffffffffffffffffff0100ffffffffffff030465617374ffffffff0f00
    "#]],
    );
    wire::assert_wire_format(
        &messages,
        label,
        expect![[r#"
        5 heartbeat: 026e312105ffffffffffffffffff01feffffffffffffffff01fdffffffffffffffff0100
        6 chunk of a registry snapshot: 026e31fcffffffffffffffff0106ffffffffffffffffff01feffffffffffffffff01ffff03feff0301fdffffffffffffffff0100
    "#]],
    );
}

fn update_label(update: &MemberUpdate) -> &'static str {
    match (update.state, update.address.is_ipv6()) {
        (MemberState::Alive, false) => "0 alive, at an IPv4 address",
        (MemberState::Suspect, false) => "1 suspect, at an IPv4 address",
        (MemberState::Dead, false) => "2 dead, at an IPv4 address",
        (MemberState::Left, false) => "3 left, at an IPv4 address",
        (MemberState::Alive, true) => "0 alive, at an IPv6 address",
        (MemberState::Suspect | MemberState::Dead | MemberState::Left, true) => "at an IPv6 address",
    }
}

fn update(state: MemberState, address: &str) -> MemberUpdate {
    MemberUpdate {
        name: "n3".to_string(),
        incarnation: Incarnation(0x41),
        address: address.parse::<SocketAddr>().expect("the address is valid"),
        zone: "east".to_string(),
        refutation_count: 0x42,
        state,
    }
}

fn updates() -> Vec<MemberUpdate> {
    let at_ipv4 = |state| update(state, "10.1.2.3:17185");
    let mut updates = [MemberState::Alive, MemberState::Suspect, MemberState::Dead, MemberState::Left]
        .map(at_ipv4)
        .to_vec();
    updates.push(update(MemberState::Alive, "[fd01:203::4]:17185"));
    updates
}

#[test]
fn updates_of_a_member_keep_their_bytes() {
    wire::assert_wire_format(
        &updates(),
        update_label,
        expect![[r#"
        0 alive, at an IPv4 address: 026e3341000a010203a1860104656173744200
        1 suspect, at an IPv4 address: 026e3341000a010203a1860104656173744201
        2 dead, at an IPv4 address: 026e3341000a010203a1860104656173744202
        3 left, at an IPv4 address: 026e3341000a010203a1860104656173744203
        0 alive, at an IPv6 address: 026e334101fd010203000000000000000000000004a1860104656173744200
    "#]],
    );
    let message = Envelope { updates: updates()[..2].to_vec(), ..envelope(Message::Ack(Nonce(0x11))) };
    wire::assert_wire_format(
        &[message],
        |_| "acknowledgement with two updates",
        expect![[r#"
        acknowledgement with two updates: 026e3121011102026e3341000a010203a1860104656173744200026e3341000a010203a1860104656173744201
    "#]],
    );
}

/// Replicas identify nodes by these hashes alone, so a name must have the same hash in every build.
#[test]
fn node_ids_are_the_same_in_every_build() {
    let mut numbers = String::new();
    for name in ["", "n1", "n2", "balancer-east-0017", "n\u{e9}"] {
        numbers += &format!("\"{}\": {:016x}\n", name.escape_default(), NodeId::from_name(name).0);
    }
    expect![[r#"
        "": 0000000000000000
        "n1": 4231268ad9c56f7c
        "n2": 4b7ef94fd5791186
        "balancer-east-0017": 2233f9f039358e40
        "n\u{e9}": 15056e8154cbba04
    "#]]
    .assert_eq(&numbers);
}

/// A replica ignores nodes whose fingerprint differs from its own, so equal rules must have the same
/// fingerprint in every build.
#[test]
fn rules_fingerprints_are_the_same_in_every_build() {
    let rules = |names: &[&str], seconds, drift| RegistryRules {
        replicas: names.iter().map(|name| NodeId::from_name(name)).collect::<BTreeSet<NodeId>>(),
        lease_duration: Ticks::from_secs_f64(seconds),
        clock_drift_ratio: drift,
    };
    let cases = [
        ("no replicas", rules(&[], 3.0, 0.01)),
        ("one replica", rules(&["n1"], 3.0, 0.01)),
        ("three replicas", rules(&["n1", "n2", "n3"], 3.0, 0.01)),
        ("three replicas, longer lease", rules(&["n1", "n2", "n3"], 3.5, 0.01)),
        ("three replicas, other clock drift", rules(&["n1", "n2", "n3"], 3.0, 0.02)),
        ("five replicas", rules(&["n1", "n2", "n3", "n4", "n5"], 3.0, 0.01)),
    ];
    let mut numbers = String::new();
    for (label, rules) in cases {
        let (fingerprint, retention, majority) = (rules.fingerprint(), rules.retention().0, rules.majority());
        numbers +=
            &format!("{label}: {fingerprint:016x}, retention {retention} ticks, majority {majority}\n");
    }
    expect![[r#"
        no replicas: 8185c051370f55e7, retention 61207 ticks, majority 1
        one replica: 314d4e50d58df96e, retention 61207 ticks, majority 1
        three replicas: 4d1f0d053beaa2b6, retention 61207 ticks, majority 2
        three replicas, longer lease: e536a0e074a52c79, retention 71408 ticks, majority 2
        three replicas, other clock drift: 72973f363816bc14, retention 62425 ticks, majority 2
        five replicas: 226cd84e87035641, retention 61207 ticks, majority 3
    "#]]
    .assert_eq(&numbers);
}
