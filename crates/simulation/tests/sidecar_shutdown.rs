//! Tests in virtual time that a sidecar that is asked to shut down gives every request that it has taken exactly one
//! response before the operator may kill it, whatever phase the request is in.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::sync::{Arc, Mutex};

use doorproxy_balancer::runtime::{Listener, Runtime, Stream};
use doorproxy_config::sidecar::SidecarConfig;
use doorproxy_simulation::addresses::address_of;
use doorproxy_simulation::http::{MessageReader, response};
use doorproxy_simulation::kernel::HostId;
use doorproxy_simulation::runtime::SimulatedRuntime;
use doorproxy_simulation::simulation::Simulation;
use doorproxy_simulation::stream::SimulatedStream;
use doorproxy_simulation::time::{MS, Micros, SECOND};
use expect_test::expect;
use tokio::sync::{Notify, mpsc};

const SIDECAR_HOST: HostId = HostId(1);
const HARNESS_HOST: HostId = HostId(9);
const UPSTREAM_HOST: HostId = HostId(20);
const CLIENT_HOST: HostId = HostId(100);
const PORT: u16 = 5000;
const BACKLOG: u32 = 64;
/// The time of SIGTERM.
const SIGTERM: Micros = 5 * SECOND;
/// The time after the longest timeout at which the operator may kill the process (PROTOCOL.md).
const KILL_MARGIN: Micros = 700 * MS;
const LATENCY: Micros = 100;

const ORDER: &str = "POST /order/hang HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";

/// Something that happens to a sidecar, at a time in microseconds relative to [`SIGTERM`].
struct Step {
    at: i64,
    action: Action,
}

enum Action {
    /// The client sends bytes on this connection, and opens it before if it is not open.
    Send(usize, String),
    /// The operator sends SIGHUP with these timeouts in seconds of the classes `look` and `order`.
    Reload([f64; 2]),
}

/// Lets a client send bytes at a time in milliseconds.
fn send(at: i64, connection: usize, bytes: &str) -> Step {
    Step { at: at * MS as i64, action: Action::Send(connection, bytes.to_string()) }
}

/// Returns the valid configuration of a sidecar with one endpoint.
fn config(timeouts: [f64; 2]) -> SidecarConfig {
    let [look, order] = timeouts;
    let text = format!(
        "name = \"test\"\nunrouted = \"not-found\"\n\
         listen = [{{ address = \"{}\", allow_not_loopback = true }}]\n\
         category.look = {{ repeats = \"always\", ttl = \"{}ms\" }}\n\
         category.order = {{ repeats = \"never\", ttl = \"{}ms\" }}\n\
         [pool.main]\nservers = [{{ name = \"s\", address = \"{}\" }}]\n\
         [[route]]\npath = \"/look/**\"\nmethods = [\"GET\"]\ncategory = \"look\"\npool = \"main\"\n\
         [[route]]\npath = \"/order/**\"\ncategory = \"order\"\npool = \"main\"\n",
        address_of(SIDECAR_HOST, PORT),
        look * 1000.0,
        order * 1000.0,
        address_of(UPSTREAM_HOST, PORT),
    );
    let checked = doorproxy_config::check::check(&text, None);
    checked.config.unwrap_or_else(|| panic!("{:?}", checked.findings))
}

/// Answers each request by the last segment of its path.
async fn serve_upstream(stream: SimulatedStream) {
    let mut reader = MessageReader::default();
    while let Ok(Some(request)) = reader.next_message(&stream).await {
        let path = request.start_line.split(' ').nth(1).unwrap().to_string();
        let whole = response("200 OK", "", b"fine");
        let bytes = match path.rsplit('/').next().unwrap() {
            "hang" => std::future::pending().await,
            "half" => &whole[..whole.len() - 2],
            "break" => return,
            _ => &whole[..],
        };
        if stream.write(bytes).await.is_err() {
            return;
        }
    }
}

/// What the client has seen of a connection; times are in microseconds relative to [`SIGTERM`].
#[derive(Default)]
struct ConnectionOutcome {
    /// The status and the time of each response, in the order in which they came.
    responses: Vec<(u16, i64)>,
    ended_at: Option<i64>,
    /// Whether the system refused the connection.
    is_refused: bool,
}

