//! Tests the stall detector: input that is read after a stall is dated to the beginning of the stall until
//! all input that had arrived by its end has been read.

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy_balancer::runtime::stall_detector::StallDetector;

/// Detects requests that arrive while the process is stopped and get their whole timeout again.
#[test]
fn reads_after_a_stall_are_dated_to_its_beginning() {
    let mut detector = StallDetector::new(Timestamp(0));
    assert_eq!(
        (
            detector.tick(Timestamp(500), Timestamp(0)),
            detector.earliest_arrival(Timestamp(600), Timestamp(0))
        ),
        (None, Timestamp(600))
    );
    // The process stops at 1,000. One read comes before the tick that records the stall, and one after it.
    assert_eq!(detector.tick(Timestamp(1_000), Timestamp(900)), None);
    assert_eq!(detector.earliest_arrival(Timestamp(21_000), Timestamp(900)), Timestamp(1_000));
    assert_eq!(detector.tick(Timestamp(21_001), Timestamp(900)), Some(Ticks(20_001)));
    assert_eq!(detector.earliest_arrival(Timestamp(21_100), Timestamp(900)), Timestamp(1_000));
    for at in (21_500..=23_500).step_by(500) {
        assert_eq!(detector.tick(Timestamp(at), Timestamp(900)), None);
    }
    // All input that had arrived by the end of the stall has been read.
    assert_eq!(detector.earliest_arrival(Timestamp(23_600), Timestamp(23_550)), Timestamp(23_600));
    // A gap below the threshold does not count as a stall.
    assert_eq!(
        (
            detector.tick(Timestamp(28_400), Timestamp(23_550)),
            detector.earliest_arrival(Timestamp(28_500), Timestamp(23_550))
        ),
        (None, Timestamp(28_500))
    );
}

/// Detects a backlog that takes seconds to read and is dated to the time of each read.
#[test]
fn long_backlog_is_dated_to_the_beginning_of_the_stall() {
    let mut detector = StallDetector::new(Timestamp(0));
    detector.tick(Timestamp(20_000), Timestamp(0));
    for at in (20_500..=60_000).step_by(500) {
        detector.tick(Timestamp(at), Timestamp(19_999));
        // Input that had arrived by the end of the stall is accepted and not read yet.
        assert_eq!(detector.earliest_arrival(Timestamp(at + 1), Timestamp(19_999)), Timestamp(0), "{at}");
    }
    assert_eq!(detector.earliest_arrival(Timestamp(60_100), Timestamp(20_000)), Timestamp(60_100));
    // The stall is over once all its input has been read, even if an earlier time is passed later.
    assert_eq!(detector.earliest_arrival(Timestamp(60_200), Timestamp(0)), Timestamp(60_200));
}

/// Detects input from before a first stall that gets the start of a second one as its arrival time, because no tick
/// has recorded the second yet: its request would be sent after its deadline.
#[test]
fn input_from_before_two_stalls_arrived_before_the_first() {
    let mut detector = StallDetector::new(Timestamp(0));
    detector.tick(Timestamp(500), Timestamp(400));
    detector.tick(Timestamp(10_000), Timestamp(400));
    // Since the first stall the process was stopped again before it had read everything.
    let unread_since = Timestamp(400);
    assert_eq!(detector.earliest_arrival(Timestamp(16_000), unread_since), Timestamp(500));
    // Once everything of before the end of the first stall is read, only the second counts.
    assert_eq!(detector.earliest_arrival(Timestamp(16_000), Timestamp(10_000)), Timestamp(10_000));
}
