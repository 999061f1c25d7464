//! Rate limits that hold for the whole fleet.
//!
//! Each limit belongs to a shard. The node that holds the shard's lease allocates the limit's rate to the
//! other nodes, like an escrow: a node admits a request only against such an allocation or, while it is
//! disconnected from the allocator, against the limit's fallback rate. The state machines perform no I/O and
//! read no clock, so the program, the simulations and the model checker run the same code.
//!
//! # Safety argument
//!
//! In any window of *t* seconds, at most `rate * t + burst + excess_rate * t` requests are admitted, with
//! `burst` and `excess_rate` from [`rules::QuotaRules::overshoot_bound`].
//!
//! An allocation may be used for half of `contact_timeout`, which the client counts on its own clock from
//! before its request. So the requests admitted in a window were granted in it, or before it by at most that
//! time, stretched by the clock drift *d*.
//!
//! All grants in *s* seconds amount to at most `rate * (1 + d) * s + burst`. For one allocator this holds
//! because its bucket never holds more than the burst. For two allocators in succession it holds because the
//! second starts with an empty bucket, after the first one's lease has expired. An allocator that pauses
//! between checking its lease and responding sends the response late, but the allocation expires no later.
//!
//! Each disconnected node adds its fallback rate, and at most the fallback requests that it saves in the
//! lifetime of an allocation. The nonces of two incarnations of a node differ, so a process never accepts a
//! response to its predecessor.

#![warn(missing_docs)]

pub mod messages;
pub mod node;
pub mod quota_allocator;
pub mod quota_client;
pub mod rules;
