//! Turns the records of each batch into calls on the balancers, and their acts into records of the reply.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use doorproxy::facts;
use doorproxy::host::{Condition, Ending, Host, Listing, OpArrival, ProbeEnd, PushEnd};
use doorproxy::ids::{
    AlarmId, At, CategoryId, CellId, Key, KindId, OpId, PushNo, Span, TenantId, UpstreamId, ZoneId,
};
use doorproxy::policy::Balancer;

use crate::wire::{Fault, Reader, Reply};

const BATCH_HEADER: usize = 20;
const ROSTERS: u32 = 16;
const HINT_VALID: u8 = 1;

struct WireHost {
    instance: u32,
    reply: Rc<RefCell<Reply>>,
}

impl WireHost {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let mut reply = self.reply.borrow_mut();
        let record = reply.record(code, self.instance);
        for field in fields {
            record.put(field);
        }
    }
}

impl Host for WireHost {
    fn push(&mut self, op: OpId, upstream: UpstreamId) {
        let until_the_client_gives_up = 0f64.to_be_bytes();
        self.record(16, &[&op.0.to_be_bytes(), &upstream.0.to_be_bytes(), &until_the_client_gives_up]);
    }

    fn nack(&mut self, op: OpId, stay_away: Option<Span>) {
        let stay_away = stay_away.map_or(0.0, Span::secs);
        self.record(17, &[&op.0.to_be_bytes(), &stay_away.to_be_bytes()]);
    }

    fn dead_letter(&mut self, op: OpId) {
        self.record(18, &[&op.0.to_be_bytes()]);
    }

    fn cancel(&mut self, op: OpId, push: PushNo) {
        self.record(19, &[&op.0.to_be_bytes(), &push.0.to_be_bytes()]);
    }

    fn alarm(&mut self, at: At, alarm: AlarmId) {
        self.record(20, &[&at.secs().to_be_bytes(), &alarm.0.to_be_bytes()]);
    }

    fn close_idle(&mut self, upstream: UpstreamId) {
        self.record(22, &[&upstream.0.to_be_bytes()]);
    }

    fn probe(&mut self, upstream: UpstreamId) {
        self.record(21, &[&upstream.0.to_be_bytes()]);
    }

    fn watch_list(&mut self) {
        self.record(26, &[&[1]]);
    }

    fn log(&mut self, line: &str) {
        self.reply.borrow_mut().record(24, self.instance).text(line);
    }
}

struct Session {
    balancers: BTreeMap<u32, Balancer<WireHost>>,
    rosters: [Option<Vec<Listing>>; ROSTERS as usize],
    reply: Rc<RefCell<Reply>>,
}

/// Serves batches until the end of input.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), Fault> {
    let reply = Rc::new(RefCell::new(Reply::new()));
    let mut session =
        Session { balancers: BTreeMap::new(), rosters: Default::default(), reply: reply.clone() };
    let mut frame = Vec::new();
    while read_frame(input, &mut frame)? {
        let batch = session.batch(&frame)?;
        let mut reply = reply.borrow_mut();
        output
            .write_all(reply.finish(batch))
            .and_then(|()| output.flush())
            .map_err(|error| format!("batch {batch}: the reply could not be written: {error}"))?;
        reply.clear();
    }
    Ok(())
}

/// False at a clean end of input.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, Fault> {
    let failed = |error: io::Error| format!("standard input could not be read: {error}");
    frame.clear();
    input.take(8).read_to_end(frame).map_err(failed)?;
    if frame.is_empty() {
        return Ok(false);
    }
    let mut head = Reader::new(frame, 0, 0);
    let batch = head.u32("the number of the batch")?;
    let length = head.u32("the length of the frame")? as usize;
    let Some(rest) = length.checked_sub(8).filter(|_| length >= BATCH_HEADER) else {
        return Err(format!(
            "batch {batch}, byte 4: expected a length of {BATCH_HEADER} or more, not {length}"
        ));
    };
    // Read by what comes, not by what the length claims: a garbled one must not reserve gigabytes.
    input.take(rest as u64).read_to_end(frame).map_err(failed)?;
    if frame.len() < length {
        return Err(format!("batch {batch}, byte {}: expected a frame of {length} bytes", frame.len()));
    }
    Ok(true)
}

