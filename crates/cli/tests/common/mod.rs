//! Starts a balancer process, and provides test endpoints, discovery services and clients.

#![allow(dead_code)]

pub mod admin;
pub mod platform;

use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use expect_test::Expect;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};

/// The longest time that a test waits for an event. A wait that reaches it fails the test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Refuses connections: port 1 is privileged, and nothing listens on it.
pub const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

/// Records events as lines, in the order in which they happen.
#[derive(Clone, Default)]
pub struct Trace(pub Arc<(Mutex<String>, Condvar)>);

impl Trace {
    pub fn record(&self, line: &str) {
        writeln!(self.0.0.lock().unwrap(), "{line}").unwrap();
        self.0.1.notify_all();
    }

    pub fn wait_for(&self, line: &str) {
        self.wait_until(line, |text| text.lines().any(|seen| seen == line));
    }

    /// Waits until at least `count` lines start with this prefix, which serves lines whose rest is not known
    /// in advance.
    pub fn wait_for_prefix(&self, prefix: &str, count: usize) {
        self.wait_until(prefix, |text| text.lines().filter(|seen| seen.starts_with(prefix)).count() >= count);
    }

    pub fn wait_until(&self, what: &str, has_appeared: impl Fn(&str) -> bool) {
        let text = self.0.0.lock().unwrap();
        let (text, waited) =
            self.0.1.wait_timeout_while(text, TEST_TIMEOUT, |text| !has_appeared(text)).unwrap();
        assert!(!waited.timed_out(), "no line {what:?} in:\n{text}");
    }

    pub fn assert_matches(&self, expected: Expect) {
        expected.assert_eq(&self.0.0.lock().unwrap());
    }
}

pub struct Message {
    pub head: String,
    pub body: String,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.head.lines().skip(1).filter_map(|line| line.split_once(':'));
        fields.filter(|(found, _)| found.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim()).last()
    }

    pub fn start_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }
}

/// Reads one message with a body of its `Content-Length`. Returns `None` if the connection ends first.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { head: String::new(), body: String::new() };
    while !message.head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut message.head).ok()? == 0 {
            return None;
        }
    }
    let length = message.field("content-length").map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    message.body = String::from_utf8(body).unwrap();
    Some(message)
}

/// Accepts connections on a free port, each on a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

/// Responds as the request's path says. Records each complete request. For the paths `hang` and `stay` it
/// also records that the balancer closed the connection.
pub fn test_endpoint(name: &'static str, trace: &Trace) -> SocketAddr {
    let trace = trace.clone();
    listen(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let id = request.field("req-id").unwrap_or("none");
            trace.record(&format!("{name}: {} id {id} body {:?}", request.start_line(), request.body));
            let path = request.start_line().split(' ').nth(1).unwrap_or_default();
            let action = path.strip_prefix("/").and_then(|path| path.strip_prefix(name));
            let answer = match action.unwrap_or(path).trim_start_matches('/') {
                "break" => return,
                "cut" => "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                "stall" => "HTTP/1.1 200 OK\r\nContent-Len",
                "decline" => "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n",
                "fail" => "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
                "long" => "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n",
                "hang" => {
                    let ended = reader.read(&mut [0]);
                    trace
                        .record(&format!("{name}: connection closed: {}", ended.is_ok_and(|read| read == 0)));
                    return;
                }
                "stay" => {
                    writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nstay").unwrap();
                    if read_message(&mut reader).is_none() {
                        trace.record(&format!("{name}: idle connection closed"));
                    }
                    return;
                }
                "-/load" => "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n[3, 1]",
                "mute" => return drop(reader.read(&mut [0])),
                "slow" => {
                    trace.wait_for("go on");
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nslow"
                }
                _ => "HTTP/1.1 200 OK\r\nX-Kept: as it came\r\nContent-Length: 4\r\n\r\nwell",
            };
            writer.write_all(answer.as_bytes()).unwrap();
            if answer.ends_with("half") {
                return;
            }
        }
    })
}

