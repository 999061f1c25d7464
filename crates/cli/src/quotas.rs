//! Fleet-wide tenant quotas: the rules from the fleet file, and this balancer's quota client, which the peer
//! thread drives. The client only tells how long a request would have to wait; the dispatcher's policy
//! decides about its admission.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use doorproxy::dispatcher::{Dispatcher, FleetLimits};
use doorproxy::ids::{TenantId, Ticks, Timestamp};
use doorproxy_balancer::config::Config;
use doorproxy_balancer::log_line;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_config::fleet::{DisconnectedPolicy, PeersConfig, QuotasConfig};
use doorproxy_leases::messages::{FencingToken, LeaseRules, ProcessIdentity};
use doorproxy_membership::message::NodeId;
use doorproxy_membership::outgoing::TickResult;
use doorproxy_quotas::messages::{Envelope, LimitId, Message};
use doorproxy_quotas::node::{AllocatorStatus, Outgoing, QuotaNode};
use doorproxy_quotas::quota_client::{LimitStatus, QuotaClient, SpendOutcome};
use doorproxy_quotas::rules::{QuotaRules, RateLimit};
use serde_json::{Value, json};
use thiserror::Error;

use crate::peer_thread::ticks;

/// The shortest interval between two log lines about rejections by the same limit.
const REJECTION_LOG_INTERVAL: Ticks = Ticks(10_000);

/// The fleet file limits a tenant that is missing from the balancer's configuration.
#[derive(Debug, Error)]
#[error("limits.tenants: {tenant:?} is not a tenant of the configuration, which has {}", known.join(", "))]
pub struct UnknownTenant {
    pub tenant: String,
    pub known: Vec<String>,
}

/// The status of the quotas for the admin API, and the sums over all limits for the metrics.
pub struct QuotaStatus {
    pub json: Value,
    pub rejected: i64,
    pub admitted_by_fallback: i64,
    pub disconnected_limits: i64,
}

/// Returns the name of a tenant's limit. The prefix keeps it distinct from limits of other kinds.
fn quota_name(tenant: &str) -> String {
    format!("tenant {tenant}")
}

/// Returns the quota rules of a fleet file for a fleet of `balancers` balancers.
pub fn quota_rules(config: &QuotasConfig, peers: &PeersConfig, balancers: u32) -> QuotaRules {
    let limits = config.tenants.iter().map(|(tenant, quota)| {
        let fallback_rate = match quota.when_disconnected {
            DisconnectedPolicy::Strict => None,
            DisconnectedPolicy::Floor(rate) => Some(rate),
            DisconnectedPolicy::EvenShare => Some(quota.rate / f64::from(balancers.max(1))),
        };
        let name = quota_name(tenant);
        let id = LimitId::from_name(&name);
        (id, RateLimit { name, rate: quota.rate, burst: quota.burst, fallback_rate })
    });
    QuotaRules {
        limits: limits.collect(),
        shard_count: peers.registry_replicas.len().max(1) as u16,
        contact_timeout: ticks(config.contact_timeout),
        clock_drift_ratio: peers.clock_drift_ratio,
    }
}

/// Returns the rules of the leases that permit replicas to allocate quotas.
pub fn allocator_lease_rules(
    config: &QuotasConfig,
    peers: &PeersConfig,
    acceptors: BTreeSet<NodeId>,
) -> LeaseRules {
    LeaseRules {
        acceptors,
        max_duration: ticks(config.allocator_lease),
        clock_drift_ratio: peers.clock_drift_ratio,
    }
}

/// The quotas that the dispatcher checks before it admits a tenant's request.
struct TenantQuotas {
    /// The limits, indexed by tenant.
    quota_of_tenant: Vec<Option<LimitId>>,
    client: Arc<Mutex<QuotaClient>>,
}

impl FleetLimits for TenantQuotas {
    fn wait_time(&self, now: Timestamp, tenant: TenantId) -> Option<Ticks> {
        let limit = (*self.quota_of_tenant.get(usize::from(tenant.0))?)?;
        let mut client = self.client.lock().expect("no panic while the quota client is locked");
        match client.spend(now, limit) {
            SpendOutcome::Admitted => None,
            SpendOutcome::Exceeded(wait) => Some(wait),
        }
    }
}

/// The number of rejections and the time of a limit's last log line.
#[derive(Clone, Copy)]
struct LoggedRejections {
    count: u64,
    logged_at: Timestamp,
}

impl LoggedRejections {
    const NONE: LoggedRejections = LoggedRejections { count: 0, logged_at: Timestamp(i64::MIN) };
}

/// The quota client of this balancer and, on a registry replica, the allocator.
pub struct FleetQuotas {
    runtime: SystemRuntime,
    rules: Arc<QuotaRules>,
    node: QuotaNode,
    local_holder: ProcessIdentity,
    logged_rejections: BTreeMap<LimitId, LoggedRejections>,
}

impl FleetQuotas {
    /// Creates the client and sets it as the dispatcher's limits. Must be called before the first request.
    ///
    /// # Errors
    /// Returns an error if a limited tenant is missing from the configuration.
    pub fn new(
        runtime: SystemRuntime,
        now: Timestamp,
        config: &Config,
        local_holder: ProcessIdentity,
        peers: &PeersConfig,
        quotas: &QuotasConfig,
        dispatcher: &Dispatcher,
    ) -> Result<FleetQuotas, UnknownTenant> {
        check_tenants(config, quotas)?;
        let replicas = peers.registry_replicas.keys().map(|name| NodeId::from_name(name)).collect();
        let rules = Arc::new(quota_rules(quotas, peers, config.settings.balancer_count));
        let lease_rules = allocator_lease_rules(quotas, peers, replicas);
        let first_token = FencingToken(local_holder.incarnation.0);
        let node = QuotaNode::new(now, local_holder, rules.clone(), lease_rules, first_token);
        let tenant_quotas =
            TenantQuotas { quota_of_tenant: quota_of_tenant(config, quotas), client: node.client() };
        dispatcher.set_fleet_limits(Arc::new(tenant_quotas));
        Ok(FleetQuotas { runtime, rules, node, local_holder, logged_rejections: BTreeMap::new() })
    }

