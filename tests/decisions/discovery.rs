//! How updates of the endpoint list are applied.

use crate::common::{Harness, ORDER, READ, ready_update, settings};
use crate::{check, check_after, one_kind, with_status};
use doorproxy::effects::{AttemptOutcome, EndpointStatus, EndpointUpdate};
use doorproxy::ids::{TimerId, Timestamp};
use doorproxy::settings::Settings;
use expect_test::expect;

#[test]
fn missing_endpoint_stays_in_use_if_only_draining_is_binding() {
    let trace_when = |only_draining_is_binding| {
        let mut harness =
            Harness::new(Settings { only_draining_is_binding, ..settings() }, &one_kind(&[1, 2, 3, 4]));
        for (request, key) in [(0, 1), (1, 2), (2, 4), (3, 1), (4, 2), (5, 4)] {
            harness.request(request, READ, key, 0.1).answered(request, 100);
        }
        harness.note("-- endpoint 4 drains, then all are removed; 3 has never answered");
        harness
            .balancer
            .on_endpoint_updates(harness.now, &[with_status(EndpointStatus::Draining, ready_update(4, 0))]);
        let gone: Vec<EndpointUpdate> = one_kind(&[1, 2, 3, 4])
            .into_iter()
            .map(|update| with_status(EndpointStatus::Removed, update))
            .collect();
        harness.balancer.on_endpoint_updates(harness.now, &gone);
        harness
            .request(10, READ, 1, 0.1)
            .request(11, READ, 2, 0.1)
            .request(12, READ, 3, 0.1)
            .request(13, READ, 4, 0.1);
        harness.note("-- one endpoint refuses a connection");
        let last = harness.last_endpoint();
        harness.after_ms(1).finish(13, 0, last, AttemptOutcome::ConnectFailed);
        harness.request(14, READ, 1, 0.1).request(15, READ, 2, 0.1).request(16, READ, 3, 0.1);
        harness.note("-- a snapshot without endpoint 1 is trusted; 1 can stay in use only by its answers");
        harness.balancer.on_endpoint_snapshot(harness.now, &one_kind(&[2, 3, 4]));
        harness.request(17, READ, 1, 0.1).request(18, READ, 2, 0.1).request(19, READ, 3, 0.1);
        harness.trace()[harness.trace().find("--").unwrap()..].replace("\n  ", " | ").replace("  ", "")
    };
    expect![[r#"
        -- endpoint 4 drains, then all are removed; 3 has never answered
        request 10 of class 0 arrives | send request 10 to 2
        request 11 of class 0 arrives | send request 11 to 1
        request 12 of class 0 arrives | send request 12 to 1
        request 13 of class 0 arrives | send request 13 to 2
        -- one endpoint refuses a connection
        attempt 0 of request 13 at 2: ConnectFailed | log: endpoint 2 ejected, first probe request in 205 ms: connect failed | send request 13 to 1
        request 14 of class 0 arrives
        request 15 of class 0 arrives
        request 16 of class 0 arrives
        -- a snapshot without endpoint 1 is trusted; 1 can stay in use only by its answers | send request 14 to 3 | send request 15 to 4 | send request 16 to 4
        request 17 of class 0 arrives | send request 17 to 3
        request 18 of class 0 arrives | send request 18 to 3
        request 19 of class 0 arrives
    "#]].assert_eq(&trace_when(true));
    expect![[r#"
        -- endpoint 4 drains, then all are removed; 3 has never answered
        request 10 of class 0 arrives | reject request 10, retry after a while
        request 11 of class 0 arrives | reject request 11, retry after a while
        request 12 of class 0 arrives | reject request 12, retry after a while
        request 13 of class 0 arrives | reject request 13, retry after a while
        -- one endpoint refuses a connection
        attempt 0 of request 13 at 1: ConnectFailed | log: endpoint 1 ejected, first probe request in 190 ms: connect failed
        request 14 of class 0 arrives | reject request 14, retry after a while
        request 15 of class 0 arrives | reject request 15, retry after a while
        request 16 of class 0 arrives | reject request 16, retry after a while
        -- a snapshot without endpoint 1 is trusted; 1 can stay in use only by its answers
        request 17 of class 0 arrives | send request 17 to 2
        request 18 of class 0 arrives | send request 18 to 3
        request 19 of class 0 arrives | send request 19 to 4
    "#]]
    .assert_eq(&trace_when(false));
}

/// Counts how many of a hundred balancers use the only new endpoint before and after a wrong list drops all
/// other endpoints.
#[test]
fn wrong_list_does_not_send_all_balancers_to_one_endpoint() {
    let users = |drops: bool| {
        let uses = |&balancer_index: &u32| {
            let settings = Settings {
                only_draining_is_binding: true,
                balancer_count: 100,
                balancer_index,
                ..settings()
            };
            let mut harness = Harness::new(settings, &one_kind(&[1, 2, 3, 4, 5, 6, 7, 8]));
            let started_at = Some(harness.now);
            let mut updates = vec![EndpointUpdate { started_at, ..ready_update(9, 0) }];
            let gone =
                (1..9).filter(|_| drops).map(|id| with_status(EndpointStatus::Removed, ready_update(id, 0)));
            updates.extend(gone);
            harness.balancer.on_endpoint_updates(harness.now, &updates);
            harness.after_ms(10_000);
            for request in 0..8 {
                harness.request(request, READ, u64::from(request), 0.1);
            }
            harness.trace().contains("to 9\n")
        };
        (0..100).filter(uses).count()
    };
    expect![[r#"
        0 before, 22 after
    "#]]
    .assert_eq(&format!("{} before, {} after\n", users(false), users(true)));
}

#[test]
fn draining_or_missing_endpoint_gets_no_new_requests() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness
        .balancer
        .on_endpoint_updates(harness.now, &[with_status(EndpointStatus::Draining, ready_update(1, 0))]);
    harness.request(1, READ, 1, 0.1).request(2, READ, 2, 0.1);
    harness.note("-- a snapshot names only endpoint 1");
    harness.balancer.on_endpoint_snapshot(harness.now, &one_kind(&[1]));
    harness.request(3, READ, 1, 0.1).request(4, READ, 2, 0.1);
    harness.note("-- a snapshot without endpoints");
    harness.balancer.on_endpoint_snapshot(harness.now, &[]);
    harness.request(5, ORDER, 1, 0.1);
    harness.finish(5, 0, 1, AttemptOutcome::NotSent).finish(99, 0, 77, AttemptOutcome::Succeeded);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 0 arrives | send request 1 to 2
            request 2 of class 0 arrives | send request 2 to 2
            -- a snapshot names only endpoint 1
            request 3 of class 0 arrives | send request 3 to 1
            request 4 of class 0 arrives | send request 4 to 1
            -- a snapshot without endpoints
            request 5 of class 2 arrives
            attempt 0 of request 5 at 1: NotSent | reject request 5, retry after a while
            attempt 0 of request 99 at 77: Succeeded
        "#]],
    );
}

#[test]
fn discovery_is_asked_again_after_an_error() {
    let mut harness = Harness::new(settings(), &one_kind(&[1]));
    harness.note("the call fails, then its timer fires");
    harness.balancer.on_discovery_error(harness.now);
    harness.balancer.on_timer(Timestamp(1_100_000), TimerId(1 << 32));
    harness.balancer.on_endpoint_updates(harness.now, &one_kind(&[1, 2]));
    check(
        &harness,
        expect![[r#"
            watch endpoints
            the call fails, then its timer fires | watch endpoints
        "#]],
    );
}

#[test]
fn updates_may_repeat_remove_and_restore_an_endpoint() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 1, 2]));
    harness.request(1, READ, 1, 0.1);
    let first = harness.last_endpoint();
    harness.note("-- its endpoint is removed, its attempt still finishes, and the endpoint is restored");
    harness
        .balancer
        .on_endpoint_updates(harness.now, &[with_status(EndpointStatus::Removed, ready_update(first, 0))]);
    harness.request(2, READ, 1, 0.1).after_ms(100).finish(1, 0, first, AttemptOutcome::Succeeded);
    harness.balancer.on_endpoint_updates(harness.now, &[ready_update(first, 0), ready_update(first, 0)]);
    harness.request(3, READ, 1, 0.1);
    harness.note("-- an unknown endpoint is removed; an unknown kind belongs to the default pool");
    harness
        .balancer
        .on_endpoint_updates(harness.now, &[with_status(EndpointStatus::Removed, ready_update(9, 0))]);
    harness.balancer.on_endpoint_snapshot(harness.now, &[ready_update(8, 7)]);
    harness.request(4, READ, 1, 0.1);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 0 arrives | send request 1 to 2
            -- its endpoint is removed, its attempt still finishes, and the endpoint is restored
            request 2 of class 0 arrives | send request 2 to 1
            attempt 0 of request 1 at 2: Succeeded
            request 3 of class 0 arrives | send request 3 to 2
            -- an unknown endpoint is removed; an unknown kind belongs to the default pool
            request 4 of class 0 arrives | send request 4 to 8
        "#]],
    );
}

/// Endpoints are replaced continuously, so removed ones must not be kept forever, nor their ejections and
/// samples.
#[test]
fn a_long_removed_endpoint_is_evicted() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(8).request(1, READ, 1, 0.1);
    let failed = harness.last_endpoint();
    harness.finish(1, 0, failed, AttemptOutcome::ConnectionReset);
    for (seconds, others) in [(1, 0), (30, 1)] {
        harness.note(&format!("-- removed, and restored after {seconds} s"));
        harness.balancer.on_endpoint_updates(
            harness.now,
            &[with_status(EndpointStatus::Removed, ready_update(failed, 0))],
        );
        harness.after_ms(1000 * seconds);
        harness.balancer.on_endpoint_updates(harness.now, &[ready_update(3 - failed, 0)]);
        harness.balancer.on_endpoint_updates(harness.now, &[ready_update(failed, 0)]);
        for request in 0..4 {
            let request = 10 + 10 * others + request;
            harness.request(request, ORDER, u64::from(request), 0.1).answered(request, 50);
        }
    }
    check_after(
        &harness,
        "-- removed",
        expect![[r#"
            -- removed, and restored after 1 s
            request 10 of class 2 arrives | send request 10 to 1
            attempt 0 of request 10 at 1: Succeeded
            request 11 of class 2 arrives | send request 11 to 1
            attempt 0 of request 11 at 1: Succeeded
            request 12 of class 2 arrives | send request 12 to 1
            attempt 0 of request 12 at 1: Succeeded
            request 13 of class 2 arrives | send request 13 to 1
            attempt 0 of request 13 at 1: Succeeded
            -- removed, and restored after 30 s
            request 20 of class 2 arrives | send request 20 to 2
            attempt 0 of request 20 at 2: Succeeded
            request 21 of class 2 arrives | send request 21 to 2
            attempt 0 of request 21 at 2: Succeeded
            request 22 of class 2 arrives | send request 22 to 2
            attempt 0 of request 22 at 2: Succeeded
            request 23 of class 2 arrives | send request 23 to 2
            attempt 0 of request 23 at 2: Succeeded
        "#]],
    );
}
