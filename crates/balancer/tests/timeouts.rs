//! Tests the timeouts of calls whose input may be read late.

#[allow(dead_code, reason = "these tests need no streams")]
mod common;

use std::future::pending;
use std::time::Duration;

use common::TestRuntime;
use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::runtime::Runtime;

const DEADLINE: Timestamp = Timestamp(10_000);

/// Starts a runtime whose event loop never reads all input.
fn start_saturated() -> TestRuntime {
    let mut runtime = TestRuntime::start();
    runtime.caught_up_to = Some(Timestamp(0));
    runtime
}

/// Prevents that a call to a service which never responds waits for ever because the event loop is saturated.
#[tokio::test(start_paused = true)]
async fn call_times_out_though_the_event_loop_never_reads_all_input() {
    let runtime = start_saturated();
    assert_eq!(runtime.timeout_at(DEADLINE, pending::<()>()).await, None);
    let late = runtime.now() - DEADLINE;
    assert!((Ticks(3_000)..Ticks(4_000)).contains(&late), "{late:?}");
}

/// Prevents that a call waits past its deadline though all input has been read.
#[tokio::test(start_paused = true)]
async fn call_times_out_at_its_deadline() {
    let runtime = TestRuntime::start();
    assert_eq!(runtime.timeout_at(DEADLINE, pending::<()>()).await, None);
    let late = runtime.now() - DEADLINE;
    assert!(late < Ticks(50), "{late:?}");
}

/// Prevents that a result is dropped whose input came in time and is read just after the deadline.
#[tokio::test(start_paused = true)]
async fn result_that_is_read_late_counts() {
    let runtime = start_saturated();
    let call = tokio::time::sleep(Duration::from_millis(1100));
    assert_eq!(runtime.timeout_at(DEADLINE, call).await, Some(()));
}
