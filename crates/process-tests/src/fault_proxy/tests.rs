//! Tests of the relays on loopback, under each kind of impairment.

use std::io;
use std::time::Duration;

use doorproxy_test_servers::clock::{self, MS};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::task::JoinSet;

use super::*;

const TIMEOUT: Duration = Duration::from_secs(20);

async fn start_proxy() -> (Arc<FaultProxy>, JoinSet<()>, TcpListener) {
    let proxy = FaultProxy::new(AddressBlock::claim().unwrap(), Clock::start(), 7);
    let listener = TcpListener::bind(proxy.addresses.service("u0")).await.unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(proxy.clone().proxy_connections("n0".into(), "u0".into()));
    // The relay is ready once it accepts a connection.
    while TcpStream::connect(proxy.addresses.proxy("n0", "u0")).await.is_err() {
        clock::sleep(MS).await;
    }
    drop(listener.accept().await);
    (proxy, tasks, listener)
}

async fn call(proxy: &FaultProxy) -> io::Result<TcpStream> {
    TcpStream::connect(proxy.addresses.proxy("n0", "u0")).await
}

/// Detects a relay that reorders or changes bytes of a connection, which TCP never does on any
/// network.
#[tokio::test]
async fn connection_keeps_its_bytes_under_impairments() {
    let (proxy, _tasks, listener) = start_proxy().await;
    let mut near = call(&proxy).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    let impairment = Impairment {
        delay: 3 * MS,
        loss_ratio: 0.3,
        bytes_per_second: Some(4e6),
        duplicate_ratio: 1.0,
        reorder_ratio: 1.0,
        corrupt_ratio: 1.0,
        ..Impairment::NONE
    };
    proxy.set_fault("n0", "u0", 1, Some(impairment));
    let sent: Vec<u8> = (0..400_000_u32).map(|n| (n % 251) as u8).collect();
    let (bytes_to_write, proxy_of_writer) = (sent.clone(), proxy.clone());
    let writer = tokio::spawn(async move {
        for (index, chunk) in bytes_to_write.chunks(40_000).enumerate() {
            let paused =
                index.is_multiple_of(2).then_some(Impairment { is_paused: true, ..Impairment::NONE });
            proxy_of_writer.set_fault("n0", "u0", 2, paused);
            near.write_all(chunk).await.unwrap();
        }
        proxy_of_writer.set_fault("n0", "u0", 2, None);
        near.shutdown().await.unwrap();
        near
    });
    let mut received = Vec::new();
    tokio::time::timeout(TIMEOUT, far.read_to_end(&mut received)).await.unwrap().unwrap();
    assert!(received == sent, "received {} bytes, sent {}, or they differ", received.len(), sent.len());
    drop(writer.await);
}

#[tokio::test]
async fn path_is_partitioned_then_refuses_connections_then_resets() {
    let (proxy, _tasks, listener) = start_proxy().await;
    let mut near = call(&proxy).await.unwrap();
    let (mut far, _) = listener.accept().await.unwrap();
    proxy.set_fault("n0", "u0", 1, Some(Impairment { is_partitioned: true, ..Impairment::NONE }));
    near.write_all(b"over the cut").await.unwrap();
    let nothing = tokio::time::timeout(Duration::from_millis(100), far.read(&mut [0; 64])).await;
    assert!(nothing.is_err(), "a byte passed a partitioned path");
    assert!(
        tokio::time::timeout(Duration::from_millis(300), call(&proxy)).await.is_err(),
        "a connection was established on a partitioned path"
    );
    // The other direction works.
    far.write_all(b"back").await.unwrap();
    let mut backward_bytes = [0; 4];
    tokio::time::timeout(TIMEOUT, near.read_exact(&mut backward_bytes)).await.unwrap().unwrap();
    proxy.set_fault("n0", "u0", 1, None);
    let mut forward_bytes = [0; 12];
    tokio::time::timeout(TIMEOUT, far.read_exact(&mut forward_bytes)).await.unwrap().unwrap();
    assert_eq!((&forward_bytes, &backward_bytes), (b"over the cut", b"back"));
    tokio::time::timeout(TIMEOUT, call(&proxy)).await.unwrap().unwrap();
    proxy.set_fault("n0", "u0", 2, Some(Impairment { refuses_connections: true, ..Impairment::NONE }));
    // Connections in the backlog of the closed listener are reset; later ones are refused.
    let is_refused = |error: io::Error| error.kind() == io::ErrorKind::ConnectionRefused;
    while !call(&proxy).await.is_err_and(is_refused) {
        clock::sleep(MS).await;
    }
    proxy.set_fault("n0", "u0", 2, Some(Impairment { reset_ratio: 1.0, ..Impairment::NONE }));
    near.write_all(b"cut in the middle").await.unwrap();
    let read = tokio::time::timeout(TIMEOUT, near.read(&mut [0; 8])).await.unwrap();
    assert_eq!(read.map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionReset));
}

