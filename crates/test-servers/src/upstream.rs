//! A test endpoint with a number of cores and a bounded queue. After a cold start it warms up, and collapses
//! if it is sent too much work meanwhile. Its limits follow from its settings alone and are the same for
//! every balancer. It records connections, attempts and effects; connections take no capacity.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;

use crate::clock::{self, Clock, MS, Micros, SECOND};
use crate::events::{DEDUP_WINDOW, Event, RequestClass, SharedEventSink};
use crate::http::{MessageKind, MessageReader, response};

/// The origin of a connection that came through a proxy: who opened it, and when its bytes reached the proxy.
#[derive(Clone)]
pub struct ConnectionOrigin {
    /// The name of the process that opened the connection.
    pub from: String,
    /// Numbers of bytes received by the proxy so far, in ascending order, each with the time at which it was
    /// reached.
    pub entered: Arc<Mutex<VecDeque<(u64, Micros)>>>,
}

impl ConnectionOrigin {
    /// Returns when the byte at this position reached the proxy, and drops the entries before it.
    fn entered_at(&self, position: u64) -> Option<Micros> {
        let mut entered = self.entered.lock().expect("no thread panics while it holds this lock");
        while entered.front().is_some_and(|(end, _)| *end <= position) {
            entered.pop_front();
        }
        entered.front().map(|(_, at)| *at)
    }
}

/// Finds the origins of connections that came through a proxy.
pub trait ConnectionOrigins: Send + Sync {
    /// Returns the origin of the connection with this peer address.
    fn origin_of(&self, peer: SocketAddr) -> Option<ConnectionOrigin>;
}

/// Accepts connections until dropped, and serves each whose origin is known in a task of its own.
pub(crate) async fn accept_proxied<S: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    origins: &dyn ConnectionOrigins,
    serve: impl Fn(TcpStream, ConnectionOrigin) -> S,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            clock::sleep(MS).await;
            continue;
        };
        while connections.try_join_next().is_some() {}
        if let Some(origin) = origins.origin_of(peer) {
            connections.spawn(serve(stream, origin));
        }
    }
}

/// The capacity of a warming endpoint, as the settings of the balancers state it.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The fraction of the full capacity that an endpoint has when it starts.
    pub initial_fraction: f64,
    /// The time until the full capacity, during which the fraction rises linearly.
    pub warm_up_time: Micros,
    /// The multiple of its current capacity at which a warming endpoint collapses.
    pub overload_factor: f64,
    /// The window over which the work sent to a warming endpoint is summed.
    pub overload_window: Micros,
}

impl SlowStart {
    /// Returns the fraction of its full capacity that an endpoint has at `now`: 1 if it did not start cold.
    pub fn capacity_fraction(&self, now: Micros, warming_since: Option<Micros>) -> f64 {
        let Some(warming_since) = warming_since else { return 1.0 };
        let progress = now.saturating_sub(warming_since) as f64 / self.warm_up_time.max(1) as f64;
        (self.initial_fraction + (1.0 - self.initial_fraction) * progress).clamp(0.0, 1.0)
    }

    /// Returns the seconds of work that an endpoint may be sent in a window that ends now. Endpoints and
    /// checkers tolerate a tenth and two requests more than this.
    pub fn allowed_work(&self, now: Micros, warming_since: Option<Micros>, capacity: f64) -> f64 {
        let fraction = self.capacity_fraction(now, warming_since);
        self.overload_factor * capacity * fraction * self.overload_window as f64 / SECOND as f64
    }
}

/// The capacity of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    /// The number of requests that it processes at a time.
    pub cores: usize,
    /// The number of requests that may wait for a core; a further one is declined.
    pub queue_limit: usize,
    /// Its capacity while it warms up.
    pub slow_start: SlowStart,
}

/// The current misbehaviour of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamBehavior {
    /// The factor by which processing takes longer; 1 normally.
    pub slowdown_factor: f64,
    /// Requests are processed and then answered with 500.
    pub answers_errors: bool,
    /// Requests are accepted, and answered only once this is over.
    pub hangs: bool,
    /// Every request is declined.
    pub declines_all: bool,
}

impl Default for UpstreamBehavior {
    fn default() -> UpstreamBehavior {
        UpstreamBehavior { slowdown_factor: 1.0, answers_errors: false, hangs: false, declines_all: false }
    }
}

/// The deduplicated requests that ran at any endpoint within [`DEDUP_WINDOW`]; all endpoints share this
/// record.
#[derive(Default)]
pub struct DedupMemory(Mutex<BTreeMap<u64, Micros>>);

