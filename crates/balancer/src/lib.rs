//! The balancer as a library: the decisions carried out on connections, in whatever world the caller hands over.

pub mod bans;
pub mod bodies;
pub mod clients;
pub mod connection;
pub mod control;
pub mod endings;
pub mod fellows;
pub mod figures;
pub mod form;
pub mod front;
pub mod given;
pub mod heads;
pub mod keeping;
pub mod list;
pub mod log;
pub mod pool;
pub mod probes;
pub mod pulse;
pub mod ring;
pub mod sockets;
pub mod streamed;
pub mod succession;
pub mod upstreams;
pub mod whole;
pub mod world;
