//! The frames of the simulator's protocol: record codes, a checked reader for batches, and the reply frame.
//! Numbers are big-endian.

use crate::error::{FrameError, WireError};

/// The header of batches and replies: the batch's number (4 bytes) and the frame's length (4 bytes).
pub const FRAME_HEADER_BYTES: usize = 8;
/// The header of a batch: the frame header, the number of records (4 bytes) and the clock (8 bytes).
pub const BATCH_HEADER_BYTES: usize = 20;
/// The number of endpoint lists that can be set at one time.
pub const ENDPOINT_LIST_SLOTS: u32 = 16;
/// The flag of a request whose cost estimate is valid.
pub const COST_ESTIMATE_VALID: u8 = 1;

/// Codes of the records that the simulator sends.
pub mod incoming {
    /// The client has abandoned a request.
    pub const REQUEST_ABANDONED: u8 = 16;
    /// An instance starts.
    pub const START_INSTANCE: u8 = 17;
    /// A message of another instance.
    pub const PEER_MESSAGE: u8 = 18;
    /// An endpoint list is set; this is the only record without an instance.
    pub const SET_ENDPOINT_LIST: u8 = 19;
    /// Discovery has responded, or a call to it has failed.
    pub const DISCOVERY: u8 = 20;
    /// A timer is due.
    pub const TIMER: u8 = 21;
    /// An endpoint has started to stream its response.
    pub const STREAM_STARTED: u8 = 22;
    /// An instance stops.
    pub const STOP_INSTANCE: u8 = 23;
    /// An attempt has finished.
    pub const ATTEMPT_FINISHED: u8 = 24;
    /// A request arrives.
    pub const REQUEST: u8 = 25;
    /// A load probe has finished.
    pub const LOAD_PROBE_FINISHED: u8 = 26;
}

/// The scopes of a response from discovery.
pub mod discovery_scope {
    /// The endpoints that have changed.
    pub const UPDATES: u8 = 0;
    /// Every endpoint, as the response to a call.
    pub const SNAPSHOT: u8 = 2;
    /// No endpoints: the call has failed.
    pub const FAILED: u8 = 3;
    /// Every endpoint, pushed by discovery.
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
    /// An attempt is cancelled.
    pub const CANCEL_ATTEMPT: u8 = 19;
    /// A timer is set.
    pub const SET_TIMER: u8 = 20;
    /// A load probe is sent to an endpoint.
    pub const PROBE_LOAD: u8 = 21;
    /// Idle connections to an endpoint are closed.
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 22;
    /// A line is logged.
    pub const LOG: u8 = 24;
    /// An instance has crashed.
    pub const CRASHED: u8 = 25;
    /// The balancer starts to watch discovery.
    pub const WATCH_ENDPOINTS: u8 = 26;
}

/// Reads the fields of one batch in order, and reports the position of a fault.
pub struct BatchReader<'a> {
    bytes: &'a [u8],
    position: usize,
    batch: u32,
}

/// Each read takes the name of its field for the error message. The name includes its article, except for
/// floating-point numbers.
///
/// # Errors
///
/// Every read fails with [`WireError::Malformed`] if the frame ends before the field does. Reads of finite
/// numbers also fail for an infinity or NaN.
impl<'a> BatchReader<'a> {
    /// Creates a reader that starts at `position` in the frame of a batch.
    pub fn new(bytes: &'a [u8], position: usize, batch: u32) -> Self {
        BatchReader { bytes, position, batch }
    }

    /// Returns an error at the current position.
    pub fn error(&self, error: impl Into<FrameError>) -> WireError {
        WireError::Malformed { batch: self.batch, byte: self.position, error: error.into() }
    }

    /// Creates an error for an invalid value in the field that was read last.
    pub fn invalid(&self, valid: &'static str, found: impl Into<u64>) -> WireError {
        self.error(FrameError::InvalidValue { valid, found: found.into() })
    }

    /// Returns whether the whole frame has been read.
    pub fn is_at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Reads `length` bytes.
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

    /// Reads an integer of 1 byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(self.take_array::<1>(field)?[0])
    }

    /// Reads an integer of 2 bytes.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.take_array(field).map(u16::from_be_bytes)
    }

    /// Reads an integer of 4 bytes.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.take_array(field).map(u32::from_be_bytes)
    }

    /// Reads an integer of 8 bytes.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.take_array(field).map(u64::from_be_bytes)
    }

    /// Reads a floating-point number of 4 bytes, which must be finite.
    pub fn f32(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value = self.f32_unchecked(field)?;
        self.finite(value, field)
    }

    /// Reads a floating-point number of 4 bytes, which may be an infinity or NaN.
    pub fn f32_unchecked(&mut self, field: &'static str) -> Result<f64, WireError> {
        self.take_array(field).map(|bytes| f32::from_be_bytes(bytes).into())
    }

    /// Reads a floating-point number of 8 bytes, which must be finite.
    pub fn f64(&mut self, field: &'static str) -> Result<f64, WireError> {
        let value = f64::from_be_bytes(self.take_array(field)?);
        self.finite(value, field)
    }

    fn finite(&self, value: f64, field: &'static str) -> Result<f64, WireError> {
        if value.is_finite() { Ok(value) } else { Err(self.error(FrameError::NotFinite(field))) }
    }
}

/// The reply to one batch. Records are appended as the balancers decide.
pub struct ReplyFrame(Vec<u8>);

impl ReplyFrame {
    /// Creates a reply without records.
    pub fn new() -> Self {
        ReplyFrame(vec![0; FRAME_HEADER_BYTES])
    }

    /// Starts a record of an instance and returns the frame, to append the record's fields.
    pub fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.0.push(code);
        self.append(&instance.to_be_bytes())
    }

    /// Appends the bytes of a field.
    pub fn append(&mut self, bytes: &[u8]) -> &mut Self {
        self.0.extend_from_slice(bytes);
        self
    }

    /// Appends the length of a text and the text, cut to the 65,535 bytes that the length field can express.
    pub fn append_text(&mut self, text: &str) {
        let kept = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.append(&(kept.len() as u16).to_be_bytes()).append(kept);
    }

    /// Returns the current length, for [`ReplyFrame::truncate`].
    pub fn position(&self) -> usize {
        self.0.len()
    }

    /// Removes everything after a position.
    pub fn truncate(&mut self, position: usize) {
        self.0.truncate(position);
    }

    /// Writes the frame header and returns the whole frame. The buffer is kept for the next batch.
    pub fn finish(&mut self, batch: u32) -> &[u8] {
        let length = self.0.len() as u32;
        self.0[..4].copy_from_slice(&batch.to_be_bytes());
        self.0[4..FRAME_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
        &self.0
    }

    /// Removes every record.
    pub fn clear(&mut self) {
        self.0.truncate(FRAME_HEADER_BYTES);
    }
}