impl DedupMemory {
    /// Records a request, and returns true if it did not run within the window.
    fn insert_if_new(&self, now: Micros, op: u64) -> bool {
        let mut last_runs = self.0.lock().expect("no thread panics while it holds this lock");
        last_runs.retain(|_, at| now.saturating_sub(*at) < DEDUP_WINDOW);
        last_runs.insert(op, now).is_none()
    }
}

struct UpstreamState {
    start_number: u32,
    warming_since: Option<Micros>,
    has_collapsed: bool,
    behavior: UpstreamBehavior,
    queued_requests: usize,
    recent_work: VecDeque<(Micros, f64)>,
    tasks: Option<JoinSet<()>>,
}

/// A test endpoint, whose process can be started and killed several times.
pub struct UpstreamServer {
    /// The name in the endpoint list.
    pub name: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    spec: UpstreamSpec,
    clock: Clock,
    events: SharedEventSink,
    dedup_memory: Arc<DedupMemory>,
    origins: Arc<dyn ConnectionOrigins>,
    state: Mutex<UpstreamState>,
    behavior_changed: Notify,
}

/// Parses the target of an attempt, such as `/api/look?op=1f&work=10000`, into class, request id and
/// processing time.
fn parse_target(target: &str) -> Option<(RequestClass, u64, Micros)> {
    let (path, query) = target.strip_prefix("/api/")?.split_once('?')?;
    let class = RequestClass::ALL.into_iter().find(|class| class.name() == path)?;
    let (op, work) = query.strip_prefix("op=")?.split_once("&work=")?;
    Some((class, u64::from_str_radix(op, 16).ok()?, work.parse().ok()?))
}

/// Returns the target of a request.
pub fn request_target(class: RequestClass, op: u64, work: Micros) -> String {
    format!("/api/{}?op={op:x}&work={work}", class.name())
}

/// Returns the body of a request; idempotent ones are GET requests and have none.
pub fn request_body(class: RequestClass, op: u64) -> String {
    if class == RequestClass::Idempotent { String::new() } else { format!("the body of op {op:x}") }
}

impl UpstreamServer {
    /// Returns an endpoint without a running process.
    pub fn new(
        name: &str,
        address: SocketAddr,
        spec: UpstreamSpec,
        clock: Clock,
        events: SharedEventSink,
        dedup_memory: Arc<DedupMemory>,
        origins: Arc<dyn ConnectionOrigins>,
    ) -> Arc<UpstreamServer> {
        let state = UpstreamState {
            start_number: 0,
            warming_since: None,
            has_collapsed: false,
            behavior: UpstreamBehavior::default(),
            queued_requests: 0,
            recent_work: VecDeque::new(),
            tasks: None,
        };
        Arc::new(UpstreamServer {
            name: name.to_string(),
            address,
            spec,
            clock,
            events,
            dedup_memory,
            origins,
            state: Mutex::new(state),
            behavior_changed: Notify::new(),
        })
    }

    fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.lock().expect("no thread panics while it holds this lock")
    }

    /// Returns when the current process started if it started cold, otherwise 0.
    pub fn started_at(&self) -> Micros {
        self.state().warming_since.unwrap_or(0)
    }

    /// Starts a process, cold or warm.
    ///
    /// # Errors
    ///
    /// Fails if its address can't be bound.
    pub async fn start(self: &Arc<Self>, is_cold: bool) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let now = self.clock.now();
        let mut state = self.state();
        state.start_number += 1;
        state.warming_since = is_cold.then_some(now);
        state.has_collapsed = false;
        state.queued_requests = 0;
        state.recent_work.clear();
        let start = state.start_number;
        let mut tasks = JoinSet::new();
        tasks.spawn(self.clone().accept_connections(listener, start));
        state.tasks = Some(tasks);
        let capacity = self.spec.cores as f64;
        self.events.record(Event::UpstreamStarted {
            server: self.name.clone(),
            start,
            cold: is_cold,
            since: now,
            capacity,
        });
        Ok(())
    }

    /// Kills the process: its connections are reset or end, and new ones are refused.
    pub fn kill(&self) {
        if self.state().tasks.take().is_some() {
            self.events.record(Event::UpstreamEnded { server: self.name.clone() });
        }
    }

    /// Changes the endpoint's misbehaviour; it lasts over restarts.
    pub fn change_behavior(&self, change: impl FnOnce(&mut UpstreamBehavior)) {
        change(&mut self.state().behavior);
        self.behavior_changed.notify_waiters();
    }

    async fn accept_connections(self: Arc<Self>, listener: TcpListener, start: u32) {
        let cores = Arc::new(Semaphore::new(self.spec.cores));
        accept_proxied(listener, &*self.origins, |stream, origin| {
            let node = origin.from.clone();
            self.events.record(Event::ConnectionAccepted { server: self.name.clone(), start, node });
            self.clone().serve_connection(stream, origin, start, cores.clone())
        })
        .await;
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        origin: ConnectionOrigin,
        start: u32,
        cores: Arc<Semaphore>,
    ) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut reader = MessageReader::new(reader, MessageKind::Request);
        let server = || self.name.clone();
        while let Ok(Some(attempt)) = reader.next_message().await {
            let Some((class, op, work)) = parse_target(&attempt.target) else {
                let _ = writer.write_all(&response("400 Bad", "", b"the target is not an attempt's")).await;
                return;
            };
            let first_byte =
                origin.entered_at(attempt.first_byte_position).unwrap_or_else(|| self.clock.now());
            let is_post = class != RequestClass::Idempotent;
            let right = attempt.parsed_header::<String>("req-id").is_some_and(|id| id == format!("{op:x}"))
                && attempt.method == if is_post { "POST" } else { "GET" }
                && attempt.body == request_body(class, op).as_bytes();
            let node = origin.from.clone();
            self.events.record(Event::AttemptReceived {
                op,
                server: server(),
                start,
                node,
                first_byte,
                right,
            });
            let behavior = match self.admit(work, start) {
                Some(behavior) => behavior,
                None => {
                    self.events.record(Event::Declined { op, server: server(), start });
                    let headers = "Srv-Declined: 1\r\n";
                    if writer.write_all(&response("503 Declined", headers, b"")).await.is_err() {
                        return;
                    }
                    continue;
                }
            };
            // Admitted work runs to its end even if the connection ends and nobody waits for the response.
            let execution = tokio::spawn(self.clone().execute(class, op, work, start, cores.clone()));
            if execution.await.is_err() {
                return;
            }
            while self.state().behavior.hangs {
                self.behavior_changed.notified().await;
            }
            let response = if behavior.answers_errors {
                response("500 Failed", "", b"")
            } else {
                response("200 OK", "", format!("{op:x} {}#{start}", self.name).as_bytes())
            };
            if writer.write_all(&response).await.is_err() {
                return;
            }
        }
    }

    /// Counts an attempt into the queue and returns the current behavior, or none if the attempt is declined.
    fn admit(&self, work: Micros, start: u32) -> Option<UpstreamBehavior> {
        let now = self.clock.now();
        let mut state = self.state();
        let work = work as f64 / SECOND as f64;
        let warming_since = state.warming_since;
        let slow_start = &self.spec.slow_start;
        if warming_since.is_some_and(|since| now - since < slow_start.warm_up_time) {
            state.recent_work.push_back((now, work));
            let window_start = now.saturating_sub(slow_start.overload_window);
            state.recent_work.retain(|(at, _)| *at >= window_start);
            let sum: f64 = state.recent_work.iter().map(|(_, work)| work).sum();
            let largest = state.recent_work.iter().map(|(_, work)| *work).fold(0.0, f64::max);
            let allowed_work = slow_start.allowed_work(now, warming_since, self.spec.cores as f64);
            if sum > 1.1 * allowed_work + 2.0 * largest && !state.has_collapsed {
                state.has_collapsed = true;
                self.events.record(Event::UpstreamCollapsed { server: self.name.clone(), start });
            }
        }
        if state.behavior.declines_all
            || state.has_collapsed
            || state.queued_requests >= self.spec.queue_limit + self.spec.cores
        {
            return None;
        }
        state.queued_requests += 1;
        Some(state.behavior)
    }

    async fn execute(
        self: Arc<Self>,
        class: RequestClass,
        op: u64,
        work: Micros,
        start: u32,
        cores: Arc<Semaphore>,
    ) {
        let core = cores.acquire().await;
        let time = {
            let state = self.state();
            let fraction =
                self.spec.slow_start.capacity_fraction(self.clock.now(), state.warming_since).max(0.01);
            (work as f64 * state.behavior.slowdown_factor / fraction) as Micros
        };
        clock::sleep(time).await;
        drop(core);
        let mut state = self.state();
        // A process that was killed meanwhile applies no effect.
        if state.start_number != start || state.tasks.is_none() {
            return;
        }
        state.queued_requests = state.queued_requests.saturating_sub(1);
        drop(state);
        if class != RequestClass::Deduplicated || self.dedup_memory.insert_if_new(self.clock.now(), op) {
            self.events.record(Event::EffectApplied { op, server: self.name.clone(), start });
        }
    }
}
