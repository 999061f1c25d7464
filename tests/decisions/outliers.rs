//! Which endpoints are ejected, and when they are used again.

use crate::common::{Harness, ORDER, READ, settings};
use crate::{check, one_kind, trace_of};
use doorproxy::effects::AttemptOutcome;
use doorproxy::ids::{EndpointId, Ticks};
use expect_test::expect;

#[test]
fn unresponsive_endpoint_is_avoided_and_requests_hedged() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(20).request(1, READ, 1, 0.1);
    let unresponsive = harness.last_endpoint();
    let other = 3 - unresponsive;
    harness.after_ms(50).request(2, READ, 2, 0.1).after_ms(100).finish(
        2,
        0,
        other,
        AttemptOutcome::Succeeded,
    );
    harness.after_ms(200).request(3, ORDER, 1, 0.1).fire_timer(1);
    harness.after_ms(100).finish(1, 1, other, AttemptOutcome::Succeeded).finish(
        1,
        0,
        unresponsive,
        AttemptOutcome::Cancelled,
    );
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2
            request 2 of class 0 arrives | send request 2 to 1
            attempt 0 of request 2 at 1: Succeeded
            request 3 of class 2 arrives | send request 3 to 1
            the timer of request 1 fires | send request 1 to 1
            attempt 1 of request 1 at 1: Succeeded | cancel attempt 0 of request 1
            attempt 0 of request 1 at 2: Cancelled | log: endpoint 2 ejected, first probe request in 152 ms: no response
        "#]],
    );
}

#[test]
fn an_ejected_endpoint_is_probed_with_idempotent_requests() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(20).request(1, READ, 1, 0.1);
    let failing = harness.last_endpoint();
    harness.after_ms(1).finish(1, 0, failing, AttemptOutcome::ErrorResponse);
    let other = harness.last_endpoint();
    harness.after_ms(100).finish(1, 1, other, AttemptOutcome::Succeeded);
    harness.note("-- after the wait, a non-idempotent request is not used as a probe request");
    harness.after_ms(5000).request(2, ORDER, 1, 0.1).request(3, READ, 1, 0.1).request(4, READ, 1, 0.1);
    harness.after_ms(100).finish(3, 0, failing, AttemptOutcome::Succeeded).request(5, READ, 1, 0.1);
    harness.after_ms(100).finish(5, 0, failing, AttemptOutcome::Succeeded).request(6, ORDER, 1, 0.1);
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 162 ms: error response | send request 1 to 1
            attempt 1 of request 1 at 1: Succeeded
            -- after the wait, a non-idempotent request is not used as a probe request
            request 2 of class 2 arrives | send request 2 to 1
            request 3 of class 0 arrives | send request 3 to 2
            request 4 of class 0 arrives | send request 4 to 1
            attempt 0 of request 3 at 2: Succeeded
            request 5 of class 0 arrives | send request 5 to 2
            attempt 0 of request 5 at 2: Succeeded
            request 6 of class 2 arrives | send request 6 to 2
        "#]],
    );
}

