//! Discovers endpoints: reads the list of the discovery service, watches it for changes, and passes the
//! endpoints on to the dispatcher.

mod apply;
mod connector;
pub mod endpoint_ids;
pub mod endpoint_list;
mod state;
mod summary;
mod watch;

pub use apply::{apply_list, apply_updates};
pub use endpoint_list::{EndpointEntry, EndpointList, EntryState};
pub use state::{DiscoveryState, EndpointCounts, WatchPosition};
pub use summary::summary;
pub use watch::Watcher;
