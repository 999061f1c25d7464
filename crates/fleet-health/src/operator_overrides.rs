//! Overrides by operators, each of which ejects an endpoint for the whole fleet or restores it.
//!
//! # Safety argument
//!
//! The register is a join-semilattice: the override of each endpoint is the maximum of all that were
//! received, ordered by version, then ejected above restored, then by author. So registers that have received
//! the same overrides are equal, regardless of order and repetition, and no clock is needed. An ejection is
//! never evicted.

mod codec;
mod override_entry;
mod register;

pub(crate) use override_entry::ENTRY_OVERHEAD_BYTES;

pub use codec::DecodedRegister;
pub use override_entry::{MAX_NAME_BYTES, Override, OverrideEntry};
pub use register::{
    DIGEST_BUCKETS, Digests, MAX_OVERRIDES, OverrideError, OverrideRegister, RegisteredOverride,
};