/// Answers each discovery call with the endpoint list that `answer` returns for its start line. A call for
/// which it returns `None` stays unanswered.
pub fn discovery_service(answer: impl Fn(&str) -> Option<String> + Clone + Send + 'static) -> SocketAddr {
    listen(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(call) = read_message(&mut reader) {
            let Some(list) = answer(call.start_line()) else { return drop(reader.read(&mut [0])) };
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).unwrap();
        }
    })
}

pub fn endpoint_snapshot(servers: &[Value]) -> Value {
    json!({"version": 1, "full": true, "servers": servers})
}

pub fn endpoint_entry(id: &str, address: SocketAddr, state: &str) -> Value {
    json!({"id": id, "addr": address, "zone": "east", "kind": "small", "cell": 0, "state": state,
        "weight": 1.0, "started_ms": 0})
}

pub fn settings() -> Value {
    let category = |name, semantics, ttl| {
        json!({"name": name, "semantics": semantics, "benefit": 1.0, "target_latency": 1.0, "ttl": ttl,
            "dedup_scope": "all", "window": 5.0})
    };
    json!({
        "categories": [category("look", "pure", 60.0), category("buy", "side_effect", 60.0)],
        "projects": [{"name": "acme", "quota_per_s": 1000.0}],
        "dcs": ["east"], "kinds": ["small"], "n_instances": 1, "ordinal": 0, "overage_benefit": 0.1,
        "discovery": "on_request",
        "limits": {"max_pushes": 4, "second_copies": true, "cancelling": true, "retry_after": true,
            "max_retry_after": 2.0, "connect_timeout": 0.5, "keepalive": 60.0},
        "obligations": {"ask_within": 2.0, "cold_from": 0.2, "cold": 20.0, "fall_multiple": 2.5, "fall": 2.0}
    })
}

/// A balancer process that is killed when the test ends, even if it fails.
pub struct Balancer {
    pub process: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    pub log: Trace,
}

impl Balancer {
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.process.id());
        assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
    }

    /// Asks the process to end, and waits until it has.
    pub fn terminate(mut self) {
        self.signal("TERM");
        self.process.wait().unwrap();
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn spawn_balancer(config: &str, fleet: Option<&Path>) -> (Child, PathBuf) {
    // The name contains the thread's id, so that tests that run in parallel do not share the file.
    let name = format!("doorproxy-{}-{:?}.json", std::process::id(), thread::current().id());
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, config).unwrap();
    // Each test has a state folder of its own, so that no state carries over from one test to another.
    let folder = path.with_extension("kept");
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorproxy"));
    command.env("TMPDIR", folder).env_remove("PROXY_CONTROL");
    command.arg("serve").arg("--config").arg(&path);
    if let Some(file) = fleet {
        command.arg("--fleet").arg(file);
    }
    let process = command.stderr(Stdio::piped()).spawn().unwrap();
    (process, path)
}

pub fn config(known: &[Value], discovery: SocketAddr, sockets: u32) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "7",
        "limits": {"sockets": sockets}, "known": endpoint_snapshot(known), "settings": settings()})
}

pub fn start_with(known: &[Value], discovery: SocketAddr, sockets: u32) -> Balancer {
    start_from(&config(known, discovery, sockets).to_string())
}

pub fn start_from(config: &str) -> Balancer {
    start_with_fleet(config, None)
}

pub fn start_with_fleet(config: &str, fleet: Option<&Path>) -> Balancer {
    let (mut process, config) = spawn_balancer(config, fleet);
    let mut lines = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
    let log = Trace::default();
    let log_writer = log.clone();
    let address = lines.find_map(|line| {
        log.record(&line);
        line.strip_prefix("server: serving on ").map(|found| found.parse().unwrap())
    });
    let address = address.expect("the log has no address");
    thread::spawn(move || lines.for_each(|line| log_writer.record(&line)));
    Balancer { process, address, config, log }
}

/// Returns an address for the datagrams of a balancer, which no other process and no other `group` of this
/// process uses.
pub fn peer_address(group: u16, ordinal: u8) -> SocketAddr {
    const FIRST_PORT: u16 = 5000;
    let id = std::process::id();
    SocketAddr::from(([127, 100 + ordinal, (id >> 8) as u8, id as u8], FIRST_PORT + group))
}

