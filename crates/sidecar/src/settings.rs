//! Derives the settings of the dispatchers from the configuration of a sidecar.

use std::time::Duration;

use doorproxy::ids::Ticks;
use doorproxy::rng::hash_text;
use doorproxy::settings::{DedupScope, Idempotency, RequestClass, Settings, SlowStart};
use doorproxy_config::sidecar::{self, SidecarConfig};

/// Allows the first attempt of a request and two retries.
const MAX_ATTEMPTS: u16 = 3;
/// Limits the `Retry-After` of a rejected request.
pub const MAX_RETRY_AFTER: Ticks = Ticks(20_000);
const MICROS_PER_TICK: u128 = 100;
/// Scales the priority weight of a request above its tenant's quota.
const OVER_QUOTA_FACTOR: f64 = 0.1;
const MAX_POLL_INTERVAL_SECONDS: f64 = 10.0;
const WARM_UP_SECONDS: f64 = 20.0;
const OVERLOAD_WINDOW_SECONDS: f64 = 2.0;
const OVERLOAD_FACTOR: f64 = 2.5;
/// Sets the share of its capacity that an endpoint may use at its start.
const SLOW_START_FRACTION: f64 = 0.2;

/// Converts a standard duration to ticks, rounded down.
pub(crate) fn ticks(duration: Duration) -> Ticks {
    Ticks((duration.as_micros() / MICROS_PER_TICK) as i64)
}

fn idempotency(configured: &sidecar::Idempotency) -> Idempotency {
    match *configured {
        sidecar::Idempotency::Idempotent => Idempotency::Idempotent,
        sidecar::Idempotency::NonIdempotent => Idempotency::NonIdempotent,
        sidecar::Idempotency::Deduplicated(scope, window) => {
            let scope = match scope {
                sidecar::DedupScope::All => DedupScope::All,
                sidecar::DedupScope::Zone => DedupScope::Zone,
                sidecar::DedupScope::Cell => DedupScope::Cell,
            };
            Idempotency::Deduplicated { scope, window: ticks(window) }
        }
    }
}

fn request_class(configured: &sidecar::RequestClass) -> RequestClass {
    RequestClass {
        priority_weight: configured.priority_weight,
        latency_objective: ticks(configured.latency_objective),
        objective_stretch_factor: 0.0,
        timeout: ticks(configured.timeout),
        late_weight_ratio: 0.0,
        idempotency: idempotency(&configured.idempotency),
    }
}

/// Returns the settings that all pools share.
pub fn settings(config: &SidecarConfig) -> Settings {
    // Requests without a configured tenant belong to an additional tenant without a quota.
    let other_tenants = (!config.tenants.is_empty()).then_some(f64::MAX);
    let balancer_count = config.limits.balancer_count;
    Settings {
        classes: config.classes.iter().map(request_class).collect(),
        tenant_quotas: config.tenants.iter().map(|tenant| tenant.quota).chain(other_tenants).collect(),
        balancer_count,
        // The indices of sidecars need not be distinct, as long as they are spread evenly.
        balancer_index: (hash_text(&config.name) % u64::from(balancer_count.max(1))) as u32,
        over_quota_factor: OVER_QUOTA_FACTOR,
        max_attempts: MAX_ATTEMPTS,
        hedging_enabled: true,
        cancellation_enabled: true,
        connect_timeout: ticks(config.limits.connect_timeout),
        max_retry_after: Some(MAX_RETRY_AFTER),
        load_report_field: None,
        connections_free: false,
        probe_cost_ratio: 0.0,
        zone: None,
        discovery_polled: false,
        only_draining_is_binding: false,
        max_poll_interval: Ticks::from_secs_f64(MAX_POLL_INTERVAL_SECONDS),
        slow_start: SlowStart {
            fleet_ratio: 1.0,
            initial_fraction: SLOW_START_FRACTION,
            warm_up_time: Ticks::from_secs_f64(WARM_UP_SECONDS),
            overload_factor: OVERLOAD_FACTOR,
            overload_window: Ticks::from_secs_f64(OVERLOAD_WINDOW_SECONDS),
        },
    }
}
