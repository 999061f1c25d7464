//! Encodes bytes as hexadecimal text, for tests that pin a wire format.

use std::fmt::Write;

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").expect("a write to a string cannot fail");
    }
    text
}

/// # Panics
/// If the text is not an even number of hexadecimal digits.
pub fn decode(text: &str) -> Vec<u8> {
    let byte = |start| u8::from_str_radix(&text[start..start + 2], 16).expect("two hexadecimal digits");
    (0..text.len()).step_by(2).map(byte).collect()
}
