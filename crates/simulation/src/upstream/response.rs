//! The responses of an endpoint, both valid and malformed.

use std::io;

use doorproxy_balancer::runtime::Stream;

use super::{ConnectionState, Server};
use crate::http::response;
use crate::request_class::{MAX_BUFFERED_BODY_BYTES, long_response_body_bytes};
use crate::scenario::FaultKind;
use crate::stream::SimulatedStream;
use crate::time::{MS, Micros, SECOND};

/// The number of variants of malformed responses.
const MALFORMED_VARIANTS: u64 = 8;
/// The longest time after which a second copy of a response is sent.
const MAX_COPY_DELAY: Micros = 3 * MS;

impl Server {
    /// Writes the response to a request that was executed.
    pub(super) async fn write_response(
        &self,
        stream: &SimulatedStream,
        request_id: u64,
        request_body: &[u8],
    ) -> io::Result<ConnectionState> {
        let body = self.response_body(request_id, request_body);
        let is_streamed = body.len() > MAX_BUFFERED_BODY_BYTES;
        let whole = response("200 OK", "", &body);
        if self.has_fault(FaultKind::MalformedResponses) {
            return self.write_malformed(stream, whole, is_streamed).await;
        }
        stream.write(&whole).await?;
        if self.has_fault(FaultKind::RepeatResponses) && !is_streamed {
            self.write_copy(stream, &whole).await?;
        }
        if self.has_fault(FaultKind::UnannouncedClose) {
            let delay_ms = stream.runtime.simulation.state().random_below(3);
            stream.runtime.sleep_micros(delay_ms * MS).await;
            return Ok(if delay_ms > 1 { ConnectionState::Open } else { ConnectionState::Closing });
        }
        Ok(ConnectionState::Open)
    }

    /// Sends a second copy of a response some milliseconds late, unless part of another request has arrived.
    async fn write_copy(&self, stream: &SimulatedStream, whole: &[u8]) -> io::Result<()> {
        let delay = stream.runtime.simulation.state().random_below(MAX_COPY_DELAY);
        stream.runtime.sleep_micros(delay).await;
        if !stream.is_idle() {
            return Ok(());
        }
        self.context.records.lock().outcomes.increment("second copy of a response");
        stream.write(whole).await
    }

    /// Builds a body that names the request. A long body also states its own length.
    fn response_body(&self, request_id: u64, request_body: &[u8]) -> Vec<u8> {
        let mut body = format!("{request_id:x} did {} bytes", request_body.len()).into_bytes();
        if let Some(length) = long_response_body_bytes(self.context.scenario.seed, request_id) {
            body.extend(format!(", {length} long ").bytes());
            body.resize(length, b'.');
        }
        body
    }

    async fn write_malformed(
        &self,
        stream: &SimulatedStream,
        whole: Vec<u8>,
        is_streamed: bool,
    ) -> io::Result<ConnectionState> {
        let simulation = &stream.runtime.simulation;
        let variant = simulation.state().random_below(MALFORMED_VARIANTS);
        self.context.records.lock().outcomes.increment(&format!("malformed response {variant}"));
        match variant {
            _ if is_streamed => stream.write(&whole[..whole.len() * 2 / 3]).await?,
            0 => stream.write(&whole[..whole.len() - 3]).await?,
            1 => stream.write(b"HTTP/9.9 what\r\n\r\n").await?,
            2 => {
                stream.write(&whole[..whole.len() / 2]).await?;
                stream.runtime.sleep_micros(3 * SECOND).await;
            }
            3 => {
                // A second response, which must not be taken for the response to the next request. Both are
                // sent as one segment: if the second were still in transit when the next request is written,
                // it could not be told from the response to that request.
                let both = [whole, response("200 OK", "", b"0 of nobody")].concat();
                simulation.state().send_unsplit(stream.socket, both);
                return Ok(ConnectionState::Open);
            }
            4 => {
                // A body that is longer than any balancer accepts.
                stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n").await?;
                stream.write(&vec![b'x'; 80 << 10]).await?;
            }
            5 => stream.write(&response("503 No word", "", b"")).await?,
            6 => stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal").await?,
            _ => {
                let head = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 3\r\n\r\nabc";
                stream.write(head).await?;
            }
        }
        Ok(ConnectionState::Closing)
    }
}
