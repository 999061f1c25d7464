//! The loop of the peer thread. Each iteration advances every protocol once, in a fixed order, and then
//! receives at most one datagram.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use doorproxy::dispatcher::{Dispatcher, FleetShare, LeasedFleetShare};
use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::log_line;
use doorproxy_balancer::peers::SharedPeerState;
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_balancer::runtime::{Runtime, duration};
use doorproxy_fleet_health::gossip::OverrideGossip;
use doorproxy_membership::node::{FleetEstimate, MembershipNode};
use doorproxy_peer_transport::datagram::MAX_DATAGRAM_BYTES;
use doorproxy_peer_transport::rate_limiter::RateLimiter;

use super::delivery::possible_peers;
use super::pacing::{DroppedDatagrams, MAX_RECEIVE_WAIT, MIN_RECEIVE_WAIT, datagram_limiter};
use super::socket::{MemberEffects, PeerSocket, ReceiveBuffer};
use crate::fault_reports::FaultReporter;
use crate::leases::PermitLeases;
use crate::quotas::FleetQuotas;

/// The interval at which the status for the admin API is published.
const STATUS_INTERVAL: Ticks = Ticks(2_500);
/// A process that knows no peer after this time logs the addresses that it has tried, once.
const NO_PEERS_WARNING_DELAY: Ticks = Ticks(100_000);

/// The peer protocols and the shared state that they publish to.
pub struct PeerLoop {
    pub(super) runtime: SystemRuntime,
    pub(super) dispatcher: Dispatcher,
    pub(super) peer_state: Arc<SharedPeerState>,
    pub(super) members: MembershipNode,
    pub(super) leases: Option<PermitLeases>,
    pub(super) quotas: Option<FleetQuotas>,
    pub(super) gossip: OverrideGossip,
    pub(super) fault_reporter: Option<FaultReporter>,
    pub(super) dropped: DroppedDatagrams,
    pub(super) logged_share: Option<LoggedShare>,
}

/// The values in the last log line about the fleet's size.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct LoggedShare {
    balancer_count: u32,
    is_counted: bool,
}

/// The times at which the loop publishes and warns, and the rate limit of datagrams.
struct Schedule {
    started_at: Timestamp,
    next_status_at: Timestamp,
    has_warned: bool,
    limiter: RateLimiter,
}

impl PeerLoop {
    /// Starts what this process stores as a registry replica. The predecessor, which stored it until the
    /// address was taken over, may have made promises that this process does not know.
    fn start_replica(&mut self, sole_since: Timestamp) {
        self.members.start_replica(sole_since);
        if let Some(leases) = &mut self.leases {
            leases.start_acceptor(sole_since);
        }
        if let Some(quotas) = &mut self.quotas {
            quotas.start_acceptor(sole_since);
        }
    }

