//! Measures how much of a limit a fleet uses and how close the admitted requests come to their bound. Clients
//! send more requests than the limit allows, and admitted requests are counted at the endpoints. A run in
//! which the test cluster itself was delayed is void and not counted.

use doorproxy_test_servers::clock::{MS, Micros, SECOND};
use doorproxy_test_servers::events::Event;
use serde::Serialize;

use crate::checkers;
use crate::cluster::{RunOptions, RunReport};
use crate::recovery_measurement::{Median, format_median, median, run_cases};
use crate::scenario::{ConfiguredList, Fault, FaultKind, Fleet, Load, Scenario, StateDirectoryCondition};

const BALANCER_COUNT: usize = 12;
const LIMIT_PER_SECOND: f64 = 240.0;
/// The time of the fault, in seconds after the load began.
const FAULT_AT_S: f64 = 5.0;
/// The time for which the load goes on after the fault, in seconds.
const LOAD_AFTER_FAULT_S: f64 = 12.0;
/// The time before the end of the load over which the use of the limit is measured.
const USAGE_WINDOW: Micros = 5 * SECOND;
/// The length of a slice. After a fault, the limit is in use again at the first instant that is followed by
/// [`SLICE_COUNT`] slices, in each of which the fleet admits at least [`RECOVERED_USAGE_RATIO`] of the limit.
const SLICE: Micros = SECOND / 2;
/// The number of slices that show that the limit is in use again.
const SLICE_COUNT: u64 = 4;
/// The ratio of the limit that each of these slices must admit.
const RECOVERED_USAGE_RATIO: f64 = 0.85;
/// The distance between the instants that are examined.
const SCAN_STEP: Micros = 50 * MS;

/// A measured case, which is one row of the table.
pub struct Case {
    /// The name of the case.
    pub name: &'static str,
    /// The ratio of all requests that clients send to the first balancer.
    first_balancer_ratio: f64,
    /// True if disconnected balancers admit no requests, and false if they admit the fallback rate.
    is_strict: bool,
    /// True if balancers are partitioned from each other, so that none reaches a quota allocator and each
    /// admits an equal share of the limit, as in a fleet that divides the limit by the number of balancers.
    is_divided_evenly: bool,
    /// The fault: its kind, the processes or paths that it affects, and its duration in seconds.
    fault: Option<(FaultKind, &'static str, f64)>,
}

const ALLOCATED: Case =
    Case { name: "", first_balancer_ratio: 0.0, is_strict: false, is_divided_evenly: false, fault: None };
const STRICT: Case = Case { is_strict: true, ..ALLOCATED };

/// All cases, in the order of the table.
pub const CASES: &[Case] = &[
    Case { name: "even, divided by count", is_divided_evenly: true, ..ALLOCATED },
    Case { name: "even, dealt", ..ALLOCATED },
    Case {
        name: "half at one, divided by count",
        first_balancer_ratio: 0.5,
        is_divided_evenly: true,
        ..ALLOCATED
    },
    Case { name: "half at one, dealt", first_balancer_ratio: 0.5, ..ALLOCATED },
    Case {
        name: "nine tenths at one, divided by count",
        first_balancer_ratio: 0.9,
        is_divided_evenly: true,
        ..ALLOCATED
    },
    Case { name: "nine tenths at one, dealt", first_balancer_ratio: 0.9, ..ALLOCATED },
    Case {
        name: "strict, all dealers killed for 1 s",
        fault: Some((FaultKind::Kill, "n0..n2", 1.0)),
        ..STRICT
    },
    Case { name: "strict, one keeper killed for good", fault: Some((FaultKind::Kill, "n0", 0.0)), ..STRICT },
    Case { name: "strict, one keeper stopped", fault: Some((FaultKind::Pause, "n0", 6.0)), ..STRICT },
    Case { name: "strict, all killed for 1 s", fault: Some((FaultKind::Kill, "n*", 1.0)), ..STRICT },
    Case { name: "floors, all killed for 1 s", fault: Some((FaultKind::Kill, "n*", 1.0)), ..ALLOCATED },
    Case {
        name: "floors, half cut off",
        fault: Some((FaultKind::Partition, "n6..n11<->n0..n5", 12.0)),
        ..ALLOCATED
    },
];

impl Case {
    /// Returns the scenario of the case with this seed.
    pub fn scenario(&self, seed: u64) -> Scenario {
        let fallback_rate = (!self.is_strict).then_some(LIMIT_PER_SECOND / BALANCER_COUNT as f64);
        let fleet = Fleet {
            balancers: BALANCER_COUNT,
            upstreams: 6,
            registry_replicas: Some(3),
            limit: Some(LIMIT_PER_SECOND),
            fallback_rate,
            lease_s: 2.0,
            contact_timeout_s: 1.0,
            ..Fleet::default()
        };
        let load = Load {
            rate: 1.5 * LIMIT_PER_SECOND,
            work_ms: 4.0,
            immediate_retry_ratio: 0.0,
            retry_after_ratio: 0.0,
            first_balancer_ratio: self.first_balancer_ratio,
            ..Load::default()
        };
        let partition = self.is_divided_evenly.then_some((0.0, FaultKind::Partition, "n*<->n*", 0.0));
        let fault = self.fault.map(|(kind, target, duration_s)| (FAULT_AT_S, kind, target, duration_s));
        let faults = partition.into_iter().chain(fault).map(|(at, kind, target, duration_s)| {
            let (targets, paths) = if target.contains("->") { ("", target) } else { (target, "") };
            Fault {
                at,
                kind,
                targets: targets.to_string(),
                paths: paths.to_string(),
                duration_s,
                magnitude: 0.0,
                restart_spread_s: 0.0,
                configured_list: ConfiguredList::Last,
                state_directory: StateDirectoryCondition::Kept,
            }
        });
        Scenario { seed, seconds: FAULT_AT_S + LOAD_AFTER_FAULT_S, fleet, load, faults: faults.collect() }
    }
}

/// The measured values of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunMeasurement {
    /// The seed of the scenario.
    pub seed: u64,
    /// The ratio of the limit that was used in the last seconds of the load.
    pub used: f64,
    /// The largest ratio of the overshoot over the limit to the overshoot that the bound allows.
    #[serde(rename = "nearest")]
    pub peak_overshoot_ratio: f64,
    /// The seconds from the fault until the limit is in use again; none without a fault, or if that was not
    /// reached while the load lasted.
    #[serde(rename = "again_s")]
    pub recovered_after_s: Option<f64>,
    /// The number of violations of rules.
    pub violations: usize,
}

