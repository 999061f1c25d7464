//! Measures the recovery of a fleet: runs each fault with many seeds, and the same load without it, and
//! reports the time until full service and the load that recovery causes. This module defines full service. A
//! run in which the test cluster itself was delayed is void and not counted.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use doorproxy_test_servers::client::FIRST_RETRY_ID;
use doorproxy_test_servers::clock::{MS, Micros, SECOND};
use doorproxy_test_servers::events::{Event, ProcessChange};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

mod cases;

use cases::scenario_without_fault;
pub use cases::{CASES, Case};

use crate::cluster::{MAX_LATENESS, RunOptions, RunReport, run_scenario};
use crate::scenario::{FaultKind, Scenario};

/// The time for which service must be full. Full service begins at the first instant after which, for this
/// time, each slice serves at least [`FULL_SERVICE_RATIO`] of the requests that it serves without the fault.
const STEADY_TIME: Micros = 5 * SECOND;
/// The length of a slice.
const SLICE: Micros = SECOND / 2;
/// The ratio of served requests from which a slice has full service.
const FULL_SERVICE_RATIO: f64 = 0.98;
/// The distance between the instants that are examined as the beginning of full service.
const SCAN_STEP: Micros = 50 * MS;
/// The time of the fault, in seconds after the load began.
const FAULT_AT_S: f64 = 2.0;
/// The time for which the killed processes are down, in seconds.
const DOWNTIME_S: f64 = 1.0;
/// The number of times that a scenario is run before it counts as void because the test cluster was delayed.
const MAX_TRIES: usize = 3;
/// The time to wait at the end of a run for balancers that serve nothing.
const HANG_TIMEOUT: Micros = 5 * SECOND;
/// The resolution of plots, and the window in which peaks are counted.
const PEAK_WINDOW: Micros = 100 * MS;

/// The measured values of one run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunMeasurement {
    /// The seed of the scenario.
    pub seed: u64,
    /// The seconds from the start of the last restarted process to full service; none if it was not reached
    /// while the load lasted.
    pub full_after_s: Option<f64>,
    /// The ratio of served requests in the first five seconds after the restart to those served without the
    /// fault.
    pub served: f64,
    /// The largest number of discovery calls in 100 ms after the fault.
    #[serde(rename = "list_calls")]
    pub discovery_calls: usize,
    /// The largest number of connections that one endpoint accepted in 100 ms after the fault.
    pub connections: usize,
    /// The largest number of attempts that one endpoint received in 100 ms after the fault.
    #[serde(rename = "pushes")]
    pub attempts: usize,
    /// The number of responses 429 and 503 after the fault.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// The number of requests after the fault without a connection or without a complete response.
    pub lost: usize,
    /// The largest ratio of the work that a warming endpoint received to the work that it was allowed.
    #[serde(rename = "cold_part")]
    pub slow_start_ratio: f64,
    /// The median latency of the requests served in the first five seconds after the restart.
    pub p50_ms: f64,
    /// The 99th percentile of the same latencies.
    pub p99_ms: f64,
    /// The number of violations of rules.
    pub violations: usize,
    /// For each 100 ms from the beginning of the load, the ratio of served requests to those served without
    /// the fault.
    pub service: Vec<f64>,
    /// For each 100 ms from the beginning of the load, the number of attempts that endpoints received.
    pub load: Vec<f64>,
}

/// Returns the requests, apart from clients' retries, that were served: for each the time from the beginning
/// of the load to its start, and its latency.
fn served_requests(report: &RunReport) -> BTreeMap<u64, (Micros, Micros)> {
    let mut started = BTreeMap::new();
    let mut served = BTreeMap::new();
    for line in &report.history.lines {
        match &line.event {
            Event::RequestStarted { op, .. } if *op < FIRST_RETRY_ID => drop(started.insert(*op, line.at)),
            Event::ResponseReceived { op, status: 200, .. } => {
                if let Some(at) = started.get(op) {
                    served.insert(*op, (at.saturating_sub(report.load_period.0), line.at - at));
                }
            }
            _ => {}
        }
    }
    served
}

/// Returns the largest number of events of one kind in any 100 ms; events of kind `None` are not counted.
fn peak_count(report: &RunReport, from: Micros, kind: impl Fn(&Event) -> Option<String>) -> usize {
    let mut recent: BTreeMap<String, std::collections::VecDeque<Micros>> = BTreeMap::new();
    let mut peak = 0;
    for line in report.history.lines.iter().filter(|line| line.at >= from && line.at < report.load_period.1) {
        if let Some(kind) = kind(&line.event) {
            let times = recent.entry(kind).or_default();
            times.push_back(line.at);
            while times.front().is_some_and(|first| first + PEAK_WINDOW <= line.at) {
                times.pop_front();
            }
            peak = peak.max(times.len());
        }
    }
    peak
}

