//! The admin API of a running balancer: its calls, their effects, and the metrics that report them.

mod common;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

use common::admin::{admin_address, call_admin, send_to_admin, status};
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
    let admin = admin_address(&balancer.log);
    (balancer, admin)
}

fn call(admin: SocketAddr, request: &str) -> Message {
    send_to_admin(admin, request).expect("an answer")
}

fn post(admin: SocketAddr, path: &str, body: &str) -> String {
    status(&call_admin(admin, &format!("POST {path}"), body).expect("an answer"))
}

fn get(admin: SocketAddr, path: &str) -> Message {
    call(admin, &format!("GET {path} HTTP/1.1\r\nHost: o\r\n\r\n"))
}

fn metrics(admin: SocketAddr) -> BTreeMap<String, i64> {
    let text = get(admin, "/_vars").body;
    let metric = |line: &str| {
        let (name, value) = line.strip_prefix("edge_proxy.")?.split_once(':')?;
        Some((name.to_string(), value.split_once('|')?.0.parse().ok()?))
    };
    text.lines().map(|line| metric(line).unwrap_or_else(|| panic!("not a metric: {line}"))).collect()
}

fn two_endpoints(trace: &Trace) -> [Value; 2] {
    [
        endpoint_entry("a", test_endpoint("A", trace), "active"),
        endpoint_entry("b", test_endpoint("B", trace), "active"),
    ]
}

