//! A balancer with one deliberate fault, which shows that a checker finds that fault. It runs the balancer's
//! own library on a runtime that changes what passes its connections. It is a separate program: the balancer
//! contains no code for it.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Arguments as Line;
use std::future::Future;
use std::io::{self, IoSlice, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::pin::Pin;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::admin::overrides::FileStore;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_balancer::runtime::{Listener, Runtime, Stream};
use doorproxy_balancer::{admin, assembly, config};
use hyper::rt::{Read, ReadBufCursor, Write};
use serde_json::Value;
use tokio::sync::watch;

/// Defines the mutants and the names by which `--mutant` selects them.
macro_rules! mutants {
    ($($name:ident $text:literal,)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        enum Mutant { $($name),* }

        impl Mutant {
            fn parse(text: &str) -> Option<Mutant> {
                match text { $($text => Some(Mutant::$name),)* _ => None }
            }
        }
    };
}

mutants! {
    None "none",
    DuplicateNonIdempotent "twice",
    RetryAfterDedupWindow "token-late",
    SendAfterResponse "after-answer",
    ExceedAttemptLimit "too-many",
    AlterBody "altered",
    OmitResponse "no-answer",
    DuplicateResponse "second-answer",
    ReturnPreviousResponse "other-answer",
    RejectAfterRun "nack-after-run",
    ChangeStatusToConflict "turned-away",
    SendToDraining "after-drain",
    SendToManuallyEjected "after-ban",
    OverloadWarmingEndpoint "cold-flood",
    PollTooOften "list-loop",
    Crash "crash",
    IgnoreTermination "stays",
    RejectAll "stuck",
    IgnoreEndpointList "deaf",
}

/// A balancer with one deliberate fault.
#[derive(FromArgs)]
struct Arguments {
    /// the name of the fault; none for a correct balancer
    #[argh(option)]
    mutant: String,
    /// the arguments that doorproxy would get
    #[argh(positional, greedy)]
    rest: Vec<String>,
}

/// The endpoints as the mutant itself knows them, from its own calls of discovery.
#[derive(Clone, Default)]
struct ObservedEndpoints {
    addresses: BTreeMap<String, SocketAddr>,
    draining: BTreeSet<String>,
    warming: BTreeSet<String>,
    /// The manually ejected endpoints, read from the files in the state directory.
    manually_ejected: BTreeSet<String>,
}

/// The state that all connections of a mutant share.
struct MutantState {
    mutant: Mutant,
    endpoints: Mutex<ObservedEndpoints>,
    attempt_count: AtomicU64,
    response_count: AtomicU64,
    last_response: Mutex<Vec<u8>>,
}

/// The system runtime, whose streams pass through the mutant.
#[derive(Clone)]
struct MutantRuntime {
    sockets: SystemRuntime,
    mutant: Arc<MutantState>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while it is locked")
}

/// Sends a request from a connection of its own, which the balancer does not know of.
fn send_copy_later(after: Duration, to: SocketAddr, bytes: Vec<u8>) {
    thread::spawn(move || {
        thread::sleep(after);
        if let Ok(mut stream) = TcpStream::connect(to) {
            let _ = stream.write_all(&bytes);
            // The endpoint gets the time to read the whole request before the connection is closed.
            thread::sleep(Duration::from_millis(500));
        }
    });
}

impl MutantState {
    /// Handles an attempt that the balancer has written, and sends the additional attempts of the mutant.
    fn on_sent(&self, to: SocketAddr, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let is_kind = |kind: &str| text.contains(&format!("/api/{kind}?"));
        if !(is_kind("look") || is_kind("top") || is_kind("buy")) {
            return;
        }
        let count = self.attempt_count.fetch_add(1, Ordering::Relaxed);
        let endpoints = lock(&self.endpoints).clone();
        let other_endpoint =
            || endpoints.addresses.values().copied().find(|address| *address != to).unwrap_or(to);
        let first_of =
            |names: &BTreeSet<String>| names.iter().find_map(|name| endpoints.addresses.get(name)).copied();
        let send =
            |after: u64, to: SocketAddr| send_copy_later(Duration::from_millis(after), to, bytes.to_vec());
        match self.mutant {
            Mutant::DuplicateNonIdempotent if is_kind("buy") && count.is_multiple_of(3) => {
                send(30, other_endpoint())
            }
            Mutant::RetryAfterDedupWindow if is_kind("top") && count.is_multiple_of(5) => send(5500, to),
            Mutant::SendAfterResponse if is_kind("look") && count.is_multiple_of(9) => send(4500, to),
            Mutant::ExceedAttemptLimit if is_kind("look") && count.is_multiple_of(9) => {
                (0..5).for_each(|n| send(n, other_endpoint()))
            }
            Mutant::SendToDraining if is_kind("look") => {
                if let Some(to) = first_of(&endpoints.draining) {
                    send(3000, to);
                }
            }
            Mutant::SendToManuallyEjected if is_kind("look") => {
                if let Some(to) = first_of(&endpoints.manually_ejected) {
                    send(3000, to);
                }
            }
            Mutant::OverloadWarmingEndpoint if is_kind("look") => {
                if let Some(to) = first_of(&endpoints.warming) {
                    (0..8).for_each(|_| send(0, to));
                }
            }
            _ => {}
        }
    }

    /// Returns the bytes to write in place of these, if the mutant changes them; an empty replacement drops
    /// them.
    fn replacement_for(&self, to_client: bool, bytes: &[u8]) -> Option<Vec<u8>> {
        if !to_client {
            let text = String::from_utf8_lossy(bytes);
            let is_altered = self.mutant == Mutant::AlterBody && text.contains("/api/top?");
            return is_altered.then(|| text.replacen("the body", "The body", 1).into_bytes());
        }
        if !bytes.starts_with(b"HTTP/1.1 ") || bytes.windows(6).any(|window| window == b"ready\n") {
            return None;
        }
        let is_served = bytes.starts_with(b"HTTP/1.1 200") && bytes.len() > 60;
        let count = self.response_count.fetch_add(1, Ordering::Relaxed);
        match self.mutant {
            Mutant::OmitResponse if is_served && count.is_multiple_of(19) => Some(Vec::new()),
            Mutant::DuplicateResponse if is_served && count.is_multiple_of(9) => Some(bytes.repeat(2)),
            Mutant::ReturnPreviousResponse if is_served => {
                let last = std::mem::replace(&mut *lock(&self.last_response), bytes.to_vec());
                (last.len() == bytes.len() && count.is_multiple_of(7)).then_some(last)
            }
            Mutant::ChangeStatusToConflict if is_served && count.is_multiple_of(9) => {
                Some(String::from_utf8_lossy(bytes).replacen("200 OK", "409 Conflict", 1).into_bytes())
            }
            Mutant::RejectAfterRun if bytes.starts_with(b"HTTP/1.1 502") => {
                Some(String::from_utf8_lossy(bytes).replacen("502", "503", 1).into_bytes())
            }
            Mutant::RejectAll if is_served && count > 100 => {
                Some(String::from_utf8_lossy(bytes).replacen("200 OK", "503 Not", 1).into_bytes())
            }
            _ => None,
        }
    }
}

/// Keeps the mutant's own view of the endpoints current: calls discovery four times a second, and the mutant
/// that polls too often a hundred times.
fn poll_endpoints(
    state: Arc<MutantState>,
    discovery: SocketAddr,
    directory: PathBuf,
    warm_up_time: Duration,
) {
    let mut pause = Duration::from_millis(250);
    if state.mutant == Mutant::PollTooOften {
        pause = Duration::from_millis(10);
    }
    loop {
        if let Some(list) = fetch_endpoints(discovery) {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            let mut endpoints = ObservedEndpoints::default();
            for entry in list["servers"].as_array().into_iter().flatten() {
                let name = entry["id"].as_str().unwrap_or_default().to_string();
                let Some(address) = entry["addr"].as_str().and_then(|text| text.parse().ok()) else {
                    continue;
                };
                if entry["state"] != "active" {
                    endpoints.draining.insert(name.clone());
                }
                let started = entry["started_ms"].as_u64().unwrap_or(0);
                if started > 0 && now < started + warm_up_time.as_millis() as u64 {
                    endpoints.warming.insert(name.clone());
                }
                endpoints.addresses.insert(name, address);
            }
            for file in std::fs::read_dir(&directory).into_iter().flatten().flatten() {
                let text = std::fs::read_to_string(file.path()).unwrap_or_default();
                let names = text.lines().filter_map(|line| line.strip_prefix("out ")?.split(' ').next());
                endpoints.manually_ejected.extend(names.map(str::to_string));
            }
            *lock(&state.endpoints) = endpoints;
        }
        thread::sleep(pause);
    }
}

fn fetch_endpoints(discovery: SocketAddr) -> Option<Value> {
    use std::io::Read as _;
    let mut stream = TcpStream::connect_timeout(&discovery, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(b"GET /api/targets HTTP/1.1\r\nHost: l\r\n\r\n").ok()?;
    let (mut text, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        let read = stream.read(&mut bytes).ok()?;
        text.extend_from_slice(&bytes[..read]);
        let head = text.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(list) = head.and_then(|head| serde_json::from_slice(&text[head + 4..]).ok()) {
            return Some(list);
        }
        if read == 0 {
            return None;
        }
    }
}

struct MutantListener {
    listener: <SystemRuntime as Runtime>::Listener,
    mutant: Arc<MutantState>,
}

impl Listener for MutantListener {
    type Stream = MutantStream;

    async fn accept(&self) -> io::Result<MutantStream> {
        Ok(MutantStream {
            stream: self.listener.accept().await?,
            upstream_address: None,
            mutant: self.mutant.clone(),
        })
    }

    fn try_accept(&self) -> Option<MutantStream> {
        let socket = self.listener.try_accept()?;
        Some(MutantStream { stream: socket, upstream_address: None, mutant: self.mutant.clone() })
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

struct MutantStream {
    stream: <SystemRuntime as Runtime>::Stream,
    /// The endpoint that the stream is connected to; none for a client's connection.
    upstream_address: Option<SocketAddr>,
    mutant: Arc<MutantState>,
}

impl MutantStream {
    /// Writes the mutant's replacement of these bytes; returns false if there is none.
    fn send_replacement(&self, bytes: &[u8]) -> bool {
        let Some(replacement) = self.mutant.replacement_for(self.upstream_address.is_none(), bytes) else {
            return false;
        };
        if !replacement.is_empty() {
            let mut context = Context::from_waker(Waker::noop());
            let _ = self.stream.poll_send(&mut context, &[IoSlice::new(&replacement)]);
        }
        true
    }

    fn send_or_replace(
        &self,
        bytes: &[IoSlice],
        write: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let whole: Vec<u8> = bytes.iter().flat_map(|piece| piece.iter().copied()).collect();
        if !whole.is_empty() && self.send_replacement(&whole) {
            return Poll::Ready(Ok(whole.len()));
        }
        let written = write();
        if let (Poll::Ready(Ok(written)), Some(to)) = (&written, self.upstream_address) {
            self.mutant.on_sent(to, &whole[..*written]);
        }
        written
    }
}

impl Stream for MutantStream {
    fn poll_recv(&self, cx: &mut Context, into: &mut [u8]) -> Poll<io::Result<usize>> {
        self.stream.poll_recv(cx, into)
    }

    fn poll_send(&self, cx: &mut Context, bytes: &[IoSlice]) -> Poll<io::Result<usize>> {
        self.send_or_replace(bytes, || self.stream.poll_send(cx, bytes))
    }

    fn shutdown_write(&self) {
        self.stream.shutdown_write();
    }

    fn is_idle(&self) -> bool {
        self.stream.is_idle()
    }

    fn is_read_closed(&self) -> bool {
        self.stream.is_read_closed()
    }
}

impl Read for MutantStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, into: ReadBufCursor) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, into)
    }
}

