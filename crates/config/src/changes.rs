//! Compares a new configuration with the one in use, and describes the differences.

use crate::sidecar::{EndpointSource, Idempotency, Pool, Route, SidecarConfig, StaticEndpoint};

/// Says whether a change should be reviewed before it is applied, in which case its line is marked.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Risk {
    Ordinary,
    Risky,
}

impl Risk {
    fn risky_if(condition: bool) -> Risk {
        if condition { Risk::Risky } else { Risk::Ordinary }
    }

    fn mark(self) -> &'static str {
        match self {
            Risk::Ordinary => "  ",
            Risk::Risky => "! ",
        }
    }
}

/// Returns whether the new rule allows more retries than the old one.
fn repeats_more(old: Idempotency, new: Idempotency) -> bool {
    new.strictness() < old.strictness()
}

/// Collects the lines that describe the changes.
#[derive(Default)]
struct Changes(Vec<String>);

impl Changes {
    fn push(&mut self, risk: Risk, text: String) {
        self.0.push(format!("{}{text}", risk.mark()));
    }
}

impl SidecarConfig {
    /// Describes what a new configuration changes, one line for each change. A risky one begins with `!`.
    pub fn changes(&self, new: &SidecarConfig) -> Vec<String> {
        let mut changes = Changes::default();
        self.compare_classes(new, &mut changes);
        for old_pool in &self.pools {
            match new.pools.iter().find(|pool| pool.name == old_pool.name) {
                Some(new_pool) => compare_pools(old_pool, new_pool, &mut changes),
                None => changes.push(Risk::Risky, format!("pool {} is removed", old_pool.name)),
            }
        }
        for old_route in &self.routes {
            match new.routes.iter().find(|route| route.name == old_route.name) {
                Some(new_route) => self.compare_routes(old_route, new, new_route, &mut changes),
                None => changes.push(
                    Risk::Ordinary,
                    format!("route {} is removed: its requests match other routes or none", old_route.name),
                ),
            }
        }
        self.describe_new_routes(new, &mut changes);
        changes.0
    }

    fn compare_classes(&self, new: &SidecarConfig, changes: &mut Changes) {
        for old_class in &self.classes {
            let name = &old_class.name;
            let Some(new_class) = new.classes.iter().find(|class| class.name == *name) else {
                changes.push(
                    Risk::Risky,
                    format!("category {name} is removed: its requests in flight finish under the old file"),
                );
                continue;
            };
            let (old_repeats, new_repeats) = (old_class.idempotency, new_class.idempotency);
            if new_repeats != old_repeats {
                let risk = Risk::risky_if(repeats_more(old_repeats, new_repeats));
                let (before, now) = (old_repeats.describe(), new_repeats.describe());
                changes.push(risk, format!("category {name}: repeats {now}, previously {before}"));
            }
            let old_times = (old_class.timeout, old_class.latency_objective);
            let new_times = (new_class.timeout, new_class.latency_objective);
            if new_times != old_times {
                let text = format!(
                    "category {name}: ttl {:?}, target {:?}, previously ttl {:?}, target {:?}",
                    new_times.0, new_times.1, old_times.0, old_times.1
                );
                changes.push(Risk::Ordinary, text);
            }
        }
    }

    fn compare_routes(
        &self,
        old_route: &Route,
        new: &SidecarConfig,
        new_route: &Route,
        changes: &mut Changes,
    ) {
        let name = &old_route.name;
        let (old_class, new_class) = (&self.classes[old_route.class], &new.classes[new_route.class]);
        if old_class.name != new_class.name {
            let risk = Risk::risky_if(repeats_more(old_class.idempotency, new_class.idempotency));
            let repeats = new_class.idempotency.describe();
            let text = format!(
                "route {name}: category {} (repeats {repeats}), previously {}",
                new_class.name, old_class.name
            );
            changes.push(risk, text);
        }
        let (old_pool, new_pool) = (&self.pools[old_route.pool].name, &new.pools[new_route.pool].name);
        if old_pool != new_pool {
            changes.push(Risk::Risky, format!("route {name}: pool {new_pool}, previously {old_pool}"));
        }
    }

    fn describe_new_routes(&self, new: &SidecarConfig, changes: &mut Changes) {
        let is_known = |route: &Route| self.routes.iter().any(|old| old.name == route.name);
        for route in new.routes.iter().filter(|route| !is_known(route)) {
            let class = &new.classes[route.class];
            let risk = Risk::risky_if(class.idempotency != Idempotency::NonIdempotent);
            let repeats = class.idempotency.describe();
            changes.push(
                risk,
                format!("route {} is added: category {}, repeats {repeats}", route.name, class.name),
            );
        }
    }
}

fn compare_pools(old_pool: &Pool, new_pool: &Pool, changes: &mut Changes) {
    let name = &old_pool.name;
    if new_pool.key_ranges != old_pool.key_ranges || new_pool.default_kind != old_pool.default_kind {
        changes.push(Risk::Risky, format!("pool {name}: keys move to other endpoint kinds"));
    }
    match (&old_pool.source, &new_pool.source) {
        (EndpointSource::Static(old_endpoints), EndpointSource::Static(new_endpoints)) => {
            compare_endpoints(name, old_endpoints, new_endpoints, changes);
        }
        (old_source, new_source) if new_source != old_source => {
            changes.push(Risk::Risky, format!("pool {name}: the source of its servers changes"));
        }
        _ => {}
    }
}

/// Counts the removed and the added endpoints. The removal of half of them or more is risky.
fn compare_endpoints(pool: &str, old: &[StaticEndpoint], new: &[StaticEndpoint], changes: &mut Changes) {
    let count_missing = |from: &[StaticEndpoint], of: &[StaticEndpoint]| {
        let is_missing = |endpoint: &&StaticEndpoint| !from.iter().any(|known| known.name == endpoint.name);
        of.iter().filter(is_missing).count()
    };
    let removed = count_missing(new, old);
    let added = count_missing(old, new);
    if removed + added > 0 {
        let risk = Risk::risky_if(removed * 2 >= old.len());
        let text =
            format!("pool {pool}: {removed} servers removed and {added} added, previously {}", old.len());
        changes.push(risk, text);
    }
}
