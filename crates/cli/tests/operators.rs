//! The operators' address of a balancer as a process: calls, what they change, and what is told of it.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use common::*;
use doorproxy_balancer::admin::overrides::FileStore;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_balancer::runtime::{Listener, Runtime};
use doorproxy_balancer::{admin, assembly, config, discovery};
use expect_test::expect;
use serde_json::{Value, json};

fn start_with_admin_api(known: &[Value]) -> (Balancer, SocketAddr) {
    start_with_admin_api_from(config(known, closing_service(), 256))
}

fn start_with_admin_api_from(mut config: Value) -> (Balancer, SocketAddr) {
    config["control"] = json!("127.0.0.1:0");
    let balancer = start_from(&config.to_string());
    let at = admin_address(&balancer);
    (balancer, at)
}

fn admin_address(balancer: &Balancer) -> SocketAddr {
    balancer.log.wait_for_prefix("admin: listening on ", 1);
    let log = balancer.log.0.0.lock().unwrap();
    log.lines().find_map(|line| line.strip_prefix("admin: listening on ")).unwrap().parse().unwrap()
}

fn call(at: SocketAddr, text: &str) -> Message {
    let mut stream = TcpStream::connect(at).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    read_message(&mut std::io::BufReader::new(stream)).expect("an answer")
}

fn post(at: SocketAddr, path: &str, body: &str) -> String {
    let length = body.len();
    status(&call(at, &format!("POST {path} HTTP/1.1\r\nHost: o\r\nContent-Length: {length}\r\n\r\n{body}")))
}

fn get(at: SocketAddr, path: &str) -> Message {
    call(at, &format!("GET {path} HTTP/1.1\r\nHost: o\r\n\r\n"))
}

fn status(answer: &Message) -> String {
    answer.start_line().split(' ').nth(1).unwrap().to_string()
}

fn metrics(at: SocketAddr) -> BTreeMap<String, i64> {
    let text = get(at, "/_vars").body;
    let figure = |line: &str| {
        let (name, value) = line.strip_prefix("edge_proxy.")?.split_once(':')?;
        Some((name.to_string(), value.split_once('|')?.0.parse().ok()?))
    };
    text.lines().map(|line| figure(line).unwrap_or_else(|| panic!("no figure: {line}"))).collect()
}

fn two_endpoints(trace: &Trace) -> [Value; 2] {
    [
        endpoint_entry("a", test_endpoint("A", trace), "active"),
        endpoint_entry("b", test_endpoint("B", trace), "active"),
    ]
}

/// Which endpoints answered ten requests.
fn endpoints_used(balancer: &Balancer, trace: &Trace, from: usize) -> String {
    let before = trace.0.0.lock().unwrap().len();
    (from..from + 10).for_each(|id| {
        let mut client = Client::new(balancer);
        client.send(&format!(
            "GET /x{id} HTTP/1.1\r\n{}\r\n",
            request_headers(&id.to_string(), "look").replace("Req-Key: k\r\n", "")
        ));
        read_message(&mut client.0).expect("an answer");
    });
    let text = trace.0.0.lock().unwrap()[before..].to_string();
    let mut names: Vec<&str> = text.lines().filter_map(|line| line.split(':').next()).collect();
    names.sort_unstable();
    names.dedup();
    names.join(" ")
}

