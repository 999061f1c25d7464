//! Checks fault reports over links that delay, duplicate and lose messages, and reporters that are wrong,
//! that report all endpoints, or that repeat each other.

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::Pcg;
use doorproxy_fleet_health::fault_reports::{
    AttributedReport, EndpointIncarnation, Message, ReportClient, ReportCollector,
};
use doorproxy_membership::message::NodeId;

const REPORT_LIFETIME: Ticks = Ticks(50_000);
const COLLECTOR: NodeId = NodeId(99);

fn incarnation(name: &str) -> EndpointIncarnation {
    EndpointIncarnation { name: name.to_string(), started_ms: 0 }
}

fn report_client(zone: u64) -> ReportClient {
    ReportClient::new(Timestamp(0), 1, REPORT_LIFETIME, NodeId(zone), vec![COLLECTOR])
}

/// Sends one balancer's request to the collector; the response arrives at once.
fn exchange(now: Timestamp, node: u64, client: &mut ReportClient, collector: &mut ReportCollector) {
    for request in client.tick(now).outgoing {
        if let Some(response) = collector.respond(now, REPORT_LIFETIME, NodeId(node), &request.message) {
            client.on_response(now, NodeId(node), COLLECTOR, &response);
        }
    }
}

fn suspected_names(client: &mut ReportClient, now: Timestamp, endpoint_count: usize) -> Vec<String> {
    client.suspected_endpoints(now, endpoint_count).into_iter().map(|suspect| suspect.endpoint.name).collect()
}

/// Describes a reporter in a zone and the endpoints that it reports.
struct Reporter<'a> {
    zone: u64,
    endpoints: &'a [&'a str],
}

