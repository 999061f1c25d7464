//! A balancer that is wrong in one way, so that a checker can be shown to find it: the balancer's own library in a world that
//! sees its connections from outside. It is never part of the program, and nothing in the program knows of it.

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
use std::task::{Context, Poll};
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
    FloodWarmingUp "cold-flood",
    PollTooOften "list-loop",
    Crash "crash",
    IgnoreTermination "stays",
    RejectAll "stuck",
    IgnoreEndpointList "deaf",
}

/// A balancer that is wrong in one way.
#[derive(FromArgs)]
struct Arguments {
    /// in which way
    #[argh(option)]
    mutant: String,
    /// what the program would be called with
    #[argh(positional, greedy)]
    rest: Vec<String>,
}

/// What the mutant knows of the endpoints, from a list of its own.
#[derive(Clone, Default)]
struct ObservedEndpoints {
    addresses: BTreeMap<String, SocketAddr>,
    draining: BTreeSet<String>,
    warming: BTreeSet<String>,
    /// What is out by hand, as the folder says.
    manually_ejected: BTreeSet<String>,
}

struct MutantState {
    mutant: Mutant,
    endpoints: Mutex<ObservedEndpoints>,
    attempt_count: AtomicU64,
    response_count: AtomicU64,
    last_response: Mutex<Vec<u8>>,
}

#[derive(Clone)]
struct MutantRuntime {
    sockets: SystemRuntime,
    mutant: Arc<MutantState>,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().expect("no panic while it is held")
}

fn send_copy_later(after: Duration, to: SocketAddr, bytes: Vec<u8>) {
    thread::spawn(move || {
        thread::sleep(after);
        if let Ok(mut stream) = TcpStream::connect(to) {
            let _ = stream.write_all(&bytes);
            // The endpoint reads all of it before it sees the end.
            thread::sleep(Duration::from_millis(500));
        }
    });
}

impl MutantState {
    /// An attempt was written.
    fn on_sent(&self, to: SocketAddr, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        let is = |kind: &str| text.contains(&format!("/api/{kind}?"));
        if !(is("look") || is("top") || is("buy")) {
            return;
        }
        let count = self.attempt_count.fetch_add(1, Ordering::Relaxed);
        let listed = lock(&self.endpoints).clone();
        let other = || listed.addresses.values().copied().find(|address| *address != to).unwrap_or(to);
        let named =
            |names: &BTreeSet<String>| names.iter().find_map(|name| listed.addresses.get(name)).copied();
        let send =
            |after: u64, to: SocketAddr| send_copy_later(Duration::from_millis(after), to, bytes.to_vec());
        match self.mutant {
            Mutant::DuplicateNonIdempotent if is("buy") && count.is_multiple_of(3) => send(30, other()),
            Mutant::RetryAfterDedupWindow if is("top") && count.is_multiple_of(5) => send(5500, to),
            Mutant::SendAfterResponse if is("look") && count.is_multiple_of(9) => send(4500, to),
            Mutant::ExceedAttemptLimit if is("look") && count.is_multiple_of(9) => {
                (0..5).for_each(|n| send(n, other()))
            }
            Mutant::SendToDraining if is("look") => {
                if let Some(to) = named(&listed.draining) {
                    send(3000, to);
                }
            }
            Mutant::SendToManuallyEjected if is("look") => {
                if let Some(to) = named(&listed.manually_ejected) {
                    send(3000, to);
                }
            }
            Mutant::FloodWarmingUp if is("look") => {
                if let Some(to) = named(&listed.warming) {
                    (0..8).for_each(|_| send(0, to));
                }
            }
            _ => {}
        }
    }

