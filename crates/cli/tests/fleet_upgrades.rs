//! Seeded runs of a small fleet whose registry replicas are upgraded, killed and stopped, while callers take its
//! permit and clients exceed its limit. Callers of two balancers must never act at once, and the endpoint must
//! never get more than the limit's bound. `DOORPROXY_SEEDS` sets the number of runs.

mod common;

use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::admin::call_permit;
use common::platform::{Platform, peers_section};
use common::*;
use doorproxy::ids::Ticks;
use doorproxy::rng::Pcg;
use doorproxy_model_checker::seed_count;
use doorproxy_quotas::rules::{OvershootBound, QuotaRules, RateLimit};
use serde_json::json;

const BALANCERS: usize = 3;
/// The length of the leases of permits and of quota allocators, of `drift` below.
const LEASE_S: f64 = 1.0;
const DRIFT: f64 = 0.05;
const CONTACT_TIMEOUT_S: f64 = 0.5;
/// The limit of the only tenant in requests per second, and its burst.
const RATE: f64 = 40.0;
const BURST: f64 = 8.0;
/// How often each balancer's client sends a request. Together they exceed the limit.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
const POLL_INTERVAL: Duration = Duration::from_millis(40);
const CHANGES_PER_RUN: usize = 3;
const DEFAULT_SEEDS: u64 = 4;
const MAX_PARALLEL_RUNS: usize = 8;

/// A caller at a balancer. Of two, one gives its name.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Caller {
    balancer: usize,
    is_named: bool,
}

impl Caller {
    fn name(self) -> &'static str {
        if self.is_named { "named" } else { "" }
    }
}

/// A time that a caller was granted, until then or until it gave the permit back.
#[derive(Clone, Copy, Debug)]
struct Holding {
    caller: Caller,
    from: Instant,
    until: Instant,
}

/// A request that a balancer admitted at some time between these two.
#[derive(Clone, Copy, Debug)]
struct AdmittedRequest {
    sent_at: Instant,
    arrived_at: Instant,
}

/// What was seen from outside.
#[derive(Default)]
struct Observations {
    holdings: Mutex<Vec<Holding>>,
    sent_at: Mutex<BTreeMap<String, Instant>>,
    admitted: Mutex<Vec<AdmittedRequest>>,
}

impl Observations {
    /// Ends the times of a caller that gives the permit back. A call without a name ends only its own.
    fn end_holdings(&self, caller: Caller, from: Instant) {
        let now = Instant::now();
        for holding in self.holdings.lock().unwrap().iter_mut() {
            if holding.caller == caller && (caller.is_named || holding.from == from) {
                holding.until = holding.until.min(now);
            }
        }
    }

    fn record_arrival(&self, id: &str) {
        let arrived_at = Instant::now();
        let sent_at = self.sent_at.lock().unwrap()[id];
        self.admitted.lock().unwrap().push(AdmittedRequest { sent_at, arrived_at });
    }
}

/// The balancers of a run. The newest process of each is the last, and callers use the admin API of the oldest.
struct Fleet {
    platforms: Vec<Platform>,
    processes: Vec<Mutex<VecDeque<(Balancer, SocketAddr)>>>,
    observations: Arc<Observations>,
    is_over: AtomicBool,
}

fn random_duration(rng: &mut Pcg, max_s: f64) -> Duration {
    Duration::from_secs_f64(rng.next_f64() * max_s)
}

