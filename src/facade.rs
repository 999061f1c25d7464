//! The decisions in blocking style, so that network code can be written from top to bottom: it hands an op
//! over, asks [`Facade::pick`] what to do with it until there is a final answer, tells [`Facade::report`] how
//! each push ended, and calls [`Facade::tick`] with the time and with news of the list. Whatever protocol
//! stands in front, this is all that it meets. No decision is made here, and no socket is touched.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::future::poll_fn;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::task::{Context, Poll, Waker};

use crate::host::{Ending, Host, Listing, OpArrival, ProbeEnd, PushEnd};
use crate::ids::{AlarmId, At, CategoryId, Key, OpId, PushNo, Span, TenantId, UpstreamId};
use crate::learned;
use crate::policy::Balancer;
use crate::terms::StartTerms;

/// What the decisions read of an op.
#[derive(Clone, Copy, Debug)]
pub struct NewOp {
    pub category: CategoryId,
    pub tenant: TenantId,
    pub key: Option<Key>,
    /// Expected work in seconds of a standard core.
    pub hint: Option<f64>,
    pub time_left: Span,
}

/// What is to be done with an op next.
#[derive(Debug)]
pub enum Next {
    Push(Push),
    /// The final answer: trying again is harmless, best after this long.
    Nack(Option<Span>),
    /// The final answer: nothing is said of whether it ran.
    DeadLetter,
}

/// One push that is to be made. It is given back to [`Facade::report`], and so is reported once.
#[derive(Debug)]
pub struct Push {
    pub upstream: UpstreamId,
    op: OpId,
    number: PushNo,
    at: At,
}

/// What has come from the list of upstreams.
pub enum News<'a> {
    Nothing,
    Whole(&'a [Listing]),
    Changes(&'a [Listing]),
    CallFailed,
}

/// A server that has to prove itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Doubt {
    pub upstream: UpstreamId,
    /// By others' word alone.
    pub claimed: bool,
    /// How often in a row it was set aside by own evidence.
    pub failures: u32,
}

/// How many balancers share what all may do together, where they know each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sharing {
    pub among: u32,
    /// The part of what a cold server bears that is theirs.
    pub cold_part: f64,
}

/// A [`Sharing`] that holds for a while, and what holds after it: it ends with no word of anybody, also in a process that
/// stood still meanwhile.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shared {
    pub now: Sharing,
    pub until: At,
    pub after: Sharing,
}

/// What network code does on its own, without an op that waits for it.
pub trait Outlets: Send {
    fn close_idle(&mut self, upstream: UpstreamId);
    fn log(&mut self, line: &str);
}

/// What the fleet as a whole lets in of each tenant, where limits are dealt out among balancers. It is asked while deciding,
/// and must answer at once.
pub trait Limits: Send + Sync {
    /// See [`Host::over_limit`].
    fn over(&self, now: At, tenant: TenantId) -> Option<Span>;
}

type Limited = Arc<OnceLock<Arc<dyn Limits>>>;

#[derive(Clone)]
pub struct Facade {
    balancer: Arc<Mutex<Balancer<Hands>>>,
    desk: Arc<Mutex<Desk>>,
    limits: Limited,
}

/// What the decisions have asked for and nobody has fetched yet.
#[derive(Default)]
struct Desk {
    ops: BTreeMap<OpId, Slot>,
    called_off: BTreeMap<(OpId, PushNo), Flag>,
    alarms: BinaryHeap<Reverse<(At, AlarmId)>>,
    next_tick: Option<At>,
    sooner: Flag,
    watch: Flag,
    /// Servers whose load is to be asked for; the decisions want one of each at most.
    probes: VecDeque<UpstreamId>,
    probe: Flag,
    last_op: u32,
    now: Option<At>,
    /// None: the number of balancers is that of the settings.
    shared: Option<Shared>,
}

#[derive(Default)]
struct Slot {
    next: VecDeque<Next>,
    pushes: u16,
    waker: Option<Waker>,
}

/// Raised once, and seen by the one who waits for it.
#[derive(Default)]
struct Flag {
    raised: bool,
    waker: Option<Waker>,
}

