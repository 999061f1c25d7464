//! The errors of the adapter, with the position of the fault in its input.

use std::io;

use doorproxy::settings::decode::SettingsError;
use thiserror::Error;

/// The reason why the adapter exits before the end of its input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A batch does not follow the protocol.
    #[error("batch {batch}, byte {byte}: {error}")]
    Malformed {
        /// The simulator's number for the batch, or 0 until it has been read.
        batch: u32,
        /// The offset in the frame at which the fault was found.
        byte: usize,
        /// The error at that offset.
        #[source]
        error: FrameError,
    },
    /// Reading standard input failed.
    #[error("standard input: could not be read: {0}")]
    Read(#[source] io::Error),
    /// Writing standard output failed.
    #[error("batch {batch}: the reply could not be written: {source}")]
    Write {
        /// The number of the batch that the reply belongs to.
        batch: u32,
        /// The cause of the failure.
        source: io::Error,
    },
}

/// States what is wrong at an offset of a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame has fewer bytes left than the field needs.
    #[error("expected {field} (length in bytes: {length})")]
    Truncated {
        /// The name of the field.
        field: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// A number is infinite or NaN.
    #[error("expected a finite {0}")]
    NotFinite(&'static str),
    /// A value is neither defined by the protocol nor set before.
    #[error("expected {valid}, not {found}, in the field before it")]
    InvalidValue {
        /// What a valid value is.
        valid: &'static str,
        /// The value that was received.
        found: u64,
    },
    /// The slot of an endpoint list is out of range.
    #[error("expected a list number under {slots}, not {found}, in the field before it")]
    ListOutOfRange {
        /// The number of slots.
        slots: u32,
        /// The number that was received.
        found: u32,
    },
    /// The settings of the instance do not define the request class.
    #[error("expected a request class of the settings in the record before it")]
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
