//! The side of the clients: it accepts connections, reads ops, and gives each its one final answer. It owns the
//! clients' connections, how many there may be and how long they may take, and the orderly end. It must never
//! choose an upstream, answer an op that the decisions hold by its own choice, or hand them one that it could not
//! read whole.

use std::collections::BTreeSet;
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use axum::Router;
use axum::extract::{Extension, Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Version, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use doorproxy::facade::{NewOp, Next, Push};
use doorproxy::ids::{At, CategoryId, Key, OpId, Span, TenantId};
use doorproxy::rng::mix_text;
use doorproxy::terms::Asking;
use tokio::sync::{Notify, mpsc};

use crate::bodies::{BodyFault, LARGEST_BODY, end_to_end};
use crate::clients::Clients;
use crate::connection::{Connection, Stage};
use crate::endings::PushEnding;
use crate::given::Given;
use crate::note;
use crate::streamed::{Coming, LARGEST_STREAMED, Load, Passes, pass_on, take_in};
use crate::succession::Signs;
use crate::upstreams::{Outgoing, TIME_LEFT};
use crate::whole::{self, Inherited};
use crate::world::{Listener, World, duration};

const CATEGORY: HeaderName = HeaderName::from_static("req-kind");
const TENANT: HeaderName = HeaderName::from_static("req-owner");
const KEY: HeaderName = HeaderName::from_static("req-key");
const ID: HeaderName = HeaderName::from_static("req-id");
const COST: HeaderName = HeaderName::from_static("req-cost");
const READY: &str = "/-/ready";

/// The client's clock started when it sent the op, and its answer has a way to go as well.
const MARGIN: Span = Span(200);
/// An op that the decisions have not answered so long after its time is answered here, as a last resort.
const OVERDUE: Span = Span(100);
/// Of the grace after SIGTERM. For so long clients are served on the connections that they have: these would find
/// nobody else while other balancers are being restarted, and a process that has ended serves no one.
const STILL_SERVING: f64 = 2.0 / 3.0;
/// But never less: so long the platform's front may take to send new connections elsewhere.
const STILL_FOUND: Span = Span(5_000);
/// Answers given at the end of the grace are still on their way for so long.
const PARTING: Span = Span(3500);
/// How often it is seen, towards the end, whether all is answered.
const BETWEEN_LOOKS: Span = Span(500);
const LEARNED: &str = "doorproxy-learned 1";
/// An elder leaves it anew at each look; an older one was left before another upgrade.
const LEARNED_KEPT: Span = Span(10_000);
const BACKLOG: u32 = 1024;
/// Of clients' connections. Guards against an answer cut off by our closing, since the system has it whole.
pub const SEND_BUFFER: u32 = 2 * LARGEST_BODY as u32;

pub struct Front<W: World> {
    world: W,
    given: Arc<Given>,
    parts: whole::Parts<W>,
    grace: Span,
    /// Since when a younger process of this balancer serves.
    succeeded: Mutex<Option<At>>,
    /// When it was asked to end, and those that wait for that.
    asked: OnceLock<At>,
    told: Notify,
    clients: Arc<Clients<W>>,
    /// Ids of the ops in hand.
    open: Mutex<BTreeSet<String>>,
}

impl<W: World> Front<W> {
    pub fn new(world: W, given: Arc<Given>, parts: whole::Parts<W>, grace: Span) -> Arc<Front<W>> {
        let clients = Clients::new(world.clone(), parts.sockets);
        Arc::new(Front {
            world,
            given,
            parts,
            grace,
            succeeded: Mutex::default(),
            asked: OnceLock::new(),
            told: Notify::new(),
            clients,
            open: Mutex::default(),
        })
    }

    fn open(&self) -> MutexGuard<'_, BTreeSet<String>> {
        self.open.lock().expect("no panic while the ids are held")
    }

    fn is_draining(&self) -> bool {
        self.asked.get().is_some()
    }

    fn succeeded(&self) -> MutexGuard<'_, Option<At>> {
        self.succeeded.lock().expect("no panic while it is held")
    }

    fn is_succeeded(&self) -> bool {
        self.succeeded().is_some()
    }

    /// Ids inside stand for the same things, and what was learned holds, only under the same settings; and it grows old.
    fn learned_head(&self, at: At) -> String {
        format!("{LEARNED} {:016x} {}\n", self.given.settings, at.0)
    }

    /// Goes on from what an elder left, unless it is of another form, of other settings, or old.
    fn read_learned(&self, left: &str) -> Option<()> {
        let (head, learned) = left.split_once('\n')?;
        let at = At(head.rsplit_once(' ')?.1.parse().ok()?);
        let now = self.world.now();
        if now - at > LEARNED_KEPT || format!("{head}\n") != self.learned_head(at) {
            return None;
        }
        self.parts.facade.go_on_from(now, learned);
        Some(())
    }

    /// What the other processes of this balancer do now.
    fn follow(&self, signs: &dyn Signs) {
        let others = signs.others();
        if others.has_heir {
            let now = self.world.now();
            let text = format!("{}{}", self.learned_head(now), self.parts.facade.learned(now));
            if let Err(error) = signs.leave(&text) {
                note!(self.world, "what was learned could not be left: {error}");
            }
        }
        let before = *self.succeeded();
        if others.is_succeeded != before.is_some() {
            let now = self.world.now();
            *self.succeeded() = others.is_succeeded.then_some(now);
            self.parts.readiness.set(!others.is_succeeded && !self.is_draining());
            self.parts.leave_cold(now, others.is_succeeded.then_some(now));
            let does = if others.is_succeeded { "serves" } else { "has ended" };
            note!(self.world, "a younger process {does}");
        }
        let sockets = self.parts.sockets;
        let lent = if others.is_shared { sockets / 2 } else { 0 };
        self.clients.may_use(sockets - lent);
        self.parts.upstreams.lend(lent * 5 / 16);
    }

    /// Connections that stand idle are closed. Not at once where a younger process serves: each op that comes on one is
    /// told to go, and one that crosses the closing has to be sent again.
    fn is_parting(&self) -> bool {
        let now = self.world.now();
        let is_over = |&asked: &At| now - asked >= self.grace.times(STILL_SERVING).max(STILL_FOUND);
        self.asked.get().is_some_and(is_over) || self.succeeded().is_some_and(|at| now - at >= self.grace)
    }

    /// Guards against ops that are still held when the platform's patience ends: then all is killed.
    async fn out_of_grace(&self) {
        // From before the look on, so that nothing is told in between.
        let told = self.told.notified();
        if !self.is_draining() {
            told.await;
        }
        match self.asked.get() {
            Some(&asked) => self.world.sleep_until(asked + self.grace).await,
            None => std::future::pending().await,
        }
    }

    /// An op whose fields can't be read is the client's fault, which a nack would invite it to repeat.
    fn new_op(&self, headers: &HeaderMap) -> Result<NewOp, String> {
        // Upstreams know an op by it, and one that has none would pass for an upstream's fault.
        text(headers, &ID)?.ok_or_else(|| format!("no {ID}"))?;
        let category = text(headers, &CATEGORY)?.ok_or_else(|| format!("no {CATEGORY}"))?;
        let category = self.given.categories.get(category).ok_or_else(|| format!("unknown {CATEGORY}"))?;
        let tenant = match text(headers, &TENANT)? {
            _ if self.given.tenants.is_empty() => 0,
            None => return Err(format!("no {TENANT}")),
            Some(tenant) => *self.given.tenants.get(tenant).ok_or_else(|| format!("unknown {TENANT}"))?,
        };
        let category = CategoryId(*category);
        let terms = &self.given.terms;
        let time_left = match text(headers, &TIME_LEFT)? {
            None => terms.category(category).ttl,
            Some(ms) => {
                let ms: u32 =
                    ms.parse().map_err(|_| format!("{TIME_LEFT} of whole milliseconds expected"))?;
                Span(i64::from(ms) * 10).min(terms.longest_ttl())
            }
        };
        let hint = match text(headers, &COST)? {
            None => None,
            Some(us) => {
                let us: f64 = us.parse().map_err(|_| format!("{COST} of microseconds expected"))?;
                if !us.is_finite() || us < 0.0 {
                    return Err(format!("{COST} of microseconds expected"));
                }
                (us > 0.0).then_some(us / 1e6)
            }
        };
        Ok(NewOp {
            category,
            tenant: TenantId(tenant),
            key: text(headers, &KEY)?.map(|key| Key(mix_text(key))),
            hint,
            time_left,
        })
    }

    /// The last touch of every answer: a client is told when its connection will not be kept.
    fn closing(&self, mut response: Response) -> Response {
        if self.is_parting() || self.is_succeeded() || self.clients.is_short() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, String> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(format!("{name} more than once"));
    }
    let value = value.to_str().map_err(|_| format!("{name} in ASCII expected"))?;
    Ok(Some(value).filter(|value| !value.is_empty()))
}

