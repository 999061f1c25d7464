//! Scenarios, which are read from TOML files: the fleet, the load, and the faults with their times. This
//! module defines and validates the format; [`crate::cluster`] runs scenarios. A scenario holds nothing that
//! its text does not state.

use std::collections::BTreeMap;

use doorproxy::ids::Ticks;
use doorproxy_quotas::rules::{QuotaRules, RateLimit};
use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::upstream::SlowStart;
use serde::{Deserialize, Serialize};

mod fault;

use fault::is_zero;
pub use fault::{ConfiguredList, Fault, FaultKind, FaultTarget, StateDirectoryCondition};

use crate::addresses::{self, CLIENTS, DISCOVERY, MAX_BALANCERS, MAX_UPSTREAMS};

/// The clock drift that the fleet files state, as a ratio.
const CLOCK_DRIFT_RATIO: f64 = 0.05;

/// Returns the burst of a limit whose fleet file states none: the requests of a fifth of a second, and at
/// least one.
fn default_burst(rate: f64) -> f64 {
    (rate / 5.0).max(1.0)
}

/// A scenario: everything that determines a run, apart from the timing of real processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The seed of the load and the network.
    pub seed: u64,
    /// The duration of the load in seconds.
    pub seconds: f64,
    /// The processes and their settings.
    #[serde(default)]
    pub fleet: Fleet,
    /// The requests of the clients.
    #[serde(default)]
    pub load: Load,
    /// The faults.
    #[serde(default, rename = "fault", skip_serializing_if = "Vec::is_empty")]
    pub faults: Vec<Fault>,
}

/// The processes of a scenario and their settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The number of balancers.
    pub balancers: usize,
    /// The number of endpoints.
    pub upstreams: usize,
    /// The number of requests that an endpoint processes at a time.
    pub cores: usize,
    /// The number of requests that may wait at an endpoint.
    #[serde(rename = "queue")]
    pub queue_limit: usize,
    /// The number of sockets that each balancer may use.
    pub sockets: usize,
    /// The fraction of its capacity that an endpoint has after a cold start.
    #[serde(rename = "cold_from")]
    pub initial_fraction: f64,
    /// The seconds until an endpoint has its full capacity.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// The multiple of its current capacity at which a warming endpoint collapses.
    #[serde(rename = "fall_multiple")]
    pub overload_factor: f64,
    /// The seconds over which the work sent to a warming endpoint is summed.
    #[serde(rename = "fall_s")]
    pub overload_window_s: f64,
    /// The milliseconds that discovery needs for a call; it handles one at a time.
    #[serde(rename = "list_ms")]
    pub discovery_call_ms: f64,
    /// The seconds within which a balancer must follow a change of the endpoint list.
    #[serde(rename = "ask_within_s")]
    pub max_staleness_s: f64,
    /// True if balancers keep their state in a state directory, by `serve --fleet`.
    #[serde(rename = "state")]
    pub keeps_state: bool,
    /// The endpoint list in a balancer's configuration at the first start.
    #[serde(rename = "known")]
    pub configured_list: ConfiguredList,
    /// The number of registry replicas, which are the first balancers. If it is set, balancers know each
    /// other, by `[peers]`.
    #[serde(rename = "keepers")]
    pub registry_replicas: Option<usize>,
    /// The number of balancers in the settings, if it differs from the true one.
    #[serde(rename = "settings")]
    pub configured_balancers: Option<u32>,
    /// The setting `reserve` of `[peers]`.
    pub reserve: Option<f64>,
    /// The setting `cut_after` of `[peers]` in seconds: the time after which a balancer reduces its share.
    pub cut_after_s: f64,
    /// The number of workers, one at each balancer, that may hold the permit `task` at a time; needs registry
    /// replicas.
    pub permits: Option<u16>,
    /// The length of a lease in seconds.
    pub lease_s: f64,
    /// The limit of the whole fleet on the requests per second of its only tenant; needs registry replicas.
    pub limit: Option<f64>,
    /// The fallback rate: the requests per second that a disconnected balancer admits. Without it the limit
    /// is strict, and such a balancer admits none.
    #[serde(rename = "floor")]
    pub fallback_rate: Option<f64>,
    /// The seconds for which a balancer counts as connected after a response of its quota allocator.
    #[serde(rename = "touch_s")]
    pub contact_timeout_s: f64,
    /// True if balancers exchange fault reports about endpoints; needs registry replicas.
    #[serde(rename = "claims")]
    pub fault_reports: bool,
}

