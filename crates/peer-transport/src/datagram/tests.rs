use proptest::prelude::*;

use super::*;

fn codec(cluster: &str, keys: &[&str]) -> DatagramCodec {
    let text: Vec<String> = keys.iter().map(|key| key.repeat(32)).collect();
    DatagramCodec::new(cluster, ClusterKeys::parse(&text.join("\n")).unwrap())
}

fn message() -> (u32, String, Vec<u64>) {
    (7, "n3".to_string(), vec![1, 2, u64::MAX])
}

/// A wrong seed address or a copied key file must not make a cluster accept members of another one.
#[test]
fn a_datagram_opens_only_in_its_own_cluster() {
    let cluster_codec = codec("quotes", &["0a", "0b"]);
    let datagram = cluster_codec.seal(Channel::Membership, &message()).unwrap();
    let opened =
        cluster_codec.open(&datagram).map(|(channel, bytes)| (channel, DatagramCodec::decode(bytes)));
    assert_eq!(opened, Ok((Channel::Membership, Ok(message()))));
    assert_eq!(codec("reports", &["0a"]).open(&datagram).err(), Some(DatagramError::Unauthenticated));
    assert_eq!(codec("quotes", &["0c"]).open(&datagram).err(), Some(DatagramError::Unauthenticated));
    // During a rotation the old key still opens datagrams on balancers where the new key already seals.
    assert!(codec("quotes", &["0d", "0a"]).open(&datagram).is_ok());
    assert!(codec("quotes", &["0b"]).open(&datagram).is_err(), "the second key does not seal");
    // The hash changes when a letter moves from the message to the cluster's name.
    assert_ne!(
        codec("q", &["0a"]).seal(Channel::Membership, &"x"),
        codec("qx", &["0a"]).seal(Channel::Membership, &"")
    );
}

#[test]
fn an_oversized_message_is_not_sealed() {
    let cluster_codec = codec("quotes", &["0a"]);
    assert!(
        cluster_codec
            .seal(Channel::Leases, &vec![0_u8; MAX_DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES - 2])
            .is_some()
    );
    assert!(
        cluster_codec
            .seal(Channel::Leases, &vec![0_u8; MAX_DATAGRAM_BYTES - HEADER_BYTES - MAC_BYTES - 1])
            .is_none()
    );
    assert_eq!(cluster_codec.open(&[0; MAX_DATAGRAM_BYTES + 1]).err(), Some(DatagramError::Malformed));
    let decoded = DatagramCodec::decode::<u8>(&[1, 2]);
    assert_eq!(decoded, Err(DatagramError::Undecodable));
}

fn case_count() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(20_000)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: case_count(),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A datagram with flipped, removed or appended bytes must not open, unless the result equals the
    /// original.
    #[test]
    fn a_damaged_datagram_is_rejected(
        flips in prop::collection::vec((any::<prop::sample::Index>(), 1_u8..), 0..4),
        new_length in any::<prop::sample::Index>(),
        suffix in prop::collection::vec(any::<u8>(), 0..40),
        is_truncated in any::<bool>(),
    ) {
        let cluster_codec = codec("quotes", &["0a"]);
        let datagram = cluster_codec.seal(Channel::Membership, &message()).unwrap();
        let mut damaged = datagram.clone();
        for (index, flip) in flips {
            let index = index.index(damaged.len());
            damaged[index] ^= flip;
        }
        if is_truncated {
            damaged.truncate(new_length.index(datagram.len() + 1));
        }
        damaged.extend(suffix);
        prop_assert_eq!(cluster_codec.open(&damaged).is_ok(), damaged == datagram);
    }
}
