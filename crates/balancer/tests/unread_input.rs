//! How many bytes of a client the system holds while the process does not read them, on real sockets. The time of a
//! large request counts from when its client has written the last byte, so what may be in transit has to be bounded.

use std::io::Write;
use std::net::TcpStream;

use doorproxy_balancer::http::request_body::MAX_IN_TRANSIT_BYTES;
use doorproxy_balancer::http::{LISTEN_BACKLOG, SEND_BUFFER_BYTES};
use doorproxy_balancer::runtime::system::SystemRuntime;
use doorproxy_balancer::runtime::{Listener, Runtime, Stream};

const CHUNK_BYTES: usize = 1 << 16;
/// The process reads this much at full speed before it stops, so that the system may have enlarged its buffers.
const READ_BYTES: usize = 64 << 20;

/// Writes until nothing more fits, and returns how many bytes did.
fn fill(client: &mut TcpStream) -> usize {
    let mut written = 0;
    let mut failures = 0;
    // The system moves bytes from the sender's buffer to the receiver's, after which more fit.
    while failures < 50 {
        match client.write(&[b'x'; CHUNK_BYTES]) {
            Ok(bytes) => written += bytes,
            Err(_) => {
                failures += 1;
                std::thread::sleep(std::time::Duration::from_millis(2));
            }
        }
    }
    written
}

/// Prevents that the answer to a large request comes seconds after its time: the system held more unread bytes than
/// the estimate of when the client can have sent the last one allows for.
#[test]
fn unread_input_of_a_client_is_bounded() {
    let runtime = SystemRuntime::start();
    let tokio_runtime = runtime.tokio_runtime().unwrap();
    let unread = tokio_runtime.block_on(async {
        let address = "127.0.0.1:0".parse().unwrap();
        let listener = runtime.listen(address, SEND_BUFFER_BYTES, LISTEN_BACKLOG).unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.set_nonblocking(true).unwrap();
        let stream = listener.accept().await.unwrap();
        let (mut read, mut written) = (0, 0);
        let mut buffer = vec![0; CHUNK_BYTES];
        while read < READ_BYTES {
            written += client.write(&[b'x'; CHUNK_BYTES]).unwrap_or(0);
            let polled = std::future::poll_fn(|cx| stream.poll_recv(cx, &mut buffer));
            read += polled.await.unwrap();
        }
        written + fill(&mut client) - read
    });
    assert!(unread <= MAX_IN_TRANSIT_BYTES as usize, "{unread} bytes were unread");
}
