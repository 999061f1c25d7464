//! The learned-state snapshot that a process leaves to the next process of the same balancer. That process
//! may run another build, so the format must not change.

mod common;

use common::{Harness, READ, ready_update, settings};
use doorproxy::ids::KeyHash;
use doorproxy::snapshot;
use expect_test::expect;

fn two_endpoints() -> Harness {
    Harness::new(settings(), &[ready_update(7, 3), ready_update(8, 1)])
}

fn write_snapshot(harness: &mut Harness) -> String {
    snapshot::write(harness.now, &harness.balancer.learned_state())
}

#[test]
fn snapshot_format_is_stable_and_can_be_restored() {
    let mut harness = two_endpoints();
    for request in 0..4 {
        let cost_estimate = 0.1 * f64::from(request + 1);
        let key = KeyHash(u64::from(request) + 1);
        harness.arrive(request, READ, Some(key), Some(cost_estimate), 1.5).answered(request, 100);
    }
    let text = write_snapshot(&mut harness);
    expect![[r#"
        hint 0.1
        hint 0.2
        hint 0.30000000000000004
        hint 0.4
        sample 1001000 7 3 1000 1 0.1
        sample 1002000 8 1 1000 0.5 0.1
        sample 1003000 8 1 1000 0.3333333333333333 0.15000000000000002
        sample 1004000 8 1 1000 0.25 0.2
        borne 1 0.0625
        borne 3 0.0125
        sent 7 1000000 1
        answered 7 1001000 0.1
        sent 8 1001000 0.2
        sent 8 1002000 0.30000000000000004
        sent 8 1003000 0.4
        answered 8 1002000 0.2
        answered 8 1003000 0.30000000000000004
        answered 8 1004000 0.4
    "#]]
    .assert_eq(&text);

    let mut next = two_endpoints();
    next.now = harness.now;
    // A short run writes no line of this kind.
    snapshot::read(&format!("{text}floor 3 1.5\n"), harness.now, &mut next.balancer.learned_state());
    expect![[r#"
        hint 0.1
        hint 0.2
        hint 0.30000000000000004
        hint 0.4
        floor 3 1.5
        sample 1001000 7 3 1000 1 0.1
        sample 1002000 8 1 1000 0.5 0.1
        sample 1003000 8 1 1000 0.3333333333333333 0.15000000000000002
        sample 1004000 8 1 1000 0.25 0.2
        borne 1 0.0625
        borne 3 0.0125
        sent 7 1000000 1
        answered 7 1001000 0.1
        sent 8 1001000 0.2
        sent 8 1002000 0.30000000000000004
        sent 8 1003000 0.4
        answered 8 1002000 0.2
        answered 8 1003000 0.30000000000000004
        answered 8 1004000 0.4
    "#]]
    .assert_eq(&write_snapshot(&mut next));
}
