//! How a fleet comes back: plays each fault with many seeds, beside the same load without it, and says how long full service
//! takes and what the way there costs. It owns the definition of full service. It must never count a run in which the test cluster
//! itself was late.

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

/// Service is full from the first instant from which, for so long, each part serves so much of what it serves without the
/// fault.
const STEADY_TIME: Micros = 5 * SECOND;
const SLICE: Micros = SECOND / 2;
const FULL_SERVICE_RATIO: f64 = 0.98;
/// Instants are looked at so far apart.
const SCAN_STEP: Micros = 50 * MS;
/// When the fault comes, and how long its processes are away.
const FAULT_AT_S: f64 = 2.0;
const DOWNTIME_S: f64 = 1.0;
/// A run in which the test cluster was late is played again so often.
const MAX_TRIES: usize = 3;
/// How long processes that serve nothing are waited for at the end of a play.
const HANG_TIMEOUT: Micros = 5 * SECOND;
/// The resolution of plots, and the window in which peaks are counted.
const PEAK_WINDOW: Micros = 100 * MS;

/// What one play shows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunMeasurement {
    pub seed: u64,
    /// From the start of the last process that came back; none: not within the load.
    pub full_after_s: Option<f64>,
    /// Of the requests of the first five seconds back, how many were served, of what is served without the fault.
    pub served: f64,
    /// At the worst in 100 ms, from the fault on.
    pub list_calls: usize,
    pub connections: usize,
    pub pushes: usize,
    pub refused: usize,
    pub lost: usize,
    /// At the worst, work at a warming endpoint in a window as a part of what it bears.
    pub cold_part: f64,
    /// Of the requests served in the first five seconds back.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub violations: usize,
    /// Served in each 100 ms as a part of what is served without the fault, and attempts, from the beginning of the load.
    pub service: Vec<f64>,
    pub load: Vec<f64>,
}

/// First tries that were served, by when they were asked, counted from the beginning of the load; and how long each took.
fn served_requests(played: &RunReport) -> BTreeMap<u64, (Micros, Micros)> {
    let mut asked = BTreeMap::new();
    let mut served = BTreeMap::new();
    for line in &played.history.lines {
        match &line.event {
            Event::RequestStarted { op, .. } if *op < FIRST_RETRY_ID => drop(asked.insert(*op, line.at)),
            Event::ResponseReceived { op, status: 200, .. } => {
                if let Some(at) = asked.get(op) {
                    served.insert(*op, (at.saturating_sub(played.load_period.0), line.at - at));
                }
            }
            _ => {}
        }
    }
    served
}

/// The most events of one kind in any 100 ms; kinds of `None` are not counted.
fn peak_count(played: &RunReport, from: Micros, kind: impl Fn(&Event) -> Option<String>) -> usize {
    let mut recent: BTreeMap<String, std::collections::VecDeque<Micros>> = BTreeMap::new();
    let mut most = 0;
    for line in played.history.lines.iter().filter(|line| line.at >= from && line.at < played.load_period.1) {
        if let Some(kind) = kind(&line.event) {
            let of = recent.entry(kind).or_default();
            of.push_back(line.at);
            while of.front().is_some_and(|first| first + PEAK_WINDOW <= line.at) {
                of.pop_front();
            }
            most = most.max(of.len());
        }
    }
    most
}