fn reporter<'a>(zone: u64, endpoints: &'a [&'a str]) -> Reporter<'a> {
    Reporter { zone, endpoints }
}

/// Returns the endpoints that another balancer suspects after these reporters have reported, one after the
/// other.
fn suspected_by_reporters(reporters: &[Reporter], endpoint_count: usize) -> Vec<String> {
    let mut collector = ReportCollector::default();
    for round in 1..4 {
        for (index, Reporter { zone, endpoints }) in reporters.iter().enumerate() {
            let zone = NodeId(*zone);
            let mut client = ReportClient::new(Timestamp(0), round, REPORT_LIFETIME, zone, vec![COLLECTOR]);
            let now = Timestamp(round as i64 * 10_000);
            // The first response carries the number that dates the second request.
            exchange(now, index as u64, &mut client, &mut collector);
            client.set_own_evidence(endpoints.iter().map(|name| (incarnation(name), now)));
            exchange(now + Ticks(6_000), index as u64, &mut client, &mut collector);
        }
    }
    let mut observer = report_client(0);
    exchange(Timestamp(40_000), 50, &mut observer, &mut collector);
    suspected_names(&mut observer, Timestamp(40_000), endpoint_count)
}

#[test]
fn an_endpoint_is_suspected_by_two_credible_reporters() {
    let one = || reporter(0, &["u1"]);
    assert_eq!(suspected_by_reporters(&[one()], 10), [""; 0]);
    assert_eq!(suspected_by_reporters(&[one(), one()], 10), ["u1"]);
    // Reporters of too many endpoints have no vote, neither alone nor together.
    let all = |zone| reporter(zone, &["u0", "u1", "u2", "u3", "u4"]);
    assert_eq!(suspected_by_reporters(&[all(0), one()], 10), [""; 0]);
    assert_eq!(suspected_by_reporters(&[all(0), all(1), all(0)], 10), [""; 0]);
    // At most a quarter of the endpoints are suspected.
    let three = |zone| reporter(zone, &["u1", "u2", "u3"]);
    assert_eq!(suspected_by_reporters(&[three(0), three(0), three(1)], 10).len(), 2);
}

/// A reporter that is often wrong must lose its influence.
#[test]
fn a_reporter_loses_trust_when_wrong_and_gains_it_when_right() {
    let mut collector = ReportCollector::default();
    let mut reporter = report_client(0);
    let mut observer = report_client(0);
    let mut suspected_counts = Vec::new();
    for round in 1..=6 {
        let now = Timestamp(round * 100_000);
        exchange(now, 1, &mut reporter, &mut collector);
        reporter.set_own_evidence([(incarnation("u1"), now)]);
        exchange(now + Ticks(6_000), 1, &mut reporter, &mut collector);
        let now = now + Ticks(7_000);
        exchange(now, 50, &mut observer, &mut collector);
        suspected_counts.push(suspected_names(&mut observer, now, 10).len());
        // The reporter is right three times, and then wrong.
        observer.record_outcome(&incarnation("u1"), round <= 3);
    }
    // Its report alone is enough after it was right several times, and no longer after it was wrong.
    assert_eq!(suspected_counts, [0, 0, 0, 1, 0, 0]);
    assert!(observer.trust_in(NodeId(1)) < 0.2);
}

const REPORTER: usize = 0;
const OBSERVER: usize = 1;

struct InFlight {
    arrives_at: i64,
    /// Holds the index of the sending or receiving balancer; the other side is the collector.
    balancer: usize,
    message: Message,
}

/// Simulates a reporter that finds evidence now and then, and an observer, over links that delay and
/// duplicate messages.
struct DelayedExchange {
    seed: u64,
    rng: Pcg,
    collector: ReportCollector,
    clients: [ReportClient; 2],
    in_flight: Vec<InFlight>,
    evidence_at: Option<Timestamp>,
}

impl DelayedExchange {
    fn new(seed: u64) -> DelayedExchange {
        DelayedExchange {
            seed,
            rng: Pcg::new(seed),
            collector: ReportCollector::default(),
            clients: [report_client(0), report_client(1)],
            in_flight: Vec::new(),
            evidence_at: None,
        }
    }

    fn step(&mut self, now: Timestamp) {
        if self.rng.next_f64() < 0.02 {
            self.evidence_at = Some(now);
        }
        let evidence = self.evidence_at.map(|found_at| (incarnation("u1"), found_at));
        self.clients[REPORTER].set_own_evidence(evidence);
        for balancer in [REPORTER, OBSERVER] {
            for request in self.clients[balancer].tick(now).outgoing {
                let copies = 1 + usize::from(self.rng.next_f64() < 0.1);
                for _ in 0..copies {
                    self.send(now, balancer, request.message.clone());
                }
            }
        }
        self.deliver_due(now);
    }

    fn send(&mut self, now: Timestamp, balancer: usize, message: Message) {
        let max_delay = if self.rng.next_f64() < 0.1 { 100_000.0 } else { 3_000.0 };
        let arrives_at = now.0 + (self.rng.next_f64() * max_delay) as i64;
        self.in_flight.push(InFlight { arrives_at, balancer, message });
    }

    fn deliver_due(&mut self, now: Timestamp) {
        let in_flight = std::mem::take(&mut self.in_flight);
        let (due, rest): (Vec<InFlight>, Vec<InFlight>) =
            in_flight.into_iter().partition(|sent| sent.arrives_at <= now.0);
        self.in_flight = rest;
        for InFlight { balancer, message, .. } in due {
            let node = NodeId(balancer as u64);
            match message {
                Message::Request { .. } => {
                    let response = self.collector.respond(now, REPORT_LIFETIME, node, &message);
                    if let Some(response) = response {
                        self.send(now, balancer, response);
                    }
                }
                Message::Response { .. } => {
                    self.clients[balancer].on_response(now, node, COLLECTOR, &message);
                }
            }
        }
    }

    /// Checks all reports at the observer, and returns the age of the oldest evidence that is used.
    fn check(&self, now: Timestamp) -> Ticks {
        let mut oldest = Ticks::ZERO;
        for report in self.clients[OBSERVER].received_reports(now) {
            let (seed, age) = (self.seed, report.age);
            let evidence_age = now - self.evidence_at.expect("a report exists only after evidence was found");
            assert!(
                age <= REPORT_LIFETIME,
                "seed {seed}: an expired report is used, its age is {} ticks",
                age.0
            );
            assert!(
                age >= evidence_age,
                "seed {seed}: the report is {} ticks old, but its evidence is {}",
                age.0,
                evidence_age.0
            );
            oldest = oldest.max(evidence_age);
        }
        oldest
    }
}

/// Checks that delayed, duplicated or reordered messages never make evidence appear younger than it is, and
/// never keep a report in use after its lifetime.
#[test]
fn reports_never_appear_younger_than_their_evidence() {
    let mut oldest = Ticks::ZERO;
    for seed in 0..300 {
        let mut exchange = DelayedExchange::new(seed);
        for now in (0..600_000).step_by(1_000).map(Timestamp) {
            exchange.step(now);
            oldest = oldest.max(exchange.check(now));
        }
    }
    println!("the oldest evidence that was used was {} ticks old", oldest.0);
    // The check is meaningful only if the age of some evidence comes close to the lifetime.
    assert!(oldest.0 > REPORT_LIFETIME.0 / 2, "the oldest evidence that was used was {} ticks old", oldest.0);
}

/// The responses must fit into datagrams even if hundreds of balancers report the same endpoints.
#[test]
fn responses_name_a_few_reporters_per_endpoint() {
    let mut collector = ReportCollector::default();
    for reporter in 0..300 {
        let mut client = report_client(reporter % 3);
        exchange(Timestamp(1_000), reporter, &mut client, &mut collector);
        client.set_own_evidence((0..20).map(|n| (incarnation(&format!("upstream-{n}")), Timestamp(1_000))));
        exchange(Timestamp(7_000), reporter, &mut client, &mut collector);
    }
    let requests = report_client(0).tick(Timestamp(8_000)).outgoing;
    let response = collector.respond(Timestamp(8_000), REPORT_LIFETIME, NodeId(900), &requests[0].message);
    let Some(Message::Response { reports, .. }) = response else {
        panic!("the collector did not respond");
    };
    assert!((12..40).contains(&reports.len()), "{} reports", reports.len());
    let is_of_first =
        |attributed: &&AttributedReport| attributed.report.endpoint == incarnation("upstream-0");
    assert!(reports.iter().filter(is_of_first).count() <= 6);
}
