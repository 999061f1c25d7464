//! Implements the sidecar, an HTTP/1.1 proxy beside one application. Its configuration determines the pool of
//! a request, and the `doorproxy` crate decides to which endpoint of the pool the request goes.

#![warn(missing_docs)]

mod error;
mod handler;
pub mod pools;
pub mod server;
pub mod settings;

pub use error::SidecarError;
