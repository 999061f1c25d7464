//! What warming endpoints get.

use crate::common::{Harness, ORDER, READ, ready_update, settings};
use crate::{check_after, one_kind, quiet_balancer};
use doorproxy::effects::{AttemptOutcome, EndpointUpdate};
use doorproxy::settings::{Settings, SlowStart};
use expect_test::expect;

#[test]
fn small_requests_stay_within_the_warm_up_budget() {
    // Without spare work, only the budget counts.
    let warming = SlowStart { overload_factor: 1.0, ..settings().slow_start };
    let mut harness = Harness::new(Settings { slow_start: warming, ..settings() }, &one_kind(&[1, 2]));
    harness.warm_up(60);
    let started = EndpointUpdate { started_at: Some(harness.now), ..ready_update(2, 0) };
    harness.balancer.on_endpoint_updates(harness.now, &[started]);
    harness.note("-- however small the requests are, warming endpoint 2 gets few of them");
    for request in 0..400 {
        harness.request(request, READ, u64::from(request) + 1, if request % 5 == 0 { 0.1 } else { 0.002 });
        harness.answered(request, 10);
    }
    let trace = harness.trace();
    let count = |endpoint: &str| trace.lines().filter(|line| line.ends_with(endpoint)).count();
    let counts = format!("attempts at 1: {}, at 2: {}", count("to 1"), count("to 2"));
    expect!["attempts at 1: 347, at 2: 53"].assert_eq(&counts);
}

/// Guards against seconds of rejections while endpoints are idle: the work that idle endpoints completed
/// before they all restarted does not show what they could do.
#[test]
fn idle_endpoint_warms_up_with_one_request_at_a_time() {
    let mut harness = Harness::new(Settings { balancer_count: 12, ..settings() }, &one_kind(&[1]));
    for request in 0..40 {
        harness.request(request, READ, u64::from(request), 0.02).answered(request, 20).after_ms(900);
    }
    let started_at = Some(harness.now);
    harness.balancer.on_endpoint_updates(harness.now, &[EndpointUpdate { started_at, ..ready_update(1, 0) }]);
    harness.note("-- the endpoint has restarted: it gets one request at a time");
    for request in 100..104 {
        harness.request(request, READ, 1, 0.02).answered(request, 100).after_ms(300);
    }
    harness.note("-- it rejects a request and is paused for the overload window of 2 s");
    harness.request(104, ORDER, 1, 0.02).finish(104, 0, 1, AttemptOutcome::Overloaded);
    harness.after_ms(1500).request(105, ORDER, 1, 0.02).after_ms(501).request(106, ORDER, 1, 0.02);
    check_after(
        &harness,
        "-- the endpoint",
        expect![[r#"
            -- the endpoint has restarted: it gets one request at a time
            request 100 of class 0 arrives | send request 100 to 1
            attempt 0 of request 100 at 1: Succeeded
            request 101 of class 0 arrives | send request 101 to 1
            attempt 0 of request 101 at 1: Succeeded
            request 102 of class 0 arrives | send request 102 to 1
            attempt 0 of request 102 at 1: Succeeded
            request 103 of class 0 arrives | send request 103 to 1
            attempt 0 of request 103 at 1: Succeeded
            -- it rejects a request and is paused for the overload window of 2 s
            request 104 of class 2 arrives | send request 104 to 1
            attempt 0 of request 104 at 1: Overloaded
            request 105 of class 2 arrives | reject request 105, retry after a while
            request 106 of class 2 arrives | send request 106 to 1
        "#]],
    );
}

#[test]
fn many_balancers_pace_warm_up_and_probe_requests() {
    let mut harness = Harness::new(Settings { balancer_count: 40, ..settings() }, &one_kind(&[1, 2]));
    for request in 0..40 {
        harness.request(request, READ, u64::from(request), 0.1).answered(request, 100).after_ms(900);
    }
    let started = EndpointUpdate { started_at: Some(harness.now), ..ready_update(2, 0) };
    harness.balancer.on_endpoint_updates(harness.now, &[started]);
    let mut to_warming = Vec::new();
    for request in 100..118 {
        if harness.request(request, READ, u64::from(request), 0.02).last_endpoint() == 2 {
            to_warming.push(request - 100);
        }
        harness.answered(request, 20).after_ms(980);
    }
    let faulty = harness.after_ms(3000).request(200, ORDER, 1, 0.02).last_endpoint();
    harness.after_ms(1500).finish_after(200, 0, faulty, AttemptOutcome::ConnectionReset, 1500);
    let mut waited = 0;
    while harness.request(300 + waited, READ, 1, 0.02).last_endpoint() != faulty {
        harness.answered(300 + waited, 20).after_ms(180);
        waited += 1;
    }
    let counts = format!(
        "sent to the warming endpoint after {to_warming:?} s; a probe after {waited} fifths of a second"
    );
    expect!["sent to the warming endpoint after [5, 8, 11, 16] s; a probe after 10 fifths of a second"]
        .assert_eq(&counts);
}

#[test]
fn warming_endpoint_with_known_load_gets_what_it_can_finish() {
    let mut harness = Harness::new(quiet_balancer(), &one_kind(&[2, 4]));
    for request in 100..120 {
        harness
            .request(request, READ, u64::from(request), 0.1)
            .report_load(2, Some(0.0))
            .report_load(4, Some(0.0))
            .answered(request, 100);
    }
    let started_at = Some(harness.now);
    let warming = [2, 4].map(|endpoint| EndpointUpdate { started_at, ..ready_update(endpoint, 0) });
    harness.balancer.on_endpoint_updates(harness.now, &warming);
    harness.note("-- endpoint 2 already holds one request");
    harness.request(1, ORDER, 1, 0.1).report_load(2, Some(1.0)).report_load(4, Some(0.0));
    harness.note("-- the request is too heavy for the overload window");
    harness.after_ms(100).request(2, ORDER, 1, 2.0).report_load(2, Some(0.0)).report_load(4, Some(0.0));
    check_after(
        &harness,
        "-- endpoint 2",
        expect![[r#"
            -- endpoint 2 already holds one request
            request 1 of class 2 arrives | probe load of 2
            2 reports load Some(1.0) | probe load of 4
            4 reports load Some(0.0) | send request 1 to 4
            -- the request is too heavy for the overload window
            request 2 of class 2 arrives | probe load of 2 | reject request 2
            2 reports load Some(0.0)
            4 reports load Some(0.0)
        "#]],
    );
}
