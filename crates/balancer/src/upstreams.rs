//! The pushes to upstreams. It owns one pool of connections for each upstream and the part of the sockets that all of them
//! share. It must never push by itself: no retry, and no choice of an upstream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::http::uri::PathAndQuery;
use axum::http::{HeaderName, HeaderValue, Request, StatusCode, Uri, Version, header, request};
use axum::response::Response;
use bytes::Bytes;
use doorproxy::facade::{Facade, Outlets, Push};
use doorproxy::host::{Condition, Listing};
use doorproxy::ids::{At, Span, UpstreamId};
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use crate::bodies::{BodyFault, end_to_end, held_whole};
use crate::endings::PushEnding;
use crate::figures::Figures;
use crate::note;
use crate::pool::{Dial, Fault, Marks, Pool};
use crate::streamed::{Load, Outbound, hold};
use crate::world::{World, duration};

pub const TIME_LEFT: HeaderName = HeaderName::from_static("req-deadline-ms");
const DECLINED: HeaderName = HeaderName::from_static("srv-declined");
/// Where an upstream tells its load; a probe of it waits no longer than for a connection.
pub const REPORT: &str = "/-/load";
/// With fewer sockets left than these, idle connections are closed for those that are needed.
const SPARE_SOCKETS: usize = 8;
/// The rest of an answer that is not passed on is read only to keep its connection.
const REST_OF_ANSWER: Duration = Duration::from_millis(50);

/// What an op sends on, the same with every push.
pub struct Outgoing {
    pub head: request::Parts,
    pub load: Load,
    /// The time that it has from its last byte on, and when that is over where it is held whole.
    pub time_left: Span,
    pub ends: At,
}

/// How long a connection may take to come up, and after what time without an op an upstream closes it.
#[derive(Clone, Copy)]
pub struct Times {
    pub connect: Span,
    pub keepalive: Span,
    /// How long an answer that does not tell its length is held to be given whole.
    pub hold: Span,
}

pub struct Upstreams<W: World> {
    world: W,
    /// Statuses that are an op's answer; any other tells of a failure.
    passes: fn(StatusCode) -> bool,
    times: Times,
    sockets: Arc<Semaphore>,
    /// So many of its sockets are another process's for now.
    lent: Mutex<usize>,
    figures: Arc<Figures>,
    by_id: Mutex<BTreeMap<UpstreamId, Upstream<W>>>,
}

struct Upstream<W: World> {
    address: SocketAddr,
    pool: Arc<Pool<W>>,
    /// Nothing new may begin there once this is false, whatever was decided on before.
    takes: Arc<AtomicBool>,
    /// When anything last came from it.
    heard_at: Option<At>,
}

impl<W: World> Upstream<W> {
    fn may_take(&self, condition: Condition) {
        self.takes.store(condition == Condition::Ready, Ordering::Relaxed);
    }
}

/// Gone, left out of the list, or another process at another address.
impl<W: World> Drop for Upstream<W> {
    fn drop(&mut self) {
        self.takes.store(false, Ordering::Relaxed);
    }
}

/// What the decisions ask of the connections and the log on their own.
pub struct Outlet<W: World>(pub Arc<Upstreams<W>>);

impl<W: World> Outlets for Outlet<W> {
    fn close_idle(&mut self, upstream: UpstreamId) {
        self.0.close_idle(upstream);
    }

    fn log(&mut self, line: &str) {
        note!(self.0.world, "{line}");
    }
}

