//! Defines the valid configuration of a sidecar, the result of a check without errors.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use doorproxy_routes::router::Router;

/// Says where a sidecar accepts connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListenAddress {
    /// Holds an IP address and a port.
    Tcp(SocketAddr),
    /// Holds the path of a Unix domain socket.
    Unix(PathBuf),
}

impl ListenAddress {
    /// Returns the address as shown in messages.
    pub fn describe(&self) -> String {
        match self {
            ListenAddress::Tcp(address) => address.to_string(),
            ListenAddress::Unix(path) => path.display().to_string(),
        }
    }
}

/// Says which endpoints share their records of processed requests, and so drop each other's duplicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints of a pool share them.
    All,
    /// The endpoints of a zone share them.
    Zone,
    /// The endpoints of a cell share them.
    Cell,
}

impl DedupScope {
    /// Returns its name in files and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            DedupScope::All => "all",
            DedupScope::Zone => "zone",
            DedupScope::Cell => "cell",
        }
    }
}

/// Says whether a request that an endpoint may have processed can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It can always be retried.
    Idempotent,
    /// It can be retried only within the scope and the time window in which endpoints drop duplicates.
    Deduplicated(DedupScope, Duration),
    /// It must not be retried.
    NonIdempotent,
}

impl Idempotency {
    /// Returns a rank that is higher where fewer retries are allowed. Only its order is meaningful.
    pub fn strictness(self) -> u8 {
        match self {
            Idempotency::Idempotent => 0,
            Idempotency::Deduplicated(..) => 1,
            Idempotency::NonIdempotent => 2,
        }
    }

    /// Returns the rule as shown after the word "repeats" in messages.
    pub fn describe(self) -> String {
        match self {
            Idempotency::Idempotent => "always".to_string(),
            Idempotency::NonIdempotent => "never".to_string(),
            Idempotency::Deduplicated(scope, window) => {
                format!("within {window:?} in the same {}", scope.as_str())
            }
        }
    }
}

/// Holds the settings of a request class, the `category` of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Holds its name in the file.
    pub name: String,
    /// Whether its requests can be retried.
    pub idempotency: Idempotency,
    /// Sets the latency that its requests should not exceed.
    pub latency_objective: Duration,
    /// Limits how long a request may take.
    pub timeout: Duration,
    /// Weighs its requests against those of other classes when load is shed.
    pub priority_weight: f64,
}

/// Holds the quota that the requests of one tenant share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Holds its name in the file.
    pub name: String,
    /// Limits its requests per second.
    pub quota: f64,
}

/// Describes an endpoint that is listed in the file itself.
#[derive(Clone, Debug, PartialEq)]
pub struct StaticEndpoint {
    /// Holds its name, which is unique in its pool.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Holds its zone, if the file sets one.
    pub zone: Option<String>,
    /// Holds its cell, if the file sets one.
    pub cell: Option<u16>,
    /// Holds its endpoint kind.
    pub kind: String,
    /// Holds its capacity relative to other endpoints.
    pub weight: f64,
}

/// Assigns a range of key slots to an endpoint kind.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRange {
    /// Names the kind that owns the slots.
    pub kind: String,
    /// Holds the first slot.
    pub first: u64,
    /// Holds the last slot, inclusive.
    pub last: u64,
}

/// Says where the endpoints of a pool come from.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointSource {
    /// The file lists them.
    Static(Vec<StaticEndpoint>),
    /// Discovery at this address lists them.
    Discovery(SocketAddr),
}

/// Describes the endpoints among which requests are balanced.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Holds its name in the file.
    pub name: String,
    /// Where its endpoints come from.
    pub source: EndpointSource,
    /// Names the kind that gets the keys that no range owns. With neither a default nor ranges, the route
    /// table is derived from the endpoints.
    pub default_kind: Option<String>,
    /// Lists the ranges, sorted by their slots and without overlaps.
    pub key_ranges: Vec<KeyRange>,
}

/// Says which part of a request provides a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueSource {
    /// Reads the header field with this name, in lower case.
    Header(String),
    /// Reads the cookie with this name.
    Cookie(String),
    /// Reads the query parameter with this name.
    Query(String),
    /// Reads the path segment with this index.
    PathSegment(usize),
    /// Provides this value for every request.
    Fixed(String),
}

/// Assigns the requests that a route matches to one class and one pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Holds its name in the file, or its methods and path if it has none.
    pub name: String,
    /// Holds the index of its class.
    pub class: usize,
    /// Holds the index of its pool.
    pub pool: usize,
    /// Which part of a request provides the key.
    pub key: Option<ValueSource>,
    /// Which part of a request provides the cost estimate, in core seconds.
    pub cost_estimate: Option<ValueSource>,
    /// Which part of a request provides the tenant's name.
    pub tenant: Option<ValueSource>,
    /// Limits how long a request may take, to at most the timeout of the class.
    pub timeout: Duration,
    /// Holds the reason that the file gives for retrying unsafe methods on this route.
    pub unsafe_retry_reason: Option<String>,
}

/// Limits the resources that a sidecar uses.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceLimits {
    /// Counts the sidecars and balancers that send to the same endpoints, this one included.
    pub balancer_count: u32,
    /// Limits the sockets to clients and endpoints together.
    pub max_sockets: usize,
    /// Limits the request body that is accepted, in bytes.
    pub max_body_bytes: u64,
    /// Limits the request body that is buffered for a retry, in bytes.
    pub max_buffered_bytes: u64,
    /// Limits the request head, in bytes.
    pub max_head_bytes: u64,
    /// Limits how long connecting to an endpoint may take.
    pub connect_timeout: Duration,
    /// Sets the time after which an idle connection is closed.
    pub keepalive_timeout: Duration,
}

/// Holds a configuration in which no error was found.
pub struct SidecarConfig {
    /// Holds the sidecar's name.
    pub name: String,
    /// Where it listens.
    pub listeners: Vec<ListenAddress>,
    /// Lists the pools, sorted by name.
    pub pools: Vec<Pool>,
    /// Lists the request classes, sorted by name.
    pub classes: Vec<RequestClass>,
    /// Lists the tenants, sorted by name.
    pub tenants: Vec<Tenant>,
    /// Lists the routes in the order of the file.
    pub routes: Vec<Route>,
    /// Holds the patterns of all routes. A route with several hosts has one pattern for each.
    pub router: Router,
    /// Maps the index of a pattern to that of its route.
    pub route_of_pattern: Vec<usize>,
    /// Limits the resources that the sidecar uses.
    pub limits: ResourceLimits,
}
