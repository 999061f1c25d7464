//! The peer thread exchanges membership, leases, quotas, overrides and fault reports over one UDP socket.
//! Nothing on the request path waits for it. Every value that it publishes has an expiry, so the values stay
//! safe to use even if the thread stalls or ends.

mod control_loop;
mod delivery;
mod dispatch;
mod pacing;
mod socket;
mod status;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::assembly::Components;
use doorproxy_balancer::config::Config;
use doorproxy_balancer::runtime::Runtime;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_config::fleet::{FleetConfig, PeersConfig};
use doorproxy_fleet_health::gossip::OverrideGossip;
use doorproxy_leases::messages::ProcessIdentity;
use doorproxy_membership::message::{Incarnation, NodeId};
use doorproxy_membership::node::{MembershipNode, MembershipSettings};
use doorproxy_peer_transport::cluster_keys::ClusterKeys;
use doorproxy_peer_transport::datagram::DatagramCodec;
use thiserror::Error;

use crate::error::FileError;
use crate::fault_reports::{FaultReporter, HealthSources};
use crate::files::read_text;
use crate::leases::PermitLeases;
use crate::quotas::{FleetQuotas, UnknownTenant};

use control_loop::PeerLoop;
use pacing::DroppedDatagrams;
use socket::PeerSocket;

const THREAD_NAME: &str = "peers";
const MICROS_PER_TICK: u128 = 100;

/// An error that prevents the start of the peer thread.
#[derive(Debug, Error)]
pub enum PeerThreadError {
    #[error(transparent)]
    KeyFile(#[from] FileError),
    #[error("{}: {message}", path.display())]
    Keys { path: PathBuf, message: String },
    #[error(
        "peers.keepers: {name} is this balancer and is listed at {listed}, but it advertises {advertised}"
    )]
    ReplicaAddress { name: String, listed: SocketAddr, advertised: SocketAddr },
    #[error(transparent)]
    Quotas(#[from] UnknownTenant),
    #[error("peers.listen: {address} can't be bound: {source}")]
    Bind { address: SocketAddr, source: io::Error },
    #[error("the peer thread could not start: {0}")]
    Thread(#[source] io::Error),
}

/// Converts a duration of the fleet file to ticks, rounding down.
pub fn ticks(duration: Duration) -> Ticks {
    Ticks((duration.as_micros() / MICROS_PER_TICK) as i64)
}

/// The handle of the running peer thread.
pub struct PeerThread {
    stop_requested: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl PeerThread {
    /// Announces once to the peers that this process sends no more requests, and waits for the thread to end.
    pub fn leave_and_join(self) {
        self.stop_requested.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
    }
}

/// Starts the thread. Returns `None` if the fleet file configures no peers.
///
/// # Errors
/// Returns an error if the key file can't be read, the fleet file contradicts the configuration, or the
/// address can't be bound. An address in use is not an error: the thread waits until it is free, since the
/// predecessor of this process may still hold it.
pub fn start(
    runtime: SystemRuntime,
    config: &Config,
    fleet: &FleetConfig,
    components: &Components<SystemRuntime>,
) -> Result<Option<PeerThread>, PeerThreadError> {
    let Some(peers) = &fleet.peers else { return Ok(None) };
    let keys = read_keys(peers)?;
    check_own_address(config, peers)?;
    let codec = DatagramCodec::new(&peers.cluster, keys);
    let now = runtime.now();
    let mut peer_loop = build_loop(runtime, now, config, fleet, peers, components)?;
    // Publishes the conservative bound before the first request.
    peer_loop.publish_fleet_share(now);
    let address = peers.listen_address;
    let socket = match PeerSocket::bind(runtime, address, &codec) {
        Ok(socket) => Some(socket),
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => None,
        Err(source) => return Err(PeerThreadError::Bind { address, source }),
    };
    let stop_requested = Arc::new(AtomicBool::new(false));
    let stop = stop_requested.clone();
    let run = move || {
        let socket = socket.or_else(|| PeerSocket::wait_for_address(runtime, address, &codec, &stop));
        if let Some(socket) = socket {
            peer_loop.run(&socket, &stop);
        }
    };
    let thread = Builder::new().name(THREAD_NAME.to_string()).spawn(run).map_err(PeerThreadError::Thread)?;
    Ok(Some(PeerThread { stop_requested, thread }))
}

fn read_keys(peers: &PeersConfig) -> Result<ClusterKeys, PeerThreadError> {
    let text = read_text(&peers.key_file)?;
    ClusterKeys::parse(&text).map_err(|message| PeerThreadError::Keys {
        path: peers.key_file.clone(),
        message: message.to_string(),
    })
}

/// Checks that a registry replica is listed at the address that it advertises.
fn check_own_address(config: &Config, peers: &PeersConfig) -> Result<(), PeerThreadError> {
    match peers.registry_replicas.get(&config.name) {
        Some(&listed) if listed != peers.advertised_address => Err(PeerThreadError::ReplicaAddress {
            name: config.name.clone(),
            listed,
            advertised: peers.advertised_address,
        }),
        _ => Ok(()),
    }
}

fn build_loop(
    runtime: SystemRuntime,
    now: Timestamp,
    config: &Config,
    fleet: &FleetConfig,
    peers: &PeersConfig,
    components: &Components<SystemRuntime>,
) -> Result<PeerLoop, PeerThreadError> {
    let local = ProcessIdentity { node: NodeId::from_name(&config.name), incarnation: new_incarnation() };
    let dispatcher = &components.dispatcher;
    let peer_state = components.peers.clone().unwrap_or_default();
    let quotas = fleet.quotas.as_ref();
    let quotas = quotas
        .map(|quotas| FleetQuotas::new(runtime, now, config, local, peers, quotas, dispatcher))
        .transpose()?;
    let leases = fleet.leases.as_ref();
    let leases =
        leases.map(|leases| PermitLeases::new(runtime, now, local, peers, leases, peer_state.clone()));
    let fault_reporter = fleet.fault_reports.as_ref().map(|reports| {
        let sources =
            HealthSources { dispatcher: dispatcher.clone(), endpoint_list: components.discovery.clone() };
        FaultReporter::new(runtime, now, local, peers, reports, sources)
    });
    let settings = membership_settings(config, peers, local.incarnation);
    let seed = config.seed ^ local.incarnation.0;
    let gossip = OverrideGossip::new(now, seed, settings.protocol_period);
    let members = MembershipNode::new(now, seed, settings);
    Ok(PeerLoop {
        runtime,
        dispatcher: dispatcher.clone(),
        peer_state,
        members,
        leases,
        quotas,
        gossip,
        fault_reporter,
        dropped: DroppedDatagrams::default(),
        logged_share: None,
    })
}

/// Returns the Unix time in milliseconds. It increases with each start unless the clock moves back, which
/// peers detect.
fn new_incarnation() -> Incarnation {
    Incarnation(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64)
}

fn membership_settings(config: &Config, peers: &PeersConfig, incarnation: Incarnation) -> MembershipSettings {
    MembershipSettings {
        name: config.name.clone(),
        incarnation,
        advertised_address: peers.advertised_address,
        zone: peers.zone.clone(),
        seeds: peers.seeds.clone(),
        registry_replicas: peers.registry_replicas.clone(),
        protocol_period: ticks(peers.protocol_period),
        lease_duration: ticks(peers.membership_lease_duration),
        clock_drift_ratio: peers.clock_drift_ratio,
        configured_count: config.settings.balancer_count,
        reserve_ratio: peers.reserve_ratio,
    }
}
