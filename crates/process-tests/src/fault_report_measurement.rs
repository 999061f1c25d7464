//! Measures the benefit and the cost of fault reports: runs the same load and the same fault with fault
//! reports and without. A run in which the test cluster itself was delayed is void and not counted.

use std::collections::BTreeSet;

use doorproxy_test_servers::clock::{Micros, SECOND};
use doorproxy_test_servers::events::Event;
use serde::Serialize;

use crate::cluster::{RunOptions, RunReport};
use crate::recovery_measurement::{format_median, median, run_cases};
use crate::scenario::{ConfiguredList, Fault, FaultKind, Fleet, Load, Scenario, StateDirectoryCondition};

const FAULT_AT_S: f64 = 6.0;
const FAULT_DURATION_S: f64 = 20.0;
const FAULTY_UPSTREAM: &str = "u1";

/// The fault of a case.
#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    /// An endpoint fails for all balancers.
    Upstream(FaultKind),
    /// The paths between one balancer and all endpoints fail, so that it reports faults of healthy endpoints.
    OwnPaths,
}

/// A measured case, which is one row of the table.
pub struct Case {
    /// The name of the case.
    pub name: &'static str,
    /// The fault of the case.
    fault: InjectedFault,
    /// True if balancers exchange fault reports.
    fault_reports_enabled: bool,
}

/// All cases, in the order of the table.
pub const CASES: &[Case] = &[
    Case {
        name: "an upstream fails, each alone",
        fault: InjectedFault::Upstream(FaultKind::AnswerErrors),
        fault_reports_enabled: false,
    },
    Case {
        name: "an upstream fails, claims",
        fault: InjectedFault::Upstream(FaultKind::AnswerErrors),
        fault_reports_enabled: true,
    },
    Case {
        name: "an upstream hangs, each alone",
        fault: InjectedFault::Upstream(FaultKind::Hang),
        fault_reports_enabled: false,
    },
    Case {
        name: "an upstream hangs, claims",
        fault: InjectedFault::Upstream(FaultKind::Hang),
        fault_reports_enabled: true,
    },
    Case {
        name: "an upstream is gone, each alone",
        fault: InjectedFault::Upstream(FaultKind::Crash),
        fault_reports_enabled: false,
    },
    Case {
        name: "an upstream is gone, claims",
        fault: InjectedFault::Upstream(FaultKind::Crash),
        fault_reports_enabled: true,
    },
    Case {
        name: "one's own ways break off, each alone",
        fault: InjectedFault::OwnPaths,
        fault_reports_enabled: false,
    },
    Case {
        name: "one's own ways break off, claims",
        fault: InjectedFault::OwnPaths,
        fault_reports_enabled: true,
    },
];

impl Case {
    /// Returns the scenario of the case with this seed. Its load is low: each balancer uses each endpoint
    /// about once every two seconds.
    pub fn scenario(&self, seed: u64) -> Scenario {
        let fleet = Fleet {
            balancers: 12,
            upstreams: 8,
            registry_replicas: Some(3),
            fault_reports: self.fault_reports_enabled,
            ..Fleet::default()
        };
        let load = Load {
            rate: 60.0,
            immediate_retry_ratio: 0.0,
            retry_after_ratio: 0.0,
            abandon_ratio: 0.0,
            ..Load::default()
        };
        let (kind, targets, paths, magnitude) = match self.fault {
            InjectedFault::Upstream(kind) => (kind, FAULTY_UPSTREAM, "", 0.0),
            InjectedFault::OwnPaths => (FaultKind::Reset, "", "n11<->u*", 0.5),
        };
        let fault = Fault {
            at: FAULT_AT_S,
            kind,
            targets: targets.to_string(),
            paths: paths.to_string(),
            duration_s: FAULT_DURATION_S,
            magnitude,
            restart_spread_s: 0.0,
            configured_list: ConfiguredList::Last,
            state_directory: StateDirectoryCondition::Kept,
        };
        Scenario { seed, seconds: FAULT_AT_S + FAULT_DURATION_S + 4.0, fleet, load, faults: vec![fault] }
    }
}

/// The measured values of one run, from the beginning of the fault to the end of the load.
#[derive(Clone, Debug, Serialize)]
pub struct RunMeasurement {
    /// The seed of the scenario.
    pub seed: u64,
    /// The number of attempts that the faulty endpoint received during the fault.
    #[serde(rename = "at_ill")]
    pub attempts_at_faulty: usize,
    /// The ratio of served requests to all requests.
    pub served: f64,
    /// The number of responses 503.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// The number of responses with any other status but 200.
    pub failed: usize,
    /// The number of violations of rules.
    pub violations: usize,
}

fn measure_run(seed: u64, report: &RunReport) -> RunMeasurement {
    let fault = report.load_period.0 + (FAULT_AT_S * SECOND as f64) as Micros;
    let fault_end = fault + (FAULT_DURATION_S * SECOND as f64) as Micros;
    let mut started = BTreeSet::new();
    let mut measurement = RunMeasurement {
        seed,
        attempts_at_faulty: 0,
        served: 0.0,
        rejected: 0,
        failed: 0,
        violations: report.violations.len(),
    };
    let mut served = 0;
    for line in report.history.lines.iter().filter(|line| line.at >= fault && line.at < report.load_period.1)
    {
        match &line.event {
            Event::RequestStarted { op, .. } => drop(started.insert(*op)),
            Event::AttemptReceived { server, .. } if server == FAULTY_UPSTREAM && line.at < fault_end => {
                measurement.attempts_at_faulty += 1
            }
            Event::ResponseReceived { op, status, .. } if started.contains(op) => match status {
                200 => served += 1,
                503 => measurement.rejected += 1,
                _ => measurement.failed += 1,
            },
            _ => {}
        }
    }
    measurement.served = f64::from(served) / started.len().max(1) as f64;
    measurement
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
    let measured = run_cases(
        CASES.len(),
        seeds,
        jobs,
        options,
        |case, seed| CASES[case].scenario(seed),
        |_, seed, report| measure_run(seed, report),
    )?;
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
        "| case | runs | attempts at the faulty endpoint | served | rejected | failed | violations |\n\
                    | --- | --- | --- | --- | --- | --- | --- |\n"
            .to_string();
    for row in rows {
        let cell = |value: &dyn Fn(&RunMeasurement) -> f64, digits| {
            format_median(median(&row.measurements.iter().map(value).collect::<Vec<f64>>()), digits)
        };
        text += &format!(
            "| {} | {}{} | {} | {} | {} | {} | {} |\n",
            row.case,
            row.measurements.len(),
            if row.void > 0 { format!(", {} void", row.void) } else { String::new() },
            cell(&|run| run.attempts_at_faulty as f64, 0),
            cell(&|run| run.served, 4),
            cell(&|run| run.rejected as f64, 0),
            cell(&|run| run.failed as f64, 0),
            row.measurements.iter().map(|run| run.violations).sum::<usize>(),
        );
    }
    text
}

#[cfg(test)]
mod tests;
