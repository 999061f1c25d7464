//! Detects stalls of the process, which was stopped by a signal or did not run on a core for long. Input that
//! is read after a stall may have arrived at any time since the stall began.

use doorproxy::ids::{Ticks, Timestamp};

/// Sets the longest gap between ticks that is not a stall: ten tick intervals, since such gaps occur under
/// load.
const STALL_THRESHOLD: Ticks = Ticks(5_000);

/// Determines the earliest arrival time of input from the gaps between its ticks. It must be ticked many
/// times within `STALL_THRESHOLD`.
#[derive(Clone, Copy, Debug)]
pub struct StallDetector {
    last_tick: Timestamp,
    /// Holds the last stall until all input that had arrived by its end has been read.
    last_stall: Option<Stall>,
}

#[derive(Clone, Copy, Debug)]
struct Stall {
    started_at: Timestamp,
    ended_at: Timestamp,
}

impl StallDetector {
    /// Creates a detector whose last tick is `now`.
    pub fn new(now: Timestamp) -> StallDetector {
        StallDetector { last_tick: now, last_stall: None }
    }

    /// Records a tick, and returns the length of the stall that ends now, if there was one. All input that had
    /// arrived by `caught_up_to` has been read.
    pub fn tick(&mut self, now: Timestamp, caught_up_to: Timestamp) -> Option<Ticks> {
        self.forget_read_input(caught_up_to);
        let gap = now - self.last_tick;
        let is_stall = gap > STALL_THRESHOLD;
        if is_stall {
            // Input from before an earlier stall may not have been read yet, so the two stalls count as one.
            let started_at = self.last_stall.map_or(self.last_tick, |stall| stall.started_at);
            self.last_stall = Some(Stall { started_at, ended_at: now });
        }
        self.last_tick = now;
        is_stall.then_some(gap)
    }

    /// Forgets the last stall if all input that had arrived by `caught_up_to`, and so by its end, has been read.
    fn forget_read_input(&mut self, caught_up_to: Timestamp) {
        self.last_stall = self.last_stall.filter(|stall| caught_up_to < stall.ended_at);
    }

    /// Returns the earliest time at which input that is read now can have arrived, given that all input that
    /// had arrived by `caught_up_to` has been read. A process may take seconds to read a long backlog after a
    /// stall.
    pub fn earliest_arrival(&mut self, now: Timestamp, caught_up_to: Timestamp) -> Timestamp {
        self.forget_read_input(caught_up_to);
        if let Some(stall) = self.last_stall {
            return stall.started_at;
        }
        // A stall may have ended that no tick has recorded yet.
        if now - self.last_tick > STALL_THRESHOLD { self.last_tick } else { now }
    }
}
