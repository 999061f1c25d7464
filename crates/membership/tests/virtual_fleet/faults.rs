//! Injects random faults.

use super::{Event, LinkState, SECOND, SimulatedFleet};

/// Identifies a link by the indices of its sender and its recipient.
pub type Link = (usize, usize);

impl SimulatedFleet {
    /// Injects a random fault, and schedules its end and the next fault.
    pub(super) fn inject_fault(&mut self) {
        let draw = self.rng.next_f64() * self.rng.next_f64();
        let duration = ((0.2 + draw * 15.0) * SECOND as f64) as i64;
        let ends_at = self.now + duration;
        match self.random_index(9) {
            0 => self.crash_one(ends_at),
            1 => self.crash_one(self.now + 1 + duration / 50),
            2 => self.pause_one(ends_at),
            3 => self.crash_several(duration),
            4 => self.delay_one(ends_at + 15 * SECOND),
            5 => self.partition(ends_at, Partition::TwoWay),
            6 => self.partition(ends_at, Partition::OneWay),
            7 => self.partition(ends_at, Partition::Stalled),
            _ => self.partition(ends_at, Partition::Ring),
        }
        if (self.now as f64) < self.case.fault_phase_s * SECOND as f64 {
            let pause = (self.rng.next_f64() * 4.0 * SECOND as f64) as i64;
            self.schedule(self.now + pause, Event::Fault);
        }
    }

    fn crash_one(&mut self, restart_at: i64) {
        let index = self.random_index(self.nodes.len());
        self.kill(index);
        self.schedule(restart_at, Event::Restart(index));
    }

    fn pause_one(&mut self, resume_at: i64) {
        let index = self.random_index(self.nodes.len());
        self.nodes[index].is_paused = true;
        self.schedule(resume_at, Event::Resume(index));
    }

    /// Crashes several nodes at once. They restart after a fifteenth of the duration, which is at most about
    /// a second, or after the whole duration.
    fn crash_several(&mut self, duration: i64) {
        let crash_ratio = self.rng.next_f64();
        let is_short = self.rng.next_f64() < 0.5;
        let restart_at = self.now + if is_short { duration / 15 } else { duration };
        for index in 0..self.nodes.len() {
            if self.rng.next_f64() < crash_ratio {
                self.kill(index);
                self.schedule(restart_at, Event::Restart(index));
            }
        }
    }

    /// Delays all messages that one node sends, or all that it receives, by up to 12 seconds. The fault drops
    /// none of them.
    fn delay_one(&mut self, ends_at: i64) {
        let node = self.random_index(self.nodes.len());
        let is_sender = self.rng.next_f64() < 0.5;
        let delay = (self.rng.next_f64() * 12.0 * SECOND as f64) as i64;
        let others = (0..self.nodes.len()).filter(|&other| other != node);
        let links = others.map(|other| if is_sender { (node, other) } else { (other, node) });
        let links = links.filter(|&(from, to)| self.link(from, to) == LinkState::Healthy).collect();
        self.impair(links, LinkState::Delayed(delay), ends_at);
    }

    fn partition(&mut self, ends_at: i64, partition: Partition) {
        let split = self.rng.next_f64();
        let sides: Vec<bool> = (0..self.nodes.len()).map(|_| self.rng.next_f64() < split).collect();
        let count = self.nodes.len();
        let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        let is_affected = |&(from, to): &Link| {
            partition.separates(&sides, from, to) && from != to && self.link(from, to) == LinkState::Healthy
        };
        let links = links.filter(is_affected).collect();
        self.impair(links, partition.link_state(), ends_at);
    }

    fn impair(&mut self, links: Vec<Link>, state: LinkState, ends_at: i64) {
        self.links.extend(links.iter().map(|&link| (link, state)));
        self.schedule(ends_at, Event::FaultOver(links));
    }

    pub(super) fn end_fault(&mut self, links: &[Link]) {
        self.links.retain(|link, _| !links.contains(link));
        for (from, to, message) in std::mem::take(&mut self.stalled_messages) {
            if self.link(from, to) == LinkState::Stalled {
                self.stalled_messages.push((from, to, message));
            } else {
                let at = self.now + self.random_index(50) as i64;
                self.schedule(at, Event::Deliver { to, from, message });
            }
        }
    }
}

#[derive(Clone, Copy)]
enum Partition {
    TwoWay,
    /// Only the messages of one side are lost.
    OneWay,
    /// Messages are delayed until the partition ends.
    Stalled,
    /// Each node receives messages only from the node before it.
    Ring,
}

impl Partition {
    fn link_state(self) -> LinkState {
        match self {
            Partition::Stalled => LinkState::Stalled,
            Partition::TwoWay | Partition::OneWay | Partition::Ring => LinkState::Cut,
        }
    }

    fn separates(self, sides: &[bool], from: usize, to: usize) -> bool {
        match self {
            Partition::TwoWay | Partition::Stalled => sides[from] != sides[to],
            Partition::OneWay => sides[from] && !sides[to],
            Partition::Ring => (from + 1) % sides.len() != to,
        }
    }
}
