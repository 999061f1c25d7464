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
    folder: PathBuf,
    config: Value,
}

impl Platform {
    fn new(name: &str, known: &[Value]) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let folder = format!("doorproxy-upgrade-{}-{name}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(folder);
        std::fs::create_dir_all(&folder).unwrap();
        let mut config = config(known, mute_service(), 256);
        config["listen"] = json!(listener.local_addr().unwrap());
        Platform { listener, folder, config }
    }

    fn run(&self, accept: &str, socket: OwnedFd) -> Child {
        let file = self.folder.join("config.json");
        std::fs::write(&file, self.config.to_string()).unwrap();
        // What a process is started with stands at its standard input; the shell moves it to where the platform has it.
        let line = format!("exec 3<&0 </dev/null; exec {} serve", env!("CARGO_BIN_EXE_doorproxy"));
        let mut command = Command::new("sh");
        command.arg("-c").arg(line).stdin(Stdio::from(socket)).stderr(Stdio::piped());
        command.env("TMPDIR", &self.folder).env("PROXY_CONFIG", file).env("PROXY_ACCEPT_FD", accept);
        command.env("PROXY_CONTROL", "127.0.0.1:0").spawn().unwrap()
    }

    fn start(&self) -> (Balancer, SocketAddr) {
        let mut process = self.run("3", self.listener.try_clone().unwrap().into());
        let lines = BufReader::new(process.stderr.take().unwrap()).lines().map_while(Result::ok);
        let log = Trace::default();
        let of_log = log.clone();
        thread::spawn(move || lines.for_each(|line| of_log.line(&line)));
        log.wait_for_beginnings("serving on ", 1);
        let text = log.0.0.lock().unwrap().clone();
        let at = text.lines().find_map(|line| line.strip_prefix("serving operators on ")).unwrap();
        let at = at.parse().unwrap();
        let address = self.listener.local_addr().unwrap();
        (Balancer { process, address, config: self.folder.join("config.json"), log }, at)
    }
}

