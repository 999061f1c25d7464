//! The invariants of the fleet, and the beliefs of its nodes about each other.

use std::collections::BTreeSet;

use doorproxy_membership::ids::NodeId;
use doorproxy_membership::message::MemberState;
use doorproxy_membership::node::MembershipNode;
use doorproxy_membership::registry::ReplicaStatus;

use super::{Mutant, SECOND, SimulatedFleet, SimulatedNode, node_name};

impl SimulatedFleet {
    /// Returns how many nodes this node counts, or `None` if it uses no full share now.
    fn counted_nodes(&self, index: usize) -> Option<u32> {
        let now = self.clock(index);
        let simulated = &self.nodes[index];
        let node = simulated.node.as_ref().filter(|_| !simulated.is_paused)?;
        if self.case.mutant == Mutant::SkipsNewcomerWait {
            let statuses = node.lease().replica_statuses(now).collect();
            return count_without_wait(node, statuses);
        }
        node.node_count(now).map(|count| count.upper_bound)
    }

    /// Checks the invariants, which must hold at every time.
    pub(super) fn check_invariants(&mut self) {
        self.check_counts();
        if self.case.mutant == Mutant::None {
            self.check_shares();
        }
    }

    /// Checks that each node that uses a full share counts all nodes that do.
    fn check_counts(&mut self) {
        let full: Vec<(usize, u32)> =
            (0..self.nodes.len()).filter_map(|index| Some((index, self.counted_nodes(index)?))).collect();
        if let Some((index, counted)) = full.iter().find(|(_, counted)| (*counted as usize) < full.len()) {
            let violation = format!(
                "{:.4} s: {} counts {counted} nodes, but {} use full shares: {full:?}",
                self.now as f64 / SECOND as f64,
                node_name(*index),
                full.len()
            );
            self.violation.get_or_insert(violation);
        }
    }

    /// Checks that all shares add up to at most 1, including those of nodes without a reliable count.
    fn check_shares(&mut self) {
        let mut sum = 0.0;
        let mut uncounted = 0;
        for index in 0..self.nodes.len() {
            let now = self.clock(index);
            let SimulatedNode { node, is_paused, .. } = &mut self.nodes[index];
            let Some(node) = node.as_mut().filter(|_| !*is_paused) else { continue };
            let estimate = node.estimate_fleet(now);
            uncounted += usize::from(!estimate.is_counted);
            sum += estimate.own_slow_start_ratio();
        }
        if sum > 1.0 + 1e-9 {
            let at = self.now as f64 / SECOND as f64;
            let violation =
                format!("{at:.4} s: all shares add up to {sum:.3}, {uncounted} of them uncounted");
            self.violation.get_or_insert(violation);
        }
    }

    /// Describes the view of the first node whose view differs from the actual fleet. Returns `None` if there
    /// is none.
    pub fn disagreement(&self) -> Option<String> {
        let node_count = self.nodes.iter().filter(|simulated| simulated.node.is_some()).count();
        (0..self.nodes.len()).find_map(|index| self.disagreement_of(index, node_count))
    }

    fn disagreement_of(&self, index: usize, node_count: usize) -> Option<String> {
        let now = self.clock(index);
        let node = self.nodes[index].node.as_ref()?;
        let present = node.member_list().present().count() + 1;
        let counted = node.node_count(now);
        // Short suspicions are common while datagrams are lost, so suspects count as present.
        if present == node_count && counted.is_some_and(|count| count.upper_bound as usize == node_count) {
            return None;
        }
        let not_alive = node.member_list().others().filter(|(_, member)| member.state != MemberState::Alive);
        let not_alive: Vec<_> = not_alive
            .map(|(name, member)| (name, member.state, member.incarnation, now - member.state_since))
            .collect();
        let name = node_name(index);
        Some(format!(
            "{name} of {node_count}: {present} present, counted {counted:?}, not alive {not_alive:?}"
        ))
    }

    /// Returns the disagreement that remains after this time, or `None` as soon as all nodes agree. While
    /// datagrams are lost, a few suspicions still occur.
    pub fn disagreement_within(&mut self, seconds: i64) -> Option<String> {
        let until = self.now + seconds * SECOND;
        loop {
            let disagreement = self.disagreement();
            if disagreement.is_none() || self.now >= until {
                return disagreement;
            }
            self.run_until(self.now + SECOND);
        }
    }

    /// Returns whether every running node counts this many nodes.
    pub fn all_nodes_count(&self, expected: usize) -> bool {
        (0..self.nodes.len()).all(|index| {
            let Some(node) = &self.nodes[index].node else { return true };
            let counted = node.node_count(self.clock(index));
            counted.is_some_and(|count| count.upper_bound as usize == expected)
        })
    }

    /// Returns how many running nodes consider this member to be in one of these states.
    pub fn count_observers(&self, member: usize, states: &[MemberState]) -> usize {
        let name = node_name(member);
        let nodes = self.nodes.iter().filter_map(|simulated| simulated.node.as_ref());
        let beliefs = nodes.filter_map(|node| node.member_list().get(&name));
        beliefs.filter(|member| states.contains(&member.state)).count()
    }
}

/// Counts like [`Mutant::SkipsNewcomerWait`]: without the wait after the start of the lease.
fn count_without_wait(node: &MembershipNode, statuses: Vec<ReplicaStatus>) -> Option<u32> {
    let rules = node.registry_rules();
    let is_acknowledged =
        |status: &&ReplicaStatus| status.acknowledged_age.is_some_and(|age| age < rules.lease_duration);
    let acknowledged = statuses.iter().filter(is_acknowledged).count();
    let snapshots = statuses.iter().filter_map(|status| status.snapshot);
    let fresh: Vec<_> = snapshots.filter(|snapshot| snapshot.age < rules.lease_duration).collect();
    let nodes: BTreeSet<NodeId> = fresh.iter().flat_map(|snapshot| snapshot.nodes.iter().copied()).collect();
    let has_majority = acknowledged >= rules.majority() && fresh.len() >= rules.majority();
    has_majority.then_some(nodes.len() as u32)
}