/// An op in hand. Tells the decisions that its client has gone, if its handling ends before its answer.
struct Taken<'a, W: World> {
    front: &'a Front<W>,
    op: OpId,
    id: String,
}

impl<W: World> Drop for Taken<'_, W> {
    fn drop(&mut self) {
        self.front.parts.facade.report_gone(self.front.world.now(), self.op);
        self.front.open().remove(&self.id);
    }
}

async fn ready<W: World>(State(front): State<Arc<Front<W>>>) -> StatusCode {
    if front.is_draining() && !front.is_succeeded() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

async fn op<W: World>(
    State(front): State<Arc<Front<W>>>,
    Extension(client): Extension<Arc<Connection<W>>>,
    request: Request,
) -> Response {
    let category = text(request.headers(), &CATEGORY).ok().flatten().unwrap_or_default().to_string();
    let answer = match read(&front, &client, request).await {
        Ok(_) if front.clients.turns_away() => nack(front.given.terms.longest_stay_away),
        Ok((new, head, load)) => relay(&front, client, new, head, load, &category).await,
        Err((status, fault)) => (status, format!("{fault}\n")).into_response(),
    };
    if answer.extensions().get::<Passes>().is_none() {
        front.parts.figures.ended(&category, answer.status().into());
    }
    front.closing(answer)
}

async fn read<W: World>(
    front: &Front<W>,
    client: &Arc<Connection<W>>,
    request: Request,
) -> Result<(NewOp, Parts, Load), (StatusCode, String)> {
    let (mut head, body) = request.into_parts();
    let bad = |fault| (StatusCode::BAD_REQUEST, fault);
    // First, so that what is read is what goes on.
    end_to_end(&mut head.headers);
    head.extensions.remove::<Arc<Connection<W>>>();
    // Enough of the body is held by then: nobody is to wait before sending it.
    head.headers.remove(header::EXPECT);
    head.version = Version::HTTP_11;
    let new = front.new_op(&head.headers).map_err(bad)?;
    // A tunnel is no op: both libraries would treat what follows its answer as bytes of no message.
    if head.method == Method::CONNECT || !head.uri.path().starts_with('/') {
        return Err(bad("a path that begins with / expected, and no CONNECT".to_string()));
    }
    match take_in(body, LARGEST_STREAMED, client).await {
        Ok(load) => Ok((new, head, load)),
        Err(BodyFault::TooLarge) => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, format!("at most {LARGEST_STREAMED} bytes are taken")))
        }
        Err(BodyFault::Broken) => Err(bad("the body broke off".to_string())),
    }
}

