//! Whether this process stood still: stopped by a signal, or without a core for long. What it reads after that may have come at
//! any time since it last moved, and no clock of its own saw it come. It must never date anything later than it came.

use doorproxy::ids::{At, Span};

/// Without a tick for so long the process stood still. Ten ticks: a busy one misses a few, and what it reads then is dated
/// later than it came by less than this.
const STILL: Span = Span(5_000);

/// Ticks many times within [`STILL`].
#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    ticked: At,
    /// The last time that it stood still, from then to then, until all that had come by its end has been read.
    still: Option<(At, At)>,
}

impl Pulse {
    pub fn start(now: At) -> Pulse {
        Pulse { ticked: now, still: None }
    }

    /// For how long the process stood still until now, where it did.
    pub fn tick(&mut self, now: At) -> Option<Span> {
        let gap = now - self.ticked;
        if gap > STILL {
            // What came before an earlier one may not have been read yet.
            let fell = self.still.map_or(self.ticked, |(fell, _)| fell);
            self.still = Some((fell, now));
        }
        self.ticked = now;
        (gap > STILL).then_some(gap)
    }

    /// The earliest time at which what is read now can have come, where all that had come by some time has been read. That it
    /// has is seen, and not guessed by a time: a process that wakes to a full backlog beside others may take seconds for it.
    pub fn came(&mut self, now: At, caught_up: At) -> At {
        if now - self.ticked > STILL {
            // It has woken, and nothing but this read has seen it yet.
            return self.ticked;
        }
        self.still = self.still.filter(|(_, woke)| caught_up < *woke);
        self.still.map_or(now, |(fell, _)| fell)
    }
}

#[cfg(test)]
mod tests;
