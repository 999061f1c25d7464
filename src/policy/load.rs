//! Load probes: when to ask an endpoint for its load, and which load to assume for it.

use super::Balancer;
use crate::effects::{Effects, LoadProbeResult};
use crate::endpoint::{Endpoint, EndpointIndex};
use crate::ids::{RequestId, Ticks, Timestamp};
use crate::request::Request;
use crate::settings::Settings;

/// The most probes for one request in a row: two for the sampled endpoints, and two more if those have no
/// capacity.
const MAX_PROBES_PER_REQUEST: u8 = 4;
/// A reported load is valid, and a request waits for a probe, for this fraction of the shortest latency
/// objective.
const LOAD_VALIDITY_RATIO: f64 = 0.05;
/// The lower bound of that time, for objectives close to zero.
const MIN_LOAD_VALIDITY: Ticks = Ticks(10);
/// The fraction of all priority weight that may be spent on probes.
const PROBE_SPENDING_RATIO: f64 = 0.025;
/// The most probes that can be saved up for times when probes find endpoints full.
const MAX_PROBE_CREDIT: f64 = 16.0;

/// Tracks how many probes can be sent, by the credit that requests have added.
pub(super) struct ProbeBudget {
    credit: f64,
    /// How long a reported load is valid.
    pub(super) load_validity: Ticks,
}

impl ProbeBudget {
    pub(super) fn new(settings: &Settings) -> ProbeBudget {
        let validity = settings.min_latency_objective().mul_f64(LOAD_VALIDITY_RATIO);
        ProbeBudget { credit: 0.0, load_validity: validity.max(MIN_LOAD_VALIDITY) }
    }
}

impl<E: Effects> Balancer<E> {
    /// Returns the probe credit that each request adds.
    fn probes_per_request(&self) -> f64 {
        let has_reports = self.settings.load_report_field.is_some();
        if has_reports { PROBE_SPENDING_RATIO / self.settings.probe_cost_ratio } else { 0.0 }
    }

    /// Returns whether load probes are used: endpoints report their load, and the budget covers at least one
    /// probe for each request.
    pub(super) fn probes_load(&self) -> bool {
        self.probes_per_request() >= 1.0
    }

    pub(super) fn add_probe_credit(&mut self) {
        let credit = self.probe_budget.credit + self.probes_per_request();
        self.probe_budget.credit = credit.min(MAX_PROBE_CREDIT);
    }

    pub(super) fn is_load_known(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let reported = endpoint.load.reported;
        reported.is_some_and(|reported| now - reported.at <= self.probe_budget.load_validity)
    }

    /// Returns the requests in flight at an endpoint: the last valid report plus the attempts sent since, or
    /// else this balancer's own attempts.
    pub(super) fn load(&self, now: Timestamp, endpoint: &Endpoint) -> f64 {
        let own = f64::from(endpoint.in_flight);
        let reported = endpoint.load.reported.filter(|_| self.is_load_known(now, endpoint));
        let Some(reported) = reported else { return own };
        let sent_since = endpoint.sent.within(now, now - reported.at + Ticks(1)).count;
        own.max(reported.in_flight + sent_since as f64)
    }

    /// Returns whether this request can use a probe of the endpoint: one is in flight already, or the request
    /// may still send one.
    pub(super) fn can_probe(&self, request: &Request, endpoint: &Endpoint) -> bool {
        let has_probes_left = request.load_probes.sent < MAX_PROBES_PER_REQUEST;
        let is_affordable = has_probes_left && self.probe_budget.credit >= 1.0;
        let is_possible = endpoint.load.probe_sent_at.is_some() || is_affordable;
        self.probes_load() && request.attempts.is_empty() && is_possible
    }

    /// Returns whether the endpoint's load is unknown and the request can no longer learn it.
    pub(super) fn is_load_unavailable(&self, now: Timestamp, request: &Request, endpoint: &Endpoint) -> bool {
        let is_unknown =
            self.probes_load() && !self.is_load_known(now, endpoint) && !self.can_probe(request, endpoint);
        let has_used_probes = request.load_probes.sent >= MAX_PROBES_PER_REQUEST;
        is_unknown && (has_used_probes || self.is_overloaded(now))
    }

    /// Returns whether a probe has been in flight for longer than a request waits for one.
    pub(super) fn ignores_probes(&self, now: Timestamp, endpoint: &Endpoint) -> bool {
        let sent_at = endpoint.load.probe_sent_at;
        sent_at.is_some_and(|sent_at| now - sent_at >= self.probe_budget.load_validity)
    }

    /// Probes the endpoint that was chosen for a request if its load is unknown. Returns true if the request
    /// waits for the load.
    pub(super) fn probe_if_unknown(&mut self, now: Timestamp, id: RequestId, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        let waits = !self.is_load_known(now, endpoint) && self.can_probe(self.request(id), endpoint);
        let endpoint_id = endpoint.id;
        if waits && endpoint.load.probe_sent_at.is_none() {
            self.endpoints[index].load.probe_sent_at = Some(now);
            self.request_mut(id).load_probes.sent += 1;
            self.probe_budget.credit -= 1.0;
            self.effects.probe_load(endpoint_id);
        }
        self.request_mut(id).load_probes.awaited = waits.then_some(index);
        waits
    }

    pub(super) fn record_load(&mut self, now: Timestamp, result: LoadProbeResult) {
        let Some(index) = self.endpoints.index_of(result.endpoint) else { return };
        let load = &mut self.endpoints[index].load;
        load.probe_sent_at = None;
        if let Some(in_flight) = result.load {
            load.reported = Some(crate::endpoint::ReportedLoad { at: now, in_flight });
        }
        for request in self.requests.values_mut().filter(|request| request.load_probes.awaited == Some(index))
        {
            request.load_probes.retry_at = now;
        }
        self.serve_queue(now);
    }
}
