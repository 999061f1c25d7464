//! A load generator: an open loop of simulated clients whose requests a simple front end distributes over the
//! ready balancers. Some clients abandon requests or retry after a rejection. Each try has a request id of
//! its own, so that a request which runs twice was repeated by a balancer.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinSet;

use crate::clock::{self, Clock, MS, Micros, SECOND};
use crate::events::{Event, RequestClass, SharedEventSink};
use crate::http::{Message, MessageKind, MessageReader};
use crate::upstream::{request_body, request_target};

/// A request without a response and with an open connection for this long after its timeout counts as
/// unanswered.
pub const HANG_TIMEOUT: Micros = 15 * SECOND;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The number of requests that one client sends at most: the first try and its retries.
const MAX_TRIES: u32 = 3;
/// Separates the random numbers for arrivals from those for the choice of a balancer.
const ARRIVAL_SEED_SALT: u64 = 0xa551;
/// Ids of retries are above this; those of first tries count from 1.
pub const FIRST_RETRY_ID: u64 = 1 << 40;
/// The pause between two readiness checks of a balancer.
const READINESS_INTERVAL: Micros = 50 * MS;
/// The time after which a readiness check counts as missed.
const READINESS_TIMEOUT: Duration = Duration::from_secs(1);

/// The load that the clients generate. Ratios are fractions from 0 to 1.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// New clients per second over all balancers, not counting retries.
    pub requests_per_second: f64,
    /// The mean processing time of a request; values are uniform from 0.5 to 1.5 times the mean.
    pub mean_work: Micros,
    /// The timeout of each request.
    pub timeout: Micros,
    /// The ratio of deduplicated requests. Those that are neither these nor non-idempotent are idempotent.
    pub deduplicated_ratio: f64,
    /// The ratio of non-idempotent requests.
    pub non_idempotent_ratio: f64,
    /// The ratio of clients that abandon a request after a third of its timeout.
    pub abandon_ratio: f64,
    /// The ratio of clients that retry at once after a rejection.
    pub immediate_retry_ratio: f64,
    /// The ratio of clients that retry after a rejection once the time in `Retry-After` is over.
    pub retry_after_ratio: f64,
    /// The ratio of requests that go to the first balancer of those that are up.
    pub first_balancer_ratio: f64,
}

/// A balancer as the front end sees it.
pub struct BalancerHandle {
    /// The balancer's name.
    pub node: String,
    /// The address to which clients connect.
    pub address: SocketAddr,
    is_up: AtomicBool,
    idle_connections: Mutex<Vec<ClientConnection>>,
}

impl BalancerHandle {
    /// Returns a balancer that counts as down until a readiness check succeeds.
    pub fn new(node: &str, address: SocketAddr) -> BalancerHandle {
        BalancerHandle {
            node: node.to_string(),
            address,
            is_up: AtomicBool::new(false),
            idle_connections: Mutex::default(),
        }
    }

    /// Returns true if the front end sends requests to this balancer.
    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::Relaxed)
    }
}

struct ClientConnection {
    reader: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    last_request: Option<u64>,
}

/// Generates load and records what its clients observe.
pub struct LoadGenerator {
    /// All balancers, up or down.
    pub balancers: Vec<BalancerHandle>,
    load: LoadProfile,
    clock: Clock,
    events: SharedEventSink,
    /// The last id given to a retry; the order of retries differs between runs.
    last_retry_id: AtomicU64,
    /// Used only to choose balancers. Arrivals have a generator of their own and are the same in each run of
    /// a seed.
    rng: Mutex<Pcg64Mcg>,
    seed: u64,
    /// Called with the name of each balancer that becomes ready.
    on_ready: Box<dyn Fn(&str) + Send + Sync>,
}

/// One client's request, and how the client reacts to a rejection.
struct ClientRequest {
    class: RequestClass,
    work: Micros,
    retry_sample: f64,
    abandons: bool,
    first_id: u64,
}

struct RequestOutcome {
    is_served: bool,
    /// The time to wait before a retry, if the request was rejected.
    retry_after: Option<Micros>,
}

enum ExchangeOutcome {
    Response(Message),
    Closed,
    Abandoned,
    TimedOut,
}

impl LoadGenerator {
    /// Returns a load generator; `on_ready` is called with the name of each balancer that becomes ready.
    pub fn new(
        seed: u64,
        load: LoadProfile,
        balancers: Vec<BalancerHandle>,
        clock: Clock,
        events: SharedEventSink,
        on_ready: Box<dyn Fn(&str) + Send + Sync>,
    ) -> Arc<LoadGenerator> {
        let rng = Mutex::new(Pcg64Mcg::seed_from_u64(seed));
        Arc::new(LoadGenerator {
            balancers,
            load,
            clock,
            events,
            last_retry_id: AtomicU64::new(FIRST_RETRY_ID),
            rng,
            seed,
            on_ready,
        })
    }