/// The life of an op, from its last byte to its final answer.
async fn relay<W: World>(
    front: &Arc<Front<W>>,
    client: Arc<Connection<W>>,
    mut new: NewOp,
    head: Parts,
    load: Load,
    category: &str,
) -> Response {
    let id = text(&head.headers, &ID).ok().flatten().unwrap_or_default().to_string();
    // Guards against two pushes of one id at an upstream, which would pass for one op made twice.
    if !front.open().insert(id.clone()) {
        return (StatusCode::CONFLICT, format!("an op with this {ID} is in hand\n")).into_response();
    }
    // An op's time counts from its last byte.
    let (now, time_left) = (front.world.now(), Span((new.time_left.0 - MARGIN.0).max(0)));
    let ends = client.came_at() + time_left;
    new.time_left = Span((ends - now).0.max(0));
    let outgoing = Arc::new(Outgoing { head, load, time_left, ends });
    let overdue = outgoing.load.over(&front.world, ends + OVERDUE, time_left + OVERDUE);
    let out_of_grace = front.out_of_grace();
    tokio::pin!(overdue, out_of_grace);
    let in_hand = front.parts.figures.take();
    let op = front.parts.facade.take(now, new);
    let streams = || front.parts.facade.report_streaming(front.world.now(), op);
    let follow = outgoing.load.follow(streams, || *client.stage() = Stage::Held);
    tokio::pin!(follow);
    let _taken = Taken { front, op, id };
    let (answered, mut answers) = mpsc::channel(1);
    let mut is_cut_short = false;
    loop {
        tokio::select! {
            biased;
            () = &mut follow => {}
            Some(answer) = answers.recv() => return pass_on(&front.world, &client, answer, in_hand, category),
            next = front.parts.facade.pick(op) => match next {
                Next::Push(push) => {
                    front.world.spawn(carry(front.clone(), push, outgoing.clone(), answered.clone()));
                }
                Next::Nack(stay_away) => return nack(stay_away),
                Next::DeadLetter => return dead_letter(),
            },
            () = &mut overdue => {
                note!(front.world, "op {} was not decided on in its time", op.0);
                return dead_letter();
            }
            () = &mut out_of_grace, if !is_cut_short => {
                is_cut_short = true;
                front.parts.facade.cut_short(front.world.now(), op);
            }
        }
    }
}

