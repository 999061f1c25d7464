//! Counts by name.

use std::collections::BTreeMap;

/// The number of occurrences under each name.
#[derive(Clone, Default)]
pub struct Counters(pub BTreeMap<String, u64>);

impl Counters {
    /// Adds 1 to the count of a name.
    pub fn increment(&mut self, name: &str) {
        self.add(name, 1);
    }

    /// Adds `count` to the count of a name.
    pub fn add(&mut self, name: &str, count: u64) {
        match self.0.get_mut(name) {
            Some(total) => *total += count,
            None => drop(self.0.insert(name.to_string(), count)),
        }
    }

    /// Adds all counts of another `Counters`.
    pub fn add_all(&mut self, other: &Counters) {
        for (name, count) in &other.0 {
            self.add(name, *count);
        }
    }
}