impl Fleet {
    fn start(group: u16) -> Fleet {
        let observations = Arc::new(Observations::default());
        let endpoint = recording_endpoint(observations.clone());
        let addresses = [0, 1, 2].map(|ordinal| peer_address(group, ordinal));
        let platforms: Vec<Platform> =
            (0..BALANCERS).map(|ordinal| platform(ordinal, addresses, endpoint)).collect();
        let processes =
            platforms.iter().map(|platform| Mutex::new(VecDeque::from([platform.start()]))).collect();
        Fleet { platforms, processes, observations, is_over: AtomicBool::new(false) }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn admin(&self, balancer: usize) -> Option<SocketAddr> {
        self.processes[balancer].lock().unwrap().front().map(|(_, admin)| *admin)
    }

    /// Upgrades a balancer, or ends it and starts it again.
    fn change_process(&self, balancer: usize, rng: &mut Pcg) {
        let platform = &self.platforms[balancer];
        let is_upgrade = rng.next_f64() < 0.75;
        if is_upgrade {
            let successor = platform.start();
            self.processes[balancer].lock().unwrap().push_back(successor);
            thread::sleep(random_duration(rng, 3.5));
        }
        let (old, _) = self.processes[balancer].lock().unwrap().pop_front().unwrap();
        match rng.next_f64() {
            unit if unit < 0.5 => old.terminate(),
            unit if unit < 0.75 => drop(old),
            _ => {
                old.signal("STOP");
                thread::sleep(random_duration(rng, 0.5));
                drop(old);
            }
        }
        if !is_upgrade {
            thread::sleep(random_duration(rng, 0.5));
            let restarted = platform.start();
            self.processes[balancer].lock().unwrap().push_back(restarted);
        }
    }

    /// Takes the permit again and again, for random times of renewal, and ends each call in a random way.
    fn run_caller(&self, caller: Caller, mut rng: Pcg) {
        let name = caller.name();
        while !self.is_over() {
            thread::sleep(POLL_INTERVAL);
            let Some(admin) = self.admin(caller.balancer) else { continue };
            let renewal_s = if rng.next_f64() < 0.5 { 0.0 } else { rng.next_f64() };
            let called_at = Instant::now();
            let Some(answer) = call_permit(admin, "take", &format!("task {renewal_s} {name}")) else {
                continue;
            };
            let from = Instant::now();
            let Some(granted) = answer["for_s"].as_f64() else {
                if rng.next_f64() < 0.1 {
                    call_permit(admin, "cancel", &format!("task 0 {name}"));
                }
                continue;
            };
            let until = called_at + Duration::from_secs_f64(granted);
            self.observations.holdings.lock().unwrap().push(Holding { caller, from, until });
            if rng.next_f64() < 0.5 {
                thread::sleep(random_duration(&mut rng, 0.5));
                self.observations.end_holdings(caller, from);
                call_permit(admin, "back", &format!("task 0 {name}"));
            }
            thread::sleep(random_duration(&mut rng, 1.5));
        }
    }

    /// Sends requests to a balancer, whatever becomes of them.
    fn run_client(&self, balancer: usize) {
        let address = self.platforms[balancer].address();
        let mut number = 0;
        while !self.is_over() {
            thread::sleep(REQUEST_INTERVAL);
            number += 1;
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let id = format!("{balancer}-{number}");
            let head = request_headers(&id, "look").replace("Req-Key: k\r\n", "");
            self.observations.sent_at.lock().unwrap().insert(id, Instant::now());
            let _ = write!(stream, "GET / HTTP/1.1\r\n{head}Connection: close\r\n\r\n");
            read_message(&mut BufReader::new(stream));
        }
    }
}

fn recording_endpoint(observations: Arc<Observations>) -> SocketAddr {
    listen(move |mut stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            observations.record_arrival(request.field("req-id").unwrap());
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwell").is_err() {
                return;
            }
        }
    })
}

fn platform(ordinal: usize, addresses: [SocketAddr; BALANCERS], endpoint: SocketAddr) -> Platform {
    let mut config = config(&[endpoint_entry("a", endpoint, "active")], closing_service(), 256);
    config["name"] = json!(format!("n{ordinal}"));
    config["settings"]["n_instances"] = json!(BALANCERS);
    config["settings"]["ordinal"] = json!(ordinal);
    // Each request is sent once, so that what arrives is what the limit admitted.
    config["settings"]["limits"]["max_pushes"] = json!(1);
    config["settings"]["limits"]["second_copies"] = json!(false);
    let options = format!(
        "cut_after = \"1s\"\ndrift = {DRIFT}\n[leases]\nlength = \"{LEASE_S}s\"\npermits = {{ task = 1 }}\n\
         [limits]\nlength = \"{CONTACT_TIMEOUT_S}s\"\nlease = \"{LEASE_S}s\"\n\
         tenants = {{ acme = {{ rate = {RATE:?}, burst = {BURST:?}, strict = true }} }}\n"
    );
    Platform::with_fleet(config, |key| peers_section(key, addresses, ordinal, &options))
}

