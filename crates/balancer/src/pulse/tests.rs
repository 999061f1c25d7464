//! What is read after a process stood still is dated from before, until all of it has been read.

use super::*;

/// Guards against ops that came to a stopped process and get their whole time anew when it goes on.
#[test]
fn what_is_read_after_standing_still_is_dated_from_its_beginning() {
    let mut pulse = Pulse::start(At(0));
    assert_eq!((pulse.tick(At(500)), pulse.came(At(600), At(0))), (None, At(600)));
    // Stopped at 1,000: a read comes before the tick, and one after it.
    assert_eq!(pulse.tick(At(1_000)), None);
    assert_eq!(pulse.came(At(21_000), At(900)), At(1_000));
    assert_eq!(pulse.tick(At(21_001)), Some(Span(20_001)));
    assert_eq!(pulse.came(At(21_100), At(900)), At(1_000));
    for at in (21_500..=23_500).step_by(500) {
        assert_eq!(pulse.tick(At(at)), None);
    }
    // All that was there as the tick came has been read.
    assert_eq!(pulse.came(At(23_600), At(23_550)), At(23_600));
    // A few ticks late is busy, not still.
    assert_eq!((pulse.tick(At(28_400)), pulse.came(At(28_500), At(23_550))), (None, At(28_500)));
}

/// Guards against a backlog that takes long to read: on a machine with all cores busy the last of it was read seconds after
/// the process woke, and was dated as if it had just come.
#[test]
fn however_long_the_backlog_takes_it_came_before() {
    let mut pulse = Pulse::start(At(0));
    pulse.tick(At(20_000));
    for at in (20_500..=60_000).step_by(500) {
        pulse.tick(At(at));
        // What had come by the wakening itself has been read, and not yet what was accepted of it.
        assert_eq!(pulse.came(At(at + 1), At(19_999)), At(0), "{at}");
    }
    assert_eq!(pulse.came(At(60_100), At(20_000)), At(60_100));
    // What was seen once holds: another process's word of the past changes nothing.
    assert_eq!(pulse.came(At(60_200), At(0)), At(60_200));
}
