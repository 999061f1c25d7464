//! The application's side: it accepts connections, asks the configuration what each request is, and gives it its one
//! answer. It must never choose a server, or answer by its own choice what the decisions hold.

use std::future::Future;
use std::sync::{Arc, Mutex, OnceLock};

use axum::Router;
use axum::extract::{Extension, Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, StatusCode, Version, header};
use axum::response::{IntoResponse, Response};
use doorproxy::facade::{NewOp, Next, Push};
use doorproxy::ids::{At, CategoryId, Key, OpId, Span, TenantId};
use doorproxy::rng::mix_text;
use doorproxy_balancer::bodies::{BodyFault, end_to_end};
use doorproxy_balancer::clients::Clients;
use doorproxy_balancer::connection::{Connection, Stage};
use doorproxy_balancer::endings::PushEnding;
use doorproxy_balancer::front::{dead_letter, nack};
use doorproxy_balancer::note;
use doorproxy_balancer::streamed::{Coming, Load, pass_on, take_in};
use doorproxy_balancer::upstreams::Outgoing;
use doorproxy_balancer::world::{Listener, World};
use doorproxy_config::explain::Verdict;
use doorproxy_config::plan::{Listen, Plan};
use doorproxy_routes::request::Seen;
use tokio::sync::mpsc;

use crate::pools::{Pool, STAY_AWAY, State as Serving, start};

/// An op that the decisions have not answered so long after its time is answered here, as a last resort.
const OVERDUE: Span = Span(100);
/// After it was asked to end, a sidecar finishes what it holds for so long at the most, beyond the longest TTL.
const PARTING: Span = Span(3500);
/// Of the longest TTL, for so long clients are served on the connections that they have.
const STILL_SERVING: f64 = 2.0 / 3.0;
const BETWEEN_LOOKS: Span = Span(200);
const BACKLOG: u32 = 1024;
const SEND_BUFFER: u32 = 128 << 10;

pub struct Sidecar<W: World> {
    world: W,
    seed: u64,
    /// By what new requests are served; those in hand hold on to what they began with.
    state: Mutex<Arc<Serving<W>>>,
    /// What it calls itself in Via: two sidecars that send to each other would go round for ever.
    via: String,
    clients: Arc<Clients<W>>,
    /// When it was asked to end.
    asked: OnceLock<At>,
    grace: Span,
}

impl<W: World> Sidecar<W> {
    fn state(&self) -> Arc<Serving<W>> {
        self.state.lock().expect("no panic while the state is held").clone()
    }

    /// Takes a new file whole, or keeps the old one and says why.
    fn take(&self, plan: Plan) -> Result<(), String> {
        let before = self.state();
        if before.plan.listen != plan.listen || before.plan.limits.sockets != plan.limits.sockets {
            return Err("listeners and sockets can only change with a new start".to_string());
        }
        let state = start(&self.world, plan, self.seed, Some(&before))?;
        *self.state.lock().expect("no panic while the state is held") = Arc::new(state);
        Ok(())
    }

    /// Clients are told to go.
    fn is_parting(&self) -> bool {
        self.asked.get().is_some_and(|&asked| self.world.now() - asked >= self.grace.times(STILL_SERVING))
    }

