//! Which requests are admitted.

use crate::common::{Harness, ORDER, READ, settings};
use crate::{check, check_after, one_kind, trace_of, without_probes};
use doorproxy::effects::AttemptOutcome;
use doorproxy::ids::KeyHash;
use doorproxy::settings::Settings;
use expect_test::expect;

#[test]
fn hopeless_request_is_rejected_only_under_overload() {
    let mut harness = Harness::new(Settings { balancer_count: 1, ..settings() }, &one_kind(&[1]));
    harness.warm_up(20).note("-- with free capacity, even a hopeless request is tried");
    harness.arrive(0, READ, Some(KeyHash(1)), Some(0.1), 0.12).finish_after(
        0,
        0,
        1,
        AttemptOutcome::TimedOut,
        120,
    );
    for request in 1..8 {
        harness.request(request, READ, 1, 0.1);
    }
    harness.note("-- requests wait: 100 ms of work, with timeouts of 120 and 400 ms");
    harness.arrive(10, READ, Some(KeyHash(1)), Some(0.1), 0.12).arrive(
        11,
        READ,
        Some(KeyHash(1)),
        Some(0.1),
        0.4,
    );
    check_after(
        &harness,
        "-- requests wait",
        expect![[r#"
            -- requests wait: 100 ms of work, with timeouts of 120 and 400 ms
            request 10 of class 0 arrives | reject request 10, retry after a while
            request 11 of class 0 arrives
        "#]],
    );
}

#[test]
fn requests_beyond_a_tenants_quota_wait_last() {
    let shared = Settings { tenant_quotas: vec![4.0], balancer_count: 1, ..settings() };
    let mut harness = Harness::new(shared, &one_kind(&[1]));
    harness.warm_up(20);
    for request in 0..20 {
        harness.request(request, READ, 1, 0.1);
    }
    harness.note("-- later the quota admits requests again; one answer frees capacity for one request");
    harness.after_ms(450).request(50, READ, 1, 0.1).after_ms(10).finish(0, 0, 1, AttemptOutcome::Succeeded);
    check_after(
        &harness,
        "-- later",
        expect![[r#"
            -- later the quota admits requests again; one answer frees capacity for one request
            request 50 of class 0 arrives | reject request 10, retry after a while | reject request 9, retry after a while | reject request 8, retry after a while | reject request 7, retry after a while | reject request 6, retry after a while | reject request 5, retry after a while
            attempt 0 of request 0 at 1: Succeeded | send request 50 to 1
        "#]],
    );
}

/// Requests beyond a limit are neither sent nor queued. A request that is rejected for another reason does
/// not count against the limit.
#[test]
fn request_beyond_fleet_limit_is_rejected_with_retry_after() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(20);
    harness.set_fleet_limit(2).request(1, ORDER, 1, 0.1).arrive(2, ORDER, Some(KeyHash(1)), Some(0.1), 0.0);
    harness.request(3, ORDER, 2, 0.1).request(4, ORDER, 3, 0.1);
    check(
        &harness,
        expect![[r#"
            the fleet limit admits 2 more
            request 1 of class 2 arrives | send request 1 to 2
            request 2 of class 2 arrives | reject request 2
            request 3 of class 2 arrives | send request 3 to 1
            request 4 of class 2 arrives | reject request 4, retry after a while
        "#]],
    );
}

#[test]
fn admission_probability_follows_late_and_timely_answers() {
    let mut harness = Harness::new(without_probes(), &one_kind(&[2, 4, 6, 8]));
    let mut counts = Vec::new();
    for took in [700, 700, 100, 100, 100, 100] {
        let mut admitted = 0;
        for request in 0..40 {
            let request = 1000 * counts.len() as u32 + request;
            let before = trace_of(&harness).matches("send request").count();
            harness.after_ms(3000).request(request, ORDER, 1, 0.1);
            if trace_of(&harness).matches("send request").count() > before {
                admitted += 1;
                let endpoint = harness.last_endpoint();
                harness.after_ms(took).finish_after(request, 0, endpoint, AttemptOutcome::Succeeded, took);
            }
        }
        counts.push(admitted);
    }
    expect!["[12, 6, 2, 5, 14, 26]"].assert_eq(&format!("{counts:?}"));
}
