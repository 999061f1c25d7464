//! Encodes the effects of a balancer as records of the reply.

use std::cell::RefCell;
use std::rc::Rc;

use doorproxy::effects::Effects;
use doorproxy::ids::{AttemptNumber, EndpointId, RequestId, Ticks, TimerId, Timestamp};

use crate::wire::{ReplyFrame, outgoing};

/// The timeout in seconds of an attempt that may take as long as the client waits.
const NO_ATTEMPT_TIMEOUT_SECONDS: f64 = 0.0;
/// The value in seconds of a rejection without a `Retry-After` time.
const NO_RETRY_AFTER_SECONDS: f64 = 0.0;
/// The value of the only field in a watch record.
const WATCH: u8 = 1;

/// Encodes the effects of one instance.
pub struct WireEffects {
    instance: u32,
    reply: Rc<RefCell<ReplyFrame>>,
}

impl WireEffects {
    /// Creates effects that are written to the reply under the instance's number.
    pub fn new(instance: u32, reply: Rc<RefCell<ReplyFrame>>) -> Self {
        WireEffects { instance, reply }
    }

    fn write_record(&mut self, code: u8, fields: &[&[u8]]) {
        let mut reply = self.reply.borrow_mut();
        let record = reply.record(code, self.instance);
        for field in fields {
            record.append(field);
        }
    }
}

impl Effects for WireEffects {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId) {
        let timeout = NO_ATTEMPT_TIMEOUT_SECONDS.to_be_bytes();
        let fields: [&[u8]; 3] = [&request.0.to_be_bytes(), &endpoint.0.to_be_bytes(), &timeout];
        self.write_record(outgoing::START_ATTEMPT, &fields);
    }

    fn reject(&mut self, request: RequestId, retry_after: Option<Ticks>) {
        let retry_after = retry_after.map_or(NO_RETRY_AFTER_SECONDS, Ticks::as_secs_f64);
        self.write_record(outgoing::REJECT, &[&request.0.to_be_bytes(), &retry_after.to_be_bytes()]);
    }

    fn fail(&mut self, request: RequestId) {
        self.write_record(outgoing::FAIL, &[&request.0.to_be_bytes()]);
    }

    fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptNumber) {
        self.write_record(outgoing::CANCEL_ATTEMPT, &[&request.0.to_be_bytes(), &attempt.0.to_be_bytes()]);
    }

    fn set_timer(&mut self, at: Timestamp, timer: TimerId) {
        self.write_record(outgoing::SET_TIMER, &[&at.as_secs_f64().to_be_bytes(), &timer.0.to_be_bytes()]);
    }

    fn close_idle_connections(&mut self, endpoint: EndpointId) {
        self.write_record(outgoing::CLOSE_IDLE_CONNECTIONS, &[&endpoint.0.to_be_bytes()]);
    }

    fn probe_load(&mut self, endpoint: EndpointId) {
        self.write_record(outgoing::PROBE_LOAD, &[&endpoint.0.to_be_bytes()]);
    }

    fn watch_endpoints(&mut self) {
        self.write_record(outgoing::WATCH_ENDPOINTS, &[&[WATCH]]);
    }

    fn log(&mut self, line: &str) {
        self.reply.borrow_mut().record(outgoing::LOG, self.instance).append_text(line);
    }
}
