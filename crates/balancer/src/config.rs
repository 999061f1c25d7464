//! Reads the configuration of a balancer from one JSON file, and maps the names of request classes, tenants,
//! zones and endpoint kinds to their indices.

mod error;
mod file;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doorproxy::ids::Ticks;
use doorproxy::rng::hash_text;
use doorproxy::settings::Settings;
use serde::Deserialize;

use crate::config::file::{ConfigFile, NameTables, NamedEntry, flatten_settings, index_names};
use crate::discovery::EndpointList;
use crate::memory::MIN_LIMIT_MB;

pub use error::{ConfigError, ConfigErrorKind};

/// Sets the minimum number of sockets; fewer do not suffice for clients and endpoints together.
const MIN_SOCKETS: usize = 64;
const PATH_VARIABLE: &str = "PROXY_CONFIG";
const ADMIN_ADDRESS_VARIABLE: &str = "PROXY_CONTROL";

/// Holds the configuration of one balancer.
pub struct Config {
    /// Names the balancer uniquely in the fleet.
    pub name: String,
    /// Holds the address to which clients connect.
    pub listen_address: SocketAddr,
    /// Holds the address of the admin API, or `None` if there is no admin API.
    pub admin_address: Option<SocketAddr>,
    /// Holds the address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Seeds the random number generator.
    pub seed: u64,
    /// Limits the sockets of the process.
    pub max_sockets: usize,
    /// Limits the memory of the process in megabytes, if the file does.
    pub memory_mb: Option<usize>,
    /// Holds the endpoints to start with.
    pub known_endpoints: EndpointList,
    /// Holds the hash of all settings; ids and learned state are valid only under equal settings.
    pub settings_hash: u64,
    /// Holds the settings of the dispatcher.
    pub settings: Settings,
    /// Maps the name of each request class to its index.
    pub classes: BTreeMap<String, u16>,
    /// Maps the name of each tenant to its index.
    pub tenants: BTreeMap<String, u16>,
    /// Maps the name of each zone to its index.
    pub zones: BTreeMap<String, u16>,
    /// Maps the name of each endpoint kind to its index.
    pub endpoint_kinds: BTreeMap<String, u16>,
    /// Limits the time in which a connection to an endpoint must be established.
    pub connect_timeout: Ticks,
    /// Holds the time after which endpoints close an idle connection.
    pub keepalive_timeout: Ticks,
}

/// Returns `path`, or the path in `PROXY_CONFIG` if `path` is `None`.
///
/// # Errors
///
/// Fails if there is neither.
pub fn resolve_path(path: Option<PathBuf>) -> Result<PathBuf, ConfigError> {
    let path = path.or_else(|| std::env::var_os(PATH_VARIABLE).map(PathBuf::from));
    path.ok_or_else(|| ConfigErrorKind::NoPath.into())
}

/// Reads a configuration file. An admin address in `PROXY_CONTROL` takes precedence over that in the file,
/// since two processes may share the file during a handover.
///
/// # Errors
///
/// Fails if the file can't be read or is not a valid configuration.
pub fn load(path: &Path) -> Result<Arc<Config>, ConfigError> {
    let mut config = std::fs::read_to_string(path)
        .map_err(ConfigErrorKind::from)
        .and_then(|text| parse_file(&text))
        .map_err(|kind| ConfigError { path: Some(path.to_path_buf()), kind })?;
    if let Some(address) = std::env::var_os(ADMIN_ADDRESS_VARIABLE).filter(|address| !address.is_empty()) {
        config.admin_address = Some(parse_admin_address(&address.to_string_lossy())?);
    }
    if config.admin_address == Some(config.listen_address) && config.listen_address.port() != 0 {
        return Err(ConfigErrorKind::SameAddress(config.listen_address).into());
    }
    Ok(Arc::new(config))
}

fn parse_admin_address(text: &str) -> Result<SocketAddr, ConfigErrorKind> {
    text.parse().map_err(|_| ConfigErrorKind::AdminAddress {
        variable: ADMIN_ADDRESS_VARIABLE,
        found: text.to_string(),
    })
}

/// Parses the text of a configuration file.
///
/// # Errors
///
/// Fails if the text is not a valid configuration.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    parse_file(text).map_err(ConfigError::from)
}

fn parse_file(text: &str) -> Result<Config, ConfigErrorKind> {
    let file: ConfigFile = serde_json::from_str(text).map_err(ConfigErrorKind::Json)?;
    let names = NameTables::deserialize(&file.settings).map_err(ConfigErrorKind::Names)?;
    let fields = flatten_settings(&file.settings);
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigErrorKind::Seed(file.seed.clone()))?;
    if file.limits.sockets < MIN_SOCKETS {
        return Err(ConfigErrorKind::TooFewSockets { min: MIN_SOCKETS, found: file.limits.sockets });
    }
    if let Some(found) = file.limits.memory_mb.filter(|found| *found < MIN_LIMIT_MB) {
        return Err(ConfigErrorKind::TooLittleMemory { min: MIN_LIMIT_MB, found });
    }
    if file.has_disabled_probes() {
        return Err(ConfigErrorKind::ProbesDisabled);
    }
    let entry_names = |entries: Vec<NamedEntry>| entries.into_iter().map(|entry| entry.name);
    Ok(Config {
        name: file.name,
        listen_address: file.listen,
        admin_address: file.admin_address,
        discovery_address: file.discovery,
        seed,
        max_sockets: file.limits.sockets,
        memory_mb: file.limits.memory_mb,
        known_endpoints: file.known_endpoints,
        settings_hash: hash_text(&file.settings.to_string()),
        settings: fields.decode()?,
        classes: index_names(entry_names(names.classes)),
        tenants: index_names(entry_names(names.tenants)),
        zones: index_names(names.zones),
        endpoint_kinds: index_names(names.endpoint_kinds),
        connect_timeout: fields.ticks("limits.connect_timeout")?,
        keepalive_timeout: fields.ticks("limits.keepalive")?,
    })
}

impl Config {
    /// Returns the changed keys of a newer file that take effect only at the next start. `known` is left out,
    /// since the list of the discovery service has replaced it.
    pub fn restart_only_changes(&self, newer: &Config) -> Vec<&'static str> {
        let changes = [
            ("listen", self.listen_address != newer.listen_address),
            ("control", self.admin_address != newer.admin_address),
            ("seed", self.seed != newer.seed),
            ("limits", self.max_sockets != newer.max_sockets || self.memory_mb != newer.memory_mb),
            ("settings", self.settings_hash != newer.settings_hash),
        ];
        changes.into_iter().filter(|(_, has_changed)| *has_changed).map(|(key, _)| key).collect()
    }
}
