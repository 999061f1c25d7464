//! What is known of one connection of a client: how far it has come, and what it is still owed. It must never touch
//! the connection's bytes.

use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use axum::http::StatusCode;
use doorproxy::ids::{At, Span};
use tokio::sync::Notify;

use crate::pulse::Pulse;
use crate::streamed::LONGEST_SILENCE;
use crate::world::World;

/// A connection that stands open between ops is closed after this; the client opens another.
const IDLE: Span = Span(100_000);
/// From a head's first byte to its last, or from the connection where that brings its first op: a usual client may take
/// two seconds, and one that has had no answer three after it connected is owed one.
pub const SLOWEST_HEAD: Span = Span(25_000);
/// So long a body may keep us waiting in one go, and in all beyond what its bytes take at the slowest pace.
const LONGEST_PAUSE: Span = Span(20_000);
/// Bytes in a tenth of a millisecond: half of what a usual client reaches, which is judged by the whole of its time.
const SLOWEST_BODY: f64 = 3.2;

/// Why a client's bytes are read no further, as it is told.
pub type Fault = (StatusCode, &'static str);

/// One connection of a client.
pub struct Connection<W> {
    world: W,
    pulse: Arc<Mutex<Pulse>>,
    stage: Mutex<Stage>,
    /// The library has a head whose answer it has not been given yet.
    owes_answer: AtomicBool,
    /// Nothing behind the op that is coming will be read.
    is_last: AtomicBool,
    /// An answer was given before the last byte of its op had come.
    is_cut_short: AtomicBool,
    fault: Mutex<Option<Fault>>,
    /// When bytes came that had been waited for, in tenths of a millisecond.
    came_at: AtomicI64,
    pub close: Notify,
    /// Bytes are left unread behind the op in hand: the client's end may lie behind them.
    pub hides_end: Notify,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    /// Since then no op has come whole, and none before it.
    New(At),
    Idle(At),
    /// An op has begun to come.
    Coming(Arrival),
    /// An op was read whole and is not answered yet.
    Held,
    /// Its answer is on its way, and moved last then.
    Answering(At),
    /// Told to close while it stood without an op: not chosen again.
    Closing,
    /// Told to close because its op takes too long to come.
    Cut,
}

/// How far an op has come.
#[derive(Clone, Copy, PartialEq)]
pub struct Arrival {
    began: At,
    /// Once its head is whole: the bytes that were handed on, and those that are still to come.
    body: Option<(u64, u64)>,
    /// For how long the body kept us waiting, and since when it does so now. Time in which nobody reads is not its fault.
    waited: Span,
    waits_since: Option<At>,
}

impl Arrival {
    fn begun(began: At) -> Arrival {
        Arrival { began, body: None, waited: Span::ZERO, waits_since: None }
    }

    /// Since when nothing came that was waited for.
    pub fn silent_since(&self) -> Option<At> {
        if self.body.is_none() { Some(self.began) } else { self.waits_since }
    }

    fn due(&self, now: At) -> At {
        let Some((bytes, _)) = self.body else { return self.began + SLOWEST_HEAD };
        let Some(since) = self.waits_since else { return now + LONGEST_PAUSE };
        let earned = LONGEST_PAUSE + Span((bytes as f64 / SLOWEST_BODY) as i64);
        since + Span((earned.0 - self.waited.0).clamp(0, LONGEST_PAUSE.0))
    }
}

impl<W: World> Connection<W> {
    pub fn new(world: W, pulse: Arc<Mutex<Pulse>>) -> Connection<W> {
        let stage = Mutex::new(Stage::New(world.now()));
        let [owes_answer, is_last, is_cut_short] = [false; 3].map(AtomicBool::new);
        let (fault, came_at, close) = (Mutex::default(), AtomicI64::new(world.now().0), Notify::new());
        let hides_end = Notify::new();
        Connection {
            world,
            pulse,
            stage,
            owes_answer,
            is_last,
            is_cut_short,
            fault,
            came_at,
            close,
            hides_end,
        }
    }

    /// The earliest time at which what is read now can have come.
    pub fn reads(&self) -> At {
        let mut pulse = self.pulse.lock().expect("no panic while it is held");
        pulse.came(self.world.now(), self.world.caught_up())
    }

    pub fn now(&self) -> At {
        self.world.now()
    }

    pub fn stage(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().expect("no panic while a stage is held")
    }

    pub fn begins_answer(&self, is_last: bool) {
        self.owes_answer.store(true, Ordering::Relaxed);
        self.is_last.fetch_or(is_last, Ordering::Relaxed);
    }

    pub fn owes_answer(&self) -> bool {
        self.owes_answer.load(Ordering::Relaxed)
    }

    pub fn has_op(&self) -> bool {
        matches!(*self.stage(), Stage::Held | Stage::Answering(_))
    }

    /// A byte of an op has come.
    pub fn begins(&self) {
        let mut stage = self.stage();
        match *stage {
            Stage::New(at) => *stage = Stage::Coming(Arrival::begun(at)),
            // Guards against an op half read and then dropped, which came in the moment of the choice.
            Stage::Idle(_) | Stage::Closing => *stage = Stage::Coming(Arrival::begun(self.world.now())),
            _ => {}
        }
    }

    fn arrives(&self, change: impl FnOnce(&mut Arrival)) {
        if let Stage::Coming(arrival) = &mut *self.stage() {
            change(arrival);
        }
    }

    /// Head and body have so many bytes, and what is read of them came at the latest then.
    pub fn head_came(&self, length: usize, came: At) {
        self.came_at.store(came.0, Ordering::Relaxed);
        self.arrives(|arrival| arrival.body = Some((0, length as u64)));
    }

    /// So many bytes of the op were handed on.
    pub fn came(&self, bytes: usize) {
        let (now, came) = (self.world.now(), self.reads());
        self.arrives(|arrival| {
            let bytes = bytes as u64;
            arrival.body = arrival.body.map(|(came, left)| (came + bytes, left.saturating_sub(bytes)));
            if let Some(since) = arrival.waits_since.take() {
                arrival.waited = arrival.waited + (now - since);
                self.came_at.store(came.0, Ordering::Relaxed);
            }
        });
    }

    /// When bytes last came that had been waited for. What came since was there already, for all that is known.
    pub fn came_at(&self) -> At {
        At(self.came_at.load(Ordering::Relaxed))
    }

    /// The same, and whether more are waited for now.
    pub fn pace(&self) -> (At, bool) {
        let waits = matches!(*self.stage(), Stage::Coming(arrival) if arrival.waits_since.is_some());
        (self.came_at(), waits)
    }

    /// More of the op was asked for, and is not there.
    pub fn waits(&self) {
        let now = self.world.now();
        self.arrives(|arrival| arrival.waits_since = arrival.waits_since.or(Some(now)));
    }

    fn note_rest(&self) {
        let has_rest = |arrival: Arrival| arrival.body.is_some_and(|(_, left)| left > 0);
        if matches!(*self.stage(), Stage::Coming(arrival) if has_rest(arrival)) {
            self.is_cut_short.store(true, Ordering::Relaxed);
        }
    }

    /// Its answer begins to pass.
    pub fn answers(&self) {
        self.note_rest();
        *self.stage() = Stage::Answering(self.world.now());
    }

    /// More of its answer was asked for.
    pub fn moves(&self) {
        if let Stage::Answering(at) = &mut *self.stage() {
            *at = self.world.now();
        }
    }

    /// Some of an op has been read: to close now would lose it.
    pub fn has_begun(&self) -> bool {
        matches!(*self.stage(), Stage::Coming(_))
    }

    /// Its answer has been given.
    pub fn rests(&self) {
        self.note_rest();
        *self.stage() = Stage::Idle(self.world.now());
        self.owes_answer.store(false, Ordering::Relaxed);
    }

    pub fn is_last(&self) -> bool {
        self.is_last.load(Ordering::Relaxed)
    }

    /// Its client may still be sending the op that was answered.
    pub fn is_cut_short(&self) -> bool {
        self.is_cut_short.load(Ordering::Relaxed)
    }

    /// It is read no further, and told why once the library has let go of it.
    pub fn turn_away(&self, fault: Fault) {
        *self.fault.lock().expect("no panic while a fault is held") = Some(fault);
    }

    pub fn fault(&self) -> Option<Fault> {
        self.fault.lock().expect("no panic while a fault is held").take()
    }

    /// When its time is up, unless it moves on.
    pub fn due(&self) -> At {
        match *self.stage() {
            Stage::New(at) => at + SLOWEST_HEAD,
            Stage::Coming(arrival) => arrival.due(self.world.now()),
            Stage::Idle(at) => at + IDLE,
            Stage::Answering(at) => at + LONGEST_SILENCE,
            Stage::Held | Stage::Closing | Stage::Cut => self.world.now() + SLOWEST_HEAD,
        }
    }
}
