//! Tests of [`super`].

use super::*;

/// Detects two test clusters on one machine that receive each other's connections.
#[test]
fn two_clusters_never_share_a_block() {
    let (one, other) = (AddressBlock::claim().unwrap(), AddressBlock::claim().unwrap());
    assert_ne!(one.service("n0"), other.service("n0"));
    assert_ne!(one.proxy("n0", "u1"), one.proxy("n1", "u1"));
    assert_eq!(one.proxy("n0", "u1").ip(), one.service("u1").ip());
}
