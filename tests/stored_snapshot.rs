//! The learned-state snapshot of a balancer under load is restored completely and written again byte by byte.
//! That a process restores the file with its header line is tested in `crates/cli/tests/stored_snapshot.rs`.

mod common;

use common::{ready_update, settings};
use doorproxy::dispatcher::{BackgroundEffects, DiscoveryEvent, Dispatcher};
use doorproxy::effects::EndpointUpdate;
use doorproxy::ids::{EndpointId, EndpointKindId, Timestamp};
use doorproxy::rng::hash_text;

const STORED: &str = include_str!("../testdata/doorproxy-n0.process-learned");
/// In the order of `testdata/balancer.json`, with the index of their kind there.
const ENDPOINTS: [(&str, u16); 4] = [("s-1", 0), ("s-2", 0), ("s-3", 0), ("s-4", 1)];

struct NoEffects;

impl BackgroundEffects for NoEffects {
    fn close_idle_connections(&mut self, _: EndpointId) {}
    fn log(&mut self, _: &str) {}
}

#[test]
fn stored_snapshot_is_restored_and_written_unchanged() {
    let (head, learned) = STORED.split_once('\n').unwrap();
    let written_at = Timestamp(head.rsplit_once(' ').unwrap().1.parse().unwrap());
    let dispatcher = Dispatcher::new(written_at, 7, settings(), Box::new(NoEffects));
    let updates = ENDPOINTS.map(|(name, kind)| {
        let endpoint = EndpointId(hash_text(name) as u32);
        EndpointUpdate { endpoint, kind: EndpointKindId(kind), ..ready_update(0, kind) }
    });
    dispatcher.tick(written_at, DiscoveryEvent::Snapshot(&updates));
    dispatcher.restore(written_at, learned);
    assert!(dispatcher.snapshot(written_at) == learned);
}
