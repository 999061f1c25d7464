//! The register of all overrides that a balancer knows.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use doorproxy::ids::Timestamp;
use doorproxy::rng::{hash_text, mix};
use doorproxy_membership::message::NodeId;
use thiserror::Error;

use super::override_entry::{MAX_NAME_BYTES, Override, OverrideEntry, is_valid_name};
use crate::byte_budget::ByteBudget;

/// Limits the entries of a register. With that many ejected endpoints, no further one can be ejected.
/// Otherwise the entries of restored endpoints are evicted, those learned first before the others.
pub const MAX_OVERRIDES: usize = 4096;
/// Sets the number of buckets, by endpoint name, in which registers are compared. After a partition, only
/// entries of buckets that differ are sent.
pub const DIGEST_BUCKETS: usize = 16;

/// Holds one digest per bucket. Registers with the same overrides have the same digests.
pub type Digests = [u64; DIGEST_BUCKETS];

/// Says why an override can't be set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OverrideError {
    /// The register holds [`MAX_OVERRIDES`] ejected endpoints already.
    #[error("{MAX_OVERRIDES} endpoints are already ejected, which is the maximum")]
    Full,
    /// The name is empty, too long for a datagram, or contains white space or control characters.
    #[error(
        "endpoint name is empty, over {MAX_NAME_BYTES} bytes, or contains white space or control characters"
    )]
    InvalidName,
}

/// Holds an override and the time when this process learned of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisteredOverride {
    /// Holds the override.
    pub value: Override,
    /// Holds the time when this process learned of the override.
    pub learned_at: Timestamp,
}

/// Holds all overrides that a balancer knows, by endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OverrideRegister {
    entries: BTreeMap<String, RegisteredOverride>,
    revision: u64,
}

fn digest_bucket(name: &str) -> usize {
    (hash_text(name) % DIGEST_BUCKETS as u64) as usize
}

impl OverrideRegister {
    /// Sets an override on behalf of an operator at the balancer `author`. An override that holds already is
    /// not changed.
    ///
    /// # Errors
    /// Returns [`OverrideError::InvalidName`] for an invalid name, and [`OverrideError::Full`] for an
    /// ejection above the limit.
    pub fn set(
        &mut self,
        now: Timestamp,
        name: &str,
        is_ejected: bool,
        author: NodeId,
    ) -> Result<Override, OverrideError> {
        if !is_valid_name(name) {
            return Err(OverrideError::InvalidName);
        }
        let known = self.get(name);
        if let Some(known) = known.filter(|known| known.is_ejected == is_ejected) {
            return Ok(known);
        }
        if is_ejected && !self.can_store_ejection() {
            return Err(OverrideError::Full);
        }
        let version = known.map_or(0, |known| known.version) + 1;
        let value = Override { version, is_ejected, author };
        self.insert(now, name, value);
        Ok(value)
    }

    /// Takes over an entry of another balancer if its override is greater than the known one. Returns whether
    /// it did.
    pub fn merge(&mut self, now: Timestamp, entry: &OverrideEntry) -> bool {
        let OverrideEntry { endpoint, value } = entry;
        let known = self.get(endpoint);
        let is_newer = known.is_none_or(|known| *value > known);
        let can_store = known.is_some() || !value.is_ejected || self.can_store_ejection();
        let is_merged = is_newer && can_store && is_valid_name(endpoint);
        if is_merged {
            self.insert(now, endpoint, *value);
        }
        is_merged
    }

    /// Merges each of the entries.
    pub fn merge_all(&mut self, now: Timestamp, entries: &[OverrideEntry]) {
        for entry in entries {
            self.merge(now, entry);
        }
    }

    fn can_store_ejection(&self) -> bool {
        self.ejected().count() < MAX_OVERRIDES
    }

    fn insert(&mut self, now: Timestamp, name: &str, value: Override) {
        self.entries.insert(name.to_string(), RegisteredOverride { value, learned_at: now });
        self.revision += 1;
        while self.entries.len() > MAX_OVERRIDES {
            let restored = self.entries.iter().filter(|(_, registered)| !registered.value.is_ejected);
            let oldest = restored.min_by_key(|(_, registered)| registered.learned_at);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else { return };
            self.entries.remove(&oldest);
        }
    }

    /// Returns a number that grows with every change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all overrides in the order of the endpoints' names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, RegisteredOverride)> {
        self.entries.iter().map(|(name, registered)| (name, *registered))
    }

    /// Returns the names of the ejected endpoints.
    pub fn ejected(&self) -> impl Iterator<Item = &String> {
        self.entries.iter().filter(|(_, registered)| registered.value.is_ejected).map(|(name, _)| name)
    }

    /// Returns the override of an endpoint.
    pub fn get(&self, name: &str) -> Option<Override> {
        self.entries.get(name).map(|registered| registered.value)
    }

    /// Returns the digests of all buckets.
    pub fn digests(&self) -> Digests {
        let mut digests: Digests = [0; DIGEST_BUCKETS];
        for (name, RegisteredOverride { value, .. }) in &self.entries {
            let digest = &mut digests[digest_bucket(name)];
            let value = mix(value.version ^ value.author.0) ^ u64::from(value.is_ejected);
            *digest = digest.wrapping_add(mix(hash_text(name) ^ mix(value)));
        }
        digests
    }

    /// Returns entries of these buckets that together take at most `max_bytes`. The entries start at the
    /// first name after `after`, continue from the smallest name after the largest, and end at `after`.
    pub fn entries_in_buckets(
        &self,
        buckets: &BTreeSet<usize>,
        after: &str,
        max_bytes: usize,
    ) -> Vec<OverrideEntry> {
        let later = self.entries.range((Bound::Excluded(after.to_string()), Bound::Unbounded));
        let earlier = self.entries.range(..=after.to_string());
        let selected = later.chain(earlier).filter(|(name, _)| buckets.contains(&digest_bucket(name)));
        let entries = selected
            .map(|(name, registered)| OverrideEntry { endpoint: name.clone(), value: registered.value });
        let mut budget = ByteBudget::new(max_bytes);
        entries.take_while(|entry| budget.try_take(entry.max_encoded_bytes())).collect()
    }
}