impl ConnectionOutcome {
    /// Describes the responses and the end, with times in seconds.
    fn describe(&self) -> String {
        let mut events: Vec<String> =
            self.responses.iter().map(|(status, at)| format!("{status} at {}", seconds(*at))).collect();
        events.push(match self.ended_at {
            _ if self.is_refused => "refused".to_string(),
            Some(at) => format!("closed at {}", seconds(at)),
            None => "open".to_string(),
        });
        events.join(", ")
    }

    /// Lists the statuses of the responses.
    fn statuses(&self) -> String {
        let statuses: Vec<String> = self.responses.iter().map(|(status, _)| status.to_string()).collect();
        match statuses.join("+") {
            _ if self.is_refused => "refused".to_string(),
            none if none.is_empty() => "closed".to_string(),
            statuses => statuses,
        }
    }
}

/// The end of a process.
struct Exit {
    at: i64,
    error: Option<String>,
}

/// What was seen of a run.
#[derive(Default)]
struct Outcome {
    connections: BTreeMap<usize, ConnectionOutcome>,
    exit: Option<Exit>,
}

fn seconds(time: i64) -> String {
    format!("{:.2}", time as f64 / SECOND as f64)
}

impl Outcome {
    fn exit(&self) -> &Exit {
        self.exit.as_ref().expect("the process ended")
    }

    /// Describes the end of the process.
    fn describe_exit(&self) -> String {
        let Exit { at, error } = self.exit();
        let error = error.as_deref().map_or(String::new(), |error| format!(", {error}"));
        format!("ended at {}{error}", seconds(*at))
    }

    /// Checks that each request has one response if its connection was open as its last byte was sent, at a time
    /// in milliseconds, and that no response and not the end of the process comes after the operator may kill
    /// it. `longest_timeout` is in seconds. A request that was not sent whole may have a response.
    fn check(&self, connection: usize, sent_at: i64, requests: usize, longest_timeout: f64) {
        let outcome = &self.connections[&connection];
        let text = format!("sent at {sent_at} ms: {}; {}", outcome.describe(), self.describe_exit());
        let sent_at = sent_at * MS as i64;
        let is_taken = !outcome.is_refused && outcome.ended_at.is_none_or(|ended_at| ended_at > sent_at);
        let max_responses = requests.max(1);
        let expected = if is_taken { requests..=max_responses } else { 0..=max_responses };
        assert!(expected.contains(&outcome.responses.len()), "{text}");
        let killed_at = (longest_timeout * SECOND as f64) as i64 + KILL_MARGIN as i64;
        assert!(outcome.responses.iter().all(|(_, at)| *at < killed_at), "{text}");
        assert!(self.exit().at < killed_at && self.exit().error.is_none(), "{text}");
    }
}

struct Run {
    simulation: Simulation,
    outcome: Arc<Mutex<Outcome>>,
}

impl Run {
    fn since_sigterm(&self) -> i64 {
        self.simulation.now() as i64 - SIGTERM as i64
    }

    fn new_runtime(&self, host: HostId, name: &str) -> SimulatedRuntime {
        SimulatedRuntime::new(&self.simulation, host, name)
    }

    fn start_upstream(&self) {
        let runtime = self.new_runtime(UPSTREAM_HOST, "upstream");
        let listener = runtime.listen(address_of(UPSTREAM_HOST, PORT), 0, BACKLOG).unwrap();
        runtime.clone().spawn(async move {
            while let Ok(stream) = listener.accept().await {
                runtime.spawn(serve_upstream(stream));
            }
        });
    }

    /// Starts the sidecar, and ends its process as the system does once it has ended by itself.
    fn start_sidecar(self: &Arc<Run>, timeouts: [f64; 2], reloads: mpsc::Receiver<SidecarConfig>) {
        let runtime = self.new_runtime(SIDECAR_HOST, "sidecar");
        let process = runtime.process;
        let run = self.clone();
        let sigterm = self.simulation.sleep(SIGTERM);
        let ended = Arc::new(Notify::new());
        let process_ended = ended.clone();
        runtime.clone().spawn(async move {
            let served =
                doorproxy_sidecar::server::serve(runtime, config(timeouts), 1, reloads, sigterm).await;
            let error = served.err().map(|error| error.to_string());
            run.outcome.lock().unwrap().exit = Some(Exit { at: run.since_sigterm(), error });
            ended.notify_one();
            std::future::pending().await
        });
        let harness = self.new_runtime(HARNESS_HOST, "harness");
        let run = self.clone();
        harness.spawn(async move {
            process_ended.notified().await;
            run.simulation.state().close_process_sockets(process);
            run.simulation.end_process(process);
        });
    }