impl<W: World> Upstreams<W> {
    pub fn new(
        world: W,
        times: Times,
        sockets: usize,
        figures: Arc<Figures>,
        passes: fn(StatusCode) -> bool,
    ) -> Upstreams<W> {
        Upstreams {
            world,
            passes,
            times,
            sockets: Arc::new(Semaphore::new(sockets)),
            lent: Mutex::new(0),
            figures,
            by_id: Mutex::new(BTreeMap::new()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, Upstream<W>>> {
        self.by_id.lock().expect("no panic while the pools are held")
    }

    fn pool(&self, address: SocketAddr) -> Arc<Pool<W>> {
        Pool::new(Dial {
            world: self.world.clone(),
            address,
            timeout: self.times.connect,
            // Well before the upstream closes it: an op written to a connection that it has closed is broken.
            rests: self.times.keepalive.times(0.5),
            sockets: self.sockets.clone(),
            figures: self.figures.clone(),
        })
    }

    /// Leaves so many of its sockets to another process, as they come free.
    pub fn lend(&self, wanted: usize) {
        let mut lent = self.lent.lock().expect("no panic while it is held");
        if *lent > wanted {
            self.sockets.add_permits(*lent - wanted);
            *lent = wanted;
        } else {
            *lent += self.sockets.forget_permits(wanted - *lent);
        }
    }

    pub fn close_idle(&self, upstream: UpstreamId) {
        if let Some(upstream) = self.lock().get_mut(&upstream) {
            self.drop_idle(upstream);
        }
    }

    /// A pool closes what is idle in it when it goes; pushes still out hold on to their own connections.
    fn drop_idle(&self, upstream: &mut Upstream<W>) {
        upstream.pool = self.pool(upstream.address);
    }

    /// Takes over where each upstream listens, and lets go of those that are gone.
    pub fn follow(&self, rows: &[Listing], addresses: &[SocketAddr], is_whole: bool) {
        let mut by_id = self.lock();
        if is_whole {
            by_id.retain(|&id, _| rows.iter().any(|row| row.upstream == id));
        }
        for (row, &address) in rows.iter().zip(addresses) {
            if row.condition == Condition::Gone {
                by_id.remove(&row.upstream);
            } else if by_id.get(&row.upstream).is_none_or(|known| known.address != address) {
                let (pool, takes) = (self.pool(address), Arc::default());
                by_id.insert(row.upstream, Upstream { address, pool, takes, heard_at: None });
            }
        }
        self.heed(&mut by_id, rows);
    }

    /// What holds of those that are known changes, by whoever's word.
    pub fn note(&self, rows: &[Listing]) {
        self.heed(&mut self.lock(), rows);
    }

    fn heed(&self, by_id: &mut BTreeMap<UpstreamId, Upstream<W>>, rows: &[Listing]) {
        for row in rows {
            if let Some(upstream) = by_id.get(&row.upstream) {
                upstream.may_take(row.condition);
            }
        }
    }

    pub async fn push(&self, facade: &Facade, push: &Push, outgoing: &Outgoing) -> PushEnding {
        let began = self.world.now();
        if self.sockets.available_permits() < SPARE_SOCKETS {
            self.lock().values_mut().for_each(|upstream| self.drop_idle(upstream));
        }
        let found = |found: &Upstream<W>| (found.address, found.pool.clone(), found.takes.clone());
        let Some((address, pool, takes)) = self.lock().get(&push.upstream).map(found) else {
            return PushEnding::NoConnection;
        };
        let has_begun = Arc::new(AtomicBool::new(false));
        let is_wanted = {
            let (world, has_begun, is_wanted) = (self.world.clone(), has_begun.clone(), facade.wants(push));
            let ends = match outgoing.load {
                Load::Held(_) => outgoing.ends,
                Load::Streamed(_) => At(i64::MAX),
            };
            move || {
                let now = world.now();
                let may_begin = takes.load(Ordering::Relaxed) && now < ends && is_wanted(now);
                has_begun.store(may_begin, Ordering::Relaxed);
                may_begin
            }
        };
        let ending = tokio::select! {
            biased;
            () = facade.called_off(push) => PushEnding::CalledOff,
            // Before the exchange: guards against a push on a connection that came up while this process stood still.
            () = outgoing.load.over(&self.world, outgoing.ends, outgoing.time_left) => PushEnding::TimedOut,
            ending = self.attempt(&pool, address, outgoing, is_wanted) => ending,
            () = outgoing.load.stands_still(&self.world) => PushEnding::Broken,
        };
        let ending = match ending {
            PushEnding::CalledOff | PushEnding::TimedOut if !has_begun.load(Ordering::Relaxed) => {
                PushEnding::NeverSent
            }
            // Its last byte was held back: nothing that came of it, but an answer, tells of an op that ran.
            PushEnding::Broken if outgoing.load.is_unfinished() => PushEnding::BrokenBeforeSent,
            ending => ending,
        };
        self.remember(push.upstream, began, &ending);
        ending
    }

    async fn attempt(
        &self,
        pool: &Arc<Pool<W>>,
        address: SocketAddr,
        outgoing: &Outgoing,
        is_wanted: impl Fn() -> bool + Send + 'static,
    ) -> PushEnding {
        let Some(mut conversation) = pool.take().await else { return PushEnding::NoConnection };
        // Told only now: a connection that came up late has used up some of it.
        let left = match outgoing.load {
            Load::Held(_) => outgoing.ends - self.world.now(),
            Load::Streamed(_) => outgoing.time_left,
        };
        let marks = conversation.marks.clone();
        let exchange = async {
            match conversation.exchange(request(outgoing, address, left), is_wanted).await {
                Ok(answer) => {
                    pool.put_back(conversation);
                    self.read(answer).await
                }
                Err(Fault::Unwanted) => PushEnding::NeverSent,
                Err(Fault::NeverWritten) if conversation.was_used() => PushEnding::BrokenBeforeSent,
                Err(Fault::NeverWritten) => PushEnding::NoConnection,
                Err(Fault::Broken) => PushEnding::Broken,
            }
        };
        tokio::select! {
            biased;
            ending = exchange => ending,
            () = stalls(&self.world, &marks, self.times.connect.times(2.0)) => PushEnding::Broken,
        }
    }

    async fn read(&self, answer: Response<Incoming>) -> PushEnding {
        let status = answer.status();
        if (self.passes)(status) {
            return self.held(answer).await;
        }
        let has_word = answer.headers().get(DECLINED).is_some_and(|value| value == "1");
        // Nobody waits for the rest: a failure is not to be told late for it.
        let (of_rest, rest) = (self.world.clone(), held_whole(answer.into_body()));
        self.world.spawn(async move { drop(of_rest.timeout(REST_OF_ANSWER, rest).await) });
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if has_word => PushEnding::Declined,
            _ => PushEnding::Failed,
        }
    }

    /// Guards against passing on the beginning of a short answer as if it were whole.
    async fn held(&self, answer: Response<Incoming>) -> PushEnding {
        let (mut head, body) = answer.into_parts();
        match hold(&self.world, body, self.times.hold).await {
            Ok(body) => {
                end_to_end(&mut head.headers);
                // Written anew for what goes on: beside pieces it may have said anything.
                head.headers.remove(header::CONTENT_LENGTH);
                head.version = Version::HTTP_11;
                PushEnding::Answered(Response::from_parts(head, body))
            }
            Err(BodyFault::TooLarge) => PushEnding::TooLong,
            Err(BodyFault::Broken) => PushEnding::Broken,
        }
    }

    /// What an upstream reports of its load, where it does so in time.
    pub async fn report(&self, upstream: UpstreamId) -> Option<Bytes> {
        let (address, pool) = self.lock().get(&upstream).map(|found| (found.address, found.pool.clone()))?;
        let mut request = Request::new(Outbound::new(Load::Held(Bytes::new())));
        *request.uri_mut() = Uri::from_static(REPORT);
        request.headers_mut().insert(header::HOST, host(address));
        let call = async {
            let mut conversation = pool.take().await?;
            let answer = conversation.exchange(request, || true).await.ok()?;
            pool.put_back(conversation);
            let is_report = answer.status() == StatusCode::OK;
            held_whole(answer.into_body()).await.ok().filter(|_| is_report)
        };
        self.world.timeout(duration(self.times.connect), call).await.flatten()
    }

    /// Guards against pushes on connections to a machine that has vanished: they stay open and silent, and break
    /// with what may have run when it is back. A new connection is refused, or never comes up, and proves more.
    /// Where an upstream answers others meanwhile it is there, and each new connection would cost it work.
    fn remember(&self, upstream: UpstreamId, began: At, ending: &PushEnding) {
        let mut by_id = self.lock();
        let Some(upstream) = by_id.get_mut(&upstream) else { return };
        let now = self.world.now();
        let is_long = |since: At| now - since > self.times.connect;
        let is_mute = upstream.heard_at.is_none_or(|heard| heard < began && is_long(heard));
        match ending {
            PushEnding::Answered(_) | PushEnding::Declined | PushEnding::Failed | PushEnding::TooLong => {
                upstream.heard_at = Some(now);
            }
            PushEnding::NoConnection | PushEnding::BrokenBeforeSent | PushEnding::Broken if is_mute => {
                self.drop_idle(upstream);
            }
            // A client that goes after a moment says nothing of the upstream.
            PushEnding::TimedOut | PushEnding::CalledOff if is_mute && is_long(began) => {
                self.drop_idle(upstream);
            }
            _ => {}
        }
    }
}

fn host(address: SocketAddr) -> HeaderValue {
    HeaderValue::try_from(address.to_string()).expect("an address is in ASCII")
}

fn request(outgoing: &Outgoing, address: SocketAddr, left: Span) -> Request<Outbound> {
    let mut head = outgoing.head.clone();
    // A client may have named a scheme and a host; an upstream is asked for the path.
    let path = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
    head.uri = Uri::from(path);
    head.headers.entry(header::HOST).or_insert_with(|| host(address));
    head.headers.insert(TIME_LEFT, HeaderValue::from(duration(left).as_millis() as u64));
    Request::from_parts(head, Outbound::new(outgoing.load.clone()))
}

/// Guards against an answer that begins and never ends: it would hold its op until the client's time is over.
async fn stalls<W: World>(world: &W, marks: &Marks, longest: Span) {
    loop {
        world.sleep(duration(longest.times(0.5))).await;
        let heard = *marks.heard();
        if heard.is_some_and(|heard| world.now() - heard >= longest) {
            return;
        }
    }
}
