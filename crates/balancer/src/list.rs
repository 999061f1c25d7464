//! The list of upstreams: its form, and the client that follows it by watches. It owns the ids that upstreams
//! have inside, and the version last heard. It must never judge an upstream: it tells what the list says.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use doorproxy::facade::{Facade, News};
use doorproxy::host::{Condition, Listing};
use doorproxy::ids::{At, CellId, KindId, Span, UpstreamId, ZoneId};
use doorproxy::rng::mix_text;
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::{Clock, duration};
use crate::given::Given;
use crate::note;
use crate::upstreams::Upstreams;

/// A list of ten thousand upstreams fits; what is larger is no list.
const LARGEST_ANSWER: usize = 4 << 20;
/// A call that waits this much longer than it was asked to has been lost on the way.
const OVERDUE: Duration = Duration::from_millis(2200);
/// Guards against a list that answers at once with nothing new: a watch may pause for 200 ms.
const LEAST_BETWEEN_CALLS: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
pub struct ListAnswer {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Line>,
}

#[derive(Deserialize)]
pub struct Line {
    id: String,
    addr: SocketAddr,
    zone: String,
    kind: String,
    #[serde(default)]
    cell: u16,
    state: State,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_ms: i64,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Active,
    Left,
    /// A state that nobody has heard of is no invitation either.
    #[serde(other)]
    Leaving,
}

impl Line {
    /// Lines of the log that the decisions write name upstreams by the id inside.
    pub fn told(&self, row: &Listing) -> String {
        let (inside, name, address) = (row.upstream.0, &self.id, self.addr);
        format!("upstream {inside} is {name} at {address}, {:?}", row.condition)
    }
}

pub struct List {
    given: Arc<Given>,
    ids: BTreeMap<String, UpstreamId>,
    taken: BTreeSet<UpstreamId>,
    told: BTreeMap<UpstreamId, (Condition, SocketAddr)>,
    /// None: the next call asks for the whole list.
    version: Option<u64>,
    wait: Duration,
}

impl List {
    pub fn new(given: Arc<Given>) -> List {
        // Half of the time after which a balancer counts as told, so that a call lost on the way is noticed.
        let wait = given.terms.ask_within.times(0.5).clamp(Span::from_secs(1.0), Span::from_secs(20.0));
        List {
            given,
            ids: BTreeMap::new(),
            taken: BTreeSet::new(),
            told: BTreeMap::new(),
            version: None,
            wait: duration(wait),
        }
    }

    /// The rows as the decisions read them, and where each upstream listens.
    pub fn rows(&mut self, answer: &ListAnswer) -> (Vec<Listing>, Vec<SocketAddr>) {
        self.version = Some(answer.version);
        answer.servers.iter().map(|line| (self.row(line), line.addr)).unzip()
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
                State::Active => Condition::Ready,
                State::Leaving => Condition::Draining,
                State::Left => Condition::Gone,
            },
            up_since: (line.started_ms > 0).then(|| At(line.started_ms.saturating_mul(10))),
        }
    }

    /// Says in the log what has changed: a list that comes whole may hold nothing new. What is gone is forgotten
    /// then, for upstreams are replaced all day.
    pub fn tell(&mut self, answer: &ListAnswer, rows: &[Listing]) {
        for (line, row) in answer.servers.iter().zip(rows) {
            let news = (row.condition, line.addr);
            if self.told.insert(row.upstream, news) != Some(news) {
                note!("list: {}", line.told(row));
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

/// Keeps a watch open for as long as calls succeed; after one that failed, the decisions say when to go on.
pub async fn follow(
    clock: Clock,
    mut list: List,
    facade: Facade,
    upstreams: Arc<Upstreams>,
    mut source: watch::Receiver<SocketAddr>,
) {
    let mut connector = HttpConnector::new();
    connector.set_connect_timeout(Some(OVERDUE));
    connector.set_nodelay(true);
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector);
    loop {
        tokio::select! {
            () = facade.watch_wanted() => {}
            Ok(()) = source.changed() => list.version = None,
        }
        loop {
            let called = Instant::now();
            let address = *source.borrow_and_update();
            let answer = tokio::select! {
                answer = call(&client, &list, address) => answer,
                // Guards against a watch on a service that has been replaced: it may never tell anything again,
                // and versions of the one mean nothing to the other.
                Ok(()) = source.changed() => {
                    list.version = None;
                    continue;
                }
            };
            match answer {
                Ok(answer) => {
                    let (rows, addresses) = list.rows(&answer);
                    list.tell(&answer, &rows);
                    upstreams.follow(&rows, &addresses, answer.full);
                    let news = if answer.full { News::Whole(&rows) } else { News::Changes(&rows) };
                    facade.tick(clock.now(), news);
                    tokio::time::sleep_until(called + LEAST_BETWEEN_CALLS).await;
                }
                Err(fault) => {
                    note!("the list could not be read: {fault}");
                    facade.tick(clock.now(), News::CallFailed);
                    break;
                }
            }
        }
    }
}

async fn call(
    client: &Client<HttpConnector, Empty<Bytes>>,
    list: &List,
    address: SocketAddr,
) -> Result<ListAnswer, String> {
    let mut uri = format!("http://{address}/api/targets");
    if let Some(after) = list.version {
        uri += &format!("?after={after}&wait_ms={}", list.wait.as_millis());
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
    let answer = tokio::time::timeout(list.wait + OVERDUE, exchange).await;
    answer.unwrap_or_else(|_| Err("no answer".to_string()))
}
