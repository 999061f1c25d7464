//! Runs the scenarios of many seeds on several threads.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use doorproxy_simulation::mutants::Mutant;
use doorproxy_simulation::runner::{RunReport, run_scenario};
use doorproxy_simulation::scenario::Scenario;

use crate::error::CliError;

/// A series of runs, one per seed.
pub struct SeedRuns {
    /// The seeds.
    pub seeds: Range<u64>,
    /// The number of runs at once.
    pub jobs: usize,
    /// Returns the scenario of a seed.
    pub generate: fn(u64) -> Scenario,
    /// The mutant that every run has, if any.
    pub mutant: Option<Mutant>,
}

impl SeedRuns {
    /// Runs the seeds and returns their reports. With a mutant it stops once a run has found the mutant. All
    /// lower seeds are still run to their end, so the first finding does not depend on the number of jobs.
    ///
    /// # Errors
    ///
    /// Fails if a run panics.
    pub fn run(&self) -> Result<BTreeMap<u64, RunReport>, CliError> {
        let next_seed = AtomicU64::new(self.seeds.start);
        let is_found = AtomicBool::new(false);
        let reports: Mutex<BTreeMap<u64, RunReport>> = Mutex::default();
        let work = || {
            while !is_found.load(Ordering::Relaxed) {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= self.seeds.end {
                    return;
                }
                let report = run_scenario(&(self.generate)(seed), self.mutant, false);
                if self.mutant.is_some() && self.is_finding(&report) {
                    is_found.store(true, Ordering::Relaxed);
                }
                reports.lock().expect("no run panics while it reports").insert(seed, report);
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..self.jobs {
                scope.spawn(work);
            }
        });
        reports.into_inner().map_err(|_| CliError::WorkerPanicked)
    }

    /// Returns whether the run broke a rule. With a mutant, only the rules of the mutant count, because it
    /// may break others as a side effect.
    pub fn is_finding(&self, report: &RunReport) -> bool {
        let Some(violation) = &report.violation else { return false };
        self.mutant.is_none_or(|mutant| mutant.rules().contains(&violation.rule))
    }
}
