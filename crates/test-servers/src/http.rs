//! The part of HTTP/1.1 (RFC 9112) that the test servers and clients need. A library parses the heads. The
//! framing is implemented here and shares no code with the balancer, so that the same error can't be on both
//! sides and go unseen.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

const MAX_HEADERS: usize = 64;
/// The test servers send and accept no longer heads or bodies.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A complete request or response.
#[derive(Debug)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request; empty for a response.
    pub target: String,
    /// The status of a response; 0 for a request.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
    /// The number of bytes that the connection delivered before this message.
    pub first_byte_position: u64,
}

impl Message {
    /// Returns the value of the first header field of this name, in any letter case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    /// Returns the value of a header field as a `T`, if the field is there and can be parsed.
    pub fn parsed_header<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }
}

/// The kind of messages that one side of a connection receives.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests.
    Request,
    /// Responses.
    Response,
}

/// Reads the messages of one connection in order.
pub struct MessageReader<R> {
    source: R,
    kind: MessageKind,
    buffer: Vec<u8>,
    consumed_bytes: u64,
}

fn invalid_data(error: impl ToString) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error.to_string())
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Returns a reader of one connection's messages.
    pub fn new(source: R, kind: MessageKind) -> MessageReader<R> {
        MessageReader { source, kind, buffer: Vec::new(), consumed_bytes: 0 }
    }

    /// Returns true if bytes were received that belong to no returned message.
    pub fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads the next message; returns none if the connection ended between two messages.
    ///
    /// # Errors
    ///
    /// Fails with `UnexpectedEof` if the connection ended within a message, with `InvalidData` if the bytes
    /// are not a message that this module supports, and with the connection's own error otherwise.
    pub async fn next_message(&mut self) -> io::Result<Option<Message>> {
        let (mut message, head_length, body_length) = loop {
            if let Some(parsed) = self.parse_head()? {
                break parsed;
            }
            if !self.fill_buffer().await? {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        };
        while self.buffer.len() < head_length + body_length {
            if !self.fill_buffer().await? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buffer[head_length..head_length + body_length].to_vec();
        self.buffer.drain(..head_length + body_length);
        self.consumed_bytes += (head_length + body_length) as u64;
        Ok(Some(message))
    }

    /// Returns the message without its body, the length of its head and that of its body, once the head is
    /// complete.
    fn parse_head(&self) -> io::Result<Option<(Message, usize, usize)>> {
        let mut header_storage = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let (parse_status, method, target, status, headers) = match self.kind {
            MessageKind::Request => {
                let mut request = httparse::Request::new(&mut header_storage);
                let parse_status = request.parse(&self.buffer).map_err(invalid_data)?;
                (parse_status, request.method, request.path, None, request.headers)
            }
            MessageKind::Response => {
                let mut response = httparse::Response::new(&mut header_storage);
                let parse_status = response.parse(&self.buffer).map_err(invalid_data)?;
                (parse_status, None, None, response.code, response.headers)
            }
        };
        let httparse::Status::Complete(head_length) = parse_status else {
            return if self.buffer.len() < MAX_MESSAGE_BYTES {
                Ok(None)
            } else {
                Err(invalid_data(format!("the head does not end within {MAX_MESSAGE_BYTES} bytes")))
            };
        };
        let headers = headers
            .iter()
            .map(|field| (field.name.to_string(), String::from_utf8_lossy(field.value).trim().to_string()));
        let message = Message {
            method: method.unwrap_or_default().to_string(),
            target: target.unwrap_or_default().to_string(),
            status: status.unwrap_or(0),
            headers: headers.collect(),
            body: Vec::new(),
            first_byte_position: self.consumed_bytes,
        };
        if message.header("transfer-encoding").is_some() {
            return Err(invalid_data("Transfer-Encoding is not supported; Content-Length expected"));
        }
        let body_length = message.parsed_header::<usize>("content-length").unwrap_or(0);
        if body_length > MAX_MESSAGE_BYTES {
            return Err(invalid_data(format!(
                "Content-Length: {body_length} is more than {MAX_MESSAGE_BYTES} bytes"
            )));
        }
        Ok(Some((message, head_length, body_length)))
    }

    async fn fill_buffer(&mut self) -> io::Result<bool> {
        Ok(self.source.read_buf(&mut self.buffer).await? > 0)
    }

    /// Waits until more bytes arrive, or the connection ends or fails.
    pub async fn wait_for_activity(&mut self) {
        let _ = self.fill_buffer().await;
    }
}

/// Encodes a response. `status` is the code and the reason; `headers` holds whole lines, or nothing.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

#[cfg(test)]
mod tests;