/// Measures a run in comparison with `baseline`, the run of the same load without the fault.
pub fn measure_run(
    seed: u64,
    report: &RunReport,
    baseline: &RunReport,
    scenario: &Scenario,
) -> RunMeasurement {
    let begin = report.load_period.0;
    let first_fault_s = scenario
        .faults
        .iter()
        .filter(|fault| fault.kind != FaultKind::Partition)
        .map(|fault| fault.at)
        .fold(f64::MAX, f64::min);
    let fault = begin + (first_fault_s * SECOND as f64) as Micros;
    let later_lines = report.history.lines.iter().filter(|line| line.at > fault);
    let starts =
        later_lines.filter(|line| matches!(line.event, Event::Process { did: ProcessChange::Started, .. }));
    let restarted = starts.map(|line| line.at).max().unwrap_or(fault) - begin;
    let (served, served_in_baseline) = (served_requests(report), served_requests(baseline));
    // Requests arrive at the same times in both runs.
    let arrivals: Vec<(Micros, bool)> =
        served_in_baseline.iter().map(|(op, (at, _))| (*at, served.contains_key(op))).collect();
    let served_ratio = |from: Micros, to: Micros| {
        let (mut all, mut served_count) = (0u32, 0u32);
        for (_, is_served) in arrivals.iter().filter(|(at, _)| *at >= from && *at < to) {
            all += 1;
            served_count += u32::from(*is_served);
        }
        if all == 0 { 1.0 } else { f64::from(served_count) / f64::from(all) }
    };
    let end = report.load_period.1 - begin;
    let is_full = |at: Micros| {
        (0..STEADY_TIME / SLICE)
            .all(|n| served_ratio(at + n * SLICE, at + (n + 1) * SLICE) >= FULL_SERVICE_RATIO)
    };
    let mut instants = (0..).map(|n| restarted + n * SCAN_STEP).take_while(|at| at + STEADY_TIME <= end);
    let full = instants.find(|at| is_full(*at));
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 60 * SECOND, 3).expect("valid bounds");
    for (_, latency) in served.values().filter(|(at, _)| *at >= restarted && *at < restarted + STEADY_TIME) {
        latencies.saturating_record(*latency);
    }
    let count = |matches: &dyn Fn(&Event) -> bool| {
        report.history.lines.iter().filter(|line| line.at >= fault && matches(&line.event)).count()
    };
    let steps = (end / PEAK_WINDOW) as usize;
    let service =
        (0..steps).map(|n| served_ratio(n as u64 * PEAK_WINDOW, (n as u64 + 1) * PEAK_WINDOW)).collect();
    let mut load = vec![0.0; steps];
    for line in &report.history.lines {
        if let Event::AttemptReceived { .. } = line.event
            && let Some(step) = load.get_mut((line.at.saturating_sub(begin) / PEAK_WINDOW) as usize)
        {
            *step += 1.0;
        }
    }
    RunMeasurement {
        seed,
        full_after_s: full.map(|at| (at - restarted) as f64 / SECOND as f64),
        served: served_ratio(restarted, restarted + STEADY_TIME),
        discovery_calls: peak_count(report, fault, |event| {
            matches!(event, Event::DiscoveryCalled { .. }).then(String::new)
        }),
        connections: peak_count(report, fault, |event| match event {
            Event::ConnectionAccepted { server, .. } => Some(server.clone()),
            _ => None,
        }),
        attempts: peak_count(report, fault, |event| match event {
            Event::AttemptReceived { server, .. } => Some(server.clone()),
            _ => None,
        }),
        rejected: count(&|event| matches!(event, Event::ResponseReceived { status: 429 | 503, .. })),
        lost: count(&|event| {
            matches!(
                event,
                Event::ConnectionLost { .. } | Event::ResponseMissing { .. } | Event::NotConnected { .. }
            )
        }),
        slow_start_ratio: crate::checkers::peak_slow_start_ratio(scenario, &report.history),
        p50_ms: latencies.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: latencies.value_at_quantile(0.99) as f64 / 1e3,
        violations: report.violations.len(),
        service,
        load,
    }
}

/// A median with its 95 % confidence interval, whose bounds are order statistics by the binomial
/// distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Median {
    /// The median of the sample.
    pub median: f64,
    /// The lower bound of the interval.
    pub low: f64,
    /// The upper bound of the interval.
    pub high: f64,
}

