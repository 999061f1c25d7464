//! The errors of the adapter, with the position of the fault in its input.

use std::io;

use doorproxy::settings::decode::SettingsError;
use thiserror::Error;

/// The reason why the adapter exits before the end of its input.
#[derive(Debug, Error)]
pub enum WireError {
    /// A batch does not follow the protocol.
    #[error("batch {batch}, byte {byte}: expected {expected}")]
    Malformed {
        /// The simulator's number for the batch, or 0 until it has been read.
        batch: u32,
        /// The offset in the frame at which the fault was found.
        byte: usize,
        /// The valid input at this offset.
        #[source]
        expected: Expected,
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

/// The valid input at the position of a fault.
#[derive(Debug, Error)]
pub enum Expected {
    /// A field that is longer than the rest of the frame.
    #[error("{field} (length in bytes: {length})")]
    Field {
        /// The name of the field.
        field: &'static str,
        /// Its length in bytes.
        length: usize,
    },
    /// A finite number; the frame has an infinity or NaN.
    #[error("a finite {0}")]
    Finite(&'static str),
    /// A value that the protocol defines or that an earlier record has set.
    #[error("{valid}, not {found}, in the field before it")]
    Valid {
        /// A description of the valid values.
        valid: &'static str,
        /// The received value.
        found: u64,
    },
    /// The number of an existing slot for an endpoint list.
    #[error("a list number under {slots}, not {found}, in the field before it")]
    ListNumber {
        /// The number of slots.
        slots: u32,
        /// The received number.
        found: u32,
    },
    /// A request class that the instance's settings define.
    #[error("a request class of the settings in the record before it")]
    KnownClass,
    /// A frame length of at least the length of the batch header.
    #[error("a length of {min} or more, not {found}")]
    FrameLength {
        /// The length of the header in bytes.
        min: usize,
        /// The received length.
        found: usize,
    },
    /// The end of the frame; there are bytes after the last record.
    #[error("the end of the frame")]
    EndOfFrame,
    /// Settings that can be decoded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
