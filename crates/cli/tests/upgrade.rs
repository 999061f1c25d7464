//! Upgrades: two processes of one balancer on a listening socket that both inherit, as the platform hands it to them.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use common::*;
use expect_test::expect;
use serde_json::{Value, json};

/// The platform's part: the socket, and the folder that outlives the processes.
struct Platform {
    listener: TcpListener,
    directory: PathBuf,
    config: Value,
}

impl Platform {
    fn new(name: &str, known: &[Value]) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let folder = format!("doorproxy-upgrade-{}-{name}", std::process::id());
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
        std::fs::create_dir_all(&directory).unwrap();
        let mut config = config(known, closing_service(), 256);
        config["listen"] = json!(listener.local_addr().unwrap());
        Platform { listener, directory, config }
    }

    fn spawn(&self, accept: &str, socket: OwnedFd) -> Child {
        let file = self.directory.join("config.json");
        std::fs::write(&file, self.config.to_string()).unwrap();
        // What a process is started with stands at its standard input; the shell moves it to where the platform has it.
        let line = format!("exec 3<&0 </dev/null; exec {} serve", env!("CARGO_BIN_EXE_doorproxy"));
        let mut command = Command::new("sh");
        command.arg("-c").arg(line).stdin(Stdio::from(socket)).stderr(Stdio::piped());
        command.env("TMPDIR", &self.directory).env("PROXY_CONFIG", file).env("PROXY_ACCEPT_FD", accept);
        command.env("PROXY_CONTROL", "127.0.0.1:0").spawn().unwrap()
    }

    fn start(&self) -> (Balancer, SocketAddr) {
        let mut process = self.spawn("3", self.listener.try_clone().unwrap().into());
        let lines = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
        let log = Trace::default();
        let of_log = log.clone();
        thread::spawn(move || lines.for_each(|line| of_log.record(&line)));
        log.wait_for_prefix("server: serving on ", 1);
        let text = log.0.0.lock().unwrap().clone();
        let at = text.lines().find_map(|line| line.strip_prefix("admin: listening on ")).unwrap();
        let at = at.parse().unwrap();
        let address = self.listener.local_addr().unwrap();
        (Balancer { process, address, config: self.directory.join("config.json"), log }, at)
    }
}

