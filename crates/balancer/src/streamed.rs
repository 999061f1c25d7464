//! Bodies that are not held whole: of an op, the rest behind its first bytes, which one push alone may send; of an
//! answer, all from its first bytes on. It must never let two pushes send the rest of one op, or let an answer that broke
//! look whole.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};

use axum::BoxError;
use axum::body::Body;
use axum::response::Response;
use bytes::{Bytes, BytesMut};
use doorproxy::ids::{At, Span};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use tokio::sync::Notify;

use crate::bodies::{BodyFault, LARGEST_BODY};
use crate::connection::Connection;
use crate::figures::{Ending, InHand};
use crate::world::{World, duration};

/// Half as much again as the largest that the platform's pages tell of. What is longer is turned away or cut off.
pub const LARGEST_STREAMED: u64 = 48 << 20;
/// More than systems keep of a connection's bytes on both sides of it.
const IN_BUFFERS: u64 = 4 << 20;
/// How often it is seen whether the client of an op that goes on slowly may have given up.
const BETWEEN_LOOKS: Span = Span(500);
/// Neither side may stand still for longer with something to send or read.
pub const LONGEST_SILENCE: Span = Span(100_000);

/// The body of an op.
#[derive(Clone)]
pub enum Load {
    Held(Bytes),
    Streamed(Arc<Source>),
}

/// What an answer carries that is on its way when its head goes: its connection does not rest yet.
#[derive(Clone, Copy)]
pub struct Passes;

impl Load {
    /// Ends when the op's time is over, which counts from its last byte.
    pub async fn over<W: World>(&self, world: &W, ends: At, time_left: Span) {
        let Load::Streamed(source) = self else { return world.sleep_until(ends).await };
        loop {
            let stage = source.stage();
            match stage {
                Going::Whole(at) => return world.sleep_until(at + time_left).await,
                Going::Claimed => {
                    let given_up_at = source.given_up_at(time_left);
                    if given_up_at.is_some_and(|at| at <= world.now()) {
                        return;
                    }
                    let look = (world.now() + BETWEEN_LOOKS).min(given_up_at.unwrap_or(At(i64::MAX)));
                    tokio::select! {
                        biased;
                        () = source.left(stage) => {}
                        () = world.sleep_until(look) => {}
                    }
                }
                // Nothing of it goes anywhere: it waits like any other.
                Going::Unclaimed => tokio::select! {
                    biased;
                    () = source.left(stage) => {}
                    () = world.sleep_until(ends) => return,
                },
            }
        }
    }

    /// Tells when a push begins to send what no other may send any more, and when the last byte has come. Never ends.
    pub async fn follow(&self, claimed: impl FnOnce(), whole: impl FnOnce()) {
        if let Load::Streamed(source) = self {
            source.left(Going::Unclaimed).await;
            claimed();
            source.left(Going::Claimed).await;
        }
        whole();
        std::future::pending().await
    }

    pub fn is_unfinished(&self) -> bool {
        matches!(self, Load::Streamed(source) if source.is_unfinished())
    }

    /// Ends where the rest of it began to go and stands still for too long.
    pub async fn stands_still<W: World>(&self, world: &W) {
        let Load::Streamed(source) = self else { return std::future::pending().await };
        while !source.stands_still(world.now()) {
            world.sleep(duration(LONGEST_SILENCE) / 10).await;
        }
    }
}

