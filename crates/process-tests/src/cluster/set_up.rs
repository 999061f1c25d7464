//! Sets up the parts of a run: the fault proxy, the test endpoints, the balancers' directories and the load
//! generator.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use doorproxy_test_servers::client::{BalancerHandle, LoadGenerator, LoadProfile};
use doorproxy_test_servers::clock::Clock;
use doorproxy_test_servers::discovery_service::DiscoveryService;
use doorproxy_test_servers::events::{Event, EventSink, ProcessChange};
use doorproxy_test_servers::upstream::{DedupMemory, UpstreamServer, UpstreamSpec};
use tokio::task::JoinSet;

use super::balancer_config::fleet_settings;
use super::{Cluster, RunOptions, micros_from_secs, with_context};
use crate::addresses::{self, AddressBlock, CLIENTS, DISCOVERY};
use crate::fault_proxy::FaultProxy;
use crate::history::HistoryWriter;
use crate::node::Node;
use crate::scenario::{Load, Scenario};

/// A byte of the key that balancers share, in the hexadecimal form of the key file.
const PEER_KEY_BYTE: &str = "5a";
const PEER_KEY_BYTES: usize = 32;

/// The inputs that the parts of a run need.
struct Parts<'a> {
    scenario: &'a Scenario,
    options: &'a RunOptions,
    clock: Clock,
    history: Arc<HistoryWriter>,
    proxy: Arc<FaultProxy>,
    balancers: Vec<String>,
}

impl Cluster {
    /// Sets up a run without starting a balancer.
    pub(super) async fn set_up(
        scenario: &Scenario,
        options: &RunOptions,
        clock: Clock,
        history: Arc<HistoryWriter>,
    ) -> Result<Cluster, String> {
        let parts = Parts {
            scenario,
            options,
            clock,
            history: history.clone(),
            proxy: FaultProxy::new(AddressBlock::claim()?, clock, scenario.seed),
            balancers: (0..scenario.fleet.balancers).map(addresses::balancer_name).collect(),
        };
        let mut tasks = JoinSet::new();
        let discovery = parts.discovery();
        let upstreams = parts.start_upstreams(&discovery, &mut tasks).await?;
        with_context("discovery", discovery.start().await)?;
        let datagram_relays = parts.relay_datagrams().await?;
        let nodes = parts.prepare_nodes(&mut tasks)?;
        let load_generator = parts.load_generator();
        let initial_lists: BTreeMap<_, _> =
            parts.balancers.iter().map(|name| (name.clone(), discovery.full_list(name))).collect();
        Ok(Cluster {
            scenario: scenario.clone(),
            clock,
            history,
            proxy: parts.proxy,
            discovery,
            upstreams,
            nodes,
            duplicate_processes: Vec::new(),
            load_generator,
            last_lists: initial_lists.clone(),
            initial_lists,
            listen_waiters: BTreeMap::new(),
            paused: BTreeSet::new(),
            hang_timeout: options.hang_timeout,
            _datagram_relays: datagram_relays,
            tasks,
        })
    }
}

impl Parts<'_> {
    fn discovery(&self) -> Arc<DiscoveryService> {
        let proxy = self.proxy.clone();
        DiscoveryService::new(
            self.proxy.addresses.service(DISCOVERY),
            micros_from_secs(self.scenario.fleet.discovery_call_ms / 1e3),
            self.clock,
            self.history.clone(),
            self.proxy.clone(),
            Arc::new(move |node, server| proxy.addresses.proxy(node, server)),
        )
    }

    /// Starts the endpoints, adds them to the endpoint list, and starts a relay to each from each balancer.
    async fn start_upstreams(
        &self,
        discovery: &DiscoveryService,
        tasks: &mut JoinSet<()>,
    ) -> Result<BTreeMap<String, Arc<UpstreamServer>>, String> {
        let fleet = &self.scenario.fleet;
        let spec = UpstreamSpec {
            cores: fleet.cores,
            queue_limit: fleet.queue_limit,
            slow_start: fleet.slow_start(),
        };
        let dedup_memory = Arc::new(DedupMemory::default());
        let mut upstreams = BTreeMap::new();
        for index in 0..fleet.upstreams {
            let name = addresses::upstream_name(index);
            let upstream = UpstreamServer::new(
                &name,
                self.proxy.addresses.service(&name),
                spec,
                self.clock,
                self.history.clone(),
                dedup_memory.clone(),
                self.proxy.clone(),
            );
            with_context(&name, upstream.start(false).await)?;
            discovery.set_endpoint(&name, addresses::zone(index), "active", 0);
            for balancer in &self.balancers {
                tasks.spawn(self.proxy.clone().proxy_connections(balancer.clone(), name.clone()));
            }
            upstreams.insert(name, upstream);
        }
        Ok(upstreams)
    }

    /// Starts the relays of datagrams, if balancers know each other.
    async fn relay_datagrams(&self) -> Result<Option<JoinSet<()>>, String> {
        if self.scenario.fleet.registry_replicas.is_none() {
            return Ok(None);
        }
        let relays = self.proxy.clone().relay_datagrams(self.balancers.clone()).await;
        with_context("datagram relays", relays).map(Some)
    }

    /// Creates the balancers' directories, and starts their relays to discovery and from the clients.
    fn prepare_nodes(&self, tasks: &mut JoinSet<()>) -> Result<BTreeMap<String, Node>, String> {
        let RunOptions { program, arguments, directory, .. } = self.options;
        let fleet = &self.scenario.fleet;
        let key = directory.join("peers.key");
        with_context("peers.key", std::fs::write(&key, PEER_KEY_BYTE.repeat(PEER_KEY_BYTES)))?;
        let mut nodes = BTreeMap::new();
        for name in &self.balancers {
            self.proxy.set_down(name, true);
            tasks.spawn(self.proxy.clone().proxy_connections(name.clone(), DISCOVERY.to_string()));
            tasks.spawn(self.proxy.clone().proxy_connections(CLIENTS.to_string(), name.clone()));
            let mut node = with_context(name, Node::new(name, directory, program, arguments))?;
            node.keeps_state = fleet.keeps_state;
            node.fleet_settings = fleet_settings(&self.proxy, name, &self.balancers, fleet, &key);
            nodes.insert(name.clone(), node);
        }
        Ok(nodes)
    }

    fn load_generator(&self) -> Arc<LoadGenerator> {
        let handle = |name: &String| BalancerHandle::new(name, self.proxy.addresses.proxy(CLIENTS, name));
        let balancers = self.balancers.iter().map(handle).collect();
        let history = self.history.clone();
        let on_ready = Box::new(move |node: &str| {
            history.record(Event::Process { node: node.to_string(), id: 0, did: ProcessChange::Ready });
        });
        let profile = load_profile(&self.scenario.load);
        let events = self.history.clone();
        LoadGenerator::new(self.scenario.seed, profile, balancers, self.clock, events, on_ready)
    }
}

fn load_profile(load: &Load) -> LoadProfile {
    LoadProfile {
        requests_per_second: load.rate,
        mean_work: micros_from_secs(load.work_ms / 1e3),
        timeout: micros_from_secs(load.ttl_ms / 1e3),
        deduplicated_ratio: load.deduplicated_ratio,
        non_idempotent_ratio: load.non_idempotent_ratio,
        abandon_ratio: load.abandon_ratio,
        immediate_retry_ratio: load.immediate_retry_ratio,
        retry_after_ratio: load.retry_after_ratio,
        first_balancer_ratio: load.first_balancer_ratio,
    }
}
