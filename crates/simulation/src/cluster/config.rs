//! Builds the configuration of each balancer and sidecar.

use std::net::SocketAddr;

use doorproxy::rng::mix;
use doorproxy_balancer::assembly;
use doorproxy_config::sidecar::SidecarConfig;
use serde_json::{Value, json};

use crate::context::ClusterContext;
use crate::discovery_service::MAX_POLL_INTERVAL;
use crate::limits::{
    MAX_ATTEMPTS, OVERLOAD_FACTOR, OVERLOAD_WINDOW, SLOW_START_INITIAL_FRACTION, WARM_UP_TIME,
};
use crate::nodes::{BalancerNode, EndpointEntry, EndpointState, UpstreamServer};
use crate::request_class::{
    DEDUP_WINDOW, DEDUPLICATED_CLASS, IDEMPOTENT_CLASS, NON_IDEMPOTENT_CLASS, REQUEST_CLASSES, RequestClass,
};
use crate::time::{MS, Micros, SECOND};
use crate::upstream::KEEPALIVE_TIMEOUT;

/// The port of a balancer's admin API.
pub(super) const ADMIN_PORT: u16 = 9800;
/// The ratio of the quota of the only tenant to the rate of the load.
const QUOTA_FACTOR: f64 = 4.0;

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

fn millis(time: Micros) -> String {
    format!("{}ms", time / MS)
}

/// Returns the seed of a balancer's process.
pub(super) fn process_seed(context: &ClusterContext, index: usize, start: u32) -> u64 {
    mix(context.scenario.seed ^ (index as u64) << 32 ^ u64::from(start))
}

/// Returns the address of a balancer's admin API.
pub(super) fn admin_address(balancer: &BalancerNode) -> SocketAddr {
    SocketAddr::new(balancer.address.ip(), ADMIN_PORT)
}

/// Builds the configuration of a balancer, with the current endpoint list.
pub(super) fn balancer_config(context: &ClusterContext, index: usize) -> Value {
    let state = context.state();
    let balancer = &state.balancers[index];
    let listed = state.endpoints.values().filter(|entry| entry.state != EndpointState::Left);
    let servers: Vec<Value> = listed.map(EndpointEntry::to_json).collect();
    let sockets = context.scenario.socket_limit as usize + assembly::ADMIN_DESCRIPTORS;
    json!({
        "name": format!("b{index}"),
        "listen": balancer.address.to_string(),
        "control": admin_address(balancer).to_string(),
        "discovery": state.discovery_address.to_string(),
        "seed": format!("{:x}", process_seed(context, index, balancer.start_count)),
        "limits": { "cores": 1.0, "memory_mb": 64, "sockets": sockets },
        "known": { "version": state.version, "full": true, "servers": servers },
        "settings": settings(context, index),
    })
}

fn settings(context: &ClusterContext, index: usize) -> Value {
    json!({
        "categories": request_classes(context),
        "projects": [{
            "name": "acme", "quota_per_s": context.scenario.requests_per_second * QUOTA_FACTOR,
        }],
        "overage_benefit": 0.1,
        "dcs": ["z0", "z1"],
        "kinds": ["k0", "k1", "k2"],
        "n_instances": context.scenario.balancers,
        "ordinal": index,
        "discovery": "on_request",
        "limits": {
            "max_pushes": MAX_ATTEMPTS, "second_copies": true, "cancelling": true,
            "retry_after": true, "max_retry_after": 2.0,
            "connect_timeout": 0.25, "keepalive": seconds(KEEPALIVE_TIMEOUT),
        },
        "obligations": {
            "ask_within": seconds(MAX_POLL_INTERVAL),
            "cold_from": SLOW_START_INITIAL_FRACTION, "cold": seconds(WARM_UP_TIME),
            "fall_multiple": OVERLOAD_FACTOR, "fall": seconds(OVERLOAD_WINDOW),
        },
    })
}

