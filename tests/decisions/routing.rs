//! Which pool a request goes to.

use crate::common::{Harness, ORDER, READ, ready_update, settings};
use crate::{check, check_after, four_kinds, with_status};
use doorproxy::effects::{AttemptOutcome, EndpointStatus};
use expect_test::expect;

#[test]
fn requests_are_routed_by_cost_and_key_with_fallback_pools() {
    let mut harness = Harness::new(settings(), &four_kinds());
    for request in 0..64 {
        let cost = if request % 2 == 0 { 0.02 } else { 0.2 };
        harness.request(request, READ, 5, cost).answered(request, 100);
    }
    harness.note("-- a small request, then requests by key slot, then one without a key");
    harness
        .request(100, READ, 1, 0.02)
        .request(101, READ, 1, 0.2)
        .request(102, READ, 2, 0.2)
        .request(103, READ, 3, 0.2);
    harness.request(104, READ, 4, 0.2).arrive(105, READ, None, Some(0.2), 1.5);
    harness.note("-- the small pool is removed, then the default pool drains");
    for endpoint in [20, 21, 22] {
        let update = with_status(EndpointStatus::Removed, ready_update(endpoint, 1));
        harness.balancer.on_endpoint_updates(harness.now, &[update]);
    }
    harness.request(106, READ, 1, 0.02);
    for endpoint in 10..14 {
        let update = with_status(EndpointStatus::Draining, ready_update(endpoint, 0));
        harness.balancer.on_endpoint_updates(harness.now, &[update]);
    }
    harness.request(107, READ, 1, 0.02);
    check_after(
        &harness,
        "-- a small",
        expect![[r#"
            -- a small request, then requests by key slot, then one without a key
            request 100 of class 0 arrives | send request 100 to 21
            request 101 of class 0 arrives | send request 101 to 11
            request 102 of class 0 arrives | send request 102 to 12
            request 103 of class 0 arrives | send request 103 to 30
            request 104 of class 0 arrives | send request 104 to 13
            request 105 of class 0 arrives | send request 105 to 11
            -- the small pool is removed, then the default pool drains
            request 106 of class 0 arrives | send request 106 to 13
            request 107 of class 0 arrives | send request 107 to 40
        "#]],
    );
}

#[test]
fn a_request_too_heavy_for_its_pool_goes_to_the_fastest_pool() {
    let mut harness = Harness::new(settings(), &four_kinds());
    for request in 0..200 {
        harness.request(request, READ, u64::from(request), if request % 2 == 0 { 0.05 } else { 0.06 });
        let endpoint = harness.last_endpoint();
        let ms = if (20..30).contains(&endpoint) { 50 } else { 200 };
        harness.after_ms(ms).finish_after(request, 0, endpoint, AttemptOutcome::Succeeded, ms);
    }
    harness.note("-- in its home pool the request would need most of its time");
    harness.request(1000, ORDER, 1, 0.06).request(1001, ORDER, 1, 0.1).request(1002, ORDER, 1, 0.4);
    check_after(
        &harness,
        "-- in its home pool",
        expect![[r#"
            -- in its home pool the request would need most of its time
            request 1000 of class 2 arrives | send request 1000 to 11
            request 1001 of class 2 arrives | send request 1001 to 21
            request 1002 of class 2 arrives | send request 1002 to 20
        "#]],
    );
}

#[test]
fn small_pool_is_used_after_the_first_cost_estimates() {
    let mut harness = Harness::new(settings(), &four_kinds());
    harness
        .request(1, READ, 1, 0.02)
        .request(2, READ, 1, 0.3)
        .request(3, READ, 1, 0.02)
        .request(4, READ, 1, 0.3);
    harness.request(5, READ, 1, 0.02);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 0 arrives | send request 1 to 11
            request 2 of class 0 arrives | send request 2 to 13
            request 3 of class 0 arrives | send request 3 to 21
            request 4 of class 0 arrives | send request 4 to 11
            request 5 of class 0 arrives | send request 5 to 20
        "#]],
    );
}