    /// Changes what is recorded of a connection.
    fn record(&self, connection: usize, change: impl FnOnce(&mut ConnectionOutcome)) {
        change(self.outcome.lock().unwrap().connections.entry(connection).or_default());
    }

    /// Opens a connection, and records what comes on it.
    async fn open(
        self: &Arc<Run>,
        runtime: &SimulatedRuntime,
        connection: usize,
    ) -> Option<Arc<SimulatedStream>> {
        let Ok(stream) = runtime.dial(address_of(SIDECAR_HOST, PORT)).await else {
            self.record(connection, |outcome| outcome.is_refused = true);
            return None;
        };
        self.record(connection, |_| {});
        let stream = Arc::new(stream);
        let (run, read_stream) = (self.clone(), stream.clone());
        runtime.spawn(async move {
            let mut reader = MessageReader::default();
            while let Ok(Some(message)) = reader.next_message(&read_stream).await {
                let response = (message.status(), run.since_sigterm());
                run.record(connection, |outcome| outcome.responses.push(response));
            }
            let ended_at = run.since_sigterm();
            run.record(connection, |outcome| outcome.ended_at = Some(ended_at));
            read_stream.shutdown_write();
        });
        Some(stream)
    }
}

/// Runs a sidecar until it has ended, at most until the operator kills it.
fn run(timeouts: [f64; 2], steps: Vec<Step>) -> Outcome {
    let simulation = Simulation::new(1, false);
    {
        let mut state = simulation.state();
        state.network.latency = LATENCY;
        state.network.tick = 1;
    }
    let run = Arc::new(Run { simulation, outcome: Arc::default() });
    run.start_upstream();
    let (reload_sender, reloads) = mpsc::channel(1);
    run.start_sidecar(timeouts, reloads);
    let client = run.new_runtime(CLIENT_HOST, "client");
    let client_run = run.clone();
    client.clone().spawn(async move {
        let mut streams: BTreeMap<usize, Option<Arc<SimulatedStream>>> = BTreeMap::new();
        for Step { at, action } in steps {
            client.sleep_micros((at - client_run.since_sigterm()).max(0) as Micros).await;
            match action {
                Action::Send(connection, bytes) => {
                    if let Entry::Vacant(entry) = streams.entry(connection) {
                        entry.insert(client_run.open(&client, connection).await);
                    }
                    if let Some(stream) = &streams[&connection] {
                        let _ = stream.write(bytes.as_bytes()).await;
                    }
                }
                Action::Reload(timeouts) => drop(reload_sender.send(config(timeouts)).await),
            }
        }
        // An open reload channel and open connections belong to a client that never closes.
        std::future::pending::<()>().await;
        drop((reload_sender, streams));
    });
    let end = SIGTERM + 120 * SECOND;
    let _ = run.simulation.run_until(end, || run.outcome.lock().unwrap().exit.is_some());
    let _ = run.simulation.run_until(run.simulation.now() + SECOND, || false);
    let outcome = std::mem::take(&mut *run.outcome.lock().unwrap());
    run.simulation.shut_down();
    outcome
}

