//! A world small enough to read: the host prints each act as one line in the project's words.

#![allow(dead_code)]

use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy::host::{Condition, Ending, Host, Listing, OpArrival, ProbeEnd, PushEnd};
use doorproxy::ids::*;
use doorproxy::policy::Balancer;
use doorproxy::terms::{Category, ColdStart, DedupGroup, Repeats, StartTerms};

pub const READ: u16 = 0;
pub const TOP_UP: u16 = 1;
pub const ORDER: u16 = 2;

/// What was done, and how many more ops the fleet as a whole lets in, where it is limited.
#[derive(Clone, Default)]
pub struct Trace(Arc<Mutex<String>>, Arc<Mutex<Option<u32>>>);

impl Trace {
    fn held(&self) -> MutexGuard<'_, String> {
        self.0.lock().expect("one thread to a test")
    }

    pub fn line(&self, text: std::fmt::Arguments) {
        writeln!(self.held(), "{text}").expect("a string takes every line");
    }

    pub fn text(&self) -> String {
        self.held().clone()
    }
}

impl Host for Trace {
    fn push(&mut self, op: OpId, upstream: UpstreamId) {
        self.line(format_args!("  push op {} to {}", op.0, upstream.0));
    }
    fn cancel(&mut self, op: OpId, push: PushNo) {
        self.line(format_args!("  cancel push {} of op {}", push.0, op.0));
    }
    fn nack(&mut self, op: OpId, stay_away: Option<Span>) {
        let advice = stay_away.map_or("", |_| ", say when to come back");
        self.line(format_args!("  nack op {}{advice}", op.0));
    }
    fn dead_letter(&mut self, op: OpId) {
        self.line(format_args!("  dead-letter op {}", op.0));
    }
    fn alarm(&mut self, _at: At, _alarm: AlarmId) {}
    fn close_idle(&mut self, upstream: UpstreamId) {
        self.line(format_args!("  close idle connections to {}", upstream.0));
    }
    fn probe(&mut self, upstream: UpstreamId) {
        self.line(format_args!("  probe {}", upstream.0));
    }
    fn watch_list(&mut self) {
        self.line(format_args!("  watch the list"));
    }
    fn log(&mut self, line: &str) {
        self.line(format_args!("  log: {line}"));
    }
    fn over_limit(&mut self, _now: At, _tenant: TenantId) -> Option<Span> {
        let mut left = self.1.lock().expect("one thread to a test");
        let more = left.as_mut()?;
        *more = match more.checked_sub(1) {
            Some(more) => more,
            None => return Some(Span::from_secs(0.5)),
        };
        None
    }
}

/// Three categories, 600 ms to the target each: one of each way to repeat.
pub fn terms() -> StartTerms {
    let category = |benefit, repeats| Category {
        benefit,
        target_latency: Span::from_secs(0.6),
        target_stretch: 0.0,
        ttl: Span::from_secs(2.0),
        late_benefit: 0.0,
        repeats,
    };
    StartTerms {
        categories: vec![
            category(1.0, Repeats::Redeliverable),
            category(2.0, Repeats::Deduplicated { group: DedupGroup::Zone, window: Span::from_secs(1.0) }),
            category(5.0, Repeats::AtMostOnce),
        ],
        tenant_shares: Vec::new(),
        balancers: 2,
        ordinal: 0,
        overage_benefit: 0.1,
        max_pushes: 4,
        second_copies: true,
        cancelling: true,
        connect_within: Span::ZERO,
        longest_stay_away: Some(Span::from_secs(2.0)),
        load_in_probes: None,
        connections_free: false,
        probe_price: 0.0,
        zone: None,
        list_must_be_asked: true,
        only_draining_binds: false,
        ask_within: Span::from_secs(10.0),
        cold: ColdStart {
            part: 1.0,
            least_share: 0.2,
            warm_within: Span::from_secs(20.0),
            fall_multiple: 2.5,
            fall_window: Span::from_secs(2.0),
        },
    }
}

pub fn server(upstream: u32, kind: u16) -> Listing {
    Listing {
        upstream: UpstreamId(upstream),
        kind: KindId(kind),
        zone: ZoneId((upstream % 2) as u16),
        cell: CellId(0),
        size: 1.0,
        condition: Condition::Ready,
        up_since: None,
    }
}

