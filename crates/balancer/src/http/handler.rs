//! Handles one request, from its head to its response.

use std::sync::Arc;

use axum::extract::{Extension, Request, State};
use axum::http::{Method, StatusCode};
use axum::response::{IntoResponse, Response};
use doorproxy::ids::Ticks;
use doorproxy::settings::Idempotency;

use crate::http::MAX_STREAMED_BYTES;
use crate::http::connection::ClientConnection;
use crate::http::dispatch::{ReceivedRequest, dispatch};
use crate::http::head_memory::reserve_head;
use crate::http::headers::prepare_for_upstream;
use crate::http::request_body::read_request_body;
use crate::http::request_fields::{CLASS_HEADER, ID_HEADER, RequestError, header_text, parse_request};
use crate::http::response_body::IsStreaming;
use crate::http::responses::{announce_close, rejected_response};
use crate::http::server::Server;
use crate::runtime::Runtime;

/// Allowance for the network round trip to the client, whose own timeout starts when it sends the request.
const CLIENT_MARGIN: Ticks = Ticks(200);

pub(super) async fn is_ready<R: Runtime>(State(server): State<Arc<Server<R>>>) -> StatusCode {
    if server.lifecycle.is_draining() && !server.lifecycle.has_successor() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    }
}

pub(super) async fn handle_request<R: Runtime>(
    State(server): State<Arc<Server<R>>>,
    Extension(client): Extension<Arc<ClientConnection<R>>>,
    request: Request,
) -> Response {
    let class = header_text(request.headers(), &CLASS_HEADER).ok().flatten().unwrap_or_default().to_string();
    let response = match read_request(&server, &client, request).await {
        Ok(_) if server.connections.is_full() => rejected_response(server.config.settings.max_retry_after),
        Ok(received) => dispatch_request(&server, &client, received, &class).await,
        Err(error) => error.into_response(),
    };
    if response.extensions().get::<IsStreaming>().is_none() {
        server.components.metrics.count_outcome(&class, response.status().into());
    }
    server.connections.events().on_response(response.status());
    client.trace_response(response.status());
    announce_close(&server.lifecycle, &server.connections, &client, response)
}

async fn read_request<R: Runtime>(
    server: &Server<R>,
    client: &Arc<ClientConnection<R>>,
    request: Request,
) -> Result<ReceivedRequest, RequestError> {
    let (mut head, body) = request.into_parts();
    // This precedes the parsing, so that the parsed fields are the forwarded ones.
    prepare_for_upstream::<Arc<ClientConnection<R>>>(&mut head);
    let request = parse_request(&server.config, &head.headers)?;
    // The HTTP library, as server and as client, would treat the bytes after the response to a CONNECT as a
    // tunnel.
    if head.method == Method::CONNECT || !head.uri.path().starts_with('/') {
        return Err(RequestError::InvalidTarget);
    }
    reserve_head(client.memory(), &mut head)?;
    let body = read_request_body(body, MAX_STREAMED_BYTES, client).await?;
    Ok(ReceivedRequest { request, head, body, has_begun: Arc::default() })
}

async fn dispatch_request<R: Runtime>(
    server: &Arc<Server<R>>,
    client: &Arc<ClientConnection<R>>,
    mut received: ReceivedRequest,
    class: &str,
) -> Response {
    let id = header_text(&received.head.headers, &ID_HEADER).ok().flatten().unwrap_or_default();
    let class_settings = server.config.settings.class(received.request.class);
    let is_repeatable = class_settings.idempotency == Idempotency::Idempotent;
    let open_id = match server.request_ids.open(server.runtime.now(), id, is_repeatable) {
        Ok(open_id) => open_id,
        Err(error) => return error.into_response(),
    };
    received.has_begun = open_id.begin_flag();
    received.request.timeout = Ticks((received.request.timeout.0 - CLIENT_MARGIN.0).max(0));
    let response =
        dispatch(&server.runtime, server, client, received, class, &server.lifecycle, |_| {}).await;
    // A rejection says that the request never ran, unless the endpoints drop repeats of its class.
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        open_id.set_never_ran();
    }
    response
}
