//! The client of a balancer: it sends the balancer's own reports to the collectors and weighs those of
//! others.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_membership::message::{NodeId, Nonce};
use doorproxy_membership::outgoing::{OutgoingMessage, TickResult};

use super::messages::{AttributedReport, EndpointIncarnation, FaultReport, Message};
use super::trust::ReporterTrust;
use super::{MAX_REPORT_BYTES, MAX_REPORTS_PER_REPORTER};
use crate::byte_budget::ByteBudget;

/// Sets how many requests are sent per collector within the lifetime of a report.
const REQUESTS_PER_LIFETIME: f64 = 10.0;
/// Sets the weight of reports from which an endpoint is suspected.
const SUSPICION_THRESHOLD: f64 = 0.9;
/// Sets the weight that is added to reports from more than one zone, because they reach the endpoint over
/// different networks.
const CROSS_ZONE_BONUS: f64 = 0.25;
/// Sets the ratio of all endpoints above which a reporter is assumed to be faulty itself.
const MAX_REPORTED_RATIO: f64 = 0.34;
/// Limits the ratio of all endpoints that are suspected at a time.
const MAX_SUSPECTED_RATIO: f64 = 0.25;
/// Sets the number of bits for the nonces of an incarnation. An incarnation is a time in milliseconds, and
/// its nonces start at that time shifted by these bits, so a million nonces fit into each millisecond.
const NONCE_BITS_PER_INCARNATION: u32 = 20;

/// Describes an endpoint that is to be put on probation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectedEndpoint {
    /// Identifies the endpoint.
    pub endpoint: EndpointIncarnation,
    /// Holds a time no later than that of the latest evidence.
    pub evidence_at: Timestamp,
}

/// Shows a report of another balancer, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportStatus<'a> {
    /// Identifies the endpoint.
    pub endpoint: &'a EndpointIncarnation,
    /// Identifies the balancer that made the report.
    pub reporter: NodeId,
    /// Bounds the age of the latest evidence from above.
    pub age: Ticks,
    /// Holds the trust in the reporter, between 0 and 1.
    pub trust: f64,
}

struct PendingRequest {
    collector: NodeId,
    sent_at: Timestamp,
}

#[derive(Clone, Copy)]
struct ReceivedReport {
    zone: NodeId,
    evidence_at: Timestamp,
}

struct WeightedSuspect {
    weight: f64,
    suspect: SuspectedEndpoint,
}

/// Holds the reports of one balancer, its own and those of others.
pub struct ReportClient {
    report_lifetime: Ticks,
    zone: NodeId,
    collectors: Vec<NodeId>,
    /// Maps each endpoint to a time no later than that of the latest own evidence against it.
    own_evidence: BTreeMap<EndpointIncarnation, Timestamp>,
    last_nonce: u64,
    pending: BTreeMap<Nonce, PendingRequest>,
    /// Holds the number of each collector's last response.
    last_numbers: BTreeMap<NodeId, Nonce>,
    /// Holds the reports of others, by endpoint and reporter.
    received: BTreeMap<EndpointIncarnation, BTreeMap<NodeId, ReceivedReport>>,
    trust: ReporterTrust,
    next_request_at: Timestamp,
}

/// Returns `ratio` times `count`, rounded down, but at least one.
fn at_least_one_of(count: usize, ratio: f64) -> usize {
    (count as f64 * ratio).floor().max(1.0) as usize
}

impl ReportClient {
    /// Creates a client without reports. Two incarnations of a process never use the same nonces. `zone` is
    /// the hash of the zone's name.
    pub fn new(
        now: Timestamp,
        incarnation: u64,
        report_lifetime: Ticks,
        zone: NodeId,
        collectors: Vec<NodeId>,
    ) -> ReportClient {
        ReportClient {
            report_lifetime,
            zone,
            collectors,
            own_evidence: BTreeMap::new(),
            last_nonce: incarnation << NONCE_BITS_PER_INCARNATION,
            pending: BTreeMap::new(),
            last_numbers: BTreeMap::new(),
            received: BTreeMap::new(),
            trust: ReporterTrust::default(),
            next_request_at: now,
        }
    }

    /// Sets the endpoints that are ejected on own evidence, each with a time no later than that of the latest
    /// evidence.
    pub fn set_own_evidence(&mut self, evidence: impl IntoIterator<Item = (EndpointIncarnation, Timestamp)>) {
        self.own_evidence = evidence.into_iter().take(MAX_REPORTS_PER_REPORTER).collect();
    }

    /// Sends the own reports to all collectors if that is due.
    pub fn tick(&mut self, now: Timestamp) -> TickResult<Message> {
        if now < self.next_request_at {
            return TickResult { outgoing: Vec::new(), next_tick_at: self.next_request_at };
        }
        self.next_request_at = now + self.report_lifetime.mul_f64(1.0 / REQUESTS_PER_LIFETIME);
        self.own_evidence.retain(|_, found_at| now - *found_at < self.report_lifetime);
        self.pending.retain(|_, request| now - request.sent_at < self.report_lifetime);
        let reports = self.own_reports(now);
        let mut outgoing = Vec::new();
        for &collector in &self.collectors {
            self.last_nonce += 1;
            let nonce = Nonce(self.last_nonce);
            self.pending.insert(nonce, PendingRequest { collector, sent_at: now });
            let last_number = self.last_numbers.get(&collector).copied();
            let message = Message::Request { nonce, last_number, zone: self.zone, reports: reports.clone() };
            outgoing.push(OutgoingMessage { to: collector, message });
        }
        TickResult { outgoing, next_tick_at: self.next_request_at }
    }