    /// Starts the node's part as an acceptor and allocator; see [`QuotaNode::start_acceptor`].
    pub fn start_acceptor(&mut self, sole_since: Timestamp) {
        self.node.start_acceptor(sole_since);
    }

    /// Wraps a message with this process as its sender.
    pub fn envelope(&self, message: Message) -> Envelope {
        Envelope { sender: self.local_holder, message }
    }

    /// Advances the node to `now`, and returns the messages to send and the time of the next call.
    pub fn tick(&mut self, now: Timestamp) -> TickResult<Message> {
        self.node.tick(now)
    }

    /// Handles a message of a peer. Returned messages to that peer are the response.
    pub fn on_message(&mut self, now: Timestamp, envelope: &Envelope) -> Outgoing {
        self.node.on_message(now, envelope.sender, &envelope.message)
    }

    /// Logs the number of requests rejected since the last log line about the same limit.
    pub fn log_rejections(&mut self, now: Timestamp) {
        for status in self.limit_statuses(now) {
            let logged = self.logged_rejections.get(&status.limit);
            let logged = logged.copied().unwrap_or(LoggedRejections::NONE);
            if status.rejected == logged.count || now - logged.logged_at < REJECTION_LOG_INTERVAL {
                continue;
            }
            let rejections = LoggedRejections { count: status.rejected, logged_at: now };
            self.logged_rejections.insert(status.limit, rejections);
            self.log_limit(&status, status.rejected - logged.count);
        }
    }

    fn log_limit(&self, status: &LimitStatus, rejected: u64) {
        let name = &self.rules.limits[&status.limit].name;
        let rate = status.expected_rate;
        let age = status
            .allocation_age
            .map_or("never allocated".to_string(), |age| format!("allocated {:.1} s ago", age.as_secs_f64()));
        let contact = if status.is_connected { "connected to its allocator" } else { "disconnected" };
        log_line!(
            self.runtime,
            "limits: {name}: {rejected} requests rejected; allocation {rate:.1}/s, {age}, {contact}"
        );
    }

    /// Returns the status for `doorproxy limits` and the metrics.
    pub fn status(&self, now: Timestamp) -> QuotaStatus {
        let statuses = self.limit_statuses(now);
        let limits = statuses.iter().map(|status| self.limit_as_json(status)).collect::<Vec<Value>>();
        let shards = self.node.allocator_statuses(now);
        let shards = shards.iter().map(|status| self.shard_as_json(status)).collect::<Vec<Value>>();
        let sum = |count: fn(&LimitStatus) -> u64| statuses.iter().map(count).sum::<u64>() as i64;
        QuotaStatus {
            json: json!({
                "limits": limits,
                "dealing": shards,
                "keeper_votes": self.node.is_acceptor_voting(now),
            }),
            rejected: sum(|status| status.rejected),
            admitted_by_fallback: sum(|status| status.admitted_by_fallback),
            disconnected_limits: statuses.iter().filter(|status| !status.is_connected).count() as i64,
        }
    }

    fn limit_statuses(&self, now: Timestamp) -> Vec<LimitStatus> {
        let client = self.node.client();
        let client = client.lock().expect("no panic while the quota client is locked");
        client.limit_statuses(now)
    }

    fn limit_as_json(&self, status: &LimitStatus) -> Value {
        let rule = &self.rules.limits[&status.limit];
        json!({
            "name": rule.name,
            "rate": rule.rate,
            "floor": rule.fallback_rate,
            "held": status.balance,
            "allotted": round_to_tenth(status.expected_rate),
            "demand": round_to_tenth(status.demand),
            "age_s": status.allocation_age.map(|age| age.as_secs_f64()),
            "in_touch": status.is_connected,
            "let_in": status.admitted,
            "by_floor": status.admitted_by_fallback,
            "refused": status.rejected,
        })
    }

    fn shard_as_json(&self, status: &AllocatorStatus) -> Value {
        let buckets = status.buckets.iter().map(|bucket| {
            let name = &self.rules.limits[&bucket.limit].name;
            json!({"name": name, "saved": round_to_tenth(bucket.balance), "asked_by": bucket.client_count})
        });
        json!({
            "shard": status.shard.0,
            "token": status.token.0,
            "limits": buckets.collect::<Vec<Value>>(),
        })
    }
}

fn check_tenants(config: &Config, quotas: &QuotasConfig) -> Result<(), UnknownTenant> {
    match quotas.tenants.keys().find(|tenant| !config.tenants.contains_key(*tenant)) {
        None => Ok(()),
        Some(tenant) => {
            let known = config.tenants.keys().cloned().collect();
            Err(UnknownTenant { tenant: tenant.clone(), known })
        }
    }
}

fn quota_of_tenant(config: &Config, quotas: &QuotasConfig) -> Vec<Option<LimitId>> {
    let mut limits = vec![None; config.tenants.len()];
    for (tenant, &index) in &config.tenants {
        if quotas.tenants.contains_key(tenant) {
            limits[usize::from(index)] = Some(LimitId::from_name(&quota_name(tenant)));
        }
    }
    limits
}

fn round_to_tenth(number: f64) -> f64 {
    (number * 10.0).round() / 10.0
}
