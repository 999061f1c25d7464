//! Assembles registry snapshots from chunks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::heartbeat::SnapshotChunk;
use crate::ids::{NodeId, Nonce};

/// Limits the incomplete snapshots. The oldest one is dropped when another one arrives.
const MAX_PARTIAL_SNAPSHOTS: usize = 16;

/// Identifies one snapshot of one replica.
#[derive(PartialEq, Eq)]
struct SnapshotKey {
    replica: NodeId,
    nonce: Nonce,
    version: u64,
}

struct PartialSnapshot {
    key: SnapshotKey,
    chunks: BTreeMap<u16, Vec<NodeId>>,
}

/// Holds the incomplete snapshots, the oldest first.
#[derive(Default)]
pub(super) struct PartialSnapshots {
    snapshots: VecDeque<PartialSnapshot>,
}

impl PartialSnapshots {
    /// Adds a chunk. Returns the nodes of its snapshot once all chunks have arrived.
    pub fn add(&mut self, replica: NodeId, chunk: SnapshotChunk) -> Option<BTreeSet<NodeId>> {
        let key = SnapshotKey { replica, nonce: chunk.nonce, version: chunk.version };
        let position = self.position_or_insert(key);
        let chunks = &mut self.snapshots[position].chunks;
        chunks.insert(chunk.index, chunk.nodes);
        if chunks.len() != usize::from(chunk.count) {
            return None;
        }
        let complete = self.snapshots.remove(position)?;
        Some(complete.chunks.into_values().flatten().collect())
    }

    fn position_or_insert(&mut self, key: SnapshotKey) -> usize {
        if let Some(position) = self.snapshots.iter().position(|snapshot| snapshot.key == key) {
            return position;
        }
        if self.snapshots.len() >= MAX_PARTIAL_SNAPSHOTS {
            self.snapshots.pop_front();
        }
        self.snapshots.push_back(PartialSnapshot { key, chunks: BTreeMap::new() });
        self.snapshots.len() - 1
    }
}