fn request_classes(context: &ClusterContext) -> Vec<Value> {
    let class = |index: usize, semantics: &str| {
        let RequestClass { name, timeout, latency_objective_secs } = &REQUEST_CLASSES[index];
        json!({
            "name": name, "benefit": 1.0 + index as f64, "target_latency": latency_objective_secs,
            "ttl": seconds(*timeout), "semantics": semantics,
        })
    };
    let mut deduplicated = class(DEDUPLICATED_CLASS, "token");
    deduplicated["dedup_scope"] = json!(context.dedup_scope().name());
    deduplicated["window"] = json!(seconds(DEDUP_WINDOW));
    vec![class(IDEMPOTENT_CLASS, "pure"), deduplicated, class(NON_IDEMPOTENT_CLASS, "side_effect")]
}

/// Builds the configuration of a sidecar, with the same request classes and the current endpoints. The timeouts
/// are multiplied by a factor of at most 1.
pub(super) fn sidecar_config(context: &ClusterContext, index: usize, timeout_factor: f64) -> SidecarConfig {
    let text = sidecar_config_text(context, index, timeout_factor);
    let checked = doorproxy_config::check::check(&text, None);
    let Some(config) = checked.config else {
        unreachable!("the sidecar file is valid: {:?}", checked.findings)
    };
    config
}

fn sidecar_config_text(context: &ClusterContext, index: usize, timeout_factor: f64) -> String {
    let state = context.state();
    let address = state.balancers[index].address;
    let mut text = format!("name = \"b{index}\"\nunrouted = \"not-found\"\n");
    text += &format!("listen = [{{ address = \"{address}\", allow_not_loopback = true }}]\n");
    text += &format!(
        "limits = {{ sharers = {}, sockets = {}, keepalive = \"{}\", body = \"1MiB\" }}\n",
        context.scenario.balancers,
        context.scenario.socket_limit,
        millis(KEEPALIVE_TIMEOUT)
    );
    text += &sidecar_categories(context, timeout_factor);
    text += "[pool.main]\nservers = [\n";
    for server in &state.servers {
        text += &sidecar_server(server);
    }
    text += "]\n";
    for class in &REQUEST_CLASSES {
        text += &sidecar_route(class.name);
    }
    text
}

fn sidecar_categories(context: &ClusterContext, timeout_factor: f64) -> String {
    let scope = context.dedup_scope().name();
    let window = millis(DEDUP_WINDOW);
    let repeats = [
        "repeats = \"always\"".to_string(),
        format!("repeats = \"deduplicated\", group = \"{scope}\", window = \"{window}\""),
        "repeats = \"never\"".to_string(),
    ];
    let categories = REQUEST_CLASSES.iter().zip(repeats).map(|(class, repeats)| {
        let RequestClass { name, timeout, latency_objective_secs } = class;
        let ttl = millis((*timeout as f64 * timeout_factor) as Micros);
        let target = latency_objective_secs * timeout_factor;
        format!("category.{name} = {{ {repeats}, ttl = \"{ttl}\", target = \"{target}s\" }}\n")
    });
    categories.collect()
}

fn sidecar_server(server: &UpstreamServer) -> String {
    let UpstreamServer { name, address, zone, cell, kind, .. } = server;
    format!(
        "{{ name = \"{name}\", address = \"{address}\", zone = \"{zone}\", \
         cell = {cell}, kind = \"{kind}\" }},\n"
    )
}

fn sidecar_route(class: &str) -> String {
    let methods = if class == "look" { "methods = [\"GET\"]\n" } else { "" };
    let repeats = if class == "top" { "may_repeat_unsafe = \"servers drop repeats\"\n" } else { "" };
    format!(
        "[[route]]\npath = \"/api/{class}\"\n{methods}{repeats}category = \"{class}\"\npool = \"main\"\n\
         key = \"header:req-key\"\nhint = \"header:req-cost\"\n"
    )
}
