//! Passes endpoint updates on to the connections and the dispatcher. Callers hold the lock of the
//! [`DiscoveryState`], so that a manual override is applied entirely before or after a list.

use doorproxy::dispatcher::{DiscoveryEvent, Dispatcher};
use doorproxy::effects::EndpointUpdate;
use doorproxy::ids::Timestamp;

use crate::discovery::{DiscoveryState, EndpointList};
use crate::runtime::Runtime;
use crate::upstream::UpstreamClient;

/// Applies a response of the discovery service.
pub fn apply_list<R: Runtime>(
    runtime: &R,
    discovery: &mut DiscoveryState,
    dispatcher: &Dispatcher,
    upstream_client: &UpstreamClient<R>,
    list: &EndpointList,
) {
    let (mut updates, addresses) = discovery.to_updates(list);
    discovery.record_entries(runtime, list, &updates);
    discovery.apply_warming_delegation(&mut updates);
    upstream_client.apply_endpoints(&updates, &addresses, list.is_snapshot);
    let event =
        if list.is_snapshot { DiscoveryEvent::Snapshot(&updates) } else { DiscoveryEvent::Updates(&updates) };
    dispatcher.tick(runtime.now(), event);
}

/// Applies updates of known endpoints that have another cause than a response of the discovery service.
pub fn apply_updates<R: Runtime>(
    now: Timestamp,
    dispatcher: &Dispatcher,
    upstream_client: &UpstreamClient<R>,
    updates: &[EndpointUpdate],
) {
    upstream_client.apply_updates(updates);
    dispatcher.tick(now, DiscoveryEvent::Updates(updates));
}
