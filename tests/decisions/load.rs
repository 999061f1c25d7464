//! Load probes, and the effect of reported loads.

use crate::common::{Harness, ORDER, READ};
use crate::{check, one_kind, quiet_balancer};
use doorproxy::ids::Ticks;
use doorproxy::settings::RequestClass;
use expect_test::expect;

#[test]
fn less_loaded_of_two_sampled_endpoints_is_chosen() {
    let mut harness = Harness::new(quiet_balancer(), &one_kind(&[2, 4, 6]));
    harness.request(1, ORDER, 1, 0.1).after_ms(1).report_load(2, Some(0.0));
    harness.note("-- the load of the key's endpoint outweighs the cached key");
    harness.after_ms(100).request(2, ORDER, 1, 0.1).report_load(2, Some(4.0)).report_load(4, Some(1.0));
    harness.note("-- the second choice has the same load");
    harness.after_ms(100).request(3, ORDER, 1, 0.1).report_load(2, Some(2.0)).report_load(4, Some(2.0));
    harness.note("-- a load stays valid briefly, plus the attempts sent since");
    harness.request(4, ORDER, 1, 0.1);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 2 arrives | probe load of 2
            2 reports load Some(0.0) | send request 1 to 2
            -- the load of the key's endpoint outweighs the cached key
            request 2 of class 2 arrives | probe load of 2
            2 reports load Some(4.0) | probe load of 4
            4 reports load Some(1.0) | send request 2 to 4
            -- the second choice has the same load
            request 3 of class 2 arrives | probe load of 2
            2 reports load Some(2.0) | probe load of 4
            4 reports load Some(2.0) | send request 3 to 2
            -- a load stays valid briefly, plus the attempts sent since
            request 4 of class 2 arrives | send request 4 to 2
        "#]],
    );
}

#[test]
fn request_waits_for_full_endpoints_until_it_would_be_late() {
    let mut harness = Harness::new(quiet_balancer(), &one_kind(&[2, 4]));
    harness.request(1, ORDER, 1, 0.1).report_load(2, Some(9.0)).report_load(4, Some(7.0));
    harness.note("-- the endpoints are probed again after the deferral");
    harness.after_ms(40).fire_timer(1).report_load(2, Some(9.0)).report_load(4, Some(9.0));
    harness.note("-- no answer could come in time any more");
    harness.after_ms(1460).fire_timer(1);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 2 arrives | probe load of 2
            2 reports load Some(9.0) | probe load of 4
            4 reports load Some(7.0)
            -- the endpoints are probed again after the deferral
            the timer of request 1 fires | probe load of 2
            2 reports load Some(9.0) | probe load of 4
            4 reports load Some(9.0)
            -- no answer could come in time any more
            the timer of request 1 fires | reject request 1
        "#]],
    );
}

#[test]
fn low_weight_requests_leave_capacity_for_others() {
    let mut harness = Harness::new(quiet_balancer(), &one_kind(&[2]));
    harness.request(1, READ, 1, 0.1).report_load(2, Some(3.0)).request(2, ORDER, 1, 0.1);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 0 arrives | probe load of 2
            2 reports load Some(3.0)
            request 2 of class 2 arrives | send request 2 to 2
        "#]],
    );
}

#[test]
fn requests_without_weight_or_objective_are_handled() {
    let mut odd = quiet_balancer();
    odd.classes[0] =
        RequestClass { priority_weight: 0.0, latency_objective: Ticks::ZERO, ..odd.classes[0].clone() };
    odd.classes.truncate(1);
    let mut harness = Harness::new(odd, &one_kind(&[2]));
    harness.request(1, READ, 1, 0.1).report_load(2, Some(0.0));
    harness.note("-- the endpoint is full and no durations are known");
    harness.request(2, READ, 1, 0.1).report_load(2, Some(9.0)).fire_timer(2);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 0 arrives | probe load of 2
            2 reports load Some(0.0) | send request 1 to 2
            -- the endpoint is full and no durations are known
            request 2 of class 0 arrives
            2 reports load Some(9.0)
            the timer of request 2 fires
        "#]],
    );
}

#[test]
fn unanswered_load_probe_does_not_delay_a_request() {
    let mut harness = Harness::new(quiet_balancer(), &one_kind(&[2, 4]));
    harness
        .request(1, ORDER, 1, 0.1)
        .after_ms(30)
        .fire_timer(1)
        .report_load(4, Some(0.0))
        .after_ms(100)
        .report_load(2, None);
    check(
        &harness,
        expect![[r#"
            watch endpoints
            request 1 of class 2 arrives | probe load of 2
            the timer of request 1 fires | probe load of 4
            4 reports load Some(0.0) | send request 1 to 4
            2 reports load None
        "#]],
    );
}
