//! Generates scenarios. The seed alone determines a scenario.
//!
//! Half of the scenarios aim at one of the hard cases. All contain additional overlapping faults, many of
//! which begin or end together with another.

use doorproxy::rng::{Pcg, mix};

use crate::hard_cases::HardCase;
use crate::kernel::random_below;
use crate::scenario::{Fault, FaultKind, Scenario, TRIGGERING_SERVER, Trigger, TriggerEvent};
use crate::time::{MS, Micros, SECOND};

/// The number of zones; endpoints are assigned to them in turn.
const ZONES: u64 = 2;
const MAX_MEAN_WORK: Micros = 400 * MS;
/// The number of kinds of faults that are generated, the first ones. The others occur in kept scenarios alone:
/// a larger number would change the scenario of each seed.
const GENERATED_KINDS: u64 = 31;
/// Makes the random numbers of shutdown scenarios independent of those of the same seed's load.
const SHUTDOWN_SALT: u64 = 0x51_67e4;
/// The earliest time of a shutdown request in a shutdown scenario.
const MIN_SIGNAL_TIME: Micros = 2 * SECOND;
/// The time before the signal from which on other faults of a shutdown scenario begin.
const SIGNAL_LEAD: Micros = 1500 * MS;
const PLENTY_OF_SOCKETS: u32 = 1024;
const RELOADED_TIMEOUT_FACTORS: [f64; 3] = [0.4, 0.7, 1.0];

fn random_between(rng: &mut Pcg, min: u64, max: u64) -> u64 {
    min + random_below(rng, max - min + 1)
}

/// Returns the number of possible targets of a kind of fault.
fn target_count(scenario: &Scenario, kind: FaultKind) -> u64 {
    match kind {
        FaultKind::LoseZone => ZONES,
        FaultKind::Partition
        | FaultKind::DiscoveryPartition
        | FaultKind::KillBalancer
        | FaultKind::ShutDownBalancer
        | FaultKind::ReloadSidecar
        | FaultKind::MoveDiscovery => u64::from(scenario.balancers),
        _ => u64::from(scenario.servers),
    }
}

fn second_target_count(scenario: &Scenario, kind: FaultKind) -> u64 {
    match kind {
        FaultKind::OneWayPartition | FaultKind::EjectManually => u64::from(scenario.balancers),
        _ => u64::from(scenario.servers),
    }
}

fn random_magnitude(rng: &mut Pcg, kind: FaultKind) -> f64 {
    match kind {
        FaultKind::SlowServer => random_between(rng, 2, 12) as f64,
        FaultKind::DiscoveryDelay => random_between(rng, 1, 8) as f64 / 2.0,
        FaultKind::RequestStorm => random_between(rng, 2, 6) as f64,
        FaultKind::DelayAccepts => random_between(rng, 40, 240) as f64,
        FaultKind::SlowNetwork => random_between(rng, 1, 15) as f64,
        _ => 0.0,
    }
}

/// Draws all fields of a fault, and then sets those that the pattern of its kind does not contain to 0.
fn random_fault(rng: &mut Pcg, scenario: &Scenario, kind: FaultKind, trigger: Trigger) -> Fault {
    let magnitude = random_magnitude(rng, kind);
    let target = random_below(rng, target_count(scenario, kind)) as u32;
    let second_target = random_below(rng, second_target_count(scenario, kind)) as u32;
    let duration = random_between(rng, 2, 60) * 100 * MS;
    let has = |placeholder: &str| kind.pattern().split(' ').any(|word| word == placeholder);
    Fault {
        trigger,
        kind,
        target: if has("T") { target } else { 0 },
        second_target: if has("O") { second_target } else { 0 },
        magnitude,
        duration: if has("D") { duration } else { 0 },
    }
}

