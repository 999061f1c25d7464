//! Events of finished or streaming requests.

use crate::common::{Harness, ORDER, READ, settings};
use crate::{check, one_kind};
use doorproxy::effects::AttemptOutcome;
use doorproxy::ids::{KeyHash, RequestId};
use expect_test::expect;

#[test]
fn late_events_of_an_abandoned_request_are_ignored() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(20).request(1, READ, 1, 0.1);
    let first = harness.last_endpoint();
    harness.balancer.on_request_abandoned(harness.now, RequestId(1));
    harness.finish(1, 0, first, AttemptOutcome::Cancelled).fire_timer(1);
    harness.balancer.on_request_abandoned(harness.now, RequestId(1));
    harness.note("-- an expired deadline; an absurd cost estimate; no cost estimate");
    harness.arrive(2, ORDER, None, Some(0.1), 0.0).arrive(3, ORDER, None, Some(1e300), 1.5);
    harness.arrive(4, READ, Some(KeyHash(1)), None, 1.5);
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2 | cancel attempt 0 of request 1
            attempt 0 of request 1 at 2: Cancelled
            the timer of request 1 fires
            -- an expired deadline; an absurd cost estimate; no cost estimate
            request 2 of class 2 arrives | reject request 2
            request 3 of class 2 arrives | send request 3 to 1
            request 4 of class 0 arrives | send request 4 to 2
        "#]],
    );
}

#[test]
fn streaming_or_finished_request_ignores_its_timer() {
    let mut harness = Harness::new(settings(), &one_kind(&[1, 2]));
    harness.warm_up(20).request(1, READ, 1, 0.1);
    harness.balancer.on_stream_started(harness.now, RequestId(1));
    harness.after_ms(900).fire_timer(1).fire_timer(77);
    let endpoint = harness.last_endpoint();
    harness.finish(1, 0, endpoint, AttemptOutcome::Succeeded).fire_timer(1);
    check(
        &harness,
        expect![[r#"
            request 1 of class 0 arrives | send request 1 to 2
            the timer of request 1 fires
            the timer of request 77 fires
            attempt 0 of request 1 at 2: Succeeded
            the timer of request 1 fires
        "#]],
    );
}
