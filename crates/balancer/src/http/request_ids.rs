//! Remembers the ids of requests that are open or may have run, so that none of them is sent a second time. An endpoint
//! would take the second one for another request, and run it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use doorproxy::ids::{Ticks, Timestamp};
use doorproxy::rng::hash_text;

use crate::handover::{SentId, Siblings};
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
    /// Hashes of the ids of open requests that may not be repeated.
    open_unrepeatable: BTreeSet<u64>,
    /// The other processes of the balancer, under an inherited listener.
    siblings: Option<Arc<dyn Siblings>>,
    /// Whether another process runs, so that ids are shared.
    has_siblings: bool,
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

    fn active_siblings(&self) -> Option<Arc<dyn Siblings>> {
        self.siblings.clone().filter(|_| self.has_siblings)
    }

    /// Applies what the other processes have shared.
    fn read_siblings(&mut self, now: Timestamp) {
        let Some(siblings) = self.active_siblings() else { return };
        for id in siblings.read_sent_ids() {
            if id.may_have_run {
                self.add_sent(now, id.hash);
            } else {
                self.release(id.hash);
            }
        }
    }

    /// Shares an id with the other processes. Where that fails, they don't know of it, which `update_siblings` logs for
    /// later ones.
    fn share(&self, hash: u64, may_have_run: bool) {
        if let Some(siblings) = self.active_siblings() {
            let _ = siblings.share_sent_ids(&[SentId { hash, may_have_run }]);
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

    /// Sets the other processes of the balancer.
    pub(super) fn set_siblings(&self, siblings: Arc<dyn Siblings>) {
        self.state().siblings = Some(siblings);
    }

    /// Shares all ids once another process runs, and applies what the others have shared.
    ///
    /// # Errors
    ///
    /// Fails if the ids can't be shared.
    pub(super) fn update_siblings(
        &self,
        now: Timestamp,
        has_siblings: bool,
        siblings: &dyn Siblings,
    ) -> io::Result<()> {
        let mut state = self.state();
        state.read_siblings(now);
        let had_siblings = std::mem::replace(&mut state.has_siblings, has_siblings);
        if had_siblings && !has_siblings {
            siblings.stop_sharing();
        }
        if had_siblings || !has_siblings {
            return Ok(());
        }
        let hashes = state.sent.keys().chain(&state.open_unrepeatable);
        let ids: Vec<SentId> = hashes.map(|&hash| SentId { hash, may_have_run: true }).collect();
        siblings.share_sent_ids(&ids)
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
        let hash = hash_text(id);
        if !is_repeatable {
            state.read_siblings(now);
            if state.sent.contains_key(&hash) {
                return Err(RequestError::MayHaveRun);
            }
        }
        if !state.open.insert(id.to_string()) {
            return Err(RequestError::DuplicateId);
        }
        if !is_repeatable {
            state.open_unrepeatable.insert(hash);
            state.share(hash, true);
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
        if self.is_repeatable {
            return;
        }
        let hash = hash_text(&self.id);
        state.open_unrepeatable.remove(&hash);
        if self.has_begun.load(Ordering::Relaxed) {
            state.add_sent(self.opened_at, hash);
        } else {
            state.share(hash, false);
        }
    }
}

#[cfg(test)]
mod tests;
