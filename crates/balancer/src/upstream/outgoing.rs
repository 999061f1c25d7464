//! Builds the requests that are sent to endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use axum::http::uri::PathAndQuery;
use axum::http::{HeaderName, HeaderValue, Request, Uri, header, request};
use bytes::Bytes;
use doorproxy::ids::{Ticks, Timestamp};

use crate::http::request_body::{AttemptBody, RequestBody};
use crate::http::request_fields::{ID_HEADER, header_text};
use crate::runtime::duration;
use crate::upstream::load_probes::LOAD_REPORT_PATH;

/// Header field with the time left for a request, in milliseconds.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("req-deadline-ms");

/// Holds what all attempts of a request send.
pub struct OutgoingRequest {
    /// Method, path and header fields.
    pub head: request::Parts,
    /// The body.
    pub body: RequestBody,
    /// Time allowed for the response, from the last byte of the request.
    pub timeout: Ticks,
    /// The end of that time, if the body is buffered.
    pub deadline: Timestamp,
    /// Is set once an attempt has begun.
    pub has_begun: Arc<AtomicBool>,
}

impl OutgoingRequest {
    /// Returns the id of the request, as its client sent it.
    pub fn id(&self) -> &str {
        header_text(&self.head.headers, &ID_HEADER).ok().flatten().unwrap_or_default()
    }

    /// Returns the time that the endpoint has for the response.
    pub(super) fn remaining(&self, now: Timestamp) -> Ticks {
        match self.body {
            RequestBody::Buffered(_) => self.deadline - now,
            RequestBody::Streaming(_) => self.timeout,
        }
    }

    /// Returns the time before which an attempt has to start.
    pub(super) fn begin_deadline(&self) -> Timestamp {
        match self.body {
            RequestBody::Buffered(_) => self.deadline,
            RequestBody::Streaming(_) => Timestamp(i64::MAX),
        }
    }

    /// Builds the request of one attempt.
    pub(super) fn to_request(&self, address: SocketAddr, remaining: Ticks) -> Request<AttemptBody> {
        let mut head = self.head.clone();
        // The client may have sent an absolute URI; the request to the endpoint has the path alone.
        let path = head.uri.path_and_query().cloned().unwrap_or(PathAndQuery::from_static("/"));
        head.uri = Uri::from(path);
        head.headers.entry(header::HOST).or_insert_with(|| host_header(address));
        let milliseconds = duration(remaining).as_millis() as u64;
        head.headers.insert(TIMEOUT_HEADER, HeaderValue::from(milliseconds));
        Request::from_parts(head, AttemptBody::new(self.body.clone()))
    }
}

/// Builds the request of a load probe.
pub(super) fn load_probe_request(address: SocketAddr) -> Request<AttemptBody> {
    let mut request = Request::new(AttemptBody::new(RequestBody::Buffered(Bytes::new())));
    *request.uri_mut() = Uri::from_static(LOAD_REPORT_PATH);
    request.headers_mut().insert(header::HOST, host_header(address));
    request
}

fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::try_from(address.to_string()).expect("an address is in ASCII")
}