/// Sends ten requests and returns the names of the endpoints that received them.
fn endpoints_used(balancer: &Balancer, trace: &Trace, first_id: usize) -> String {
    let before = trace.0.0.lock().unwrap().len();
    (first_id..first_id + 10).for_each(|id| {
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

/// Detects a manual override that is lost when the balancer restarts.
#[test]
fn detached_endpoint_gets_no_requests_until_attached() {
    let trace = Trace::default();
    let known = two_endpoints(&trace);
    let (balancer, admin) = start_with_admin_api(&known);
    let report = Trace::default();
    let gauges = |report: &Trace, admin| {
        let values = metrics(admin);
        report
            .record(&format!("listed {} unhealthy {}", values["cluster_size"], values["cluster_unhealthy"]));
    };
    for body in ["a", " a\r\n"] {
        report.record(&format!("detach: {}", post(admin, "/_upstreams/detach", body)));
    }
    report.record(&format!("used: {}", endpoints_used(&balancer, &trace, 0)));
    gauges(&report, admin);
    // The next process of this balancer keeps the override, although the endpoint list says that a is ready.
    drop(balancer);
    let (balancer, admin) = start_with_admin_api(&known);
    report.record(&format!("used after restart: {}", endpoints_used(&balancer, &trace, 10)));
    report.record(&format!("attach: {}", post(admin, "/_upstreams/attach", "a")));
    report.record(&format!("attach again: {}", post(admin, "/_upstreams/attach", "a")));
    // Before a request: an endpoint that responds slowly, as on a busy machine, is ejected by outlier detection.
    gauges(&report, admin);
    report.record(&format!("used: {}", endpoints_used(&balancer, &trace, 20)));
    report.assert_matches(expect![[r#"
        detach: 200
        detach: 200
        used: B
        listed 2 unhealthy 1
        used after restart: B
        attach: 200
        attach again: 200
        listed 2 unhealthy 0
        used: A B
    "#]]);
}

/// Detects an endpoint list that ends a manual override: listing a detached endpoint as ready, even in
/// a newer version, does not attach it.
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
    let mut config_without_discovery = config(&known, closing_service(), 256);
    config_without_discovery["control"] = json!("127.0.0.1:0");
    let first = start_from(&config_without_discovery.to_string());
    let report = Trace::default();
    report.record(&post(admin_address(&first.log), "/_upstreams/detach", "a"));
    drop(first);
    let (balancer, admin) = start_with_admin_api_from(config(&known, discovery, 256));
    balancer.log.wait_for_prefix("discovery: endpoint 2353555337 is a", 2);
    report.record(&format!("used: {}", endpoints_used(&balancer, &trace, 0)));
    report.record(&post(admin, "/_upstreams/attach", "a"));
    report.record(&format!("used: {}", endpoints_used(&balancer, &trace, 10)));
    report.assert_matches(expect![[r#"
        200
        used: B
        200
        used: A B
    "#]]);
}

#[test]
fn invalid_admin_calls_are_rejected_without_effect() {
    let trace = Trace::default();
    let (balancer, admin) = start_with_admin_api(&two_endpoints(&trace));
    // More idle connections than the admin API holds open.
    let idle: Vec<TcpStream> = (0..12).map(|_| TcpStream::connect(admin).unwrap()).collect();
    let report = Trace::default();
    let long = "a".repeat(2000);
    for (path, body) in [
        ("/_upstreams/detach", "absent"),
        ("/_upstreams/attach", "absent"),
        ("/_upstreams/detach", ""),
        ("/_upstreams/detach", "a b"),
        ("/_upstreams/detach", "a,b"),
        ("/_upstreams/detach", &long),
        ("/_upstreams/else", "a"),
        ("/_vars", "a"),
    ] {
        report.record(&format!("POST {path} of {}: {}", body.len(), post(admin, path, body)));
    }
    for path in ["/_ready", "/_upstreams/detach", "/", "/-/ready"] {
        report.record(&format!("GET {path}: {}", status(&get(admin, path))));
    }
    report.record(&format!("garbage: {}", status(&call(admin, "garbage\r\n\r\n"))));
    // A connection whose head never ends is closed after a bounded time.
    let mut endless = TcpStream::connect(admin).unwrap();
    endless.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    endless.write_all(b"GET /_ready HTTP/1.1\r\nHost: o").unwrap();
    report.record(&format!("endless: {:?} bytes", endless.read(&mut [0]).unwrap()));
    report.record(&format!("used: {}", endpoints_used(&balancer, &trace, 0)));
    drop(idle);
    report.assert_matches(expect![[r#"
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
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", balancer.process.id())).unwrap();
    let links = descriptors.flatten().filter_map(|entry| std::fs::read_link(entry.path()).ok());
    links.filter(|link| link.to_string_lossy().starts_with("socket:")).count()
}

/// Checks that idle callers can't use up all descriptors: with more than eight connections, the admin API
/// closes the oldest at once.
#[test]
fn admin_connections_are_bounded() {
    let trace = Trace::default();
    let (balancer, admin) = start_with_admin_api(&two_endpoints(&trace));
    let before = socket_count(&balancer);
    let idle: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(admin).unwrap()).collect();
    // This call comes last in the accept queue, so its answer shows that all the others have been accepted.
    assert_eq!(status(&get(admin, "/_ready")), "200");
    let open = socket_count(&balancer) - before;
    assert!(open <= 12, "{open} admin connections are open");
    drop(idle);
}

/// Detects requests that are counted twice or not at all: compares the metrics of random requests with
/// the answers that the clients got.
#[test]
fn metrics_match_what_clients_saw() {
    let mut outcomes = String::new();
    for seed in 0..4_u64 {
        let trace = Trace::default();
        // A hedged attempt that is cancelled before its endpoint has read it would be counted by the balancer alone.
        let mut config = config(&two_endpoints(&trace), closing_service(), 256);
        config["settings"]["limits"]["second_copies"] = json!(false);
        let (balancer, admin) = start_with_admin_api_from(config);
        let mut rng = doorproxy::rng::Pcg::new(seed);
        let mut seen: BTreeMap<String, i64> = BTreeMap::new();
        for id in 0..40 {
            let paths = ["", "fail", "decline", "break", "cut", "long", "else", "//"];
            let path = paths[rng.next_u32() as usize % paths.len()];
            let category = ["look", "buy", "nonsense"][rng.next_u32() as usize % 3];
            let mut client = Client::new(&balancer);
            // An endpoint that begins a long response and stops is waited for until the deadline.
            let head = request_headers(&id.to_string(), category).replace("30000", "1000");
            if rng.next_u32().is_multiple_of(8) {
                client.send(&format!("POST /{path} HTTP/1.1\r\n{head}Content-Length: 9\r\n\r\nhalf"));
                client.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
            } else {
                client.send(&format!("GET /{path} HTTP/1.1\r\n{head}\r\n"));
            }
            let Some(answer) = read_message(&mut client.0) else { continue };
            let outcome = match status(&answer).as_str() {
                "200" => "answered",
                "503" | "429" => "deferred",
                _ => "errored",
            };
            *seen.entry(format!("{outcome}.{category}")).or_default() += 1;
        }
        // A client has its last byte a moment before the balancer counts the request as finished.
        wait_until("the end of the last request", || metrics(admin)["current"] == 0);
        let values = metrics(admin);
        for (name, count) in values.iter().filter(|(name, _)| name.contains('.')) {
            assert_eq!(*count, seen.get(name).copied().unwrap_or(0), "{name} of seed {seed}");
        }
        let sent = trace.0.0.lock().unwrap().lines().filter(|line| line.contains(" id ")).count();
        assert_eq!((values["sends"], values["current"]), (sent as i64, 0), "seed {seed}");
        outcomes += &format!("{}\n", seen.keys().map(String::as_str).collect::<Vec<_>>().join(" "));
    }
    // Checks that the random requests covered these outcomes, since the test would otherwise prove nothing.
    assert!(
        ["answered.look", "deferred.buy", "errored.look", "errored.buy"]
            .iter()
            .all(|name| outcomes.contains(name)),
        "{outcomes}"
    );
}

#[test]
fn unusable_admin_address_fails_start_in_one_line() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap().to_string();
    let mut report = String::new();
    for control in [json!("here"), json!(taken), json!(5)] {
        let mut config = config(&[], closing_service(), 256);
        config["control"] = control;
        let output = spawn_balancer(&config.to_string(), None).0.wait_with_output().unwrap();
        let line = String::from_utf8(output.stderr).unwrap().replace(&taken, "TAKEN");
        let line = line.rsplit_once(".json: ").map_or(line.trim_end(), |(_, error)| error.trim_end());
        report += &format!("{:?} {line}\n", output.status.code());
    }
    let mut same = config(&[], closing_service(), 256);
    (same["listen"], same["control"]) = (json!("127.0.0.1:1"), json!("127.0.0.1:1"));
    let output = spawn_balancer(&same.to_string(), None).0.wait_with_output().unwrap();
    report += &format!("{:?} {}", output.status.code(), String::from_utf8(output.stderr).unwrap());
    expect![[r#"
        Some(1) invalid socket address syntax at line 1 column 17
        Some(1) doorproxy: control TAKEN: Address already in use (os error 98)
        Some(1) invalid type: integer `5`, expected socket address at line 1 column 12
        Some(1) doorproxy: control: 127.0.0.1:1 is also the listen address; expected another address
    "#]]
    .assert_eq(&report);
}

/// Detects admin calls that wait for the tasks that serve requests: in this test those tasks never
/// run.
#[test]
fn admin_calls_are_answered_while_data_path_is_stalled() {
    let trace = Trace::default();
    let parsed_config =
        Arc::new(config::parse(&config(&two_endpoints(&trace), closing_service(), 256).to_string()).unwrap());
    let system_runtime = SystemRuntime::start();
    let parts = assembly::assemble(&system_runtime, &parsed_config);
    let folder = std::env::temp_dir().join(format!("doorproxy-busy-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let admin_api =
        parts.admin_api(&system_runtime, Arc::new(FileStore::for_balancer(&folder, &parsed_config.name)));
    discovery::apply_list(
        &system_runtime,
        &mut parts.discovery.lock().unwrap(),
        &parts.dispatcher,
        &parts.upstream_client,
        &parsed_config.known_endpoints,
    );
    let (address_sender, address_receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async move {
            let listener = system_runtime.listen("127.0.0.1:0".parse().unwrap(), 1 << 16, 8).unwrap();
            address_sender.send(listener.local_addr().unwrap()).unwrap();
            admin::serve(listener, admin_api).await;
        });
    });
    let admin = address_receiver.recv().unwrap();
    let report = Trace::default();
    report.record(&format!("ready: {}", status(&get(admin, "/_ready"))));
    report.record(&format!("detach: {}", post(admin, "/_upstreams/detach", "a")));
    report.record(&format!("unhealthy: {}", metrics(admin)["cluster_unhealthy"]));
    report.record(&format!("attach: {}", post(admin, "/_upstreams/attach", "a")));
    report.record(&format!("unhealthy: {}", metrics(admin)["cluster_unhealthy"]));
    std::fs::remove_dir_all(folder).unwrap();
    report.assert_matches(expect![[r#"
        ready: 503
        detach: 200
        unhealthy: 1
        attach: 200
        unhealthy: 0
    "#]]);
}
