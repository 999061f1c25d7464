//! Which requests are sent again, and which are not.

use crate::common::{Harness, ORDER, READ, TOP_UP, ready_update, settings};
use crate::{check, one_kind};
use doorproxy::effects::{AttemptOutcome, EndpointUpdate};
use doorproxy::ids::ZoneId;
use expect_test::expect;

#[test]
fn a_non_idempotent_request_is_retried_after_a_failed_connect_but_never_after_a_reset() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3]));
    harness.warm_up(20).request(1, ORDER, 1, 0.1);
    let first = harness.last_endpoint();
    harness.after_ms(1).finish(1, 0, first, AttemptOutcome::ConnectionReset);
    harness.request(2, ORDER, 1, 0.1);
    let first = harness.last_endpoint();
    harness.after_ms(1).finish(2, 0, first, AttemptOutcome::ConnectFailed);
    check(
        &harness,
        expect![[r#"
            request 1 of class 2 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: ConnectionReset | log: endpoint 2 ejected for 162 ms: its connection broke | fail request 1
            request 2 of class 2 arrives | send request 2 to 3
            attempt 0 of request 2 at 3: ConnectFailed | log: endpoint 3 ejected for 152 ms: its connection failed | send request 2 to 1
        "#]],
    );
}

#[test]
fn a_deduplicated_request_is_retried_within_its_zone_and_window_only() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3, 4, 5]));
    harness.warm_up(20).request(1, TOP_UP, 1, 0.1);
    let first = harness.last_endpoint();
    harness.after_ms(50).finish(1, 0, first, AttemptOutcome::ErrorAnswer);
    let second = harness.last_endpoint();
    harness.note("-- later than the window the next error ends it");
    harness.after_ms(1100).finish(1, 1, second, AttemptOutcome::ErrorAnswer);
    check(
        &harness,
        expect![[r#"
            request 1 of class 1 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: ErrorAnswer | log: endpoint 2 ejected for 162 ms: an error | send request 1 to 4
            -- later than the window the next error ends it
            attempt 1 of request 1 at 4: ErrorAnswer | log: endpoint 4 ejected for 225 ms: an error | fail request 1
        "#]],
    );
}

/// Prevents an effect done twice by an endpoint that has another's name: one that was replaced may stand in
/// another zone, and what ran before ran in the old one's.
#[test]
fn a_retry_goes_by_the_zone_of_its_first_attempt_and_by_where_endpoints_are_now() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3, 4]));
    let moved = |endpoint, zone| EndpointUpdate { zone: ZoneId(zone), ..ready_update(endpoint, 0) };
    harness.warm_up(20).request(1, TOP_UP, 1, 0.1).request(2, TOP_UP, 1, 0.1);
    harness.note("-- 4 is replaced by one in the other zone");
    harness.balancer.on_endpoint_updates(harness.now, &[moved(4, 1)]);
    harness.finish(1, 0, 2, AttemptOutcome::ErrorAnswer);
    harness.note("-- so is 1, and 3, where request 2 may have run");
    harness.balancer.on_endpoint_updates(harness.now, &[moved(1, 0), moved(3, 0)]);
    harness.finish(2, 0, 3, AttemptOutcome::ConnectionReset);
    check(
        &harness,
        expect![[r#"
            request 1 of class 1 arrives | send request 1 to 2
            request 2 of class 1 arrives | send request 2 to 3
            -- 4 is replaced by one in the other zone
            attempt 0 of request 1 at 2: ErrorAnswer | log: endpoint 2 ejected for 163 ms: an error | fail request 1
            -- so is 1, and 3, where request 2 may have run
            attempt 0 of request 2 at 3: ConnectionReset | send request 2 to 4
        "#]],
    );
}

#[test]
fn a_rejection_proves_that_a_non_idempotent_attempt_never_ran() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(20).request(1, ORDER, 1, 0.1);
    let full = harness.last_endpoint();
    harness.after_ms(1).finish(1, 0, full, AttemptOutcome::Overloaded);
    check(
        &harness,
        expect![[r#"
            request 1 of class 2 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: Overloaded | send request 1 to 1
        "#]],
    );
}

#[test]
fn an_idempotent_request_gets_two_retries_and_no_more() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3, 4, 5]));
    harness.warm_up(20).request(1, READ, 1, 0.1);
    for attempt in 0..3 {
        let endpoint = harness.last_endpoint();
        harness.after_ms(1).finish(1, attempt, endpoint, AttemptOutcome::ErrorAnswer);
    }
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: ErrorAnswer | log: endpoint 2 ejected for 162 ms: an error | send request 1 to 3
            attempt 1 of request 1 at 3: ErrorAnswer | log: endpoint 3 ejected for 225 ms: an error | send request 1 to 5
            attempt 2 of request 1 at 5: ErrorAnswer | reject request 1
        "#]],
    );
}
