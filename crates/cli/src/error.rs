//! The errors of the program. The text of each error contains that of its source.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use doorproxy_balancer::config::ConfigError;
use doorproxy_balancer::http::server;
use doorproxy_balancer::runtime::InheritError;
use doorproxy_sidecar::SidecarError;
use thiserror::Error;

use crate::peer_thread::PeerThreadError;

/// An error that prevents the start of a server or ends it early.
#[derive(Debug, Error)]
pub enum ServeError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    FleetFile(#[from] FleetFileError),
    #[error("the runtime could not start: {0}")]
    Runtime(#[source] io::Error),
    #[error("the signal handlers could not be registered: {0}")]
    Signals(#[source] io::Error),
    #[error("the state thread could not start: {0}")]
    StateThread(#[source] io::Error),
    #[error("control{}: {source}", address.map_or(String::new(), |address| format!(" {address}")))]
    AdminApi { address: Option<SocketAddr>, source: io::Error },
    #[error("{variable}: {source}")]
    InheritedSocket { variable: &'static str, source: InheritError },
    #[error("{}: this process could not be registered: {source}", directory.display())]
    ProcessLocks { directory: PathBuf, source: io::Error },
    #[error(transparent)]
    Peers(#[from] PeerThreadError),
    #[error(transparent)]
    Server(#[from] server::ServeError),
    #[error(transparent)]
    Sidecar(#[from] SidecarError),
}

/// An error that prevents a command from answering.
#[derive(Debug, Error)]
pub enum CommandError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error("{}: the endpoint list is invalid: {source}", path.display())]
    EndpointList { path: PathBuf, source: serde_json::Error },
    #[error(transparent)]
    FleetFile(#[from] FleetFileError),
    #[error(transparent)]
    AdminCall(#[from] AdminCallError),
    #[error("{address}: the fleet file of this balancer has no [peers]")]
    NoPeers { address: SocketAddr },
    #[error("{address}: the fleet file of this balancer has no [leases]")]
    NoLeases { address: SocketAddr },
    #[error("{address}: the fleet file of this balancer has no [limits]")]
    NoLimits { address: SocketAddr },
    #[error("{}: the file has no [limits]", path.display())]
    FileWithoutLimits { path: PathBuf },
    #[error("limits: expected either `--at ADDRESS` or `bound FILE --balancers NUMBER`")]
    LimitsUsage,
    #[error("{}: the file has errors; run `doorproxy check` to list them", path.display())]
    InvalidSidecarConfig { path: PathBuf },
    #[error("--header: {text:?} is not a header field such as 'X-Key: 7'")]
    HeaderSyntax { text: String },
    #[error("--ordinal: {ordinal} is not below {balancers}, the number of balancers")]
    OrdinalOutOfRange { balancers: u32, ordinal: u32 },
    #[error("{}: the file exists and is not replaced", path.display())]
    OutputExists { path: PathBuf },
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// A file or directory that could not be read, written or removed.
#[derive(Debug, Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    pub path: PathBuf,
    pub source: io::Error,
}

impl FileError {
    /// Returns a function for `map_err` that adds the path to an I/O error.
    pub fn at(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> FileError {
        let path = path.into();
        move |source| FileError { path, source }
    }
}

/// An error in reading or checking a fleet file.
#[derive(Debug, Error)]
pub enum FleetFileError {
    #[error(transparent)]
    Read(#[from] FileError),
    #[error("{}: the file has errors:\n{findings}", path.display())]
    Invalid { path: PathBuf, findings: String },
}

/// A failed call to the admin API of a running balancer.
#[derive(Debug, Error)]
#[error("{address}: {kind}")]
pub struct AdminCallError {
    pub address: SocketAddr,
    #[source]
    pub kind: AdminCallErrorKind,
}

#[derive(Debug, Error)]
pub enum AdminCallErrorKind {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the balancer sent no complete response")]
    NoAnswer,
    /// The balancer rejected the call for this reason.
    #[error("{0}")]
    Rejected(String),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// An error that prevents a running sidecar from reloading its configuration.
#[derive(Debug, Error)]
pub enum ReloadError {
    #[error(transparent)]
    Read(#[from] FileError),
    #[error("{code}: {message}")]
    Invalid { code: &'static str, message: String },
    /// The check returned neither a configuration nor an error.
    #[error("the file is invalid, but no error was found")]
    Empty,
}
