//! Injects each kind of fault into the cluster, and ends it.

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

/// The time after the end of a fault during which other faults still count as overlapping it.
const OVERLAP_MARGIN: Micros = SECOND;
/// The longest time between the beginnings of two faults that count as simultaneous.
const SIMULTANEOUS_WINDOW: Micros = 100 * MS;
/// The maximum number of requests in one storm.
const MAX_STORM_REQUESTS: u64 = 600;
/// The shift that makes the number of a storm the first number of its requests.
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
            | FaultKind::LimitConnections
            | FaultKind::RepeatResponses => self.set_server_fault(fault),
            FaultKind::IgnoreConnections => self.ignore_connections(fault),
            FaultKind::DelayAccepts => self.delay_accepts(fault),
            FaultKind::DrainServer => self.drain_server(fault),
            FaultKind::LoseZone => self.power_off_zone(fault),
            FaultKind::RestartAllServers => self.restart_all_servers(),
            FaultKind::EjectManually => self.eject_manually(fault),
            FaultKind::DiscoveryDown => self.stop_discovery(fault),
            FaultKind::DiscoverySilent | FaultKind::DiscoveryNonsense => self.set_discovery_fault(fault),
            FaultKind::DiscoveryDelay => self.delay_discovery(fault),
            FaultKind::DiscoveryVersionJump => self.restart_versions(),
            FaultKind::Partition | FaultKind::OneWayPartition | FaultKind::DiscoveryPartition => {
                self.partition_paths(fault)
            }
            FaultKind::KillBalancer => self.kill_balancer_temporarily(fault),
            FaultKind::ShutDownBalancer => self.restart_balancer_gracefully(fault),
            FaultKind::MoveDiscovery => self.move_discovery(fault),
            FaultKind::ReloadSidecar => self.reload_sidecar(fault),
            FaultKind::StarveBalancer => self.starve_balancer(fault),
            FaultKind::RequestStorm => self.send_storm(fault),
            FaultKind::SlowNetwork => self.slow_network(fault),
        }
    }

    /// Ends a fault after its duration. Events that are due at the same time happen in the order in which
    /// they were scheduled, so moving a call of this method changes a run.
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

    /// Records an injected fault, and the hard cases that arise where it overlaps others.
    fn record_overlap(&self, kind: FaultKind, now: Micros, duration: Micros) {
        let overlapping: Vec<AppliedFault> = {
            let mut state = self.context.state();
            let recent = state.applied_faults.iter().filter(|applied| applied.end + OVERLAP_MARGIN >= now);
            let recent = recent.copied().collect();
            state.applied_faults.push(AppliedFault { kind, start: now, end: now + duration });
            recent
        };
        let began_with = |other: FaultKind| {
            overlapping
                .iter()
                .any(|applied| applied.kind == other && now - applied.start <= SIMULTANEOUS_WINDOW)
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

    /// Sends many requests in addition to the load, each on a connection of its own.
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
