//! The operators' address: whether this process is ready, its figures, and upstreams taken out and called back by
//! hand. It owns the callers' connections, their number and their time. It must never wait for the tasks that serve
//! ops, or say yes to what does not hold yet.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use doorproxy::facade::Facade;
use doorproxy::host::Condition;
use doorproxy::ids::{At, Span};
use doorproxy_members::message::NameId;
use doorproxy_verdicts::hand::{Entry, Unsaid, Word, Words};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use serde_json::json;
use tokio::sync::{Notify, oneshot};
use tower_service::Service;

use crate::bans::{Bans, Shelf};
use crate::fellows::Fellows;
use crate::figures::{Figures, Gauges};
use crate::keeping::Keeping;
use crate::list::{List, hand_on};
use crate::note;
use crate::upstreams::Upstreams;
use crate::world::{Listener, World};

/// Longer than any id in use.
const LONGEST_BODY: usize = 512;
const LONGEST_HEAD: usize = 8 << 10;
/// Callers wait a second for an answer. One that has not finished its call by then will not.
const SLOWEST_CALL: Duration = Duration::from_millis(1500);
/// So many callers at once; for one more the oldest is let go.
pub const MOST_CALLERS: usize = 8;
/// How often it is seen whether another process of this balancer has put an upstream out or called one back: a part
/// of the time in which nothing new may reach one that is out.
const BETWEEN_READS: Duration = Duration::from_millis(200);

/// What the staff can ask of a balancer.
pub struct Operators<W: World> {
    pub world: W,
    pub facade: Facade,
    pub upstreams: Arc<Upstreams<W>>,
    pub list: Arc<Mutex<List>>,
    pub figures: Arc<Figures>,
    pub readiness: Arc<Readiness>,
    pub keeping: Option<Arc<Keeping>>,
    pub fellows: Option<Arc<Fellows>>,
    pub shelf: Arc<dyn Shelf>,
    /// Where the fleet's words are kept; only beside `fellows`.
    pub of_fleet: Option<Arc<OfFleet>>,
}

/// The words of the whole fleet, as they are kept for the next process.
pub struct OfFleet {
    pub shelf: Arc<dyn Shelf>,
    /// This balancer, by which words that are said here are known.
    pub me: NameId,
    /// The revision that is on the shelf.
    kept: AtomicU64,
}

impl OfFleet {
    pub fn new(shelf: Arc<dyn Shelf>, name: &str) -> OfFleet {
        OfFleet { shelf, me: NameId::of(name), kept: AtomicU64::new(0) }
    }
}

/// Whether the process serves: raised once it does, lowered when it is asked to end.
#[derive(Default)]
pub struct Readiness {
    is_ready: AtomicBool,
    list_asked: AtomicBool,
    asked: Notify,
}

impl Readiness {
    /// The list has answered since the start, or it was seen that it does not.
    pub fn list_was_asked(&self) {
        self.list_asked.store(true, Ordering::Relaxed);
        self.asked.notify_waiters();
    }

    pub async fn list_asked(&self) {
        let asked = self.asked.notified();
        if !self.list_asked.load(Ordering::Relaxed) {
            asked.await;
        }
    }

    pub fn set(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }
}

/// Reads what is kept, and says in the log what could not be read: that never stops a start.
pub fn read_bans<W: World>(world: &W, shelf: &dyn Shelf) -> Bans {
    let (bans, unread) = match shelf.read() {
        Ok(text) => Bans::decode(&text),
        Err(error) => {
            note!(*world, "upstreams out by hand could not be read: {error}");
            return Bans::default();
        }
    };
    if unread > 0 {
        note!(*world, "upstreams out by hand: {unread} lines could not be read, the rest holds");
    }
    bans
}

