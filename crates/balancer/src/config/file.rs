//! Defines the JSON structure of the configuration file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use doorproxy::settings::decode::SettingsFields;
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::EndpointList;

#[derive(Deserialize)]
pub(super) struct ConfigFile {
    pub name: String,
    pub listen: SocketAddr,
    #[serde(default, rename = "control")]
    pub admin_address: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: String,
    pub limits: FileLimits,
    #[serde(rename = "known")]
    pub known_endpoints: EndpointList,
    pub settings: Value,
}

#[derive(Deserialize)]
pub(super) struct FileLimits {
    pub sockets: usize,
    pub memory_mb: Option<usize>,
}

#[derive(Deserialize)]
pub(super) struct NamedEntry {
    pub name: String,
}

/// Holds the names in the settings by which requests and endpoint lists refer to classes, tenants, zones and
/// kinds.
#[derive(Deserialize)]
pub(super) struct NameTables {
    #[serde(rename = "categories")]
    pub classes: Vec<NamedEntry>,
    #[serde(default, rename = "projects")]
    pub tenants: Vec<NamedEntry>,
    #[serde(rename = "dcs")]
    pub zones: Vec<String>,
    #[serde(rename = "kinds")]
    pub endpoint_kinds: Vec<String>,
}

impl ConfigFile {
    /// Returns whether load reports come from load probes and these are disabled.
    pub(super) fn has_disabled_probes(&self) -> bool {
        self.settings["report"]["source"] == "probe" && self.settings["limits"]["probes"] == false
    }
}

/// Maps each name to its position.
pub(super) fn index_names(names: impl IntoIterator<Item = String>) -> BTreeMap<String, u16> {
    names.into_iter().zip(0..).collect()
}

/// Converts the settings to pairs of path and value, which their decoder reads.
pub(super) fn flatten_settings(settings: &Value) -> SettingsFields {
    let mut fields = SettingsFields::default();
    flatten_value(&mut fields, "", settings);
    fields
}

fn flatten_value(fields: &mut SettingsFields, path: &str, value: &Value) {
    let child = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                flatten_value(fields, &child(name), member);
            }
        }
        Value::Array(items) => {
            fields.insert(&child("count"), &items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten_value(fields, &child(&index.to_string()), item);
            }
        }
        Value::String(text) => fields.insert(path, text),
        other => fields.insert(path, &other.to_string()),
    }
}
