//! Runs a scenario: starts the balancers and the test endpoints, injects the faults at their times, and
//! checks the history. The cluster owns every process and task of a run and ends them all.

mod balancer_config;
mod end_checks;
mod faults;
mod processes;
mod schedule;
mod set_up;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::process::Child;
use std::sync::Arc;
use std::time::Duration;

use doorproxy_test_servers::client::{BalancerHandle, LoadGenerator};
use doorproxy_test_servers::clock::{self, Clock, MS, Micros, SECOND};
use doorproxy_test_servers::discovery_service::DiscoveryService;
use doorproxy_test_servers::events::{Event, EventSink, ProcessChange};
use doorproxy_test_servers::upstream::UpstreamServer;
use serde_json::Value;
use tokio::task::{JoinHandle, JoinSet};

use crate::admin_client::poll_member_counts;
use crate::checkers::{self, Violation};
use crate::fault_proxy::FaultProxy;
use crate::history::{self, History, HistoryWriter};
use crate::lateness::LatenessMonitor;
pub use crate::lateness::MAX_LATENESS;
use crate::node::Node;
use crate::permit_worker::PermitWorker;
use crate::scenario::{Scenario, StateDirectoryCondition};

/// The timeout of a step of a run. It is longer than any step takes on a machine with all cores busy, so only
/// a run that has failed waits so long.
pub const HANG_TIMEOUT: Micros = 60 * SECOND;
/// The interval at which the cluster checks for exited processes and due faults.
const LOOP_INTERVAL: Micros = 10 * MS;
/// The number of attempts of one request that the settings allow a balancer.
pub const MAX_ATTEMPTS: usize = 4;
const RUNTIME_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// The program that a run starts as balancers, and its directory.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The path of the program.
    pub program: PathBuf,
    /// The arguments before those that every balancer gets.
    pub arguments: Vec<String>,
    /// The directory of logs, state directories and the history.
    pub directory: PathBuf,
    /// The time after which a balancer that does not exit or does not serve counts as stuck:
    /// [`HANG_TIMEOUT`], or less for mutants.
    pub hang_timeout: Micros,
}

impl RunOptions {
    /// Returns the options with the program `doorproxy` that was built beside this one.
    ///
    /// # Errors
    ///
    /// Fails if there is no such program; the error says how to build it.
    pub fn with_built_program(directory: &Path) -> Result<RunOptions, String> {
        let own = std::env::current_exe().map_err(|error| error.to_string())?;
        let program =
            own.ancestors().skip(1).take(2).map(|above| above.join("doorproxy")).find(|path| path.is_file());
        let program = program.ok_or_else(|| {
            format!(
                "{}: there is no program doorproxy beside it; build it with `cargo build -p doorproxy-cli`",
                own.display()
            )
        })?;
        Ok(RunOptions {
            program,
            arguments: Vec::new(),
            directory: directory.to_path_buf(),
            hang_timeout: HANG_TIMEOUT,
        })
    }

    /// Returns the path of the history.
    pub fn history_path(&self) -> PathBuf {
        self.directory.join("history.jsonl")
    }
}

/// The result of a run.
#[derive(Debug)]
pub struct RunReport {
    /// The observed events.
    pub history: History,
    /// The violations of rules in the history.
    pub violations: Vec<Violation>,
    /// The largest delay of the test harness; a measurement with more than [`MAX_LATENESS`] is void.
    pub max_lateness: Micros,
    /// The times at which the load began and ended.
    pub load_period: (Micros, Micros),
}

impl RunReport {
    /// Returns the violated rules, each once.
    pub fn violated_rules(&self) -> BTreeSet<&'static str> {
        self.violations.iter().map(|violation| violation.rule).collect()
    }
}

/// Runs a scenario and checks its history.
///
/// # Errors
///
/// Fails if the test cluster cannot be set up or its load does not end; what balancers do wrong is reported
/// as violations.
pub fn run_scenario(scenario: &Scenario, options: &RunOptions) -> Result<RunReport, String> {
    std::fs::create_dir_all(&options.directory)
        .map_err(|error| format!("{}: {error}", options.directory.display()))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| format!("tokio runtime: {error}"))?;
    let clock = Clock::start();
    let writer = HistoryWriter::create(&options.history_path(), clock).map_err(|error| error.to_string())?;
    let writer = Arc::new(writer);
    let lateness = LatenessMonitor::start(writer.clone());
    // Processes must be started from this thread: the kernel kills them when the thread that started them
    // ends.
    let load_period = runtime
        .block_on(async { Cluster::set_up(scenario, options, clock, writer.clone()).await?.run().await });
    let max_lateness = lateness.stop();
    runtime.shutdown_timeout(RUNTIME_SHUTDOWN_TIMEOUT);
    writer.finish().map_err(|error| format!("{}: {error}", options.history_path().display()))?;
    let load_period = load_period?;
    let history = history::read_history(&options.history_path())?;
    let violations = checkers::check_history(scenario, &history);
    Ok(RunReport { history, violations, max_lateness, load_period })
}