impl<W: World> Operators<W> {
    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().expect("no panic while the list is held")
    }

    fn text(&self) -> String {
        let (listed, out) = self.list().counts();
        // Those out by hand count as draining there, so none is counted twice.
        let avoided = self.facade.avoided(self.world.now()) + out;
        let kept = self.keeping.as_ref().map(|keeping| keeping.figures());
        let known = self.fellows.as_ref().map(|fellows| fellows.picture().gauges);
        let more = kept.iter().flatten().chain(known.iter().flatten());
        let more = more.map(|(name, value)| format!("edge_proxy.{name}:{value}|g\n"));
        self.figures.text(&Gauges { listed, avoided }) + &more.collect::<String>()
    }

    /// Kept first, then known to the decisions, then a yes: guards against a yes that a crash forgets.
    fn change(&self, name: &str, put_out: bool) -> Result<(), (StatusCode, String)> {
        let now = self.world.now();
        let warm = {
            let list = self.list();
            if !list.knows(name) {
                return Err((StatusCode::NOT_FOUND, format!("no upstream {name}\n")));
            }
            now - list.warm_within()
        };
        let mut has_room = true;
        let kept = self.shelf.change(&mut |text| {
            let (mut bans, _) = Bans::decode(text);
            if put_out {
                has_room = bans.put_out(name);
            } else {
                bans.call_back(name, now, warm);
            }
            bans.encode()
        });
        if let Err(error) = kept {
            note!(self.world, "upstreams out by hand could not be kept: {error}");
            return Err((StatusCode::INTERNAL_SERVER_ERROR, format!("not kept: {error}\n")));
        }
        if !has_room {
            return Err((StatusCode::INSUFFICIENT_STORAGE, "too many are out\n".to_string()));
        }
        self.follow_shelf();
        note!(self.world, "by hand: {name} is {}", if put_out { "out" } else { "back" });
        Ok(())
    }

    /// A word for the whole fleet. Kept first, then known to the decisions, then a yes; the others hear of it by and by.
    fn change_fleet(&self, name: &str, put_out: bool) -> Result<Word, (StatusCode, String)> {
        let (Some(fellows), Some(of_fleet)) = (&self.fellows, &self.of_fleet) else {
            return Err((
                StatusCode::NOT_FOUND,
                "this process knows no others: its fleet file has no [peers]\n".to_string(),
            ));
        };
        if !self.list().knows(name) && fellows.words().get(name).is_none() {
            return Err((StatusCode::NOT_FOUND, format!("no upstream {name}\n")));
        }
        let now = self.world.now();
        let own = fellows.words().clone();
        let mut said = Err(Unsaid::Full);
        let kept = of_fleet.shelf.change(&mut |text| {
            let mut words = merged(now, text, &own);
            said = words.says(now, name, put_out, of_fleet.me);
            words.encode()
        });
        if let Err(error) = kept {
            note!(self.world, "a word for the fleet could not be kept: {error}");
            return Err((StatusCode::INTERNAL_SERVER_ERROR, format!("not kept: {error}\n")));
        }
        let word = said.map_err(|fault| match fault {
            Unsaid::Full => (StatusCode::INSUFFICIENT_STORAGE, "too many are out\n".to_string()),
            Unsaid::BadName => {
                (StatusCode::BAD_REQUEST, "a shorter id of an upstream expected\n".to_string())
            }
        })?;
        fellows.words().hears(now, &Entry { name: name.to_string(), word });
        self.follow_shelf();
        let what = if put_out { "out" } else { "back" };
        note!(self.world, "by hand, for the fleet: {name} is {what}, version {}", word.version);
        Ok(word)
    }

    /// Keeps what was heard of other balancers, and takes over what another process of this one has kept.
    fn follow_fleet(&self) {
        let (Some(fellows), Some(of_fleet)) = (&self.fellows, &self.of_fleet) else { return };
        let Ok(text) = of_fleet.shelf.read() else { return };
        let now = self.world.now();
        let own = {
            let mut words = fellows.words();
            for (name, word, _) in Words::decode(now, &text).0.all() {
                words.hears(now, &Entry { name: name.clone(), word });
            }
            words.clone()
        };
        if own.revision() == of_fleet.kept.load(Ordering::Relaxed) {
            return;
        }
        match of_fleet.shelf.change(&mut |text| merged(now, text, &own).encode()) {
            Ok(()) => of_fleet.kept.store(own.revision(), Ordering::Relaxed),
            // Told by the others again; tried again with the next look.
            Err(error) => note!(self.world, "words for the fleet could not be kept: {error}"),
        }
    }

    /// Reads what was kept before the first list is known.
    pub fn begin(&self) {
        self.follow_fleet();
        self.follow_shelf();
    }

    /// Takes over what is kept, whoever kept it, and what the fleet was told.
    fn follow_shelf(&self) {
        let Ok(text) = self.shelf.read() else { return };
        let mut bans = Bans::decode(&text).0;
        let words = self.fellows.as_ref().map(|fellows| fellows.words().clone());
        let mut list = self.list();
        if let Some(words) = words {
            bans.lay(&words, self.world.now() - list.warm_within());
        }
        // Under the list's lock, so that no older list comes after it.
        let rows = list.take_over(bans);
        if rows.is_empty() {
            return;
        }
        for row in rows.iter().filter(|row| row.condition == Condition::Draining) {
            self.upstreams.close_idle(row.upstream);
        }
        hand_on(self.world.now(), &self.facade, &self.upstreams, &rows);
    }
}

