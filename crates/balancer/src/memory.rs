//! Bounds the memory that buffered requests and responses of all connections hold together.
//!
//! Each buffer is bounded by itself, but hundreds of them are not: what grows with the bytes of a connection is
//! reserved here first. Where a reservation fails, new input is refused or not read yet, and a response, which must
//! not be lost, is forwarded in smaller pieces instead.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use bytes::Bytes;

/// The memory limit of a process whose configuration has none, in megabytes.
pub const DEFAULT_LIMIT_MB: usize = 192;
/// The least memory limit that is accepted, in megabytes.
pub const MIN_LIMIT_MB: usize = 16;
/// Maximum length of one read of a body while memory is scarce, in bytes. The HTTP library's read buffers grow only
/// when a read fills them.
pub const SCARCE_READ_BYTES: usize = (8 << 10) - 1;
/// Memory of the buffers of a streamed body while memory is scarce, in bytes.
const SCARCE_STREAM_BYTES: usize = 32 << 10;
/// Length of a buffer that needs no reservation, in bytes: that of most requests.
const FREE_BUFFER_BYTES: usize = 4 << 10;
const BYTES_PER_MB: usize = 1 << 20;
/// Memory of the program before it serves, with a list of some hundreds of endpoints.
const BASE_BYTES: usize = 8 << 20;
/// Memory of a connection with a small request, without what is reserved here.
const SOCKET_BYTES: usize = 24 << 10;
/// Fraction of the limit that is left to the fragmentation of the heap.
const MARGIN_DIVISOR: usize = 4;
/// Fraction of the limit that can be reserved, however many connections there are.
const MIN_BUDGET_DIVISOR: usize = 16;
/// Fraction of the limit that connections may take.
const SOCKETS_DIVISOR: usize = 2;
/// Fraction of the limit that is the maximum size of a read buffer.
const READ_BUFFER_DIVISOR: usize = 2048;
const MIN_READ_BUFFER_BYTES: usize = 16 << 10;
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

/// Counts the memory that is reserved against a limit. Clones share the count.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<BudgetState>);

#[derive(Debug)]
struct BudgetState {
    process_limit: usize,
    max_sockets: usize,
    /// Maximum number of reserved bytes.
    limit: AtomicUsize,
    reserved: AtomicUsize,
    denials: AtomicU64,
}

impl MemoryBudget {
    /// Creates the budget of a process that may hold `limit_mb` megabytes and `max_sockets` sockets.
    pub fn new(limit_mb: usize, max_sockets: usize) -> MemoryBudget {
        let process_limit = limit_mb.max(MIN_LIMIT_MB) * BYTES_PER_MB;
        let state = BudgetState {
            process_limit,
            max_sockets: max_sockets.min(process_limit / SOCKETS_DIVISOR / SOCKET_BYTES),
            limit: AtomicUsize::new(0),
            reserved: AtomicUsize::new(0),
            denials: AtomicU64::new(0),
        };
        let budget = MemoryBudget(Arc::new(state));
        budget.set_shared(false);
        budget
    }

    /// Changes whether a sibling process shares the limit, which leaves half of it to this one.
    pub fn set_shared(&self, is_shared: bool) {
        let sharers = if is_shared { 2 } else { 1 };
        let limit = self.0.process_limit / sharers;
        let fixed = BASE_BYTES + self.0.max_sockets / sharers * SOCKET_BYTES + limit / MARGIN_DIVISOR;
        let budget = limit.saturating_sub(fixed).max(limit / MIN_BUDGET_DIVISOR);
        self.0.limit.store(budget, Ordering::Relaxed);
    }

    /// Returns how many sockets the process may hold: fewer than configured if the memory does not suffice for them.
    pub fn max_sockets(&self) -> usize {
        self.0.max_sockets
    }

    /// Returns the maximum size of the read buffer of a connection to an endpoint, in bytes.
    pub fn max_read_buffer(&self) -> usize {
        (self.0.process_limit / READ_BUFFER_DIVISOR).clamp(MIN_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES)
    }

    /// Returns whether more than half of the budget is reserved.
    pub fn is_scarce(&self) -> bool {
        self.0.reserved.load(Ordering::Relaxed) > self.0.limit.load(Ordering::Relaxed) / 2
    }

    /// Returns the number of reserved bytes.
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation, which can grow.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Reserves `bytes` bytes; `None` if the limit does not allow it.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.reservation();
        reservation.try_grow_to(bytes).then_some(reservation)
    }

    /// Reserves `bytes` bytes even beyond the limit, for what can't be refused. Others get less then.
    pub fn reserve(&self, bytes: usize) -> MemoryReservation {
        self.0.reserved.fetch_add(bytes, Ordering::Relaxed);
        MemoryReservation { budget: self.clone(), bytes }
    }

    /// Reserves the memory that the buffers of a streamed body take, even beyond the limit.
    pub fn reserve_stream(&self) -> MemoryReservation {
        self.reserve(if self.is_scarce() { SCARCE_STREAM_BYTES } else { 4 * self.max_read_buffer() })
    }

    /// Returns how many reservations have failed since the start.
    pub fn denials(&self) -> u64 {
        self.0.denials.load(Ordering::Relaxed)
    }

    fn try_add(&self, bytes: usize) -> bool {
        let limit = self.0.limit.load(Ordering::Relaxed);
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|sum| *sum <= limit);
        let added = self.0.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        if !added {
            self.0.denials.fetch_add(1, Ordering::Relaxed);
        }
        added
    }
}

/// Holds reserved memory until it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Grows the reservation to at least `bytes` bytes. Returns false, and changes nothing, if the limit does not
    /// allow it.
    #[must_use]
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        let has_grown = missing == 0 || self.budget.try_add(missing);
        if has_grown {
            self.bytes += missing;
        }
        has_grown
    }

    /// Grows the reservation for a buffer of `length` bytes, whose capacity doubles as it grows. Returns false, and
    /// changes nothing, if the limit does not allow it.
    #[must_use]
    pub fn try_grow_for_buffer(&mut self, length: usize) -> bool {
        length <= FREE_BUFFER_BYTES || self.try_grow_to(length.next_power_of_two())
    }

    /// Releases all of the reserved memory.
    pub fn release(&mut self) {
        self.budget.0.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
    }

    /// Returns the same bytes, which hold the reservation until their last clone is dropped.
    pub fn hold_with(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.release();
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: MemoryReservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
