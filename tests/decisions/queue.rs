//! Which requests wait, and for how long.

use crate::common::{Harness, ORDER, READ, settings};
use crate::{check, check_after, one_kind};
use doorproxy::effects::{AttemptOutcome, EndpointUpdate};
use doorproxy::ids::Timestamp;
use doorproxy::settings::Settings;
use expect_test::expect;

#[test]
fn room_goes_to_the_highest_weight_and_the_rest_is_rejected_at_once() {
    let mut harness = Harness::new(settings(), &one_kind(&[1]));
    harness.warm_up(20);
    for request in 1..12 {
        harness.request(request, READ, 1, 0.1);
    }
    harness.request(12, ORDER, 1, 0.1).request(13, READ, 1, 0.1);
    harness.note("-- room goes to the best weight first");
    harness.after_ms(100).finish(1, 0, 1, AttemptOutcome::Succeeded);
    harness.note("-- no further attempt while overload is seen");
    harness.after_ms(10).finish(2, 0, 1, AttemptOutcome::ConnectionReset);
    check_after(
        &harness,
        "request 11 of class 0 arrives",
        expect![[r#"
             | reject request 11, retry after a while
            request 12 of class 2 arrives | reject request 6, retry after a while
            request 13 of class 0 arrives | reject request 13, retry after a while
            -- room goes to the best weight first
            attempt 0 of request 1 at 1: Succeeded | send request 12 to 1
            -- no further attempt while overload is seen
            attempt 0 of request 2 at 1: ConnectionReset | log: endpoint 1 ejected for 185 ms: its connection broke | reject request 2, retry after a while | send request 4 to 1
        "#]],
    );
}

#[test]
fn a_heavy_request_that_waits_does_not_hold_up_lighter_ones() {
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
    harness.note("-- too heavy for any warming endpoint: it waits, and a lighter one goes past it");
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
            -- too heavy for any warming endpoint: it waits, and a lighter one goes past it
            request 6 of class 2 arrives
            request 7 of class 0 arrives | send request 7 to 6
        "#]],
    );
}

#[test]
fn a_request_waits_for_the_end_of_a_pause_and_unused_connections_are_closed() {
    let mut harness = Harness::new(Settings { balancer_count: 40, ..settings() }, &one_kind(&[1, 2, 3]));
    harness.request(1, READ, 1, 0.1).answered(1, 30).request(2, READ, 1, 0.1).answered(2, 30);
    harness.note("-- both are paused").request(3, READ, 1, 0.1).after_ms(300).fire_timer(3).answered(3, 30);
    harness.note("-- a step-in").after_ms(900).request(4, READ, 1, 0.1).finish(
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
             are paused
            request 3 of class 0 arrives
            the timer of request 3 goes off | send request 3 to 3
            attempt 0 of request 3 at 3: Succeeded
            -- a step-in
            request 4 of class 0 arrives | send request 4 to 3
            attempt 0 of request 4 at 3: ConnectFailed | log: endpoint 3 ejected for 61 ms: its connection failed | send request 4 to 2
            attempt 1 of request 4 at 2: Succeeded
            request 5 of class 0 arrives | send request 5 to 3
            attempt 0 of request 5 at 3: Succeeded | close idle connections to 2
        "#]],
    );
}
