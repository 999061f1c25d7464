//! Hands over from one process of a balancer to the next: the platform holds the listening socket and starts
//! the next process while the previous one still serves.

mod process_locks;
mod sent_ids;
pub mod snapshot;

use std::io;

pub use process_locks::ProcessLocks;

/// Communicates with the other processes of this balancer.
pub trait Siblings: Send + Sync {
    /// Tells predecessors that this process serves. Must be called once only.
    ///
    /// # Errors
    ///
    /// Fails if the announcement can't be written.
    fn announce_serving(&self) -> io::Result<()>;

    /// Returns which other processes run now.
    fn status(&self) -> SiblingStatus;

    /// Saves a learned-state snapshot for the successor.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot can't be written.
    fn save_snapshot(&self, text: &str) -> io::Result<()>;

    /// Returns the snapshot that a predecessor saved, if there is one.
    fn load_snapshot(&self) -> Option<String>;

    /// Tells the other processes which ids must not be sent, or may be again.
    ///
    /// # Errors
    ///
    /// Fails if that can't be written.
    fn share_sent_ids(&self, ids: &[SentId]) -> io::Result<()>;

    /// Forgets what was shared, once no other process runs.
    fn stop_sharing(&self);

    /// Returns what the other processes have shared since the last call.
    fn read_sent_ids(&self) -> Vec<SentId>;
}

/// States whether the request with an id may have run, or is open and may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentId {
    /// Holds the hash of the id.
    pub hash: u64,
    /// Is unset if the request has ended and never ran.
    pub may_have_run: bool,
}

/// Tells which other processes of this balancer run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SiblingStatus {
    /// Is set if a later process serves.
    pub has_successor: bool,
    /// Is set if a later process runs and does not serve yet.
    pub has_starting_successor: bool,
    /// Is set if an earlier process runs.
    pub has_predecessor: bool,
    /// Is set if any other process runs, so that the sockets are shared.
    pub has_siblings: bool,
}
