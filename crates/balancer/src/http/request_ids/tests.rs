//! Tests which ids may be used again, and how many are remembered.

use super::*;

fn send(ids: &RequestIds, at: i64, id: &str) {
    let open = ids.open(Timestamp(at), id, false).unwrap();
    open.begin_flag().store(true, Ordering::Relaxed);
}

#[test]
fn sent_id_is_refused_until_the_retention_ends() {
    let ids = RequestIds::default();
    send(&ids, 0, "a");
    assert_eq!(ids.open(Timestamp(RETENTION.0 - 1), "a", false).err(), Some(RequestError::MayHaveRun));
    assert!(ids.open(Timestamp(1), "a", true).is_ok());
    assert!(ids.open(Timestamp(RETENTION.0), "a", false).is_ok());
}

#[test]
fn id_whose_request_never_ran_may_come_again() {
    let ids = RequestIds::default();
    let open = ids.open(Timestamp(0), "a", false).unwrap();
    assert_eq!(ids.open(Timestamp(0), "a", false).err(), Some(RequestError::DuplicateId));
    open.begin_flag().store(true, Ordering::Relaxed);
    open.set_never_ran();
    drop(open);
    assert!(ids.open(Timestamp(0), "a", false).is_ok());
}

/// Prevents that memory grows with the number of requests.
#[test]
fn oldest_id_is_forgotten_beyond_the_bound() {
    let ids = RequestIds::default();
    (0..=MAX_REMEMBERED).for_each(|n| send(&ids, 0, &n.to_string()));
    let state = ids.state();
    assert_eq!((state.order.len(), state.sent.len()), (MAX_REMEMBERED, MAX_REMEMBERED));
    assert!(!state.sent.contains_key(&hash_text("0")));
}
