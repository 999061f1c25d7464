//! Tests the choice of a permit's slot.

use doorproxy_membership::message::Incarnation;

use super::*;

const DURATION: Ticks = Ticks(100_000);
const NOW: Timestamp = Timestamp(1_000_000);
const ACCEPTOR: NodeId = NodeId(9);

/// Returns a client that holds the lease of this slot.
fn holding_client(slot: u16) -> LeaseClient {
    let holder = ProcessIdentity { node: NodeId(1), incarnation: Incarnation(1) };
    let mut client = lease_client(NOW, holder, LeaseId::from_name("restart", slot), DURATION);
    let rules = LeaseRules { acceptors: [ACCEPTOR].into(), max_duration: DURATION, clock_drift_ratio: 0.0 };
    let mut acceptor = Acceptor::new(Timestamp(0));
    client.set_request(NOW, Some(LeaseRequest::Hold));
    let mut outgoing = client.tick(NOW, &rules).outgoing;
    while let Some(OutgoingMessage { message, .. }) = outgoing.pop() {
        let response = acceptor.respond(NOW, &message, &rules).unwrap();
        outgoing = client.on_response(NOW, ACCEPTOR, &response, &rules);
    }
    assert!(client.held(NOW).is_some());
    client
}

/// Prevents the release of the slot under which callers act, when an earlier proposal for another slot succeeds
/// late.
#[test]
fn slot_of_callers_is_kept_when_another_is_acquired_late() {
    let mut permit = Permit::new(vec![holding_client(0), holding_client(1)], NodeId(1));
    assert_eq!(permit.current_slot, 1);
    permit.choose_slot(NOW, true);
    assert_eq!(permit.current_slot, 1);
}