    fn random_unit(&self) -> f64 {
        self.rng.lock().expect("no thread panics while it holds this lock").random()
    }

    /// Checks the readiness of each balancer until dropped.
    pub async fn watch_readiness(self: Arc<Self>) {
        let mut checks = JoinSet::new();
        for index in 0..self.balancers.len() {
            let generator = self.clone();
            checks.spawn(async move {
                let balancer = &generator.balancers[index];
                let mut missed = 0;
                loop {
                    let check = tokio::time::timeout(READINESS_TIMEOUT, is_ready(balancer.address)).await;
                    match check {
                        Ok(Ok(true)) => {
                            missed = 0;
                            if !balancer.is_up.swap(true, Ordering::Relaxed) {
                                (generator.on_ready)(&balancer.node);
                            }
                        }
                        Ok(_) => balancer.is_up.store(false, Ordering::Relaxed),
                        // One slow response does not take a balancer out; the second in a row does.
                        Err(_) => {
                            missed += 1;
                            if missed >= 2 {
                                balancer.is_up.store(false, Ordering::Relaxed);
                            }
                        }
                    }
                    clock::sleep(READINESS_INTERVAL).await;
                }
            });
        }
        while checks.join_next().await.is_some() {}
    }

    /// Generates the load from now until the given time, then waits until each request has ended. Arrival
    /// times, classes, processing times and the clients' reactions follow from the seed alone. First tries
    /// have the ids 1, 2, 3 and so on.
    pub async fn generate_load(self: Arc<Self>, until: Micros) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ ARRIVAL_SEED_SALT);
        let mut clients = JoinSet::new();
        let mut next = self.clock.now();
        for op in 1.. {
            let mut sample = || rng.random::<f64>();
            next += (-(1.0 - sample()).ln() / self.load.requests_per_second * SECOND as f64) as Micros;
            let client = ClientRequest {
                class: match sample() {
                    class if class < self.load.non_idempotent_ratio => RequestClass::NonIdempotent,
                    class if class < self.load.non_idempotent_ratio + self.load.deduplicated_ratio => {
                        RequestClass::Deduplicated
                    }
                    _ => RequestClass::Idempotent,
                },
                work: (self.load.mean_work as f64 * (0.5 + sample())) as Micros,
                retry_sample: sample(),
                abandons: sample() < self.load.abandon_ratio,
                first_id: op,
            };
            if next >= until {
                break;
            }
            self.clock.sleep_until(next).await;
            while clients.try_join_next().is_some() {}
            clients.spawn(self.clone().run_client(client));
        }
        while clients.join_next().await.is_some() {}
    }

    /// Sends one client's request, with retries after rejections if this client makes any.
    async fn run_client(self: Arc<Self>, client: ClientRequest) {
        let mut op = client.first_id;
        for _ in 0..MAX_TRIES {
            let Some(wait) = self.send_request(&client, op).await else { return };
            if client.retry_sample < self.load.retry_after_ratio {
                clock::sleep(wait).await;
            } else if client.retry_sample >= self.load.retry_after_ratio + self.load.immediate_retry_ratio {
                return;
            }
            op = self.last_retry_id.fetch_add(1, Ordering::Relaxed) + 1;
        }
    }

    /// Sends a request to a balancer that is up; returns the time to wait before a retry, if it was rejected.
    async fn send_request(&self, client: &ClientRequest, op: u64) -> Option<Micros> {
        let ClientRequest { class: kind, work, abandons, first_id: of, .. } = *client;
        let ttl = self.load.timeout;
        let up: Vec<usize> =
            (0..self.balancers.len()).filter(|&index| self.balancers[index].is_up()).collect();
        let takes_first =
            self.load.first_balancer_ratio > 0.0 && self.random_unit() < self.load.first_balancer_ratio;
        let start = if takes_first { 0 } else { (self.random_unit() * up.len() as f64) as usize };
        for offset in 0..up.len() {
            let balancer = &self.balancers[up[(start + offset) % up.len()]];
            let Some(connection) = self.acquire_connection(balancer).await else { continue };
            let node = balancer.node.clone();
            self.events.record(Event::RequestStarted { op, node, kind, work, ttl, of });
            return self.exchange(balancer, connection, kind, op, work, abandons).await.retry_after;
        }
        self.events.record(Event::RequestStarted { op, node: String::new(), kind, work, ttl, of });
        self.events.record(Event::NotConnected { op });
        None
    }

    /// Sends requests to a balancer until it serves one; returns false if it served none within this time.
    pub async fn wait_until_served(&self, index: usize, within: Micros) -> bool {
        let until = self.clock.now() + within;
        let balancer = &self.balancers[index];
        let kind = RequestClass::Idempotent;
        while self.clock.now() < until {
            if let Some(connection) = self.acquire_connection(balancer).await {
                let op = self.last_retry_id.fetch_add(1, Ordering::Relaxed) + 1;
                let (node, ttl) = (balancer.node.clone(), self.load.timeout);
                self.events.record(Event::RequestStarted { op, node, kind, work: MS, ttl, of: op });
                if self.exchange(balancer, connection, kind, op, MS, false).await.is_served {
                    return true;
                }
            }
            clock::sleep(READINESS_INTERVAL).await;
        }
        false
    }

    /// Returns an idle connection that is still open, or a new one.
    async fn acquire_connection(&self, balancer: &BalancerHandle) -> Option<ClientConnection> {
        loop {
            let idle =
                balancer.idle_connections.lock().expect("no thread panics while it holds this lock").pop();
            let Some(mut connection) = idle else {
                break;
            };
            // Activity on an idle connection is its end, or bytes that belong to no request.
            if tokio::time::timeout(Duration::ZERO, connection.reader.wait_for_activity()).await.is_err() {
                return Some(connection);
            }
            if let Some(op) = connection.last_request.filter(|_| connection.reader.has_buffered_bytes()) {
                self.events.record(Event::ExtraBytes { op });
            }
        }
        match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(balancer.address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                let (reader, writer) = stream.into_split();
                Some(ClientConnection {
                    reader: MessageReader::new(reader, MessageKind::Response),
                    writer,
                    last_request: None,
                })
            }
            // Nothing listens: the balancer counts as down until a readiness check succeeds.
            Ok(Err(_)) => {
                balancer.is_up.store(false, Ordering::Relaxed);
                None
            }
            Err(_) => None,
        }
    }

    /// Sends a request on a connection, waits for its end and records both.
    async fn exchange(
        &self,
        balancer: &BalancerHandle,
        mut connection: ClientConnection,
        class: RequestClass,
        op: u64,
        work: Micros,
        abandons: bool,
    ) -> RequestOutcome {
        let unserved = RequestOutcome { is_served: false, retry_after: None };
        let method = if class == RequestClass::Idempotent { "GET" } else { "POST" };
        let body = request_body(class, op);
        let (target, timeout_ms) = (request_target(class, op, work), self.load.timeout / MS);
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {op:x}\r\nReq-Kind: {}\r\n\
             Req-Owner: acme\r\n\
             Req-Key: {}\r\nReq-Deadline-Ms: {timeout_ms}\r\nReq-Cost: {work}\r\nContent-Length: {}\r\n\r\n\
             {body}",
            class.name(),
            op % 97,
            body.len()
        );
        if connection.writer.write_all(request.as_bytes()).await.is_err() {
            self.events.record(Event::ConnectionLost { op });
            return unserved;
        }
        self.events.record(Event::RequestWritten { op });
        let outcome = self.await_response(&mut connection, abandons).await;
        match outcome {
            ExchangeOutcome::Response(response) => {
                let text = String::from_utf8_lossy(&response.body).into_owned();
                let by = text.strip_prefix(&format!("{op:x} ")).map(str::to_string);
                self.events.record(Event::ResponseReceived { op, status: response.status, by });
                let closes =
                    response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
                if connection.reader.has_buffered_bytes() {
                    self.events.record(Event::ExtraBytes { op });
                } else if !closes {
                    connection.last_request = Some(op);
                    balancer
                        .idle_connections
                        .lock()
                        .expect("no thread panics while it holds this lock")
                        .push(connection);
                }
                let wait = response.parsed_header::<f64>("retry-after").unwrap_or(0.1).clamp(0.0, 5.0);
                let retry_after =
                    matches!(response.status, 429 | 503).then_some((wait * SECOND as f64) as Micros);
                RequestOutcome { is_served: response.status == 200, retry_after }
            }
            ExchangeOutcome::Closed => {
                self.events.record(Event::ConnectionLost { op });
                unserved
            }
            ExchangeOutcome::Abandoned => {
                self.events.record(Event::ClientAbandoned { op });
                unserved
            }
            ExchangeOutcome::TimedOut => {
                self.events.record(Event::ResponseMissing { op });
                unserved
            }
        }
    }

    async fn await_response(&self, connection: &mut ClientConnection, abandons: bool) -> ExchangeOutcome {
        let wait = if abandons { self.load.timeout / 3 } else { self.load.timeout + HANG_TIMEOUT };
        match tokio::time::timeout(Duration::from_micros(wait), connection.reader.next_message()).await {
            Ok(Ok(Some(response))) => ExchangeOutcome::Response(response),
            Ok(_) => ExchangeOutcome::Closed,
            Err(_) if abandons => ExchangeOutcome::Abandoned,
            Err(_) => ExchangeOutcome::TimedOut,
        }
    }
}

async fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let stream = TcpStream::connect(address).await?;
    let (reader, mut writer) = stream.into_split();
    writer.write_all(b"GET /-/ready HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n").await?;
    let response = MessageReader::new(reader, MessageKind::Response).next_message().await?;
    Ok(response.is_some_and(|response| response.status == 200))
}
