//! Describes endpoints and configurations as text for operators.

use std::sync::Arc;

use doorproxy::effects::{EndpointStatus, EndpointUpdate};

use crate::config::Config;
use crate::discovery::{DiscoveryState, EndpointEntry};

fn status_name(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining => "draining",
        EndpointStatus::Removed => "removed",
    }
}

/// Describes an endpoint with its id, name, address and state. Log lines of the dispatcher have only the id,
/// so the log needs this line to tell which endpoint an id belongs to.
pub(super) fn describe_entry(entry: &EndpointEntry, update: &EndpointUpdate) -> String {
    let id = update.endpoint.0;
    let name = &entry.name;
    let address = entry.address;
    let status = status_name(update.status);
    format!("endpoint {id} is {name} at {address}, {status}")
}

/// Summarizes a configuration for `doorproxy check`.
pub fn summary(config: &Arc<Config>) -> String {
    let (updates, _) = DiscoveryState::new(config.clone()).to_updates(&config.known_endpoints);
    let admin = config.admin_address.map_or(String::new(), |address| format!(", admin API on {address}"));
    let mut text = format!(
        "{} listens on {}{admin}: {} categories, {} tenants, {} sockets",
        config.name,
        config.listen_address,
        config.classes.len(),
        config.tenants.len(),
        config.max_sockets
    );
    for (entry, update) in config.known_endpoints.endpoints.iter().zip(&updates) {
        text += &format!("\n{}", describe_entry(entry, update));
    }
    text
}