/// If answers fail in the same way at all endpoints, none is ejected for it.
#[test]
fn failures_common_to_all_endpoints_eject_none() {
    let mut harness = Harness::new(settings(), &one_kind(&[10, 11, 12, 13]));
    harness.warm_up(8);
    for request in 0..64 {
        harness.request(request, READ, u64::from(request), 0.1);
        if request % 8 < 5 {
            harness.answered(request, 50);
        } else {
            let endpoint = harness.last_endpoint();
            harness.after_ms(50).finish(request, 0, endpoint, AttemptOutcome::ConnectionReset);
            let further = harness.last_endpoint();
            harness.after_ms(50).finish(request, 1, further, AttemptOutcome::Succeeded);
        }
    }
    harness.note("-- endpoint 12 fails all its requests");
    for request in 64..80 {
        harness.request(request, READ, u64::from(request), 0.1);
        if harness.last_endpoint() == 12 {
            harness.after_ms(50).finish(request, 0, 12, AttemptOutcome::ErrorResponse);
            let further = harness.last_endpoint();
            harness.after_ms(50).finish(request, 1, further, AttemptOutcome::Succeeded);
        } else {
            harness.answered(request, 50);
        }
    }
    let ejections = trace_of(&harness);
    let ejections = ejections.split('\n').filter(|line| line.contains("ejected") || line.starts_with("--"));
    expect![[r#"
        attempt 0 of request 5 at 13: ConnectionReset | log: endpoint 13 ejected, first probe request in 190 ms: connection reset | send request 5 to 11
        -- endpoint 12 fails all its requests
        attempt 0 of request 76 at 12: ErrorResponse | log: endpoint 12 ejected, first probe request in 187 ms: error response | send request 76 to 13"#]].assert_eq(&ejections.collect::<Vec<_>>().join("\n"));
}

/// Guards against rejecting idempotent requests while an endpoint that fails only some of its requests is
/// idle.
#[test]
fn ejected_endpoint_gets_idempotent_requests_as_last_resort() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(8).request(1, READ, 1, 0.1);
    let (failing, trusted) = (harness.last_endpoint(), 3 - harness.last_endpoint());
    harness.finish(1, 0, failing, AttemptOutcome::ErrorResponse).after_ms(50).finish(
        1,
        1,
        trusted,
        AttemptOutcome::Succeeded,
    );
    harness.request(2, ORDER, 1, 0.1).request(3, ORDER, 1, 0.1).request(4, ORDER, 1, 0.1);
    harness.request(5, READ, 1, 0.1).request(6, ORDER, 1, 0.1).note("-- but not if it refuses connections");
    harness.finish(5, 0, failing, AttemptOutcome::ConnectFailed).request(7, READ, 1, 0.1);
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 242 ms: error response | send request 1 to 1
            attempt 1 of request 1 at 1: Succeeded
            request 2 of class 2 arrives | send request 2 to 1
            request 3 of class 2 arrives | send request 3 to 1
            request 4 of class 2 arrives | send request 4 to 1
            request 5 of class 0 arrives | send request 5 to 2
            request 6 of class 2 arrives
            -- but not if it refuses connections
            attempt 0 of request 5 at 2: ConnectFailed | reject request 5, retry after a while
            request 7 of class 0 arrives
        "#]],
    );
}

#[test]
fn ejection_lasts_longer_after_a_long_unanswered_attempt() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3]));
    harness.warm_up(20).request(1, READ, 1, 0.1);
    let unresponsive = harness.last_endpoint();
    harness.after_ms(50).request(2, READ, 2, 0.1);
    let other = harness.last_endpoint();
    harness.after_ms(100).finish(2, 0, other, AttemptOutcome::Succeeded).after_ms(1350);
    harness.finish_after(1, 0, unresponsive, AttemptOutcome::TimedOut, 1500);
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2
            request 2 of class 0 arrives | send request 2 to 3
            attempt 0 of request 2 at 3: Succeeded
            attempt 0 of request 1 at 2: TimedOut | log: endpoint 2 ejected, first probe request in 490 ms: no response | reject request 1
        "#]],
    );
}