impl Fleet {
    /// Returns the bound of admitted requests with this many balancers disconnected, as `doorproxy limits
    /// bound` computes it: requests per second, and the overshoot in requests. There is none without a limit.
    pub fn admission_bound(&self, disconnected: usize) -> Option<(f64, f64)> {
        let rate = self.limit?;
        let limit = RateLimit {
            name: String::new(),
            rate,
            burst: default_burst(rate),
            fallback_rate: self.fallback_rate,
        };
        let contact_timeout = Ticks::from_secs_f64(self.contact_timeout_s);
        let rules = QuotaRules {
            limits: BTreeMap::new(),
            shard_count: 1,
            contact_timeout,
            clock_drift_ratio: CLOCK_DRIFT_RATIO,
        };
        let bound = rules.overshoot_bound(&limit, disconnected as u32);
        Some((rate + bound.excess_rate, bound.burst))
    }

    /// Returns the capacity of a warming endpoint, which both the endpoints and the checker use.
    pub fn slow_start(&self) -> SlowStart {
        let micros = |seconds: f64| (seconds * SECOND as f64) as Micros;
        SlowStart {
            initial_fraction: self.initial_fraction,
            warm_up_time: micros(self.warm_up_s),
            overload_factor: self.overload_factor,
            overload_window: micros(self.overload_window_s),
        }
    }
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            balancers: 4,
            upstreams: 6,
            cores: 4,
            queue_limit: 64,
            sockets: 512,
            initial_fraction: 0.2,
            warm_up_s: 6.0,
            overload_factor: 2.5,
            overload_window_s: 1.5,
            discovery_call_ms: 2.0,
            max_staleness_s: 10.0,
            keeps_state: false,
            configured_list: ConfiguredList::Last,
            registry_replicas: None,
            configured_balancers: None,
            reserve: None,
            cut_after_s: 1.0,
            permits: None,
            lease_s: 1.0,
            limit: None,
            fallback_rate: None,
            contact_timeout_s: 0.5,
            fault_reports: false,
        }
    }
}

/// The load of a scenario; [`doorproxy_test_servers::client::LoadProfile`] describes the behaviour of the
/// clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// New requests per second over all balancers.
    pub rate: f64,
    /// The mean processing time of a request in milliseconds.
    pub work_ms: f64,
    /// The timeout of each request in milliseconds.
    pub ttl_ms: f64,
    /// The ratio of deduplicated requests.
    #[serde(rename = "top")]
    pub deduplicated_ratio: f64,
    /// The ratio of non-idempotent requests.
    #[serde(rename = "buy")]
    pub non_idempotent_ratio: f64,
    /// The ratio of clients that abandon their request.
    #[serde(rename = "leave")]
    pub abandon_ratio: f64,
    /// The ratio of clients that retry at once after a rejection.
    #[serde(rename = "again")]
    pub immediate_retry_ratio: f64,
    /// The ratio of clients that retry after the time in `Retry-After`.
    #[serde(rename = "heed")]
    pub retry_after_ratio: f64,
    /// The ratio of requests that go to the first balancer of those that are up.
    #[serde(rename = "uneven", skip_serializing_if = "is_zero")]
    pub first_balancer_ratio: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 150.0,
            work_ms: 10.0,
            ttl_ms: 2000.0,
            deduplicated_ratio: 0.2,
            non_idempotent_ratio: 0.3,
            abandon_ratio: 0.02,
            immediate_retry_ratio: 0.1,
            retry_after_ratio: 0.3,
            first_balancer_ratio: 0.0,
        }
    }
}

/// The longest load and the latest fault of a scenario, which is meant for a test and not for a soak run.
const MAX_SECONDS: f64 = 600.0;