/// Prevents that an order is lost which comes after SIGTERM, while its endpoint hangs: nothing expired it at the
/// end of the grace period, and the process ended before the order's own time was over.
#[test]
fn order_sent_after_sigterm_is_answered_before_the_end() {
    let mut report = String::new();
    for sent_at in [-1000, -1, 0, 1, 300, 349, 351, 1000, 1999, 2001] {
        let outcome = run([1.0, 3.0], vec![send(sent_at, 0, ORDER)]);
        report += &format!(
            "sent at {sent_at} ms: {}; {}\n",
            outcome.connections[&0].describe(),
            outcome.describe_exit()
        );
    }
    expect![[r#"
        sent at -1000 ms: 502 at 2.00, closed at 2.00; ended at 2.02
        sent at -1 ms: 502 at 3.00, closed at 3.00; ended at 3.00
        sent at 0 ms: 502 at 3.00, closed at 3.00; ended at 3.02
        sent at 1 ms: 502 at 3.00, closed at 3.00; ended at 3.02
        sent at 300 ms: 502 at 3.25, closed at 3.25; ended at 3.26
        sent at 349 ms: 502 at 3.25, closed at 3.25; ended at 3.26
        sent at 351 ms: 502 at 3.25, closed at 3.25; ended at 3.26
        sent at 1000 ms: 502 at 3.25, closed at 3.25; ended at 3.26
        sent at 1999 ms: 502 at 3.25, closed at 3.25; ended at 3.26
        sent at 2001 ms: refused; ended at 2.00
    "#]]
    .assert_eq(&report);
}

/// A request in parts, each with the time in milliseconds after the first at which it is sent.
struct Phase {
    name: &'static str,
    parts: Vec<(i64, String)>,
    /// The number of requests that are whole once the last part is sent.
    requests: usize,
}

fn phases() -> Vec<Phase> {
    let order =
        |action: &str| format!("POST /order/{action} HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
    let look = |action: &str| format!("GET /look/{action} HTTP/1.1\r\nHost: a\r\n\r\n");
    let split = |text: String, at: usize| vec![(0, text[..at].to_string()), (400, text[at..].to_string())];
    let half = |text: String, at: usize| vec![(0, text[..at].to_string())];
    let whole = |text: String| vec![(0, text)];
    let last = order("").len();
    let phase = |name, requests, parts| Phase { name, parts, requests };
    vec![
        phase("half a head", 0, half(order("fine"), 12)),
        phase("half a head, then the rest", 1, split(order("fine"), 12)),
        phase("half a body", 0, half(order("hang"), last)),
        phase("half a body, then the rest", 1, split(order("hang"), last)),
        phase("order in flight", 1, whole(order("hang"))),
        phase("read in flight", 1, whole(look("hang"))),
        phase("read that is retried", 1, whole(look("break"))),
        phase("order with half a response", 1, whole(order("half"))),
        phase("second request", 2, vec![(0, look("fine")), (100, order("hang"))]),
        phase("two pipelined reads", 2, whole(look("fine").repeat(2))),
        phase("pipelined behind an order", 2, whole(order("hang") + &order("fine"))),
        phase("nothing, then an order", 1, vec![(0, String::new()), (100, order("hang"))]),
        phase("nothing at all", 0, whole(String::new())),
    ]
}

/// The times in milliseconds at which a phase begins: as the signal comes, 0.3 s, 1 s and 2 s after it, as
/// connections are closed, and at the end of the grace period.
const BEGINNINGS: [i64; 12] = [-100, -1, 0, 300, 1000, 1990, 2010, 2590, 2610, 2990, 3240, 3260];

/// Prevents that a request is lost because of the phase that it is in as the process ends. Another order keeps
/// the process running until the end of the grace period.
#[test]
fn requests_in_every_phase_are_answered_before_the_end() {
    let mut report = String::new();
    for Phase { name, parts, requests } in phases() {
        report += &format!("{name}:");
        for begin in BEGINNINGS {
            let last_part_at = begin + parts.last().map_or(0, |(at, _)| *at);
            let parts = parts.iter().map(|(at, part)| send(begin + at, 0, part));
            let mut steps: Vec<Step> = parts.chain([send(1500, 1, ORDER)]).collect();
            steps.sort_by_key(|step| step.at);
            let outcome = run([1.0, 3.0], steps);
            report += &format!(" {}", outcome.connections[&0].statuses());
            outcome.check(0, last_part_at, requests, 3.0);
            outcome.check(1, 1500, 1, 3.0);
        }
        report += "\n";
    }
    expect![[r#"
        half a head: 408 408 408 408 503 503 503 503 503 503 503 refused
        half a head, then the rest: 200 200 200 200 200 200 200 200 200 503 503 refused
        half a body: 408 408 408 408 503 503 503 503 503 503 503 refused
        half a body, then the rest: 502 502 502 502 502 502 502 502 502 503 503 refused
        order in flight: 502 502 502 502 502 502 502 502 502 502 502 refused
        read in flight: 503 503 503 503 503 503 503 503 503 503 503 refused
        read that is retried: 503 503 503 503 503 503 503 503 503 503 503 refused
        order with half a response: 502 502 502 502 502 502 502 502 502 502 502 refused
        second request: 200+502 200+502 200+502 200+502 200+502 200 200 200 200 200 200 refused
        two pipelined reads: 200+200 200+200 200+200 200+200 200+200 200+200 200+200 200+200 200+200 200+200 200+200 refused
        pipelined behind an order: 502+503 502+503 502+503 502+503 502+503 502+503 502+503 502+503 502+503 502+503 502+503 refused
        nothing, then an order: 502 502 502 502 502 502 502 502 502 502 503 refused
        nothing at all: closed closed closed closed closed closed closed closed closed closed closed refused
    "#]]
    .assert_eq(&report);
}

/// Prevents that the end of the process depends on timeouts that a reload has replaced: the grace period was
/// computed once, so an order with a longer timeout was lost. A reload after SIGTERM changes nothing.
#[test]
fn grace_period_follows_the_latest_reload_before_sigterm() {
    let reload = |at: i64, timeouts| Step { at: at * MS as i64, action: Action::Reload(timeouts) };
    let cases = [
        ("longer", [1.0, 1.0], vec![reload(-900, [1.0, 3.0]), send(100, 0, ORDER)]),
        (
            "longer twice",
            [1.0, 1.0],
            vec![reload(-900, [1.0, 2.0]), reload(-800, [1.0, 3.0]), send(100, 0, ORDER)],
        ),
        ("shorter", [1.0, 3.0], vec![reload(-900, [1.0, 1.0]), send(100, 0, ORDER)]),
        ("shorter, after the order", [1.0, 3.0], vec![send(-900, 0, ORDER), reload(-800, [1.0, 1.0])]),
        ("longer, after SIGTERM", [1.0, 1.0], vec![reload(100, [1.0, 3.0]), send(200, 0, ORDER)]),
    ];
    let mut report = String::new();
    for (name, timeouts, steps) in cases {
        let outcome = run(timeouts, steps);
        report += &format!("{name}: {}; {}\n", outcome.connections[&0].describe(), outcome.describe_exit());
    }
    expect![[r#"
        longer: 502 at 3.10, closed at 3.10; ended at 3.12
        longer twice: 502 at 3.10, closed at 3.10; ended at 3.12
        shorter: 502 at 1.10, closed at 1.10; ended at 1.11
        shorter, after the order: 502 at 1.25, closed at 1.25; ended at 1.27
        longer, after SIGTERM: 502 at 1.20, closed at 1.20; ended at 1.21
    "#]]
    .assert_eq(&report);
}

/// Prevents that the last response comes after the operator may kill the process, which is 0.7 s after the longest
/// timeout, with any timeouts.
#[test]
fn end_of_the_process_follows_the_longest_timeout() {
    let mut report = String::new();
    for timeouts in [[0.3, 0.3], [1.0, 1.0], [3.0, 1.0], [1.0, 3.0], [60.0, 60.0]] {
        let longest = f64::max(timeouts[0], timeouts[1]);
        let sent_at = (0.4 * longest * 1000.0) as i64;
        let outcome = run(timeouts, vec![send(sent_at, 0, ORDER)]);
        outcome.check(0, sent_at, 1, longest);
        report +=
            &format!("{timeouts:?}: {}; {}\n", outcome.connections[&0].describe(), outcome.describe_exit());
    }
    expect![[r#"
        [0.3, 0.3]: 502 at 0.42, closed at 0.42; ended at 0.44
        [1.0, 1.0]: 502 at 1.25, closed at 1.25; ended at 1.27
        [3.0, 1.0]: 502 at 2.20, closed at 2.20; ended at 2.22
        [1.0, 3.0]: 502 at 3.25, closed at 3.25; ended at 3.26
        [60.0, 60.0]: 502 at 60.25, closed at 60.25; ended at 60.26
    "#]]
    .assert_eq(&report);
}
