//! How many attempts an endpoint gets at a time.

use crate::common::{Harness, ORDER, READ, settings};
use crate::{check_after, one_kind};
use doorproxy::effects::AttemptOutcome;
use doorproxy::settings::Settings;
use expect_test::expect;

#[test]
fn limit_share_below_one_is_enforced_by_pacing() {
    let many = Settings { balancer_count: 20, ..settings() };
    let mut harness = Harness::new(many, &one_kind(&[1]));
    harness
        .warm_up(40)
        .note("-- answers that take five times as long as usual lower the limit share below one");
    for request in 0..12 {
        harness
            .request(request, READ, 1, 0.1)
            .after_ms(500)
            .finish_after(request, 0, 1, AttemptOutcome::Succeeded, 500)
            .after_ms(2000);
    }
    harness.note("-- the endpoint is paused before the next attempt");
    harness.request(20, ORDER, 1, 0.1).answered(20, 500).request(21, ORDER, 1, 0.1);
    harness.after_ms(2000).request(22, ORDER, 1, 0.1);
    check_after(
        &harness,
        "-- the endpoint",
        expect![[r#"
            -- the endpoint is paused before the next attempt
            request 20 of class 2 arrives | send request 20 to 1
            attempt 0 of request 20 at 1: Succeeded
            request 21 of class 2 arrives | reject request 21, retry after a while
            request 22 of class 2 arrives | send request 22 to 1
        "#]],
    );
}

#[test]
fn uncached_keys_do_not_count_as_congestion() {
    let mut harness = Harness::new(settings(), &one_kind(&[1]));
    for round in 0..30 {
        let ms = if round % 2 == 0 { 50 } else { 100 };
        for request in 0..4 {
            harness.request(4 * round + request, READ, 1, 0.1);
        }
        harness.after_ms(ms);
        for request in 0..4 {
            harness.finish_after(4 * round + request, 0, 1, AttemptOutcome::Succeeded, ms);
        }
    }
    harness.note("-- a burst still finds capacity");
    for request in 200..206 {
        harness.request(request, READ, 1, 0.1);
    }
    check_after(
        &harness,
        "-- a burst",
        expect![[r#"
            -- a burst still finds capacity
            request 200 of class 0 arrives | send request 200 to 1
            request 201 of class 0 arrives | send request 201 to 1
            request 202 of class 0 arrives | send request 202 to 1
            request 203 of class 0 arrives | send request 203 to 1
            request 204 of class 0 arrives
            request 205 of class 0 arrives
        "#]],
    );
}
