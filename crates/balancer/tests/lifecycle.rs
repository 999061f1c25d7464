//! Tests the times of a shutdown, which is requested at 0.

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::http::lifecycle::Lifecycle;
use doorproxy_balancer::http::shutdown_times::ShutdownTimes;
use expect_test::expect;

/// The time after the longest timeout at which an operator may kill the process, by the protocol.
const KILL_MARGIN: Ticks = Ticks(7_000);

fn at(milliseconds: i64) -> Timestamp {
    Timestamp(0) + Ticks(milliseconds * 10)
}

/// Prevents that the process exits as soon as it goes on after a stop, before requests that expired meanwhile have
/// their responses.
#[test]
fn stop_at_the_grace_end_leaves_time_for_responses() {
    let mut report = String::new();
    for handled_at in [3_000, 3_050, 3_400, 5_000] {
        let times = ShutdownTimes::with_grace_period(Ticks(30_000), Ticks::ZERO);
        let lifecycle = Lifecycle::new(times);
        lifecycle.on_shutdown_requested(at(0));
        assert!(!lifecycle.is_past_final_flush(at(10_000)), "the end of the grace period is not handled");
        lifecycle.on_grace_end_handled(at(handled_at));
        let exit = (handled_at..).find(|&time| lifecycle.is_past_final_flush(at(time))).unwrap();
        report += &format!("handled at {handled_at} ms: exit at {exit} ms\n");
    }
    expect![[r#"
        handled at 3000 ms: exit at 3350 ms
        handled at 3050 ms: exit at 3350 ms
        handled at 3400 ms: exit at 3600 ms
        handled at 5000 ms: exit at 5200 ms
    "#]]
    .assert_eq(&report);
}

/// Prevents that the process is killed before it has ended by itself, whatever the longest timeout is.
#[test]
fn exit_comes_before_the_operator_may_kill() {
    for timeout in [Ticks(10), Ticks(10_000), Ticks(30_000), Ticks(600_000), Ticks(36_000_000)] {
        let times = ShutdownTimes::for_longest_timeout(timeout);
        assert!(times.serving <= times.grace && times.grace < times.exit, "{times:?}");
        assert!(times.grace >= timeout, "a request at the time of the signal keeps its time: {times:?}");
        assert!(times.exit < timeout + KILL_MARGIN, "{times:?}");
    }
}

/// Prevents that the end moves once the operator counts the time until it kills the process.
#[test]
fn times_do_not_change_after_the_request() {
    let short = ShutdownTimes::for_longest_timeout(Ticks(10_000));
    let long = ShutdownTimes::for_longest_timeout(Ticks(30_000));
    let lifecycle = Lifecycle::new(short);
    lifecycle.set_shutdown_times(long);
    lifecycle.on_shutdown_requested(at(0));
    lifecycle.set_shutdown_times(short);
    lifecycle.on_shutdown_requested(at(1_000));
    assert!(!lifecycle.is_past_grace_end(at(3_249)));
    assert!(lifecycle.is_past_grace_end(at(3_250)));
}
