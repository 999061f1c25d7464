//! The collector: it keeps the last reports of each balancer and passes them to the others.

use std::collections::{BTreeMap, VecDeque};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_membership::message::{NodeId, Nonce};

use super::messages::{AttributedReport, EndpointIncarnation, FaultReport, Message};
use super::{MAX_BALANCERS, MAX_REPORT_BYTES, MAX_REPORTS_PER_REPORTER};
use crate::byte_budget::ByteBudget;

/// Limits the reporters that are passed on per endpoint, since further ones do not change the outcome.
const MAX_REPORTERS_PER_ENDPOINT: usize = 6;
/// Sets how many of the last numbers issued to a balancer are kept.
const MAX_ISSUED_NUMBERS: usize = 3;

struct IssuedNumber {
    number: Nonce,
    issued_at: Timestamp,
}

struct Evidence {
    endpoint: EndpointIncarnation,
    /// Holds a time no later than that of the latest evidence.
    found_at: Timestamp,
}

struct ReporterRecord {
    zone: NodeId,
    evidence: Vec<Evidence>,
}

/// Holds the last reports of each balancer.
#[derive(Default)]
pub struct ReportCollector {
    last_number: u64,
    issued_numbers: BTreeMap<NodeId, VecDeque<IssuedNumber>>,
    reports: BTreeMap<NodeId, ReporterRecord>,
}

impl ReportCollector {
    /// Records the reports of a request if they can be dated, and answers the request. Returns `None` if the
    /// message is not a request, or if there are too many balancers.
    pub fn respond(
        &mut self,
        now: Timestamp,
        report_lifetime: Ticks,
        from: NodeId,
        request: &Message,
    ) -> Option<Message> {
        let Message::Request { nonce, last_number, zone, reports } = request else { return None };
        if !self.can_track(now, report_lifetime, from) {
            return None;
        }
        let last_issued_at = last_number.and_then(|number| self.issued_at(from, number));
        if let Some(issued_at) = last_issued_at {
            self.record_reports(from, *zone, issued_at, reports);
        }
        let number = self.issue_number(now, from);
        let reports = self.reports_of_others(now, report_lifetime, from);
        Some(Message::Response { nonce: *nonce, number, reports })
    }

    fn can_track(&mut self, now: Timestamp, report_lifetime: Ticks, from: NodeId) -> bool {
        if self.issued_numbers.len() < MAX_BALANCERS || self.issued_numbers.contains_key(&from) {
            return true;
        }
        let is_recent = |last: &IssuedNumber| now - last.issued_at < report_lifetime;
        self.issued_numbers.retain(|_, issued| issued.back().is_some_and(is_recent));
        self.issued_numbers.len() < MAX_BALANCERS
    }

    fn issued_at(&self, to: NodeId, number: Nonce) -> Option<Timestamp> {
        let issued = self.issued_numbers.get(&to)?.iter().find(|issued| issued.number == number)?;
        Some(issued.issued_at)
    }

    /// Records the reports of a request. They were made after `issued_at`, so subtracting each report's age
    /// from `issued_at` gives a time no later than that of its evidence.
    fn record_reports(
        &mut self,
        reporter: NodeId,
        zone: NodeId,
        issued_at: Timestamp,
        reports: &[FaultReport],
    ) {
        let evidence = reports.iter().take(MAX_REPORTS_PER_REPORTER).map(|report| Evidence {
            endpoint: report.endpoint.clone(),
            found_at: issued_at - Ticks(report.age_ticks.max(0)),
        });
        self.reports.insert(reporter, ReporterRecord { zone, evidence: evidence.collect() });
    }

    fn issue_number(&mut self, now: Timestamp, to: NodeId) -> Nonce {
        self.last_number += 1;
        let number = Nonce(self.last_number);
        let issued = self.issued_numbers.entry(to).or_default();
        issued.push_back(IssuedNumber { number, issued_at: now });
        while issued.len() > MAX_ISSUED_NUMBERS {
            issued.pop_front();
        }
        number
    }

    fn drop_expired(&mut self, now: Timestamp, report_lifetime: Ticks) {
        for record in self.reports.values_mut() {
            record.evidence.retain(|evidence| now - evidence.found_at < report_lifetime);
        }
        self.reports.retain(|_, record| !record.evidence.is_empty());
    }

    /// Returns the reports of others, the latest evidence first: a few per endpoint, and as many as fit into
    /// one datagram.
    fn reports_of_others(
        &mut self,
        now: Timestamp,
        report_lifetime: Ticks,
        recipient: NodeId,
    ) -> Vec<AttributedReport> {
        self.drop_expired(now, report_lifetime);
        let mut reports: Vec<AttributedReport> = Vec::new();
        for (&reporter, record) in self.reports.iter().filter(|(reporter, _)| **reporter != recipient) {
            reports.extend(record.evidence.iter().map(|evidence| AttributedReport {
                reporter,
                zone: record.zone,
                report: FaultReport {
                    endpoint: evidence.endpoint.clone(),
                    age_ticks: (now - evidence.found_at).0,
                },
            }));
        }
        reports.sort_by(|a, b| a.report.age_ticks.cmp(&b.report.age_ticks).then(a.reporter.cmp(&b.reporter)));
        let mut counts: BTreeMap<EndpointIncarnation, usize> = BTreeMap::new();
        let mut budget = ByteBudget::new(MAX_REPORT_BYTES);
        reports.retain(|attributed| {
            let count = counts.entry(attributed.report.endpoint.clone()).or_default();
            let is_sent =
                *count < MAX_REPORTERS_PER_ENDPOINT && budget.try_take(attributed.report.max_encoded_bytes());
            *count += usize::from(is_sent);
            is_sent
        });
        reports
    }
}
