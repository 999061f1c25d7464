//! What is known of one connection of a client: how far it has come, and what it is still owed. It must never touch
//! the connection's bytes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};

use axum::http::StatusCode;
use doorproxy::ids::{At, Span};
use tokio::sync::Notify;

use crate::world::World;

/// A connection that stands open between ops is closed after this; the client opens another.
const IDLE: Span = Span(100_000);
/// From its first byte to its last, or from the connection where that brings its first op: what is not whole by
/// then is not taken.
pub const SLOWEST_OP: Span = Span(20_000);

/// Why a client's bytes are read no further, as it is told.
pub type Fault = (StatusCode, &'static str);

/// One connection of a client.
pub struct Connection<W> {
    world: W,
    stage: Mutex<Stage>,
    /// The library has a head whose answer it has not been given yet.
    owes_answer: AtomicBool,
    /// Nothing behind the op that is coming will be read.
    is_last: AtomicBool,
    fault: Mutex<Option<Fault>>,
    pub close: Notify,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Stage {
    /// Since then no op has come whole, and none before it.
    New(At),
    Idle(At),
    /// The first byte of an op came then.
    Coming(At),
    /// An op was read whole and is not answered yet.
    Held,
    /// Told to close while it stood without an op: not chosen again.
    Closing,
    /// Told to close because its op takes too long to come.
    Cut,
}

impl<W: World> Connection<W> {
    pub fn new(world: W) -> Connection<W> {
        let stage = Mutex::new(Stage::New(world.now()));
        let (owes_answer, is_last) = (AtomicBool::new(false), AtomicBool::new(false));
        Connection { world, stage, owes_answer, is_last, fault: Mutex::default(), close: Notify::new() }
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
        *self.stage() == Stage::Held
    }

    /// A byte of an op has come.
    pub fn begins(&self) {
        let mut stage = self.stage();
        match *stage {
            Stage::New(at) => *stage = Stage::Coming(at),
            // Guards against an op half read and then dropped, which came in the moment of the choice.
            Stage::Idle(_) | Stage::Closing => *stage = Stage::Coming(self.world.now()),
            _ => {}
        }
    }

    /// Some of an op has been read: to close now would lose it.
    pub fn has_begun(&self) -> bool {
        matches!(*self.stage(), Stage::Coming(_))
    }

    /// Its answer has been given. True where that was the last.
    pub fn rests(&self) -> bool {
        *self.stage() = Stage::Idle(self.world.now());
        self.owes_answer.store(false, Ordering::Relaxed);
        self.is_last.load(Ordering::Relaxed)
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
            Stage::New(at) | Stage::Coming(at) => at + SLOWEST_OP,
            Stage::Idle(at) => at + IDLE,
            Stage::Held | Stage::Closing | Stage::Cut => self.world.now() + SLOWEST_OP,
        }
    }
}
