//! Reports endpoints that this balancer has ejected on its own evidence to the registry replicas, and passes
//! endpoints that enough other balancers report to the dispatcher. The peer thread drives it. Reports of
//! others are never forwarded to peers, and the endpoint list is never locked during calls to the dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use doorproxy::dispatcher::{Dispatcher, EjectedEndpoint};
use doorproxy::ids::{EndpointId, Ticks, Timestamp};
use doorproxy_balancer::discovery::DiscoveryState;
use doorproxy_balancer::log_line;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_config::fleet::{FaultReportsConfig, PeersConfig};
use doorproxy_fleet_health::fault_reports::{
    EndpointIncarnation, Message, ReportClient, ReportCollector, SuspectedEndpoint,
};
use doorproxy_leases::messages::ProcessIdentity;
use doorproxy_membership::message::NodeId;
use doorproxy_membership::outgoing::{OutgoingMessage, TickResult};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::peer_thread::ticks;

/// The interval of checks for ejected endpoints, and so the longest delay before evidence is reported.
const EVIDENCE_CHECK_INTERVAL: Ticks = Ticks(500);

/// A message with its author, as sent on the wire. Postcard encodes the fields in this order.
#[derive(Serialize, Deserialize)]
pub struct AuthoredMessage {
    pub author: NodeId,
    pub message: Message,
}

/// Messages, each with its receiver.
pub type Outgoing = Vec<OutgoingMessage<Message>>;

type Ejections<'a> = BTreeMap<&'a EndpointIncarnation, EjectedEndpoint>;

/// The evidence of this balancer's own attempts against an endpoint.
#[derive(Clone, Copy)]
struct OwnEvidence {
    consecutive_ejections: u32,
    /// The earliest possible time of the last failure.
    not_before: Timestamp,
}

/// The outcomes of peers' reports: `tested` endpoints were put on probation, and own attempts then confirmed
/// or refuted that they are faulty.
#[derive(Clone, Copy, Default)]
pub struct ReportCounts {
    pub tested: i64,
    pub confirmed: i64,
    pub refuted: i64,
}

/// The components that supply ejections and receive fault reports.
pub struct HealthSources {
    pub dispatcher: Dispatcher,
    pub endpoint_list: Arc<Mutex<DiscoveryState>>,
}

/// The report client of this balancer and, on a registry replica, the collector.
pub struct FaultReporter {
    runtime: SystemRuntime,
    local_node: NodeId,
    sources: HealthSources,
    report_lifetime: Ticks,
    report_client: ReportClient,
    /// Present only on a registry replica.
    collector: Option<ReportCollector>,
    last_checked_at: Timestamp,
    own_evidence: BTreeMap<EndpointIncarnation, OwnEvidence>,
    /// The endpoints on probation whose reports own attempts have neither confirmed nor refuted yet.
    unconfirmed: BTreeSet<EndpointIncarnation>,
    /// The time of the newest evidence that was passed to the dispatcher, by endpoint.
    reported_to_dispatcher: BTreeMap<EndpointIncarnation, Timestamp>,
    counts: ReportCounts,
}

impl FaultReporter {
    /// Creates a reporter without evidence and, on a registry replica, its collector.
    pub fn new(
        runtime: SystemRuntime,
        now: Timestamp,
        local: ProcessIdentity,
        peers: &PeersConfig,
        config: &FaultReportsConfig,
        sources: HealthSources,
    ) -> FaultReporter {
        let replicas: Vec<NodeId> =
            peers.registry_replicas.keys().map(|name| NodeId::from_name(name)).collect();
        let collector = replicas.contains(&local.node).then(ReportCollector::default);
        let report_lifetime = ticks(config.report_lifetime);
        let zone = NodeId::from_name(&peers.zone);
        let report_client = ReportClient::new(now, local.incarnation.0, report_lifetime, zone, replicas);
        FaultReporter {
            runtime,
            local_node: local.node,
            sources,
            report_lifetime,
            report_client,
            collector,
            last_checked_at: now,
            own_evidence: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            reported_to_dispatcher: BTreeMap::new(),
            counts: ReportCounts::default(),
        }
    }

