//! Which requests are sent again.

use crate::common::{Harness, ORDER, READ, TOP_UP, ready_update, settings};
use crate::{check, one_kind};
use doorproxy::effects::{AttemptOutcome, EndpointUpdate};
use doorproxy::ids::ZoneId;
use expect_test::expect;

#[test]
fn non_idempotent_request_is_retried_only_if_connect_failed() {
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
            attempt 0 of request 1 at 2: ConnectionReset | log: endpoint 2 ejected, first probe request in 162 ms: connection reset | fail request 1
            request 2 of class 2 arrives | send request 2 to 3
            attempt 0 of request 2 at 3: ConnectFailed | log: endpoint 3 ejected, first probe request in 152 ms: connect failed | send request 2 to 1
        "#]],
    );
}

#[test]
fn deduplicated_request_is_retried_within_zone_and_window() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3, 4, 5]));
    harness.warm_up(20).request(1, TOP_UP, 1, 0.1);
    let first = harness.last_endpoint();
    harness.after_ms(50).finish(1, 0, first, AttemptOutcome::ErrorResponse);
    let second = harness.last_endpoint();
    harness.note("-- after the window, the next error is final");
    harness.after_ms(1100).finish(1, 1, second, AttemptOutcome::ErrorResponse);
    check(
        &harness,
        expect![[r#"
            request 1 of class 1 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 162 ms: error response | send request 1 to 4
            -- after the window, the next error is final
            attempt 1 of request 1 at 4: ErrorResponse | log: endpoint 4 ejected, first probe request in 225 ms: error response | fail request 1
        "#]],
    );
}

/// Guards against a repeated effect at an endpoint that took over another's name. The replacement may be in
/// another zone, while the earlier attempt ran in the old one.
#[test]
fn retry_compares_original_zone_with_current_endpoint_zone() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3, 4]));
    let moved = |endpoint, zone| EndpointUpdate { zone: ZoneId(zone), ..ready_update(endpoint, 0) };
    harness.warm_up(20).request(1, TOP_UP, 1, 0.1).request(2, TOP_UP, 1, 0.1);
    harness.note("-- endpoint 4 is replaced by an instance in the other zone");
    harness.balancer.on_endpoint_updates(harness.now, &[moved(4, 1)]);
    harness.finish(1, 0, 2, AttemptOutcome::ErrorResponse);
    harness.note("-- so are 1 and 3; request 2 may have run at 3");
    harness.balancer.on_endpoint_updates(harness.now, &[moved(1, 0), moved(3, 0)]);
    harness.finish(2, 0, 3, AttemptOutcome::ConnectionReset);
    check(
        &harness,
        expect![[r#"
            request 1 of class 1 arrives | send request 1 to 2
            request 2 of class 1 arrives | send request 2 to 3
            -- endpoint 4 is replaced by an instance in the other zone
            attempt 0 of request 1 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 163 ms: error response | fail request 1
            -- so are 1 and 3; request 2 may have run at 3
            attempt 0 of request 2 at 3: ConnectionReset | send request 2 to 4
        "#]],
    );
}

#[test]
fn rejected_non_idempotent_attempt_is_retried() {
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
fn idempotent_request_is_retried_at_most_twice() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3, 4, 5]));
    harness.warm_up(20).request(1, READ, 1, 0.1);
    for attempt in 0..3 {
        let endpoint = harness.last_endpoint();
        harness.after_ms(1).finish(1, attempt, endpoint, AttemptOutcome::ErrorResponse);
    }
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 162 ms: error response | send request 1 to 3
            attempt 1 of request 1 at 3: ErrorResponse | log: endpoint 3 ejected, first probe request in 225 ms: error response | send request 1 to 5
            attempt 2 of request 1 at 5: ErrorResponse | reject request 1
        "#]],
    );
}
