//! The relays of the datagrams that balancers exchange.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use doorproxy_test_servers::clock::{MS, Micros};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::impairment::NetworkPath;
use super::{FaultProxy, Impairment};

/// The number of datagrams that one path holds; further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 4096;
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// The largest delay of a reordered datagram.
const MAX_REORDER_DELAY_MS: f64 = 50.0;

/// The relay socket of each node, by its name.
type RelaySockets = BTreeMap<String, Arc<UdpSocket>>;

/// The sending end of the queue of one path.
struct PathQueue {
    sender: mpsc::UnboundedSender<Vec<u8>>,
    length: Arc<AtomicUsize>,
}

impl PathQueue {
    fn push(&self, datagram: &[u8]) {
        if self.length.load(Ordering::Relaxed) < MAX_QUEUED_DATAGRAMS {
            self.length.fetch_add(1, Ordering::Relaxed);
            let _ = self.sender.send(datagram.to_vec());
        }
    }
}

/// The receiving end of the queue of one path, with the socket and address to which it forwards.
struct PathForwarder {
    receiver: mpsc::UnboundedReceiver<Vec<u8>>,
    length: Arc<AtomicUsize>,
    socket: Arc<UdpSocket>,
    path: Arc<NetworkPath>,
    destination: SocketAddr,
    /// The datagrams to forward, by the time at which each is due and its number.
    delayed: BTreeMap<(Micros, u64), Vec<u8>>,
    last_number: u64,
}

impl FaultProxy {
    /// Relays datagrams among these nodes until the returned tasks are dropped. Each node has one relay
    /// socket, which tells senders apart by their addresses. A datagram is forwarded from the relay socket of
    /// its sender, so that the receiver can answer it.
    ///
    /// # Errors
    ///
    /// Fails if a relay socket cannot be bound.
    pub async fn relay_datagrams(self: Arc<Self>, nodes: Vec<String>) -> io::Result<JoinSet<()>> {
        let mut sockets = RelaySockets::new();
        for node in &nodes {
            let socket = UdpSocket::bind(self.addresses.peer_proxy(node)).await?;
            sockets.insert(node.clone(), Arc::new(socket));
        }
        let mut tasks = JoinSet::new();
        for node in nodes {
            tasks.spawn(self.clone().receive_datagrams(node, sockets.clone()));
        }
        Ok(tasks)
    }

    /// Sorts the datagrams to one node into the queues of their paths. Datagrams of unknown senders are
    /// dropped.
    async fn receive_datagrams(self: Arc<Self>, to: String, sockets: RelaySockets) {
        let names: BTreeMap<SocketAddr, &String> =
            sockets.keys().map(|node| (self.addresses.peer_socket(node), node)).collect();
        let mut queues: BTreeMap<&String, PathQueue> = BTreeMap::new();
        let mut forwarders = JoinSet::new();
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((read, source)) = sockets[&to].recv_from(&mut bytes).await else { continue };
            let Some(&from) = names.get(&source) else { continue };
            let queue = queues.entry(from).or_insert_with(|| {
                let (queue, forwarder) = self.path_queue(from, &to, sockets[from].clone());
                forwarders.spawn(self.clone().forward_datagrams(forwarder));
                queue
            });
            queue.push(&bytes[..read]);
        }
    }

    fn path_queue(&self, from: &str, to: &str, socket: Arc<UdpSocket>) -> (PathQueue, PathForwarder) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let length = Arc::new(AtomicUsize::new(0));
        let forwarder = PathForwarder {
            receiver,
            length: length.clone(),
            socket,
            path: self.path(from, to),
            destination: self.addresses.peer_socket(to),
            delayed: BTreeMap::new(),
            last_number: 0,
        };
        (PathQueue { sender, length }, forwarder)
    }

    async fn forward_datagrams(self: Arc<Self>, mut forwarder: PathForwarder) {
        let mut impairment = forwarder.path.subscribe();
        loop {
            let current = *impairment.borrow_and_update();
            let due = forwarder.delayed.keys().next().map(|(due, _)| *due);
            let may_send = due.is_some() && !current.is_paused;
            tokio::select! {
                biased;
                _ = impairment.changed() => {}
                () = self.clock.sleep_until(due.unwrap_or(0)), if may_send => {
                    if let Some((_, datagram)) = forwarder.delayed.pop_first() {
                        let _ = forwarder.socket.send_to(&datagram, forwarder.destination).await;
                    }
                }
                datagram = forwarder.receiver.recv() => {
                    let Some(datagram) = datagram else { return };
                    forwarder.length.fetch_sub(1, Ordering::Relaxed);
                    self.impair_datagram(&mut forwarder, &current, datagram);
                }
            }
        }
    }

    /// Drops a datagram, or changes it, duplicates it and schedules its delivery.
    fn impair_datagram(&self, forwarder: &mut PathForwarder, impairment: &Impairment, mut datagram: Vec<u8>) {
        if impairment.is_partitioned
            || self.random_unit() < impairment.loss_ratio
            || forwarder.delayed.len() >= MAX_QUEUED_DATAGRAMS
        {
            return;
        }
        if self.random_unit() < impairment.truncate_ratio {
            datagram.truncate(datagram.len() / 2);
        }
        if self.random_unit() < impairment.corrupt_ratio && !datagram.is_empty() {
            let index = (self.random_unit() * datagram.len() as f64) as usize;
            datagram[index] ^= 1 << (self.random_unit() * 8.0) as u32;
        }
        let copies = if self.random_unit() < impairment.duplicate_ratio { 2 } else { 1 };
        for _ in 0..copies {
            let is_reordered = self.random_unit() < impairment.reorder_ratio;
            let reorder_delay =
                if is_reordered { self.random_unit() * MAX_REORDER_DELAY_MS * MS as f64 } else { 0.0 };
            forwarder.last_number += 1;
            let due = self.clock.now() + impairment.delay + reorder_delay as Micros;
            forwarder.delayed.insert((due, forwarder.last_number), datagram.clone());
        }
    }
}
