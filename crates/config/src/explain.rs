//! What a configuration says of one request, and why no other route takes it; and what changes between two files. It
//! must never say other than what a sidecar would do.

use std::fmt::Write;
use std::time::Duration;

use doorproxy_routes::request::{Seen, Unclear};

use crate::plan::{From, Listen, Plan, Repeats, Source};

/// What a route says of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub route: usize,
    pub category: usize,
    pub pool: usize,
    pub key: Option<String>,
    pub hint: Option<String>,
    pub tenant: Option<String>,
    pub ttl: Duration,
}

/// The value of a cookie among those that a client sent.
fn cookie<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    let pairs = fields.split(';').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(known, value)| (known.trim(), value.trim()))
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

fn query<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value)
}

impl Plan {
    /// What a request is, if any route takes it. Fields are asked for by their names in lower case.
    pub fn judge<'a>(
        &self,
        seen: &Seen,
        field: impl Fn(&str) -> Option<&'a str>,
    ) -> Result<Option<Verdict>, Unclear> {
        let strictness =
            |place: usize| self.categories[self.routes[self.route_of[place]].category].repeats.strictness();
        let Some(pattern) = self.router.find_guarded(seen, &field, strictness)? else { return Ok(None) };
        let number = self.route_of[pattern];
        let route = &self.routes[number];
        let value = |from: &Option<From>| -> Option<String> {
            let found = match from.as_ref()? {
                From::Header(name) => field(name)?,
                From::Cookie(name) => cookie(field("cookie")?, name)?,
                From::Query(name) => query(seen.query?, name)?,
                From::Path(place) => seen.segments.get(*place)?,
                From::Fixed(value) => value,
            };
            (!found.is_empty()).then(|| found.to_string())
        };
        let (key, hint, tenant) = (value(&route.key), value(&route.hint), value(&route.tenant));
        let (category, pool, ttl) = (route.category, route.pool, route.ttl);
        Ok(Some(Verdict { route: number, category, pool, key, hint, tenant, ttl }))
    }

    /// For people; the slot is where the key falls in the hashed key space.
    pub fn explain<'a>(
        &self,
        seen: &Seen,
        field: impl Fn(&str) -> Option<&'a str>,
        slot: impl Fn(&str) -> u64,
    ) -> Result<String, Unclear> {
        let mut told = String::new();
        let verdict = self.judge(seen, &field)?;
        let strictness = |_: usize| 0;
        let winner = self.router.find_guarded(seen, &field, strictness)?;
        // A string takes every line.
        match &verdict {
            None => told += "route      none: answered 404\n",
            Some(of) => {
                let (route, category, pool) =
                    (&self.routes[of.route], &self.categories[of.category], &self.pools[of.pool]);
                let _ = writeln!(told, "route      {} ({})", of.route + 1, route.name);
                let _ = writeln!(told, "category   {}, repeats {}", category.name, category.repeats.told());
                if let Some(reason) = &route.repeats_unsafe_because {
                    let _ = writeln!(told, "repeats    an unsafe method, because: {reason}");
                }
                let _ = writeln!(told, "tenant     {}", of.tenant.as_deref().unwrap_or("none"));
                let group = of.key.as_ref().and_then(|key| {
                    let slot = slot(key);
                    let range = pool.ranges.iter().find(|range| (range.from..=range.to).contains(&slot));
                    range.map(|range| range.kind.as_str())
                });
                match &of.key {
                    None => told += "key        none\n",
                    Some(key) => {
                        let _ = writeln!(told, "key        {key:?}, slot {:016x}", slot(key));
                    }
                }
                let derived = if pool.ranges.is_empty() { "by the derived table" } else { "default" };
                let _ = writeln!(told, "group      {}", group.or(pool.default.as_deref()).unwrap_or(derived));
                let _ = writeln!(told, "pool       {}", pool.name);
                let _ = writeln!(told, "ttl        {:?}, target {:?}", of.ttl, category.target);
            }
        }
        let mut others: Vec<(usize, &str)> = Vec::new();
        for (pattern, why) in self.router.passed_over(seen, &field, winner) {
            let route = self.route_of[pattern];
            if Some(route) != verdict.as_ref().map(|of| of.route) && !others.contains(&(route, why)) {
                others.push((route, why));
            }
        }
        for (route, why) in others.iter().take(50) {
            let _ = writeln!(told, "not        {} ({}): {why}", route + 1, self.routes[*route].name);
        }
        if others.len() > 50 {
            let _ = writeln!(told, "not        {} more", others.len() - 50);
        }
        Ok(told)
    }

    pub fn summary(&self) -> String {
        let listen: Vec<String> = self.listen.iter().map(Listen::told).collect();
        let mut told = format!("{} listens on {}\n", self.name, listen.join(", "));
        for pool in &self.pools {
            let _ = match &pool.source {
                Source::Servers(servers) => writeln!(told, "pool {}: {} servers", pool.name, servers.len()),
                Source::Discovery(at) => writeln!(told, "pool {}: listed at {at}", pool.name),
            };
        }
        for category in &self.categories {
            let _ = writeln!(told, "category {}: repeats {}", category.name, category.repeats.told());
        }
        let _ = writeln!(told, "{} routes, {} tenants", self.routes.len(), self.tenants.len());
        told
    }

    /// What a new file changes, a line each; those that begin with ! want a second look.
    pub fn changes(&self, new: &Plan) -> Vec<String> {
        let mut told = Vec::new();
        for old in &self.categories {
            let Some(of) = new.categories.iter().find(|of| of.name == old.name) else {
                told.push(format!("! category {} is gone: its ops in hand end under the old file", old.name));
                continue;
            };
            if of.repeats != old.repeats {
                let mark = if of.repeats.strictness() < old.repeats.strictness() { "! " } else { "  " };
                let (from, to) = (old.repeats.told(), of.repeats.told());
                told.push(format!("{mark}category {} repeats {to}, before {from}", old.name));
            }
            if (of.ttl, of.target) != (old.ttl, old.target) {
                told.push(format!(
                    "  category {}: ttl {:?}, target {:?}, before {:?}, {:?}",
                    old.name, of.ttl, of.target, old.ttl, old.target
                ));
            }
        }
        for old in &self.pools {
            let Some(of) = new.pools.iter().find(|of| of.name == old.name) else {
                told.push(format!("! pool {} is gone", old.name));
                continue;
            };
            if of.ranges != old.ranges || of.default != old.default {
                told.push(format!("! pool {}: keys move to other groups", old.name));
            }
            if let (Source::Servers(before), Source::Servers(now)) = (&old.source, &of.source) {
                let gone =
                    before.iter().filter(|server| !now.iter().any(|of| of.name == server.name)).count();
                let come =
                    now.iter().filter(|server| !before.iter().any(|of| of.name == server.name)).count();
                if gone + come > 0 {
                    let mark = if gone * 2 >= before.len() { "! " } else { "  " };
                    told.push(format!(
                        "{mark}pool {}: {gone} servers go, {come} come, of {}",
                        old.name,
                        before.len()
                    ));
                }
            } else if of.source != old.source {
                told.push(format!("! pool {}: its servers come from elsewhere", old.name));
            }
        }
        for old in &self.routes {
            let Some(of) = new.routes.iter().find(|of| of.name == old.name) else {
                told.push(format!("  route {} is gone: other routes take its requests, or none", old.name));
                continue;
            };
            let (before, now) = (&self.categories[old.category], &new.categories[of.category]);
            if before.name != now.name {
                let mark = if now.repeats.strictness() < before.repeats.strictness() { "! " } else { "  " };
                told.push(format!(
                    "{mark}route {} is {} (repeats {}), before {}",
                    old.name,
                    now.name,
                    now.repeats.told(),
                    before.name
                ));
            }
            let (before, now) = (&self.pools[old.pool].name, &new.pools[of.pool].name);
            if before != now {
                told.push(format!("! route {} goes to pool {now}, before {before}", old.name));
            }
        }
        for of in new.routes.iter().filter(|of| !self.routes.iter().any(|old| old.name == of.name)) {
            let category = &new.categories[of.category];
            let mark = if category.repeats == Repeats::Never { "  " } else { "! " };
            told.push(format!(
                "{mark}route {} is new: {}, repeats {}",
                of.name,
                category.name,
                category.repeats.told()
            ));
        }
        told
    }
}

impl Listen {
    pub fn told(&self) -> String {
        match self {
            Listen::Tcp(address) => address.to_string(),
            Listen::Unix(path) => path.display().to_string(),
        }
    }
}
