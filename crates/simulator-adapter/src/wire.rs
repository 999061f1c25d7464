//! The frames of the simulator's wire: their codes, checked reads of a batch, and the reply frame. Numbers are
//! big-endian.

use crate::error::{FrameError, WireError};

/// The number and the length of a frame stand before everything else, in a batch and in a reply.
pub const FRAME_HEADER_BYTES: usize = 8;
/// The frame header, the count of records (4 bytes) and the clock (8 bytes).
pub const BATCH_HEADER_BYTES: usize = 20;
/// How many endpoint lists the simulator can keep set at one time.
pub const ENDPOINT_LIST_SLOTS: u32 = 16;
/// Bit of a request: its cost estimate counts.
pub const COST_ESTIMATE_VALID: u8 = 1;

/// Codes of the records that the simulator sends.
pub mod incoming {
    /// The client of a request has gone.
    pub const REQUEST_ABANDONED: u8 = 16;
    /// An instance starts.
    pub const START_INSTANCE: u8 = 17;
    /// A message of another instance.
    pub const PEER_MESSAGE: u8 = 18;
    /// An endpoint list is set; the only record without an instance.
    pub const SET_ENDPOINT_LIST: u8 = 19;
    /// Discovery has answered.
    pub const DISCOVERY: u8 = 20;
    /// A timer is due.
    pub const TIMER: u8 = 21;
    /// An endpoint has begun to stream its answer.
    pub const STREAM_STARTED: u8 = 22;
    /// An instance ends.
    pub const STOP_INSTANCE: u8 = 23;
    /// An attempt has finished.
    pub const ATTEMPT_FINISHED: u8 = 24;
    /// A request arrives.
    pub const REQUEST: u8 = 25;
    /// A load probe has finished.
    pub const LOAD_PROBE_FINISHED: u8 = 26;
}

/// What an answer of discovery covers.
pub mod discovery_scope {
    /// Only the endpoints that changed.
    pub const UPDATES: u8 = 0;
    /// Every endpoint, on request.
    pub const SNAPSHOT: u8 = 2;
    /// The call failed.
    pub const FAILED: u8 = 3;
    /// Every endpoint, pushed.
    pub const PUSHED_SNAPSHOT: u8 = 4;
}

/// Codes of the records of a reply.
pub mod outgoing {
    /// An attempt starts.
    pub const START_ATTEMPT: u8 = 16;
    /// A request is rejected.
    pub const REJECT: u8 = 17;
    /// A request has failed.
    pub const FAIL: u8 = 18;
    /// An attempt is given up.
    pub const CANCEL_ATTEMPT: u8 = 19;
    /// A timer is set.
    pub const SET_TIMER: u8 = 20;
    /// An endpoint is asked for its load.
    pub const PROBE_LOAD: u8 = 21;
    /// Idle connections to an endpoint are closed.
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 22;
    /// A line for the log.
    pub const LOG: u8 = 24;
    /// An instance has crashed.
    pub const CRASHED: u8 = 25;
    /// Discovery is watched.
    pub const WATCH_ENDPOINTS: u8 = 26;
}

/// Reads the fields of one batch in order, and says where a fault is.
pub struct BatchReader<'a> {
    bytes: &'a [u8],
    position: usize,
    batch: u32,
}

/// Each read takes the name of its field, with its article, for the error.
///
/// # Errors
///
/// Every read fails with [`WireError::Malformed`] where the frame ends before the field does.
impl<'a> BatchReader<'a> {
    /// A reader of the batch of that number, from `position` in its frame on.
    pub fn new(bytes: &'a [u8], position: usize, batch: u32) -> Self {
        BatchReader { bytes, position, batch }
    }

    /// Returns an error at the current position.
    pub fn error(&self, error: impl Into<FrameError>) -> WireError {
        WireError::Malformed { batch: self.batch, byte: self.position, error: error.into() }
    }

    /// A field that was read just now has a value that is not valid.
    pub fn invalid(&self, valid: &'static str, found: impl Into<u64>) -> WireError {
        self.error(FrameError::InvalidValue { valid, found: found.into() })
    }

    /// Whether the whole frame has been read.
    pub fn is_at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// The next bytes, as they are.
    pub fn take_bytes(&mut self, length: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        let end = self.position.checked_add(length).filter(|&end| end <= self.bytes.len());
        let end = end.ok_or_else(|| self.error(FrameError::Truncated { field, length }))?;
        let taken = &self.bytes[self.position..end];
        self.position = end;
        Ok(taken)
    }

    fn take_array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take_bytes(N, field)?);
        Ok(array)
    }

    /// One byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(self.take_array::<1>(field)?[0])
    }

    /// An integer of 2 bytes.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.take_array(field).map(u16::from_be_bytes)
    }

    /// An integer of 4 bytes.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.take_array(field).map(u32::from_be_bytes)
    }

    /// An integer of 8 bytes.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.take_array(field).map(u64::from_be_bytes)
    }

    /// A number of 4 bytes, which has to be finite.
    pub fn f32(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value = self.f32_unchecked(field)?;
        self.finite(value, field)
    }

    /// A number of 4 bytes, finite or not.
    pub fn f32_unchecked(&mut self, field: &'static str) -> Result<f64, WireError> {
        self.take_array(field).map(|bytes| f32::from_be_bytes(bytes).into())
    }

    /// A number of 8 bytes, which has to be finite.
    pub fn f64(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value = f64::from_be_bytes(self.take_array(field)?);
        self.finite(value, field)
    }

    fn finite(&self, value: f64, field: &'static str) -> Result<f64, WireError> {
        if value.is_finite() { Ok(value) } else { Err(self.error(FrameError::NotFinite(field))) }
    }
}

/// The reply to one batch, written as the decisions are made.
pub struct ReplyFrame(Vec<u8>);

impl ReplyFrame {
    /// A reply without records.
    pub fn new() -> Self {
        ReplyFrame(vec![0; FRAME_HEADER_BYTES])
    }

    /// Begins a record of an instance; its fields are appended to what this returns.
    pub fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.0.push(code);
        self.append(&instance.to_be_bytes())
    }

    /// Appends a field as it is.
    pub fn append(&mut self, bytes: &[u8]) -> &mut Self {
        self.0.extend_from_slice(bytes);
        self
    }

    /// Appends a text and its length, and leaves out what is past the longest that the wire can carry.
    pub fn append_text(&mut self, text: &str) {
        let kept = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.append(&(kept.len() as u16).to_be_bytes()).append(kept);
    }

    /// The length so far, for [`ReplyFrame::truncate`].
    pub fn position(&self) -> usize {
        self.0.len()
    }

    /// Takes back what was written after the position.
    pub fn truncate(&mut self, position: usize) {
        self.0.truncate(position);
    }

    /// The whole frame; the buffer stays, for the next batch.
    pub fn finish(&mut self, batch: u32) -> &[u8] {
        let length = self.0.len() as u32;
        self.0[..4].copy_from_slice(&batch.to_be_bytes());
        self.0[4..FRAME_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        &self.0
    }

    /// Takes back every record.
    pub fn clear(&mut self) {
        self.0.truncate(FRAME_HEADER_BYTES);
    }
}