/// What is kept, and what this process has heard.
fn merged(now: At, text: &str, own: &Words) -> Words {
    let (mut words, _) = Words::decode(now, text);
    for (name, word, at) in own.all() {
        words.hears(at, &Entry { name: name.clone(), word });
    }
    words
}

async fn ready<W: World>(State(operators): State<Arc<Operators<W>>>) -> (StatusCode, &'static str) {
    match operators.readiness.is_ready() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn vars<W: World>(State(operators): State<Arc<Operators<W>>>) -> String {
    operators.text()
}

/// Where a process stands; nothing where no state is kept.
async fn recovery<W: World>(State(operators): State<Arc<Operators<W>>>) -> (StatusCode, String) {
    match &operators.keeping {
        Some(keeping) => (StatusCode::OK, format!("{}\n", keeping.told(&operators.world))),
        None => (
            StatusCode::NOT_FOUND,
            "this process keeps no state: its fleet file names no folder\n".to_string(),
        ),
    }
}

/// Who else there is; nothing where this one knows nobody.
async fn members<W: World>(State(operators): State<Arc<Operators<W>>>) -> (StatusCode, String) {
    match &operators.fellows {
        Some(fellows) => (StatusCode::OK, format!("{}\n", fellows.picture().told)),
        None => (
            StatusCode::NOT_FOUND,
            "this process knows no others: its fleet file has no [peers]\n".to_string(),
        ),
    }
}

/// Nothing where it is too long, or broke off: that is no call that anybody knows.
async fn body_of(request: Request) -> Bytes {
    let body = Limited::new(request.into_body(), LONGEST_BODY).collect().await;
    body.map(|body| body.to_bytes()).unwrap_or_default()
}

/// `NAME`, or `NAME SECONDS`: the permit, and for how long it is to be renewed.
fn asked_permit(body: &[u8]) -> Option<(&str, Span)> {
    let mut words = std::str::from_utf8(body).ok()?.split_ascii_whitespace();
    let name = words.next()?;
    let keep = words
        .next()
        .map_or(Some(0.0), |text| text.parse::<f64>().ok().filter(|of| (0.0..=86_400.0).contains(of)))?;
    words.next().is_none().then(|| (name, Span::from_secs(keep)))
}

async fn permit<W: World>(operators: &Operators<W>, request: Request, is_back: bool) -> (StatusCode, String) {
    let body = body_of(request).await;
    let Some((name, keep)) = asked_permit(&body) else {
        return (
            StatusCode::BAD_REQUEST,
            "a permit's name expected as the body, and seconds behind it\n".to_string(),
        );
    };
    let now = operators.world.now();
    let told = operators.fellows.as_ref().and_then(|fellows| match is_back {
        true => fellows.give_back(now, name),
        false => fellows.take(now, name, keep),
    });
    match told {
        Some(told) => (StatusCode::OK, format!("{told}\n")),
        None => (StatusCode::NOT_FOUND, format!("the fleet file names no permit {name}\n")),
    }
}

async fn take_permit<W: World>(
    State(operators): State<Arc<Operators<W>>>,
    request: Request,
) -> (StatusCode, String) {
    permit(&operators, request, false).await
}

async fn give_permit_back<W: World>(
    State(operators): State<Arc<Operators<W>>>,
    request: Request,
) -> (StatusCode, String) {
    permit(&operators, request, true).await
}

async fn detach<W: World>(
    State(operators): State<Arc<Operators<W>>>,
    request: Request,
) -> (StatusCode, String) {
    by_hand(&operators, request, true).await
}

async fn attach<W: World>(
    State(operators): State<Arc<Operators<W>>>,
    request: Request,
) -> (StatusCode, String) {
    by_hand(&operators, request, false).await
}

async fn detach_fleet<W: World>(
    State(operators): State<Arc<Operators<W>>>,
    request: Request,
) -> (StatusCode, String) {
    for_fleet(&operators, request, true).await
}

async fn attach_fleet<W: World>(
    State(operators): State<Arc<Operators<W>>>,
    request: Request,
) -> (StatusCode, String) {
    for_fleet(&operators, request, false).await
}

async fn for_fleet<W: World>(
    operators: &Operators<W>,
    request: Request,
    put_out: bool,
) -> (StatusCode, String) {
    let body = body_of(request).await;
    let Some(name) = one_id(&body) else {
        return (StatusCode::BAD_REQUEST, "one id of an upstream expected as the body\n".to_string());
    };
    match operators.change_fleet(name, put_out) {
        Ok(word) => {
            (StatusCode::OK, format!("{}\n", json!({"name": name, "out": word.out, "version": word.version})))
        }
        Err(refused) => refused,
    }
}

async fn by_hand<W: World>(
    operators: &Operators<W>,
    request: Request,
    put_out: bool,
) -> (StatusCode, String) {
    let body = body_of(request).await;
    let Some(name) = one_id(&body) else {
        return (StatusCode::BAD_REQUEST, "one id of an upstream expected as the body\n".to_string());
    };
    let is_fleets = |fellows: &Arc<Fellows>| fellows.words().get(name).is_some_and(|word| word.out);
    match operators.change(name, put_out) {
        // Guards against a yes after which nothing goes there all the same.
        Ok(()) if !put_out && operators.fellows.as_ref().is_some_and(is_fleets) => (
            StatusCode::CONFLICT,
            format!("{name} is back here, and out for the whole fleet until that is called back\n"),
        ),
        Ok(()) => (StatusCode::OK, "done\n".to_string()),
        Err(refused) => refused,
    }
}

/// White space around it does no harm; within it there would be two.
fn one_id(body: &[u8]) -> Option<&str> {
    let name = std::str::from_utf8(body).ok()?.trim_ascii();
    let is_one =
        !name.is_empty() && !name.contains(|c: char| c.is_whitespace() || c.is_control() || c == ',');
    is_one.then_some(name)
}

/// Takes over what is said elsewhere, for as long as the process runs.
pub async fn follow<W: World>(operators: Arc<Operators<W>>) {
    loop {
        operators.world.sleep(BETWEEN_READS).await;
        operators.follow_fleet();
        operators.follow_shelf();
    }
}

/// Serves for as long as the process runs.
pub async fn serve<W: World>(listener: W::Listener, operators: Operators<W>) {
    let world = operators.world.clone();
    let operators = Arc::new(operators);
    let router = Router::new()
        .route("/_ready", get(ready::<W>))
        .route("/_vars", get(vars::<W>))
        .route("/_recovery", get(recovery::<W>))
        .route("/_members", get(members::<W>))
        .route("/_permits/take", post(take_permit::<W>))
        .route("/_permits/back", post(give_permit_back::<W>))
        .route("/_upstreams/detach", post(detach::<W>))
        .route("/_upstreams/attach", post(attach::<W>))
        .route("/_fleet/detach", post(detach_fleet::<W>))
        .route("/_fleet/attach", post(attach_fleet::<W>))
        .with_state(operators.clone());
    world.spawn(follow(operators.clone()));
    // The oldest first; one that has ended hears of nothing any more.
    let mut callers: VecDeque<oneshot::Sender<()>> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                note!(world, "a caller at the operators' address could not be accepted: {error}");
                world.sleep(Duration::from_millis(5)).await;
                continue;
            }
        };
        callers.retain(|caller| !caller.is_closed());
        if callers.len() >= MOST_CALLERS {
            callers.pop_front();
        }
        let (let_go, gone) = oneshot::channel();
        callers.push_back(let_go);
        let (of_call, router) = (world.clone(), router.clone());
        world.spawn(async move {
            let call = call(router, stream);
            tokio::select! {
                biased;
                _ = of_call.timeout(SLOWEST_CALL, call) => {}
                _ = gone => {}
            }
        });
    }
}

