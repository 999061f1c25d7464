//! Measures on a virtual clock how soon a fleet detects a failure and a join, how often it declares a running
//! node dead, and what that costs, by fleet size and loss. All figures are simulated; a protocol period is
//! one second.
//!
//!     cargo run --release -p doorproxy-membership --example measure

#[path = "../tests/virtual_fleet/mod.rs"]
mod virtual_fleet;

use std::collections::BTreeSet;
use std::sync::Mutex;

use doorproxy_membership::message::MemberState;
use doorproxy_model_checker::{OnFailure, first_failing_seed};
use virtual_fleet::{Mutant, SECOND, SimulatedFleet, SimulationCase};

#[derive(Default)]
struct Measurement {
    first_detection_s: f64,
    full_detection_s: f64,
    rejoin_s: f64,
    counted_again_s: f64,
    false_deaths: usize,
    bytes_per_node_second: f64,
    datagrams_per_node_second: f64,
}

const QUIET_PHASE_S: i64 = 60;

fn seconds_until(
    fleet: &mut SimulatedFleet,
    max_s: i64,
    condition: impl Fn(&mut SimulatedFleet) -> bool,
) -> f64 {
    let from = fleet.now;
    while !condition(fleet) && fleet.now - from < max_s * SECOND {
        let next = fleet.now + SECOND / 10;
        fleet.run_until(next);
    }
    (fleet.now - from) as f64 / SECOND as f64
}

fn measure(node_count: usize, loss_ratio: f64, seed: u64) -> Measurement {
    let replica_count = if node_count < 5 { 3 } else { 5 };
    let case = SimulationCase {
        seed,
        node_count,
        replica_count,
        loss_ratio,
        clock_drift_ratio: 0.05,
        reserve_ratio: None,
        configured_count: node_count as u32,
        fault_phase_s: 0.0,
        quiet_phase_s: 0.0,
        mutant: Mutant::None,
        check_interval: i64::MAX / 2,
    };
    let mut fleet = SimulatedFleet::new(case);
    fleet.run_until(30 * SECOND);
    let bytes_before = fleet.bytes;
    let datagrams_before = fleet.datagrams;
    let quiet_phase_end = fleet.now + QUIET_PHASE_S * SECOND;
    fleet.state_changes.clear();
    fleet.run_until(quiet_phase_end);
    let node_seconds = (node_count as i64 * QUIET_PHASE_S) as f64;
    let deaths = fleet.state_changes.iter().filter(|change| change.state == MemberState::Dead);
    let dead = deaths.map(|change| change.member.clone());
    let mut measurement = Measurement {
        false_deaths: dead.collect::<BTreeSet<String>>().len(),
        bytes_per_node_second: (fleet.bytes - bytes_before) as f64 / node_seconds,
        datagrams_per_node_second: (fleet.datagrams - datagrams_before) as f64 / node_seconds,
        ..Measurement::default()
    };
    let victim = node_count - 1;
    fleet.kill(victim);
    let others = node_count - 1;
    let gone = [MemberState::Dead, MemberState::Left];
    measurement.first_detection_s =
        seconds_until(&mut fleet, 300, |fleet| fleet.count_observers(victim, &gone) > 0);
    measurement.full_detection_s = measurement.first_detection_s
        + seconds_until(&mut fleet, 300, |fleet| fleet.count_observers(victim, &gone) == others);
    fleet.start(victim);
    measurement.rejoin_s = seconds_until(&mut fleet, 300, |fleet| {
        fleet.count_observers(victim, &[MemberState::Alive]) == others
    });
    measurement.counted_again_s =
        measurement.rejoin_s + seconds_until(&mut fleet, 300, |fleet| fleet.all_nodes_count(node_count));
    measurement
}

/// Formats the median with the minimum and the maximum.
fn format_median_and_range(measurements: &[Measurement], value: impl Fn(&Measurement) -> f64) -> String {
    let mut values: Vec<f64> = measurements.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    format!("{:.1} ({:.1} to {:.1})", values[values.len() / 2], values[0], values[values.len() - 1])
}

fn main() {
    println!(
        "| nodes | loss ratio | seeds | first detection, s | full detection, s | rejoin, s \
         | counted again, s | false deaths per hour | bytes per node and second \
         | datagrams per node and second |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for node_count in [3, 10, 30, 100, 300] {
        for loss_ratio in [0.0, 0.1, 0.3] {
            let seed_count = if node_count == 300 { 8 } else { 16 };
            let measurements = measure_seeds(node_count, loss_ratio, seed_count);
            print_row(node_count, loss_ratio, &measurements);
        }
    }
}

/// Measures with the seeds from 0 to `seed_count`. The results are in the order in which the runs end.
fn measure_seeds(node_count: usize, loss_ratio: f64, seed_count: u64) -> Vec<Measurement> {
    let measurements = Mutex::new(Vec::new());
    first_failing_seed(seed_count, OnFailure::Continue, |seed| {
        let measurement = measure(node_count, loss_ratio, seed);
        measurements.lock().expect("no panic while the lock is held").push(measurement);
        None
    });
    measurements.into_inner().expect("no panic while the lock is held")
}

fn print_row(node_count: usize, loss_ratio: f64, measurements: &[Measurement]) {
    let hours = measurements.len() as f64 * QUIET_PHASE_S as f64 / 3600.0;
    let false_deaths: usize = measurements.iter().map(|measurement| measurement.false_deaths).sum();
    println!(
        "| {node_count} | {loss_ratio} | {} | {} | {} | {} | {} | {:.1} | {} | {} |",
        measurements.len(),
        format_median_and_range(measurements, |measurement| measurement.first_detection_s),
        format_median_and_range(measurements, |measurement| measurement.full_detection_s),
        format_median_and_range(measurements, |measurement| measurement.rejoin_s),
        format_median_and_range(measurements, |measurement| measurement.counted_again_s),
        false_deaths as f64 / hours,
        format_median_and_range(measurements, |measurement| measurement.bytes_per_node_second),
        format_median_and_range(measurements, |measurement| measurement.datagrams_per_node_second),
    );
}