/// What one play shows beside the play of its load without the fault.
pub fn measure_run(seed: u64, played: &RunReport, base: &RunReport, scenario: &Scenario) -> RunMeasurement {
    let begin = played.load_period.0;
    let first = scenario
        .faults
        .iter()
        .filter(|fault| fault.kind != FaultKind::Partition)
        .map(|fault| fault.at)
        .fold(f64::MAX, f64::min);
    let fault = begin + (first * SECOND as f64) as Micros;
    let starts = played.history.lines.iter().filter(|line| line.at > fault);
    let back = starts.filter(|line| matches!(line.event, Event::Process { did: ProcessChange::Started, .. }));
    let back = back.map(|line| line.at).max().unwrap_or(fault) - begin;
    let (seen, usual) = (served_requests(played), served_requests(base));
    // When the requests of the run without the fault came: arrivals are the same.
    let at_all: Vec<(Micros, bool)> =
        usual.iter().map(|(op, (at, _))| (*at, seen.contains_key(op))).collect();
    let part = |from: Micros, to: Micros| {
        let (mut all, mut some) = (0u32, 0u32);
        for (_, is_served) in at_all.iter().filter(|(at, _)| *at >= from && *at < to) {
            all += 1;
            some += u32::from(*is_served);
        }
        if all == 0 { 1.0 } else { f64::from(some) / f64::from(all) }
    };
    let end = played.load_period.1 - begin;
    let is_full = |at: Micros| {
        (0..STEADY_TIME / SLICE).all(|n| part(at + n * SLICE, at + (n + 1) * SLICE) >= FULL_SERVICE_RATIO)
    };
    let mut instants = (0..).map(|n| back + n * SCAN_STEP).take_while(|at| at + STEADY_TIME <= end);
    let full = instants.find(|at| is_full(*at));
    let mut took = Histogram::<u64>::new_with_bounds(1, 60 * SECOND, 3).expect("sound bounds");
    for (_, took_of) in seen.values().filter(|(at, _)| *at >= back && *at < back + STEADY_TIME) {
        took.saturating_record(*took_of);
    }
    let count = |is: &dyn Fn(&Event) -> bool| {
        played.history.lines.iter().filter(|line| line.at >= fault && is(&line.event)).count()
    };
    let steps = (end / PEAK_WINDOW) as usize;
    let service = (0..steps).map(|n| part(n as u64 * PEAK_WINDOW, (n as u64 + 1) * PEAK_WINDOW)).collect();
    let mut load = vec![0.0; steps];
    for line in &played.history.lines {
        if let Event::AttemptReceived { .. } = line.event
            && let Some(step) = load.get_mut((line.at.saturating_sub(begin) / PEAK_WINDOW) as usize)
        {
            *step += 1.0;
        }
    }
    RunMeasurement {
        seed,
        full_after_s: full.map(|at| (at - back) as f64 / SECOND as f64),
        served: part(back, back + STEADY_TIME),
        list_calls: peak_count(played, fault, |event| {
            matches!(event, Event::DiscoveryCalled { .. }).then(String::new)
        }),
        connections: peak_count(played, fault, |event| match event {
            Event::ConnectionAccepted { server, .. } => Some(server.clone()),
            _ => None,
        }),
        pushes: peak_count(played, fault, |event| match event {
            Event::AttemptReceived { server, .. } => Some(server.clone()),
            _ => None,
        }),
        refused: count(&|event| matches!(event, Event::ResponseReceived { status: 429 | 503, .. })),
        lost: count(&|event| {
            matches!(
                event,
                Event::ConnectionLost { .. } | Event::ResponseMissing { .. } | Event::NotConnected { .. }
            )
        }),
        cold_part: crate::checkers::peak_slow_start_ratio(scenario, &played.history),
        p50_ms: took.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms: took.value_at_quantile(0.99) as f64 / 1e3,
        violations: played.violations.len(),
        service,
        load,
    }
}

/// A median, and between which order statistics the true one lies with 95 %, by the binomial distribution.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Median {
    pub median: f64,
    pub low: f64,
    pub high: f64,
}

/// None where there is nothing to sort.
pub fn median(values: &[f64]) -> Option<Median> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let n = sorted.len();
    let last = n.checked_sub(1)?;
    // The largest k with P(at most k of n below the median) <= 2.5 %.
    let (mut chance, mut sum, mut below) = (0.5f64.powi(n as i32), 0.0, 0);
    for k in 0..n / 2 {
        sum += chance;
        if sum > 0.025 {
            break;
        }
        below = k + 1;
        chance *= (n - k) as f64 / (k + 1) as f64;
    }
    let low = below.saturating_sub(1);
    let middle = (sorted[last / 2] + sorted[n / 2]) / 2.0;
    Some(Median { median: middle, low: sorted[low], high: sorted[last - low] })
}

