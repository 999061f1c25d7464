//! The listeners of the relays, which also act for paths that are partitioned or refuse connections.

use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use doorproxy_test_servers::clock::{self, MS, Micros};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::{FaultProxy, Impairment};

const BACKLOG: i32 = 1024;
/// The interval of attempts to listen. Connections of the previous listener can keep the port in use for a
/// moment.
const LISTEN_RETRY_INTERVAL: Micros = 10 * MS;
/// The time without a connection after which the backlog counts as empty.
const BACKLOG_IDLE: Duration = Duration::from_millis(20);

/// The states that the listener of a relay follows.
struct ListenerWatch {
    impairment: watch::Receiver<Impairment>,
    is_down: watch::Receiver<bool>,
}

impl ListenerWatch {
    fn refuses_connections(&mut self) -> bool {
        *self.is_down.borrow_and_update() || self.impairment.borrow_and_update().refuses_connections
    }

    fn is_partitioned(&mut self) -> bool {
        self.impairment.borrow_and_update().is_partitioned && !*self.is_down.borrow_and_update()
    }

    async fn changed(&mut self) {
        tokio::select! {
            biased;
            _ = self.is_down.changed() => {}
            _ = self.impairment.changed() => {}
        }
    }
}

impl FaultProxy {
    /// Relays connections from one node to another until the future is dropped.
    pub async fn proxy_connections(self: Arc<Self>, from: String, to: String) {
        let impairment = self.path(&from, &to).subscribe();
        let mut watch = ListenerWatch { impairment, is_down: self.watch_down(&to) };
        let address = self.addresses.proxy(&from, &to);
        let mut connections = JoinSet::new();
        loop {
            while watch.refuses_connections() {
                watch.changed().await;
            }
            let Ok(listener) = listen(address) else {
                clock::sleep(LISTEN_RETRY_INTERVAL).await;
                continue;
            };
            loop {
                while connections.try_join_next().is_some() {}
                if watch.refuses_connections() {
                    break;
                }
                if watch.impairment.borrow().is_partitioned {
                    block_accepts(&listener, address, &mut watch).await;
                    continue;
                }
                tokio::select! {
                    biased;
                    () = watch.changed() => {}
                    accepted = listener.accept() => {
                        if let Ok((near, _)) = accepted {
                            connections.spawn(self.clone().relay_connection(near, from.clone(), to.clone()));
                        }
                    }
                }
            }
        }
    }

    /// Relays connections from other balancers to one balancer until the future is dropped. All callers share
    /// one listener, which tells them apart by their addresses only after it has accepted. So a path that
    /// refuses connections accepts and resets them, and a partitioned one accepts them and passes nothing.
    pub async fn proxy_peer_connections(self: Arc<Self>, to: String, nodes: Vec<String>) {
        let names: BTreeMap<IpAddr, String> =
            nodes.into_iter().map(|node| (self.addresses.peer_socket(&node).ip(), node)).collect();
        let mut is_down = self.watch_down(&to);
        let mut connections = JoinSet::new();
        loop {
            while *is_down.borrow_and_update() {
                let _ = is_down.changed().await;
            }
            let Ok(listener) = listen(self.addresses.peer_proxy(&to)) else {
                clock::sleep(LISTEN_RETRY_INTERVAL).await;
                continue;
            };
            while !*is_down.borrow_and_update() {
                while connections.try_join_next().is_some() {}
                tokio::select! {
                    biased;
                    _ = is_down.changed() => {}
                    accepted = listener.accept() => {
                        let Ok((near, source)) = accepted else { continue };
                        // A caller that is not a node of the run has no path.
                        let caller = names.get(&source.ip());
                        match caller.filter(|from| !self.path(from, &to).refuses_connections()) {
                            Some(from) => {
                                let relay = self.clone().relay_connection(near, from.clone(), to.clone());
                                connections.spawn(relay);
                            }
                            None => reset_on_close(&near),
                        }
                    }
                }
            }
        }
    }
}

/// Keeps a listener from completing handshakes while its path is partitioned: the kernel ignores them while
/// the backlog is full, so callers wait as they would on a partitioned network.
async fn block_accepts(listener: &TcpListener, address: SocketAddr, watch: &mut ListenerWatch) {
    let socket = SockRef::from(listener);
    let _ = socket.listen(0);
    // This connection fills the backlog. If other callers have filled it, it is established only after the
    // partition.
    let mut filler = None;
    let connecting = TcpStream::connect(address);
    tokio::pin!(connecting);
    let mut has_ended = false;
    while watch.is_partitioned() {
        tokio::select! {
            biased;
            _ = watch.impairment.changed() => {}
            _ = watch.is_down.changed() => {}
            connected = &mut connecting, if !has_ended => {
                has_ended = true;
                filler = connected.ok();
            }
        }
    }
    let _ = socket.listen(BACKLOG);
    let filler_address = filler.as_ref().and_then(|filler| filler.local_addr().ok());
    // Connections that waited before the partition precede the filler in the backlog. They are closed, like
    // connections that time out.
    while let Ok(Ok((_, peer))) = tokio::time::timeout(BACKLOG_IDLE, listener.accept()).await {
        if Some(peer) == filler_address {
            break;
        }
    }
}

/// Makes a stream reset its connection when it is dropped.
pub(super) fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}
