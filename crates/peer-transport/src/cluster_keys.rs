//! The secret keys of a cluster, as read from a key file, which has one or two lines of 64 hexadecimal
//! digits. Blank lines and lines that begin with `#` are ignored.
//!
//! The first key seals datagrams; either key opens them. To rotate a key without rejected datagrams, add the
//! new key as the second line on every balancer, then make it the first line everywhere, then remove the old
//! one.

use std::fmt;
use std::str::FromStr;

const KEY_BYTES: usize = 32;
const KEY_HEX_DIGITS: usize = 2 * KEY_BYTES;

/// Holds one secret key.
pub(crate) type Key = [u8; KEY_BYTES];

/// Holds the keys that seal and open a cluster's datagrams. `Debug` prints the number of keys, never a key.
#[derive(Clone)]
pub struct ClusterKeys {
    primary: Key,
    secondary: Option<Key>,
}

/// Says why a text is not a valid key file. No variant contains any of the text, because a line with a
/// missing digit may be most of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFileError {
    /// A line is neither a key nor a comment.
    #[error(
        "line {line}: not a key ({length} characters), exactly {KEY_HEX_DIGITS} hexadecimal digits expected"
    )]
    InvalidLine {
        /// Holds the line's number, counted from 1.
        line: usize,
        /// Holds the line's length in characters, without surrounding white space.
        length: usize,
    },
    /// The file has no key.
    #[error("no key, one or two lines of {KEY_HEX_DIGITS} hexadecimal digits expected")]
    NoKey,
    /// The file has more than two keys.
    #[error("{0} keys, one or two expected")]
    TooManyKeys(usize),
}

impl fmt::Debug for ClusterKeys {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let key_count = 1 + usize::from(self.secondary.is_some());
        write!(formatter, "{key_count} keys")
    }
}

impl ClusterKeys {
    /// Parses the text of a key file.
    ///
    /// # Errors
    /// Returns the first line that is not a key as an error, and otherwise an error if there are not one or
    /// two keys.
    pub fn parse(text: &str) -> Result<ClusterKeys, KeyFileError> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().map(str::trim).enumerate() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let invalid = KeyFileError::InvalidLine { line: index + 1, length: line.chars().count() };
            keys.push(parse_key(line).ok_or(invalid)?);
        }
        match keys[..] {
            [primary] => Ok(ClusterKeys { primary, secondary: None }),
            [primary, secondary] => Ok(ClusterKeys { primary, secondary: Some(secondary) }),
            [] => Err(KeyFileError::NoKey),
            _ => Err(KeyFileError::TooManyKeys(keys.len())),
        }
    }

    /// Returns the key that seals.
    pub(crate) fn primary(&self) -> &Key {
        &self.primary
    }

    /// Returns the keys that open, the primary one first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Key> {
        std::iter::once(&self.primary).chain(&self.secondary)
    }
}

impl FromStr for ClusterKeys {
    type Err = KeyFileError;

    fn from_str(text: &str) -> Result<ClusterKeys, KeyFileError> {
        ClusterKeys::parse(text)
    }
}

fn parse_key(line: &str) -> Option<Key> {
    if line.len() != KEY_HEX_DIGITS || !line.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut key = [0; KEY_BYTES];
    for (index, byte) in key.iter_mut().enumerate() {
        let digits = &line[2 * index..2 * index + 2];
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(key)
}

#[cfg(test)]
mod tests;
