//! Bounded records of recent measurements.

use std::collections::VecDeque;

use crate::ids::{Ticks, Timestamp};

/// At most `N` samples. A new sample replaces the oldest.
pub struct SampleWindow<T, const N: usize>(VecDeque<T>);

impl<T: Copy, const N: usize> Default for SampleWindow<T, N> {
    fn default() -> Self {
        SampleWindow(VecDeque::with_capacity(N))
    }
}

impl<T: Copy, const N: usize> SampleWindow<T, N> {
    pub fn put(&mut self, sample: T) {
        if self.0.len() == N {
            self.0.pop_front();
        }
        self.0.push_back(sample);
    }

    pub fn oldest(&self) -> Option<&T> {
        self.0.front()
    }

    pub fn drop_oldest(&mut self) {
        self.0.pop_front();
    }

    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &T> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the quantile `fraction` (0..=1) of `value` over the samples for which it is `Some`, or `None`
    /// if there are none.
    pub fn quantile(&self, fraction: f64, value: impl Fn(&T) -> Option<f64>) -> Option<f64> {
        let mut values = [0.0; N];
        let mut len = 0;
        for found in self.0.iter().filter_map(value) {
            values[len] = found;
            len += 1;
        }
        let last = len.checked_sub(1)?;
        let rank = (last as f64 * fraction).round() as usize;
        Some(*values[..len].select_nth_unstable_by(rank, f64::total_cmp).1)
    }
}

/// Amounts of work in core seconds with the time of each, oldest first.
#[derive(Default)]
pub struct WorkLog(VecDeque<(Timestamp, f64)>);

/// The entries of a [`WorkLog`] within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkTotal {
    pub count: usize,
    /// The sum of the work in core seconds.
    pub work: f64,
}

impl WorkLog {
    /// Adds an amount and drops entries older than `retention`.
    pub fn put(&mut self, now: Timestamp, retention: Ticks, work: f64) {
        while self.0.pop_front_if(|(at, _)| now - *at >= retention).is_some() {}
        self.0.push_back((now, work));
    }

    /// Returns the time of the latest entry.
    pub fn last(&self) -> Option<Timestamp> {
        self.0.back().map(|&(at, _)| at)
    }

    pub fn since(&self, earliest: Timestamp) -> impl Iterator<Item = (Timestamp, f64)> {
        self.0.iter().copied().filter(move |(at, _)| *at >= earliest)
    }

    /// Returns the total within the window that ends now.
    pub fn within(&self, now: Timestamp, window: Ticks) -> WorkTotal {
        let recent = self.0.iter().rev().take_while(|(at, _)| now - *at < window);
        recent.fold(WorkTotal::default(), |total, (_, work)| WorkTotal {
            count: total.count + 1,
            work: total.work + work,
        })
    }
}
