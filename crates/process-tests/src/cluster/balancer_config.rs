//! The configuration of a balancer and the settings of its fleet file.

use std::path::Path;

use doorproxy_test_servers::clock::MS;
use doorproxy_test_servers::events::{DEDUP_WINDOW, Event, ListedEndpoint};
use serde_json::{Value, json};

use super::{Cluster, MAX_ATTEMPTS};
use crate::addresses::{self, DISCOVERY};
use crate::fault_proxy::FaultProxy;
use crate::scenario::{ConfiguredList, Fleet};

impl Cluster {
    /// Returns the configuration of a balancer, with this endpoint list.
    pub(super) fn balancer_config(&self, node: &str, known: ConfiguredList) -> Value {
        let (fleet, load) = (&self.scenario.fleet, &self.scenario.load);
        let ordinal: usize = node[1..].parse().unwrap_or(0);
        let ttl = load.ttl_ms / 1e3;
        let request_class = |name: &str, semantics: &str| {
            json!({"name": name, "semantics": semantics, "benefit": 1.0,
                "target_latency": ttl / 2.0, "ttl": ttl, "dedup_scope": "all",
                "window": DEDUP_WINDOW as f64 / 1e6})
        };
        let known = match known {
            ConfiguredList::Empty => json!({"version": 0, "full": true, "servers": []}),
            ConfiguredList::EmptyWithVersion => {
                json!({"version": self.last_lists[node]["version"], "full": true, "servers": []})
            }
            ConfiguredList::First => self.initial_lists[node].clone(),
            ConfiguredList::Last => self.last_lists[node].clone(),
        };
        let starts = u64::from(self.nodes[node].start_count);
        let seed = self.scenario.seed.wrapping_mul(0x9e37_79b9).wrapping_add(ordinal as u64 * 1009 + starts);
        let balancer_count = fleet.configured_balancers.unwrap_or(fleet.balancers as u32);
        json!({
            "name": node,
            "listen": self.proxy.addresses.service(node),
            "control": self.proxy.addresses.admin(node),
            "discovery": self.proxy.addresses.proxy(node, DISCOVERY),
            "seed": format!("{seed:x}"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": fleet.sockets},
            "known": known,
            "settings": {
                "categories": [
                    request_class("look", "pure"),
                    request_class("top", "token"),
                    request_class("buy", "side_effect"),
                ],
                "projects": [{"name": "acme", "quota_per_s": load.rate * 10.0}],
                "dcs": ["east", "west"], "kinds": ["small"],
                "n_instances": balancer_count, "ordinal": ordinal,
                "overage_benefit": 0.1, "discovery": "on_request",
                "limits": {"max_pushes": MAX_ATTEMPTS, "second_copies": true, "cancelling": true,
                    "retry_after": true, "max_retry_after": 2.0, "connect_timeout": 0.25, "keepalive": 60.0},
                "obligations": {"ask_within": fleet.max_staleness_s, "cold_from": fleet.initial_fraction,
                    "cold": fleet.warm_up_s, "fall_multiple": fleet.overload_factor,
                    "fall": fleet.overload_window_s},
            },
        })
    }

    /// Returns the event that records the endpoint list of a configuration.
    pub(super) fn configured_list_event(&self, node: &str, known: &Value) -> Event {
        let rows = known["servers"].as_array().into_iter().flatten().map(|row| {
            let server = row["id"].as_str().unwrap_or_default().to_string();
            // The list has Unix time in milliseconds; events have the time since the run began.
            let started = match row["started_ms"].as_u64() {
                Some(0) | None => 0,
                Some(ms) => ms.saturating_sub(self.clock.unix_ms(0)) * MS,
            };
            ListedEndpoint { server, state: row["state"].as_str().unwrap_or_default().to_string(), started }
        });
        let version = known["version"].as_u64().unwrap_or(0);
        Event::ListSent {
            node: node.to_string(),
            connected_at: None,
            version,
            whole: true,
            rows: rows.collect(),
        }
    }
}

/// Returns the sections `[peers]`, `[leases]`, `[verdicts]` and `[limits]` of a balancer's fleet file; the
/// text is empty if balancers do not know each other.
pub(super) fn fleet_settings(
    proxy: &FaultProxy,
    name: &str,
    names: &[String],
    fleet: &Fleet,
    key: &Path,
) -> String {
    let Some(replica_count) = fleet.registry_replicas else { return String::new() };
    let replica = |name: &String| format!("{name} = \"{}\"", proxy.addresses.peer_proxy(name));
    let replicas: Vec<String> = names.iter().take(replica_count).map(replica).collect();
    let seeds = names.iter().rev().take(2).map(|name| format!("\"{}\"", proxy.addresses.peer_proxy(name)));
    format!(
        "[peers]\ncluster = \"stage\"\nlisten = \"{}\"\nat = \"{}\"\nkey = {:?}\n\
         zone = \"{}\"\nseeds = [{}]\n\
         keepers = {{ {} }}\nperiod = \"250ms\"\ncut_after = \"{}ms\"\n{}",
        proxy.addresses.peer_socket(name),
        proxy.addresses.peer_proxy(name),
        key.display().to_string(),
        zone_of(name),
        seeds.collect::<Vec<_>>().join(", "),
        replicas.join(", "),
        fleet.cut_after_s * 1e3,
        fleet.reserve.map_or(String::new(), |reserve| format!("reserve = {reserve:?}\n")),
    ) + &fleet.permits.map_or(String::new(), |count| {
        format!("[leases]\nlength = \"{}ms\"\npermits = {{ task = {count} }}\n", fleet.lease_s * 1e3)
    }) + if fleet.fault_reports { "[verdicts]\nlength = \"5s\"\n" } else { "" }
        + &fleet.limit.map_or(String::new(), |rate| {
            let fallback = |rate: f64| format!("floor = {rate:?}");
            let disconnected = fleet.fallback_rate.map_or("strict = true".to_string(), fallback);
            format!(
                "[limits]\nlength = \"{}ms\"\nlease = \"{}ms\"\n\
                 tenants = {{ acme = {{ rate = {rate:?}, {disconnected} }} }}\n",
                fleet.contact_timeout_s * 1e3,
                fleet.lease_s * 1e3
            )
        })
}

/// Returns the zone of a balancer or an endpoint.
pub(super) fn zone_of(name: &str) -> &'static str {
    addresses::zone(name[1..].parse().unwrap_or(0))
}
