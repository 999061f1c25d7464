//! Checks that no work and no resource is left at the end of a run.

use doorproxy::dispatcher::{Dispatcher, PendingCounts};

use super::Cluster;
use crate::nodes::EndpointState;
use crate::rule::Rule;
use crate::runtime::SimulatedRuntime;

/// The tasks that an idle balancer may have besides one for each listed endpoint: those of its own parts, two
/// for its admin API, and one for its call to discovery.
const MAX_IDLE_TASKS: usize = 8;
/// The connections that an idle balancer may have: those to discovery, and one to the previous address of
/// discovery after it has moved.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// A violation that is found at the end of a run: work or a resource is left.
struct FinalViolation {
    rule: Rule,
    numbers: Vec<u64>,
    text: String,
}

/// A balancer whose process is running.
struct RunningBalancer {
    index: usize,
    runtime: SimulatedRuntime,
    dispatcher: Option<Dispatcher>,
}

impl Cluster {
    /// Checks that every request has ended, and that no balancer holds pending work, extra tasks or extra
    /// connections.
    pub fn check_quiescent(&self) {
        let mut violations: Vec<FinalViolation> = self.unfinished_requests().into_iter().collect();
        let balancers = self.running_balancers();
        let listed = {
            let state = self.context.state();
            state.endpoints.values().filter(|entry| entry.state != EndpointState::Left).count()
        };
        for balancer in &balancers {
            violations.extend(pending_work(balancer));
            violations.extend(self.idle_tasks(balancer, listed));
            violations.extend(self.idle_connections(balancer));
        }
        self.report(violations);
    }

    /// Checks that every balancer that was asked to shut down has exited.
    pub fn check_balancers_ended(&self) {
        let running: Vec<usize> = self.running_balancers().iter().map(|balancer| balancer.index).collect();
        if running.is_empty() {
            return;
        }
        let text = format!("balancers {running:?} were asked to shut down and are still running");
        let numbers = running.iter().map(|index| *index as u64).collect();
        self.report(vec![FinalViolation { rule: Rule::NeverEnded, numbers, text }]);
    }

    fn unfinished_requests(&self) -> Option<FinalViolation> {
        let count: usize = self.clients().iter().map(|client| client.task_count()).sum();
        (count > 0).then(|| FinalViolation {
            rule: Rule::NoProgress,
            numbers: vec![count as u64],
            text: format!("{count} requests have not finished"),
        })
    }

    fn running_balancers(&self) -> Vec<RunningBalancer> {
        let state = self.context.state();
        let running = state.balancers.iter().enumerate().filter_map(|(index, balancer)| {
            let runtime = balancer.runtime.clone()?;
            Some(RunningBalancer { index, runtime, dispatcher: balancer.dispatcher.clone() })
        });
        running.collect()
    }

    fn idle_tasks(&self, balancer: &RunningBalancer, listed: usize) -> Option<FinalViolation> {
        let tasks = self.context.simulation.task_count(balancer.runtime.process);
        let index = balancer.index;
        (tasks > MAX_IDLE_TASKS + listed).then(|| FinalViolation {
            rule: Rule::Leak,
            numbers: vec![index as u64, tasks as u64, listed as u64],
            text: format!("b{index} still has {tasks} tasks with {listed} endpoints listed"),
        })
    }

    fn idle_connections(&self, balancer: &RunningBalancer) -> Option<FinalViolation> {
        let state = self.context.simulation.state();
        let connections = state.network.open_connections_of(balancer.runtime.process);
        let index = balancer.index;
        (connections > MAX_IDLE_CONNECTIONS).then(|| FinalViolation {
            rule: Rule::Leak,
            numbers: vec![index as u64, connections as u64],
            text: format!("b{index} still has {connections} open connections"),
        })
    }

    fn report(&self, violations: Vec<FinalViolation>) {
        for FinalViolation { rule, numbers, text } in violations {
            let mut records = self.context.records.lock();
            let mut state = self.context.simulation.state();
            records.report_violation(&mut state.kernel, rule, &numbers, text);
        }
    }
}

fn pending_work(balancer: &RunningBalancer) -> Option<FinalViolation> {
    let counts = balancer.dispatcher.as_ref().map(Dispatcher::pending_counts).unwrap_or_default();
    let index = balancer.index;
    let PendingCounts { requests, attempts, timers, unanswered, .. } = counts;
    (counts != PendingCounts::default()).then(|| FinalViolation {
        rule: Rule::Leak,
        numbers: [index, requests, attempts, timers, unanswered].map(|count| count as u64).to_vec(),
        text: format!("b{index} still holds {counts:?}"),
    })
}