#[test]
fn detached_endpoint_gets_nothing_until_attached_across_restarts() {
    let trace = Trace::default();
    let known = two_endpoints(&trace);
    let (balancer, at) = start_with_admin_api(&known);
    let told = Trace::default();
    let gauges = |told: &Trace, at| {
        let figures = metrics(at);
        told.record(&format!("listed {} avoided {}", figures["cluster_size"], figures["cluster_unhealthy"]));
    };
    for body in ["a", " a\r\n"] {
        told.record(&format!("out: {}", post(at, "/_upstreams/detach", body)));
    }
    told.record(&format!("used: {}", endpoints_used(&balancer, &trace, 0)));
    gauges(&told, at);
    // The next process of this balancer keeps to it, though its list says otherwise.
    drop(balancer);
    let (balancer, at) = start_with_admin_api(&known);
    told.record(&format!("used by the next: {}", endpoints_used(&balancer, &trace, 10)));
    told.record(&format!("back: {}", post(at, "/_upstreams/attach", "a")));
    told.record(&format!("back again: {}", post(at, "/_upstreams/attach", "a")));
    told.record(&format!("used: {}", endpoints_used(&balancer, &trace, 20)));
    gauges(&told, at);
    told.assert_matches(expect![[r#"
        out: 200
        out: 200
        used: B
        listed 2 avoided 1
        used by the next: B
        back: 200
        back again: 200
        used: A B
        listed 2 avoided 0
    "#]]);
}

/// The list says that it is ready, anew and in new words; that is no call back.
#[test]
fn discovery_does_not_attach_a_detached_endpoint() {
    let trace = Trace::default();
    let known = two_endpoints(&trace);
    let [a, b] = known.clone();
    let discovery = discovery_service(move |call| {
        let list = match call.split("after=").nth(1).and_then(|rest| rest.split('&').next()) {
            Some("1") => json!({"version": 2, "full": true, "servers": [b]}),
            Some("2") => json!({"version": 3, "full": true, "servers": [a, b]}),
            _ => return None,
        };
        Some(list.to_string())
    });
    let mut of_nobody = config(&known, closing_service(), 256);
    of_nobody["control"] = json!("127.0.0.1:0");
    let first = start_from(&of_nobody.to_string());
    let told = Trace::default();
    told.record(&post(admin_address(&first), "/_upstreams/detach", "a"));
    drop(first);
    let (balancer, at) = start_with_admin_api_from(config(&known, discovery, 256));
    balancer.log.wait_for_prefix("discovery: endpoint 2353555337 is a", 2);
    told.record(&format!("used: {}", endpoints_used(&balancer, &trace, 0)));
    told.record(&post(at, "/_upstreams/attach", "a"));
    told.record(&format!("used: {}", endpoints_used(&balancer, &trace, 10)));
    told.assert_matches(expect![[r#"
        200
        used: B
        200
        used: A B
    "#]]);
}

#[test]
fn invalid_admin_calls_are_rejected_without_effect() {
    let trace = Trace::default();
    let (balancer, at) = start_with_admin_api(&two_endpoints(&trace));
    // More of them than there is room for, and each says nothing.
    let silent: Vec<TcpStream> = (0..12).map(|_| TcpStream::connect(at).unwrap()).collect();
    let told = Trace::default();
    let long = "a".repeat(2000);
    for (path, body) in [
        ("/_upstreams/detach", "nobody"),
        ("/_upstreams/attach", "nobody"),
        ("/_upstreams/detach", ""),
        ("/_upstreams/detach", "a b"),
        ("/_upstreams/detach", "a,b"),
        ("/_upstreams/detach", &long),
        ("/_upstreams/else", "a"),
        ("/_vars", "a"),
    ] {
        told.record(&format!("POST {path} of {}: {}", body.len(), post(at, path, body)));
    }
    for path in ["/_ready", "/_upstreams/detach", "/", "/-/ready"] {
        told.record(&format!("GET {path}: {}", status(&get(at, path))));
    }
    told.record(&format!("garbage: {}", status(&call(at, "garbage\r\n\r\n"))));
    // A head without end is closed in a bounded time.
    let mut endless = TcpStream::connect(at).unwrap();
    endless.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    endless.write_all(b"GET /_ready HTTP/1.1\r\nHost: o").unwrap();
    told.record(&format!("endless: {:?} bytes", endless.read(&mut [0]).unwrap()));
    told.record(&format!("used: {}", endpoints_used(&balancer, &trace, 0)));
    drop(silent);
    told.assert_matches(expect![[r#"
        POST /_upstreams/detach of 6: 404
        POST /_upstreams/attach of 6: 404
        POST /_upstreams/detach of 0: 400
        POST /_upstreams/detach of 3: 400
        POST /_upstreams/detach of 3: 400
        POST /_upstreams/detach of 2000: 400
        POST /_upstreams/else of 1: 404
        POST /_vars of 1: 405
        GET /_ready: 200
        GET /_upstreams/detach: 405
        GET /: 404
        GET /-/ready: 404
        garbage: 400
        endless: 0 bytes
        used: A B
    "#]]);
}

fn socket_count(balancer: &Balancer) -> usize {
    let held = std::fs::read_dir(format!("/proc/{}/fd", balancer.process.id())).unwrap();
    let links = held.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    links.filter(|link| link.to_string_lossy().starts_with("socket:")).count()
}

/// Guards against callers that say nothing and take all descriptors: of more than eight the oldest goes, at once.
#[test]
fn admin_connections_are_bounded() {
    let trace = Trace::default();
    let (balancer, at) = start_with_admin_api(&two_endpoints(&trace));
    let before = socket_count(&balancer);
    let silent: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(at).unwrap()).collect();
    // Behind them in the queue: when it is answered, all of them have been seen.
    assert_eq!(status(&get(at, "/_ready")), "200");
    let held = socket_count(&balancer) - before;
    assert!(held <= 12, "{held} callers are held");
    drop(silent);
}

/// Each way in which a request can end counts once: drawn runs, and what the clients saw beside what the figures say.
#[test]
fn metrics_match_what_clients_saw() {
    let mut told = String::new();
    for seed in 0..4_u64 {
        let trace = Trace::default();
        let (balancer, at) = start_with_admin_api(&two_endpoints(&trace));
        let mut rng = doorproxy::rng::Pcg::new(seed);
        let mut seen: BTreeMap<String, i64> = BTreeMap::new();
        for id in 0..40 {
            let paths = ["", "fail", "decline", "break", "cut", "long", "else", "//"];
            let path = paths[rng.next_u32() as usize % paths.len()];
            let category = ["look", "buy", "nonsense"][rng.next_u32() as usize % 3];
            let mut client = Client::new(&balancer);
            let head = request_headers(&id.to_string(), category);
            if rng.next_u32().is_multiple_of(8) {
                client.send(&format!("POST /{path} HTTP/1.1\r\n{head}Content-Length: 9\r\n\r\nhalf"));
                client.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
            } else {
                client.send(&format!("GET /{path} HTTP/1.1\r\n{head}\r\n"));
            }
            let Some(answer) = read_message(&mut client.0) else { continue };
            let ending = match status(&answer).as_str() {
                "200" => "answered",
                "503" | "429" => "deferred",
                _ => "errored",
            };
            *seen.entry(format!("{ending}.{category}")).or_default() += 1;
        }
        let figures = metrics(at);
        for (name, count) in figures.iter().filter(|(name, _)| name.contains('.')) {
            assert_eq!(*count, seen.get(name).copied().unwrap_or(0), "{name} of seed {seed}");
        }
        let pushed = trace.0.0.lock().unwrap().lines().filter(|line| line.contains(" id ")).count();
        assert_eq!((figures["sends"], figures["current"]), (pushed as i64, 0), "seed {seed}");
        told += &format!("{}\n", seen.keys().map(String::as_str).collect::<Vec<_>>().join(" "));
    }
    // Or it would have counted nothing.
    assert!(
        ["answered.look", "deferred.buy", "errored.look", "errored.buy"]
            .iter()
            .all(|name| told.contains(name)),
        "{told}"
    );
}

#[test]
fn unusable_admin_address_fails_start_in_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    let mut said = String::new();
    for control in [json!("here"), json!(taken), json!(5)] {
        let mut config = config(&[], closing_service(), 256);
        config["control"] = control;
        let ended = spawn_balancer(&config.to_string(), None).0.wait_with_output().unwrap();
        let line = String::from_utf8(ended.stderr).unwrap().replace(&taken, "TAKEN");
        let line = line.rsplit_once(".json: ").map_or(line.trim_end(), |(_, fault)| fault.trim_end());
        said += &format!("{:?} {line}\n", ended.status.code());
    }
    let mut same = config(&[], closing_service(), 256);
    (same["listen"], same["control"]) = (json!("127.0.0.1:1"), json!("127.0.0.1:1"));
    let ended = spawn_balancer(&same.to_string(), None).0.wait_with_output().unwrap();
    said += &format!("{:?} {}", ended.status.code(), String::from_utf8(ended.stderr).unwrap());
    expect![[r#"
        Some(1) invalid socket address syntax at line 1 column 17
        Some(1) doorproxy: control TAKEN: Address already in use (os error 98)
        Some(1) invalid type: integer `5`, expected socket address at line 1 column 12
        Some(1) doorproxy: control: 127.0.0.1:1 is also the listen address; expected another address
    "#]]
    .assert_eq(&said);
}

/// Guards against calls that wait for the tasks that serve requests: here nothing ever runs these.
#[test]
fn admin_calls_are_answered_while_data_path_is_stalled() {
    let trace = Trace::default();
    let given =
        Arc::new(config::parse(&config(&two_endpoints(&trace), closing_service(), 256).to_string()).unwrap());
    let world = SystemRuntime::start();
    let parts = assembly::assemble(&world, &given);
    let folder = std::env::temp_dir().join(format!("doorproxy-busy-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let operators = parts.admin_api(&world, Arc::new(FileStore::for_balancer(&folder, &given.name)));
    discovery::apply_list(
        &world,
        &mut parts.discovery.lock().unwrap(),
        &parts.dispatcher,
        &parts.upstream_client,
        &given.known_endpoints,
    );
    let (listens, listening) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = world.listen("127.0.0.1:0".parse().unwrap(), 1 << 16, 8).unwrap();
            listens.send(listener.local_addr().unwrap()).unwrap();
            admin::serve(listener, operators).await;
        });
    });
    let at = listening.recv().unwrap();
    let told = Trace::default();
    told.record(&format!("ready: {}", status(&get(at, "/_ready"))));
    told.record(&format!("out: {}", post(at, "/_upstreams/detach", "a")));
    told.record(&format!("avoided: {}", metrics(at)["cluster_unhealthy"]));
    told.record(&format!("back: {}", post(at, "/_upstreams/attach", "a")));
    told.record(&format!("avoided: {}", metrics(at)["cluster_unhealthy"]));
    std::fs::remove_dir_all(folder).unwrap();
    told.assert_matches(expect![[r#"
        ready: 503
        out: 200
        avoided: 1
        back: 200
        avoided: 0
    "#]]);
}
