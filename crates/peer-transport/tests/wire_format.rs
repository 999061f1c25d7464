//! Pins the bytes of sealed datagrams: magic, format version, channel, message and keyed hash.

use doorproxy_peer_transport::cluster_keys::ClusterKeys;
use doorproxy_peer_transport::datagram::{Channel, DatagramCodec};
use expect_test::expect;

#[path = "../../../tests/common/hex.rs"]
mod hex;

const ALL: [Channel; 5] =
    [Channel::Membership, Channel::Leases, Channel::Quotas, Channel::Overrides, Channel::FaultReports];

/// Returns the channel's number on the wire and its name.
fn label(channel: Channel) -> &'static str {
    match channel {
        Channel::Membership => "1 membership",
        Channel::Leases => "2 leases",
        Channel::Quotas => "3 quotas",
        Channel::Overrides => "4 overrides",
        Channel::FaultReports => "5 fault reports",
    }
}

type Payload = (u32, String, Vec<u64>);

fn payload() -> Payload {
    (0x11, "n1".to_string(), vec![0x12, 0x13, u64::MAX])
}

/// Creates a codec with keys that each consist of one repeated byte.
fn codec(cluster: &str, key_bytes: &[&str]) -> DatagramCodec {
    let lines: Vec<String> = key_bytes.iter().map(|byte| byte.repeat(32)).collect();
    DatagramCodec::new(cluster, ClusterKeys::parse(&lines.join("\n")).expect("a key file"))
}

fn lines(codec: &DatagramCodec) -> String {
    let mut lines = String::new();
    for channel in ALL {
        let datagram = codec.seal(channel, &payload()).expect("the payload fits into a datagram");
        lines += &format!("{}: {}\n", label(channel), hex::encode(&datagram));
    }
    lines
}

/// Checks that the codec opens the datagrams of `lines`.
fn assert_opened(codec: &DatagramCodec, lines: &str) {
    assert_eq!(lines.lines().count(), ALL.len());
    for (channel, line) in ALL.into_iter().zip(lines.lines()) {
        let (_, text) = line.rsplit_once(": ").expect("a label and the bytes");
        let datagram = hex::decode(text);
        let (opened, bytes) = codec.open(&datagram).expect("a datagram of this cluster");
        assert_eq!(opened, channel, "{line}");
        assert_eq!(DatagramCodec::decode(bytes), Ok(payload()), "{line}");
    }
}

#[test]
fn a_sealed_datagram_keeps_its_bytes_on_each_channel() {
    let sealing = codec("quotes", &["0a"]);
    let datagrams = lines(&sealing);
    expect![[r#"
        1 membership: 6470010111026e31031213ffffffffffffffffff01ca6c0db191b0f24c167446d4c54391b0
        2 leases: 6470010211026e31031213ffffffffffffffffff01d80c71fc3f58c12cc4c3538fedd2dae5
        3 quotas: 6470010311026e31031213ffffffffffffffffff01a13eb05ade5cdd148c16174e5f778578
        4 overrides: 6470010411026e31031213ffffffffffffffffff01f8a1689982c597a16c6b7af043ee7eb1
        5 fault reports: 6470010511026e31031213ffffffffffffffffff0102539a505c8322068f48fdc5430f0ba2
    "#]]
    .assert_eq(&datagrams);
    assert_opened(&sealing, &datagrams);
    // The first of two keys seals, and either opens.
    assert_eq!(lines(&codec("quotes", &["0a", "0b"])), datagrams);
    assert_opened(&codec("quotes", &["0b", "0a"]), &datagrams);
}

#[test]
fn another_cluster_or_key_changes_only_the_hash() {
    let mut lines = String::new();
    for (label, codec) in [
        ("another cluster", codec("reports", &["0a"])),
        ("no cluster name", codec("", &["0a"])),
        ("another key", codec("quotes", &["f0"])),
    ] {
        let datagram = codec.seal(Channel::Membership, &payload()).expect("the payload fits into a datagram");
        lines += &format!("{label}: {}\n", hex::encode(&datagram));
    }
    expect![[r#"
        another cluster: 6470010111026e31031213ffffffffffffffffff0168fae360416417d85cc8c49a531fa7ce
        no cluster name: 6470010111026e31031213ffffffffffffffffff01f4834075165ce0b26b0e7f3c66cb020b
        another key: 6470010111026e31031213ffffffffffffffffff017eca559ec9ec840a8f5a8278cb8109e1
    "#]]
    .assert_eq(&lines);
}