    /// Advances the reporter to `now`, and returns the messages to send and the time of the next call.
    pub fn tick(&mut self, now: Timestamp) -> TickResult<Message> {
        if now - self.last_checked_at >= EVIDENCE_CHECK_INTERVAL {
            self.check_evidence(now);
        }
        let result = self.report_client.tick(now);
        TickResult {
            outgoing: self.deliver_local(now, result.outgoing),
            next_tick_at: result.next_tick_at.min(self.last_checked_at + EVIDENCE_CHECK_INTERVAL),
        }
    }

    /// Handles a message of a peer, and returns the response to the author of a request.
    pub fn on_message(&mut self, now: Timestamp, authored: &AuthoredMessage) -> Outgoing {
        let AuthoredMessage { author, message } = authored;
        match message {
            Message::Request { .. } => {
                let collector = self.collector.as_mut();
                let response = collector
                    .and_then(|collector| collector.respond(now, self.report_lifetime, *author, message));
                response.into_iter().map(|message| OutgoingMessage { to: *author, message }).collect()
            }
            Message::Response { .. } => {
                self.report_client.on_response(now, self.local_node, *author, message);
                Vec::new()
            }
        }
    }

    /// Wraps a message with this balancer as its author.
    pub fn with_author(&self, message: Message) -> AuthoredMessage {
        AuthoredMessage { author: self.local_node, message }
    }

    /// Returns the counts for the metrics.
    pub fn counts(&self) -> ReportCounts {
        self.counts
    }

    /// Returns the status for `doorproxy verdicts`.
    pub fn status(&self, now: Timestamp, node_name: impl Fn(NodeId) -> String) -> Value {
        let received = self.report_client.received_reports(now).map(|report| {
            json!({
                "name": report.endpoint.name,
                "by": node_name(report.reporter),
                "age_s": report.age.as_secs_f64(),
                "trust": (report.trust * 100.0).round() / 100.0,
            })
        });
        let received = received.collect::<Vec<Value>>();
        let own: Vec<&String> = self.own_evidence.keys().map(|endpoint| &endpoint.name).collect();
        let ReportCounts { tested, confirmed, refuted } = self.counts;
        json!({"heard": received, "own": own, "tried": tested, "right": confirmed, "wrong": refuted})
    }

    fn check_evidence(&mut self, now: Timestamp) {
        let incarnations = self.endpoint_incarnations();
        let ejected = self.sources.dispatcher.ejected_endpoints().into_iter();
        let ejections: Ejections =
            ejected.filter_map(|ejection| Some((incarnations.get(&ejection.endpoint)?, ejection))).collect();
        self.resolve_unconfirmed(&ejections);
        self.update_own_evidence(&ejections);
        self.apply_peer_reports(now, &incarnations);
        let report_lifetime = self.report_lifetime;
        self.reported_to_dispatcher.retain(|_, evidence_at| now - *evidence_at < report_lifetime);
        let evidence = self.own_evidence.iter();
        self.report_client
            .set_own_evidence(evidence.map(|(endpoint, evidence)| (endpoint.clone(), evidence.not_before)));
        self.last_checked_at = now;
    }

    fn endpoint_incarnations(&self) -> BTreeMap<EndpointId, EndpointIncarnation> {
        let list = self.sources.endpoint_list.lock().expect("no panic while the list is locked");
        let incarnation = |(name, id, started_ms): (&String, EndpointId, i64)| {
            (id, EndpointIncarnation { name: name.clone(), started_ms })
        };
        list.incarnations().map(incarnation).collect()
    }

