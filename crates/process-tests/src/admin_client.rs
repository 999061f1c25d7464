//! Calls of a balancer's admin API.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use doorproxy_test_servers::clock::{self, Clock, MS, Micros};
use doorproxy_test_servers::events::{Event, EventSink};
use doorproxy_test_servers::http::{MessageKind, MessageReader};
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::history::HistoryWriter;

/// The pause between two queries of a balancer's member count.
pub(crate) const MEMBERSHIP_POLL_INTERVAL: Micros = 300 * MS;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes a call, such as `GET /_members`, and returns the status and the body. The status is 0 if the
/// connection ends without a response.
///
/// # Errors
///
/// Fails if the balancer can't be reached or its response can't be read.
pub(crate) async fn admin_request(address: SocketAddr, call: &str, body: &str) -> io::Result<(u16, Vec<u8>)> {
    let stream = TcpStream::connect(address).await?;
    let (reader, mut writer) = stream.into_split();
    let length = body.len();
    let request =
        format!("{call} HTTP/1.1\r\nHost: o\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}");
    writer.write_all(request.as_bytes()).await?;
    let response = MessageReader::new(reader, MessageKind::Response).next_message().await?;
    Ok(response.map_or((0, Vec::new()), |response| (response.status, response.body)))
}

/// Records a balancer's member count at intervals until dropped; a query that fails is skipped.
pub(crate) async fn poll_member_counts(
    node: String,
    address: SocketAddr,
    clock: Clock,
    history: Arc<HistoryWriter>,
) {
    loop {
        clock::sleep(MEMBERSHIP_POLL_INTERVAL).await;
        let asked = clock.now();
        let call = tokio::time::timeout(CALL_TIMEOUT, admin_request(address, "GET /_members", ""));
        if let Ok(Ok((200, body))) = call.await
            && let Ok(members) = serde_json::from_slice::<Value>(&body)
        {
            let among = members["among"].as_u64().unwrap_or(0) as u32;
            let counted = members["counted"] == true;
            history.record(Event::MemberCount { node: node.clone(), asked, among, counted });
        }
    }
}
