//! The transport between balancers of one cluster: authenticated datagrams, the keys that authenticate them,
//! and a rate limiter for received datagrams.
//!
//! The crate neither opens sockets nor interprets messages. The caller sends the bytes that
//! [`DatagramCodec::seal`](datagram::DatagramCodec::seal) returns, and passes received bytes to
//! [`DatagramCodec::open`](datagram::DatagramCodec::open).
//!
//! # Safety argument
//!
//! The transport provides authenticity, not secrecy. A datagram is accepted only if its BLAKE3 keyed hash,
//! over the cluster's name with its length and all bytes before the hash, matches one of the cluster's keys;
//! the comparison takes constant time. So datagrams from strangers or other clusters, and damaged datagrams,
//! are rejected. Replay is not prevented here: each protocol orders or dates its messages itself.

#![warn(missing_docs)]

pub mod channel;
pub mod cluster_keys;
pub mod datagram;
pub mod rate_limiter;