/// Makes one push and reports how it ended, also where the op is over or its client has gone.
async fn carry<W: World>(
    front: Arc<Front<W>>,
    push: Push,
    outgoing: Arc<Outgoing>,
    answered: mpsc::Sender<Response<Coming>>,
) {
    let ending = front.parts.upstreams.push(&front.parts.facade, &push, &outgoing).await;
    front.world.push_ended(ending.name());
    let is_final = front.parts.facade.report(front.world.now(), push, ending.meaning());
    if let PushEnding::Answered(answer) = ending
        && is_final
    {
        // Fails only where the client has gone meanwhile.
        let _ = answered.try_send(answer);
    }
}

pub fn nack(stay_away: Option<Span>) -> Response {
    let mut response = (StatusCode::SERVICE_UNAVAILABLE, "not now\n").into_response();
    if let Some(Ok(wait)) = stay_away.map(|wait| HeaderValue::try_from(format!("{:.3}", wait.secs()))) {
        response.headers_mut().insert(header::RETRY_AFTER, wait);
    }
    response
}

pub fn dead_letter() -> Response {
    (StatusCode::BAD_GATEWAY, "no answer, and it may have run\n").into_response()
}

/// Accepts until it is asked to end and for a while longer, or until a younger process serves, and returns when
/// everything taken is answered.
pub async fn serve<W: World>(
    front: Arc<Front<W>>,
    inherited: Option<Inherited<W>>,
    has_elder: bool,
    ask: impl Future<Output = ()>,
) -> Result<(), String> {
    let world = front.world.clone();
    let address = front.given.listen;
    let (listener, signs) = match inherited {
        Some(Inherited { listener, signs }) => (listener, Some(signs)),
        None => match world.listen(address, SEND_BUFFER, BACKLOG) {
            Ok(listener) => (listener, None),
            Err(error) => return Err(format!("{address}: {error}")),
        },
    };
    tokio::pin!(ask);
    if has_elder {
        // The elder serves meanwhile, and what the list told it binds this one as well. It waits no longer than a change
        // takes to bind: it serves from what it was given then.
        let heard = world.timeout(duration(Asking::TOLD_WITHIN), front.parts.readiness.list_asked());
        tokio::select! {
            biased;
            // It has accepted nothing, and the elder goes on.
            () = &mut ask => {
                note!(world, "asked to end before it served");
                return Ok(());
            }
            _ = heard => {}
        }
        let learned = signs.as_ref().and_then(|signs| front.read_learned(&signs.left()?));
        let window = front.given.terms.cold.fall_window;
        // It leaves cold servers to this one; what it pushed to them lately still counts, and may not be known.
        let wait = duration(if learned.is_some() { Span::ZERO } else { window });
        let (of_world, parts) = (world.clone(), front.parts.clone());
        world.spawn(async move {
            of_world.sleep(wait).await;
            parts.leave_cold(of_world.now(), None);
        });
    }
    let router = Router::new().route(READY, get(ready::<W>)).fallback(op::<W>).with_state(front.clone());
    if let Some(signs) = &signs {
        signs.serves().map_err(|error| format!("to tell others that this process serves: {error}"))?;
    }
    // Before it is said: who reads it may ask at once.
    front.parts.readiness.set(true);
    // The port may have been left to the system.
    note!(world, "serving on {}", listener.address().unwrap_or(address));
    let clients = front.clients.clone();
    let keeper = clients.clone();
    world.spawn(async move { keeper.keep().await });
    let mut look = world.now();
    loop {
        tokio::select! {
            biased;
            () = &mut ask, if !front.is_draining() => {
                front.parts.readiness.set(false);
                front.asked.get_or_init(|| world.now());
                note!(world, "asked to end");
                front.told.notify_waiters();
                look = world.now();
            }
            () = world.sleep_until(look) => {
                look = world.now() + BETWEEN_LOOKS;
                if let Some(signs) = &signs {
                    front.follow(&**signs);
                }
                if !front.is_parting() {
                    continue;
                }
                clients.close_all();
                let is_late = |&asked: &At| world.now() >= asked + front.grace + PARTING;
                let is_late = front.asked.get().is_some_and(is_late);
                if !is_late && clients.count() > 0 {
                    continue;
                }
                // Guards against an op on a connection that nobody has accepted yet: the system ends it with the socket.
                if !is_late && !front.is_succeeded() && let Some(stream) = listener.accept_waiting() {
                    clients.spawn(&router, stream);
                    continue;
                }
                drop(listener);
                note!(world, "ended with {} connections open", clients.count());
                return Ok(());
            }
            stream = clients.accept(&listener), if !front.is_succeeded() => clients.spawn(&router, stream),
        }
    }
}