impl Session {
    fn batch(&mut self, frame: &[u8]) -> Result<u32, Fault> {
        let mut head = Reader::new(frame, 0, 0);
        let batch = head.u32("the number of the batch")?;
        let mut reader = Reader::new(frame, 8, batch);
        let records = reader.u32("the number of records")?;
        let now = At::from_secs(reader.f64("clock")?);
        for _ in 0..records {
            self.record(&mut reader, now)?;
        }
        if !reader.is_at_end() {
            return Err(reader.fault("the end of the frame"));
        }
        Ok(batch)
    }

    fn record(&mut self, reader: &mut Reader, now: At) -> Result<(), Fault> {
        let code = reader.u8("the code of a record")?;
        if code == 19 {
            return self.roster(reader);
        }
        if !matches!(code, 16..=18 | 20..=26) {
            return Err(reader.fault(&format!("a known code before here, not {code}")));
        }
        let instance = reader.u32("an instance")?;
        if code == 17 {
            return self.boot(reader, instance);
        }
        let Some(balancer) = self.balancers.get_mut(&instance) else {
            return Err(reader.fault(&format!("an instance that has started before here, not {instance}")));
        };
        let reply = &self.reply;
        match code {
            16 => {
                let op = OpId(reader.u32("an op")?);
                guarded(reply, instance, || balancer.op_expired(now, op));
            }
            18 => {
                reader.u32("a sender")?;
                let length = reader.u16("the length of a message")?;
                reader.take(length.into(), "a message")?;
            }
            20 => {
                let scope = reader.u8("the scope of a list")?;
                reader.u64("the revision of a list")?;
                let number = reader.u32("the number of a list")?;
                if scope == 3 {
                    guarded(reply, instance, || balancer.list_call_failed(now));
                    return Ok(());
                }
                let listed = self.rosters.get(number as usize).and_then(Option::as_ref);
                let Some(rows) = listed else {
                    return Err(reader.fault(&format!("a list that was set before here, not {number}")));
                };
                match scope {
                    0 => guarded(reply, instance, || balancer.list_changed(now, rows)),
                    2 | 4 => guarded(reply, instance, || balancer.list_given(now, rows)),
                    other => return Err(reader.fault(&format!("a known scope before here, not {other}"))),
                }
            }
            21 => {
                let alarm = AlarmId(reader.u64("an alarm")?);
                guarded(reply, instance, || balancer.alarm_rang(now, alarm));
            }
            22 => {
                let op = OpId(reader.u32("an op")?);
                reader.u16("the number of a push")?;
                reader.u32("an upstream")?;
                reader.f64("duration")?;
                guarded(reply, instance, || balancer.stream_started(now, op));
            }
            23 => {
                self.balancers.remove(&instance);
            }
            24 => {
                let end = push_end(reader)?;
                guarded(reply, instance, || balancer.push_ended(now, end));
            }
            25 => {
                let arrival = arrival(reader)?;
                if !balancer.terms.knows(arrival.category) {
                    return Err(reader.fault("a category of the start facts before here"));
                }
                guarded(reply, instance, || balancer.op_arrived(now, arrival));
            }
            26 => {
                let upstream = UpstreamId(reader.u32("an upstream")?);
                let ending = ending(reader)?;
                reader.f64("duration")?;
                let report = load_report(reader)?;
                let load = balancer.terms.load_in(&report).filter(|_| ending == Ending::Acked);
                guarded(reply, instance, || balancer.probe_ended(now, ProbeEnd { upstream, load }));
            }
            _ => unreachable!("checked above"),
        }
        Ok(())
    }

    fn boot(&mut self, reader: &mut Reader, instance: u32) -> Result<(), Fault> {
        let seed = reader.u64("a seed")?;
        let length = reader.u32("the length of the start facts")?;
        let facts = reader.take(length as usize, "start facts")?;
        let terms = facts::decode(facts).map_err(|expected| reader.fault(&expected))?;
        let host = WireHost { instance, reply: self.reply.clone() };
        self.balancers.remove(&instance);
        let balancers = &mut self.balancers;
        guarded(&self.reply, instance, || {
            balancers.insert(instance, Balancer::new(seed, terms, host));
        });
        Ok(())
    }

