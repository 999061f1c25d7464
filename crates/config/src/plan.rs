//! A configuration that was read and found good. It must never hold what nobody reads.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use doorproxy_routes::router::Router;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listen {
    Tcp(SocketAddr),
    Unix(PathBuf),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    Always,
    Within(Group, Duration),
    Never,
}

impl Repeats {
    /// The more, the less may be repeated.
    pub fn strictness(self) -> u8 {
        match self {
            Repeats::Always => 0,
            Repeats::Within(..) => 1,
            Repeats::Never => 2,
        }
    }

    pub fn told(self) -> String {
        match self {
            Repeats::Always => "always".to_string(),
            Repeats::Never => "never".to_string(),
            Repeats::Within(group, window) => {
                format!("within {window:?} in the same {group:?}").to_lowercase()
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Category {
    pub name: String,
    pub repeats: Repeats,
    pub target: Duration,
    pub ttl: Duration,
    pub benefit: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    pub name: String,
    /// Ops a second.
    pub share: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    pub zone: Option<String>,
    pub cell: Option<u16>,
    pub kind: String,
    pub size: f64,
}

/// Slots of the hashed key space that a kind owns, both ends inclusive.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRange {
    pub kind: String,
    pub from: u64,
    pub to: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    Servers(Vec<Server>),
    Discovery(SocketAddr),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    pub source: Source,
    /// The kind that takes what no range owns; without it the table is derived.
    pub default: Option<String>,
    pub ranges: Vec<KeyRange>,
}

/// Where a value of a request is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum From {
    Header(String),
    Cookie(String),
    Query(String),
    /// The place of the segment.
    Path(usize),
    /// The value itself.
    Fixed(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub category: usize,
    pub pool: usize,
    pub key: Option<From>,
    pub hint: Option<From>,
    pub tenant: Option<From>,
    pub ttl: Duration,
    pub repeats_unsafe_because: Option<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Sidecars and balancers that send to the same servers, this one among them.
    pub sharers: u32,
    pub sockets: usize,
    /// The largest body that is taken, and the largest that is held for a second push.
    pub body: u64,
    pub held: u64,
    pub head: u64,
    pub connect: Duration,
    pub keepalive: Duration,
}

pub struct Plan {
    pub name: String,
    pub listen: Vec<Listen>,
    pub pools: Vec<Pool>,
    pub categories: Vec<Category>,
    pub tenants: Vec<Tenant>,
    pub routes: Vec<Route>,
    /// A pattern may stand in it more than once for a route, which has several hosts.
    pub router: Router,
    pub route_of: Vec<usize>,
    pub limits: Limits,
}