    /// Returns own reports in the order of endpoints, as many as fit into one datagram.
    fn own_reports(&self, now: Timestamp) -> Vec<FaultReport> {
        let mut budget = ByteBudget::new(MAX_REPORT_BYTES);
        let reports = self.own_evidence.iter().map(|(endpoint, found_at)| FaultReport {
            endpoint: endpoint.clone(),
            age_ticks: (now - *found_at).0,
        });
        reports.take_while(|report| budget.try_take(report.max_encoded_bytes())).collect()
    }

    /// Handles the response of a collector, and ignores it if it answers no pending request to that
    /// collector.
    pub fn on_response(&mut self, now: Timestamp, local_node: NodeId, from: NodeId, response: &Message) {
        let Message::Response { nonce, number, reports } = response else { return };
        let request = self.pending.remove(nonce).filter(|request| request.collector == from);
        let Some(PendingRequest { sent_at, .. }) = request else { return };
        self.last_numbers.insert(from, *number);
        for attributed in reports.iter().filter(|attributed| attributed.reporter != local_node) {
            self.record_report(now, sent_at, attributed);
        }
    }

    /// Records a report from the response to a request that was sent at `sent_at`. Of several reports by one
    /// reporter, the latest evidence counts.
    fn record_report(&mut self, now: Timestamp, sent_at: Timestamp, attributed: &AttributedReport) {
        let AttributedReport { reporter, zone, report } = attributed;
        let evidence_at = sent_at - Ticks(report.age_ticks.max(0));
        if now - evidence_at >= self.report_lifetime {
            return;
        }
        let by_reporter = self.received.entry(report.endpoint.clone()).or_default();
        let known = by_reporter.entry(*reporter).or_insert(ReceivedReport { zone: *zone, evidence_at });
        known.zone = *zone;
        known.evidence_at = known.evidence_at.max(evidence_at);
    }

    /// Returns the endpoints whose reports have enough weight, those with the greatest weight first.
    /// `endpoint_count` is the number of all endpoints.
    pub fn suspected_endpoints(&mut self, now: Timestamp, endpoint_count: usize) -> Vec<SuspectedEndpoint> {
        self.drop_expired(now);
        let reported_counts = self.reported_endpoint_counts();
        // The limit is at least one, so that in a small fleet of endpoints a report about one of them counts.
        let max_reported = at_least_one_of(endpoint_count, MAX_REPORTED_RATIO);
        let is_credible = |reporter: &NodeId| reported_counts[reporter] <= max_reported;
        let mut suspects: Vec<WeightedSuspect> = self
            .received
            .iter()
            .filter_map(|(endpoint, reports)| self.weigh(endpoint, reports, is_credible))
            .filter(|suspect| suspect.weight >= SUSPICION_THRESHOLD)
            .collect();
        suspects
            .sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.suspect.endpoint.cmp(&b.suspect.endpoint)));
        suspects.truncate(at_least_one_of(endpoint_count, MAX_SUSPECTED_RATIO));
        suspects.into_iter().map(|suspect| suspect.suspect).collect()
    }

    /// Returns an endpoint with the weight of its reports, or `None` if no reporter is credible.
    fn weigh(
        &self,
        endpoint: &EndpointIncarnation,
        reports: &BTreeMap<NodeId, ReceivedReport>,
        is_credible: impl Fn(&NodeId) -> bool,
    ) -> Option<WeightedSuspect> {
        let credible = || reports.iter().filter(|(reporter, _)| is_credible(reporter));
        let evidence_at = credible().map(|(_, report)| report.evidence_at).max()?;
        let trust: f64 = credible().map(|(reporter, _)| self.trust_in(*reporter)).sum();
        let zones: BTreeSet<NodeId> = credible().map(|(_, report)| report.zone).collect();
        let bonus = if zones.len() > 1 { CROSS_ZONE_BONUS } else { 0.0 };
        let suspect = SuspectedEndpoint { endpoint: endpoint.clone(), evidence_at };
        Some(WeightedSuspect { weight: trust + bonus, suspect })
    }

    fn drop_expired(&mut self, now: Timestamp) {
        for reports in self.received.values_mut() {
            reports.retain(|_, report| now - report.evidence_at < self.report_lifetime);
        }
        self.received.retain(|_, reports| !reports.is_empty());
    }

    /// Returns how many endpoints each reporter has reported.
    fn reported_endpoint_counts(&self) -> BTreeMap<NodeId, usize> {
        let mut counts: BTreeMap<NodeId, usize> = BTreeMap::new();
        for reporter in self.received.values().flat_map(BTreeMap::keys) {
            *counts.entry(*reporter).or_default() += 1;
        }
        counts
    }

    /// Returns the trust in a reporter, between 0 and 1.
    pub fn trust_in(&self, reporter: NodeId) -> f64 {
        self.trust.of(reporter)
    }

    /// Records the result of an own attempt at a reported endpoint. If the endpoint is healthy, its reports
    /// are discarded.
    pub fn record_outcome(&mut self, endpoint: &EndpointIncarnation, is_unhealthy: bool) {
        let Some(reports) = self.received.get(endpoint) else { return };
        for reporter in reports.keys() {
            self.trust.record(*reporter, is_unhealthy);
        }
        if !is_unhealthy {
            self.received.remove(endpoint);
        }
    }

    /// Returns the reports of others that have not expired.
    pub fn received_reports(&self, now: Timestamp) -> impl Iterator<Item = ReportStatus<'_>> {
        self.received.iter().flat_map(move |(endpoint, reports)| {
            let reports = reports.iter().map(move |(reporter, report)| ReportStatus {
                endpoint,
                reporter: *reporter,
                age: now - report.evidence_at,
                trust: self.trust_in(*reporter),
            });
            reports.filter(|report| report.age < self.report_lifetime)
        })
    }
}
