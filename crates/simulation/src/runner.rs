//! Runs one scenario and reports the result.

use crate::checker::Violation;
use crate::cluster::Cluster;
use crate::context::ClusterContext;
use crate::counters::Counters;
use crate::mutants::Mutant;
use crate::rule::Rule;
use crate::scenario::{FaultKind, Scenario, Trigger};
use crate::simulation::StopReason;
use crate::time::{MS, Micros, SECOND};
use crate::trace::Digest;

/// The time for which the cluster runs after the last request and the last fault.
const SETTLE_TIME: Micros = 4 * SECOND;
/// The time within which the balancers must close their idle connections.
const QUIESCENCE_TIME: Micros = 16 * SECOND;
/// The time within which an idle balancer must end after it was asked to shut down.
const SHUTDOWN_TIME: Micros = 4 * SECOND;
/// The time after the end of a fault during which another fault still counts as overlapping with it.
const OVERLAP_MARGIN: Micros = 500 * MS;

/// The result of a run.
pub struct RunReport {
    /// The first violation.
    pub violation: Option<Violation>,
    /// The digest of the events, which does not depend on the wording of the trace.
    pub events: Digest,
    /// The digest of the lines of the trace.
    pub lines: Digest,
    /// The text of the trace; empty if it was not requested.
    pub trace: String,
    /// The virtual time that passed.
    pub duration: Micros,
    /// The counts of what occurred in the run.
    pub coverage: Coverage,
}

/// Counts of what occurred in one or more runs.
#[derive(Clone, Default)]
pub struct Coverage {
    /// The kinds of faults that were applied.
    pub faults: Counters,
    /// The pairs of faults that overlapped.
    pub fault_pairs: Counters,
    /// The results of attempts.
    pub attempt_results: Counters,
    /// The hard cases.
    pub hard_cases: Counters,
    /// What clients and endpoints observed, such as statuses.
    pub outcomes: Counters,
}

impl Coverage {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Coverage) {
        self.faults.add_all(&other.faults);
        self.fault_pairs.add_all(&other.fault_pairs);
        self.attempt_results.add_all(&other.attempt_results);
        self.hard_cases.add_all(&other.hard_cases);
        self.outcomes.add_all(&other.outcomes);
    }
}

/// Returns the name of a pair of faults, which does not depend on the order of the arguments.
pub fn fault_pair_name(one: FaultKind, other: FaultKind) -> String {
    let first = one.min(other);
    let second = one.max(other);
    format!("{} + {}", first.name(), second.name())
}

/// Runs a scenario until it ends or breaks a rule. The text of the trace is kept only if `keeps_trace_text`
/// is set.
pub fn run_scenario(scenario: &Scenario, mutant: Option<Mutant>, keeps_trace_text: bool) -> RunReport {
    let cluster = Cluster::start(scenario, mutant, keeps_trace_text);
    run_phases(&cluster);
    let coverage = collect_coverage(&cluster.context);
    let violation = cluster.context.records.lock().violation.clone();
    cluster.shut_down();
    let mut state = cluster.context.simulation.state();
    let duration = state.kernel.now;
    let trace = std::mem::take(&mut state.kernel.trace);
    RunReport { violation, events: trace.events, lines: trace.lines, trace: trace.text, duration, coverage }
}

/// Runs the load and the faults, then waits until the cluster is idle, and then shuts the balancers down.
fn run_phases(cluster: &std::sync::Arc<Cluster>) {
    let simulation = &cluster.context.simulation;
    let records = &cluster.context.records;
    let is_over = || records.has_violation();
    let load_end = settled_at(&cluster.context);
    let mut stop = simulation.run_until(load_end, is_over);
    if stop == StopReason::Reached && !is_over() {
        cluster.close_client_connections();
        stop = simulation.run_until(load_end + QUIESCENCE_TIME, is_over);
    }
    if stop == StopReason::Reached && !is_over() {
        cluster.check_quiescent();
        cluster.shut_down_balancers();
        stop = simulation.run_until(load_end + QUIESCENCE_TIME + SHUTDOWN_TIME, is_over);
    }
    if stop == StopReason::Livelock {
        let text = "tasks wake each other without end and virtual time stands still".to_string();
        let mut records = records.lock();
        records.report_violation(&mut simulation.state().kernel, Rule::NoProgress, &[], text);
    } else if !is_over() {
        cluster.check_balancers_ended();
    }
}

/// Returns the time at which the load and the faults have ended and the cluster has had time to settle.
fn settled_at(context: &ClusterContext) -> Micros {
    let faults = &context.scenario.faults;
    let longest = faults.iter().map(|fault| fault.duration).max().unwrap_or(0);
    let ends = faults.iter().map(|fault| match fault.trigger {
        Trigger::At(at) => at + fault.duration,
        Trigger::On(..) => context.load_end() + longest,
    });
    ends.max().unwrap_or(0).max(context.load_end()) + SETTLE_TIME
}

fn collect_coverage(context: &ClusterContext) -> Coverage {
    let mut coverage = Coverage::default();
    count_faults(context, &mut coverage);
    let records = context.records.lock();
    coverage.attempt_results = records.attempt_results.clone();
    coverage.hard_cases = records.hard_cases.clone();
    coverage.outcomes = records.outcomes.clone();
    coverage
}

fn count_faults(context: &ClusterContext, coverage: &mut Coverage) {
    let state = context.state();
    for (index, fault) in state.applied_faults.iter().enumerate() {
        coverage.faults.increment(fault.kind.name());
        for other in &state.applied_faults[..index] {
            if fault.start <= other.end + OVERLAP_MARGIN && other.start <= fault.end + OVERLAP_MARGIN {
                coverage.fault_pairs.increment(&fault_pair_name(fault.kind, other.kind));
            }
        }
    }
}
