//! Remembers the ids of requests that are open or may have run, so that none of them is sent a second time. An endpoint
//! would take the second one for another request, and run it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::hash_text;

use crate::http::request_fields::RequestError;
use crate::sync::lock;

/// Time for which the id of a request that may have run is remembered: longer than any client waits.
const RETENTION: Ticks = Ticks(600_000);
/// Maximum number of remembered ids; beyond it the oldest is forgotten.
const MAX_REMEMBERED: usize = 16_384;

/// Holds the ids of the requests of one process.
#[derive(Clone, Default)]
pub(super) struct RequestIds(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    open: BTreeSet<String>,
    /// Hashes of the ids of requests that may have run, with the number of times that each is in `order`.
    sent: BTreeMap<u64, u32>,
    /// The same hashes in the order in which they were added, with the times.
    order: VecDeque<(Timestamp, u64)>,
}

impl State {
    fn add_sent(&mut self, now: Timestamp, hash: u64) {
        self.forget_old(now);
        *self.sent.entry(hash).or_default() += 1;
        self.order.push_back((now, hash));
    }

    fn forget_old(&mut self, now: Timestamp) {
        while let Some(&(added_at, hash)) = self.order.front() {
            if self.order.len() < MAX_REMEMBERED && now - added_at < RETENTION {
                return;
            }
            self.order.pop_front();
            self.release(hash);
        }
    }

    fn release(&mut self, hash: u64) {
        if let Some(count) = self.sent.get_mut(&hash) {
            *count -= 1;
            if *count == 0 {
                self.sent.remove(&hash);
            }
        }
    }
}

impl RequestIds {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    /// Reserves the id of a request until the returned guard is dropped. If `is_repeatable`, the request may run any
    /// number of times, and its id may come again.
    ///
    /// # Errors
    ///
    /// Fails if a request with this id is open, or was sent and may not be repeated.
    pub(super) fn open(
        &self,
        now: Timestamp,
        id: &str,
        is_repeatable: bool,
    ) -> Result<OpenRequestId, RequestError> {
        let mut state = self.state();
        state.forget_old(now);
        if !is_repeatable && state.sent.contains_key(&hash_text(id)) {
            return Err(RequestError::MayHaveRun);
        }
        if !state.open.insert(id.to_string()) {
            return Err(RequestError::DuplicateId);
        }
        let has_begun = Arc::default();
        Ok(OpenRequestId { ids: self.clone(), id: id.to_string(), opened_at: now, is_repeatable, has_begun })
    }
}

/// Reserves the id of an open request. When it is dropped, an id whose request may have run is remembered.
pub(super) struct OpenRequestId {
    ids: RequestIds,
    id: String,
    opened_at: Timestamp,
    is_repeatable: bool,
    has_begun: Arc<AtomicBool>,
}

impl OpenRequestId {
    /// Returns the flag that is set once an attempt has begun.
    pub(super) fn begin_flag(&self) -> Arc<AtomicBool> {
        self.has_begun.clone()
    }

    /// Records that no attempt of the request has run.
    pub(super) fn set_never_ran(&self) {
        self.has_begun.store(false, Ordering::Relaxed);
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        let mut state = self.ids.state();
        state.open.remove(&self.id);
        if self.has_begun.load(Ordering::Relaxed) && !self.is_repeatable {
            state.add_sent(self.opened_at, hash_text(&self.id));
        }
    }
}

#[cfg(test)]
mod tests;