/// A discovery service that reads a call and closes the connection without an answer.
pub fn closing_service() -> SocketAddr {
    listen(|mut stream| drop(stream.read(&mut [0; 4096])))
}

/// A discovery service that reads calls, never answers, and keeps the connections open.
pub fn unresponsive_service() -> SocketAddr {
    listen(|mut stream| drop(std::io::copy(&mut stream, &mut std::io::sink())))
}

/// Starts a balancer with an endpoint list that never changes, since its discovery service never answers.
pub fn start(known: &[Value]) -> Balancer {
    start_with(known, closing_service(), 256)
}

pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn new(balancer: &Balancer) -> Client {
        let stream = TcpStream::connect(balancer.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) -> &mut Self {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
        self
    }

    pub fn get(&mut self, path: &str, id: &str) -> &mut Self {
        self.send(&format!("GET {path} HTTP/1.1\r\n{}\r\n", request_headers(id, "look")))
    }

    pub fn post(&mut self, path: &str, id: &str) -> &mut Self {
        self.send(&format!(
            "POST {path} HTTP/1.1\r\n{}Content-Length: 3\r\n\r\none",
            request_headers(id, "buy")
        ))
    }

    pub fn record_answer(&mut self, trace: &Trace) {
        match read_message(&mut self.0) {
            Some(answer) => {
                let notes = ["connection", "x-kept"].map(|name| (name, answer.field(name)));
                let notes = notes.iter().filter_map(|(name, value)| Some(format!(", {name} {}", (*value)?)));
                let status = answer.start_line().split(' ').nth(1).unwrap_or_default();
                let body = answer.body.trim_end();
                trace.record(&format!("client: {status} {body:?}{}", notes.collect::<String>()));
            }
            None => trace.record("client: connection ended"),
        }
    }
}

pub fn request_headers(id: &str, category: &str) -> String {
    format!(
        "Host: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {category}\r\nReq-Owner: acme\r\nReq-Key: k\r\n\
         Req-Deadline-Ms: 30000\r\n"
    )
}

/// Polls the condition until it holds, and panics after [`TEST_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < TEST_TIMEOUT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// An endpoint whose accept queue is full, so that connections to it stay in SYN_SENT until
/// [`BlockedEndpoint::accept_first`] takes one from the queue.
pub struct BlockedEndpoint {
    listener: TcpListener,
    pub address: SocketAddr,
    _queue_filler: TcpStream,
}

impl BlockedEndpoint {
    pub fn new() -> BlockedEndpoint {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        // A backlog of 0 holds one connection; `_queue_filler` occupies that place.
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        BlockedEndpoint { listener, address, _queue_filler: TcpStream::connect(address).unwrap() }
    }

    /// Waits until the balancer has started to connect and the connection is still not established.
    pub fn wait_for_connect(&self) {
        // The remote address as /proc/net/tcp writes it, and state 02: SYN_SENT.
        let entry = format!("0100007F:{:04X} 02", self.address.port());
        wait_until("a connection attempt", || {
            std::fs::read_to_string("/proc/net/tcp").unwrap().contains(&entry)
        });
    }

    /// Frees the accept queue and returns the first message on the balancer's connection, or `None` if it
    /// ends.
    pub fn accept_first(self) -> Option<Message> {
        drop(self.listener.accept().unwrap());
        self.listener.set_nonblocking(true).unwrap();
        let mut accepted = None;
        wait_until("a connection", || {
            accepted = self.listener.accept().ok();
            accepted.is_some()
        });
        let (stream, _) = accepted.unwrap();
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        read_message(&mut BufReader::new(stream))
    }
}

/// A configuration with a connect timeout of 10 s, and sockets for all clients of a test.
pub fn config_with_long_connect_timeout(known: &[Value], discovery: SocketAddr) -> Value {
    let mut config = config(known, discovery, 1024);
    config["settings"]["limits"]["connect_timeout"] = json!(10.0);
    config
}