#[test]
fn an_endpoint_that_flaps_is_ejected_for_longer_each_time() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(20);
    for round in 0..3 {
        let request = 10 * round;
        harness.after_ms(2000).request(request, READ, 1, 0.1);
        let failing = harness.last_endpoint();
        harness.after_ms(1).finish(request, 0, failing, AttemptOutcome::ErrorResponse);
        let other = harness.last_endpoint();
        harness.after_ms(100).finish(request, 1, other, AttemptOutcome::Succeeded);
    }
    check(
        &harness,
        expect![[r#"
            request 0 of class 0 arrives | send request 0 to 2
            attempt 0 of request 0 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 162 ms: error response | send request 0 to 1
            attempt 1 of request 0 at 1: Succeeded
            request 10 of class 0 arrives | send request 10 to 2
            attempt 0 of request 10 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 304 ms: error response | send request 10 to 1
            attempt 1 of request 10 at 1: Succeeded
            request 20 of class 0 arrives | send request 20 to 2
            attempt 0 of request 20 at 2: ErrorResponse | log: endpoint 2 ejected, first probe request in 481 ms: error response | send request 20 to 1
            attempt 1 of request 20 at 1: Succeeded
        "#]],
    );
}

/// Guards against reports by peers that outweigh a newer answer to this balancer, eject too many endpoints,
/// keep an endpoint ejected forever, or send one request after the other to an endpoint that fails.
#[test]
fn peer_fault_report_is_limited_by_own_evidence() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2, 3]));
    harness.warm_up(30);
    let report_fault = |harness: &mut Harness, endpoint: u32, ms_ago: i64| {
        harness.note(&format!("peers report {endpoint} as faulty by evidence from {ms_ago} ms ago"));
        let since = harness.now - Ticks(ms_ago * 10);
        harness.balancer.on_fault_report(harness.now, EndpointId(endpoint), since);
    };
    report_fault(&mut harness, 1, 60_000);
    harness.after_ms(2000);
    report_fault(&mut harness, 1, 100);
    harness.request(1, READ, 1, 0.1).answered(1, 100).request(2, READ, 2, 0.1).answered(2, 100);
    harness.note("-- later an idempotent request probes it").after_ms(1200).request(3, READ, 3, 0.1);
    report_fault(&mut harness, 2, 0);
    harness.after_ms(50).finish(3, 0, 1, AttemptOutcome::ErrorResponse);
    harness.note("-- the probe request failed; reports by peers delay the next one").answered(3, 50);
    for request in 10..16 {
        harness.after_ms(700);
        report_fault(&mut harness, 1, 10);
        harness.request(request, READ, 3, 0.1).answered(request, 100);
    }
    check(
        &harness,
        expect![[r#"
            peers report 1 as faulty by evidence from 60000 ms ago
            peers report 1 as faulty by evidence from 100 ms ago
            request 1 of class 0 arrives | send request 1 to 2
            attempt 0 of request 1 at 2: Succeeded
            request 2 of class 0 arrives | send request 2 to 2
            attempt 0 of request 2 at 2: Succeeded
            -- later an idempotent request probes it
            request 3 of class 0 arrives | send request 3 to 1
            peers report 2 as faulty by evidence from 0 ms ago
            attempt 0 of request 3 at 1: ErrorResponse | log: endpoint 1 ejected, first probe request in 186 ms: error response | send request 3 to 3
            -- the probe request failed; reports by peers delay the next one
            attempt 0 of request 3 at 3: Succeeded | cancel attempt 1 of request 3
            peers report 1 as faulty by evidence from 10 ms ago
            request 10 of class 0 arrives | send request 10 to 3
            attempt 0 of request 10 at 3: Succeeded
            peers report 1 as faulty by evidence from 10 ms ago
            request 11 of class 0 arrives | send request 11 to 3
            attempt 0 of request 11 at 3: Succeeded
            peers report 1 as faulty by evidence from 10 ms ago
            request 12 of class 0 arrives | send request 12 to 3
            attempt 0 of request 12 at 3: Succeeded
            peers report 1 as faulty by evidence from 10 ms ago
            request 13 of class 0 arrives | send request 13 to 1
            attempt 0 of request 13 at 1: Succeeded
            peers report 1 as faulty by evidence from 10 ms ago
            request 14 of class 0 arrives | send request 14 to 1
            attempt 0 of request 14 at 1: Succeeded
            peers report 1 as faulty by evidence from 10 ms ago
            request 15 of class 0 arrives | send request 15 to 3
            attempt 0 of request 15 at 3: Succeeded
        "#]],
    );
}
