//! The bound on the memory of all buffers.

use bytes::Bytes;
use doorproxy_balancer::memory::MemoryBudget;

const MIB: usize = 1 << 20;

/// Returns how much can be reserved now.
fn available(budget: &MemoryBudget) -> usize {
    let mut reservation = budget.reservation();
    let mut bytes = 0;
    while reservation.try_grow_to(bytes + (64 << 10)) {
        bytes += 64 << 10;
    }
    bytes
}

/// Prevents that buffers are given more than the process has beside its connections, or nothing at all.
#[test]
fn budget_leaves_room_for_the_process_and_its_sockets() {
    let sizes = [(32, 1024), (64, 1024), (192, 256), (192, 1024), (2048, 4096)].map(|(limit_mb, sockets)| {
        let budget = MemoryBudget::new(limit_mb, sockets);
        (limit_mb, budget.max_sockets(), available(&budget) / MIB)
    });
    assert_eq!(sizes, [(32, 682, 2), (64, 1024, 16), (192, 256, 130), (192, 1024, 112), (2048, 4096, 1432)]);
}

/// Prevents that two processes of an upgrade together use twice the memory of one.
#[test]
fn shared_budget_is_at_most_half() {
    let budget = MemoryBudget::new(192, 1024);
    let whole = available(&budget);
    budget.set_shared(true);
    assert!(available(&budget) <= whole / 2);
    budget.set_shared(false);
    assert_eq!(available(&budget), whole);
}

/// Prevents that reserved memory is counted for longer or shorter than it is held.
#[test]
fn reservation_lasts_as_long_as_its_bytes() {
    let budget = MemoryBudget::new(192, 1024);
    let mut reservation = budget.reservation();
    assert!(reservation.try_grow_for_buffer(5000));
    assert_eq!(budget.reserved(), 8192);
    let bytes = reservation.hold_with(Bytes::from(vec![0; 5000]));
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(budget.reserved(), 8192);
    drop(part);
    assert_eq!(budget.reserved(), 0);
}

/// Prevents that what can't be refused is lost, or that others get the same memory.
#[test]
fn forced_reservation_leaves_less_to_others() {
    let budget = MemoryBudget::new(192, 1024);
    let whole = available(&budget);
    let forced = budget.reserve(whole + MIB);
    assert!(budget.is_scarce());
    assert_eq!(available(&budget), 0);
    drop(forced);
    assert_eq!((budget.is_scarce(), available(&budget)), (false, whole));
}