    /// Runs until a stop is requested, then announces to the peers that this process leaves.
    pub fn run(&mut self, socket: &PeerSocket, stop_requested: &AtomicBool) {
        self.start_replica(socket.sole_since());
        let started_at = self.runtime.now();
        let mut schedule = Schedule {
            started_at,
            next_status_at: started_at,
            has_warned: false,
            limiter: datagram_limiter(started_at),
        };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let now = self.runtime.now();
            if stop_requested.load(Ordering::Relaxed) {
                self.members.leave(&mut MemberEffects { runtime: self.runtime, socket });
                return;
            }
            let next_at = self.tick_all(socket, now);
            self.publish_status_if_due(now, &mut schedule);
            self.warn_if_no_peers(now, &mut schedule);
            self.receive_one(socket, next_at, &mut schedule.limiter, &mut buffer);
        }
    }

    /// Advances all protocols, and returns the earliest time at which one of them has to be called again.
    fn tick_all(&mut self, socket: &PeerSocket, now: Timestamp) -> Timestamp {
        let mut effects = MemberEffects { runtime: self.runtime, socket };
        let mut next_at = self.members.tick(now, &mut effects);
        self.publish_fleet_share(now);
        if let Some(leases) = &mut self.leases {
            let tick = leases.tick(now);
            self.send_lease_requests(socket, now, tick.outgoing);
            next_at = next_at.min(tick.next_tick_at);
        }
        if let Some(quotas) = &mut self.quotas {
            let tick = quotas.tick(now);
            self.send_quota_messages(socket, tick.outgoing, None);
            next_at = next_at.min(tick.next_tick_at);
        }
        next_at = next_at.min(self.tick_gossip(socket, now));
        if let Some(fault_reporter) = &mut self.fault_reporter {
            let tick = fault_reporter.tick(now);
            self.send_fault_reports(socket, tick.outgoing, None);
            next_at = next_at.min(tick.next_tick_at);
        }
        next_at
    }

    /// Gossips the overrides. They are locked while the messages are built, but not while they are sent.
    fn tick_gossip(&mut self, socket: &PeerSocket, now: Timestamp) -> Timestamp {
        let tick = {
            let overrides = self.peer_state.overrides();
            let members = &self.members;
            self.gossip.tick(now, &overrides, || possible_peers(members))
        };
        self.send_overrides(socket, tick.outgoing);
        tick.next_tick_at
    }

    fn publish_status_if_due(&mut self, now: Timestamp, schedule: &mut Schedule) {
        if now < schedule.next_status_at {
            return;
        }
        schedule.next_status_at = now + STATUS_INTERVAL;
        let snapshot = self.status(now);
        self.peer_state.set_snapshot(snapshot);
        if let Some(quotas) = &mut self.quotas {
            quotas.log_rejections(now);
        }
    }

    fn warn_if_no_peers(&mut self, now: Timestamp, schedule: &mut Schedule) {
        let is_early = now - schedule.started_at <= NO_PEERS_WARNING_DELAY;
        if schedule.has_warned || is_early || self.members.member_list().others().next().is_some() {
            return;
        }
        schedule.has_warned = true;
        let settings = self.members.settings();
        log_line!(
            self.runtime,
            "members: no answer from seeds {:?} or registry replicas {:?}; check the addresses, the firewall \
             and the key file",
            settings.seeds,
            settings.registry_replicas
        );
    }

    /// Waits for one datagram until the next tick is due. A datagram over the rate limit is dropped unopened.
    fn receive_one(
        &mut self,
        socket: &PeerSocket,
        next_at: Timestamp,
        limiter: &mut RateLimiter,
        buffer: &mut ReceiveBuffer,
    ) {
        let wait = duration(next_at - self.runtime.now()).clamp(MIN_RECEIVE_WAIT, MAX_RECEIVE_WAIT);
        let Some(datagram) = socket.receive(wait, buffer) else { return };
        let now = self.runtime.now();
        if !limiter.try_acquire(now) {
            self.dropped.rate_limited += 1;
        } else if let Err(error) = self.dispatch(socket, now, &datagram) {
            self.dropped.record(error);
        }
    }

    /// Passes this balancer's share of the fleet's budgets to the dispatcher, with its expiry.
    pub fn publish_fleet_share(&mut self, now: Timestamp) {
        let estimate = self.members.estimate_fleet(now);
        self.dispatcher.set_fleet_share(LeasedFleetShare {
            current: FleetShare {
                balancer_count: estimate.balancer_count,
                slow_start_ratio: estimate.slow_start_ratio,
            },
            until: estimate.valid_until,
            fallback: estimate.fallback,
        });
        self.log_share_change(&estimate);
    }

    fn log_share_change(&mut self, estimate: &FleetEstimate) {
        let FleetEstimate { balancer_count, is_counted, .. } = *estimate;
        let share = LoggedShare { balancer_count, is_counted };
        if self.logged_share.replace(share) == Some(share) {
            return;
        }
        let source = if is_counted {
            "counted by a majority of replicas"
        } else {
            "assumed without a majority of replicas"
        };
        log_line!(self.runtime, "members: {balancer_count} balancers share the fleet's budgets, {source}");
    }
}
