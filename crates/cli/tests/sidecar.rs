//! Runs the program as a sidecar in front of test endpoints on free ports, and checks which answers an
//! application gets and which requests the endpoints receive.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use expect_test::expect;

/// Longer than any wait in these tests takes; reaching it fails the test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The requests that the endpoints received, the flag that releases slow ones, and the flag that makes endpoints
/// close each connection after its first response.
#[derive(Clone, Default)]
struct Trace {
    requests: Arc<Mutex<Vec<String>>>,
    slow_released: Arc<AtomicBool>,
    closes_connections: Arc<AtomicBool>,
}

impl Trace {
    fn take(&self) -> String {
        std::mem::take(&mut *self.requests.lock().unwrap()).concat()
    }
}

/// Reads a head and a body of its `Content-Length`. Returns `None` if the connection ends first.
fn read_message(reader: &mut impl BufRead) -> Option<(String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let lowercase_head = head.to_ascii_lowercase();
    let length = lowercase_head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

/// Starts an endpoint that chooses its answer by the last segment of the path.
fn test_endpoint(trace: &Trace) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let trace = trace.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let trace = trace.clone();
            thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some((head, body)) = read_message(&mut reader) {
                    let start = head.lines().next().unwrap().to_string();
                    let via =
                        head.lines().filter(|line| line.to_ascii_lowercase().starts_with("via:")).count();
                    // The line does not name the endpoint, since the balancer picks one at random.
                    trace
                        .requests
                        .lock()
                        .unwrap()
                        .push(format!("  endpoint received {start} {body:?}, {via} via\n"));
                    let action = start.split(' ').nth(1).unwrap().rsplit('/').next().unwrap().to_string();
                    if action == "slow" {
                        // Waits until the test releases it.
                        while !trace.slow_released.load(Ordering::Relaxed) {
                            thread::sleep(Duration::from_millis(5));
                        }
                    }
                    let answer = match action.as_str() {
                        "break" => return,
                        "gone" => "HTTP/1.1 404 Gone\r\nContent-Length: 4\r\n\r\nnone".to_string(),
                        "made" => "HTTP/1.1 201 Made\r\nContent-Length: 0\r\nX-Is: new\r\n\r\n".to_string(),
                        // The last chunk is missing, and the connection stays open.
                        "unfinished" => {
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n".to_string()
                        }
                        "empty" => "HTTP/1.1 204 Empty\r\n\r\n".to_string(),
                        "ill" => "HTTP/1.1 500 Ill\r\nContent-Length: 0\r\n\r\n".to_string(),
                        _ => "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine".to_string(),
                    };
                    let answer = match answer.split_once("\r\n\r\n") {
                        Some((head, _)) if start.starts_with("HEAD") => format!("{head}\r\n\r\n"),
                        _ => answer,
                    };
                    let is_last = trace.closes_connections.load(Ordering::Relaxed);
                    let answer = match answer.split_once("\r\n") {
                        Some((status, rest)) if is_last => format!("{status}\r\nConnection: close\r\n{rest}"),
                        _ => answer,
                    };
                    if writer.write_all(answer.as_bytes()).is_err() || is_last {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A sidecar process that is killed when the test ends, even if it fails.
struct Sidecar {
    process: Child,
    config_path: PathBuf,
    log: Receiver<String>,
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}

fn start(config: &str, name: &str) -> (Sidecar, SocketAddr) {
    let path = std::env::temp_dir().join(format!("doorproxy-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, config).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_doorproxy"))
        .args(["sidecar", "--seed", "1", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let line = lines.next().unwrap().unwrap();
    let address =
        line.strip_prefix("server: serving on ").unwrap_or_else(|| panic!("{line}")).parse().unwrap();
    let (log_sender, log) = channel();
    // Keeps reading the log, since the sidecar would otherwise write to a closed pipe.
    thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(log_sender.send(line))));
    (Sidecar { process: child, config_path: path, log }, address)
}

fn request_status_line(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap() == 0 {
            return "the connection ended".to_string();
        }
    }
    head.lines().next().unwrap().to_string()
}

fn config(servers: [SocketAddr; 2]) -> String {
    format!(
        r#"
name = "test"
listen = [{{ address = "127.0.0.1:0" }}]
unrouted = "not-found"
category.read = {{ repeats = "always", ttl = "2s" }}
category.order = {{ repeats = "never", ttl = "2s" }}
[pool.main]
servers = [{{ name = "one", address = "{}" }}, {{ name = "two", address = "{}" }}]
[[route]]
path = "/**"
methods = ["GET", "HEAD"]
category = "read"
pool = "main"
[[route]]
path = "/report/**"
category = "order"
pool = "main"
"#,
        servers[0], servers[1]
    )
}

fn signal(sidecar: &Sidecar, name: &str) {
    let kill = format!("kill -{name} {}", sidecar.process.id());
    assert!(Command::new("sh").arg("-c").arg(kill).status().unwrap().success());
}

/// Detects the loss of a connection that is still in the accept queue when the process decides that no
/// connection is left and exits.
#[test]
fn connection_in_backlog_at_last_accept_is_served() {
    let trace = Trace::default();
    let (mut sidecar, address) = start(&config([test_endpoint(&trace), test_endpoint(&trace)]), "backlog");
    signal(&sidecar, "TERM");
    let signalled = Instant::now();
    while sidecar.log.recv().unwrap() != "server: shutdown requested" {}
    // With no connection open, only the shutdown delay keeps the process running; it is stopped until that
    // has passed.
    signal(&sidecar, "STOP");
    let pending =
        thread::spawn(move || request_status_line(address, "GET /quotes/fine HTTP/1.1\r\nHost: x\r\n\r\n"));
    thread::sleep(Duration::from_millis(1500).saturating_sub(signalled.elapsed()));
    signal(&sidecar, "CONT");
    let report = format!(
        "{}\n{}{:?}\n",
        pending.join().unwrap(),
        trace.take(),
        sidecar.process.wait().unwrap().code()
    );
    expect![[r#"
        HTTP/1.1 200 OK
          endpoint received GET /quotes/fine HTTP/1.1 "", 1 via
        Some(0)
    "#]]
    .assert_eq(&report);
}

/// Waits for the endpoints to receive a request, which is in flight from then on.
fn wait_for_request(trace: &Trace) {
    while trace.requests.lock().unwrap().is_empty() {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Sends a request and reads until the connection ends.
fn whole_connection(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer
}

/// Returns the rest of the log and the exit code, once the process has ended by itself.
fn wait_for_end(sidecar: &mut Sidecar) -> String {
    let code = sidecar.process.wait().unwrap().code();
    // These lines depend on how busy the machine is.
    let is_expected = |line: &String| !line.contains("no CPU time") && !line.contains("expired");
    let log: Vec<String> = sidecar.log.iter().filter(is_expected).collect();
    format!("{}\nexit code {code:?}\n", log.join("\n"))
}

/// Prevents that a signal after the first one ends the process at once or changes its times, so that an order in
/// flight is lost: each signal that an operator may send follows SIGTERM, SIGTERM itself among them.
#[test]
fn signals_after_sigterm_do_not_cut_an_order() {
    let trace = Trace::default();
    let (mut sidecar, address) = start(&config([test_endpoint(&trace), test_endpoint(&trace)]), "signals");
    let order = "POST /report/slow HTTP/1.1\r\nHost: x\r\nReq-Id: o1\r\nContent-Length: 2\r\n\r\nhi";
    let mut report = String::new();
    signal(&sidecar, "TERM");
    report += &format!("{}\n", sidecar.log.recv_timeout(TEST_TIMEOUT).unwrap());
    let pending = thread::spawn(move || request_status_line(address, order));
    wait_for_request(&trace);
    for name in ["HUP", "TERM", "INT", "HUP"] {
        signal(&sidecar, name);
        if name == "HUP" {
            report += &format!("{}\n", sidecar.log.recv_timeout(TEST_TIMEOUT).unwrap());
        }
    }
    report += &format!("{}\n{}", pending.join().unwrap(), wait_for_end(&mut sidecar));
    expect![[r#"
        server: shutdown requested
        config: not reloaded: the sidecar is shutting down
        config: not reloaded: the sidecar is shutting down
        HTTP/1.1 502 Bad Gateway
        server: stopped, 0 connections were still open
        exit code Some(0)
    "#]]
    .assert_eq(&report);
}

/// Prevents that an operator takes a lost response for an orderly end: the process ended with code 0 whatever was
/// open. The endpoint stops within its response, which the sidecar can't finish.
#[test]
fn end_with_an_unfinished_response_is_an_error() {
    let trace = Trace::default();
    let (mut sidecar, address) = start(&config([test_endpoint(&trace), test_endpoint(&trace)]), "unfinished");
    let order = "POST /report/unfinished HTTP/1.1\r\nHost: x\r\nReq-Id: o1\r\nContent-Length: 2\r\n\r\nhi";
    let pending = thread::spawn(move || whole_connection(address, order));
    wait_for_request(&trace);
    signal(&sidecar, "TERM");
    let end = wait_for_end(&mut sidecar);
    let end: String = end.chars().filter(|c| !c.is_ascii_digit()).collect();
    let answer = pending.join().unwrap();
    let is_whole = answer.ends_with("0\r\n\r\n");
    let report = format!("{}, whole: {is_whole}\n{end}", answer.lines().next().unwrap());
    expect![[r#"
        HTTP/1.1 200 OK, whole: false
        server: shutdown requested
        server: stopped,  connections were still open
        server:  requests were lost: with part of a response on client connection , id "o", for  ms
        doorproxy:  requests had no response when the sidecar stopped
        exit code Some()
    "#]]
    .assert_eq(&report);
}

#[test]
fn requests_follow_the_configured_routes() {
    let trace = Trace::default();
    // A read may be sent twice: hedged at another endpoint, or again while its response may be a late copy of an
    // earlier one on the same connection. Neither is possible here.
    trace.closes_connections.store(true, Ordering::Relaxed);
    let unused = "127.0.0.1:1".parse().unwrap();
    let config = config([test_endpoint(&trace), unused]);
    let config = config.replace(r#", { name = "two", address = "127.0.0.1:1" }"#, "");
    let (_sidecar, address) = start(&config, "routes");
    let mut report = String::new();
    for request in [
        "GET /quotes/fine HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /quotes/gone HTTP/1.1\r\nHost: x\r\n\r\n",
        "HEAD /quotes/fine HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /report/made HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi",
        "POST /report/empty HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        "POST /quotes/fine HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
        "GET /Report/fine HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /report%2ffine HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET //report/fine HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET http://y/quotes/fine HTTP/1.1\r\nHost: x\r\n\r\n",
        "GET /quotes/fine HTTP/1.1\r\nHost: x\r\nVia: 1.1 doorproxy-test\r\n\r\n",
        "POST /report/fine HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /report/fine HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n",
        "CONNECT quotes:443 HTTP/1.1\r\nHost: quotes:443\r\n\r\n",
    ] {
        let answer = request_status_line(address, request);
        report += &format!("{}: {answer}\n{}", request.lines().next().unwrap(), trace.take());
    }
    expect![[r#"
        GET /quotes/fine HTTP/1.1: HTTP/1.1 200 OK
          endpoint received GET /quotes/fine HTTP/1.1 "", 1 via
        GET /quotes/gone HTTP/1.1: HTTP/1.1 404 Gone
          endpoint received GET /quotes/gone HTTP/1.1 "", 1 via
        HEAD /quotes/fine HTTP/1.1: HTTP/1.1 200 OK
          endpoint received HEAD /quotes/fine HTTP/1.1 "", 1 via
        POST /report/made HTTP/1.1: HTTP/1.1 201 Made
          endpoint received POST /report/made HTTP/1.1 "hi", 1 via
        POST /report/empty HTTP/1.1: HTTP/1.1 204 Empty
          endpoint received POST /report/empty HTTP/1.1 "hi", 1 via
        POST /quotes/fine HTTP/1.1: HTTP/1.1 404 Not Found
        GET /Report/fine HTTP/1.1: HTTP/1.1 400 Bad Request
        GET /report%2ffine HTTP/1.1: HTTP/1.1 400 Bad Request
        GET //report/fine HTTP/1.1: HTTP/1.1 400 Bad Request
        GET http://y/quotes/fine HTTP/1.1: HTTP/1.1 400 Bad Request
        GET /quotes/fine HTTP/1.1: HTTP/1.1 508 Loop Detected
        POST /report/fine HTTP/1.1: HTTP/1.1 400 Bad Request
        POST /report/fine HTTP/1.1: HTTP/1.1 413 Payload Too Large
        CONNECT quotes:443 HTTP/1.1: HTTP/1.1 400 Bad Request
    "#]]
    .assert_eq(&report);
}

/// Detects running an order twice: an endpoint that drops the connection after a complete request may
/// have run it.
#[test]
fn started_reads_are_retried_but_orders_are_not() {
    let trace = Trace::default();
    let (_sidecar, address) = start(&config([test_endpoint(&trace), test_endpoint(&trace)]), "repeats");
    let mut report = String::new();
    // The order goes first, while both endpoints still count as healthy.
    for request in ["POST /report/break", "GET /quotes/break"] {
        let answer = request_status_line(
            address,
            &format!("{request} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
        );
        let attempts = trace.take().lines().count();
        report += &format!("{request}: {answer}, {}\n", if attempts > 1 { "retried" } else { "sent once" });
    }
    expect![[r#"
        POST /report/break: HTTP/1.1 502 Bad Gateway, sent once
        GET /quotes/break: HTTP/1.1 503 Service Unavailable, retried
    "#]]
    .assert_eq(&report);
}

#[test]
fn reload_applies_to_new_requests_only() {
    let trace = Trace::default();
    let old = config([test_endpoint(&trace), test_endpoint(&trace)]);
    let (sidecar, address) = start(&old, "reload");
    let mut report = String::new();
    let mut reload = |config: &str| {
        std::fs::write(&sidecar.config_path, config).unwrap();
        assert!(
            Command::new("kill")
                .args(["-HUP", &sidecar.process.id().to_string()])
                .status()
                .unwrap()
                .success()
        );
        report += &format!("{}\n", sidecar.log.recv_timeout(TEST_TIMEOUT).unwrap());
    };
    let slow =
        thread::spawn(move || request_status_line(address, "GET /quotes/slow HTTP/1.1\r\nHost: x\r\n\r\n"));
    wait_for_request(&trace);
    // The class and the route of the request in flight are gone, and its pool has another name.
    let new = old
        .replace("category.read", "category.look")
        .replace("\"read\"", "\"look\"")
        .replace("/**\"\nmethods", "/new/**\"\nmethods");
    let new = new.replace("pool.main", "pool.other").replace("pool = \"main\"", "pool = \"other\"");
    reload(&new);
    reload(&new.replace("methods = [\"GET\", \"HEAD\"]\n", ""));
    reload(&new.replace("127.0.0.1:0", "127.0.0.1:1"));
    for path in ["/new/fine", "/quotes/fine"] {
        report += &format!(
            "{path}: {}\n",
            request_status_line(address, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n"))
        );
    }
    trace.slow_released.store(true, Ordering::Relaxed);
    report += &format!("request in flight: {}\n", slow.join().unwrap());
    expect![[r#"
        config: reloaded
        config: not reloaded: order-retriable: this route names no methods, so it matches POST and other unsafe methods, but its category "look" allows retries (always); name only safe methods, choose a category with repeats = "never", or state in may_repeat_unsafe why a retry does no harm
        config: not reloaded: listen and limits.sockets can't change in a reload; restart the sidecar
        /new/fine: HTTP/1.1 200 OK
        /quotes/fine: HTTP/1.1 404 Not Found
        request in flight: HTTP/1.1 200 OK
    "#]].assert_eq(&report);
}

#[test]
fn invalid_config_is_not_served() {
    let path = std::env::temp_dir().join(format!("doorproxy-{}-bad.toml", std::process::id()));
    std::fs::write(
        &path,
        config(["127.0.0.1:1".parse().unwrap(); 2]).replace("methods = [\"GET\", \"HEAD\"]\n", ""),
    )
    .unwrap();
    let reports = ["sidecar", "check", "explain"].map(|command_name| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_doorproxy"));
        match command_name {
            "sidecar" => command.args([command_name, "--config"]).arg(&path),
            "explain" => command.arg(command_name).arg(&path).args(["--url", "/"]),
            _ => command.arg(command_name).arg(&path),
        };
        let output = command.output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let codes: Vec<&str> = text
            .lines()
            .filter_map(|line| line.split_once(':'))
            .map(|(code, _)| code)
            .filter(|code| code.starts_with("error"))
            .collect();
        format!("{command_name}: exit {}, {}\n", output.status.code().unwrap(), codes.join(" "))
    });
    std::fs::remove_file(&path).unwrap();
    expect![[r#"
        sidecar: exit 1, error[duplicate-name] error[order-retriable]
        check: exit 1, error[duplicate-name] error[order-retriable]
        explain: exit 2, 
    "#]]
    .assert_eq(&reports.concat());
}
