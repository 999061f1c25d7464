//! Pins the encoding of quota messages and the ids and shards that all balancers derive from a limit's name.
//! Every field has a distinct value, so that the test detects swapped fields or variants.

use std::collections::BTreeMap;

use doorproxy::ids::Ticks;
use doorproxy_leases::messages::{self as leases, Ballot, LeaseId, ProcessIdentity};
use doorproxy_membership::message::{Incarnation, NodeId};
use doorproxy_quotas::messages::{Allocation, Demand, Envelope, LimitId, Message, Nonce, Shard};
use doorproxy_quotas::rules::QuotaRules;
use expect_test::expect;

#[path = "../../../tests/common/wire.rs"]
mod wire;

/// Names a message by its variant's position on the wire and by which optional parts are absent.
fn label(message: &Envelope) -> &'static str {
    match &message.message {
        Message::Lease(leases::Message::Prepare { .. }) => "0 lease message, first kind",
        Message::Lease(_) => "0 lease message, another kind",
        Message::AllocationRequest { demands, .. } if demands.is_empty() => {
            "1 allocation request without demands"
        }
        Message::AllocationRequest { .. } => "1 allocation request",
        Message::AllocationGrant { allocations, .. } if allocations.is_empty() => {
            "2 allocation grant without allocations"
        }
        Message::AllocationGrant { .. } => "2 allocation grant",
        Message::Redirect { allocator: None, .. } => "3 redirect without an allocator",
        Message::Redirect { allocator: Some(_), .. } => "3 redirect",
    }
}

fn message(message: Message) -> Envelope {
    Envelope { sender: ProcessIdentity { node: NodeId(0x11), incarnation: Incarnation(0x12) }, message }
}

#[test]
fn each_message_kind_keeps_its_encoding() {
    let (lease, ballot) = (LeaseId(0x21), Ballot { round: 0x22, proposer: 0x23, incarnation: 0x24 });
    let (shard, nonce) = (Shard(0x31), Nonce(0x32));
    let demands = vec![
        Demand { limit: LimitId(0x33), requested: 0x34, arrival_rate_tenths: 0x35 },
        Demand { limit: LimitId(0x36), requested: 0x37, arrival_rate_tenths: 0x38 },
    ];
    let allocations = vec![
        Allocation { limit: LimitId(0x41), granted: 0x42, expected_rate_tenths: 0x43 },
        Allocation { limit: LimitId(0x44), granted: 0x45, expected_rate_tenths: 0x46 },
    ];
    let messages = [
        Message::Lease(leases::Message::Prepare { lease, ballot }),
        Message::Lease(leases::Message::InGracePeriod { lease, ballot }),
        Message::AllocationRequest { shard, nonce, demands: Vec::new() },
        Message::AllocationRequest { shard, nonce, demands },
        Message::AllocationGrant { nonce, allocations: Vec::new() },
        Message::AllocationGrant { nonce, allocations },
        Message::Redirect { nonce, allocator: None },
        Message::Redirect { nonce, allocator: Some(NodeId(0x47)) },
    ]
    .map(message);
    wire::assert_wire_format(
        &messages,
        label,
        expect![[r#"
        0 lease message, first kind: 1112000021222324
        0 lease message, another kind: 1112000521222324
        1 allocation request without demands: 111201313200
        1 allocation request: 111201313202333435363738
        2 allocation grant without allocations: 1112023200
        2 allocation grant: 1112023202414243444546
        3 redirect without an allocator: 1112033200
        3 redirect: 111203320147
    "#]],
    );
}

/// The largest values need every byte of their type, so they pin the width of each field.
#[test]
fn largest_values_keep_their_encoding() {
    let nonce = Nonce(u64::MAX);
    let demand =
        Demand { limit: LimitId(u64::MAX - 1), requested: u32::MAX, arrival_rate_tenths: u32::MAX - 1 };
    let allocation =
        Allocation { limit: LimitId(u64::MAX - 1), granted: u32::MAX, expected_rate_tenths: u32::MAX - 1 };
    let messages = [
        Message::AllocationRequest { shard: Shard(u16::MAX), nonce, demands: vec![demand] },
        Message::AllocationGrant { nonce, allocations: vec![allocation] },
    ]
    .map(message);
    wire::assert_wire_format(
        &messages,
        label,
        expect![[r#"
        1 allocation request: 111201ffff03ffffffffffffffffff0101feffffffffffffffff01ffffffff0ffeffffff0f
        2 allocation grant: 111202ffffffffffffffffff0101feffffffffffffffff01ffffffff0ffeffffff0f
    "#]],
    );
}

/// A client sends its requests to the node that allocates the shard derived here, so all builds must derive
/// the same ids and shards.
#[test]
fn limit_ids_and_shards_derived_from_names_are_stable() {
    let rules = |shards| QuotaRules {
        limits: BTreeMap::new(),
        shard_count: shards,
        contact_timeout: Ticks::from_secs_f64(2.0),
        clock_drift_ratio: 0.01,
    };
    let mut numbers = String::new();
    for name in ["tenant 1", "tenant 2", "tenant quotes", ""] {
        let limit = LimitId::from_name(name);
        let shards = [1, 3, 5, 7].map(|shards| rules(shards).shard_of(limit).0);
        numbers += &format!("{name:?}: {:016x}, of 1, 3, 5 and 7 shards {shards:?}\n", limit.0);
    }
    expect![[r#"
        "tenant 1": 2194623c228a9d6e, of 1, 3, 5 and 7 shards [0, 1, 3, 0]
        "tenant 2": 22ea5e454c7fcc50, of 1, 3, 5 and 7 shards [0, 0, 3, 2]
        "tenant quotes": 3baa3d13a3268f52, of 1, 3, 5 and 7 shards [0, 0, 0, 6]
        "": 0000000000000000, of 1, 3, 5 and 7 shards [0, 0, 0, 0]
    "#]]
    .assert_eq(&numbers);
}
