//! Takes over listeners that the platform passes to the process as open file descriptors.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, RawFd};
use std::path::Path;

use socket2::{SockRef, Socket};
use thiserror::Error;
use tokio::net::TcpListener;

use crate::runtime::system::SystemListener;

const FIRST_INHERITED_DESCRIPTOR: RawFd = 3;
const MAX_DESCRIPTOR: RawFd = 1 << 20;

/// States why a descriptor can't be used as a listener.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The value is not a number.
    #[error("{0:?} is not a descriptor number")]
    NotANumber(String),
    /// The descriptor is not open, or is one of the standard streams.
    #[error("descriptor {0} is a standard stream or is not open")]
    NotOpen(RawFd),
    /// The descriptor is not a listening socket.
    #[error("descriptor {0} is not a listening socket")]
    NotListening(RawFd),
    /// The socket listens on another address than the configured one.
    #[error("descriptor {descriptor} listens on {found}, expected {expected}", found = describe(*found))]
    WrongAddress {
        /// Identifies the descriptor.
        descriptor: RawFd,
        /// Holds the address of the socket, or `None` if it is not an IP socket.
        found: Option<SocketAddr>,
        /// Holds the configured address.
        expected: SocketAddr,
    },
    /// The system failed to configure the socket.
    #[error("descriptor {descriptor}: {source}")]
    Setup {
        /// Identifies the descriptor.
        descriptor: RawFd,
        /// Holds the system's error.
        source: io::Error,
    },
}

fn describe(address: Option<SocketAddr>) -> String {
    address.map_or("no IP address".to_string(), |address| address.to_string())
}

/// Takes over the listener that the platform opened under the descriptor `number`. The socket must listen on
/// `expected`; port 0 in `expected` accepts any address.
///
/// # Errors
///
/// Fails if the descriptor is not open, is not a listener, or listens on another address.
pub fn inherit_listener(
    number: &str,
    expected: SocketAddr,
    send_buffer: u32,
) -> Result<SystemListener, InheritError> {
    let descriptor = parse_descriptor(number)?;
    // SAFETY: the descriptor is open, and nothing else in this process uses or closes a descriptor that the
    // platform passed to it by number.
    let socket = unsafe { Socket::from_raw_fd(descriptor) };
    if !socket.is_listener().unwrap_or(false) {
        return Err(InheritError::NotListening(descriptor));
    }
    let found = socket.local_addr().ok().and_then(|address| address.as_socket());
    if found.is_none_or(|found| found != expected && expected.port() != 0) {
        return Err(InheritError::WrongAddress { descriptor, found, expected });
    }
    set_up(socket, send_buffer).map_err(|source| InheritError::Setup { descriptor, source })
}

/// Checks that the descriptor is open and not a standard stream, which would be closed when the socket is
/// dropped.
fn parse_descriptor(number: &str) -> Result<RawFd, InheritError> {
    let descriptor: RawFd = number.parse().map_err(|_| InheritError::NotANumber(number.to_string()))?;
    let is_in_range = (FIRST_INHERITED_DESCRIPTOR..MAX_DESCRIPTOR).contains(&descriptor);
    if !is_in_range || !Path::new("/proc/self/fd").join(descriptor.to_string()).exists() {
        return Err(InheritError::NotOpen(descriptor));
    }
    Ok(descriptor)
}

fn set_up(socket: Socket, send_buffer: u32) -> io::Result<SystemListener> {
    let listener = std::net::TcpListener::from(socket);
    SockRef::from(&listener).set_send_buffer_size(send_buffer as usize)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener).map(SystemListener::new)
}