/// Holds what fits; of a larger body so much as fits, and the rest as it comes.
pub async fn take_in<W: World>(
    mut body: Body,
    most: u64,
    client: &Arc<Connection<W>>,
) -> Result<Load, BodyFault> {
    let hint = body.size_hint();
    if hint.lower() > most {
        return Err(BodyFault::TooLarge);
    }
    let mut held = BytesMut::new();
    while held.len() <= LARGEST_BODY {
        if held.len() as u64 > most {
            return Err(BodyFault::TooLarge);
        }
        match body.frame().await {
            None => return Ok(Load::Held(held.freeze())),
            Some(Err(_)) => return Err(BodyFault::Broken),
            Some(Ok(frame)) => held.extend(frame.into_data().ok()),
        }
    }
    // Nothing more of it is read until it goes on.
    client.hides_end.notify_one();
    let client = client.clone();
    let (moved, mostly_sent) = (client.now(), None);
    let state = State {
        rest: body,
        stage: Going::Unclaimed,
        pushes: 0,
        claimed_by: None,
        sent: 0,
        moved,
        mostly_sent,
    };
    let source = Source {
        length: hint.exact(),
        most,
        held: held.freeze(),
        pace: Box::new(move || (client.now(), client.pace())),
        state: Mutex::new(state),
        changed: Notify::new(),
    };
    Ok(Load::Streamed(Arc::new(source)))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Going {
    Unclaimed,
    /// A push sends it: no other may.
    Claimed,
    /// Its last byte came then, and goes out.
    Whole(At),
}

pub struct Source {
    /// As it was announced.
    length: Option<u64>,
    most: u64,
    held: Bytes,
    /// The time now, and what is known of its client's pace.
    pace: Box<dyn Fn() -> (At, (At, bool)) + Send + Sync>,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    rest: Body,
    stage: Going,
    /// Each push that may send it has a number of its own.
    pushes: u64,
    claimed_by: Option<u64>,
    sent: u64,
    /// When bytes last went on.
    moved: At,
    /// Since when no more is left than may stand in buffers on the way.
    mostly_sent: Option<At>,
}

impl Source {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while a body is held")
    }

    fn stage(&self) -> Going {
        self.state().stage
    }

    fn go(&self, state: &mut State, stage: Going) {
        if !matches!(state.stage, Going::Whole(_)) {
            state.stage = stage;
            self.changed.notify_waiters();
        }
    }

    /// Waits until it goes on from here. By turns in the order in which they came: a watch wakes them by chance.
    async fn left(&self, stage: Going) {
        loop {
            let changed = self.changed.notified();
            if self.stage() != stage {
                return;
            }
            changed.await;
        }
    }

    /// Its last byte has not been given to any push: none ran.
    fn is_unfinished(&self) -> bool {
        !matches!(self.stage(), Going::Whole(_))
    }

    /// Its client may have sent the last byte as early as this: what was not waited for was there already. Guards
    /// against an op whose time we count from when we could read it, while its client's runs already.
    fn came_by(&self, state: &State) -> At {
        let (_, (came_at, _)) = (self.pace)();
        if self.length.is_some_and(|length| length > IN_BUFFERS) {
            state.mostly_sent.unwrap_or(came_at).max(came_at)
        } else {
            came_at
        }
    }

    /// When its client gives up, if it has sent everything; none where it can't have.
    fn given_up_at(&self, time_left: Span) -> Option<At> {
        let state = self.state();
        let (_, (_, waits)) = (self.pace)();
        let may_be_whole = !waits && state.mostly_sent.is_some();
        may_be_whole.then(|| self.came_by(&state) + time_left)
    }

    /// It began to go, and has stood still for too long.
    fn stands_still(&self, now: At) -> bool {
        let state = self.state();
        state.stage == Going::Claimed && now - state.moved >= LONGEST_SILENCE
    }
}

/// What one push sends.
pub struct Outbound {
    load: Load,
    push: u64,
    sent_held: bool,
}

impl Outbound {
    pub fn new(load: Load) -> Outbound {
        let push = match &load {
            Load::Held(_) => 0,
            Load::Streamed(source) => {
                let mut state = source.state();
                state.pushes += 1;
                state.pushes
            }
        };
        Outbound { load, push, sent_held: false }
    }
}

impl hyper::body::Body for Outbound {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let (sent_held, push) = (std::mem::replace(&mut self.sent_held, true), self.push);
        let source = match &self.load {
            Load::Held(bytes) if sent_held || bytes.is_empty() => return Poll::Ready(None),
            Load::Held(bytes) => return Poll::Ready(Some(Ok(Frame::data(bytes.clone())))),
            Load::Streamed(source) => source,
        };
        let mut state = source.state();
        let now = (source.pace)().0;
        if *state.claimed_by.get_or_insert(push) != push {
            return Poll::Ready(Some(Err("another push sends this body".into())));
        }
        let data = if !sent_held {
            source.go(&mut state, Going::Claimed);
            Some(source.held.clone())
        } else {
            loop {
                match ready!(Pin::new(&mut state.rest).poll_frame(cx)) {
                    None => break None,
                    Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                    // Trailers go no further than one connection.
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => break Some(data),
                        Err(_) => continue,
                    },
                }
            }
        };
        state.moved = now;
        state.sent += data.as_ref().map_or(0, |data| data.len() as u64);
        if state.sent > source.most {
            return Poll::Ready(Some(Err("the body is too large".into())));
        }
        if source.length.is_none_or(|length| length <= state.sent + IN_BUFFERS) {
            state.mostly_sent.get_or_insert(now);
        }
        // Before the last bytes are handed on: from then on it may run.
        if data.is_none() || Some(state.sent) == source.length {
            let whole_at = source.came_by(&state);
            source.go(&mut state, Going::Whole(whole_at));
        }
        Poll::Ready(data.map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.load, Load::Held(bytes) if self.sent_held || bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.load {
            Load::Held(bytes) => SizeHint::with_exact(if self.sent_held { 0 } else { bytes.len() as u64 }),
            Load::Streamed(source) => source.length.map_or(SizeHint::new(), SizeHint::with_exact),
        }
    }
}

/// The body of an answer: whole, or its first bytes and the rest as it comes.
#[derive(Debug)]
pub enum Coming {
    Held(Bytes),
    Streamed { first: Bytes, rest: Incoming },
}

