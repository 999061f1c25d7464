//! Reads batches and writes a reply to each. The balancers and the endpoint lists are kept between batches.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::rc::Rc;

use doorproxy::effects::EndpointUpdate;
use doorproxy::ids::Timestamp;
use doorproxy::policy::Balancer;
use doorproxy::settings::decode;

use crate::effects::WireEffects;
use crate::error::{FrameError, WireError};
use crate::instance::{Instance, catch_crash};
use crate::records;
use crate::wire::{
    BATCH_HEADER_BYTES, BatchReader, ENDPOINT_LIST_SLOTS, FRAME_HEADER_BYTES, ReplyFrame, incoming,
};

/// The state that is kept between batches.
struct Session {
    balancers: BTreeMap<u32, Balancer<WireEffects>>,
    endpoint_lists: [Option<Vec<EndpointUpdate>>; ENDPOINT_LIST_SLOTS as usize],
    reply: Rc<RefCell<ReplyFrame>>,
}

/// Replies to batches until the end of input.
///
/// # Errors
///
/// Fails at the first malformed batch, or if reading or writing fails.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let reply = Rc::new(RefCell::new(ReplyFrame::new()));
    let mut session =
        Session { balancers: BTreeMap::new(), endpoint_lists: Default::default(), reply: reply.clone() };
    let mut frame = Vec::new();
    while read_frame(input, &mut frame)? {
        let batch = session.handle_batch(&frame)?;
        let mut reply = reply.borrow_mut();
        output
            .write_all(reply.finish(batch))
            .and_then(|()| output.flush())
            .map_err(|source| WireError::Write { batch, source })?;
        reply.clear();
    }
    Ok(())
}

/// Reads the next whole frame. Returns false if the input ends before it.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, WireError> {
    frame.clear();
    input.take(FRAME_HEADER_BYTES as u64).read_to_end(frame).map_err(WireError::Read)?;
    if frame.is_empty() {
        return Ok(false);
    }
    let mut header = BatchReader::new(frame, 0, 0);
    let batch = header.u32("the number of the batch")?;
    let length = header.u32("the length of the frame")? as usize;
    if length < BATCH_HEADER_BYTES {
        let error = FrameError::LengthTooSmall { min: BATCH_HEADER_BYTES, found: length };
        return Err(WireError::Malformed { batch, byte: size_of::<u32>(), error });
    }
    // The buffer grows as bytes arrive, so that a corrupted length can't reserve gigabytes.
    let body_length = (length - FRAME_HEADER_BYTES) as u64;
    input.take(body_length).read_to_end(frame).map_err(WireError::Read)?;
    if frame.len() < length {
        let error = FrameError::Truncated { field: "the whole frame", length };
        return Err(WireError::Malformed { batch, byte: frame.len(), error });
    }
    Ok(true)
}

impl Session {
    /// Handles every record of a batch and returns the batch's number.
    fn handle_batch(&mut self, frame: &[u8]) -> Result<u32, WireError> {
        let mut header = BatchReader::new(frame, 0, 0);
        let batch = header.u32("the number of the batch")?;
        let mut reader = BatchReader::new(frame, FRAME_HEADER_BYTES, batch);
        let records = reader.u32("the number of records")?;
        let now = Timestamp::from_secs_f64(reader.f64("clock")?);
        for _ in 0..records {
            self.handle_record(&mut reader, now)?;
        }
        if !reader.is_at_end() {
            return Err(reader.error(FrameError::TrailingBytes));
        }
        Ok(batch)
    }

    fn handle_record(&mut self, reader: &mut BatchReader, now: Timestamp) -> Result<(), WireError> {
        let code = reader.u8("the code of a record")?;
        if code == incoming::SET_ENDPOINT_LIST {
            return self.set_endpoint_list(reader);
        }
        // The code is checked before the instance is read, so that the error names the byte after the code.
        if !(incoming::REQUEST_ABANDONED..=incoming::LOAD_PROBE_FINISHED).contains(&code) {
            return Err(reader.invalid("a known code", code));
        }
        let instance = reader.u32("an instance")?;
        if code == incoming::START_INSTANCE {
            return self.start_instance(reader, instance);
        }
        let Some(balancer) = self.balancers.get_mut(&instance) else {
            return Err(reader.invalid("a started instance", instance));
        };
        if code == incoming::STOP_INSTANCE {
            self.balancers.remove(&instance);
            return Ok(());
        }
        let endpoint_lists = &self.endpoint_lists;
        let reply = &self.reply;
        Instance { number: instance, balancer, endpoint_lists, reply, now }.handle_event(code, reader)
    }

    fn start_instance(&mut self, reader: &mut BatchReader, instance: u32) -> Result<(), WireError> {
        let seed = reader.u64("a seed")?;
        let length = reader.u32("the length of the settings")?;
        let text = reader.take_bytes(length as usize, "settings")?;
        let settings = decode::decode(text).map_err(|error| reader.error(error))?;
        let effects = WireEffects::new(instance, self.reply.clone());
        self.balancers.remove(&instance);
        let balancers = &mut self.balancers;
        catch_crash(&self.reply, instance, || {
            balancers.insert(instance, Balancer::new(seed, settings, effects));
        });
        Ok(())
    }

    fn set_endpoint_list(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let number = reader.u32("the number of a list")?;
        if number >= ENDPOINT_LIST_SLOTS {
            return Err(
                reader.error(FrameError::ListOutOfRange { slots: ENDPOINT_LIST_SLOTS, found: number })
            );
        }
        let count = reader.u32("the length of a list")?;
        let updates =
            (0..count).map(|_| records::decode_endpoint_update(reader)).collect::<Result<_, _>>()?;
        self.endpoint_lists[number as usize] = Some(updates);
        Ok(())
    }
}
