//! Maps hosts to IP addresses: each host has one address, 10.0.x.y, where x.y is the host's number.

use std::net::SocketAddr;

use crate::kernel::HostId;

/// Returns the socket address of a port on a host.
pub fn address_of(host: HostId, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, (host.0 >> 8) as u8, host.0 as u8], port))
}

/// Returns the host of an address. An IPv6 address gives host 0, which no node runs on.
pub fn host_of(address: SocketAddr) -> HostId {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            HostId(u32::from(high) << 8 | u32::from(low))
        }
        SocketAddr::V6(_) => HostId(0),
    }
}