#[derive(Debug, Serialize, Deserialize)]
pub struct CaseResult {
    pub case: String,
    pub readings: Vec<RunMeasurement>,
    /// Plays that the machine was too busy for, three times each.
    pub void: usize,
}

impl CaseResult {
    pub fn median(&self, figure: impl Fn(&RunMeasurement) -> f64) -> Option<Median> {
        median(&self.readings.iter().map(figure).collect::<Vec<f64>>())
    }

    /// One that did not come back within the load counts as infinitely late.
    pub fn full_service_after(&self) -> Option<Median> {
        self.median(|reading| reading.full_after_s.unwrap_or(f64::INFINITY))
    }
}

pub fn format_median(of: Option<Median>, digits: usize) -> String {
    let text = |of: f64| if of.is_finite() { format!("{of:.digits$}") } else { "never".to_string() };
    of.map_or("-".to_string(), |of| format!("{} ({} to {})", text(of.median), text(of.low), text(of.high)))
}

/// Puts the readings of several calls together, as each printed them with `--json`.
///
/// # Errors
/// Why a text is none.
pub fn merge_results(texts: &[String]) -> Result<Vec<CaseResult>, String> {
    let mut all: Vec<CaseResult> = Vec::new();
    for text in texts {
        let rows: Vec<CaseResult> = serde_json::from_str(text).map_err(|error| error.to_string())?;
        for row in rows {
            match all.iter_mut().find(|known| known.case == row.case) {
                Some(known) => {
                    known.readings.extend(row.readings);
                    known.void += row.void;
                }
                None => all.push(row),
            }
        }
    }
    Ok(all)
}

/// The table for people, as Markdown.
pub fn markdown_table(rows: &[CaseResult]) -> String {
    let mut text = "| after | plays | full service, s | served in the first 5 s | worst 100 ms: calls at the list | connections at an \
                    upstream | pushes at one | refused | lost | work at a cold one, of what it bears | p50, p99 ms |\n\
                    | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        .to_string();
    for row in rows {
        let of = |of: &dyn Fn(&RunMeasurement) -> f64, digits| format_median(row.median(of), digits);
        text += &format!(
            "| {} | {}{} | {} | {} | {} | {} | {} | {} | {} | {} | {}; {} |\n",
            row.case,
            row.readings.len(),
            if row.void > 0 { format!(", {} void", row.void) } else { String::new() },
            format_median(row.full_service_after(), 2),
            of(&|of| of.served, 3),
            of(&|of| of.list_calls as f64, 0),
            of(&|of| of.connections as f64, 0),
            of(&|of| of.pushes as f64, 0),
            of(&|of| of.refused as f64, 0),
            of(&|of| of.lost as f64, 0),
            of(&|of| of.cold_part, 2),
            of(&|of| of.p50_ms, 1),
            of(&|of| of.p99_ms, 1),
        );
    }
    text
}

fn run_in_time(
    scenario: &Scenario,
    options: &impl Fn(&std::path::Path) -> RunOptions,
) -> Result<Option<RunReport>, String> {
    for _ in 0..MAX_TRIES {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        // Whether they serve again in the end is what is measured.
        let options = RunOptions { hang_timeout: HANG_TIMEOUT, ..options(folder.path()) };
        let played = run_scenario(scenario, &options)?;
        if played.max_lateness <= MAX_LATENESS {
            return Ok(Some(played));
        }
    }
    Ok(None)
}

/// The readings of one case, and how many plays the machine was too busy for.
pub type CaseMeasurements<R> = (Vec<R>, usize);