    /// Resolves peers' reports by the results of own attempts. An endpoint that is no longer on probation is
    /// ejected on own evidence, healthy or removed.
    fn resolve_unconfirmed(&mut self, ejections: &Ejections) {
        let is_on_probation = |endpoint: &EndpointIncarnation| {
            ejections.get(endpoint).is_some_and(|ejection| ejection.reported_by_peers)
        };
        let resolved = self.unconfirmed.iter().filter(|endpoint| !is_on_probation(endpoint));
        let resolved: Vec<EndpointIncarnation> = resolved.cloned().collect();
        for endpoint in resolved {
            let is_faulty = own_ejection(ejections, &endpoint).is_some();
            self.report_client.record_outcome(&endpoint, is_faulty);
            self.unconfirmed.remove(&endpoint);
            let outcome = if is_faulty {
                self.counts.confirmed += 1;
                "confirmed faulty"
            } else {
                self.counts.refuted += 1;
                "not confirmed (healthy or removed)"
            };
            log_line!(self.runtime, "fault reports: {} {outcome}, by local evidence", endpoint.name);
        }
    }

    fn update_own_evidence(&mut self, ejections: &Ejections) {
        self.own_evidence.retain(|endpoint, _| own_ejection(ejections, endpoint).is_some());
        for (endpoint, ejection) in ejections.iter().filter(|(_, ejection)| !ejection.reported_by_peers) {
            let known = self.own_evidence.get(*endpoint).map(|evidence| evidence.consecutive_ejections);
            if known == Some(ejection.consecutive_ejections) {
                continue;
            }
            let evidence = OwnEvidence {
                consecutive_ejections: ejection.consecutive_ejections,
                // The failure happened after the last check.
                not_before: self.last_checked_at,
            };
            self.own_evidence.insert((*endpoint).clone(), evidence);
        }
    }

    /// Passes each suspected endpoint to the dispatcher, once for each newer evidence.
    fn apply_peer_reports(
        &mut self,
        now: Timestamp,
        incarnations: &BTreeMap<EndpointId, EndpointIncarnation>,
    ) {
        let ids: BTreeMap<&EndpointIncarnation, EndpointId> =
            incarnations.iter().map(|(id, endpoint)| (endpoint, *id)).collect();
        for SuspectedEndpoint { endpoint, evidence_at } in
            self.report_client.suspected_endpoints(now, incarnations.len())
        {
            let Some(&id) = ids.get(&endpoint) else { continue };
            let reported = self.reported_to_dispatcher.get(&endpoint);
            if reported.is_some_and(|reported_evidence_at| *reported_evidence_at >= evidence_at) {
                continue;
            }
            self.reported_to_dispatcher.insert(endpoint.clone(), evidence_at);
            self.sources.dispatcher.report_fault(now, id, evidence_at);
            if self.is_on_probation(id) && self.unconfirmed.insert(endpoint.clone()) {
                self.counts.tested += 1;
                let (name, age_s) = (&endpoint.name, (now - evidence_at).as_secs_f64());
                log_line!(
                    self.runtime,
                    "fault reports: {name} reported faulty, evidence {age_s:.1} s old; ejected until its next \
                     probe request"
                );
            }
        }
    }

    fn is_on_probation(&self, id: EndpointId) -> bool {
        let ejected = self.sources.dispatcher.ejected_endpoints();
        ejected.iter().any(|ejection| ejection.endpoint == id && ejection.reported_by_peers)
    }

    /// Handles messages to this balancer's own collector and their responses at once, and returns the rest.
    fn deliver_local(&mut self, now: Timestamp, messages: Outgoing) -> Outgoing {
        let (local, remote): (Outgoing, Outgoing) =
            messages.into_iter().partition(|outgoing| outgoing.to == self.local_node);
        for request in local {
            for response in self.on_message(now, &self.with_author(request.message)) {
                self.on_message(now, &self.with_author(response.message));
            }
        }
        remote
    }
}

/// Returns the ejection of an endpoint if it was caused by own evidence.
fn own_ejection<'a>(ejections: &'a Ejections, endpoint: &EndpointIncarnation) -> Option<&'a EjectedEndpoint> {
    ejections.get(endpoint).filter(|ejection| !ejection.reported_by_peers)
}
