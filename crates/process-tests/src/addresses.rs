//! The names and loopback addresses of the processes of a test cluster. Each test cluster claims a block of
//! addresses that no other one on the machine uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The largest number of balancers for which an address block has room.
pub const MAX_BALANCERS: usize = 100;
/// The largest number of endpoints for which an address block has room.
pub const MAX_UPSTREAMS: usize = 90;

/// The name of the discovery service.
pub const DISCOVERY: &str = "list";
/// The name of the clients, which share one address.
pub const CLIENTS: &str = "clients";

const SERVICE_PORT: u16 = 5000;
const ADMIN_PORT: u16 = 5001;
const PEER_PORT: u16 = 5002;
const CLAIM_PORT: u16 = 4999;
const FIRST_PROXY_PORT: u16 = 6000;
const PEER_PROXY_PORT: u16 = 5003;

/// Returns the zone of a balancer or endpoint; the zones alternate.
pub fn zone(index: usize) -> &'static str {
    if index.is_multiple_of(2) { "east" } else { "west" }
}

/// Returns the name of a balancer.
pub fn balancer_name(index: usize) -> String {
    format!("n{index}")
}

/// Returns the name of an endpoint.
pub fn upstream_name(index: usize) -> String {
    format!("u{index}")
}

/// The addresses 127.A.B.0 to 127.A.B.255, which a listener claims until this is dropped.
pub struct AddressBlock {
    high: u8,
    low: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims the first free block, counted from one that depends on the process id.
    ///
    /// # Errors
    ///
    /// Fails if all blocks are in use.
    pub fn claim() -> Result<AddressBlock, String> {
        let first = std::process::id() as u16;
        // 127.0.x.x is left out because other programs on the machine use it.
        for block in (0..0x7e00_u16).map(|offset| 0x0100 + first.wrapping_add(offset) % 0x7e00) {
            let [high, low] = block.to_be_bytes();
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::new(127, high, low, 1), CLAIM_PORT)) {
                return Ok(AddressBlock { high, low, _claim: claim });
            }
        }
        Err("127.0.0.0/8: no block of 256 addresses is free".to_string())
    }

    fn ip(&self, host_number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.high, self.low, host_number)
    }

    fn host_number(name: &str) -> Option<u8> {
        let number = |first: u8, text: &str| text.parse::<u8>().ok().and_then(|n| first.checked_add(n));
        match name {
            DISCOVERY => Some(2),
            CLIENTS => Some(3),
            name if name.starts_with('u') => number(10, &name[1..]),
            name if name.starts_with('n') => number(110, &name[1..]),
            _ => None,
        }
    }

    fn host_address(&self, name: &str) -> (Ipv4Addr, u8) {
        let host_number = AddressBlock::host_number(name).expect("the name of a process of the test cluster");
        (self.ip(host_number), host_number)
    }

    /// Returns the address at which a process itself listens, behind the fault proxy.
    pub fn service(&self, name: &str) -> SocketAddr {
        (self.host_address(name).0, SERVICE_PORT).into()
    }

    /// Returns the address of a balancer's admin API.
    pub fn admin(&self, name: &str) -> SocketAddr {
        (self.host_address(name).0, ADMIN_PORT).into()
    }

    /// Returns the address of a balancer's own peer socket, for datagrams and connections of other balancers.
    pub fn peer_socket(&self, name: &str) -> SocketAddr {
        (self.host_address(name).0, PEER_PORT).into()
    }

    /// Returns the address to which the fault proxy connects for a connection between two processes.
    /// Balancers call each other at another port than clients call them.
    pub fn connect_target(&self, from: &str, to: &str) -> SocketAddr {
        if from.starts_with('n') && to.starts_with('n') { self.peer_socket(to) } else { self.service(to) }
    }

    /// Returns the address of the fault proxy to which other balancers send datagrams and connect.
    pub fn peer_proxy(&self, name: &str) -> SocketAddr {
        (self.host_address(name).0, PEER_PROXY_PORT).into()
    }

    /// Returns the address of the fault proxy for connections from one process to another; its port
    /// identifies the caller.
    pub fn proxy(&self, from: &str, to: &str) -> SocketAddr {
        (self.host_address(to).0, FIRST_PROXY_PORT + u16::from(self.host_address(from).1)).into()
    }

    /// Returns the source address, with any port, from which the fault proxy connects on behalf of a process.
    pub fn source(&self, name: &str) -> SocketAddr {
        (self.host_address(name).0, 0).into()
    }
}

#[cfg(test)]
mod tests;
