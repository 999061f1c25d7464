//! What each kind of fault does to the cluster, and how it ends.

mod balancer_faults;
mod discovery_faults;
mod network_faults;
mod server_faults;

use std::sync::Arc;

use doorproxy::rng::{Pcg, mix};

use super::Cluster;
use crate::context::FaultInjector;
use crate::hard_cases::HardCase;
use crate::kernel::random_below;
use crate::nodes::AppliedFault;
use crate::scenario::{Fault, FaultKind};
use crate::time::{MS, Micros, SECOND};
use crate::trace::EventKind;

/// A fault is felt for so long after its end.
const AFTERMATH: Micros = SECOND;
/// Faults that begin so near to each other begin together.
const TOGETHER: Micros = 100 * MS;
/// Requests of one storm.
const MAX_STORM_REQUESTS: u64 = 600;
/// The numbers of a storm's requests begin at its number, shifted by this.
const STORM_NUMBER_SHIFT: u32 = 24;

impl FaultInjector for Cluster {
    fn inject_fault(self: Arc<Cluster>, fault: Fault) {
        let now = self.context.simulation.now();
        let numbers = fault.numbers();
        self.context.simulation.state().kernel.record_event(
            EventKind::FaultBegan,
            &numbers,
            format_args!("FAULT {fault}"),
        );
        self.record_overlap(fault.kind, now, fault.duration);
        self.apply_fault(fault);
    }
}

impl Cluster {
    fn apply_fault(self: &Arc<Cluster>, fault: Fault) {
        match fault.kind {
            FaultKind::KillServer | FaultKind::PowerOffServer => self.kill_server(fault),
            FaultKind::ReplaceServer => self.replace_server(fault),
            FaultKind::SlowServer => self.slow_server(fault),
            FaultKind::FailRequests
            | FaultKind::HangRequests
            | FaultKind::DeclineRequests
            | FaultKind::MalformedResponses
            | FaultKind::UnannouncedClose
            | FaultKind::RespondAtDeadline
            | FaultKind::LimitConnections => self.misbehave(fault),
            FaultKind::IgnoreConnections => self.ignore_connections(fault),
            FaultKind::DelayAccepts => self.delay_accepts(fault),
            FaultKind::DrainServer => self.drain_server(fault),
            FaultKind::LoseZone => self.lose_zone(fault),
            FaultKind::RestartAllServers => self.restart_all_servers(),
            FaultKind::EjectManually => self.eject_manually(fault),
            FaultKind::DiscoveryDown => self.stop_discovery(fault),
            FaultKind::DiscoverySilent | FaultKind::DiscoveryNonsense => self.disturb_discovery(fault),
            FaultKind::DiscoveryDelay => self.delay_discovery(fault),
            FaultKind::DiscoveryVersionJump => self.restart_versions(),
            FaultKind::Partition | FaultKind::OneWayPartition | FaultKind::DiscoveryPartition => {
                self.cut_paths(fault)
            }
            FaultKind::KillBalancer => self.kill_balancer_for(fault),
            FaultKind::ShutDownBalancer => self.end_balancer(fault),
            FaultKind::MoveDiscovery => self.move_discovery(fault),
            FaultKind::StarveBalancer => self.starve_balancer(fault),
            FaultKind::RequestStorm => self.send_storm(fault),
            FaultKind::SlowNetwork => self.slow_network(fault),
        }
    }

    /// Ends a fault after its duration. Where this is called decides the order of what is due at one time.
    fn schedule_end(
        self: &Arc<Cluster>,
        fault: Fault,
        clean_up: impl FnOnce(&Arc<Cluster>) + Send + 'static,
    ) {
        self.schedule_after(fault.duration, move |cluster| {
            cluster.context.simulation.state().kernel.record_event(
                EventKind::FaultEnded,
                &fault.numbers(),
                format_args!("OVER {fault}"),
            );
            clean_up(cluster);
        });
    }

    fn target_server(&self, fault: &Fault) -> usize {
        fault.target as usize % self.context.scenario.servers as usize
    }

    fn target_balancer(&self, fault: &Fault) -> usize {
        fault.target as usize % self.context.scenario.balancers as usize
    }

    /// Records which faults overlap, and the hard cases that this makes.
    fn record_overlap(&self, kind: FaultKind, now: Micros, duration: Micros) {
        let overlapping: Vec<AppliedFault> = {
            let mut state = self.context.state();
            let felt = state.applied_faults.iter().filter(|applied| applied.end + AFTERMATH >= now);
            let felt = felt.copied().collect();
            state.applied_faults.push(AppliedFault { kind, start: now, end: now + duration });
            felt
        };
        let began_with = |other: FaultKind| {
            overlapping.iter().any(|applied| applied.kind == other && now - applied.start <= TOGETHER)
        };
        let is_outage_with_zone_loss = match kind {
            FaultKind::DiscoveryDown => began_with(FaultKind::LoseZone),
            FaultKind::LoseZone => began_with(FaultKind::DiscoveryDown),
            _ => false,
        };
        let is_in_storm = overlapping.iter().any(|applied| applied.kind == FaultKind::RequestStorm);
        let mut records = self.context.records.lock();
        if is_outage_with_zone_loss {
            records.record_hard_case(HardCase::DiscoveryOutageWithZoneLoss);
        }
        if kind == FaultKind::ShutDownBalancer && is_in_storm {
            records.record_hard_case(HardCase::ShutdownDuringStorm);
        }
    }

    /// Sends many requests beside the load, each on a connection of its own.
    fn send_storm(&self, fault: Fault) {
        let now = self.context.simulation.now();
        let scenario = &self.context.scenario;
        let clients = self.clients();
        let expected = fault.magnitude * scenario.requests_per_second * fault.duration as f64 / SECOND as f64;
        let first_number = {
            let mut state = self.context.state();
            state.storm_count += 1;
            state.storm_count << STORM_NUMBER_SHIFT
        };
        for number in first_number..first_number + (expected as u64).min(MAX_STORM_REQUESTS) {
            let mut rng = Pcg::new(mix(scenario.seed ^ mix(number)));
            let at = now + random_below(&mut rng, fault.duration);
            let client = random_below(&mut rng, clients.len() as u64) as usize;
            clients[client].send_at(at, number, true);
        }
    }
}