impl Flag {
    fn raise(&mut self) {
        self.raised = true;
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    fn poll(&mut self, cx: &Context) -> Poll<()> {
        if std::mem::take(&mut self.raised) {
            return Poll::Ready(());
        }
        self.waker = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl Slot {
    /// Its final answer waits to be fetched.
    fn is_decided(&self) -> bool {
        self.next.iter().any(|next| !matches!(next, Next::Push(_)))
    }

    fn put(&mut self, next: Next) {
        self.next.push_back(next);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

fn locked<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic while it was held leaves decisions half made: nothing sound can follow.
    shared.lock().expect("no panic while deciding")
}

struct Hands {
    desk: Arc<Mutex<Desk>>,
    limits: Limited,
    outlets: Box<dyn Outlets>,
}

impl Host for Hands {
    fn push(&mut self, op: OpId, upstream: UpstreamId) {
        let mut desk = locked(&self.desk);
        let at = desk.now.expect("decisions are made at a time");
        let Some(slot) = desk.ops.get_mut(&op) else { return };
        let number = PushNo(slot.pushes);
        slot.pushes += 1;
        slot.put(Next::Push(Push { upstream, op, number, at }));
        desk.called_off.insert((op, number), Flag::default());
    }

    fn cancel(&mut self, op: OpId, push: PushNo) {
        if let Some(flag) = locked(&self.desk).called_off.get_mut(&(op, push)) {
            flag.raise();
        }
    }

    fn nack(&mut self, op: OpId, stay_away: Option<Span>) {
        if let Some(slot) = locked(&self.desk).ops.get_mut(&op) {
            slot.put(Next::Nack(stay_away));
        }
    }

    fn dead_letter(&mut self, op: OpId) {
        if let Some(slot) = locked(&self.desk).ops.get_mut(&op) {
            slot.put(Next::DeadLetter);
        }
    }

    fn alarm(&mut self, at: At, alarm: AlarmId) {
        let mut desk = locked(&self.desk);
        desk.alarms.push(Reverse((at, alarm)));
        if desk.next_tick.is_none_or(|next| at < next) {
            desk.next_tick = Some(at);
            desk.sooner.raise();
        }
    }

    fn close_idle(&mut self, upstream: UpstreamId) {
        self.outlets.close_idle(upstream);
    }

    fn probe(&mut self, upstream: UpstreamId) {
        let mut desk = locked(&self.desk);
        desk.probes.push_back(upstream);
        desk.probe.raise();
    }

    fn watch_list(&mut self) {
        locked(&self.desk).watch.raise();
    }

    fn over_limit(&mut self, now: At, tenant: TenantId) -> Option<Span> {
        self.limits.get()?.over(now, tenant)
    }

    fn log(&mut self, line: &str) {
        self.outlets.log(line);
    }
}

impl Facade {
    pub fn new(now: At, seed: u64, terms: StartTerms, outlets: Box<dyn Outlets>) -> Facade {
        let desk = Arc::new(Mutex::new(Desk { now: Some(now), ..Desk::default() }));
        // A list that comes unasked in the simulator has to be asked for here like any other.
        locked(&desk).watch.raise();
        let limits = Limited::default();
        let hands = Hands { desk: desk.clone(), limits: limits.clone(), outlets };
        Facade { balancer: Arc::new(Mutex::new(Balancer::new(seed, terms, hands))), desk, limits }
    }

    /// From now on, and until the process ends, these limits of the whole fleet bind as well. The first call counts.
    pub fn limit(&self, limits: Arc<dyn Limits>) {
        let _ = self.limits.set(limits);
    }

    fn decide(&self, now: At, call: impl FnOnce(&mut Balancer<Hands>)) {
        let mut balancer = locked(&self.balancer);
        let shared = {
            let mut desk = locked(&self.desk);
            desk.now = Some(now);
            desk.shared
        };
        if let Some(Shared { now: sharing, until, after }) = shared {
            let Sharing { among, cold_part } = if now < until { sharing } else { after };
            (balancer.terms.balancers, balancer.terms.cold.part) = (among, cold_part);
        }
        call(&mut balancer);
    }

    /// Hands an op over. From now on it is owed a final answer.
    pub fn take(&self, now: At, new: NewOp) -> OpId {
        let op = {
            let mut desk = locked(&self.desk);
            // Ids wrap round after months, and an op lives for seconds.
            desk.last_op = desk.last_op.wrapping_add(1);
            let op = OpId(desk.last_op);
            desk.ops.insert(op, Slot::default());
            op
        };
        let NewOp { category, tenant, key, hint, time_left } = new;
        let arrival = OpArrival { op, key, tenant, category, time_left, hint };
        self.decide(now, |balancer| balancer.op_arrived(now, arrival));
        op
    }

    /// Waits for what is to be done with the op next. After a final answer it is held no longer.
    pub async fn pick(&self, op: OpId) -> Next {
        poll_fn(|cx| {
            let mut desk = locked(&self.desk);
            let Some(slot) = desk.ops.get_mut(&op) else { return Poll::Pending };
            let Some(next) = slot.next.pop_front() else {
                slot.waker = Some(cx.waker().clone());
                return Poll::Pending;
            };
            if !matches!(next, Next::Push(_)) {
                desk.ops.remove(&op);
            }
            Poll::Ready(next)
        })
        .await
    }

    /// Waits until the push is no longer wanted; it is still reported then.
    pub async fn called_off(&self, push: &Push) {
        let key = (push.op, push.number);
        let poll = |cx: &mut Context| match locked(&self.desk).called_off.get_mut(&key) {
            Some(flag) => flag.poll(cx),
            None => Poll::Pending,
        };
        poll_fn(poll).await
    }

    /// Whether the push may still begin: it was not called off, and the decisions would have it begin.
    pub fn wants(&self, push: &Push) -> impl Fn(At) -> bool + Send + 'static {
        let (facade, op, number) = (self.clone(), push.op, push.number);
        move |now| {
            let flag = |desk: &Desk| desk.called_off.get(&(op, number)).is_none_or(|flag| flag.raised);
            let is_called_off = flag(&locked(&facade.desk));
            !is_called_off && locked(&facade.balancer).may_begin(now, op, number)
        }
    }

    /// How a push ended. True where its answer is the op's final one; false also where that has been given.
    pub fn report(&self, now: At, push: Push, ending: Ending) -> bool {
        let Push { upstream, op, number, at } = push;
        let is_held = {
            let mut desk = locked(&self.desk);
            desk.called_off.remove(&(op, number));
            desk.ops.get(&op).is_some_and(|slot| !slot.is_decided())
        };
        let is_final = is_held && ending == Ending::Acked;
        let concluded = is_final || !is_held;
        let end = PushEnd { op, push: number, upstream, concluded, ending, took: now - at };
        self.decide(now, |balancer| balancer.push_ended(now, end));
        if is_final {
            self.let_go(now, op);
        }
        is_final
    }

    /// What the op sends can be sent once only, and has begun to go: it is pushed no more.
    pub fn report_streaming(&self, now: At, op: OpId) {
        self.decide(now, |balancer| balancer.stream_started(now, op));
    }

    /// The op has no more time. [`Facade::pick`] says how it ends, once what is out for it has been reported.
    pub fn cut_short(&self, now: At, op: OpId) {
        self.decide(now, |balancer| balancer.op_cut_short(now, op));
    }

    /// The client has gone, or has its final answer.
    pub fn report_gone(&self, now: At, op: OpId) {
        if locked(&self.desk).ops.contains_key(&op) {
            self.decide(now, |balancer| balancer.op_expired(now, op));
            self.let_go(now, op);
        }
    }

    /// Guards against pushes that nobody fetched any more: unreported they would count as in flight for ever.
    fn let_go(&self, now: At, op: OpId) {
        let slot = locked(&self.desk).ops.remove(&op);
        for next in slot.into_iter().flat_map(|slot| slot.next) {
            if let Next::Push(push) = next {
                self.report(now, push, Ending::NeverSent);
            }
        }
    }

    /// Waits until servers are to be asked for their load; each is told of to [`Facade::report_probe`] in the end.
    pub async fn probes_wanted(&self) -> Vec<UpstreamId> {
        poll_fn(|cx| {
            let mut desk = locked(&self.desk);
            desk.probe.poll(cx).map(|()| desk.probes.drain(..).collect())
        })
        .await
    }

    pub fn report_probe(&self, now: At, end: ProbeEnd) {
        self.decide(now, |balancer| balancer.probe_ended(now, end));
    }

    /// Lets the time pass and hands over what the list brought. Returns when to be called next.
    pub fn tick(&self, now: At, news: News) -> Option<At> {
        self.decide(now, |balancer| match news {
            News::Nothing => {}
            News::Whole(rows) => balancer.list_given(now, rows),
            News::Changes(rows) => balancer.list_changed(now, rows),
            News::CallFailed => balancer.list_call_failed(now),
        });
        // Those that ring may set others that are due at once; these ring at the next tick.
        let due: Vec<AlarmId> = {
            let mut desk = locked(&self.desk);
            let is_due = |alarm: &Reverse<(At, AlarmId)>| alarm.0.0 <= now;
            let mut due = Vec::new();
            while desk.alarms.peek().is_some_and(is_due) {
                due.extend(desk.alarms.pop().map(|alarm| alarm.0.1));
            }
            due
        };
        self.decide(now, |balancer| due.into_iter().for_each(|alarm| balancer.alarm_rang(now, alarm)));
        let mut desk = locked(&self.desk);
        desk.next_tick = desk.alarms.peek().map(|alarm| alarm.0.0);
        desk.next_tick
    }

    /// Others say that it is ill, by evidence since then at the most: a claim.
    pub fn claim_ill(&self, now: At, upstream: UpstreamId, since: At) {
        self.decide(now, |balancer| balancer.claimed_ill(now, upstream, since));
    }

    /// The servers that have to prove themselves now.
    pub fn doubts(&self) -> Vec<Doubt> {
        let balancer = locked(&self.balancer);
        let doubt = |(upstream, claimed, failures)| Doubt { upstream, claimed, failures };
        balancer.doubts().map(doubt).collect()
    }

    /// From now on this many share what all may do together. It is looked at with each decision.
    pub fn share(&self, shared: Shared) {
        locked(&self.desk).shared = Some(shared);
    }

    /// What is held for ops that are not over: ops on the desk, pushes that may be called off, alarms, and ops in the
    /// decisions. When none is in hand, all of it comes back to nothing.
    pub fn held(&self) -> [usize; 4] {
        let in_decisions = locked(&self.balancer).ops_held();
        let desk = locked(&self.desk);
        [desk.ops.len(), desk.called_off.len(), desk.alarms.len(), in_decisions]
    }

    /// How many of the servers that are listed as ready the decisions avoid now.
    pub fn avoided(&self, now: At) -> usize {
        locked(&self.balancer).avoided(now)
    }

    /// How many servers are listed as ready, how many of them have answered lately, and how many answers were measured.
    pub fn evidence(&self) -> (usize, usize, usize) {
        let mut balancer = locked(&self.balancer);
        let (_, seen, servers) = balancer.learned();
        let answered = servers.ready().filter(|(_, server)| server.answered.last().is_some());
        (servers.ready().count(), answered.count(), seen.measured.answers)
    }

    /// What the decisions have learned, as a text that the next process of this balancer may go on from.
    pub fn learned(&self, now: At) -> String {
        let mut balancer = locked(&self.balancer);
        let (table, seen, servers) = balancer.learned();
        learned::write(now, table, seen, servers)
    }

    /// Goes on from what another process of this balancer has learned.
    pub fn go_on_from(&self, now: At, text: &str) {
        let mut balancer = locked(&self.balancer);
        let (table, seen, servers) = balancer.learned();
        learned::read(text, now, table, seen, servers);
    }

    /// Waits until the next tick is wanted sooner than the last one said.
    pub async fn sooner(&self) {
        poll_fn(|cx| locked(&self.desk).sooner.poll(cx)).await
    }

    /// Waits until the list is to be watched, at the start and after a call that failed.
    pub async fn watch_wanted(&self) {
        poll_fn(|cx| locked(&self.desk).watch.poll(cx)).await
    }
}
