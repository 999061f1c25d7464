//! Forwards calls to the network, together with the kernel of the run.

use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll};

use super::SimulationState;
use crate::kernel::{HostId, ProcessId, SocketId};

impl SimulationState {
    /// See [`Network::partition`](crate::network::Network::partition).
    pub fn partition(&mut self, from: HostId, to: HostId) {
        self.network.partition(from, to);
    }

    /// See [`Network::heal`](crate::network::Network::heal).
    pub fn heal(&mut self, from: HostId, to: HostId) {
        self.network.heal(&mut self.kernel, from, to);
    }

    /// See [`Network::power_off`](crate::network::Network::power_off).
    pub fn power_off(&mut self, host: HostId) {
        self.network.power_off(host);
    }

    /// See [`Network::power_on`](crate::network::Network::power_on).
    pub fn power_on(&mut self, host: HostId) {
        self.network.power_on(&mut self.kernel, host);
    }

    /// See [`Network::close_process_sockets`](crate::network::Network::close_process_sockets).
    pub fn close_process_sockets(&mut self, process: ProcessId) {
        self.network.close_process_sockets(&mut self.kernel, process);
    }

    /// See [`Network::stop_listening`](crate::network::Network::stop_listening).
    pub fn stop_listening(&mut self, process: ProcessId, address: SocketAddr) {
        self.network.stop_listening(&mut self.kernel, process, address);
    }

    /// See [`Network::connect`](crate::network::Network::connect).
    pub fn connect(
        &mut self,
        process: ProcessId,
        host: HostId,
        destination: SocketAddr,
        destination_host: HostId,
    ) -> SocketId {
        self.network.connect(&mut self.kernel, process, host, destination, destination_host)
    }

    /// See [`Network::poll_recv`](crate::network::Network::poll_recv).
    pub fn poll_recv(
        &mut self,
        cx: &mut Context,
        socket: SocketId,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        self.network.poll_recv(&mut self.kernel, cx, socket, buffer)
    }

    /// See [`Network::poll_send`](crate::network::Network::poll_send).
    pub fn poll_send(
        &mut self,
        cx: Option<&mut Context>,
        socket: SocketId,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.network.poll_send(&mut self.kernel, cx, socket, bytes)
    }

    /// See [`Network::send_unsplit`](crate::network::Network::send_unsplit).
    pub fn send_unsplit(&mut self, socket: SocketId, bytes: Vec<u8>) {
        self.network.send_unsplit(&mut self.kernel, socket, bytes);
    }

    /// See [`Network::shutdown_write`](crate::network::Network::shutdown_write).
    pub fn shutdown_write(&mut self, socket: SocketId) {
        self.network.shutdown_write(&mut self.kernel, socket);
    }

    /// See [`Network::close`](crate::network::Network::close).
    pub fn close(&mut self, socket: SocketId) {
        self.network.close(&mut self.kernel, socket);
    }
}