/// Returns the median of the values; there is none without values.
pub fn median(values: &[f64]) -> Option<Median> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let n = sorted.len();
    let last = n.checked_sub(1)?;
    // This finds the largest k for which the probability of at most k of n values below the median is <= 2.5
    // %.
    let (mut probability, mut sum, mut below) = (0.5f64.powi(n as i32), 0.0, 0);
    for k in 0..n / 2 {
        sum += probability;
        if sum > 0.025 {
            break;
        }
        below = k + 1;
        probability *= (n - k) as f64 / (k + 1) as f64;
    }
    let low = below.saturating_sub(1);
    let middle = (sorted[last / 2] + sorted[n / 2]) / 2.0;
    Some(Median { median: middle, low: sorted[low], high: sorted[last - low] })
}

/// The measured runs of one case.
#[derive(Debug, Serialize, Deserialize)]
pub struct CaseResult {
    /// The name of the case.
    pub case: String,
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

    /// Returns the median of the seconds until full service; a run that did not reach it counts as infinite.
    pub fn full_service_after(&self) -> Option<Median> {
        self.median(|measurement| measurement.full_after_s.unwrap_or(f64::INFINITY))
    }
}

/// Returns a median with its interval as text, with this number of decimal places; infinity is `never`.
pub fn format_median(value: Option<Median>, digits: usize) -> String {
    let text = |value: f64| if value.is_finite() { format!("{value:.digits$}") } else { "never".to_string() };
    value.map_or("-".to_string(), |value| {
        format!("{} ({} to {})", text(value.median), text(value.low), text(value.high))
    })
}

/// Merges the results of several calls, each of which is the text that a call with `--json` printed.
///
/// # Errors
///
/// Fails if a text is not JSON of this form.
pub fn merge_results(texts: &[String]) -> Result<Vec<CaseResult>, String> {
    let mut all: Vec<CaseResult> = Vec::new();
    for text in texts {
        let rows: Vec<CaseResult> = serde_json::from_str(text).map_err(|error| format!("--read: {error}"))?;
        for row in rows {
            match all.iter_mut().find(|known| known.case == row.case) {
                Some(known) => {
                    known.measurements.extend(row.measurements);
                    known.void += row.void;
                }
                None => all.push(row),
            }
        }
    }
    Ok(all)
}

/// Returns the results as a Markdown table.
pub fn markdown_table(rows: &[CaseResult]) -> String {
    let mut text = "| case | runs | seconds to full service | served in the first 5 s | \
                    peak in 100 ms: discovery calls | connections at an endpoint | attempts at an endpoint | \
                    rejected | lost | work at a warming endpoint / allowed work | p50, p99 ms |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    for row in rows {
        let cell = |value: &dyn Fn(&RunMeasurement) -> f64, digits| format_median(row.median(value), digits);
        text += &format!(
            "| {} | {}{} | {} | {} | {} | {} | {} | {} | {} | {} | {}; {} |\n",
            row.case,
            row.measurements.len(),
            if row.void > 0 { format!(", {} void", row.void) } else { String::new() },
            format_median(row.full_service_after(), 2),
            cell(&|run| run.served, 3),
            cell(&|run| run.discovery_calls as f64, 0),
            cell(&|run| run.connections as f64, 0),
            cell(&|run| run.attempts as f64, 0),
            cell(&|run| run.rejected as f64, 0),
            cell(&|run| run.lost as f64, 0),
            cell(&|run| run.slow_start_ratio, 2),
            cell(&|run| run.p50_ms, 1),
            cell(&|run| run.p99_ms, 1),
        );
    }
    text
}

/// Runs a scenario until the test cluster was not delayed; returns none if it always was.
fn run_with_retries(
    scenario: &Scenario,
    options: &impl Fn(&std::path::Path) -> RunOptions,
) -> Result<Option<RunReport>, String> {
    for _ in 0..MAX_TRIES {
        let directory = tempfile::tempdir().map_err(|error| error.to_string())?;
        // A balancer that does not serve again is a result here, so a short timeout is enough.
        let options = RunOptions { hang_timeout: HANG_TIMEOUT, ..options(directory.path()) };
        let report = run_scenario(scenario, &options)?;
        if report.max_lateness <= MAX_LATENESS {
            return Ok(Some(report));
        }
    }
    Ok(None)
}

/// The measurements of one case, and the number of its void runs.
pub type CaseMeasurements<R> = (Vec<R>, usize);

