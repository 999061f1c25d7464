//! The status of the peer protocols for the admin API, and their metrics. The JSON keys are a public
//! interface that scripts read.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::peers::PeersSnapshot;
use doorproxy_membership::message::{MemberState, NodeId};
use doorproxy_membership::node::FleetEstimate;
use serde_json::{Value, json};

use super::control_loop::PeerLoop;
use super::pacing::DroppedDatagrams;
use crate::quotas::QuotaStatus;

type Metrics = Vec<(&'static str, i64)>;

/// Returns the name of a state in the log and in JSON.
pub fn member_state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
        MemberState::Left => "gone",
    }
}

impl PeerLoop {
    /// Returns the status and the metrics. Locks the overrides, so the caller must not hold that lock.
    pub fn status(&mut self, now: Timestamp) -> PeersSnapshot {
        let estimate = self.members.estimate_fleet(now);
        let quotas = self.quotas.as_ref().map(|quotas| quotas.status(now));
        let members = self.members_json(now, &estimate, quotas.as_ref());
        PeersSnapshot { members, metrics: self.metrics(&estimate, quotas.as_ref()) }
    }

    fn members_json(&self, now: Timestamp, estimate: &FleetEstimate, quotas: Option<&QuotaStatus>) -> Value {
        let view = self.members.member_list();
        json!({
            "name": self.members.settings().name,
            "life": view.incarnation().0,
            "counted": estimate.is_counted,
            "among": estimate.balancer_count,
            "cold_part": estimate.slow_start_ratio,
            "for_s": rounded_seconds((estimate.valid_until - now).max(Ticks::ZERO)),
            "least": estimate.alive_count,
            "health": view.local_health_multiplier,
            "keepers": self.replicas_json(now),
            "members": self.member_list_json(now),
            "leases": self.leases.as_ref().map(|leases| leases.status(now)),
            "verdicts": self.overrides_json(now),
            "limits": quotas.map(|quotas| &quotas.json),
            "turned_away": dropped_json(&self.dropped),
        })
    }

    fn member_list_json(&self, now: Timestamp) -> Vec<Value> {
        let members = self.members.member_list().others().map(|(name, member)| {
            json!({
                "name": name,
                "zone": member.zone,
                "at": member.address.to_string(),
                "life": member.incarnation.0,
                "belief": member_state_name(member.state),
                "for_s": rounded_seconds(now - member.state_since),
            })
        });
        members.collect()
    }

    fn replicas_json(&self, now: Timestamp) -> Vec<Value> {
        let names = names_by_id(self.members.settings().registry_replicas.keys());
        let replicas = self.members.lease().replica_statuses(now).map(|status| {
            let snapshot_age = status.snapshot.map(|snapshot| rounded_seconds(snapshot.age));
            let snapshot_size = status.snapshot.map(|snapshot| snapshot.nodes.len());
            json!({
                "name": names.get(&status.replica),
                "heard_s": status.acknowledged_age.map(rounded_seconds),
                "roll_s": snapshot_age,
                "on_roll": snapshot_size,
            })
        });
        replicas.collect()
    }

    fn overrides_json(&self, now: Timestamp) -> Value {
        let peers = || self.members.member_list().others();
        let addresses: Vec<SocketAddr> = peers().map(|(_, member)| member.address).collect();
        let own_name = &self.members.settings().name;
        let names = names_by_id(peers().map(|(name, _)| name).chain([own_name]));
        let node_name = |node: NodeId| {
            names.get(&node).map_or_else(|| format!("{:016x}", node.0), |name| name.to_string())
        };
        let overrides = self.peer_state.overrides();
        let reports = self.fault_reporter.as_ref().map(|reporter| reporter.status(now, node_name));
        let entries = overrides.iter().map(|(name, entry)| {
            json!({
                "name": name,
                "out": entry.value.is_ejected,
                "version": entry.value.version,
                "by": node_name(entry.value.author),
                "heard_s": (now - entry.learned_at).as_secs_f64().round(),
            })
        });
        json!({
            "others": addresses.len(),
            "agreeing": self.gossip.in_sync_count(now, &overrides, &addresses),
            "words": entries.collect::<Vec<Value>>(),
            "claims": reports,
        })
    }

    fn metrics(&self, estimate: &FleetEstimate, quotas: Option<&QuotaStatus>) -> Metrics {
        let mut metrics = vec![
            ("members.among", i64::from(estimate.balancer_count)),
            ("members.counted", i64::from(estimate.is_counted)),
            ("members.alive", i64::from(estimate.alive_count)),
            ("members.health", i64::from(self.members.member_list().local_health_multiplier)),
            ("verdicts.out", self.peer_state.overrides().ejected().count() as i64),
            ("members.turned_away", self.dropped.total()),
        ];
        if let Some(reporter) = &self.fault_reporter {
            let counts = reporter.counts();
            metrics.extend([
                ("claims.tried", counts.tested),
                ("claims.right", counts.confirmed),
                ("claims.wrong", counts.refuted),
            ]);
        }
        if let Some(quotas) = quotas {
            metrics.extend([
                ("limits.refused", quotas.rejected),
                ("limits.by_floor", quotas.admitted_by_fallback),
                ("limits.out_of_touch", quotas.disconnected_limits),
            ]);
        }
        metrics
    }
}

fn dropped_json(dropped: &DroppedDatagrams) -> Value {
    json!({
        "strange": dropped.malformed,
        "unsealed": dropped.unauthenticated,
        "newer": dropped.unknown_version,
        "senseless": dropped.undecodable,
        "flood": dropped.rate_limited,
    })
}

fn names_by_id<'a>(names: impl Iterator<Item = &'a String>) -> BTreeMap<NodeId, &'a String> {
    names.map(|name| (NodeId::from_name(name), name)).collect()
}

/// Returns the time in seconds, rounded to milliseconds.
fn rounded_seconds(time: Ticks) -> f64 {
    (time.as_secs_f64() * 1e3).round() / 1e3
}
