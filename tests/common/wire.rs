//! Compares messages with the bytes that balancers of earlier builds exchange. During a rolling upgrade both
//! builds run at the same time, so the order of fields and variants must not change. Their names are not on
//! the wire.

use std::fmt::Debug;

use expect_test::Expect;
use serde::Serialize;
use serde::de::DeserializeOwned;

#[path = "hex.rs"]
mod hex;

/// Encodes each message, compares the lines `label: bytes` with the expected text, and decodes the expected
/// bytes again.
///
/// # Panics
/// If the bytes differ, are decoded as another message, or are not fully consumed.
pub fn assert_wire_format<M>(messages: &[M], label: impl Fn(&M) -> &'static str, expected: Expect)
where
    M: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let mut lines = String::new();
    for message in messages {
        let bytes = postcard::to_allocvec(message).expect("every message can be encoded");
        lines += &format!("{}: {}\n", label(message), hex::encode(&bytes));
    }
    // The encoded bytes equal the expected ones from here on, so decoding these lines tests the expected
    // bytes.
    expected.assert_eq(&lines);
    for (message, line) in messages.iter().zip(lines.lines()) {
        let (_, text) = line.rsplit_once(": ").expect("a label and the bytes");
        let bytes = hex::decode(text);
        let (decoded, rest) = postcard::take_from_bytes::<M>(&bytes).expect("the bytes are a message");
        assert_eq!(&decoded, message, "{line}");
        assert!(rest.is_empty(), "{line}: bytes are left over");
    }
}
