//! Determines the length of a request from its head.

use axum::http::StatusCode;
use thiserror::Error;

use crate::http::MAX_STREAMED_BYTES;
use crate::http::request_head::MAX_HEAD_BYTES;

const MAX_HEADER_FIELDS: usize = 64;

/// States the error of a client after which nothing more is read from its connection.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ClientError {
    /// The head is longer, or has more fields, than allowed.
    #[error(
        "request head: too large; expected at most {MAX_HEAD_BYTES} bytes and {MAX_HEADER_FIELDS} fields"
    )]
    HeadTooLarge,
    /// The head is malformed.
    #[error("request head: not valid HTTP/1.1")]
    MalformedHead,
    /// The `Transfer-Encoding` is not supported.
    #[error("transfer-encoding: only a single \"chunked\" is accepted")]
    TransferEncoding,
    /// The `Content-Length` is malformed or repeated.
    #[error("content-length: only a single whole number is accepted")]
    ContentLength,
    /// The head has both a `Content-Length` and a `Transfer-Encoding`.
    #[error("content-length: not accepted together with transfer-encoding")]
    AmbiguousLength,
    /// The body is longer than [`MAX_STREAMED_BYTES`].
    #[error("request body: longer than {MAX_STREAMED_BYTES} bytes")]
    BodyTooLarge,
    /// The request did not arrive in time.
    #[error("request: not received in time")]
    Timeout,
    /// The buffers of all connections hold as much as they may, and the head has not arrived whole.
    #[error("request: too many large ones at once; it did not run")]
    OutOfMemory,
    /// The process ends, and the request has not arrived whole.
    #[error("request: not received before the server stopped; it did not run")]
    ShuttingDown,
}

impl ClientError {
    /// Returns the status of the response to the client.
    pub fn status(self) -> StatusCode {
        match self {
            ClientError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ClientError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ClientError::Timeout => StatusCode::REQUEST_TIMEOUT,
            ClientError::OutOfMemory | ClientError::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
            ClientError::MalformedHead
            | ClientError::TransferEncoding
            | ClientError::ContentLength
            | ClientError::AmbiguousLength => StatusCode::BAD_REQUEST,
        }
    }
}

/// States how many bytes of the input belong to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestLength {
    /// The length of head and body together.
    Known(usize),
    /// The body is chunked, and only the HTTP library finds its end. Nothing after it is read as a request.
    Chunked,
}

/// Returns the length of the request at the beginning of `input`, or `None` while its head is incomplete.
///
/// # Errors
///
/// Fails if the head is malformed, too large, or ambiguous about the length. With an ambiguous length, an
/// endpoint could find another request inside the body (request smuggling).
pub(super) fn parse_request_length(input: &[u8]) -> Result<Option<RequestLength>, ClientError> {
    if input.is_empty() {
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let head_length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(ClientError::HeadTooLarge);
        }
        Err(_) => return Err(ClientError::MalformedHead),
    };
    match parse_body_length(&head)? {
        RequestLength::Known(body) if body as u64 > MAX_STREAMED_BYTES => Err(ClientError::BodyTooLarge),
        RequestLength::Known(body) => Ok(Some(RequestLength::Known(head_length + body))),
        RequestLength::Chunked => Ok(Some(RequestLength::Chunked)),
    }
}

fn parse_body_length(head: &httparse::Request) -> Result<RequestLength, ClientError> {
    let mut content_length = None;
    let mut is_chunked = false;
    for field in &*head.headers {
        if field.name.eq_ignore_ascii_case("transfer-encoding") {
            let is_supported = head.version == Some(1) && field.value.eq_ignore_ascii_case(b"chunked");
            if is_chunked || !is_supported {
                return Err(ClientError::TransferEncoding);
            }
            is_chunked = true;
        } else if field.name.eq_ignore_ascii_case("content-length") {
            if content_length.is_some() {
                return Err(ClientError::ContentLength);
            }
            content_length = Some(parse_content_length(field.value)?);
        }
    }
    match content_length {
        Some(_) if is_chunked => Err(ClientError::AmbiguousLength),
        None if is_chunked => Ok(RequestLength::Chunked),
        content_length => Ok(RequestLength::Known(content_length.unwrap_or(0))),
    }
}

fn parse_content_length(value: &[u8]) -> Result<usize, ClientError> {
    let digits = std::str::from_utf8(value).map_err(|_| ClientError::ContentLength)?;
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ClientError::ContentLength);
    }
    // A number that overflows counts as too large.
    Ok(digits.parse().unwrap_or(usize::MAX))
}