/// Returns two callers of different balancers that acted at once, if there are any.
fn overlap(holdings: &[Holding]) -> Option<String> {
    for (index, one) in holdings.iter().enumerate() {
        for other in &holdings[..index] {
            let both = one.until.min(other.until).saturating_duration_since(one.from.max(other.from));
            if one.caller.balancer != other.caller.balancer && !both.is_zero() {
                return Some(format!("{:?} and {:?} act at once for {both:?}", one.caller, other.caller));
            }
        }
    }
    None
}

/// Returns the bound of the requests admitted in any window, with no balancer disconnected: a strict one admits
/// nothing then.
fn bound() -> OvershootBound {
    let rules = QuotaRules {
        limits: Default::default(),
        shard_count: BALANCERS as u16,
        contact_timeout: Ticks::from_secs_f64(CONTACT_TIMEOUT_S),
        clock_drift_ratio: DRIFT,
    };
    let limit = RateLimit { name: String::new(), rate: RATE, burst: BURST, fallback_rate: None };
    rules.overshoot_bound(&limit, 0)
}

/// Returns a window in which more requests were sent and arrived than the bound allows, if there is one.
fn excess(admitted: &[AdmittedRequest]) -> Option<String> {
    let OvershootBound { burst, excess_rate } = bound();
    admitted.iter().find_map(|&AdmittedRequest { sent_at: from, .. }| {
        let mut within: Vec<Instant> = admitted
            .iter()
            .filter(|request| request.sent_at >= from)
            .map(|request| request.arrived_at)
            .collect();
        within.sort_unstable();
        within.iter().enumerate().find_map(|(index, to)| {
            let (count, window) = (index + 1, (*to - from).as_secs_f64());
            let is_excess = count as f64 > burst + (RATE + excess_rate) * window;
            is_excess.then(|| format!("{count} requests were admitted within {window:.3} s"))
        })
    })
}

/// Returns the violation of a run, if there is one.
fn run(seed: u64) -> Option<String> {
    let mut rng = Pcg::new(seed);
    let fleet = Fleet::start(100 + (seed % 50_000) as u16);
    thread::scope(|scope| {
        for balancer in 0..BALANCERS {
            scope.spawn({
                let fleet = &fleet;
                move || fleet.run_client(balancer)
            });
            for is_named in [false, true] {
                let caller_rng = Pcg::new(seed << 8 | (balancer as u64) << 1 | u64::from(is_named));
                let fleet = &fleet;
                scope.spawn(move || fleet.run_caller(Caller { balancer, is_named }, caller_rng));
            }
        }
        thread::sleep(Duration::from_secs_f64(3.0 * LEASE_S));
        for _ in 0..CHANGES_PER_RUN {
            let balancer = (rng.next_f64() * BALANCERS as f64) as usize;
            fleet.change_process(balancer, &mut rng);
            thread::sleep(random_duration(&mut rng, 1.5));
        }
        thread::sleep(Duration::from_secs_f64(LEASE_S));
        fleet.is_over.store(true, Ordering::Relaxed);
    });
    let holdings = fleet.observations.holdings.lock().unwrap();
    let admitted = fleet.observations.admitted.lock().unwrap();
    println!("seed {seed}: {} holdings, {} requests admitted", holdings.len(), admitted.len());
    overlap(&holdings).or_else(|| excess(&admitted))
}

/// Prevents two holders of a permit, and an exceeded limit, over upgrades and restarts of registry replicas.
#[test]
fn permits_and_limits_hold_over_upgrades_of_replicas() {
    let seeds = seed_count(DEFAULT_SEEDS);
    let next_seed = Mutex::new(0..seeds);
    let violations = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let Some(seed) = next_seed.lock().unwrap().next() else { return };
                    let violation = run(seed);
                    violations.lock().unwrap().extend(violation.map(|violation| (seed, violation)));
                }
            });
        }
    });
    let violations = violations.into_inner().unwrap();
    assert!(violations.is_empty(), "{violations:#?}");
}