impl Scenario {
    /// Parses and validates a scenario.
    ///
    /// # Errors
    ///
    /// Fails if the text is not TOML of this format or a value is out of range; the error names the line or
    /// the value, and what is accepted.
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|error| error.to_string())?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Returns the scenario as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("a scenario can be written as TOML")
    }

    fn validate(&self) -> Result<(), String> {
        let Fleet { balancers, upstreams, cores, sockets, .. } = self.fleet;
        let within = |name: &str, value: f64, least: f64, most: f64| {
            let is_valid = value >= least && value <= most;
            is_valid
                .then_some(())
                .ok_or_else(|| format!("{name}: {value} is out of range, {least} to {most} expected"))
        };
        within("fleet.balancers", balancers as f64, 1.0, MAX_BALANCERS as f64)?;
        within("fleet.upstreams", upstreams as f64, 1.0, MAX_UPSTREAMS as f64)?;
        within("fleet.cores", cores as f64, 1.0, 1000.0)?;
        within("fleet.sockets", sockets as f64, 128.0, 20_000.0)?;
        within("fleet.fall_s", self.fleet.overload_window_s, 0.1, 60.0)?;
        within("fleet.warm_s", self.fleet.warm_up_s, 0.0, 600.0)?;
        within("fleet.list_ms", self.fleet.discovery_call_ms, 0.0, 10_000.0)?;
        within("fleet.cut_after_s", self.fleet.cut_after_s, 1.0, 60.0)?;
        within("fleet.reserve", self.fleet.reserve.unwrap_or(0.25), 0.05, 0.5)?;
        if let Some(keepers) = self.fleet.registry_replicas
            && (keepers > balancers || ![0, 3, 5, 7].contains(&keepers))
        {
            return Err(format!(
                "fleet.keepers: {keepers} of {balancers} balancers is not accepted; 0, 3, 5 or 7 of \
                 them expected"
            ));
        }
        within("fleet.lease_s", self.fleet.lease_s, 1.0, 60.0)?;
        if self.fleet.permits.is_some() && self.fleet.registry_replicas.unwrap_or(0) == 0 {
            return Err("fleet.permits: fleet.keepers is missing, which permits need".to_string());
        }
        if self.fleet.limit.is_some() && self.fleet.registry_replicas.unwrap_or(0) == 0 {
            return Err("fleet.limit: fleet.keepers is missing, which a limit needs".to_string());
        }
        if self.fleet.fault_reports && self.fleet.registry_replicas.unwrap_or(0) == 0 {
            return Err("fleet.claims: fleet.keepers is missing, which fault reports need".to_string());
        }
        let limit = self.fleet.limit.unwrap_or(1.0);
        within("fleet.limit", limit, 0.1, 1e6)?;
        within("fleet.floor", self.fleet.fallback_rate.unwrap_or(limit), 0.01, limit)?;
        within("fleet.touch_s", self.fleet.contact_timeout_s, 0.2, 10.0)?;
        within("load.uneven", self.load.first_balancer_ratio, 0.0, 1.0)?;
        within("seconds", self.seconds, 0.1, MAX_SECONDS)?;
        within("load.rate", self.load.rate, 0.1, 20_000.0)?;
        within("load.ttl_ms", self.load.ttl_ms, 50.0, 60_000.0)?;
        within("load.work_ms", self.load.work_ms, 0.1, 10_000.0)?;
        for (index, fault) in self.faults.iter().enumerate() {
            let with_fault = |error: String| format!("fault {}, {fault}: {error}", index + 1);
            within("at", fault.at, 0.0, MAX_SECONDS).map_err(with_fault)?;
            within("for", fault.duration_s, 0.0, MAX_SECONDS).map_err(with_fault)?;
            within("within", fault.restart_spread_s, 0.0, MAX_SECONDS).map_err(with_fault)?;
            match fault.kind.magnitude_range() {
                Some((meaning, least, most)) => {
                    within(&format!("size ({meaning})"), fault.magnitude, least, most)
                }
                None if fault.magnitude != 0.0 => {
                    Err(format!("size: {} is set, but this kind of fault has no size", fault.magnitude))
                }
                None => Ok(()),
            }
            .map_err(with_fault)?;
            self.validate_target(fault).map_err(with_fault)?;
        }
        Ok(())
    }

    fn validate_target(&self, fault: &Fault) -> Result<(), String> {
        match fault.kind.target() {
            FaultTarget::Paths if !fault.targets.is_empty() => {
                Err("who: a fault of network paths has none, `way` expected".to_string())
            }
            FaultTarget::Paths => self.matching_paths(&fault.paths).map(drop),
            _ if !fault.paths.is_empty() => {
                Err("way: only a fault of network paths has one, `who` expected".to_string())
            }
            FaultTarget::Discovery if fault.targets.is_empty() => Ok(()),
            FaultTarget::Discovery => Err("who: a fault of discovery has none".to_string()),
            FaultTarget::Balancers if fault.kind.is_manual_ejection() => {
                let (upstreams, balancers) = self.parse_manual_ejection(&fault.targets)?;
                if fault.kind == FaultKind::FleetEjection && self.fleet.registry_replicas.is_none() {
                    return Err("fleet.keepers is missing, which a fleet override needs".to_string());
                }
                let is_complete = !upstreams.is_empty() && !balancers.is_empty();
                is_complete.then_some(()).ok_or_else(|| "who: no process matches".to_string())
            }
            target => {
                let prefix = if target == FaultTarget::Balancers { 'n' } else { 'u' };
                let names = self.matching_nodes(&fault.targets)?;
                let other = names.iter().find(|name| !name.starts_with(prefix));
                other.map_or(Ok(()), |other| {
                    Err(format!("who: {other} can't have this fault, names such as {prefix}0 expected"))
                })
            }
        }
    }

    /// Parses the target of an ejection, such as `u2 at n0`, into endpoints and the balancers that are
    /// called.
    ///
    /// # Errors
    ///
    /// Fails if the text does not have this form or a part of it matches no process.
    pub fn parse_manual_ejection(&self, who: &str) -> Result<(Vec<String>, Vec<String>), String> {
        let invalid = || format!("who: {who:?} does not eject upstreams; the form \"u2 at n0\" expected");
        let (upstreams, balancers) = who.split_once(" at ").ok_or_else(invalid)?;
        let (upstreams, balancers) = (self.matching_nodes(upstreams)?, self.matching_nodes(balancers)?);
        let is_valid = upstreams.iter().all(|name| name.starts_with('u'))
            && balancers.iter().all(|name| name.starts_with('n'));
        is_valid.then_some((upstreams, balancers)).ok_or_else(invalid)
    }

    /// Returns the names of all processes that a pattern matches, sorted.
    ///
    /// # Errors
    ///
    /// Fails if a part of the pattern matches no process.
    pub fn matching_nodes(&self, pattern: &str) -> Result<Vec<String>, String> {
        let balancers =
            (0..self.fleet.balancers).map(|index| (addresses::balancer_name(index), addresses::zone(index)));
        let upstreams =
            (0..self.fleet.upstreams).map(|index| (addresses::upstream_name(index), addresses::zone(index)));
        let others = [(DISCOVERY.to_string(), ""), (CLIENTS.to_string(), "")];
        let all: Vec<(String, &str)> = balancers.chain(upstreams).chain(others).collect();
        let mut names = Vec::new();
        for part in pattern.split(',').map(str::trim) {
            let range = part.split_once("..").and_then(|(from, to)| {
                let index = |name: &str| all.iter().position(|(known, _)| known == name);
                Some((index(from)?, index(to)?))
            });
            let matches = |index: usize, name: &str, zone: &str| match part {
                "*" => true,
                "n*" => name.starts_with('n'),
                "u*" => name.starts_with('u'),
                part if part.starts_with("zone ") => part[5..] == *zone,
                part => name == part || range.is_some_and(|(from, to)| (from..=to).contains(&index)),
            };
            let matching: Vec<String> = all
                .iter()
                .enumerate()
                .filter(|(index, (name, zone))| matches(*index, name, zone))
                .map(|(_, (name, _))| name.clone())
                .collect();
            if matching.is_empty() {
                return Err(format!(
                    "{part:?} matches no process; names are n0 to n{}, u0 to u{}, {DISCOVERY} and {CLIENTS}; \
                     patterns are n*, u*, *, zone east, n0..n2",
                    self.fleet.balancers - 1,
                    self.fleet.upstreams - 1
                ));
            }
            names.extend(matching);
        }
        names.sort();
        names.dedup();
        Ok(names)
    }

    /// Returns all network paths that a pattern matches, as pairs of names, from and to.
    ///
    /// # Errors
    ///
    /// Fails if the pattern has not the form of a path, or matches none.
    pub fn matching_paths(&self, pattern: &str) -> Result<Vec<(String, String)>, String> {
        let (is_both, ends) = match pattern.split_once("<->") {
            Some(ends) => (true, ends),
            None => {
                let ends = pattern.split_once("->").ok_or_else(|| {
                    format!("way: {pattern:?} is not a path; the form \"n3->u5\" or \"n*<->list\" expected")
                })?;
                (false, ends)
            }
        };
        let (from, to) = (self.matching_nodes(ends.0.trim())?, self.matching_nodes(ends.1.trim())?);
        let mut paths = Vec::new();
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (a, b))) {
            // Every path has a balancer at one end at least.
            if a != b && (a.starts_with('n') || b.starts_with('n')) {
                paths.push((a.clone(), b.clone()));
                if is_both {
                    paths.push((b.clone(), a.clone()));
                }
            }
        }
        paths.sort();
        paths.dedup();
        if paths.is_empty() {
            Err(format!("way: {pattern:?} matches no path; a balancer at one end expected"))
        } else {
            Ok(paths)
        }
    }

    /// Returns when the last fault is over, counted from the start of the load.
    pub fn faults_end(&self) -> Micros {
        let ends = self.faults.iter().map(|fault| fault.at + fault.duration_s + fault.restart_spread_s);
        (ends.fold(0.0, f64::max) * SECOND as f64) as Micros
    }
}

#[cfg(test)]
mod tests;