    fn roster(&mut self, reader: &mut Reader) -> Result<(), Fault> {
        let number = reader.u32("the number of a list")?;
        if number >= ROSTERS {
            return Err(reader.fault(&format!("a list number under {ROSTERS} before here, not {number}")));
        }
        let count = reader.u32("the length of a list")?;
        let rows = (0..count).map(|_| listing(reader)).collect::<Result<_, _>>()?;
        self.rosters[number as usize] = Some(rows);
        Ok(())
    }
}

/// Keeps one balancer's failure its own: it is reported as that instance's crash, as the wire page asks.
fn guarded(reply: &RefCell<Reply>, instance: u32, call: impl FnOnce()) {
    let mark = reply.borrow().mark();
    if let Err(panic) = catch_unwind(AssertUnwindSafe(call)) {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or(panic.downcast_ref::<&str>().copied()).unwrap_or("panic without a text");
        let mut reply = reply.borrow_mut();
        reply.cut_back(mark);
        reply.record(25, instance).text(text);
    }
}

fn arrival(reader: &mut Reader) -> Result<OpArrival, Fault> {
    let op = OpId(reader.u32("an op")?);
    let key = reader.u64("a key")?;
    let tenant = TenantId(reader.u16("a tenant")?);
    let category = CategoryId(reader.u16("a category")?);
    let time_left = Span::from_secs(reader.f64("time left")?);
    let bits = reader.u8("bits")?;
    let hint = reader.f64("cost hint")?;
    Ok(OpArrival {
        op,
        key: (key != 0).then_some(Key(key)),
        tenant,
        category,
        time_left,
        hint: (bits & HINT_VALID != 0 && hint > 0.0).then_some(hint),
    })
}

fn push_end(reader: &mut Reader) -> Result<PushEnd, Fault> {
    let op = OpId(reader.u32("an op")?);
    let push = PushNo(reader.u16("the number of a push")?);
    let concluded = reader.u8("a flag")? != 0;
    let ending = ending(reader)?;
    let took = Span::from_secs(reader.f64("duration")?);
    let upstream = UpstreamId(reader.u32("an upstream")?);
    load_report(reader)?;
    Ok(PushEnd { op, push, upstream, concluded, ending, took })
}

fn ending(reader: &mut Reader) -> Result<Ending, Fault> {
    Ok(match reader.u16("an ending")? {
        1 => Ending::Acked,
        2 => Ending::Error,
        3 => Ending::Full,
        4 => Ending::TimedOut,
        5 => Ending::ConnectFailed,
        6 => Ending::Reset,
        7 => Ending::Cancelled,
        8 => Ending::NeverSent,
        other => return Err(reader.fault(&format!("a known ending before here, not {other}"))),
    })
}

fn load_report(reader: &mut Reader) -> Result<Vec<f64>, Fault> {
    let values = reader.u8("the length of a load report")?;
    // What is no number is not for here to judge: a server that tells nonsense must not end the adapter.
    (0..values).map(|_| reader.raw_f32("a value of a load report")).collect()
}

fn listing(reader: &mut Reader) -> Result<Listing, Fault> {
    let kind = KindId(reader.u16("a kind")?);
    let upstream = UpstreamId(reader.u32("an upstream")?);
    let size = reader.f32("size")?;
    let condition = match reader.u8("a condition")? {
        3 => Condition::Ready,
        1 => Condition::Draining,
        0 => Condition::Gone,
        other => return Err(reader.fault(&format!("a known condition before here, not {other}"))),
    };
    let zone = ZoneId(reader.u16("a zone")?);
    let up_since = reader.f64("start time")?;
    let cell = CellId(reader.u16("a cell")?);
    let up_since = (up_since != 0.0).then(|| At::from_secs(up_since));
    Ok(Listing { upstream, kind, zone, cell, size, condition, up_since })
}