/// Returns the scenario of a seed, with balancers.
pub fn generate_scenario(seed: u64) -> Scenario {
    let mut rng = Pcg::new(mix(seed));
    let rng = &mut rng;
    let servers = random_between(rng, 6, 9) as u32;
    let rate = random_between(rng, 18, 40) as f64;
    let utilization = 0.25 + 0.75 * rng.next_f64();
    let work = (utilization * f64::from(servers) / rate * SECOND as f64) as Micros;
    let requests = random_between(rng, 110, 220) as u32;
    // The fields draw random numbers in this order, which determines the scenario of a seed.
    let mut scenario = Scenario {
        seed,
        balancers: random_between(rng, 2, 3) as u32,
        servers,
        clients: random_between(rng, 6, 12) as u32,
        requests: (0, requests),
        requests_per_second: rate,
        mean_work: work.min(MAX_MEAN_WORK) / 100 * 100,
        latency: random_between(rng, 1, 30) * 100,
        tick: [1, 1, 100, 1000][random_below(rng, 4) as usize],
        socket_limit: [96, 128, 256][random_below(rng, 3) as usize],
        uses_sidecar: false,
        clients_stay: false,
        faults: Vec::new(),
    };
    let load_duration = (f64::from(requests) / rate * SECOND as f64) as Micros;
    if random_below(rng, 2) == 0 {
        add_hard_case(rng, &mut scenario, load_duration);
    }
    add_overlapping_faults(rng, &mut scenario, load_duration);
    scenario
}

/// Returns the scenario of a seed with sidecars. Faults that do not apply to a sidecar, such as those of
/// discovery, are left out.
pub fn generate_sidecar_scenario(seed: u64) -> Scenario {
    let mut scenario = generate_scenario(seed);
    scenario.uses_sidecar = true;
    scenario.faults.retain(|fault| !needs_discovery(fault.kind));
    scenario
}

/// Returns the scenario of a seed with a sidecar that is asked to shut down while endpoints hang and clients go on
/// sending to it. The timeouts may be reloaded before and after the signal. Sockets are not short, so that a broken
/// rule is not due to requests that wait to be accepted.
pub fn generate_shutdown_scenario(seed: u64) -> Scenario {
    let mut scenario = generate_sidecar_scenario(seed);
    scenario.clients_stay = true;
    scenario.socket_limit = PLENTY_OF_SOCKETS;
    let mut rng = Pcg::new(mix(seed ^ SHUTDOWN_SALT));
    let rng = &mut rng;
    let load_duration = f64::from(scenario.requests.1) / scenario.requests_per_second * SECOND as f64;
    let signal_at = random_between(rng, MIN_SIGNAL_TIME / MS, load_duration as u64 / MS) * MS;
    let near_signal =
        |rng: &mut Pcg| Trigger::At(signal_at + random_between(rng, 0, 3000) * MS - SIGNAL_LEAD);
    let target = random_below(rng, u64::from(scenario.balancers)) as u32;
    for _ in 0..random_between(rng, 1, u64::from(scenario.servers)) {
        let hang = near_signal(rng);
        add_fault(rng, &mut scenario, FaultKind::HangRequests, hang, Some(6 * SECOND));
    }
    for _ in 0..random_below(rng, 3) {
        let reload = near_signal(rng);
        let factor = RELOADED_TIMEOUT_FACTORS[random_below(rng, 3) as usize];
        let fault = random_fault(rng, &scenario, FaultKind::ReloadSidecar, reload);
        scenario.faults.push(Fault { target, magnitude: factor, ..fault });
    }
    if random_below(rng, 3) == 0 {
        let storm = near_signal(rng);
        add_fault(rng, &mut scenario, FaultKind::RequestStorm, storm, Some(2 * SECOND));
    }
    let signal = random_fault(rng, &scenario, FaultKind::ShutDownBalancer, Trigger::At(signal_at));
    scenario.faults.push(Fault { target, duration: 0, ..signal });
    scenario
}

fn needs_discovery(kind: FaultKind) -> bool {
    kind.pattern().contains("list")
        || matches!(
            kind,
            FaultKind::DrainServer
                | FaultKind::ReplaceServer
                | FaultKind::MoveDiscovery
                | FaultKind::EjectManually
        )
}

