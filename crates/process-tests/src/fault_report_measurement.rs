//! What it brings, and costs, that balancers tell each other which endpoints they found ill: plays with the same load and the same
//! trouble, with claims and without. It must never count a run in which the test cluster itself was late.

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

/// What is wrong.
#[derive(Clone, Copy, PartialEq)]
enum InjectedFault {
    /// An endpoint, for all.
    Upstream(FaultKind),
    /// The ways from one balancer to all endpoints: it accuses all of them.
    OwnPaths,
}

pub struct Case {
    pub name: &'static str,
    fault: InjectedFault,
    fault_reports_enabled: bool,
}

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
    /// Few requests, so that each balancer meets each endpoint about every other second.
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
        let (what, who, way, size) = match self.fault {
            InjectedFault::Upstream(what) => (what, FAULTY_UPSTREAM, "", 0.0),
            InjectedFault::OwnPaths => (FaultKind::Reset, "", "n11<->u*", 0.5),
        };
        let fault = Fault {
            at: FAULT_AT_S,
            kind: what,
            targets: who.to_string(),
            paths: way.to_string(),
            duration_s: FAULT_DURATION_S,
            magnitude: size,
            restart_spread_s: 0.0,
            configured_list: ConfiguredList::Last,
            state_directory: StateDirectoryCondition::Kept,
        };
        Scenario { seed, seconds: FAULT_AT_S + FAULT_DURATION_S + 4.0, fleet, load, faults: vec![fault] }
    }
}

/// What one play shows, from the trouble's begin to the end of the load.
#[derive(Clone, Debug, Serialize)]
pub struct RunMeasurement {
    pub seed: u64,
    /// Connections and attempts at the ill endpoint while it was.
    pub at_ill: usize,
    /// Of all requests that were asked, how many were served.
    pub served: f64,
    pub refused: usize,
    pub failed: usize,
    pub violations: usize,
}

fn measure_run(seed: u64, played: &RunReport) -> RunMeasurement {
    let fault = played.load_period.0 + (FAULT_AT_S * SECOND as f64) as Micros;
    let over = fault + (FAULT_DURATION_S * SECOND as f64) as Micros;
    let mut asked = BTreeSet::new();
    let mut reading = RunMeasurement {
        seed,
        at_ill: 0,
        served: 0.0,
        refused: 0,
        failed: 0,
        violations: played.violations.len(),
    };
    let mut served = 0;
    for line in played.history.lines.iter().filter(|line| line.at >= fault && line.at < played.load_period.1)
    {
        match &line.event {
            Event::RequestStarted { op, .. } => drop(asked.insert(*op)),
            Event::AttemptReceived { server, .. } if server == FAULTY_UPSTREAM && line.at < over => {
                reading.at_ill += 1
            }
            Event::ResponseReceived { op, status, .. } if asked.contains(op) => match status {
                200 => served += 1,
                503 => reading.refused += 1,
                _ => reading.failed += 1,
            },
            _ => {}
        }
    }
    reading.served = f64::from(served) / asked.len().max(1) as f64;
    reading
}

#[derive(Debug, Serialize)]
pub struct CaseResult {
    pub case: &'static str,
    pub readings: Vec<RunMeasurement>,
    pub void: usize,
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
    let played = run_cases(
        CASES.len(),
        seeds,
        jobs,
        options,
        |case, seed| CASES[case].scenario(seed),
        |_, seed, played| measure_run(seed, played),
    )?;
    let row = |(case, (readings, void)): (&Case, (Vec<RunMeasurement>, usize))| CaseResult {
        case: case.name,
        readings,
        void,
    };
    Ok(CASES.iter().zip(played).map(row).collect())
}

/// The table for people, as Markdown.
pub fn markdown_table(rows: &[CaseResult]) -> String {
    let mut text = "| trouble | plays | pushes at the ill one | served | refused | failed | violations |\n\
                    | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    for row in rows {
        let of = |of: &dyn Fn(&RunMeasurement) -> f64, digits| {
            format_median(median(&row.readings.iter().map(of).collect::<Vec<f64>>()), digits)
        };
        text += &format!(
            "| {} | {}{} | {} | {} | {} | {} | {} |\n",
            row.case,
            row.readings.len(),
            if row.void > 0 { format!(", {} void", row.void) } else { String::new() },
            of(&|of| of.at_ill as f64, 0),
            of(&|of| of.served, 4),
            of(&|of| of.refused as f64, 0),
            of(&|of| of.failed as f64, 0),
            row.readings.iter().map(|of| of.violations).sum::<usize>(),
        );
    }
    text
}

#[cfg(test)]
mod tests;
