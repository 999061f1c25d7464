//! What must be left of a run when everything is answered and idle: nothing.

use doorproxy::dispatcher::{Dispatcher, PendingCounts};

use super::Cluster;
use crate::nodes::EndpointState;
use crate::rule::Rule;
use crate::runtime::SimulatedRuntime;

/// Tasks of a balancer beside one for each listed endpoint: its own parts, the two of its admin API, and its call of
/// discovery.
const MAX_IDLE_TASKS: usize = 8;
/// Calls of discovery, and one to where discovery was before it moved.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// A rule that is broken at the end.
struct Leftover {
    rule: Rule,
    numbers: Vec<u64>,
    text: String,
}

/// A balancer that runs.
struct RunningBalancer {
    index: usize,
    runtime: SimulatedRuntime,
    dispatcher: Option<Dispatcher>,
}

impl Cluster {
    /// Checks that no request is left, and that no balancer holds anything.
    pub fn check_quiescent(&self) {
        let mut leftovers: Vec<Leftover> = self.unfinished_requests().into_iter().collect();
        let balancers = self.running_balancers();
        let listed = {
            let state = self.context.state();
            state.endpoints.values().filter(|entry| entry.state != EndpointState::Left).count()
        };
        for balancer in &balancers {
            leftovers.extend(pending_work(balancer));
            leftovers.extend(self.idle_tasks(balancer, listed));
            leftovers.extend(self.idle_connections(balancer));
        }
        self.report(leftovers);
    }

    /// Checks that every balancer that was asked to end has ended.
    pub fn check_balancers_ended(&self) {
        let running: Vec<usize> = self.running_balancers().iter().map(|balancer| balancer.index).collect();
        if running.is_empty() {
            return;
        }
        let text = format!("balancers {running:?} were asked to end and still run");
        let numbers = running.iter().map(|index| *index as u64).collect();
        self.report(vec![Leftover { rule: Rule::NeverEnded, numbers, text }]);
    }

    fn unfinished_requests(&self) -> Option<Leftover> {
        let count: usize = self.clients().iter().map(|client| client.task_count()).sum();
        (count > 0).then(|| Leftover {
            rule: Rule::NoProgress,
            numbers: vec![count as u64],
            text: format!("{count} requests have not ended"),
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

    fn idle_tasks(&self, balancer: &RunningBalancer, listed: usize) -> Option<Leftover> {
        let tasks = self.context.simulation.task_count(balancer.runtime.process);
        let index = balancer.index;
        (tasks > MAX_IDLE_TASKS + listed).then(|| Leftover {
            rule: Rule::Leak,
            numbers: vec![index as u64, tasks as u64, listed as u64],
            text: format!("b{index} still has {tasks} tasks with {listed} endpoints listed"),
        })
    }

    fn idle_connections(&self, balancer: &RunningBalancer) -> Option<Leftover> {
        let state = self.context.simulation.state();
        let connections = state.network.open_connections_of(balancer.runtime.process);
        let index = balancer.index;
        (connections > MAX_IDLE_CONNECTIONS).then(|| Leftover {
            rule: Rule::Leak,
            numbers: vec![index as u64, connections as u64],
            text: format!("b{index} still has {connections} connections"),
        })
    }

    fn report(&self, leftovers: Vec<Leftover>) {
        for Leftover { rule, numbers, text } in leftovers {
            let mut records = self.context.records.lock();
            let mut state = self.context.simulation.state();
            records.report_violation(&mut state.kernel, rule, &numbers, text);
        }
    }
}

fn pending_work(balancer: &RunningBalancer) -> Option<Leftover> {
    let counts = balancer.dispatcher.as_ref().map(Dispatcher::pending_counts).unwrap_or_default();
    let index = balancer.index;
    let PendingCounts { requests, attempts, timers, unanswered, .. } = counts;
    (counts != PendingCounts::default()).then(|| Leftover {
        rule: Rule::Leak,
        numbers: [index, requests, attempts, timers, unanswered].map(|count| count as u64).to_vec(),
        text: format!("b{index} still holds {counts:?}"),
    })
}
