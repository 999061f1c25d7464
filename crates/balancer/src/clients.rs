//! The connections of clients: how many there may be, which are let go for others, and each from its first byte to its
//! last. It must never end one under an op in hand, or look at what an op is.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::http::{HeaderValue, StatusCode, header};
use doorproxy::ids::{At, Span};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use tokio::sync::Notify;
use tower_service::Service;

use crate::connection::{Connection, SLOWEST_HEAD, Stage};
use crate::heads::{Heads, LARGEST_HEAD};
use crate::note;
use crate::pulse::Pulse;
use crate::streamed::{LARGEST_STREAMED, Passes};
use crate::world::{Listener, Stream, World, duration};

/// What a connection that is to close may still take to flush its last answer.
const LINGER: Span = Span(1000);
/// How often it is seen whether a client has gone behind bytes that nobody reads.
const BETWEEN_LOOKS: Span = Span(300);
/// A connection that came so lately may be about to bring an op.
const FRESH: Span = Span(2000);
/// What a client still sends when it is turned away is read so far: closing over it would reset the connection,
/// and the answer be lost with it.
const MOST_UNREAD: usize = 256 << 10;

pub struct Clients<W: World> {
    world: W,
    /// All sockets that the process may use now.
    sockets: AtomicUsize,
    next: AtomicU64,
    open: Mutex<BTreeMap<u64, Arc<Connection<W>>>>,
    freed: Notify,
    pulse: Arc<Mutex<Pulse>>,
}

impl<W: World> Clients<W> {
    pub fn new(world: W, sockets: usize) -> Arc<Clients<W>> {
        let (next, open, freed) = (AtomicU64::new(0), Mutex::default(), Notify::new());
        let pulse = Arc::new(Mutex::new(Pulse::start(world.now())));
        Arc::new(Clients { world, sockets: AtomicUsize::new(sockets), next, open, freed, pulse })
    }

    /// From now on the process may use so many sockets: another of the same balancer uses the rest, or has gone.
    pub fn may_use(&self, sockets: usize) {
        self.sockets.store(sockets, Ordering::Relaxed);
    }

    fn sockets(&self) -> usize {
        self.sockets.load(Ordering::Relaxed)
    }