    /// The last touch of every answer: a client is told when its connection will not be kept.
    fn closing(&self, mut answer: Response) -> Response {
        if self.is_parting() || self.clients.is_short() {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    /// What the request is; an answer where it goes no further.
    fn judge(&self, plan: &Plan, head: &Parts) -> Result<Verdict, (StatusCode, String)> {
        let refuse = |status: StatusCode, why: String| Err((status, format!("{why}\n")));
        let field = |name: &str| {
            let mut values = head.headers.get_all(name).iter();
            let value = values.next()?.to_str().ok()?;
            values.next().is_none().then_some(value)
        };
        if head.headers.get_all(header::HOST).iter().count() > 1 {
            return refuse(StatusCode::BAD_REQUEST, "more than one Host".to_string());
        }
        let came_through = |value: &HeaderValue| {
            let text = value.to_str().unwrap_or_default();
            text.split(',').any(|hop| hop.split_whitespace().nth(1) == Some(&self.via))
        };
        if head.headers.get_all(header::VIA).iter().any(came_through) {
            return refuse(StatusCode::LOOP_DETECTED, "this request has been here before".to_string());
        }
        let target = head.uri.to_string();
        let judged =
            Seen::new(head.method.as_str(), &target, field("host")).and_then(|seen| plan.judge(&seen, field));
        match judged {
            Err(why) => refuse(StatusCode::BAD_REQUEST, why.to_string()),
            Ok(None) => refuse(StatusCode::NOT_FOUND, "no route takes this request".to_string()),
            Ok(Some(verdict)) => Ok(verdict),
        }
    }
}

/// The place of the tenant, the one behind all that are named for everybody else.
fn tenant(plan: &Plan, name: Option<&str>) -> TenantId {
    let tenants = &plan.tenants;
    let found = tenants.iter().position(|tenant| Some(tenant.name.as_str()) == name);
    TenantId(found.unwrap_or(tenants.len()) as u16)
}

fn new_op(plan: &Plan, verdict: &Verdict) -> NewOp {
    let hint = verdict.hint.as_ref().and_then(|hint| hint.parse::<f64>().ok());
    NewOp {
        category: CategoryId(verdict.category as u16),
        tenant: tenant(plan, verdict.tenant.as_deref()),
        key: verdict.key.as_ref().map(|key| Key(mix_text(key))),
        hint: hint.filter(|us| us.is_finite() && *us > 0.0).map(|us| us / 1e6),
        time_left: Span((verdict.ttl.as_micros() / 100) as i64),
    }
}

async fn op<W: World>(
    State(sidecar): State<Arc<Sidecar<W>>>,
    Extension(client): Extension<Arc<Connection<W>>>,
    request: Request,
) -> Response {
    let answer = answer(&sidecar, &client, request).await;
    sidecar.closing(answer)
}

async fn answer<W: World>(
    sidecar: &Arc<Sidecar<W>>,
    client: &Arc<Connection<W>>,
    request: Request,
) -> Response {
    let (mut head, body) = request.into_parts();
    let state = sidecar.state();
    let verdict = match sidecar.judge(&state.plan, &head) {
        Ok(verdict) => verdict,
        Err(refused) => return refused.into_response(),
    };
    let load = match take_in(body, state.plan.limits.body, client).await {
        Ok(load) => load,
        Err(BodyFault::TooLarge) => {
            return (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n").into_response();
        }
        Err(BodyFault::Broken) => return (StatusCode::BAD_REQUEST, "the body broke off\n").into_response(),
    };
    end_to_end(&mut head.headers);
    head.extensions.remove::<Arc<Connection<W>>>();
    // The body is here: nobody is to wait before sending it.
    head.headers.remove(header::EXPECT);
    head.version = Version::HTTP_11;
    add_via(&mut head.headers, &sidecar.via);
    if sidecar.clients.turns_away() {
        return nack(Some(STAY_AWAY));
    }
    relay(sidecar, &state.pools[verdict.pool], client, new_op(&state.plan, &verdict), head, load).await
}

fn add_via(headers: &mut HeaderMap, name: &str) {
    if let Ok(via) = HeaderValue::try_from(format!("1.1 {name}")) {
        headers.append(header::VIA, via);
    }
}

/// An op in hand. Tells the decisions that its client has gone, if its handling ends before its answer.
struct Taken<'a, W: World> {
    sidecar: &'a Sidecar<W>,
    pool: &'a Pool<W>,
    op: OpId,
}

impl<W: World> Drop for Taken<'_, W> {
    fn drop(&mut self) {
        self.pool.facade.report_gone(self.sidecar.world.now(), self.op);
    }
}

async fn relay<W: World>(
    sidecar: &Arc<Sidecar<W>>,
    pool: &Arc<Pool<W>>,
    client: &Arc<Connection<W>>,
    mut new: NewOp,
    head: Parts,
    load: Load,
) -> Response {
    let (now, time_left) = (sidecar.world.now(), new.time_left);
    let ends = client.came_at() + time_left;
    new.time_left = Span((ends - now).0.max(0));
    let outgoing = Arc::new(Outgoing { head, load, time_left, ends });
    let overdue = outgoing.load.over(&sidecar.world, ends + OVERDUE, time_left + OVERDUE);
    let facade = &pool.facade;
    let in_hand = pool.figures.take();
    let op = facade.take(now, new);
    let streams = || facade.report_streaming(sidecar.world.now(), op);
    let follow = outgoing.load.follow(streams, || *client.stage() = Stage::Held);
    tokio::pin!(overdue, follow);
    let _taken = Taken { sidecar, pool, op };
    let (answered, mut answers) = mpsc::channel::<Response<Coming>>(1);
    loop {
        tokio::select! {
            biased;
            () = &mut follow => {}
            Some(mut answer) = answers.recv() => {
                add_via(answer.headers_mut(), &sidecar.via);
                return pass_on(&sidecar.world, client, answer, in_hand, "");
            }
            next = facade.pick(op) => match next {
                Next::Push(push) => {
                    let task = carry(sidecar.world.clone(), pool.clone(), push, outgoing.clone(), answered.clone());
                    sidecar.world.spawn(task);
                }
                Next::Nack(stay_away) => return nack(stay_away),
                Next::DeadLetter => return dead_letter(),
            },
            () = &mut overdue => {
                note!(sidecar.world, "op {} was not decided on in its time", op.0);
                return dead_letter();
            }
        }
    }
}

/// Makes one push and reports how it ended, also where the op is over or its client has gone.
async fn carry<W: World>(
    world: W,
    pool: Arc<Pool<W>>,
    push: Push,
    outgoing: Arc<Outgoing>,
    answered: mpsc::Sender<Response<Coming>>,
) {
    let Pool { facade, upstreams, .. } = &*pool;
    let ending = upstreams.push(facade, &push, &outgoing).await;
    world.push_ended(ending.name());
    let is_final = facade.report(world.now(), push, ending.meaning());
    if let PushEnding::Answered(answer) = ending
        && is_final
    {
        // Fails only where the client has gone meanwhile.
        let _ = answered.try_send(answer);
    }
}

/// Serves until it is asked to end, then finishes what was taken.
pub async fn serve<W: World>(
    world: W,
    plan: Plan,
    seed: u64,
    mut newer: mpsc::Receiver<Plan>,
    ask: impl Future<Output = ()>,
) -> Result<(), String> {
    let mut listeners = Vec::new();
    for listen in &plan.listen {
        let Listen::Tcp(address) = listen else {
            return Err(format!("sidecars can't listen on {} yet", listen.told()));
        };
        let listener =
            world.listen(*address, SEND_BUFFER, BACKLOG).map_err(|error| format!("{address}: {error}"))?;
        note!(world, "serving on {}", listener.address().unwrap_or(*address));
        listeners.push(listener);
    }
    let grace = plan.categories.iter().map(|category| category.ttl).max().unwrap_or_default();
    let grace = Span((grace.as_micros() / 100) as i64);
    let via = format!("doorproxy-{}", plan.name.replace(|c: char| !c.is_ascii_alphanumeric(), "-"));
    let clients = Clients::new(world.clone(), plan.limits.sockets);
    let state = Mutex::new(Arc::new(start(&world, plan, seed, None)?));
    let (asked, of_clients) = (OnceLock::new(), clients.clone());
    let sidecar =
        Arc::new(Sidecar { world: world.clone(), seed, state, via, clients: of_clients, asked, grace });
    let router = Router::new().fallback(op::<W>).with_state(sidecar.clone());
    let keeper = clients.clone();
    world.spawn(async move { keeper.keep().await });
    let listeners: Vec<Arc<W::Listener>> = listeners.into_iter().map(Arc::new).collect();
    for listener in listeners.iter().cloned() {
        let (clients, router) = (clients.clone(), router.clone());
        world.spawn(async move {
            loop {
                let stream = clients.accept(&*listener).await;
                clients.spawn(&router, stream);
            }
        });
    }
    tokio::pin!(ask);
    loop {
        tokio::select! {
            biased;
            () = &mut ask => break,
            Some(plan) = newer.recv() => match sidecar.take(plan) {
                Ok(()) => note!(world, "serving by the new file"),
                Err(fault) => note!(world, "the old file is kept: {fault}"),
            },
        }
    }
    note!(world, "asked to end");
    let asked = world.now();
    sidecar.asked.get_or_init(|| asked);
    // Those that learn of it late are still accepted and served.
    world.sleep_until(asked + grace.times(STILL_SERVING)).await;
    loop {
        let left = clients.count();
        let is_late = world.now() >= asked + grace + PARTING;
        // Guards against a request on a connection that nobody has accepted yet: the system ends it with the socket.
        let waits = || listeners.iter().find_map(|listener| listener.accept_waiting());
        if left == 0
            && !is_late
            && let Some(stream) = waits()
        {
            clients.spawn(&router, stream);
            continue;
        }
        if left == 0 || is_late {
            note!(world, "ended with {left} connections open");
            return Ok(());
        }
        clients.close_all();
        world.sleep_until(world.now() + BETWEEN_LOOKS).await;
    }
}
