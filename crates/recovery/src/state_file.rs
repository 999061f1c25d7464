//! The format of a state file: a magic line, the format version, the length and checksum of the body, and the
//! body, which is a [`PersistedState`] in postcard encoding. Numbers are little-endian. The checksum covers
//! both header and body, so that a change of any byte is detected.

pub use crate::learned_state::{has_settings, prepend_settings, transferable_learned_state};
pub use crate::persisted_state::{PersistedEndpoint, PersistedState};

const MAGIC: &[u8; 16] = b"doorproxy state\n";
const VERSION_OFFSET: usize = MAGIC.len();
const LENGTH_OFFSET: usize = VERSION_OFFSET + size_of::<u32>();
const CHECKSUM_OFFSET: usize = LENGTH_OFFSET + size_of::<u64>();
const HEADER_BYTES: usize = CHECKSUM_OFFSET + size_of::<u32>();

/// Sets the format version that is written. Later programs must still read this version, and this program
/// leaves files of a later version unchanged.
pub const FORMAT_VERSION: u32 = 1;
/// Limits the size of the body in bytes. This is far more than any fleet needs.
pub const MAX_STATE_BYTES: usize = 16 << 20;
/// Limits the bytes that are read of a file. This is more than the longest valid file has, so that a longer
/// file is recognised.
pub(crate) const MAX_READ_BYTES: usize = MAX_STATE_BYTES + 64;
/// Limits the endpoints of a state. This is more than any fleet has.
const MAX_ENDPOINTS: usize = 20_000;

/// Says why bytes are not a valid state file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateFileError {
    /// The magic line is missing.
    #[error("the file is not a doorproxy state file")]
    NotAStateFile,
    /// The file ends early.
    #[error("the state file is truncated")]
    Truncated,
    /// The checksum does not match, or the body is not a valid state.
    #[error("the state file is corrupt: wrong checksum or invalid body")]
    Corrupt,
    /// A newer program wrote the file.
    #[error("format version {0} is from a newer program; this one reads versions up to {FORMAT_VERSION}")]
    NewerVersion(u32),
    /// The body is longer than [`MAX_STATE_BYTES`].
    #[error("the state is longer than {MAX_STATE_BYTES} bytes")]
    TooLarge,
}

/// Encodes a state as the bytes of a state file.
///
/// # Errors
/// Returns [`StateFileError::TooLarge`] if the state is longer than [`decode`] accepts.
pub fn encode(state: &PersistedState) -> Result<Vec<u8>, StateFileError> {
    let body = postcard::to_stdvec(state).map_err(|_| StateFileError::Corrupt)?;
    encode_frame(FORMAT_VERSION, &body)
}

fn encode_frame(version: u32, body: &[u8]) -> Result<Vec<u8>, StateFileError> {
    if body.len() > MAX_STATE_BYTES {
        return Err(StateFileError::TooLarge);
    }
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    let checksum = checksum(&bytes, body);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// Computes the checksum of header and body. It includes the header, so that a damaged version or length is
/// detected.
fn checksum(header: &[u8], body: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(header), body)
}

fn read_array<const N: usize>(bytes: &[u8], offset: usize) -> Result<[u8; N], StateFileError> {
    let array = bytes.get(offset..offset + N).and_then(|array| array.try_into().ok());
    array.ok_or(StateFileError::Truncated)
}

/// Decodes the bytes of a state file.
///
/// # Errors
/// Returns an error if the bytes are not a valid state file. A change of any byte is detected.
pub fn decode(bytes: &[u8]) -> Result<PersistedState, StateFileError> {
    check_magic(bytes)?;
    let version = u32::from_le_bytes(read_array(bytes, VERSION_OFFSET)?);
    let body = checked_body(bytes)?;
    // The checksum matches, so the file is as some program wrote it, and an unknown version is not damage.
    if version != FORMAT_VERSION {
        return Err(StateFileError::NewerVersion(version));
    }
    let state: PersistedState = postcard::from_bytes(body).map_err(|_| StateFileError::Corrupt)?;
    if state.endpoints.len() > MAX_ENDPOINTS {
        return Err(StateFileError::Corrupt);
    }
    Ok(state)
}

fn check_magic(bytes: &[u8]) -> Result<(), StateFileError> {
    if bytes.starts_with(MAGIC) {
        Ok(())
    } else if MAGIC.starts_with(bytes) {
        Err(StateFileError::Truncated)
    } else {
        Err(StateFileError::NotAStateFile)
    }
}

/// Checks the length and checksum, and returns the body.
fn checked_body(bytes: &[u8]) -> Result<&[u8], StateFileError> {
    let length = u64::from_le_bytes(read_array(bytes, LENGTH_OFFSET)?);
    let expected_checksum = u32::from_le_bytes(read_array(bytes, CHECKSUM_OFFSET)?);
    if length > MAX_STATE_BYTES as u64 {
        return Err(StateFileError::TooLarge);
    }
    let body = &bytes[HEADER_BYTES..];
    let body_bytes = body.len() as u64;
    if body_bytes < length {
        return Err(StateFileError::Truncated);
    }
    if body_bytes > length || checksum(&bytes[..CHECKSUM_OFFSET], body) != expected_checksum {
        return Err(StateFileError::Corrupt);
    }
    Ok(body)
}

#[cfg(test)]
mod tests;