    /// How many connections may have an op in hand.
    fn most(&self) -> usize {
        self.sockets() * 10 / 16
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<Connection<W>>>> {
        self.open.lock().expect("no panic while the connections are held")
    }

    pub fn count(&self) -> usize {
        self.open().len()
    }

    /// Lets go of all that stand without an op, but for those that have only just come to bring one.
    pub fn close_all(&self) {
        let now = self.world.now();
        let is_new = |client: &&Arc<Connection<W>>| matches!(*client.stage(), Stage::New(since) if now - since <= FRESH);
        self.open().values().filter(|client| !is_new(client)).for_each(|client| client.close.notify_one());
    }

    /// Lets go of up to so many connections that stand without an op, those first that never brought one: hundreds
    /// may connect and say nothing. One that has only just come, or brings an op slowly, is left alone a while.
    pub fn close_idle(&self, most: usize) {
        let clients = self.open();
        let now = self.world.now();
        let mut idle: Vec<(At, &Arc<Connection<W>>)> = clients
            .values()
            .filter_map(|client| match *client.stage() {
                Stage::New(since) if now - since > FRESH => Some((since - SLOWEST_HEAD, client)),
                Stage::Coming(arrival) => {
                    let since = arrival.silent_since()?;
                    (now - since > SLOWEST_HEAD.times(0.5)).then_some((since - SLOWEST_HEAD, client))
                }
                Stage::Idle(since) if now - since > LINGER => Some((since, client)),
                _ => None,
            })
            .collect();
        idle.sort_by_key(|(since, _)| *since);
        for (_, client) in idle.into_iter().take(most) {
            let is_slow = client.has_begun();
            *client.stage() = if is_slow { Stage::Cut } else { Stage::Closing };
            client.close.notify_one();
        }
    }

    /// Guards against clients that ask once and keep their connection: the platform lets clients have a part of the
    /// sockets, so that the usual ones could open no more long before ours run out. It ticks the pulse as well.
    pub async fn keep(&self) {
        loop {
            self.world.sleep(duration(LINGER.times(0.5))).await;
            let still = self.pulse.lock().expect("no panic while it is held").tick(self.world.now());
            if let Some(still) = still {
                note!(self.world, "this process stood still for {} ms", still.0 / 10);
            }
            let over = self.open().len().saturating_sub(self.sockets() / 6);
            if over > 0 {
                self.close_idle(over);
            }
        }
    }

    pub fn is_short(&self) -> bool {
        self.open().len() * 8 >= self.most() * 7
    }

    /// A few more are accepted than may have an op in hand, and nacked at once: guards against ops that wait
    /// unseen in the backlog while their time runs out.
    pub fn turns_away(&self) -> bool {
        let (clients, most) = (self.open(), self.most());
        clients.len() > most && clients.values().filter(|client| client.has_op()).count() >= most
    }

    pub async fn accept(&self, listener: &W::Listener) -> W::Stream {
        loop {
            let most = self.most();
            if self.open().len() >= most {
                self.close_idle(1);
            }
            if self.open().len() >= most + most / 20 {
                let _ = self.world.timeout(duration(LINGER), self.freed.notified()).await;
                continue;
            }
            match listener.accept().await {
                Ok(stream) => return stream,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(error) => {
                    // Most often no descriptor is free; a moment later one may be.
                    note!(self.world, "a connection could not be accepted: {error}");
                    self.close_idle(1);
                    self.world.sleep(Duration::from_millis(5)).await;
                }
            }
        }
    }

    /// Serves the connection as a task of its own.
    pub fn spawn(self: &Arc<Self>, router: &Router, stream: W::Stream) {
        if self.is_short() {
            self.close_idle(1);
        }
        let client = Arc::new(Connection::new(self.world.clone(), self.pulse.clone()));
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.open().insert(number, client.clone());
        let (clients, router) = (self.clone(), router.clone());
        self.world.spawn(async move {
            converse(&clients.world, router, stream, &client).await;
            clients.open().remove(&number);
            clients.freed.notify_one();
        });
    }
}

async fn converse<W: World>(world: &W, router: Router, stream: W::Stream, client: &Arc<Connection<W>>) {
    let stream = Arc::new(stream);
    let service = service_fn(|mut request: hyper::Request<Incoming>| {
        request.extensions_mut().insert(client.clone());
        let answer = router.clone().call(request.map(Body::new));
        async move {
            let mut answer = answer.await;
            if let Ok(answer) = &mut answer {
                if answer.extensions().get::<Passes>().is_none() {
                    client.rests();
                }
                if client.is_last() || client.is_cut_short() {
                    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
            }
            answer
        }
    });
    {
        let connection = http1::Builder::new()
            .preserve_header_case(true)
            .max_buf_size(LARGEST_HEAD)
            .serve_connection(Heads::new(stream.clone(), client.clone()), service);
        tokio::pin!(connection);
        // Guards against an op that has come, or comes, in the moment in which its connection is to be closed. The system
        // is asked: what the runtime knows is older.
        let comes = || match *client.stage() {
            Stage::New(_) | Stage::Idle(_) | Stage::Closing => !stream.is_quiet(),
            Stage::Coming(_) => true,
            Stage::Held | Stage::Answering(_) | Stage::Cut => false,
        };
        let leaves = leaves_unseen(world, &*stream, client);
        tokio::pin!(leaves);
        // How a client's connection ends is the client's affair: its ops have been seen to.
        loop {
            let due = client.due();
            tokio::select! {
                biased;
                _ = connection.as_mut() => break,
                () = leaves.as_mut() => break,
                () = client.close.notified() => {
                    if comes() {
                        continue;
                    }
                    connection.as_mut().graceful_shutdown();
                }
                () = world.sleep_until(due) => {
                    if client.due() > world.now() {
                        continue;
                    }
                    // Guards against clients that say nothing, or never come to an end of it.
                    if matches!(*client.stage(), Stage::Coming(_)) {
                        client.turn_away((StatusCode::REQUEST_TIMEOUT, "the op did not come in time"));
                    }
                    break;
                }
            }
            tokio::select! {
                biased;
                _ = connection.as_mut() => break,
                () = world.sleep(duration(LINGER)) => {}
            }
            // Guards against a client that reads nothing, or never begins what it opened the connection for.
            if !comes() && !client.has_op() {
                break;
            }
        }
    }
    part(world, &*stream, client).await;
}

/// Ends once the client has gone behind bytes that nobody reads while an op of its is in hand: guards against ops that go on,
/// and others that begin, for nobody.
async fn leaves_unseen<W: World>(world: &W, stream: &W::Stream, client: &Connection<W>) {
    loop {
        client.hides_end.notified().await;
        while client.owes_answer() {
            if stream.has_ended() {
                return;
            }
            world.sleep(duration(BETWEEN_LOOKS)).await;
        }
    }
}

/// The last word on a connection that the library has let go of.
async fn part<W: World>(world: &W, stream: &W::Stream, client: &Connection<W>) {
    if let Some((status, fault)) = client.fault() {
        let length = fault.len() + 1;
        let answer =
            format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{fault}\n");
        // It is the first thing written for a while: what does not fit would not be read either.
        let _ = stream.try_put(answer.as_bytes());
    }
    stream.end_sending();
    // A client that is still sending a large op reads its answer only then.
    let (most, linger) = match client.is_cut_short() {
        true => (LARGEST_STREAMED as usize, LINGER.times(30.0)),
        false => (MOST_UNREAD, LINGER),
    };
    let read_out = async {
        let (mut bytes, mut unread) = ([0; 4096], 0);
        while unread < most {
            match poll_fn(|cx| stream.poll_take(cx, &mut bytes)).await {
                Ok(0) | Err(_) => return,
                Ok(read) => unread += read,
            }
        }
    };
    let _ = world.timeout(duration(linger), read_out).await;
}