/// Runs each of `cases` cases with each seed, `jobs` at a time, and returns for each case what `measure`
/// returns for its valid runs, in the order of seeds.
///
/// # Errors
///
/// Fails if a run fails; the error is that of the first such run by seed and case.
pub fn run_cases<R: Send>(
    cases: usize,
    seeds: std::ops::Range<u64>,
    jobs: usize,
    options: impl Fn(&std::path::Path) -> RunOptions + Sync,
    scenario: impl Fn(usize, u64) -> Scenario + Sync,
    measure: impl Fn(usize, u64, &RunReport) -> R + Sync,
) -> Result<Vec<CaseMeasurements<R>>, String> {
    let runs: Vec<(u64, usize)> = seeds.flat_map(|seed| (0..cases).map(move |case| (seed, case))).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(&(seed, case)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = run_with_retries(&scenario(case, seed), &options);
                    let measurement = result.map(|report| report.map(|report| measure(case, seed, &report)));
                    done.lock().expect("no panic while it is locked").insert((seed, case), measurement);
                }
            });
        }
    });
    let mut all: Vec<CaseMeasurements<R>> = (0..cases).map(|_| (Vec::new(), 0)).collect();
    for ((_, case), measurement) in done.into_inner().expect("no panic while it is locked") {
        match measurement? {
            Some(measurement) => all[case].0.push(measurement),
            None => all[case].1 += 1,
        }
    }
    Ok(all)
}

/// Runs these cases with each seed, `jobs` seeds at a time. `options` returns the run options for a
/// directory.
///
/// # Errors
///
/// Fails if a run fails; the error is that of the first run to fail.
pub fn measure_cases(
    cases: &[Case],
    seeds: std::ops::Range<u64>,
    jobs: usize,
    options: impl Fn(&std::path::Path) -> RunOptions + Sync,
) -> Result<Vec<CaseResult>, String> {
    let max_seconds =
        cases.iter().map(|case| case.fault_at_s + DOWNTIME_S + case.load_after_s).fold(0.0, f64::max);
    let seeds: Vec<u64> = seeds.collect();
    let next = AtomicUsize::new(0);
    let rows: Vec<CaseResult> = cases
        .iter()
        .map(|case| CaseResult { case: case.name.to_string(), measurements: Vec::new(), void: 0 })
        .collect();
    let shared = Mutex::new((rows, None::<String>));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let done = measure_seed(cases, *seed, max_seconds, &options);
                    let mut shared = shared.lock().expect("no panic while it is locked");
                    match done {
                        Ok(measurements) => {
                            for (row, measurement) in shared.0.iter_mut().zip(measurements) {
                                match measurement {
                                    Some(measurement) => row.measurements.push(measurement),
                                    None => row.void += 1,
                                }
                            }
                        }
                        Err(error) => drop(shared.1.get_or_insert(format!("seed {seed}: {error}"))),
                    }
                    if shared.1.is_some() {
                        return;
                    }
                }
            });
        }
    });
    let (mut rows, error) = shared.into_inner().expect("no panic while it is locked");
    rows.iter_mut().for_each(|row| row.measurements.sort_by_key(|measurement| measurement.seed));
    error.map_or(Ok(rows), Err)
}

/// Measures each case with one seed; the result is none for a case whose run, or the run without its fault,
/// is void.
fn measure_seed(
    cases: &[Case],
    seed: u64,
    max_seconds: f64,
    options: &impl Fn(&std::path::Path) -> RunOptions,
) -> Result<Vec<Option<RunMeasurement>>, String> {
    // The runs without a fault, by whether their requests are heavy.
    let mut baselines: BTreeMap<bool, Option<RunReport>> = BTreeMap::new();
    let mut measurements = Vec::new();
    for case in cases {
        let baseline = match baselines.entry(case.heavy_requests) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let scenario = scenario_without_fault(seed, max_seconds, case.heavy_requests);
                entry.insert(run_with_retries(&scenario, options)?)
            }
        };
        let Some(baseline) = baseline else {
            measurements.push(None);
            continue;
        };
        let scenario = case.scenario(seed);
        let report = run_with_retries(&scenario, options)?;
        measurements.push(report.map(|report| measure_run(seed, &report, baseline, &scenario)));
    }
    Ok(measurements)
}

/// Returns the cases with these names, or all cases if there are no names.
///
/// # Errors
///
/// Fails if no case has one of the names; the error lists the cases.
pub fn select_cases(names: &[String]) -> Result<Vec<Case>, String> {
    let known: BTreeSet<&str> = CASES.iter().map(|case| case.name).collect();
    if let Some(name) = names.iter().find(|name| !known.contains(name.as_str())) {
        let known: Vec<&str> = CASES.iter().map(|case| case.name).collect();
        return Err(format!("{name:?} is not the name of a case; the cases are {}", known.join(", ")));
    }
    let is_selected = |case: &&Case| names.is_empty() || names.iter().any(|name| name == case.name);
    Ok(CASES.iter().filter(is_selected).copied().collect())
}

#[cfg(test)]
mod tests;