/// Returns the times, from the beginning of the load, at which requests of the limited tenant were admitted.
/// Only the first attempt of each request counts.
fn admission_times(report: &RunReport) -> Vec<Micros> {
    let mut seen = std::collections::BTreeSet::new();
    let first_attempts = report.history.lines.iter().filter_map(|line| match &line.event {
        Event::AttemptReceived { op, first_byte, .. } if seen.insert(*op) => {
            first_byte.checked_sub(report.load_period.0)
        }
        _ => None,
    });
    first_attempts.collect()
}

fn measure_run(case: &Case, scenario: &Scenario, seed: u64, report: &RunReport) -> RunMeasurement {
    let (begin, end) = report.load_period;
    let (peak_overshoot_ratio, used) =
        checkers::limit_usage(scenario, &report.history, end - USAGE_WINDOW, end);
    let admitted = admission_times(report);
    let fault = (FAULT_AT_S * SECOND as f64) as Micros;
    let min_count = RECOVERED_USAGE_RATIO * LIMIT_PER_SECOND * SLICE as f64 / SECOND as f64;
    let is_used = |from: Micros| {
        let count = admitted.iter().filter(|at| (from..from + SLICE).contains(at)).count();
        count as f64 >= min_count
    };
    let mut instants =
        (0..).map(|n| fault + n * SCAN_STEP).take_while(|at| at + SLICE_COUNT * SLICE <= end - begin);
    let recovered = instants.find(|at| (0..SLICE_COUNT).all(|n| is_used(at + n * SLICE)));
    let recovered_after_s =
        recovered.map(|at| (at - fault) as f64 / SECOND as f64).filter(|_| case.fault.is_some());
    RunMeasurement {
        seed,
        used,
        peak_overshoot_ratio,
        recovered_after_s,
        violations: report.violations.len(),
    }
}

/// The measured runs of one case.
#[derive(Debug, Serialize)]
pub struct CaseResult {
    /// The name of the case.
    pub case: &'static str,
    /// The measured values of each valid run.
    #[serde(rename = "readings")]
    pub measurements: Vec<RunMeasurement>,
    /// The number of seeds that are void because the test cluster was delayed in each of three runs.
    pub void: usize,
}

impl CaseResult {
    /// Returns the median of one value over all runs.
    pub fn median(&self, value: impl Fn(&RunMeasurement) -> f64) -> Option<Median> {
        median(&self.measurements.iter().map(value).collect::<Vec<f64>>())
    }
}

/// Runs all cases with each seed, `jobs` runs at a time. `options` returns the run options for a directory.
///
/// # Errors
///
/// Fails if a run fails; the error is that of the first such run by seed and case.
pub fn measure_cases(
    seeds: std::ops::Range<u64>,
    jobs: usize,
    options: impl Fn(&std::path::Path) -> RunOptions + Sync,
) -> Result<Vec<CaseResult>, String> {
    let scenario = |case: usize, seed| CASES[case].scenario(seed);
    let measured = run_cases(CASES.len(), seeds, jobs, options, scenario, |case, seed, report| {
        measure_run(&CASES[case], &scenario(case, seed), seed, report)
    })?;
    let row = |(case, (measurements, void)): (&Case, (Vec<RunMeasurement>, usize))| CaseResult {
        case: case.name,
        measurements,
        void,
    };
    Ok(CASES.iter().zip(measured).map(row).collect())
}

/// Returns the results as a Markdown table.
pub fn markdown_table(rows: &[CaseResult]) -> String {
    let mut text =
        "| case | runs | used of the limit | overshoot / allowed overshoot | seconds to use | violations |\n\
                    | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
    for row in rows {
        let has_recovered = row.measurements.iter().any(|run| run.recovered_after_s.is_some());
        let recovered_after_s =
            row.median(|run| run.recovered_after_s.unwrap_or(f64::INFINITY)).filter(|_| has_recovered);
        text += &format!(
            "| {} | {}{} | {} | {} | {} | {} |\n",
            row.case,
            row.measurements.len(),
            if row.void > 0 { format!(", {} void", row.void) } else { String::new() },
            format_median(row.median(|run| run.used), 3),
            format_median(row.median(|run| run.peak_overshoot_ratio), 2),
            format_median(recovered_after_s, 2),
            row.measurements.iter().map(|run| run.violations).sum::<usize>(),
        );
    }
    text
}

#[cfg(test)]
mod tests;
