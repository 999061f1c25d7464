//! Permits through real processes: two balancers must not let their callers act at the same time.

mod common;

use std::net::SocketAddr;
use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use common::admin::call_permit;
use common::platform::{Platform, peers_section};
use common::*;
use serde_json::json;

/// The length of a lease. It is longer than the 5 s for which a balancer requests a permit without `--keep`.
const LEASE: Duration = Duration::from_secs(8);
/// How long a caller waits for a permit before the test fails: the replicas' grace period, one lease, and
/// time for a busy machine.
const MAX_WAIT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A balancer and the address of its admin API.
struct Node {
    admin: SocketAddr,
    _balancer: Balancer,
    _platform: Platform,
}

fn start_fleet(permits: &[&str]) -> Vec<Node> {
    let permits = permits.iter().map(|name| format!("{name} = 1")).collect::<Vec<_>>().join(", ");
    let options = format!("[leases]\nlength = \"{}s\"\npermits = {{ {permits} }}\n", LEASE.as_secs());
    let addresses = [0, 1, 2].map(|ordinal| peer_address(0, ordinal));
    let start = |ordinal| {
        let mut config = config(&[], closing_service(), 256);
        config["name"] = json!(format!("n{ordinal}"));
        let platform = Platform::with_fleet(config, |key| peers_section(key, addresses, ordinal, &options));
        let (balancer, admin) = platform.start();
        Node { admin, _balancer: balancer, _platform: platform }
    };
    (0..addresses.len()).map(start).collect()
}

/// The time at which a caller got its answer that it holds a permit, and until when it may act.
struct Holding {
    answered_at: Instant,
    until: Instant,
}

/// Asks for a permit until the caller is granted a time.
fn acquire(node: &Node, body: &str) -> Holding {
    let began = Instant::now();
    loop {
        let called_at = Instant::now();
        let answer = call_permit(node.admin, "take", body).unwrap();
        let answered_at = Instant::now();
        if answer["held"] == true {
            let granted = Duration::from_secs_f64(answer["for_s"].as_f64().unwrap());
            return Holding { answered_at, until: called_at + granted };
        }
        assert!(began.elapsed() < MAX_WAIT, "{body}: not acquired: {answer}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Runs `doorproxy permit` and returns what it prints.
fn run_permit_command(node: &Node, arguments: &[&str]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_doorproxy"));
    let output =
        command.arg("permit").args(arguments).arg("--at").arg(node.admin.to_string()).output().unwrap();
    String::from_utf8(output.stdout).unwrap()
}

/// Prevents the release of a permit before the end of the granted time: at the end of `--keep` or of 5 s
/// without it, when another caller of the balancer asks for a shorter time, or when that one gives it back.
#[test]
fn permit_lasts_as_long_as_was_granted_to_each_caller() {
    let nodes = start_fleet(&["alone", "shorter", "shared", "command"]);
    let check = |name: &str, others: fn(&Node, &str), holding: fn(&Node, &str) -> Holding| {
        let first = holding(&nodes[0], name);
        others(&nodes[0], name);
        let second = acquire(&nodes[1], name);
        let overlap = first.until.saturating_duration_since(second.answered_at);
        assert!(overlap.is_zero(), "{name}: both callers may act for {overlap:?}");
    };
    thread::scope(|scope| {
        scope.spawn(|| check("alone", |_, _| {}, acquire));
        scope.spawn(|| check("shorter", ask_for_shorter, |node, name| acquire(node, &format!("{name} 12"))));
        scope.spawn(|| check("shared", share_and_give_back, acquire));
        scope.spawn(|| check("command", |_, _| {}, acquire_by_command));
    });
}

/// Has a second caller ask for the same permit, without `--keep`.
fn ask_for_shorter(node: &Node, name: &str) {
    acquire(node, name);
}

/// Has a second caller act under the same permit and give it back.
fn share_and_give_back(node: &Node, name: &str) {
    acquire(node, name);
    run_permit_command(node, &[name, "--back"]);
}

fn acquire_by_command(node: &Node, name: &str) -> Holding {
    let called_at = Instant::now();
    let wait = MAX_WAIT.as_secs().to_string();
    let printed = run_permit_command(node, &[name, "--wait", &wait]);
    let answered_at = Instant::now();
    let seconds = printed.rsplit_once(", ").and_then(|(_, rest)| rest.split_once(" s left")).unwrap().0;
    Holding { answered_at, until: called_at + Duration::from_secs_f64(seconds.parse().unwrap()) }
}
