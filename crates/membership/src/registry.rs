//! The registry: a reliable upper bound on the number of nodes that may use a full share. The replicas, which
//! the configuration names, record the heartbeats of nodes; each node reads the records of a majority of
//! replicas.
//!
//! # Safety argument
//!
//! Let T be the duration of a lease ([`lease_duration`](RegistryRules::lease_duration)), d the bound on clock
//! drift ([`clock_drift_ratio`](RegistryRules::clock_drift_ratio)), and K the retention of a replica
//! ([`retention`](RegistryRules::retention)), which is 2 T (1 + d)² and one tick. There are four rules:
//!
//! 1. A node dates an acknowledgement to the time at which it sent the heartbeat. Its membership lease lasts
//!    for T after the heartbeat that completes a majority of replicas, by its own clock.
//! 2. A replica keeps a node for K after its last heartbeat. It removes the node earlier only on a `Leave` of
//!    the same or a later incarnation.
//! 3. A node whose lease starts uses no full share until it has held the lease for K without interruption. It
//!    counts only snapshots from a majority of replicas, each requested less than T ago.
//! 4. A replica gives no snapshot for K after the last moment at which an earlier process of its node could
//!    acknowledge a heartbeat, since it does not know all nodes yet.
//!
//! It follows that any two nodes that use full shares count each other. Let p and q use full shares at time
//! t, and let a be the time at which p requested the oldest snapshot that it counts, so that t − a ≤ T (1 +
//! d). By (3) q has held its lease since before a, so at time a, a majority of replicas had received a
//! heartbeat of q no older than T (1 + d). One of these replicas, k, also belongs to p's majority. It
//! received q's heartbeat after a − T (1 + d) and answered p before a + T (1 + d). These times are less than
//! 2 T (1 + d) apart, so by (2) q is in that snapshot. If k had restarted in between, it would have given no
//! snapshot for K (4). So p counts q.
//!
//! The argument assumes that node names are unique, and that the rates of two clocks differ by at most the
//! ratio d. It does not depend on wall clocks or on the member list.

mod lease;
mod replica;
mod rules;

pub use lease::{MembershipLease, NodeCount, ReplicaStatus, SnapshotStatus};
pub use replica::{RegistryReplica, ReplicaSnapshot};
pub use rules::RegistryRules;
