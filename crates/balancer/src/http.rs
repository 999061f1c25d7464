//! Serves clients over HTTP: connections, request heads, bodies, dispatch and shutdown.

pub mod body;
pub mod client_connections;
pub mod connection;
pub mod connection_state;
pub mod dispatch;
pub mod event_counts;
mod framing;
mod handler;
pub mod head_memory;
pub mod headers;
mod hidden_close;
pub mod lifecycle;
pub mod open_requests;
pub mod process_phase;
pub mod request_body;
pub(crate) mod request_fields;
pub mod request_head;
mod request_ids;
pub mod response_body;
pub mod responses;
mod serve_connection;
pub mod server;
pub mod server_context;
pub mod shutdown;
pub mod shutdown_times;
mod unwritten_response;

use doorproxy::ids::Ticks;

/// Maximum number of connections that the kernel queues until they are accepted.
pub const LISTEN_BACKLOG: u32 = 1024;
/// Size of the kernel send buffer of a client connection, in bytes. A buffered response fits in it, so
/// closing the connection does not truncate the response.
pub const SEND_BUFFER_BYTES: u32 = 2 * MAX_BUFFERED_BYTES as u32;
/// Maximum length of a body that is buffered whole, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Maximum length of a streamed body, in bytes. A longer body is rejected, or aborted if its length was not
/// announced.
pub const MAX_STREAMED_BYTES: u64 = 48 << 20;
/// A stream is aborted after this time without progress on either side.
pub const STREAM_IDLE_TIMEOUT: Ticks = Ticks(100_000);
