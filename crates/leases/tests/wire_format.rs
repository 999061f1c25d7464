//! Pins the encoding of lease messages and the ids that all balancers derive from a lease's name. Every field
//! has a distinct value, so that the test detects swapped fields or variants.

use doorproxy_leases::messages::{
    AcceptedLease, Ballot, Envelope, FencingToken, LeaseId, LeaseValue, Message, ProcessIdentity,
};
use doorproxy_membership::message::{Incarnation, NodeId};
use expect_test::expect;

#[path = "../../../tests/common/wire.rs"]
mod wire;

const LEASE: LeaseId = LeaseId(0x11);
const BALLOT: Ballot = Ballot { round: 0x12, proposer: 0x13, incarnation: 0x14 };
const OTHER_BALLOT: Ballot = Ballot { round: 0x15, proposer: 0x16, incarnation: 0x17 };

fn value(holder: Option<ProcessIdentity>) -> LeaseValue {
    LeaseValue { holder, token: FencingToken(0x23), duration_ticks: 0x24 }
}

fn held() -> LeaseValue {
    value(Some(ProcessIdentity { node: NodeId(0x21), incarnation: Incarnation(0x22) }))
}

/// Names a message by its variant's position on the wire and by which optional parts are absent.
fn label(message: &Envelope) -> &'static str {
    match message.message {
        Message::Prepare { .. } => "0 prepare request",
        Message::Promise { accepted: None, .. } => "1 promise, nothing accepted before",
        Message::Promise {
            accepted: Some(AcceptedLease { value: LeaseValue { holder: None, .. }, .. }),
            ..
        } => "1 promise, a released lease accepted before",
        Message::Promise { accepted: Some(_), .. } => "1 promise, a held lease accepted before",
        Message::Accept { value: LeaseValue { holder: None, .. }, .. } => {
            "2 accept request for a released lease"
        }
        Message::Accept { .. } => "2 accept request for a held lease",
        Message::Accepted { .. } => "3 accepted response",
        Message::Rejected { .. } => "4 rejection",
        Message::InGracePeriod { .. } => "5 acceptor in its grace period",
    }
}

#[test]
fn each_message_kind_keeps_its_encoding() {
    let promise = |accepted| Message::Promise { lease: LEASE, ballot: BALLOT, accepted };
    let messages = [
        Message::Prepare { lease: LEASE, ballot: BALLOT },
        promise(None),
        promise(Some(AcceptedLease { value: value(None), remaining_ticks: 0x25 })),
        promise(Some(AcceptedLease { value: held(), remaining_ticks: 0x25 })),
        Message::Accept { lease: LEASE, ballot: BALLOT, value: value(None) },
        Message::Accept { lease: LEASE, ballot: BALLOT, value: held() },
        Message::Accepted { lease: LEASE, ballot: BALLOT },
        Message::Rejected { lease: LEASE, ballot: BALLOT, promised: OTHER_BALLOT },
        Message::InGracePeriod { lease: LEASE, ballot: BALLOT },
    ]
    .map(|message| Envelope { sender: "n1".to_string(), message });
    wire::assert_wire_format(
        &messages,
        label,
        expect![[r#"
        0 prepare request: 026e310011121314
        1 promise, nothing accepted before: 026e31011112131400
        1 promise, a released lease accepted before: 026e310111121314010023484a
        1 promise, a held lease accepted before: 026e3101111213140101212223484a
        2 accept request for a released lease: 026e310211121314002348
        2 accept request for a held lease: 026e3102111213140121222348
        3 accepted response: 026e310311121314
        4 rejection: 026e310411121314151617
        5 acceptor in its grace period: 026e310511121314
    "#]],
    );
}

/// The largest values need every byte of their type, so they pin the width and sign of each field.
#[test]
fn largest_values_keep_their_encoding() {
    let holder = ProcessIdentity { node: NodeId(u64::MAX - 4), incarnation: Incarnation(u64::MAX - 5) };
    let value =
        LeaseValue { holder: Some(holder), token: FencingToken(u64::MAX - 6), duration_ticks: i64::MAX };
    let message = Message::Promise {
        lease: LeaseId(u64::MAX),
        ballot: Ballot { round: u64::MAX - 1, proposer: u64::MAX - 2, incarnation: u64::MAX - 3 },
        accepted: Some(AcceptedLease { value, remaining_ticks: i64::MIN }),
    };
    let envelope = Envelope { sender: "n1".to_string(), message };
    wire::assert_wire_format(
        &[envelope],
        label,
        expect![[r#"
        1 promise, a held lease accepted before: 026e3101ffffffffffffffffff01feffffffffffffffff01fdffffffffffffffff01fcffffffffffffffff010101fbffffffffffffffff01faffffffffffffffff01f9ffffffffffffffff01feffffffffffffffff01ffffffffffffffffff01
    "#]],
    );
}

/// Acceptors identify leases by these ids alone, so all builds must derive the same ids.
#[test]
fn lease_ids_derived_from_names_are_stable() {
    let mut numbers = String::new();
    for (name, slot) in
        [("backup", 0), ("backup", 1), ("backup", u16::MAX), ("limits", 0), ("limits", 2), ("", 0)]
    {
        numbers += &format!("{name:?} {slot}: {:016x}\n", LeaseId::from_name(name, slot).0);
    }
    expect![[r#"
        "backup" 0: fa31ea96d7b0cc5c
        "backup" 1: aca3fc8bc7bbc9b9
        "backup" 65535: 4855949811e6b829
        "limits" 0: 8cade4f0fa2c9741
        "limits" 2: 577fdc67c00783cb
        "" 0: 0000000000000000
    "#]]
    .assert_eq(&numbers);
}
