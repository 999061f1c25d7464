//! The last few samples of something measured; figures are worked out from them when they are needed.

use std::collections::VecDeque;

use crate::ids::{At, Span};

/// At most `N` samples, the oldest leaving first.
pub struct Ring<T, const N: usize>(VecDeque<T>);

impl<T: Copy, const N: usize> Default for Ring<T, N> {
    fn default() -> Self {
        Ring(VecDeque::with_capacity(N))
    }
}

impl<T: Copy, const N: usize> Ring<T, N> {
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

    pub fn quantile(&self, part: f64, figure: impl Fn(&T) -> Option<f64>) -> Option<f64> {
        let mut figures = [0.0; N];
        let mut len = 0;
        for found in self.0.iter().filter_map(figure) {
            figures[len] = found;
            len += 1;
        }
        let last = len.checked_sub(1)?;
        let place = (last as f64 * part).round() as usize;
        Some(*figures[..len].select_nth_unstable_by(place, f64::total_cmp).1)
    }
}

/// Amounts of work and when they came.
#[derive(Default)]
pub struct Work {
    came: VecDeque<(At, f64)>,
    total: f64,
}

impl Work {
    pub fn put(&mut self, now: At, window: Span, work: f64) {
        while let Some((_, gone)) = self.came.pop_front_if(|(at, _)| now - *at >= window) {
            self.total -= gone;
        }
        if self.came.is_empty() {
            // Subtraction leaves a little behind each time.
            self.total = 0.0;
        }
        self.came.push_back((now, work));
        self.total += work;
    }

    pub fn within(&self, now: At, window: Span) -> f64 {
        let gone = self.came.iter().take_while(|(at, _)| now - *at >= window).map(|(_, work)| work);
        (self.total - gone.sum::<f64>()).max(0.0)
    }
}
