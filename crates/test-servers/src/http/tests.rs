//! Tests of [`super`].

use super::*;

/// Describes all messages in these bytes, and how the reader ends.
async fn read_all(bytes: &[u8], kind: MessageKind) -> String {
    let mut reader = MessageReader::new(bytes, kind);
    let mut messages = String::new();
    loop {
        match reader.next_message().await {
            Ok(Some(m)) => {
                messages += &format!("{} {} {:?}; ", m.status, m.target, String::from_utf8_lossy(&m.body))
            }
            Ok(None) => return messages + "end",
            Err(error) => return messages + &format!("{:?}", error.kind()),
        }
    }
}

/// Detects a test client that takes a truncated response for a complete one, which would hide a lost
/// request.
#[tokio::test]
async fn truncated_message_is_an_error() {
    let two = [response("200 OK", "", b"one"), response("503 No", "Retry-After: 1\r\n", b"")].concat();
    assert_eq!(read_all(&two, MessageKind::Response).await, "200  \"one\"; 503  \"\"; end");
    assert_eq!(read_all(&two[..two.len() - 1], MessageKind::Response).await, "200  \"one\"; UnexpectedEof");
    assert_eq!(
        read_all(b"GET /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nx", MessageKind::Request).await,
        "UnexpectedEof"
    );
    assert_eq!(read_all(b"nonsense\r\n\r\n", MessageKind::Response).await, "InvalidData");
}
