//! What can be wrong with the input of the adapter, and where.

use std::io;

use doorproxy::settings::decode::SettingsError;
use thiserror::Error;

/// Why the adapter ends before the end of its input.
#[derive(Debug, Error)]
pub enum WireError {
    /// The bytes of a batch are not what the wire page says.
    #[error("batch {batch}, byte {byte}: {error}")]
    Malformed {
        /// The number that the simulator gave to the batch; 0 until it has been read.
        batch: u32,
        /// Offset in the frame.
        byte: usize,
        /// The error at that offset.
        #[source]
        error: FrameError,
    },
    /// Standard input failed.
    #[error("standard input could not be read: {0}")]
    Read(#[source] io::Error),
    /// Standard output failed.
    #[error("batch {batch}: the reply could not be written: {source}")]
    Write {
        /// The batch that was answered.
        batch: u32,
        /// The failure of the write.
        source: io::Error,
    },
}

/// States what is wrong at an offset of a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame has fewer bytes left than the field needs.
    #[error("expected {field} of {length} bytes")]
    Truncated {
        /// The field, with its article.
        field: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// A number is infinite or NaN.
    #[error("expected a finite {0}")]
    NotFinite(&'static str),
    /// A value is neither defined by the protocol nor set before.
    #[error("expected {valid} before here, not {found}")]
    InvalidValue {
        /// What a valid value is.
        valid: &'static str,
        /// The value that was received.
        found: u64,
    },
    /// The slot of an endpoint list is out of range.
    #[error("expected a list number under {slots} before here, not {found}")]
    ListOutOfRange {
        /// The number of slots.
        slots: u32,
        /// The number that was received.
        found: u32,
    },
    /// The settings of the instance do not define the request class.
    #[error("expected a request class of the settings before here")]
    UnknownClass,
    /// The length is less than that of the batch header.
    #[error("expected a length of {min} or more, not {found}")]
    LengthTooSmall {
        /// The length of the header in bytes.
        min: usize,
        /// The length that was received.
        found: usize,
    },
    /// There are bytes after the last record.
    #[error("expected the end of the frame")]
    TrailingBytes,
    /// The settings cannot be decoded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
