//! Handles a request: classifies it by the configuration and dispatches it to a pool.

use std::sync::Arc;

use axum::extract::{Extension, Request, State};
use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use doorproxy::dispatcher::NewRequest;
use doorproxy::ids::{ClassId, KeyHash, TenantId};
use doorproxy::rng::hash_text;
use doorproxy_balancer::http::body::BodyError;
use doorproxy_balancer::http::connection::ClientConnection;
use doorproxy_balancer::http::dispatch::{ReceivedRequest, dispatch};
use doorproxy_balancer::http::head_memory::reserve_head;
use doorproxy_balancer::http::headers::prepare_for_upstream;
use doorproxy_balancer::http::request_body::read_request_body;
use doorproxy_balancer::http::responses::{announce_close, rejected_response};
use doorproxy_balancer::runtime::Runtime;
use doorproxy_config::explain::RouteMatch;
use doorproxy_config::sidecar::SidecarConfig;
use doorproxy_routes::request::RequestView;
use thiserror::Error;

use crate::server::Sidecar;
use crate::settings::{MAX_RETRY_AFTER, ticks};

const MICROS_PER_SECOND: f64 = 1e6;

/// States why a request is not dispatched. The text is the body of the response.
#[derive(Debug, Error)]
enum RequestError {
    #[error("Host: more than one; expected exactly one")]
    RepeatedHost,
    #[error("Via: this sidecar has already forwarded the request")]
    Loop,
    #[error("{0}")]
    Invalid(String),
    #[error("no route matches the request")]
    NoRoute,
    #[error("request body: {0}")]
    Body(#[from] BodyError),
}

impl RequestError {
    fn status(&self) -> StatusCode {
        match self {
            RequestError::RepeatedHost | RequestError::Invalid(_) => StatusCode::BAD_REQUEST,
            RequestError::Loop => StatusCode::LOOP_DETECTED,
            RequestError::NoRoute => StatusCode::NOT_FOUND,
            RequestError::Body(BodyError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::Body(BodyError::Incomplete) => StatusCode::BAD_REQUEST,
            RequestError::Body(BodyError::OutOfMemory) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl IntoResponse for RequestError {
    fn into_response(self) -> Response {
        (self.status(), format!("{self}\n")).into_response()
    }
}

pub(crate) async fn handle_request<R: Runtime>(
    State(sidecar): State<Arc<Sidecar<R>>>,
    Extension(client): Extension<Arc<ClientConnection<R>>>,
    request: Request,
) -> Response {
    let response = respond(&sidecar, &client, request).await.unwrap_or_else(|error| error.into_response());
    announce_close(&sidecar.lifecycle, &sidecar.connections, &client, response)
}

async fn respond<R: Runtime>(
    sidecar: &Sidecar<R>,
    client: &Arc<ClientConnection<R>>,
    request: Request,
) -> Result<Response, RequestError> {
    let (mut head, body) = request.into_parts();
    // A request keeps its configuration until it ends, even if a reload replaces it.
    let state = sidecar.state();
    let route_match = classify(&state.config, &head, &sidecar.via)?;
    reserve_head(client.memory(), &mut head)?;
    let body = read_request_body(body, state.config.limits.max_body_bytes, client).await?;
    // Called after the classification, which reads the header fields as the application sent them.
    prepare_for_upstream::<Arc<ClientConnection<R>>>(&mut head);
    add_via(&mut head.headers, &sidecar.via);
    if sidecar.connections.is_full() {
        return Ok(rejected_response(Some(MAX_RETRY_AFTER)));
    }
    let request = new_request(&state.config, &route_match);
    let received = ReceivedRequest { request, head, body, has_begun: Arc::default() };
    let pool = &state.pools[route_match.pool];
    let on_response = |response: &mut axum::http::Response<_>| add_via(response.headers_mut(), &sidecar.via);
    Ok(dispatch(&sidecar.runtime, pool, client, received, "", &sidecar.lifecycle, on_response).await)
}

/// Returns the value of a header field that occurs exactly once.
fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

/// Returns whether `Via` names this sidecar, so that the request has passed through it before.
fn has_own_via(headers: &HeaderMap, via: &str) -> bool {
    let names_via = |value: &HeaderValue| {
        let hops = value.to_str().unwrap_or_default().split(',');
        hops.into_iter().any(|hop| hop.split_whitespace().nth(1) == Some(via))
    };
    headers.get_all(header::VIA).iter().any(names_via)
}

/// Finds the route of a request, and determines its class, pool and parameters from the configuration.
fn classify(config: &SidecarConfig, head: &Parts, via: &str) -> Result<RouteMatch, RequestError> {
    if head.headers.get_all(header::HOST).iter().count() > 1 {
        return Err(RequestError::RepeatedHost);
    }
    if has_own_via(&head.headers, via) {
        return Err(RequestError::Loop);
    }
    let field = |name: &str| single_value(&head.headers, name);
    let target = head.uri.to_string();
    RequestView::new(head.method.as_str(), &target, field("host"))
        .and_then(|request| config.match_request(&request, field))
        .map_err(|error| RequestError::Invalid(error.to_string()))?
        .ok_or(RequestError::NoRoute)
}

/// Returns the index of a tenant. Tenants that are not configured share the index after the last one.
fn tenant_id(config: &SidecarConfig, name: Option<&str>) -> TenantId {
    let tenants = &config.tenants;
    let index = tenants.iter().position(|tenant| Some(tenant.name.as_str()) == name);
    TenantId(index.unwrap_or(tenants.len()) as u16)
}

/// Converts a cost estimate from microseconds to core seconds. A malformed one is ignored.
fn cost_estimate(text: &str) -> Option<f64> {
    let microseconds = text.parse::<f64>().ok()?;
    let is_valid = microseconds.is_finite() && microseconds > 0.0;
    is_valid.then_some(microseconds / MICROS_PER_SECOND)
}

fn new_request(config: &SidecarConfig, route_match: &RouteMatch) -> NewRequest {
    NewRequest {
        class: ClassId(route_match.class as u16),
        tenant: tenant_id(config, route_match.tenant.as_deref()),
        key: route_match.key.as_ref().map(|key| KeyHash(hash_text(key))),
        cost_estimate: route_match.cost_estimate.as_deref().and_then(cost_estimate),
        timeout: ticks(route_match.timeout),
    }
}

fn add_via(headers: &mut HeaderMap, name: &str) {
    if let Ok(via) = HeaderValue::try_from(format!("1.1 {name}")) {
        headers.append(header::VIA, via);
    }
}
