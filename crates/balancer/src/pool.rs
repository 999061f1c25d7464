//! The connections to one upstream: those that rest, those that come up, and what passes on each. It must never begin an op
//! by itself, or let one begin that nobody wants any more by its first byte.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::task::{Context, Poll, ready};

use axum::http::Request;
use axum::response::Response;
use doorproxy::ids::{At, Span};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use crate::bodies::LARGEST_BODY;
use crate::figures::Figures;
use crate::streamed::Outbound;
use crate::upstreams::REPORT;
use crate::world::{Stream, World, duration};

/// All that a connection needs to come up, and how long it may take and rest.
#[derive(Clone)]
pub struct Dial<W> {
    pub world: W,
    pub address: SocketAddr,
    pub timeout: Span,
    /// It is closed after so long without an op.
    pub rests: Span,
    pub sockets: Arc<Semaphore>,
    pub figures: Arc<Figures>,
}

impl<W: World> Dial<W> {
    async fn dial(&self) -> io::Result<Wire<W>> {
        let held = self.sockets.clone().acquire_owned().await.map_err(io::Error::other)?;
        let stream = self.world.connect(self.address).await?;
        Ok(Wire::new(self.world.clone(), stream, held, self.figures.clone()))
    }

    async fn connect(&self) -> io::Result<Conversation> {
        let up = self.world.timeout(duration(self.timeout), self.dial()).await;
        let wire = up.unwrap_or(Err(io::ErrorKind::TimedOut.into()))?;
        let marks = wire.marks.clone();
        let shake =
            http1::Builder::new().preserve_header_case(true).max_buf_size(LARGEST_BODY).handshake(wire).await;
        let (sender, connection) = shake.map_err(io::Error::other)?;
        self.world.spawn(async move { drop(connection.await) });
        Ok(Conversation { sender, marks })
    }
}

/// One connection, for one op at a time.
pub struct Conversation {
    sender: SendRequest<Outbound>,
    pub marks: Arc<Marks>,
}

/// How an exchange failed.
pub enum Fault {
    /// Its first byte was held back: nobody wanted it any more.
    Unwanted,
    /// Proved: the connection was gone before the op was written to it, or a write failed, and with it the last byte.
    NeverWritten,
    /// At any time after that, or nobody knows when.
    Broken,
}

impl Conversation {
    /// `is_wanted` is asked as the first byte is about to go.
    pub async fn exchange(
        &mut self,
        request: Request<Outbound>,
        is_wanted: impl Fn() -> bool + Send + 'static,
    ) -> Result<Response<Incoming>, Fault> {
        self.marks.begins(Box::new(is_wanted));
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|error| match () {
            () if self.marks.is_unwanted.load(Ordering::Relaxed) => Fault::Unwanted,
            () if error.message().is_some() || self.marks.write_failed.load(Ordering::Relaxed) => {
                Fault::NeverWritten
            }
            () => Fault::Broken,
        })
    }

    /// An op was begun on it.
    pub fn was_used(&self) -> bool {
        self.marks.was_used.load(Ordering::Relaxed)
    }
}

struct Resting {
    since: At,
    conversation: Conversation,
}

/// The connections of one upstream that nobody uses. They are closed when it goes.
pub struct Pool<W: World> {
    dial: Dial<W>,
    /// The one that came to rest last is last.
    resting: Mutex<Vec<Resting>>,
    is_swept: AtomicBool,
    freed: Notify,
}

impl<W: World> Pool<W> {
    pub fn new(dial: Dial<W>) -> Arc<Pool<W>> {
        let (resting, is_swept, freed) = (Mutex::default(), AtomicBool::new(false), Notify::new());
        Arc::new(Pool { dial, resting, is_swept, freed })
    }

    fn resting(&self) -> MutexGuard<'_, Vec<Resting>> {
        self.resting.lock().expect("no panic while connections rest")
    }

    fn is_over(&self, resting: &Resting) -> bool {
        let is_ready = resting.conversation.sender.is_ready();
        !is_ready || self.dial.world.now() - resting.since >= self.dial.rests
    }

    fn rested(&self) -> Option<Conversation> {
        let mut resting = self.resting();
        resting.retain(|resting| !self.is_over(resting));
        resting.pop().map(|resting| resting.conversation)
    }

    async fn freed(&self) -> Conversation {
        loop {
            self.freed.notified().await;
            if let Some(conversation) = self.rested() {
                return conversation;
            }
        }
    }

    /// One that rests, or the first that comes to rest or comes up. None: none did in time.
    pub async fn take(self: &Arc<Self>) -> Option<Conversation> {
        if let Some(conversation) = self.rested() {
            return Some(conversation);
        }
        let dial = self.dial.clone();
        let mut comes_up = Box::pin(async move { dial.connect().await });
        tokio::select! {
            biased;
            conversation = self.freed() => {
                // What was begun is of use to the next op.
                let pool = self.clone();
                self.dial.world.spawn(async move {
                    if let Ok(conversation) = comes_up.await {
                        pool.rest(conversation);
                    }
                });
                Some(conversation)
            }
            up = &mut comes_up => up.ok(),
        }
    }

    /// Keeps it for the next op, once the answer that still comes on it has been read whole.
    pub fn put_back(self: &Arc<Self>, mut conversation: Conversation) {
        if conversation.sender.is_ready() {
            return self.rest(conversation);
        }
        let pool = self.clone();
        self.dial.world.spawn(async move {
            if conversation.sender.ready().await.is_ok() {
                pool.rest(conversation);
            }
        });
    }

    fn rest(self: &Arc<Self>, conversation: Conversation) {
        self.resting().push(Resting { since: self.dial.world.now(), conversation });
        self.freed.notify_one();
        if !self.is_swept.swap(true, Ordering::Relaxed) {
            self.dial.world.spawn(sweep(self.dial.clone(), Arc::downgrade(self)));
        }
    }
}