/// Plays so many cases with each seed, so many side by side, and reads each play that was in time; by case, by seed.
///
/// # Errors
/// The first play that could not be set up or kept up.
pub fn run_cases<R: Send>(
    cases: usize,
    seeds: std::ops::Range<u64>,
    jobs: usize,
    options: impl Fn(&std::path::Path) -> RunOptions + Sync,
    scenario: impl Fn(usize, u64) -> Scenario + Sync,
    read: impl Fn(usize, u64, &RunReport) -> R + Sync,
) -> Result<Vec<CaseMeasurements<R>>, String> {
    let plays: Vec<(u64, usize)> = seeds.flat_map(|seed| (0..cases).map(move |case| (seed, case))).collect();
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(&(seed, case)) = plays.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = run_in_time(&scenario(case, seed), &options);
                    let reading = played.map(|played| played.map(|played| read(case, seed, &played)));
                    done.lock().expect("no panic while it is held").insert((seed, case), reading);
                }
            });
        }
    });
    let mut all: Vec<CaseMeasurements<R>> = (0..cases).map(|_| (Vec::new(), 0)).collect();
    for ((_, case), reading) in done.into_inner().expect("no panic while it is held") {
        match reading? {
            Some(reading) => all[case].0.push(reading),
            None => all[case].1 += 1,
        }
    }
    Ok(all)
}

/// Plays these cases with each seed, so many side by side. `options` says what is played in a folder.
///
/// # Errors
/// The first play that could not be set up or kept up.
pub fn measure_cases(
    cases: &[Case],
    seeds: std::ops::Range<u64>,
    jobs: usize,
    options: impl Fn(&std::path::Path) -> RunOptions + Sync,
) -> Result<Vec<CaseResult>, String> {
    let longest =
        cases.iter().map(|case| case.fault_at_s + DOWNTIME_S + case.load_after_s).fold(0.0, f64::max);
    let seeds: Vec<u64> = seeds.collect();
    let next = AtomicUsize::new(0);
    let rows: Vec<CaseResult> = cases
        .iter()
        .map(|case| CaseResult { case: case.name.to_string(), readings: Vec::new(), void: 0 })
        .collect();
    let shared = Mutex::new((rows, None::<String>));
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                while let Some(seed) = seeds.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let done = measure_seed(cases, *seed, longest, &options);
                    let mut shared = shared.lock().expect("no panic while it is held");
                    match done {
                        Ok(readings) => {
                            for (row, reading) in shared.0.iter_mut().zip(readings) {
                                match reading {
                                    Some(reading) => row.readings.push(reading),
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
    let (mut rows, error) = shared.into_inner().expect("no panic while it is held");
    rows.iter_mut().for_each(|row| row.readings.sort_by_key(|reading| reading.seed));
    error.map_or(Ok(rows), Err)
}

fn measure_seed(
    cases: &[Case],
    seed: u64,
    longest: f64,
    options: &impl Fn(&std::path::Path) -> RunOptions,
) -> Result<Vec<Option<RunMeasurement>>, String> {
    let mut bases: BTreeMap<bool, Option<RunReport>> = BTreeMap::new();
    let mut readings = Vec::new();
    for case in cases {
        let base = match bases.entry(case.heavy_requests) {
            Entry::Occupied(base) => base.into_mut(),
            Entry::Vacant(place) => place
                .insert(run_in_time(&scenario_without_fault(seed, longest, case.heavy_requests), options)?),
        };
        let Some(base) = base else {
            readings.push(None);
            continue;
        };
        let scenario = case.scenario(seed);
        let played = run_in_time(&scenario, options)?;
        readings.push(played.map(|played| measure_run(seed, &played, base, &scenario)));
    }
    Ok(readings)
}

/// The cases of these names; all where none is named.
///
/// # Errors
/// A name that no case has, and those that there are.
pub fn select_cases(names: &[String]) -> Result<Vec<Case>, String> {
    let known: BTreeSet<&str> = CASES.iter().map(|case| case.name).collect();
    if let Some(name) = names.iter().find(|name| !known.contains(name.as_str())) {
        let known: Vec<&str> = CASES.iter().map(|case| case.name).collect();
        return Err(format!("no case is called {name:?}; there are {}", known.join(", ")));
    }
    let is_meant = |case: &&Case| names.is_empty() || names.iter().any(|name| name == case.name);
    Ok(CASES.iter().filter(is_meant).copied().collect())
}

#[cfg(test)]
mod tests;