async fn call<S: hyper::rt::Read + hyper::rt::Write + Unpin + Send>(router: Router, stream: S) {
    let service =
        service_fn(move |request: hyper::Request<Incoming>| router.clone().call(request.map(Body::new)));
    let mut http = http1::Builder::new();
    http.keep_alive(false).max_buf_size(LONGEST_HEAD);
    // How a caller's connection ends is the caller's affair.
    let _ = http.serve_connection(stream, service).await;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_permit_is_a_name_and_seconds() {
        let read = [
            "restart",
            " restart 60\n",
            "restart 1.5",
            "",
            "restart x",
            "restart -1",
            "restart 1 2",
            "restart nan",
        ];
        let read =
            read.map(|body| asked_permit(body.as_bytes()).map(|(name, keep)| format!("{name} {}", keep.0)));
        let is = |text: &str| Some(text.to_string());
        assert_eq!(
            read,
            [is("restart 0"), is("restart 600000"), is("restart 15000"), None, None, None, None, None]
        );
    }

    #[test]
    fn a_body_is_one_id_or_nothing() {
        let bodies = ["s-1", " s-1\r\n", "", " ", "s-1 s-2", "s-1,s-2", "s-1\ns-2", "s\u{0}", "\u{e9}"];
        let read = bodies.map(|body| one_id(body.as_bytes()).is_some());
        assert_eq!(read, [true, true, false, false, false, false, false, false, true]);
        assert_eq!(one_id(b"\xff"), None);
    }
}
