//! The simulated discovery service: serves snapshots and watches of the endpoint list, with the faults that a
//! scenario sets.
//!
//! It records which entries each balancer has received, so that the checker knows what the balancer was told.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use doorproxy_balancer::runtime::{Listener, Runtime};
use serde_json::{Value, json};

use crate::context::ClusterContext;
use crate::http::{Message, MessageReader, response};
use crate::nodes::{EndpointEntry, EndpointState};
use crate::runtime::SimulatedRuntime;
use crate::scenario::FaultKind;
use crate::stream::SimulatedStream;
use crate::time::{MS, Micros, SECOND};

/// The ports of the service. It serves both; balancers use the second once they are told that it has moved.
pub const PORTS: [u16; 2] = [8500, 8501];
/// The longest interval between two polls of a balancer, which also determines how long a watch waits.
pub const MAX_POLL_INTERVAL: Micros = 8 * SECOND;
const BACKLOG: u32 = 64;

/// The query of a balancer's request.
struct Query {
    /// The version that the balancer has.
    after: Option<u64>,
    /// The time to wait for another version.
    wait: Option<Micros>,
}

impl Query {
    fn parse(request: &Message) -> Query {
        let target = request.start_line.split(' ').nth(1).unwrap_or_default();
        let number = |name: &str| {
            let (_, text) = target.split_once(&format!("{name}="))?;
            text.split('&').next()?.parse::<u64>().ok()
        };
        Query { after: number("after"), wait: number("wait_ms").map(|ms| ms * MS) }
    }
}

/// The part of the endpoint list that is sent to a balancer.
struct Update {
    version: u64,
    is_full: bool,
    entries: Vec<EndpointEntry>,
}

/// Serves one address until the process ends.
pub async fn serve(runtime: SimulatedRuntime, context: Arc<ClusterContext>, address: SocketAddr) {
    let Ok(listener) = runtime.listen(address, 0, BACKLOG) else { return };
    while let Ok(stream) = listener.accept().await {
        let context = context.clone();
        runtime.spawn(async move { drop(serve_connection(&stream, &context).await) });
    }
}

async fn serve_connection(stream: &SimulatedStream, context: &ClusterContext) -> io::Result<()> {
    let mut reader = MessageReader::default();
    while let Some(request) = reader.next_message(stream).await? {
        let Some(balancer) = context.balancer_at(stream.peer_host()) else { return Ok(()) };
        let query = Query::parse(&request);
        if let (Some(after), Some(wait)) = (query.after, query.wait)
            && !wait_for_change(stream, context, after, wait).await
        {
            return Ok(());
        }
        let delay = context.state().discovery_delay;
        stream.runtime.sleep_micros(delay).await;
        while context.has_discovery_fault(FaultKind::DiscoverySilent) {
            stream.runtime.sleep_micros(50 * MS).await;
        }
        if context.has_discovery_fault(FaultKind::DiscoveryNonsense) {
            write_malformed_response(stream).await?;
            return Ok(());
        }
        write_endpoint_list(stream, context, balancer, query.after).await?;
    }
    Ok(())
}

/// Waits until the version of the list differs from `after`, or the time to wait is over. If the list never
/// had the version `after`, it differs at once. Returns false if the service goes down.
async fn wait_for_change(
    stream: &SimulatedStream,
    context: &ClusterContext,
    after: u64,
    wait: Micros,
) -> bool {
    let until = stream.runtime.simulation.now() + wait;
    loop {
        let changed = context.endpoints_changed.notified();
        if context.has_discovery_fault(FaultKind::DiscoveryDown) {
            return false;
        }
        if context.state().version != after {
            return true;
        }
        let left = until.saturating_sub(stream.runtime.simulation.now());
        if left == 0 {
            return true;
        }
        tokio::select! {
            biased;
            () = changed => {}
            () = stream.runtime.sleep_micros(left) => {}
        }
    }
}

async fn write_malformed_response(stream: &SimulatedStream) -> io::Result<()> {
    let variant = stream.runtime.simulation.state().random_below(6);
    let bytes = match variant {
        0 => response("200 OK", "", b"{\"version\":"),
        1 => response("503 Busy", "", b""),
        2 => b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"version\":7,".to_vec(),
        3 => b"\x00\x01\x02 not http \r\n\r\n".to_vec(),
        4 => response("200 OK", "", b"[1,2,3]"),
        _ => response("200 OK", "", br#"{"version":-3,"full":true,"servers":[{"id":"x","addr":"?"}]}"#),
    };
    stream.write(&bytes).await
}

/// Selects the entries that changed since a version, or all listed entries if the changes since it are not
/// known.
fn select_update(context: &ClusterContext, after: Option<u64>) -> Update {
    let state = context.state();
    let known = after.filter(|after| (state.oldest_version..=state.version).contains(after));
    let is_wanted = |entry: &&EndpointEntry| match known {
        Some(version) => entry.changed_in_version > version,
        None => entry.state != EndpointState::Left,
    };
    let entries = state.endpoints.values().filter(is_wanted).cloned().collect();
    Update { version: state.version, is_full: known.is_none(), entries }
}

async fn write_endpoint_list(
    stream: &SimulatedStream,
    context: &ClusterContext,
    balancer: usize,
    after: Option<u64>,
) -> io::Result<()> {
    let update = select_update(context, after);
    let servers: Vec<Value> = update.entries.iter().map(EndpointEntry::to_json).collect();
    let body = json!({ "version": update.version, "full": update.is_full, "servers": servers }).to_string();
    stream.write(&response("200 OK", "Content-Type: application/json\r\n", body.as_bytes())).await?;
    // A reset or a partition can lose the response, so it is recorded only once the balancer has read it.
    while stream.runtime.simulation.state().network.has_bytes_in_flight(stream.socket) {
        stream.runtime.sleep_micros(MS).await;
    }
    record_notices(context, balancer, &update, stream.runtime.simulation.now());
    Ok(())
}

fn record_notices(context: &ClusterContext, balancer: usize, update: &Update, now: Micros) {
    let mut records = context.records.lock();
    for entry in &update.entries {
        if entry.state == EndpointState::Active {
            records.record_ready_notice(now, balancer, &entry.name, entry.started_at.unwrap_or(0));
        } else {
            records.record_drain_notice(now, balancer, &entry.name);
        }
    }
    if update.is_full {
        let listed: Vec<String> = update.entries.iter().map(|entry| entry.name.clone()).collect();
        records.record_snapshot(now, balancer, &listed);
    }
}

/// Returns the first version of a restarted service: a far higher version, or a lower one that it had before.
pub fn version_after_restart(version: u64, draw: u64) -> u64 {
    if draw.is_multiple_of(2) { version + 1000 + draw } else { (version / 2).max(1) }
}
