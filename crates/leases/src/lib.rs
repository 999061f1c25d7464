//! Fenced leases for tasks that only one process of a fleet may perform at a time.
//!
//! Each lease is a compare-and-set register that three, five or seven acceptors replicate with a protocol
//! like CASPaxos: a proposer sends *prepare* to all acceptors, collects *promises* from a majority and sends
//! *accept* with the new value. Each side counts the duration of a lease on its own monotonic clock. The
//! state machines perform no I/O and read no clock, so the program, the simulations and the model checker run
//! the same code.
//!
//! # Safety argument
//!
//! Let *L* be the duration of a lease, *d* the largest relative drift between two clocks, and *S* = *L* (1 +
//! *d*)² plus one tick, which [`messages::LeaseRules::duration_with_drift`] computes.
//!
//! *At most one holder.* A majority has accepted the lease of a holder *A*. *A* counts the duration *L* on
//! its own clock from before it sent its accept requests, so it holds the lease for at most *L* (1 + *d*) of
//! true time. Another holder *B* also needs a majority, so both majorities share an acceptor *k*. If *k* has
//! not restarted since it accepted *A*'s value, each of its promises reports *A*'s lease for *S* on its
//! clock, which is at least *L* (1 + *d*) of true time, and *B* does not propose over it. A ballot that was
//! promised before *A*'s accept is not accepted after it, because an accept request must carry exactly the
//! ballot that was promised last. If another process has taken *k*'s place, it promises nothing for *S* after
//! the last moment at which the earlier one could accept, and *A*'s lease expires in that time. No step depends on what *A* or *B* assumes about the other, or on a wall clock.
//!
//! *Fencing tokens never decrease* as long as one acceptor of each majority remembers the last token. If all
//! acceptors lose their memory at once, tokens still do not decrease if the wall clock of the next holder,
//! when it starts, is not behind the wall clock of the last holder when that one started.
//!
//! Acceptors store nothing on disk: the grace period after a change of process makes the loss of their memory
//! safe.

#![warn(missing_docs)]

pub mod acceptor;
pub mod caller_grants;
pub mod lease_client;
pub mod messages;
pub mod proposer;
