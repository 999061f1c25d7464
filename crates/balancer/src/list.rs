//! The list of upstreams, and the client that follows it by watches. It owns the ids that upstreams
//! have inside, the version last heard, and who is out by hand, which is laid over what the list says. It must never
//! judge an upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};

use axum::http::Uri;
use bytes::Bytes;
use doorproxy::facade::{Facade, News};
use doorproxy::host::{Condition, Listing};
use doorproxy::ids::{At, CellId, KindId, Span, UpstreamId, ZoneId};
use doorproxy::rng::mix_text;
use doorproxy::terms::Asking;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::sync::watch;

use crate::bans::Bans;
use crate::control::Readiness;
use crate::form::{Line, ListAnswer, State};
use crate::given::Given;
use crate::keeping::Keeping;
use crate::note;
use crate::upstreams::Upstreams;
use crate::world::{ForLibraries, World, duration};

/// A list of ten thousand upstreams fits; what is larger is no list.
const LARGEST_ANSWER: usize = 4 << 20;
/// Guards against a list that answers at once with nothing new: a watch may pause for 200 ms.
const LEAST_BETWEEN_CALLS: Span = Span(1000);

/// Lines of the log that the decisions write name upstreams by the id inside.
fn told(line: &Line, row: &Listing) -> String {
    let (inside, name, address) = (row.upstream.0, &line.id, line.addr);
    format!("upstream {inside} is {name} at {address}, {:?}", row.condition)
}

/// What a configuration holds, to be read by people.
pub fn summary(given: &Arc<Given>) -> String {
    let (rows, _) = List::new(given.clone()).rows(&given.known);
    let control = given.control.map_or(String::new(), |control| format!(", for operators on {control}"));
    let mut text = format!(
        "{} listens on {}{control}: {} categories, {} tenants, {} sockets",
        given.name,
        given.listen,
        given.categories.len(),
        given.tenants.len(),
        given.sockets
    );
    for (line, row) in given.known.servers.iter().zip(&rows) {
        text += &format!("\n{}", told(line, row));
    }
    text
}

pub struct List {
    given: Arc<Given>,
    ids: BTreeMap<String, UpstreamId>,
    taken: BTreeSet<UpstreamId>,
    told: BTreeMap<UpstreamId, (Condition, SocketAddr)>,
    /// What the list said last of each upstream in it.
    lines: BTreeMap<String, Line>,
    bans: Bans,
    /// Upstreams that are cold at this time are another process's, unless all are.
    leaves_cold: Option<At>,
    /// None: the next call asks for the whole list.
    version: Option<u64>,
    asking: Asking,
}

impl List {
    pub fn new(given: Arc<Given>) -> List {
        let asking = given.terms.asking(given.seed);
        List {
            given,
            ids: BTreeMap::new(),
            taken: BTreeSet::new(),
            told: BTreeMap::new(),
            lines: BTreeMap::new(),
            bans: Bans::default(),
            leaves_cold: None,
            version: None,
            asking,
        }
    }

    /// The rows as the decisions read them, and where each upstream listens.
    pub fn rows(&mut self, answer: &ListAnswer) -> (Vec<Listing>, Vec<SocketAddr>) {
        // Guards against a service that has started anew and counts from the beginning: what it has to tell is no change of
        // what is known here.
        let runs_back = !answer.full && self.version.is_some_and(|known| answer.version < known);
        self.version = (!runs_back).then_some(answer.version);
        answer.servers.iter().map(|line| (self.row(line), line.addr)).unzip()
    }

    /// The next call asks for the whole list.
    pub fn forget_version(&mut self) {
        self.version = None;
    }

    /// Two processes of one balancer must not each push to a cold upstream what one may: one of them leaves all cold ones to
    /// the other. Hands over the rows of all in the list.
    pub fn leave_cold(&mut self, since: Option<At>) -> Vec<Listing> {
        self.leaves_cold = since;
        self.rows_anew(self.lines.values().cloned().collect())
    }

    /// The rows of lines that were handed on before, by what holds now.
    fn rows_anew(&mut self, lines: Vec<Line>) -> Vec<Listing> {
        let mut rows: Vec<Listing> = lines.iter().map(|line| self.row(line)).collect();
        self.lay_cold(&mut rows);
        rows
    }

    fn lay_cold(&self, rows: &mut [Listing]) {
        let Some(now) = self.leaves_cold else { return };
        let is_cold = |up: Option<At>| up.is_some_and(|up| now - up < self.warm_within());
        let is_warm = |line: &Line| self.may_be_used(line) && !is_cold(self.up_since(line));
        // Guards against a balancer that serves nobody where all servers have just started.
        if self.lines.values().any(is_warm) {
            let cold =
                rows.iter_mut().filter(|row| row.condition == Condition::Ready && is_cold(row.up_since));
            cold.for_each(|row| row.condition = Condition::Draining);
        }
    }

