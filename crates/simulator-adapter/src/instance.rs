//! Dispatches the records for a started instance to its balancer.

use std::cell::RefCell;
use std::panic::{AssertUnwindSafe, catch_unwind};

use doorproxy::effects::{AttemptOutcome, EndpointUpdate, LoadProbeResult};
use doorproxy::ids::{RequestId, TimerId, Timestamp};
use doorproxy::policy::Balancer;

use crate::effects::WireEffects;
use crate::error::{FrameError, WireError};
use crate::records;
use crate::wire::{BatchReader, ReplyFrame, discovery_scope, incoming, outgoing};

/// A started instance while it handles one record.
pub struct Instance<'a> {
    /// The instance's number in the protocol.
    pub number: u32,
    /// The instance's balancer.
    pub balancer: &'a mut Balancer<WireEffects>,
    /// The endpoint lists that the simulator has set, by number.
    pub endpoint_lists: &'a [Option<Vec<EndpointUpdate>>],
    /// The reply to the current batch.
    pub reply: &'a RefCell<ReplyFrame>,
    /// The clock of the batch.
    pub now: Timestamp,
}

/// # Errors
///
/// Each method fails if the record is malformed; the balancer is not called in that case.
impl Instance<'_> {
    /// Reads the fields of a record and hands the event to the balancer.
    pub fn handle_event(&mut self, code: u8, reader: &mut BatchReader) -> Result<(), WireError> {
        match code {
            incoming::REQUEST_ABANDONED => self.handle_request_abandoned(reader),
            incoming::PEER_MESSAGE => skip_peer_message(reader),
            incoming::DISCOVERY => self.handle_discovery(reader),
            incoming::TIMER => self.handle_timer(reader),
            incoming::STREAM_STARTED => self.handle_stream_started(reader),
            incoming::ATTEMPT_FINISHED => self.handle_attempt_finished(reader),
            incoming::REQUEST => self.handle_request(reader),
            incoming::LOAD_PROBE_FINISHED => self.handle_load_probe(reader),
            other => Err(reader.invalid("a known code", other)),
        }
    }

    fn handle_request_abandoned(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let request = RequestId(reader.u32("a request")?);
        self.call(|balancer, now| balancer.on_request_abandoned(now, request));
        Ok(())
    }

    fn handle_discovery(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let scope = reader.u8("the scope of a list")?;
        reader.u64("the revision of a list")?;
        let number = reader.u32("the number of a list")?;
        if scope == discovery_scope::FAILED {
            self.call(|balancer, now| balancer.on_discovery_error(now));
            return Ok(());
        }
        let list = self.endpoint_lists.get(number as usize).and_then(Option::as_ref);
        let Some(endpoints) = list else {
            return Err(reader.invalid("a list that was set", number));
        };
        match scope {
            discovery_scope::UPDATES => {
                self.call(|balancer, now| balancer.on_endpoint_updates(now, endpoints));
            }
            discovery_scope::SNAPSHOT | discovery_scope::PUSHED_SNAPSHOT => {
                self.call(|balancer, now| balancer.on_endpoint_snapshot(now, endpoints));
            }
            other => return Err(reader.invalid("a known scope", other)),
        }
        Ok(())
    }

    fn handle_timer(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let timer = TimerId(reader.u64("a timer")?);
        self.call(|balancer, now| balancer.on_timer(now, timer));
        Ok(())
    }

    fn handle_stream_started(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let request = RequestId(reader.u32("a request")?);
        reader.u16("the number of an attempt")?;
        reader.u32("an endpoint")?;
        reader.f64("duration")?;
        self.call(|balancer, now| balancer.on_stream_started(now, request));
        Ok(())
    }

    fn handle_attempt_finished(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let attempt = records::decode_finished_attempt(reader)?;
        self.call(|balancer, now| balancer.on_attempt_finished(now, attempt));
        Ok(())
    }

    fn handle_request(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let request = records::decode_request(reader)?;
        if !self.balancer.settings.has_class(request.class) {
            return Err(reader.error(FrameError::UnknownClass));
        }
        self.call(|balancer, now| balancer.on_request(now, request));
        Ok(())
    }

    fn handle_load_probe(&mut self, reader: &mut BatchReader) -> Result<(), WireError> {
        let probe = records::decode_load_probe(reader)?;
        let load = self.balancer.settings.load_from_report(&probe.report);
        let load = load.filter(|_| probe.outcome == AttemptOutcome::Succeeded);
        let result = LoadProbeResult { endpoint: probe.endpoint, load };
        self.call(|balancer, now| balancer.on_load_probe_finished(now, result));
        Ok(())
    }

    fn call(&mut self, event: impl FnOnce(&mut Balancer<WireEffects>, Timestamp)) {
        catch_crash(self.reply, self.number, || event(self.balancer, self.now));
    }
}

/// Skips a message of another instance: the balancer's policy exchanges no messages.
fn skip_peer_message(reader: &mut BatchReader) -> Result<(), WireError> {
    reader.u32("a sender")?;
    let length = reader.u16("the length of a message")?;
    reader.take_bytes(length.into(), "a message")?;
    Ok(())
}

/// Calls a function and reports a panic as a crash of this instance alone. The records that the call wrote
/// are removed, so that the reply has no partial record.
pub fn catch_crash(reply: &RefCell<ReplyFrame>, instance: u32, call: impl FnOnce()) {
    let position = reply.borrow().position();
    let Err(panic) = catch_unwind(AssertUnwindSafe(call)) else { return };
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic without a text");
    let mut reply = reply.borrow_mut();
    reply.truncate(position);
    reply.record(outgoing::CRASHED, instance).append_text(text);
}
