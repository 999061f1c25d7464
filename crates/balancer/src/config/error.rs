//! Defines the errors of the configuration file.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use doorproxy::settings::decode::SettingsError;
use thiserror::Error;

/// Describes an invalid configuration, with the path of its file where one is known.
#[derive(Debug)]
pub struct ConfigError {
    /// Holds the path of the file.
    pub path: Option<PathBuf>,
    /// States what is wrong.
    pub kind: ConfigErrorKind,
}

/// States what is wrong with a configuration.
#[derive(Debug, Error)]
pub enum ConfigErrorKind {
    /// Neither the command line nor the environment names a file.
    #[error("no configuration file; expected --config FILE or PROXY_CONFIG")]
    NoPath,
    /// The file can't be read.
    #[error("{0}")]
    Read(#[from] io::Error),
    /// The file is not JSON, or a field is missing or has the wrong type.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// The lists of names in the settings are malformed.
    #[error("settings: {0}")]
    Names(#[source] serde_json::Error),
    /// The seed is malformed.
    #[error("seed: {0:?} is not a 64-bit hexadecimal number")]
    Seed(String),
    /// The sockets do not suffice for clients and endpoints.
    #[error("limits.sockets: {found} is too few; expected {min} or more")]
    TooFewSockets {
        /// Holds the minimum.
        min: usize,
        /// Holds the configured number.
        found: usize,
    },
    /// The memory limit is too low.
    #[error("limits.memory_mb: {found} is too little; expected {min} or more")]
    TooLittleMemory {
        /// The minimum.
        min: usize,
        /// The configured limit.
        found: usize,
    },
    /// A setting is missing or malformed.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// Load reports come from probes, which are disabled.
    #[error("settings: limits.probes is false; expected true, since report.source is \"probe\"")]
    ProbesDisabled,
    /// The admin address in the environment is malformed.
    #[error("{variable}: {found:?} is not a socket address; expected IP:PORT")]
    AdminAddress {
        /// Names the environment variable.
        variable: &'static str,
        /// Holds its value.
        found: String,
    },
    /// The admin API and clients have the same address.
    #[error("control: {0} is also the listen address; expected another address")]
    SameAddress(SocketAddr),
}

impl From<ConfigErrorKind> for ConfigError {
    fn from(kind: ConfigErrorKind) -> ConfigError {
        ConfigError { path: None, kind }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.path {
            Some(path) => write!(f, "{}: {}", path.display(), self.kind),
            None => self.kind.fmt(f),
        }
    }
}

impl std::error::Error for ConfigError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        self.kind.source()
    }
}