    fn may_be_used(&self, line: &Line) -> bool {
        matches!(line.state, State::Active) && !self.bans.is_out(&line.id)
    }

    /// The staff restart it while it is out, and the list may hear of that late or never.
    fn up_since(&self, line: &Line) -> Option<At> {
        let listed = (line.started_ms > 0).then(|| At(line.started_ms.saturating_mul(10)));
        listed.max(self.bans.back_since(&line.id))
    }

    fn row(&mut self, line: &Line) -> Listing {
        // One that was not named at the start stands behind all that were.
        let place =
            |names: &BTreeMap<String, u16>, name| names.get(name).copied().unwrap_or(names.len() as u16);
        Listing {
            upstream: self.id(&line.id),
            kind: KindId(place(&self.given.kinds, &line.kind)),
            zone: ZoneId(place(&self.given.zones, &line.zone)),
            cell: CellId(line.cell),
            // Shares are divided by it, and an upstream of no size at all would get all or nothing.
            size: if line.weight.is_finite() { line.weight.max(1e-3) } else { 1.0 },
            condition: match line.state {
                State::Left => Condition::Gone,
                _ if self.may_be_used(line) => Condition::Ready,
                _ => Condition::Draining,
            },
            up_since: self.up_since(line),
        }
    }

    /// Takes over who is out by hand and who was called back; the rows of all in the list for whom that is news.
    pub fn take_over(&mut self, bans: Bans) -> Vec<Listing> {
        let news = self.bans.differing(&bans);
        self.bans = bans;
        self.rows_anew(news.iter().filter_map(|name| self.lines.get(name).cloned()).collect())
    }

    /// What the list said last of each upstream in it.
    pub fn lines(&self) -> impl Iterator<Item = &Line> {
        self.lines.values()
    }

    /// Each upstream in it, as the decisions know it, and when its process started; in milliseconds.
    pub fn lives(&self) -> impl Iterator<Item = (&String, UpstreamId, i64)> {
        self.lines.iter().filter_map(|(name, line)| Some((name, *self.ids.get(name)?, line.started_ms)))
    }

    /// Somebody has this name: it is in the list, or was when it was put out.
    pub fn knows(&self, name: &str) -> bool {
        self.lines.contains_key(name) || self.bans.is_out(name)
    }

    /// How many are in the list, and how many of them are out by hand.
    pub fn counts(&self) -> (usize, usize) {
        (self.lines.len(), self.lines.keys().filter(|name| self.bans.is_out(name)).count())
    }

    pub fn warm_within(&self) -> Span {
        self.given.terms.cold.warm_within
    }

    /// Says in the log what has changed: a list that comes whole may hold nothing new. What is gone is forgotten
    /// then, for upstreams are replaced all day.
    pub fn tell<W: World>(&mut self, world: &W, answer: &ListAnswer, rows: &[Listing]) {
        if answer.full {
            self.lines.clear();
        }
        for (line, row) in answer.servers.iter().zip(rows) {
            match row.condition {
                Condition::Gone => drop(self.lines.remove(&line.id)),
                _ => drop(self.lines.insert(line.id.clone(), line.clone())),
            }
            let news = (row.condition, line.addr);
            if self.told.insert(row.upstream, news) != Some(news) {
                note!(*world, "list: {}", told(line, row));
            }
        }
        let listed: BTreeSet<UpstreamId> = rows.iter().map(|row| row.upstream).collect();
        let is_left_out = |id: &UpstreamId| answer.full && !listed.contains(id);
        self.told.retain(|id, (condition, _)| *condition != Condition::Gone && !is_left_out(id));
        self.ids.retain(|_, id| self.told.contains_key(id));
        self.taken.retain(|id| self.told.contains_key(id));
    }

    /// From the name alone, so that all balancers draw alike; the next one where two names meet in one.
    fn id(&mut self, name: &str) -> UpstreamId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let mut id = UpstreamId(mix_text(name) as u32);
        while !self.taken.insert(id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.ids.insert(name.to_string(), id);
        id
    }
}

fn locked(list: &Mutex<List>) -> MutexGuard<'_, List> {
    list.lock().expect("no panic while the list is held")
}

