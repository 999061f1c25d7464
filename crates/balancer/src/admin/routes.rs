//! Maps the paths of the admin API to its calls.

use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use doorproxy::ids::Ticks;
use doorproxy_leases::caller_grants::Caller;
use http_body_util::{BodyExt, Limited};
use serde_json::json;

use crate::admin::{AdminApi, AdminError, OverrideAction};
use crate::permits::{PermitAction, PermitCall};
use crate::runtime::Runtime;

/// Limits the size of a body in bytes; every endpoint name is shorter.
const MAX_BODY_BYTES: usize = 512;
/// Limits the time for which a permit may be requested, in seconds.
const MAX_PERMIT_SECONDS: f64 = 86_400.0;

type ApiState<R> = State<Arc<AdminApi<R>>>;
type ApiResult = Result<String, AdminError>;

pub(super) fn router<R: Runtime>(api: Arc<AdminApi<R>>) -> Router {
    Router::new()
        .route("/_ready", get(ready::<R>))
        .route("/_vars", get(metrics::<R>))
        .route("/_recovery", get(recovery::<R>))
        .route("/_members", get(members::<R>))
        .route("/_permits/take", post(acquire_permit::<R>))
        .route("/_permits/back", post(give_permit_back::<R>))
        .route("/_permits/cancel", post(stop_waiting_for_permit::<R>))
        .route("/_upstreams/detach", post(eject::<R>))
        .route("/_upstreams/attach", post(restore::<R>))
        .route("/_fleet/detach", post(eject_in_fleet::<R>))
        .route("/_fleet/attach", post(restore_in_fleet::<R>))
        .with_state(api)
}

async fn ready<R: Runtime>(State(api): ApiState<R>) -> (StatusCode, &'static str) {
    if api.readiness.is_ready() {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn metrics<R: Runtime>(State(api): ApiState<R>) -> String {
    api.metrics_text()
}

async fn recovery<R: Runtime>(State(api): ApiState<R>) -> ApiResult {
    let recovery = api.recovery.as_ref().ok_or(AdminError::NoState)?;
    Ok(format!("{}\n", recovery.status(&api.runtime)))
}

async fn members<R: Runtime>(State(api): ApiState<R>) -> ApiResult {
    let peers = api.peers.as_ref().ok_or(AdminError::NoPeers)?;
    Ok(format!("{}\n", peers.snapshot().members))
}

async fn acquire_permit<R: Runtime>(State(api): ApiState<R>, request: Request) -> ApiResult {
    handle_permit(&api, request, PermitAction::Acquire).await
}

async fn give_permit_back<R: Runtime>(State(api): ApiState<R>, request: Request) -> ApiResult {
    handle_permit(&api, request, PermitAction::GiveBack).await
}

async fn stop_waiting_for_permit<R: Runtime>(State(api): ApiState<R>, request: Request) -> ApiResult {
    handle_permit(&api, request, PermitAction::StopWaiting).await
}

async fn eject<R: Runtime>(State(api): ApiState<R>, request: Request) -> ApiResult {
    handle_override(&api, request, OverrideAction::Eject).await
}

async fn restore<R: Runtime>(State(api): ApiState<R>, request: Request) -> ApiResult {
    handle_override(&api, request, OverrideAction::Restore).await
}

async fn eject_in_fleet<R: Runtime>(State(api): ApiState<R>, request: Request) -> ApiResult {
    handle_fleet_override(&api, request, OverrideAction::Eject).await
}

async fn restore_in_fleet<R: Runtime>(State(api): ApiState<R>, request: Request) -> ApiResult {
    handle_fleet_override(&api, request, OverrideAction::Restore).await
}

async fn handle_permit<R: Runtime>(api: &AdminApi<R>, request: Request, action: PermitAction) -> ApiResult {
    let body = read_body(request).await;
    let call = parse_permit_call(&body, action).ok_or(AdminError::ExpectedPermit)?;
    let now = api.runtime.now();
    let status = api.peers.as_ref().and_then(|peers| peers.call_permit(now, &call));
    let status = status.ok_or_else(|| AdminError::UnknownPermit(call.name.to_string()))?;
    Ok(format!("{status}\n"))
}

async fn handle_override<R: Runtime>(
    api: &AdminApi<R>,
    request: Request,
    action: OverrideAction,
) -> ApiResult {
    let body = read_body(request).await;
    let name = parse_endpoint_name(&body).ok_or(AdminError::ExpectedEndpoint)?;
    api.set_override(name, action)?;
    if action == OverrideAction::Restore && api.is_ejected_by_fleet(name) {
        return Err(AdminError::EjectedByFleet(name.to_string()));
    }
    Ok("done\n".to_string())
}

async fn handle_fleet_override<R: Runtime>(
    api: &AdminApi<R>,
    request: Request,
    action: OverrideAction,
) -> ApiResult {
    let body = read_body(request).await;
    let name = parse_endpoint_name(&body).ok_or(AdminError::ExpectedEndpoint)?;
    let value = api.set_fleet_override(name, action)?;
    let status = json!({"name": name, "out": value.is_ejected, "version": value.version});
    Ok(format!("{status}\n"))
}

/// Returns the body, or an empty one if it is too long or incomplete. No call accepts an empty body.
async fn read_body(request: Request) -> Bytes {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    body.map(|body| body.to_bytes()).unwrap_or_default()
}

/// Parses a body of the form `NAME`, `NAME SECONDS` or `NAME SECONDS CALLER`.
pub fn parse_permit_call(body: &[u8], action: PermitAction) -> Option<PermitCall<'_>> {
    let mut words = std::str::from_utf8(body).ok()?.split_ascii_whitespace();
    let name = words.next()?;
    let seconds = match words.next() {
        None => 0.0,
        Some(text) => text.parse().ok().filter(|seconds| (0.0..=MAX_PERMIT_SECONDS).contains(seconds))?,
    };
    let caller = words.next().map_or(Caller::Unnamed, |name| Caller::Named(name.to_string()));
    let renewal = Ticks::from_secs_f64(seconds);
    words.next().is_none().then_some(PermitCall { name, caller, action, renewal })
}

/// Parses the name of exactly one endpoint, which may be surrounded by white space.
pub fn parse_endpoint_name(body: &[u8]) -> Option<&str> {
    let name = std::str::from_utf8(body).ok()?.trim_ascii();
    let is_separator = |c: char| c.is_whitespace() || c.is_control() || c == ',';
    let is_one_name = !name.is_empty() && !name.contains(is_separator);
    is_one_name.then_some(name)
}