/// Holds an answer that is short; the rest of one that is longer, or not over after a while, is left to come.
pub async fn hold<W: World>(world: &W, mut body: Incoming, at_most: Span) -> Result<Coming, BodyFault> {
    let hint = body.size_hint();
    if hint.lower() > LARGEST_STREAMED {
        return Err(BodyFault::TooLarge);
    }
    let is_long = hint.lower() > LARGEST_BODY as u64;
    let is_open = hint.exact().is_none();
    let until = world.now() + at_most;
    let mut held = BytesMut::new();
    loop {
        let frame = if is_open && !held.is_empty() {
            match world.timeout(world.until(until), body.frame()).await {
                Some(frame) => frame,
                None => return Ok(Coming::Streamed { first: held.freeze(), rest: body }),
            }
        } else {
            body.frame().await
        };
        match frame {
            None => return Ok(Coming::Held(held.freeze())),
            Some(Err(_)) => return Err(BodyFault::Broken),
            Some(Ok(frame)) => held.extend(frame.into_data().ok()),
        }
        if is_long || held.len() > LARGEST_BODY {
            return Ok(Coming::Streamed { first: held.freeze(), rest: body });
        }
    }
}

/// An answer on its way to the client, from its first bytes to its last.
pub struct Passing<W: World> {
    world: W,
    client: Arc<Connection<W>>,
    first: Option<Bytes>,
    rest: Incoming,
    passed: u64,
    heard: At,
    timer: Pin<Box<dyn Future<Output = ()> + Send + Sync>>,
    /// None once it is over.
    in_hand: Option<(InHand, String)>,
}

/// The answer as its client gets it. One that is whole is counted by whoever gives it.
pub fn pass_on<W: World>(
    world: &W,
    client: &Arc<Connection<W>>,
    answer: Response<Coming>,
    in_hand: InHand,
    category: &str,
) -> Response {
    let (head, body) = answer.into_parts();
    match body {
        Coming::Held(body) => Response::from_parts(head, Body::from(body)),
        Coming::Streamed { first, rest } => {
            let body =
                Passing::new(world.clone(), client.clone(), (first, rest), in_hand, category.to_string());
            let mut answer = Response::from_parts(head, Body::new(body));
            answer.extensions_mut().insert(Passes);
            answer
        }
    }
}

impl<W: World> Passing<W> {
    fn new(
        world: W,
        client: Arc<Connection<W>>,
        (first, rest): (Bytes, Incoming),
        in_hand: InHand,
        category: String,
    ) -> Passing<W> {
        client.answers();
        let (heard, timer) = (world.now(), Box::pin(world.sleep(duration(LONGEST_SILENCE))));
        let (first, in_hand) = (Some(first), Some((in_hand, category)));
        Passing { world, client, first, rest, passed: 0, heard, timer, in_hand }
    }

    fn end(&mut self, ending: Ending) {
        if let Some((in_hand, category)) = self.in_hand.take() {
            in_hand.ended(&category, ending);
        }
    }

    fn breaks(&mut self, why: impl Into<BoxError>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        self.end(Ending::Errored);
        Poll::Ready(Some(Err(why.into())))
    }
}

impl<W: World> hyper::body::Body for Passing<W> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let this = &mut *self;
        this.client.moves();
        let data = match this.first.take().filter(|first| !first.is_empty()) {
            Some(first) => first,
            None => loop {
                match Pin::new(&mut this.rest).poll_frame(cx) {
                    Poll::Ready(None) => {
                        this.end(Ending::Answered);
                        return Poll::Ready(None);
                    }
                    Poll::Ready(Some(Err(error))) => return this.breaks(error),
                    Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                        Ok(data) => break data,
                        Err(_) => continue,
                    },
                    Poll::Pending => {
                        while this.timer.as_mut().poll(cx).is_ready() {
                            let left = this.heard + LONGEST_SILENCE - this.world.now();
                            if left <= Span::ZERO {
                                return this.breaks(io::Error::from(io::ErrorKind::TimedOut));
                            }
                            this.timer = Box::pin(this.world.sleep(duration(left)));
                        }
                        return Poll::Pending;
                    }
                }
            },
        };
        this.heard = this.world.now();
        this.passed += data.len() as u64;
        if this.passed > LARGEST_STREAMED {
            return this.breaks("the answer is too large");
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        self.rest.size_hint().exact().map_or(SizeHint::new(), |rest| SizeHint::with_exact(first + rest))
    }
}

impl<W: World> Drop for Passing<W> {
    fn drop(&mut self) {
        // The library asks for no more once all of the stated length has come. Otherwise the client has gone, and nobody
        // knows what it has seen.
        if self.size_hint().exact() == Some(0) {
            self.end(Ending::Answered);
        }
        self.client.rests();
    }
}
