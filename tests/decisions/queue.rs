//! Which requests wait, and for how long.

use crate::common::{Harness, ORDER, READ, settings};
use crate::{check, check_after, one_kind};
use doorproxy::effects::{AttemptOutcome, EndpointUpdate};
use doorproxy::ids::Timestamp;
use doorproxy::settings::Settings;
use expect_test::expect;

#[test]
fn full_queue_keeps_highest_weights_and_rejects_the_rest() {
    let mut harness = Harness::new(settings(), &one_kind(&[1]));
    harness.warm_up(20);
    for request in 1..12 {
        harness.request(request, READ, 1, 0.1);
    }
    harness.request(12, ORDER, 1, 0.1).request(13, READ, 1, 0.1);
    harness.note("-- free capacity goes to the highest weight");
    harness.after_ms(100).finish(1, 0, 1, AttemptOutcome::Succeeded);
    harness.note("-- no retry under overload");
    harness.after_ms(10).finish(2, 0, 1, AttemptOutcome::ConnectionReset);
    check_after(
        &harness,
        "request 11 of class 0 arrives",
        expect![[r#"
            request 11 of class 0 arrives | reject request 11, retry after a while
            request 12 of class 2 arrives | reject request 6, retry after a while
            request 13 of class 0 arrives | reject request 13, retry after a while
            -- free capacity goes to the highest weight
            attempt 0 of request 1 at 1: Succeeded | send request 12 to 1
            -- no retry under overload
            attempt 0 of request 2 at 1: ConnectionReset | log: endpoint 1 ejected, first probe request in 185 ms: connection reset | reject request 2, retry after a while | send request 4 to 1
        "#]],
    );
}

#[test]
fn waiting_heavy_request_does_not_block_lighter_ones() {
    let now = Timestamp(1_000_000);
    let started: Vec<EndpointUpdate> = one_kind(&[1, 2, 3, 4, 5, 6])
        .into_iter()
        .map(|update| EndpointUpdate { started_at: Some(now), ..update })
        .collect();
    let mut harness = Harness::new(settings(), &started);
    harness.request(1, READ, 1, 0.1).answered(1, 100);
    harness
        .request(2, READ, 1, 0.1)
        .request(3, READ, 1, 0.1)
        .request(4, READ, 1, 0.1)
        .request(5, READ, 1, 0.1);
    harness.note("-- request 6 is too heavy for any warming endpoint and waits; request 7 is placed");
    harness.request(6, ORDER, 1, 0.3).request(7, READ, 2, 0.1);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 0 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: Succeeded
            request 2 of class 0 arrives | send request 2 to 2
            request 3 of class 0 arrives | send request 3 to 3
            request 4 of class 0 arrives | send request 4 to 5
            request 5 of class 0 arrives | send request 5 to 4
            -- request 6 is too heavy for any warming endpoint and waits; request 7 is placed
            request 6 of class 2 arrives
            request 7 of class 0 arrives | send request 7 to 6
        "#]],
    );
}

#[test]
fn request_waits_for_pacing_and_unused_connections_close() {
    let mut harness = Harness::new(Settings { balancer_count: 40, ..settings() }, &one_kind(&[1, 2, 3]));
    harness.request(1, READ, 1, 0.1).answered(1, 30).request(2, READ, 1, 0.1).answered(2, 30);
    harness
        .note("-- both endpoints are paused")
        .request(3, READ, 1, 0.1)
        .after_ms(300)
        .fire_timer(3)
        .answered(3, 30);
    harness.note("-- endpoint 3 is ejected and 2 replaces it").after_ms(900).request(4, READ, 1, 0.1).finish(
        4,
        0,
        3,
        AttemptOutcome::ConnectFailed,
    );
    harness
        .after_ms(30)
        .finish(4, 1, 2, AttemptOutcome::Succeeded)
        .after_ms(900)
        .request(5, READ, 1, 0.1)
        .answered(5, 30);
    check_after(
        &harness,
        "-- both",
        expect![[r#"
            -- both endpoints are paused
            request 3 of class 0 arrives
            the timer of request 3 fires | send request 3 to 3
            attempt 0 of request 3 at 3: Succeeded
            -- endpoint 3 is ejected and 2 replaces it
            request 4 of class 0 arrives | send request 4 to 3
            attempt 0 of request 4 at 3: ConnectFailed | log: endpoint 3 ejected, first probe request in 61 ms: connect failed | send request 4 to 2
            attempt 1 of request 4 at 2: Succeeded
            request 5 of class 0 arrives | send request 5 to 3
            attempt 0 of request 5 at 3: Succeeded | close idle connections to 2
        "#]],
    );
}
