//! The format of a datagram: two magic bytes, the format version, the channel, the message in postcard
//! encoding, and 16 bytes of a keyed hash over all of these and the cluster's name.
//!
//! The hash authenticates a datagram but does not encrypt it. A sealed datagram can be opened for as long as
//! its key is in use, so each protocol must detect outdated messages itself.

use serde::Serialize;
use serde::de::DeserializeOwned;

pub use crate::channel::Channel;
use crate::cluster_keys::{ClusterKeys, Key};

/// Limits the bytes of a datagram, so that common network paths do not fragment it.
pub const MAX_DATAGRAM_BYTES: usize = 1200;

const MAGIC: [u8; 2] = *b"dp";
/// Identifies the format. It is raised with each incompatible change of a message, and a program with a new
/// version must also read the version before it.
const FORMAT_VERSION: u8 = 1;
const VERSION_OFFSET: usize = 2;
const CHANNEL_OFFSET: usize = 3;
const HEADER_BYTES: usize = 4;
const MAC_BYTES: usize = 16;

/// Holds the keyed hash of a datagram.
type Mac = [u8; MAC_BYTES];

/// Says why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
pub enum DatagramError {
    /// The datagram lacks the magic bytes, or its length is out of bounds.
    #[error("not a datagram of this protocol")]
    Malformed,
    /// The datagram was not sealed by a key of this cluster, or was changed in transit.
    #[error("not sealed by a key of this cluster")]
    Unauthenticated,
    /// The datagram is authentic, but its version or channel is unknown because a newer program sent it.
    #[error("unknown format version or channel")]
    UnknownVersion,
    /// The datagram is authentic, but its content is not a message of its channel.
    #[error("not a message of its channel")]
    Undecodable,
}

/// Holds the channel of an authentic datagram and the bytes of its message.
pub type OpenedDatagram<'a> = (Channel, &'a [u8]);

/// Seals and opens the datagrams of one cluster.
#[derive(Clone, Debug)]
pub struct DatagramCodec {
    cluster: String,
    keys: ClusterKeys,
}

impl DatagramCodec {
    /// Creates a codec for the cluster with this name and its keys.
    pub fn new(cluster: &str, keys: ClusterKeys) -> DatagramCodec {
        DatagramCodec { cluster: cluster.to_string(), keys }
    }

    fn mac(&self, key: &Key, bytes: &[u8]) -> Mac {
        let mut hasher = blake3::Hasher::new_keyed(key);
        // The length distinguishes pairs of name and bytes whose concatenations are equal.
        hasher.update(&(self.cluster.len() as u64).to_le_bytes());
        hasher.update(self.cluster.as_bytes());
        hasher.update(bytes);
        let mut mac = [0; MAC_BYTES];
        hasher.finalize_xof().fill(&mut mac);
        mac
    }

    /// Returns the datagram for a message, sealed with the primary key. Returns `None` if it would be longer
    /// than [`MAX_DATAGRAM_BYTES`], or if the message can't be encoded.
    pub fn seal(&self, channel: Channel, message: &impl Serialize) -> Option<Vec<u8>> {
        let mut datagram = MAGIC.to_vec();
        datagram.push(FORMAT_VERSION);
        datagram.push(channel.to_byte());
        datagram.extend(postcard::to_allocvec(message).ok()?);
        let mac = self.mac(self.keys.primary(), &datagram);
        datagram.extend(mac);
        (datagram.len() <= MAX_DATAGRAM_BYTES).then_some(datagram)
    }

    /// Authenticates a datagram. Returns its channel and the bytes of its message, which are input for
    /// [`DatagramCodec::decode`].
    ///
    /// # Errors
    /// Returns an error if the datagram is malformed, is not authentic, or has an unknown version or channel,
    /// checked in this order.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Result<OpenedDatagram<'a>, DatagramError> {
        let is_valid_length = (HEADER_BYTES + MAC_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len());
        if !is_valid_length || !datagram.starts_with(&MAGIC) {
            return Err(DatagramError::Malformed);
        }
        let (content, mac) = datagram.split_last_chunk::<MAC_BYTES>().ok_or(DatagramError::Malformed)?;
        if !self.is_authentic(content, mac) {
            return Err(DatagramError::Unauthenticated);
        }
        if content[VERSION_OFFSET] != FORMAT_VERSION {
            return Err(DatagramError::UnknownVersion);
        }
        let channel = Channel::from_byte(content[CHANNEL_OFFSET]).ok_or(DatagramError::UnknownVersion)?;
        Ok((channel, &content[HEADER_BYTES..]))
    }

    fn is_authentic(&self, content: &[u8], mac: &Mac) -> bool {
        self.keys.iter().any(|key| equals_in_constant_time(&self.mac(key, content), mac))
    }

    /// Decodes a message that [`DatagramCodec::open`] returned.
    ///
    /// # Errors
    /// Returns [`DatagramError::Undecodable`] if the bytes are not exactly one message of this type.
    pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, DatagramError> {
        match postcard::take_from_bytes(bytes) {
            Ok((message, [])) => Ok(message),
            _ => Err(DatagramError::Undecodable),
        }
    }
}

/// Compares two hashes in constant time, so that timing reveals nothing about the expected hash.
fn equals_in_constant_time(expected: &Mac, actual: &Mac) -> bool {
    let pairs = expected.iter().zip(actual);
    pairs.fold(0, |difference, (a, b)| difference | (a ^ b)) == 0
}

#[cfg(test)]
mod tests;
