//! Recovery after a restart: what a balancer persists for its next process, how old a restored fact is, what
//! it may still be used for, and which startup stage the process has reached.
//!
//! The crate reads no clock and opens no socket. It accesses files only through a [`Disk`](disk::Disk) that
//! the caller provides.
//!
//! # Safety argument
//!
//! *Directory:* after a crash at any point either the old state or the new one is intact, because the bytes
//! are synced under a temporary name before the rename, and the directory is synced after it. Loading never
//! changes a file. Saving replaces any file with the balancer's name, even a corrupt one, except a file of a
//! newer format version.
//!
//! *Validity:* a restored fact is accessible only through [`Fact::for_use`](validity::Fact::for_use). The
//! table behind it never lets restored knowledge raise a slow-start limit, and never withholds that an
//! endpoint was draining or ejected.

#![warn(missing_docs)]

pub mod age;
pub mod disk;
pub mod learned_state;
pub mod persisted_state;
pub mod stage;
pub mod startup_status;
pub mod state_directory;
pub mod state_file;
pub mod validity;
