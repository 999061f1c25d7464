//! How well a fleet uses a limit, and how near it comes to the bound: plays fleets of which more is asked than the limit allows,
//! with what a seed gives, and reads what got through from outside. It must never count a run in which the test cluster itself was
//! late.

use doorproxy_test_servers::clock::{MS, Micros, SECOND};
use doorproxy_test_servers::events::Event;
use serde::Serialize;

use crate::checkers;
use crate::cluster::{RunOptions, RunReport};
use crate::recovery_measurement::{Median, format_median, median, run_cases};
use crate::scenario::{ConfiguredList, Fault, FaultKind, Fleet, Load, Scenario, StateDirectoryCondition};

const BALANCER_COUNT: usize = 12;
const LIMIT_PER_SECOND: f64 = 240.0;
/// When the fault comes, and for how long the load goes on after it.
const FAULT_AT_S: f64 = 5.0;
const LOAD_AFTER_FAULT_S: f64 = 12.0;
/// What was used is read over so long before the end.
const USAGE_WINDOW: Micros = 5 * SECOND;
/// A limit is in use again from when on each of so many parts lets through so much of what it allows.
const SLICE: Micros = SECOND / 2;
const SLICE_COUNT: u64 = 4;
const RECOVERED_USAGE_RATIO: f64 = 0.85;
const SCAN_STEP: Micros = 50 * MS;

pub struct Case {
    pub name: &'static str,
    /// The part of all requests that comes to one balancer.
    first_balancer_ratio: f64,
    is_strict: bool,
    /// Nobody reaches a dealer: each lets in its even part, as by division by count.
    is_divided_evenly: bool,
    /// What happens, to whom or on which way, and for how long.
    fault: Option<(FaultKind, &'static str, f64)>,
}

const ALLOCATED: Case =
    Case { name: "", first_balancer_ratio: 0.0, is_strict: false, is_divided_evenly: false, fault: None };
const STRICT: Case = Case { is_strict: true, ..ALLOCATED };

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
        let divides = self.is_divided_evenly.then_some((0.0, FaultKind::Partition, "n*<->n*", 0.0));
        let fault = self.fault.map(|(what, whom, lasts)| (FAULT_AT_S, what, whom, lasts));
        let faults = divides.into_iter().chain(fault).map(|(at, what, whom, lasts)| {
            let (who, way) = if whom.contains("->") { ("", whom) } else { (whom, "") };
            Fault {
                at,
                kind: what,
                targets: who.to_string(),
                paths: way.to_string(),
                duration_s: lasts,
                magnitude: 0.0,
                restart_spread_s: 0.0,
                configured_list: ConfiguredList::Last,
                state_directory: StateDirectoryCondition::Kept,
            }
        });
        Scenario { seed, seconds: FAULT_AT_S + LOAD_AFTER_FAULT_S, fleet, load, faults: faults.collect() }
    }
}

/// What one play shows.
#[derive(Clone, Debug, Serialize)]
pub struct RunMeasurement {
    pub seed: u64,
    /// Of the limit, over the last seconds of the load.
    pub used: f64,
    /// How near what got through came to the bound, as a part of what may be beyond the rate.
    pub nearest: f64,
    /// After the fault, until the limit is in use again; none: not within the load.
    pub again_s: Option<f64>,
    pub violations: usize,
}

/// When requests got through that the limit was on, from the beginning of the load.
fn admission_times(played: &RunReport) -> Vec<Micros> {
    let mut seen = std::collections::BTreeSet::new();
    let firsts = played.history.lines.iter().filter_map(|line| match &line.event {
        Event::AttemptReceived { op, first_byte, .. } if seen.insert(*op) => {
            first_byte.checked_sub(played.load_period.0)
        }
        _ => None,
    });
    firsts.collect()
}

fn measure_run(case: &Case, scenario: &Scenario, seed: u64, played: &RunReport) -> RunMeasurement {
    let (begin, end) = played.load_period;
    let (nearest, used) = checkers::limit_usage(scenario, &played.history, end - USAGE_WINDOW, end);
    let through = admission_times(played);
    let fault = (FAULT_AT_S * SECOND as f64) as Micros;
    let wanted = RECOVERED_USAGE_RATIO * LIMIT_PER_SECOND * SLICE as f64 / SECOND as f64;
    let is_full = |from: Micros| {
        let count = through.iter().filter(|at| (from..from + SLICE).contains(at)).count();
        count as f64 >= wanted
    };
    let mut instants =
        (0..).map(|n| fault + n * SCAN_STEP).take_while(|at| at + SLICE_COUNT * SLICE <= end - begin);
    let again = instants.find(|at| (0..SLICE_COUNT).all(|n| is_full(at + n * SLICE)));
    let again_s = again.map(|at| (at - fault) as f64 / SECOND as f64).filter(|_| case.fault.is_some());
    RunMeasurement { seed, used, nearest, again_s, violations: played.violations.len() }
}

#[derive(Debug, Serialize)]
pub struct CaseResult {
    pub case: &'static str,
    pub readings: Vec<RunMeasurement>,
    /// Plays that the machine was too busy for, three times each.
    pub void: usize,
}

impl CaseResult {
    pub fn median(&self, of: impl Fn(&RunMeasurement) -> f64) -> Option<Median> {
        median(&self.readings.iter().map(of).collect::<Vec<f64>>())
    }
}

/// Plays all cases with each seed, so many side by side.
///
/// # Errors
/// The first play that could not be set up or kept up.
pub fn measure_cases(
    seeds: std::ops::Range<u64>,
    jobs: usize,
    options: impl Fn(&std::path::Path) -> RunOptions + Sync,
) -> Result<Vec<CaseResult>, String> {
    let scenario = |case: usize, seed| CASES[case].scenario(seed);
    let played = run_cases(CASES.len(), seeds, jobs, options, scenario, |case, seed, played| {
        measure_run(&CASES[case], &scenario(case, seed), seed, played)
    })?;
    let row = |(case, (readings, void)): (&Case, (Vec<RunMeasurement>, usize))| CaseResult {
        case: case.name,
        readings,
        void,
    };
    Ok(CASES.iter().zip(played).map(row).collect())
}

/// The table for people, as Markdown.
pub fn markdown_table(rows: &[CaseResult]) -> String {
    let mut text =
        "| fleet | plays | used of the limit | nearest to the bound | in use again after, s | violations |\n\
                    | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
    for row in rows {
        let has_fault = row.readings.iter().any(|of| of.again_s.is_some());
        let again = row.median(|of| of.again_s.unwrap_or(f64::INFINITY)).filter(|_| has_fault);
        text += &format!(
            "| {} | {}{} | {} | {} | {} | {} |\n",
            row.case,
            row.readings.len(),
            if row.void > 0 { format!(", {} void", row.void) } else { String::new() },
            format_median(row.median(|of| of.used), 3),
            format_median(row.median(|of| of.nearest), 2),
            format_median(again, 2),
            row.readings.iter().map(|of| of.violations).sum::<usize>(),
        );
    }
    text
}

#[cfg(test)]
mod tests;