fn metric(at: SocketAddr, name: &str) -> i64 {
    let mut stream = TcpStream::connect(at).unwrap();
    write!(stream, "GET /_vars HTTP/1.1\r\nHost: o\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let value = answer.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    value.split_once('|').unwrap().0.parse().unwrap()
}

fn call_admin(at: SocketAddr, call: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    write!(stream, "{call} HTTP/1.1\r\nHost: o\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.split(' ').nth(1).unwrap_or("none").to_string()
}

/// Asks for one thing after another on a connection, and for a new one only where it was told to go. How many were
/// answered, and what else came.
fn generate_load(
    address: SocketAddr,
    number: u64,
    stop: Arc<AtomicBool>,
) -> thread::JoinHandle<(u64, Vec<String>)> {
    thread::spawn(move || {
        let (mut line, mut answered, mut odd) = (None::<BufReader<TcpStream>>, 0, Vec::new());
        while !stop.load(Ordering::Relaxed) {
            let stream = line.get_or_insert_with(|| {
                let stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
                BufReader::new(stream)
            });
            let id = format!("{number}-{answered}");
            let head = request_headers(&id, "look").replace("Req-Key: k\r\n", "");
            write!(stream.get_mut(), "GET / HTTP/1.1\r\n{head}\r\n").unwrap();
            match read_message(stream) {
                Some(answer) if answer.start_line().contains("200") => {
                    answered += 1;
                    if answer.field("connection") == Some("close") {
                        line = None;
                    }
                }
                // The one that is back is cold, and takes less than all of these ask for.
                Some(answer) if answer.start_line().contains("503") => {
                    if answer.field("connection") == Some("close") {
                        line = None;
                    }
                }
                answer => {
                    odd.push(answer.map_or("an end".to_string(), |answer| answer.start_line().to_string()));
                    line = None;
                }
            }
        }
        (answered, odd)
    })
}

#[test]
fn handover_under_load_loses_nothing_and_keeps_overrides() {
    let trace = Trace::default();
    let known = [
        endpoint_entry("a", test_endpoint("A", &trace), "active"),
        endpoint_entry("b", test_endpoint("B", &trace), "active"),
    ];
    let platform = Platform::new("load", &known);
    let (mut old, at_old) = platform.start();
    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = (0..6).map(|number| generate_load(old.address, number, stop.clone())).collect();
    let told = Trace::default();
    trace.wait_for_prefix("A: ", 20);
    told.record(&format!("out: {}", call_admin(at_old, "POST /_upstreams/detach", "a")));
    let (new, at_new) = platform.start();
    told.record(&format!("new: {}", call_admin(at_new, "GET /_ready", "")));
    old.log.wait_for("server: successor process is serving");
    told.record(&format!("old: {}", call_admin(at_old, "GET /_ready", "")));
    // A call to the one binds the other: b is out at both, and a is back.
    told.record(&format!("back at the old one: {}", call_admin(at_old, "POST /_upstreams/attach", "a")));
    told.record(&format!("out at the new one: {}", call_admin(at_new, "POST /_upstreams/detach", "b")));
    old.signal("TERM");
    told.record(&format!("old ended: {:?}", old.process.wait().unwrap().code()));
    // What was on its way when b was put out may still come.
    let a = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("A: ")).count();
    trace.wait_for_prefix("A: ", a + 50);
    let b = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("B: ")).count();
    trace.wait_for_prefix("A: ", a + 200);
    let later = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("B: ")).count();
    told.record(&format!("pushed to b later: {}", later - b));
    stop.store(true, Ordering::Relaxed);
    for load in loads {
        let (answered, odd) = load.join().unwrap();
        assert!(answered > 20);
        told.record(&format!("odd answers: {odd:?}"));
    }
    drop(new);
    told.assert_matches(expect![[r#"
        out: 200
        new: 200
        old: 503
        back at the old one: 200
        out at the new one: 200
        old ended: Some(0)
        pushed to b later: 0
        odd answers: []
        odd answers: []
        odd answers: []
        odd answers: []
        odd answers: []
        odd answers: []
    "#]]);
}

#[test]
fn predecessor_serves_on_when_successor_dies() {
    let trace = Trace::default();
    let mut platform = Platform::new("dies", &[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (old, at_old) = platform.start();
    let told = Trace::default();
    let mut held = Client::new(&old);
    held.get("/slow", "1");
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    // One that can't even start.
    let sound = platform.config.clone();
    platform.config["seed"] = json!("no seed");
    let ended = platform.spawn("3", platform.listener.try_clone().unwrap().into()).wait().unwrap();
    told.record(&format!("can't start: {:?}", ended.code()));
    platform.config = sound;
    // One that hangs before it serves: it stands still while it waits for a list that never comes.
    let known = std::mem::replace(&mut platform.config["discovery"], json!(unresponsive_service()));
    let mut hung = platform.spawn("3", platform.listener.try_clone().unwrap().into());
    let mut line = String::new();
    BufReader::new(hung.stderr.take().unwrap()).read_line(&mut line).unwrap();
    let stop = format!("kill -STOP {}", hung.id());
    assert!(Command::new("sh").arg("-c").arg(stop).status().unwrap().success());
    told.record(&format!("hangs: {}", line.starts_with("admin: listening on")));
    platform.config["discovery"] = known;
    Client::new(&old).get("/", "0").record_answer(&told);
    told.record(&format!("old: {}", call_admin(at_old, "GET /_ready", "")));
    hung.kill().unwrap();
    hung.wait().unwrap();
    // One that is killed once it serves, which leaves its file behind.
    let (new, _) = platform.start();
    old.log.wait_for("server: successor process is serving");
    drop(new);
    old.log.wait_for("server: successor process has exited");
    told.record(&format!("old: {}", call_admin(at_old, "GET /_ready", "")));
    Client::new(&old).get("/", "2").record_answer(&told);
    trace.record("go on");
    held.record_answer(&told);
    // And a second one right after it. Who stands on a connection is told to go; who comes now meets the new one.
    let mut kept = Client::new(&old);
    kept.get("/", "3").record_answer(&told);
    let (new, at_new) = platform.start();
    old.log.wait_for_prefix("server: successor process is serving", 2);
    kept.get("/", "4").record_answer(&told);
    let answered = || metric(at_old, "edge_proxy.answered.look:");
    let before = answered();
    (5..15).for_each(|id| drop(read_message(&mut Client::new(&new).get("/", &id.to_string()).0)));
    told.record(&format!("the old one answered {} more", answered() - before));
    told.record(&format!("new: {}", call_admin(at_new, "GET /_ready", "")));
    old.signal("TERM");
    Client::new(&new).get("/", "15").record_answer(&told);
    told.assert_matches(expect![[r#"
        can't start: Some(1)
        hangs: true
        client: 200 "well", x-kept as it came
        old: 200
        old: 200
        client: 200 "well", x-kept as it came
        client: 200 "slow"
        client: 200 "well", x-kept as it came
        client: 200 "well", connection close, x-kept as it came
        the old one answered 0 more
        new: 200
        client: 200 "well", x-kept as it came
    "#]]);
}

#[test]
fn unusable_descriptor_fails_start_in_one_line() {
    let mut platform = Platform::new("bad", &[]);
    let elsewhere = TcpListener::bind("127.0.0.1:0").unwrap();
    let connected = TcpStream::connect(elsewhere.local_addr().unwrap()).unwrap();
    let own = platform.listener.local_addr().unwrap().to_string();
    let other = elsewhere.local_addr().unwrap().to_string();
    let mut said = String::new();
    let sockets: [(&str, OwnedFd); 5] = [
        ("three", platform.listener.try_clone().unwrap().into()),
        ("77", platform.listener.try_clone().unwrap().into()),
        ("1", platform.listener.try_clone().unwrap().into()),
        ("3", connected.into()),
        ("3", elsewhere.into()),
    ];
    for (accept, socket) in sockets {
        let ended = platform.spawn(accept, socket).wait_with_output().unwrap();
        let line = String::from_utf8(ended.stderr).unwrap().replace(&own, "OWN").replace(&other, "OTHER");
        let line: Vec<&str> = line.lines().filter(|line| !line.starts_with("admin: listening on")).collect();
        said += &format!("{:?} {}\n", ended.status.code(), line.join(" | "));
    }
    platform.config["listen"] = json!("127.0.0.1:0");
    expect![[r#"
        Some(1) doorproxy: PROXY_ACCEPT_FD: "three" is not a descriptor number
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 77 is a standard stream or is not open
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 1 is a standard stream or is not open
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 3 is not a listening socket
        Some(1) doorproxy: PROXY_ACCEPT_FD: descriptor 3 listens on OTHER, expected OWN
    "#]]
    .assert_eq(&said);
}

/// Guards against a process that is told to end while it waits for the list, and goes on to serve in the old one's place.
#[test]
fn successor_terminated_before_ready_never_serves() {
    let trace = Trace::default();
    let mut platform = Platform::new("ends", &[endpoint_entry("a", test_endpoint("A", &trace), "active")]);
    let (old, at_old) = platform.start();
    // It waits for a list that never comes.
    platform.config["discovery"] = json!(unresponsive_service());
    let mut new = platform.spawn("3", platform.listener.try_clone().unwrap().into());
    let mut lines = BufReader::new(new.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.next().unwrap().starts_with("admin: listening on"));
    let stop = format!("kill -TERM {}", new.id());
    assert!(Command::new("sh").arg("-c").arg(stop).status().unwrap().success());
    let said: Vec<String> = lines.collect();
    assert!(!said.iter().any(|line| line.starts_with("server: serving on")), "{said:?}");
    assert!(said.iter().any(|line| line == "server: shutdown requested before serving"), "{said:?}");
    assert_eq!(new.wait().unwrap().code(), Some(0));
    assert_eq!(call_admin(at_old, "GET /_ready", ""), "200");
    Client::new(&old).get("/", "1").record_answer(&trace);
    trace.assert_matches(expect![[r#"
        A: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}