/// Detects a relay that accepts no connections after a partition because callers filled its backlog
/// before it did so itself.
#[tokio::test]
async fn relay_accepts_after_partitions_with_many_callers() {
    let (proxy, _tasks, listener) = start_proxy().await;
    let accepted = tokio::spawn(async move {
        let mut accepted = Vec::new();
        while let Ok(one) = listener.accept().await {
            accepted.push(one);
        }
    });
    let call_repeatedly = |proxy: Arc<FaultProxy>| async move {
        loop {
            let _ = tokio::time::timeout(Duration::from_millis(20), call(&proxy)).await;
        }
    };
    let mut callers = JoinSet::new();
    (0..50).for_each(|_| drop(callers.spawn(call_repeatedly(proxy.clone()))));
    for _ in 0..5 {
        clock::sleep(10 * MS).await;
        proxy.set_fault("n0", "u0", 1, Some(Impairment { is_partitioned: true, ..Impairment::NONE }));
        clock::sleep(50 * MS).await;
        proxy.set_fault("n0", "u0", 1, None);
    }
    callers.shutdown().await;
    clock::sleep(50 * MS).await;
    let mut near = tokio::time::timeout(TIMEOUT, call(&proxy)).await.unwrap().unwrap();
    // A connection that the relay closes while it empties the backlog after a partition would end.
    let end = tokio::time::timeout(Duration::from_millis(200), near.read(&mut [0; 8])).await;
    assert!(end.is_err(), "the relay does not accept connections: {end:?}");
    accepted.abort();
}

#[tokio::test]
async fn peer_connections_share_one_listener_for_each_node() {
    let proxy = FaultProxy::new(AddressBlock::claim().unwrap(), Clock::start(), 7);
    let nodes = ["n0", "n1", "n2"].map(String::from).to_vec();
    let listener = TcpListener::bind(proxy.addresses.peer_socket("n2")).await.unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(proxy.clone().proxy_peer_connections("n2".into(), nodes));
    let call = async |from: &str| {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(proxy.addresses.source(from)).unwrap();
        socket.connect(proxy.addresses.peer_proxy("n2")).await
    };
    while call("u0").await.is_err() {
        clock::sleep(MS).await;
    }
    // The connection of n0 is refused and that of n1 is relayed; its origin is known.
    proxy.set_fault("n0", "n2", 1, Some(Impairment { refuses_connections: true, ..Impairment::NONE }));
    let end = match call("n0").await {
        Ok(mut refused) => tokio::time::timeout(TIMEOUT, refused.read(&mut [0; 8])).await.unwrap(),
        Err(error) => Err(error),
    };
    assert_eq!(end.map_err(|error| error.kind()), Err(io::ErrorKind::ConnectionReset));
    let mut near = call("n1").await.unwrap();
    let (mut far, source) = listener.accept().await.unwrap();
    assert_eq!(proxy.origin_of(source).unwrap().from, "n1");
    // A partitioned path passes nothing in its direction until the partition ends; the other direction works.
    proxy.set_fault("n1", "n2", 2, Some(Impairment { is_partitioned: true, ..Impairment::NONE }));
    near.write_all(b"late").await.unwrap();
    far.write_all(b"back").await.unwrap();
    let mut bytes = [0; 4];
    tokio::time::timeout(TIMEOUT, near.read_exact(&mut bytes)).await.unwrap().unwrap();
    assert_eq!(&bytes, b"back");
    let early = tokio::time::timeout(Duration::from_millis(100), far.read_exact(&mut bytes)).await;
    assert!(early.is_err(), "a byte passed a partitioned path");
    proxy.set_fault("n1", "n2", 2, None);
    tokio::time::timeout(TIMEOUT, far.read_exact(&mut bytes)).await.unwrap().unwrap();
    assert_eq!(&bytes, b"late");
}

#[tokio::test]
async fn datagrams_are_lost_duplicated_corrupted_and_held() {
    let proxy = FaultProxy::new(AddressBlock::claim().unwrap(), Clock::start(), 7);
    let nodes = ["n0", "n1"].map(String::from).to_vec();
    let _tasks = proxy.clone().relay_datagrams(nodes).await.unwrap();
    let bind = async |party: &str| UdpSocket::bind(proxy.addresses.peer_socket(party)).await.unwrap();
    let (one, other) = (bind("n0").await, bind("n1").await);
    let to = proxy.addresses.peer_proxy("n1");
    let mut seen = Vec::new();
    let cases = [
        Impairment::NONE,
        Impairment { is_partitioned: true, ..Impairment::NONE },
        Impairment { duplicate_ratio: 1.0, ..Impairment::NONE },
        Impairment { truncate_ratio: 1.0, ..Impairment::NONE },
        Impairment { corrupt_ratio: 1.0, ..Impairment::NONE },
    ];
    for (index, impairment) in cases.into_iter().enumerate() {
        proxy.set_fault("n0", "n1", 1, Some(impairment));
        one.send_to(format!("datagram {index}").as_bytes(), to).await.unwrap();
        // A second datagram on a path without faults marks the end of the case.
        clock::sleep(20 * MS).await;
        proxy.set_fault("n0", "n1", 1, None);
        one.send_to(b"end", to).await.unwrap();
        loop {
            let mut bytes = [0; 64];
            let (read, source) =
                tokio::time::timeout(TIMEOUT, other.recv_from(&mut bytes)).await.unwrap().unwrap();
            assert_eq!(source, proxy.addresses.peer_proxy("n0"));
            if &bytes[..read] == b"end" {
                break;
            }
            seen.push((index, read, &bytes[..read] == format!("datagram {index}").as_bytes()));
        }
    }
    assert_eq!(seen, [(0, 10, true), (2, 10, true), (2, 10, true), (3, 5, false), (4, 10, false)]);
    proxy.set_fault("n0", "n1", 1, Some(Impairment { is_paused: true, ..Impairment::NONE }));
    one.send_to(b"old news", to).await.unwrap();
    let mut bytes = [0; 64];
    let early = tokio::time::timeout(Duration::from_millis(100), other.recv_from(&mut bytes)).await;
    assert!(early.is_err(), "a datagram passed a paused path");
    proxy.set_fault("n0", "n1", 1, None);
    let (read, _) = tokio::time::timeout(TIMEOUT, other.recv_from(&mut bytes)).await.unwrap().unwrap();
    assert_eq!(&bytes[..read], b"old news");
}