fn figure(at: SocketAddr, name: &str) -> i64 {
    let mut stream = TcpStream::connect(at).unwrap();
    write!(stream, "GET /_vars HTTP/1.1\r\nHost: o\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let value = answer.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    value.split_once('|').unwrap().0.parse().unwrap()
}

fn ask(at: SocketAddr, call: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    write!(stream, "{call} HTTP/1.1\r\nHost: o\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.split(' ').nth(1).unwrap_or("none").to_string()
}

/// Asks for one thing after another on a connection, and for a new one only where it was told to go. How many were
/// answered, and what else came.
fn load(address: SocketAddr, number: u64, stop: Arc<AtomicBool>) -> thread::JoinHandle<(u64, Vec<String>)> {
    thread::spawn(move || {
        let (mut line, mut answered, mut odd) = (None::<BufReader<TcpStream>>, 0, Vec::new());
        while !stop.load(Ordering::Relaxed) {
            let stream = line.get_or_insert_with(|| {
                let stream = TcpStream::connect(address).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                BufReader::new(stream)
            });
            let id = format!("{number}-{answered}");
            let head = fields(&id, "look").replace("Req-Key: k\r\n", "");
            write!(stream.get_mut(), "GET / HTTP/1.1\r\n{head}\r\n").unwrap();
            match read_message(stream) {
                Some(answer) if answer.start().contains("200") => {
                    answered += 1;
                    if answer.field("connection") == Some("close") {
                        line = None;
                    }
                }
                // The one that is back is cold, and takes less than all of these ask for.
                Some(answer) if answer.start().contains("503") => {
                    if answer.field("connection") == Some("close") {
                        line = None;
                    }
                }
                answer => {
                    odd.push(answer.map_or("an end".to_string(), |answer| answer.start().to_string()));
                    line = None;
                }
            }
        }
        (answered, odd)
    })
}

#[test]
fn under_load_nothing_is_lost_and_who_is_out_stays_out() {
    let trace = Trace::default();
    let known = [line("a", upstream("A", &trace), "active"), line("b", upstream("B", &trace), "active")];
    let platform = Platform::new("load", &known);
    let (mut old, at_old) = platform.start();
    let stop = Arc::new(AtomicBool::new(false));
    let loads: Vec<_> = (0..6).map(|number| load(old.address, number, stop.clone())).collect();
    let told = Trace::default();
    trace.wait_for_beginnings("A: ", 20);
    told.line(&format!("out: {}", ask(at_old, "POST /_upstreams/detach", "a")));
    let (new, at_new) = platform.start();
    told.line(&format!("new: {}", ask(at_new, "GET /_ready", "")));
    old.log.wait_for("a younger process serves");
    told.line(&format!("old: {}", ask(at_old, "GET /_ready", "")));
    // A call to the one binds the other: b is out at both, and a is back.
    told.line(&format!("back at the old one: {}", ask(at_old, "POST /_upstreams/attach", "a")));
    told.line(&format!("out at the new one: {}", ask(at_new, "POST /_upstreams/detach", "b")));
    old.signal("TERM");
    told.line(&format!("old ended: {:?}", old.process.wait().unwrap().code()));
    // What was on its way when b was put out may still come.
    let a = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("A: ")).count();
    trace.wait_for_beginnings("A: ", a + 50);
    let b = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("B: ")).count();
    trace.wait_for_beginnings("A: ", a + 200);
    let later = trace.0.0.lock().unwrap().lines().filter(|line| line.starts_with("B: ")).count();
    told.line(&format!("pushed to b later: {}", later - b));
    stop.store(true, Ordering::Relaxed);
    for load in loads {
        let (answered, odd) = load.join().unwrap();
        assert!(answered > 20);
        told.line(&format!("odd answers: {odd:?}"));
    }
    drop(new);
    told.check(expect![[r#"
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
fn a_new_process_that_dies_leaves_the_old_one_serving() {
    let trace = Trace::default();
    let mut platform = Platform::new("dies", &[line("a", upstream("A", &trace), "active")]);
    let (old, at_old) = platform.start();
    let told = Trace::default();
    let mut held = Client::new(&old);
    held.get("/slow", "1");
    trace.wait_for("A: GET /slow HTTP/1.1 id 1 body \"\"");
    // One that can't even start.
    let sound = platform.config.clone();
    platform.config["seed"] = json!("no seed");
    let ended = platform.run("3", platform.listener.try_clone().unwrap().into()).wait().unwrap();
    told.line(&format!("can't start: {:?}", ended.code()));
    platform.config = sound;
    // One that hangs before it serves: it stands still while it waits for a list that never comes.
    let known = std::mem::replace(&mut platform.config["discovery"], json!(silent_service()));
    let mut hung = platform.run("3", platform.listener.try_clone().unwrap().into());
    let mut line = String::new();
    BufReader::new(hung.stderr.take().unwrap()).read_line(&mut line).unwrap();
    let stop = format!("kill -STOP {}", hung.id());
    assert!(Command::new("sh").arg("-c").arg(stop).status().unwrap().success());
    told.line(&format!("hangs: {}", line.starts_with("serving operators on")));
    platform.config["discovery"] = known;
    Client::new(&old).get("/", "0").answer(&told);
    told.line(&format!("old: {}", ask(at_old, "GET /_ready", "")));
    hung.kill().unwrap();
    hung.wait().unwrap();
    // One that is killed once it serves, which leaves its file behind.
    let (new, _) = platform.start();
    old.log.wait_for("a younger process serves");
    drop(new);
    old.log.wait_for("a younger process has ended");
    told.line(&format!("old: {}", ask(at_old, "GET /_ready", "")));
    Client::new(&old).get("/", "2").answer(&told);
    trace.line("go on");
    held.answer(&told);
    // And a second one right after it. Who stands on a connection is told to go; who comes now meets the new one.
    let mut kept = Client::new(&old);
    kept.get("/", "3").answer(&told);
    let (new, at_new) = platform.start();
    old.log.wait_for_beginnings("a younger process serves", 2);
    kept.get("/", "4").answer(&told);
    let answered = || figure(at_old, "edge_proxy.answered.look:");
    let before = answered();
    (5..15).for_each(|id| drop(read_message(&mut Client::new(&new).get("/", &id.to_string()).0)));
    told.line(&format!("the old one answered {} more", answered() - before));
    told.line(&format!("new: {}", ask(at_new, "GET /_ready", "")));
    old.signal("TERM");
    Client::new(&new).get("/", "15").answer(&told);
    told.check(expect![[r#"
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
fn a_descriptor_that_cannot_be_used_ends_the_start_with_one_line() {
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
        let ended = platform.run(accept, socket).wait_with_output().unwrap();
        let line = String::from_utf8(ended.stderr).unwrap().replace(&own, "OWN").replace(&other, "OTHER");
        let line: Vec<&str> = line.lines().filter(|line| !line.starts_with("serving operators")).collect();
        said += &format!("{:?} {}\n", ended.status.code(), line.join(" | "));
    }
    platform.config["listen"] = json!("127.0.0.1:0");
    expect![[r#"
        Some(1) doorproxy: PROXY_ACCEPT_FD: a number expected, not "three"
        Some(1) doorproxy: PROXY_ACCEPT_FD: 77 is no descriptor of this process
        Some(1) doorproxy: PROXY_ACCEPT_FD: 1 is no descriptor of this process
        Some(1) doorproxy: PROXY_ACCEPT_FD: 3 is not a listening socket
        Some(1) doorproxy: PROXY_ACCEPT_FD: 3 listens on OTHER, not on OWN
    "#]]
    .assert_eq(&said);
}

/// Guards against a process that is told to end while it waits for the list, and goes on to serve in the old one's place.
#[test]
fn a_new_process_that_is_asked_to_end_before_it_serves_never_does() {
    let trace = Trace::default();
    let mut platform = Platform::new("ends", &[line("a", upstream("A", &trace), "active")]);
    let (old, at_old) = platform.start();
    // It waits for a list that never comes.
    platform.config["discovery"] = json!(silent_service());
    let mut new = platform.run("3", platform.listener.try_clone().unwrap().into());
    let mut lines = BufReader::new(new.stderr.take().unwrap()).lines().map_while(Result::ok);
    assert!(lines.next().unwrap().starts_with("serving operators on"));
    let stop = format!("kill -TERM {}", new.id());
    assert!(Command::new("sh").arg("-c").arg(stop).status().unwrap().success());
    let said: Vec<String> = lines.collect();
    assert!(!said.iter().any(|line| line.starts_with("serving on")), "{said:?}");
    assert!(said.iter().any(|line| line == "asked to end before it served"), "{said:?}");
    assert_eq!(new.wait().unwrap().code(), Some(0));
    assert_eq!(ask(at_old, "GET /_ready", ""), "200");
    Client::new(&old).get("/", "1").answer(&trace);
    trace.check(expect![[r#"
        A: GET / HTTP/1.1 id 1 body ""
        client: 200 "well", x-kept as it came
    "#]]);
}