impl Write for MutantStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, &[IoSlice::new(bytes)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, bytes)
    }
}

impl Runtime for MutantRuntime {
    type Stream = MutantStream;
    type Listener = MutantListener;

    fn now(&self) -> Timestamp {
        self.sockets.now()
    }

    fn instant(&self) -> Instant {
        self.sockets.instant()
    }

    fn caught_up_to(&self) -> Timestamp {
        self.sockets.caught_up_to()
    }

    fn sleep(&self, time: Duration) -> impl Future<Output = ()> + Send + Sync + 'static {
        self.sockets.sleep(time)
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        self.sockets.spawn(task);
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<MutantStream> {
        let socket = self.sockets.connect(to).await?;
        Ok(MutantStream { stream: socket, upstream_address: Some(to), mutant: self.mutant.clone() })
    }

    fn listen(&self, at: SocketAddr, send_buffer: u32, backlog: u32) -> io::Result<MutantListener> {
        let listener = self.sockets.listen(at, send_buffer, backlog)?;
        Ok(MutantListener { listener, mutant: self.mutant.clone() })
    }

    fn log(&self, line: Line) {
        self.sockets.log(line);
    }
}

fn serve(arguments: &Arguments) -> Result<(), String> {
    let mutant = Mutant::parse(&arguments.mutant)
        .ok_or_else(|| format!("--mutant: {:?} is not the name of a mutant", arguments.mutant))?;
    let config = arguments.rest.last().map(PathBuf::from);
    let path = config::resolve_path(config).map_err(|error| error.to_string())?;
    let config = config::load(&path).map_err(|error| error.to_string())?;
    let state = MutantState {
        mutant,
        endpoints: Mutex::default(),
        attempt_count: AtomicU64::new(0),
        response_count: AtomicU64::new(0),
        last_response: Mutex::default(),
    };
    let state = Arc::new(state);
    if mutant != Mutant::None {
        let (state, discovery, directory) = (state.clone(), config.discovery_address, std::env::temp_dir());
        let warm_up_time = Duration::from_secs_f64(config.settings.slow_start.warm_up_time.as_secs_f64());
        thread::spawn(move || poll_endpoints(state, discovery, directory, warm_up_time));
    }
    if mutant == Mutant::Crash {
        thread::spawn(|| {
            thread::sleep(Duration::from_secs(2));
            std::process::exit(101);
        });
    }
    let sockets = SystemRuntime::start();
    let runtime = sockets.tokio_runtime().map_err(|error| error.to_string())?;
    runtime.block_on(async move {
        let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|error| error.to_string())?;
        let runtime = MutantRuntime { sockets, mutant: state };
        // Nothing listens on this port, so the mutant keeps the endpoint list of its configuration.
        let unreachable = SocketAddr::from(([127, 0, 0, 1], 1));
        let (_sender, discovery_address) = watch::channel(if mutant == Mutant::IgnoreEndpointList {
            unreachable
        } else {
            config.discovery_address
        });
        let parts = assembly::assemble(&runtime, &config);
        if let Some(address) = config.admin_address {
            let overrides = FileStore::for_balancer(&std::env::temp_dir(), &config.name);
            let admin_api = parts.admin_api(&runtime, Arc::new(overrides));
            let listener = runtime
                .listen(address, 128 << 10, 64)
                .map_err(|error| format!("control {address}: {error}"))?;
            tokio::spawn(admin::serve(listener, admin_api));
        }
        let shutdown = async move {
            terminate.recv().await;
            if mutant == Mutant::IgnoreTermination {
                std::future::pending().await
            }
        };
        let result =
            assembly::serve(runtime, parts, config, discovery_address, None, Ticks(30_000), shutdown).await;
        result.map_err(|error| error.to_string())
    })
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match serve(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("doorproxy-mutant: {error}");
            ExitCode::FAILURE
        }
    }
}
