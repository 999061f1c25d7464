//! Three test endpoints and the discovery service that lists them, for trying a balancer on one machine.
//! Nothing here is meant to be fast or to store anything.
//!
//! `POST /api/targets/s-1/leaving` at the discovery service drains an endpoint, `.../active` takes it back.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, Query, Request, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;

const DISCOVERY_ADDRESS: &str = "127.0.0.1:8500";
const RESPONSE_TIME: Duration = Duration::from_millis(20);
const ENDPOINTS: [Endpoint; 3] = [
    Endpoint { id: "s-1", address: "127.0.0.1:6001", kind: "small" },
    Endpoint { id: "s-2", address: "127.0.0.1:6002", kind: "small" },
    Endpoint { id: "s-3", address: "127.0.0.1:6003", kind: "large" },
];

struct Endpoint {
    id: &'static str,
    address: &'static str,
    kind: &'static str,
}

/// The data that discovery serves: a version that grows with each change, and the state of each endpoint.
#[derive(Clone)]
struct Registry {
    version: u64,
    states: [String; ENDPOINTS.len()],
}

type SharedRegistry = Arc<watch::Sender<Registry>>;

/// The query of a discovery call. With `after`, the call waits up to `wait_ms` for a newer version.
#[derive(Deserialize)]
struct DiscoveryQuery {
    after: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

async fn get_endpoints(
    State(registry): State<SharedRegistry>,
    Query(query): Query<DiscoveryQuery>,
) -> Json<Value> {
    let mut changes = registry.subscribe();
    if let Some(after) = query.after {
        let newer = changes.wait_for(|registry| registry.version > after);
        let _ = tokio::time::timeout(Duration::from_millis(query.wait_ms), newer).await;
    }
    let Registry { version, states } = registry.borrow().clone();
    let entry = |(endpoint, state): (&Endpoint, &String)| {
        json!({
            "id": endpoint.id,
            "addr": endpoint.address,
            "zone": "east",
            "kind": endpoint.kind,
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        })
    };
    let entries: Vec<Value> = ENDPOINTS.iter().zip(&states).map(entry).collect();
    Json(json!({"version": version, "full": true, "servers": entries}))
}

async fn set_endpoint_state(
    State(registry): State<SharedRegistry>,
    Path((id, state)): Path<(String, String)>,
) -> StatusCode {
    let Some(index) = ENDPOINTS.iter().position(|endpoint| endpoint.id == id) else {
        return StatusCode::NOT_FOUND;
    };
    registry.send_modify(|registry| {
        registry.version += 1;
        registry.states[index] = state;
    });
    StatusCode::NO_CONTENT
}

async fn serve_endpoint(id: &'static str, address: &'static str) -> std::io::Result<()> {
    let respond = move |request: Request| async move {
        tokio::time::sleep(RESPONSE_TIME).await;
        println!("{id}: {} {}", request.method(), request.uri());
        format!("{id} answers {} {}\n", request.method(), request.uri())
    };
    axum::serve(TcpListener::bind(address).await?, Router::new().fallback(respond)).await
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    for endpoint in ENDPOINTS {
        tokio::spawn(serve_endpoint(endpoint.id, endpoint.address));
    }
    let states = ENDPOINTS.map(|_| "active".to_string());
    let registry: SharedRegistry = Arc::new(watch::Sender::new(Registry { version: 1, states }));
    let router = Router::new()
        .route("/api/targets", get(get_endpoints))
        .route("/api/targets/{id}/{state}", post(set_endpoint_state))
        .with_state(registry);
    println!("discovery: listening on {DISCOVERY_ADDRESS}");
    axum::serve(TcpListener::bind(DISCOVERY_ADDRESS).await?, router).await
}