/// The parts of a run.
struct Cluster {
    scenario: Scenario,
    clock: Clock,
    history: Arc<HistoryWriter>,
    proxy: Arc<FaultProxy>,
    discovery: Arc<DiscoveryService>,
    upstreams: BTreeMap<String, Arc<UpstreamServer>>,
    nodes: BTreeMap<String, Node>,
    duplicate_processes: Vec<(String, Child)>,
    load_generator: Arc<LoadGenerator>,
    initial_lists: BTreeMap<String, Value>,
    /// The endpoint list at the time when the last process of each balancer ended.
    last_lists: BTreeMap<String, Value>,
    listen_waiters: BTreeMap<String, JoinHandle<()>>,
    paused: BTreeSet<String>,
    hang_timeout: Micros,
    /// The relays of datagrams among balancers, which run until this is dropped.
    _datagram_relays: Option<JoinSet<()>>,
    tasks: JoinSet<()>,
}

fn micros_from_secs(time: f64) -> Micros {
    (time * SECOND as f64) as Micros
}

fn with_context<T>(what: &str, result: io::Result<T>) -> Result<T, String> {
    result.map_err(|error| format!("{what}: {error}"))
}

impl Cluster {
    fn record(&self, event: Event) {
        self.history.record(event);
    }

    fn record_process(&self, node: &str, did: ProcessChange) {
        let id = self.nodes.get(node).map_or(0, Node::process_id);
        self.record(Event::Process { node: node.to_string(), id, did });
    }

    /// Runs the load and the faults; returns the times at which the load began and ended.
    async fn run(mut self) -> Result<(Micros, Micros), String> {
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            self.start_balancer(name, self.scenario.fleet.configured_list, StateDirectoryCondition::Kept)?;
        }
        self.tasks.spawn(self.load_generator.clone().watch_readiness());
        self.wait_until_ready(&names).await?;
        self.nodes.values_mut().for_each(Node::save_initial_files);
        let begin = self.clock.now();
        let end = begin + micros_from_secs(self.scenario.seconds);
        self.spawn_observers(&names);
        self.run_load(begin, end).await?;
        self.check_all_serve().await;
        if self.scenario.fleet.registry_replicas.is_some() {
            self.check_overrides_agree().await;
        }
        self.shut_down().await;
        Ok((begin, end))
    }

    async fn wait_until_ready(&mut self, names: &[String]) -> Result<(), String> {
        let until = self.clock.now() + HANG_TIMEOUT;
        while !self.load_generator.balancers.iter().all(BalancerHandle::is_up) {
            self.reap_exited();
            if let Some((name, node)) = self.nodes.iter().find(|(_, node)| node.child.is_none()) {
                return Err(format!("{name} ended before it was ready: {}", node.log_tail()));
            }
            if self.clock.now() > until {
                let balancers = names.iter().zip(&self.load_generator.balancers);
                let late: Vec<&String> =
                    balancers.filter(|(_, balancer)| !balancer.is_up()).map(|(name, _)| name).collect();
                return Err(format!("{late:?} were not ready within {} s", HANG_TIMEOUT / SECOND));
            }
            clock::sleep(LOOP_INTERVAL).await;
        }
        Ok(())
    }

    /// Starts the tasks that poll the balancers for their members and take permits.
    fn spawn_observers(&mut self, names: &[String]) {
        if self.scenario.fleet.registry_replicas.is_some() {
            for name in names {
                let address = self.proxy.addresses.admin(name);
                let history = self.history.clone();
                self.tasks.spawn(poll_member_counts(name.clone(), address, self.clock, history));
            }
        }
        if self.scenario.fleet.permits.is_some() {
            for (index, name) in names.iter().enumerate() {
                let worker = PermitWorker {
                    node: name.clone(),
                    admin_address: self.proxy.addresses.admin(name),
                    clock: self.clock,
                    history: self.history.clone(),
                };
                self.tasks.spawn(worker.run(self.scenario.seed ^ index as u64));
            }
        }
    }

    /// Runs the load and performs the steps of the faults at their times, until all are over.
    async fn run_load(&mut self, begin: Micros, end: Micros) -> Result<(), String> {
        let mut load = tokio::spawn(self.load_generator.clone().generate_load(end));
        let mut steps = self.schedule_faults(begin);
        let latest_end = end.max(begin + self.scenario.faults_end()) + HANG_TIMEOUT;
        loop {
            self.reap_exited();
            let now = self.clock.now();
            while steps.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                if let Some((_, step)) = steps.pop_first() {
                    self.perform_step(step).await?;
                }
            }
            if steps.is_empty() && load.is_finished() {
                break;
            }
            if self.clock.now() > latest_end {
                load.abort();
                return Err("load: some requests did not end".to_string());
            }
            clock::sleep(LOOP_INTERVAL).await;
        }
        let _ = (&mut load).await;
        Ok(())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, child) in &mut self.duplicate_processes {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