fn add_overlapping_faults(rng: &mut Pcg, scenario: &mut Scenario, load_duration: Micros) {
    let hard_case_faults = scenario.faults.len() as u64;
    let count = random_between(rng, 2, 3).saturating_sub(hard_case_faults / 2).max(1);
    let base = random_between(rng, 0, load_duration / MS) * MS;
    let mut previous_end = base;
    for _ in 0..count {
        let kind = FaultKind::ALL[random_below(rng, GENERATED_KINDS) as usize];
        // The fault begins together with another, at the end of the previous one, or at a random time near
        // them.
        let at = match random_below(rng, 4) {
            0 => base,
            1 => previous_end,
            _ => (base + random_between(rng, 0, 2500) * MS).saturating_sub(SECOND),
        };
        let fault = random_fault(rng, scenario, kind, Trigger::At(at));
        previous_end = at + fault.duration;
        scenario.faults.push(fault);
    }
}

/// Adds a fault. A given duration replaces the one that is drawn.
fn add_fault(
    rng: &mut Pcg,
    scenario: &mut Scenario,
    kind: FaultKind,
    trigger: Trigger,
    duration: Option<Micros>,
) {
    let mut fault = random_fault(rng, scenario, kind, trigger);
    if let Trigger::On(..) = trigger {
        fault.target = TRIGGERING_SERVER;
    }
    fault.duration = duration.unwrap_or(fault.duration);
    scenario.faults.push(fault);
}

/// Adds faults that aim at a randomly drawn hard case.
fn add_hard_case(rng: &mut Pcg, scenario: &mut Scenario, load_duration: Micros) {
    let at = random_between(rng, load_duration / 5 / MS, load_duration * 4 / 5 / MS) * MS;
    let begin = Trigger::At(at);
    let case = HardCase::ALL[random_below(rng, HardCase::ALL.len() as u64) as usize];
    let count = random_between(rng, 1, 6) as u32;
    match case {
        HardCase::DrainAtRetry => {
            add_fault(rng, scenario, FaultKind::FailRequests, begin, Some(3 * SECOND));
            add_fault(rng, scenario, FaultKind::MalformedResponses, begin, Some(3 * SECOND));
            let retry = Trigger::On(TriggerEvent::RetryReceived, count);
            add_fault(rng, scenario, FaultKind::DrainServer, retry, None);
        }
        HardCase::AnswerAfterTimeout => {
            let sent = Trigger::On(TriggerEvent::NonIdempotentReceived, count);
            add_fault(rng, scenario, FaultKind::HangRequests, sent, Some(3500 * MS));
        }
        HardCase::AnswerAtDeadline => {
            for _ in 0..4 {
                add_fault(rng, scenario, FaultKind::RespondAtDeadline, begin, Some(4 * SECOND));
            }
        }
        HardCase::CloseCrossesRequest => {
            scenario.socket_limit = 96;
            scenario.clients = 12;
            add_fault(rng, scenario, FaultKind::RequestStorm, begin, Some(3 * SECOND));
        }
        HardCase::ServerDiesBeforeAnswer => {
            let sent = Trigger::On(TriggerEvent::AttemptReceived, count * 9);
            add_fault(rng, scenario, FaultKind::KillServer, sent, None);
        }
        HardCase::AddressReusedWhileConnecting => {
            let duration = random_between(rng, 0, 3) * 100;
            let connect = Trigger::On(TriggerEvent::Connect, count * 4);
            add_fault(rng, scenario, FaultKind::ReplaceServer, connect, Some(duration));
        }
        HardCase::DiscoveryOutageWithZoneLoss => {
            add_fault(rng, scenario, FaultKind::DiscoveryDown, begin, None);
            add_fault(rng, scenario, FaultKind::LoseZone, begin, None);
        }
        HardCase::ShutdownDuringStorm => {
            add_fault(rng, scenario, FaultKind::RequestStorm, begin, Some(3 * SECOND));
            let shutdown = Trigger::At(at + random_between(rng, 0, 2000) * MS);
            add_fault(rng, scenario, FaultKind::ShutDownBalancer, shutdown, None);
        }
        HardCase::RetryThroughAnotherBalancer => {
            add_fault(rng, scenario, FaultKind::KillBalancer, begin, None);
        }
        HardCase::AllServersWarmingUp => add_fault(rng, scenario, FaultKind::RestartAllServers, begin, None),
    }
}
