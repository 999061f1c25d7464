//! Defines the manual overrides, which are the endpoints that operators have ejected or recently restored,
//! and the text in which they are stored for the next process of this balancer.

use std::collections::{BTreeMap, BTreeSet};

use doorproxy::ids::Timestamp;
use doorproxy::rng::hash_text;
use doorproxy_fleet_health::operator_overrides::OverrideRegister;

pub use crate::admin::store::{FileStore, TextStore};

/// Limits the file; fleets have fewer endpoints than this.
const MAX_OVERRIDES: usize = 4096;

/// Holds which endpoints are ejected, and when others were restored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ManualOverrides {
    ejected: BTreeSet<String>,
    restored_at: BTreeMap<String, Timestamp>,
}

/// Holds what was read from a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedOverrides {
    /// Holds the overrides of all intact lines.
    pub overrides: ManualOverrides,
    /// Counts the damaged lines.
    pub damaged_lines: usize,
}

impl ManualOverrides {
    /// Returns whether an endpoint is ejected.
    pub fn is_ejected(&self, name: &str) -> bool {
        self.ejected.contains(name)
    }

    /// Returns when an endpoint was restored, if it was recently. Its process started at that time or before.
    pub fn restored_since(&self, name: &str) -> Option<Timestamp> {
        self.restored_at.get(name).copied()
    }

    /// Ejects an endpoint. Returns false if the maximum number of endpoints is ejected already.
    pub fn eject(&mut self, name: &str) -> bool {
        self.restored_at.remove(name);
        let has_capacity = self.ejected.len() < MAX_OVERRIDES || self.ejected.contains(name);
        if has_capacity {
            self.ejected.insert(name.to_string());
        }
        has_capacity
    }

    /// Restores an endpoint, and forgets those that were restored by `warm_since`, since they have warmed up.
    pub fn restore(&mut self, name: &str, now: Timestamp, warm_since: Timestamp) {
        self.restored_at.retain(|_, at| *at > warm_since);
        if self.ejected.remove(name) {
            self.restored_at.insert(name.to_string(), now);
        }
    }

    /// Adds the overrides for the whole fleet. Endpoints that are ejected on this balancer stay ejected.
    pub fn merge_fleet_overrides(&mut self, register: &OverrideRegister, warm_since: Timestamp) {
        for (name, registered) in register.iter() {
            let at = registered.learned_at;
            if registered.value.is_ejected {
                self.ejected.insert(name.clone());
            } else if at > warm_since && !self.is_ejected(name) {
                let since = self.restored_at.entry(name.clone()).or_insert(at);
                *since = at.max(*since);
            }
        }
    }

    /// Returns the names of all endpoints whose override differs.
    pub fn changed_names(&self, other: &ManualOverrides) -> BTreeSet<String> {
        let names = [self, other]
            .into_iter()
            .flat_map(|overrides| overrides.ejected.iter().chain(overrides.restored_at.keys()));
        let differs = |name: &&String| {
            self.is_ejected(name) != other.is_ejected(name)
                || self.restored_since(name) != other.restored_since(name)
        };
        names.filter(differs).cloned().collect()
    }

    /// Reads the intact lines of a file. Each line has a checksum, since a truncated line could eject another
    /// endpoint whose name is a prefix of the written one.
    pub fn decode(text: &str) -> DecodedOverrides {
        let mut overrides = ManualOverrides::default();
        let mut damaged_lines = 0;
        for line in text.split_inclusive('\n').filter(|line| !line.trim().is_empty()) {
            if overrides.decode_line(line).is_none() {
                damaged_lines += 1;
            }
        }
        DecodedOverrides { overrides, damaged_lines }
    }

    fn decode_line(&mut self, line: &str) -> Option<()> {
        let (entry, sum) = line.strip_suffix('\n')?.rsplit_once(' ')?;
        if sum != checksum(entry) {
            return None;
        }
        let fields: Vec<&str> = entry.split(' ').collect();
        match &fields[..] {
            ["out", name] => {
                self.eject(name);
            }
            ["back", at, name] if self.restored_at.len() < MAX_OVERRIDES => {
                let at = Timestamp(at.parse().ok()?);
                self.restored_at.insert(name.to_string(), at);
            }
            _ => return None,
        }
        Some(())
    }

    /// Returns the text of the file.
    pub fn encode(&self) -> String {
        let ejected = self.ejected.iter().map(|name| format!("out {name}"));
        let restored = self.restored_at.iter().map(|(name, at)| format!("back {} {name}", at.0));
        ejected.chain(restored).map(|entry| format!("{entry} {}\n", checksum(&entry))).collect()
    }
}

fn checksum(entry: &str) -> String {
    format!("{:08x}", hash_text(entry) as u32)
}
