//! Generates scenarios from seeds: a small fleet with overlapping faults. A scenario depends on nothing but
//! its seed.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::scenario::{
    ConfiguredList, Fault, FaultKind, FaultTarget, Fleet, Load, Scenario, StateDirectoryCondition,
};

fn round_to_tenth(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Separates the random numbers for limits from all others.
const LIMIT_SEED_SALT: u64 = 0x11317;

/// Generates the scenario of a seed.
pub fn generate(seed: u64) -> Scenario {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let registry_replicas = rng.random_bool(0.5).then_some(3);
    let fleet = Fleet {
        registry_replicas,
        reserve: rng.random_bool(0.5).then_some(0.25),
        permits: registry_replicas.filter(|_| rng.random_bool(0.7)).map(|_| rng.random_range(1..=2)),
        balancers: rng.random_range(3..=8),
        upstreams: rng.random_range(3..=8),
        configured_list: if rng.random_bool(0.2) { ConfiguredList::Empty } else { ConfiguredList::Last },
        keeps_state: rng.random_bool(0.5),
        discovery_call_ms: f64::from(rng.random_range(1..=20)),
        ..Fleet::default()
    };
    let mut load = Load { rate: f64::from(rng.random_range(60..=200)), ..Load::default() };
    let mut fleet = fleet;
    // Limits have random numbers of their own, so that seeds from before limits existed generate the same
    // rest.
    let mut limit_rng = Pcg64Mcg::seed_from_u64(seed ^ LIMIT_SEED_SALT);
    if registry_replicas.is_some() && limit_rng.random_bool(0.6) {
        let limit = (load.rate * limit_rng.random_range(0.3..1.2)).round();
        fleet.limit = Some(limit);
        fleet.fallback_rate =
            limit_rng.random_bool(0.5).then(|| round_to_tenth(limit / fleet.balancers as f64).max(0.1));
        fleet.fault_reports = limit_rng.random_bool(0.5);
        load.first_balancer_ratio = round_to_tenth(limit_rng.random_range(0.0..0.9));
    }
    let mut scenario = Scenario {
        seed,
        seconds: round_to_tenth(rng.random_range(6.0..9.0)),
        fleet,
        load,
        faults: Vec::new(),
    };
    for _ in 0..rng.random_range(2..=6) {
        let fault = random_fault(&mut rng, &scenario);
        scenario.faults.push(fault);
    }
    scenario.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    scenario
}

fn random_fault(rng: &mut Pcg64Mcg, scenario: &Scenario) -> Fault {
    let kind = match FaultKind::ALL[rng.random_range(0..FaultKind::ALL.len())] {
        FaultKind::FleetEjection if scenario.fleet.registry_replicas.is_none() => FaultKind::ManualEjection,
        kind => kind,
    };
    let (balancers, upstreams) = (scenario.fleet.balancers, scenario.fleet.upstreams);
    let random_pattern = |rng: &mut Pcg64Mcg, prefix: char, count: usize| match rng.random_range(0..4) {
        0 => format!("{prefix}*"),
        1 => format!("{prefix}0..{prefix}{}", rng.random_range(0..count)),
        _ => format!("{prefix}{}", rng.random_range(0..count)),
    };
    let (mut targets, mut paths) = (String::new(), String::new());
    match kind.target() {
        FaultTarget::Balancers if kind.is_manual_ejection() => {
            targets = format!("u{} at n{}", rng.random_range(0..upstreams), rng.random_range(0..balancers));
        }
        FaultTarget::Balancers => targets = random_pattern(rng, 'n', balancers),
        FaultTarget::Upstreams => targets = random_pattern(rng, 'u', upstreams),
        FaultTarget::Discovery => {}
        FaultTarget::Paths => {
            let from = random_pattern(rng, 'n', balancers);
            let affects_datagrams =
                matches!(kind, FaultKind::Duplicate | FaultKind::Reorder | FaultKind::Corrupt);
            let is_between_balancers =
                affects_datagrams || scenario.fleet.registry_replicas.is_some() && rng.random_bool(0.5);
            let to = match rng.random_range(0..6) {
                _ if is_between_balancers => "n*".to_string(),
                0 => "list".to_string(),
                1 => "clients".to_string(),
                2 => "zone east".to_string(),
                _ => random_pattern(rng, 'u', upstreams),
            };
            let arrow = ["->", "<->", "<->"][rng.random_range(0..3)];
            paths = format!("{from}{arrow}{to}");
        }
    }
    let magnitude = match kind {
        FaultKind::Delay => f64::from(rng.random_range(5..=400)),
        FaultKind::Throttle => f64::from(rng.random_range(2_000..=200_000)),
        FaultKind::Loss => round_to_tenth(rng.random_range(0.1..0.6)),
        FaultKind::Reset
        | FaultKind::Truncate
        | FaultKind::Duplicate
        | FaultKind::Reorder
        | FaultKind::Corrupt => round_to_tenth(rng.random_range(0.1..0.4)),
        FaultKind::SlowDown => f64::from(rng.random_range(2..=10)),
        _ => 0.0,
    };
    let configured_list =
        [ConfiguredList::Last, ConfiguredList::Last, ConfiguredList::First, ConfiguredList::Empty]
            [rng.random_range(0..4)];
    let conditions = [
        StateDirectoryCondition::Kept,
        StateDirectoryCondition::Kept,
        StateDirectoryCondition::Emptied,
        StateDirectoryCondition::Earlier,
        StateDirectoryCondition::Other,
        StateDirectoryCondition::Full,
        StateDirectoryCondition::ReadOnly,
    ];
    let state_directory = conditions[rng.random_range(0..conditions.len())];
    let restarts_balancer = matches!(kind, FaultKind::Kill | FaultKind::Terminate);
    Fault {
        at: round_to_tenth(rng.random_range(0.5..scenario.seconds - 2.0)),
        kind,
        targets,
        paths,
        duration_s: round_to_tenth(rng.random_range(0.3..4.0)),
        magnitude,
        restart_spread_s: if restarts_balancer { round_to_tenth(rng.random_range(0.0..1.5)) } else { 0.0 },
        configured_list: if restarts_balancer { configured_list } else { ConfiguredList::Last },
        state_directory: if restarts_balancer { state_directory } else { StateDirectoryCondition::Kept },
    }
}

#[cfg(test)]
mod tests;