pub struct World {
    pub balancer: Balancer<Trace>,
    trace: Trace,
    pub now: At,
}

impl World {
    pub fn new(terms: StartTerms, rows: &[Listing]) -> World {
        let trace = Trace::default();
        let balancer = Balancer::new(7, terms, trace.clone());
        let mut world = World { balancer, trace, now: At(1_000_000) };
        world.balancer.list_given(world.now, rows);
        world
    }

    pub fn note(&mut self, text: &str) -> &mut Self {
        self.trace.line(format_args!("{text}"));
        self
    }

    pub fn allot(&mut self, ops: u32) -> &mut Self {
        *self.trace.1.lock().expect("one thread to a test") = Some(ops);
        self.note(&format!("the fleet lets in {ops} more"))
    }

    pub fn after_ms(&mut self, ms: i64) -> &mut Self {
        self.now = self.now + Span(ms * 10);
        self
    }

    /// An op of this category with 1.5 s left, its key the number given.
    pub fn op(&mut self, op: u32, category: u16, key: u64, hint: f64) -> &mut Self {
        self.arrive(op, category, Some(Key(key)), Some(hint), 1.5)
    }

    pub fn arrive(
        &mut self,
        op: u32,
        category: u16,
        key: Option<Key>,
        hint: Option<f64>,
        left: f64,
    ) -> &mut Self {
        self.trace.line(format_args!("op {op} of category {category} comes"));
        let arrival = OpArrival {
            op: OpId(op),
            key,
            tenant: TenantId(0),
            category: CategoryId(category),
            time_left: Span::from_secs(left),
            hint,
        };
        self.balancer.op_arrived(self.now, arrival);
        self
    }

    pub fn end(&mut self, op: u32, push: u16, upstream: u32, ending: Ending) -> &mut Self {
        self.end_after(op, push, upstream, ending, 100)
    }

    pub fn end_after(&mut self, op: u32, push: u16, upstream: u32, ending: Ending, ms: i64) -> &mut Self {
        self.trace.line(format_args!("push {push} of op {op} ends at {upstream}: {ending:?}"));
        let concluded = ending == Ending::Acked;
        let (push, upstream) = (PushNo(push), UpstreamId(upstream));
        let end = PushEnd { op: OpId(op), push, upstream, concluded, ending, took: Span(ms * 10) };
        self.balancer.push_ended(self.now, end);
        self
    }

    /// The server that the last push went to answers it, so long after.
    pub fn answered(&mut self, op: u32, ms: i64) -> &mut Self {
        let upstream = self.last_pushed();
        self.after_ms(ms).end_after(op, 0, upstream, Ending::Acked, ms)
    }

    /// Ops answered well by whichever server they went to, so that there is something to judge by.
    pub fn warm_up(&mut self, ops: u32) -> &mut Self {
        for op in 0..ops {
            self.arrive(1_000_000 + op, READ, Some(Key(u64::from(op) + 1)), Some(0.1), 1.5);
            self.answered(1_000_000 + op, 100);
        }
        self.trace.held().clear();
        self
    }

    pub fn last_pushed(&self) -> u32 {
        let trace = self.trace.held();
        let last = trace.lines().rfind(|line| line.starts_with("  push")).expect("a push");
        last.rsplit(' ').next().and_then(|id| id.parse().ok()).expect("a push that names its server")
    }

    /// A server's probe tells this load; none where it does not come back in time.
    pub fn told(&mut self, upstream: u32, load: Option<f64>) -> &mut Self {
        self.trace.line(format_args!("{upstream} holds {load:?}"));
        self.balancer.probe_ended(self.now, ProbeEnd { upstream: UpstreamId(upstream), load });
        self
    }

    pub fn ring(&mut self, op: u32) -> &mut Self {
        self.trace.line(format_args!("the alarm of op {op} rings"));
        self.balancer.alarm_rang(self.now, AlarmId(u64::from(op)));
        self
    }

    pub fn trace(&self) -> String {
        self.trace.text()
    }
}
