//! Which route takes a request. It knows requests as an HTTP front reads them and routes as a configuration writes
//! them, and does no I/O. It must never depend on the order in which routes were written.

pub mod pattern;
pub mod request;
pub mod router;