    /// What is to be written in place of these bytes.
    fn replacement_for(&self, to_client: bool, bytes: &[u8]) -> Option<Vec<u8>> {
        if !to_client {
            let text = String::from_utf8_lossy(bytes);
            let is_altered = self.mutant == Mutant::AlterBody && text.contains("/api/top?");
            return is_altered.then(|| text.replacen("the body", "The body", 1).into_bytes());
        }
        if !bytes.starts_with(b"HTTP/1.1 ") || bytes.windows(6).any(|of| of == b"ready\n") {
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

/// Asks the list four times a second: the mutant's own knowledge.
fn poll_endpoints(inner: Arc<MutantState>, list: SocketAddr, folder: PathBuf, warm: Duration) {
    let mut pause = Duration::from_millis(250);
    if inner.mutant == Mutant::PollTooOften {
        pause = Duration::from_millis(10);
    }
    loop {
        if let Some(told) = fetch_endpoints(list) {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
            let mut listed = ObservedEndpoints::default();
            for line in told["servers"].as_array().into_iter().flatten() {
                let name = line["id"].as_str().unwrap_or_default().to_string();
                let Some(address) = line["addr"].as_str().and_then(|text| text.parse().ok()) else {
                    continue;
                };
                if line["state"] != "active" {
                    listed.draining.insert(name.clone());
                }
                let started = line["started_ms"].as_u64().unwrap_or(0);
                if started > 0 && now < started + warm.as_millis() as u64 {
                    listed.warming.insert(name.clone());
                }
                listed.addresses.insert(name, address);
            }
            for entry in std::fs::read_dir(&folder).into_iter().flatten().flatten() {
                let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
                let names = text.lines().filter_map(|line| line.strip_prefix("out ")?.split(' ').next());
                listed.manually_ejected.extend(names.map(str::to_string));
            }
            *lock(&inner.endpoints) = listed;
        }
        thread::sleep(pause);
    }
}

fn fetch_endpoints(list: SocketAddr) -> Option<Value> {
    use std::io::Read as _;
    let mut stream = TcpStream::connect_timeout(&list, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(b"GET /api/targets HTTP/1.1\r\nHost: l\r\n\r\n").ok()?;
    let (mut text, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        let read = stream.read(&mut bytes).ok()?;
        text.extend_from_slice(&bytes[..read]);
        let head = text.windows(4).position(|of| of == b"\r\n\r\n");
        if let Some(told) = head.and_then(|head| serde_json::from_slice(&text[head + 4..]).ok()) {
            return Some(told);
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
    /// None: a client's.
    upstream_address: Option<SocketAddr>,
    mutant: Arc<MutantState>,
}

impl MutantStream {
    /// Whether the mutant has written something else in place of this.
    fn send_replacement(&self, bytes: &[u8]) -> bool {
        let Some(other) = self.mutant.replacement_for(self.upstream_address.is_none(), bytes) else {
            return false;
        };
        if !other.is_empty() {
            let _ = self.stream.try_send(&other);
        }
        true
    }

    fn send_or_replace(
        &self,
        bytes: &[IoSlice],
        put: impl FnOnce() -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let whole: Vec<u8> = bytes.iter().flat_map(|piece| piece.iter().copied()).collect();
        if !whole.is_empty() && self.send_replacement(&whole) {
            return Poll::Ready(Ok(whole.len()));
        }
        let written = put();
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

    fn try_send(&self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.try_send(bytes)
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
        let listening = self.sockets.listen(at, send_buffer, backlog)?;
        Ok(MutantListener { listener: listening, mutant: self.mutant.clone() })
    }

    fn log(&self, line: Line) {
        self.sockets.log(line);
    }
}

fn serve(call: &Arguments) -> Result<(), String> {
    let mutant =
        Mutant::parse(&call.mutant).ok_or_else(|| format!("no mutant is called {:?}", call.mutant))?;
    let config = call.rest.last().map(PathBuf::from);
    let path = config::resolve_path(config).map_err(|error| error.to_string())?;
    let given = config::load(&path).map_err(|error| error.to_string())?;
    let inner = MutantState {
        mutant,
        endpoints: Mutex::default(),
        attempt_count: AtomicU64::new(0),
        response_count: AtomicU64::new(0),
        last_response: Mutex::default(),
    };
    let inner = Arc::new(inner);
    if mutant != Mutant::None {
        let (inner, list, folder) = (inner.clone(), given.discovery_address, std::env::temp_dir());
        let warm = Duration::from_secs_f64(given.settings.slow_start.warm_up_time.as_secs_f64());
        thread::spawn(move || poll_endpoints(inner, list, folder, warm));
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
        let mut asked = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|error| error.to_string())?;
        let world = MutantRuntime { sockets, mutant: inner };
        // A port on which nobody listens: it never hears of a list but that which it was given.
        let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
        let (_source, of_list) = watch::channel(if mutant == Mutant::IgnoreEndpointList {
            nobody
        } else {
            given.discovery_address
        });
        let parts = assembly::assemble(&world, &given);
        if let Some(at) = given.admin_address {
            let operators = parts
                .admin_api(&world, Arc::new(FileStore::for_balancer(&std::env::temp_dir(), &given.name)));
            let listener =
                world.listen(at, 128 << 10, 64).map_err(|error| format!("control {at}: {error}"))?;
            tokio::spawn(admin::serve(listener, operators));
        }
        let ask = async move {
            asked.recv().await;
            if mutant == Mutant::IgnoreTermination {
                std::future::pending().await
            }
        };
        let served = assembly::serve(world, parts, given, of_list, None, Ticks(30_000), ask).await;
        served.map_err(|error| error.to_string())
    })
}

fn main() -> ExitCode {
    let call: Arguments = argh::from_env();
    match serve(&call) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("doorproxy-mutant: {fault}");
            ExitCode::FAILURE
        }
    }
}
