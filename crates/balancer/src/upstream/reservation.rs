//! Keeps a pooled connection from being used while the response on it is in doubt.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use tokio::sync::Notify;

use crate::upstream::stream::ExchangeState;

const FREE: u8 = 0;
const RESERVED: u8 = 1;
const ABANDONED: u8 = 2;

/// States whether a connection may be used for another request.
#[derive(Default)]
pub(super) struct ReservationState {
    state: AtomicU8,
    abandoned: Notify,
}

impl ReservationState {
    /// Returns whether the connection is kept for the attempt that made the latest request on it.
    pub(super) fn is_reserved(&self) -> bool {
        self.state.load(Ordering::Relaxed) == RESERVED
    }

    fn is_abandoned(&self) -> bool {
        self.state.load(Ordering::Relaxed) == ABANDONED
    }

    /// Waits until that attempt ends in doubt. The connection is to be closed at once: an attempt whose body
    /// is incomplete then counts as one that never ran, so the rest may not be sent.
    pub(super) async fn wait_until_abandoned(&self) {
        // This is created before the state is read because `notify_waiters` only wakes existing waiters.
        let abandoned = self.abandoned.notified();
        if !self.is_abandoned() {
            abandoned.await;
        }
    }
}

/// Reserves a connection. Unless the reservation is cancelled, the connection is closed.
pub(super) struct Reservation(Arc<ExchangeState>);

impl Reservation {
    pub(super) fn new(exchange_state: Arc<ExchangeState>) -> Reservation {
        exchange_state.reservation.state.store(RESERVED, Ordering::Relaxed);
        Reservation(exchange_state)
    }

    pub(super) fn exchange_state(&self) -> &Arc<ExchangeState> {
        &self.0
    }

    /// Allows the connection to be used again.
    pub(super) fn cancel(self) {
        self.0.reservation.state.store(FREE, Ordering::Relaxed);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reservation = &self.0.reservation;
        if reservation.is_reserved() {
            reservation.state.store(ABANDONED, Ordering::Relaxed);
            reservation.abandoned.notify_waiters();
        }
    }
}