/// Keeps a watch open for as long as calls succeed; after one that failed, the decisions say when to go on.
pub async fn follow<W: World>(
    world: W,
    list: Arc<Mutex<List>>,
    facade: Facade,
    upstreams: Arc<Upstreams<W>>,
    readiness: Arc<Readiness>,
    keeping: Option<Arc<Keeping>>,
    mut source: watch::Receiver<SocketAddr>,
) {
    let client = Client::builder(ForLibraries(world.clone()))
        .pool_timer(ForLibraries(world.clone()))
        .retry_canceled_requests(false)
        .build(Dial(world.clone()));
    loop {
        tokio::select! {
            biased;
            () = facade.watch_wanted() => {}
            Ok(()) = source.changed() => locked(&list).version = None,
        }
        loop {
            let called = world.now();
            let address = *source.borrow_and_update();
            let answer = tokio::select! {
                biased;
                answer = call(&world, &client, &list, address) => answer,
                // Guards against a watch on a service that has been replaced: it may never tell anything again,
                // and versions of the one mean nothing to the other.
                Ok(()) = source.changed() => {
                    locked(&list).version = None;
                    continue;
                }
            };
            match answer {
                Ok(answer) => {
                    {
                        let mut list = locked(&list);
                        take(&world, &mut list, &facade, &upstreams, &answer);
                        if let Some(keeping) = &keeping {
                            keeping.list_told(&world, &list, answer.version);
                        }
                    }
                    readiness.list_was_asked();
                    world.sleep_until(called + LEAST_BETWEEN_CALLS).await;
                }
                Err(fault) => {
                    note!(world, "the list could not be read: {fault}");
                    if let Some(keeping) = &keeping {
                        keeping.list_failed();
                    }
                    facade.tick(world.now(), News::CallFailed);
                    readiness.list_was_asked();
                    break;
                }
            }
        }
    }
}

/// Hands on what the list said, under the list's lock: an upstream put out meanwhile comes before or after it.
pub fn take<W: World>(
    world: &W,
    list: &mut List,
    facade: &Facade,
    upstreams: &Upstreams<W>,
    answer: &ListAnswer,
) {
    let (mut rows, addresses) = list.rows(answer);
    list.tell(world, answer, &rows);
    list.lay_cold(&mut rows);
    upstreams.follow(&rows, &addresses, answer.full);
    facade.tick(world.now(), if answer.full { News::Whole(&rows) } else { News::Changes(&rows) });
}

/// Rows of upstreams that are in the list, of which something else is known now than what the list says.
pub fn hand_on<W: World>(now: At, facade: &Facade, upstreams: &Upstreams<W>, rows: &[Listing]) {
    upstreams.note(rows);
    facade.tick(now, News::Changes(rows));
}

async fn call<W: World>(
    world: &W,
    client: &Client<Dial<W>, Empty<Bytes>>,
    list: &Mutex<List>,
    address: SocketAddr,
) -> Result<ListAnswer, String> {
    let mut uri = format!("http://{address}/api/targets");
    let (version, asking) = {
        let list = locked(list);
        (list.version, list.asking)
    };
    // A call for the whole list waits for nothing.
    let mut limit = Asking::CALL;
    if let Some(after) = version {
        uri += &format!("?after={after}&wait_ms={}", duration(asking.wait).as_millis());
        limit = asking.watch();
    }
    let uri = uri.parse().map_err(|error| format!("{error}"))?;
    let exchange = async {
        let answer = client.get(uri).await.map_err(|error| error.to_string())?;
        if answer.status() != 200 {
            return Err(answer.status().to_string());
        }
        let body = Limited::new(answer.into_body(), LARGEST_ANSWER).collect().await;
        serde_json::from_slice(&body.map_err(|error| error.to_string())?.to_bytes())
            .map_err(|error| error.to_string())
    };
    world.timeout(duration(limit), exchange).await.unwrap_or_else(|| Err("no answer".to_string()))
}

/// Connections to wherever the list is served.
#[derive(Clone)]
struct Dial<W>(W);

impl<W: World> tower_service::Service<Uri> for Dial<W> {
    type Response = Plain<W::Stream>;
    type Error = io::Error;
    type Future = Pin<Box<dyn Future<Output = io::Result<Self::Response>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let world = self.0.clone();
        Box::pin(async move {
            let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
            let address: SocketAddr = address.ok_or(io::ErrorKind::InvalidInput)?;
            let connected = world.timeout(duration(Asking::CALL), world.connect(address)).await;
            connected.unwrap_or(Err(io::ErrorKind::TimedOut.into())).map(Plain)
        })
    }
}

struct Plain<S>(S);

impl<S> Connection for Plain<S> {
    fn connected(&self) -> Connected {
        Connected::new()
    }
}

impl<S: Read + Unpin> Read for Plain<S> {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, into)
    }
}

impl<S: Write + Unpin> Write for Plain<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