/// Closes what has rested for too long, where no op comes that would look.
async fn sweep<W: World>(dial: Dial<W>, pool: Weak<Pool<W>>) {
    loop {
        dial.world.sleep(duration(dial.rests.times(0.5))).await;
        let Some(pool) = pool.upgrade() else { return };
        let mut resting = pool.resting();
        resting.retain(|resting| !pool.is_over(resting));
        if resting.is_empty() {
            pool.is_swept.store(false, Ordering::Relaxed);
            return;
        }
    }
}

type Question = Box<dyn Fn() -> bool + Send>;

/// What passed on a connection.
#[derive(Default)]
pub struct Marks {
    /// Then the last byte of what was being sent never left.
    write_failed: AtomicBool,
    /// The same, since nobody wanted it any more.
    is_unwanted: AtomicBool,
    /// An op was begun on it.
    was_used: AtomicBool,
    /// When the last byte of the answer came, once it has begun.
    heard: Mutex<Option<At>>,
    /// Whether the op whose first byte comes next is still wanted.
    is_wanted: Mutex<Option<Question>>,
}

impl Marks {
    pub fn heard(&self) -> MutexGuard<'_, Option<At>> {
        self.heard.lock().expect("no panic while it is held")
    }

    fn begins(&self, is_wanted: Question) {
        *self.is_wanted.lock().expect("no panic while it is held") = Some(is_wanted);
    }

    fn is_wanted(&self) -> bool {
        let question = self.is_wanted.lock().expect("no panic while it is held").take();
        question.is_none_or(|is_wanted| is_wanted())
    }
}

/// A connection to an upstream, and its part of the sockets.
struct Wire<W: World> {
    world: W,
    stream: W::Stream,
    marks: Arc<Marks>,
    /// Nothing was written since the last answer.
    between: bool,
    /// A push was begun, and is not counted as sent yet.
    is_due: bool,
    figures: Arc<Figures>,
    _held: OwnedSemaphorePermit,
}

impl<W: World> Wire<W> {
    fn new(world: W, stream: W::Stream, held: OwnedSemaphorePermit, figures: Arc<Figures>) -> Wire<W> {
        let marks = Arc::default();
        Wire { world, stream, marks, between: true, is_due: false, figures, _held: held }
    }

    /// Guards against an op written to a connection that has ended, which may then have run for all that anybody
    /// knows, and against what came behind an answer and would pass for the next one's: the system is asked, for
    /// what the runtime knows is older. And against an op that was decided on before the news that forbid it, and
    /// begins after them: here no await lies between the question and the byte.
    fn begin(&mut self, head: &[u8]) -> io::Result<()> {
        if std::mem::take(&mut self.between) {
            // Probes are nobody's ops.
            self.is_due = !head.strip_prefix(b"GET ").is_some_and(|head| head.starts_with(REPORT.as_bytes()));
            *self.marks.heard() = None;
            let is_wanted = self.marks.is_wanted();
            if !is_wanted || !self.stream.is_quiet() {
                self.marks.is_unwanted.store(!is_wanted, Ordering::Relaxed);
                self.marks.write_failed.store(true, Ordering::Relaxed);
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            self.marks.was_used.store(true, Ordering::Relaxed);
        }
        Ok(())
    }

    fn noted<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Poll::Ready(Err(_)) = written {
            self.marks.write_failed.store(true, Ordering::Relaxed);
        }
        written
    }
}

impl<W: World> Read for Wire<W> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: ReadBufCursor) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, into);
        if read.is_ready() {
            self.between = true;
            *self.marks.heard() = Some(self.world.now());
        }
        read
    }
}

impl<W: World> Write for Wire<W> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.begin(bytes)?;
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.noted(written)
    }

    /// The library asks for it once it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        if std::mem::take(&mut self.is_due) {
            self.figures.sent();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.begin(bytes.first().map_or(&[], |first| first))?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.noted(written)
    }
}

#[cfg(test)]
mod tests;
