//! Reserves the memory that the head of a request takes while the request is open.

use std::sync::Arc;

use axum::http::request::Parts;

use crate::http::body::BodyError;
use crate::memory::{MemoryBudget, MemoryReservation};

/// Copies of a head that exist at once: in the buffers of both connections, and as fields.
const COPIES: usize = 4;
/// Memory of one field in the tables of fields, beside its bytes.
const FIELD_BYTES: usize = 512;
/// Memory that each connection has anyway.
const FREE_BYTES: usize = 8 << 10;

/// Holds the memory of a head for as long as a clone of its extensions exists.
#[derive(Clone)]
struct HeadMemory(#[allow(dead_code, reason = "held for its drop")] Arc<MemoryReservation>);

/// Reserves the memory of a head, until the last clone of the head is dropped. A small head needs none.
///
/// # Errors
///
/// Fails if the memory does not allow it.
pub fn reserve_head(memory: &MemoryBudget, head: &mut Parts) -> Result<(), BodyError> {
    let bytes: usize = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    let estimate = bytes * COPIES + head.headers.len() * FIELD_BYTES;
    if let Some(excess) = estimate.checked_sub(FREE_BYTES) {
        let reservation = memory.try_reserve(excess).ok_or(BodyError::OutOfMemory)?;
        head.extensions.insert(HeadMemory(Arc::new(reservation)));
    }
    Ok(())
}
