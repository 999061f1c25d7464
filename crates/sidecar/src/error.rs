//! Defines the errors of the sidecar.

use std::io;

use thiserror::Error;

/// States why a configuration can't be served.
#[derive(Debug, Error)]
pub enum SidecarError {
    /// The system refused to listen on an address.
    #[error("{address}: {source}")]
    Listen {
        /// Holds the address.
        address: std::net::SocketAddr,
        /// Holds the system's error.
        source: io::Error,
    },
    /// Listeners of this type are not implemented.
    #[error("listen: {listener} is not supported by the sidecar; expected a TCP address")]
    UnsupportedListener {
        /// Describes the listener.
        listener: String,
    },
    /// Discovery is not implemented for sidecars.
    #[error("pool {pool:?}: discovery is not supported by the sidecar; expected a list of servers")]
    UnsupportedDiscovery {
        /// Names the pool.
        pool: String,
    },
    /// The new configuration changes a setting that only takes effect after a restart.
    #[error("listen and limits.sockets can't change in a reload; restart the sidecar")]
    RestartOnly,
    /// The new configuration came after the shutdown request.
    #[error("the sidecar is shutting down")]
    ShuttingDown,
    /// The process ended with requests that had arrived whole and had no whole response.
    #[error("{count} requests had no response when the sidecar stopped")]
    RequestsLost {
        /// Holds the number of the requests.
        count: usize,
    },
}
