//! What a balancer is given at its start: one JSON file, read whole before any of it is used. It owns the names at
//! the edge (categories, tenants, zones, kinds) and must never pass one on as more than the place it stands at.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use doorproxy::facts::Facts;
use doorproxy::ids::Span;
use doorproxy::rng::mix_text;
use doorproxy::terms::StartTerms;
use serde::Deserialize;
use serde_json::Value;

use crate::form::ListAnswer;

pub struct Given {
    pub name: String,
    pub listen: SocketAddr,
    /// Where the staff call; none: nothing is opened for them.
    pub control: Option<SocketAddr>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub known: ListAnswer,
    /// Stands for all settings: those of two files are the same where this is.
    pub settings: u64,
    pub terms: StartTerms,
    pub categories: BTreeMap<String, u16>,
    pub tenants: BTreeMap<String, u16>,
    pub zones: BTreeMap<String, u16>,
    pub kinds: BTreeMap<String, u16>,
    pub connect_timeout: Span,
    pub keepalive: Span,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    control: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: ListAnswer,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
}

#[derive(Deserialize)]
struct Named {
    name: String,
}

/// The names that stand on the sockets.
#[derive(Deserialize)]
struct Names {
    categories: Vec<Named>,
    #[serde(default)]
    projects: Vec<Named>,
    dcs: Vec<String>,
    kinds: Vec<String>,
}

/// Fewer sockets than this leave no room for both sides.
const LEAST_SOCKETS: usize = 64;

const CONTROL: &str = "PROXY_CONTROL";

pub fn path(named: Option<PathBuf>) -> Result<PathBuf, String> {
    named
        .or_else(|| std::env::var_os("PROXY_CONFIG").map(PathBuf::from))
        .ok_or_else(|| "no configuration: give --config FILE or set PROXY_CONFIG".to_string())
}

pub fn read(path: &Path) -> Result<Arc<Given>, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut given = decode(&text).map_err(|fault| format!("{}: {fault}", path.display()))?;
    // It comes before the file: it is told to this very process, where two share a file in an upgrade.
    if let Some(control) = std::env::var_os(CONTROL).filter(|control| !control.is_empty()) {
        let control = control.to_string_lossy().into_owned();
        given.control =
            Some(control.parse().map_err(|_| format!("{CONTROL}: an address expected, not {control:?}"))?);
    }
    if given.control == Some(given.listen) && given.listen.port() != 0 {
        return Err(format!("control and listen are both {}", given.listen));
    }
    Ok(Arc::new(given))
}

pub fn decode(text: &str) -> Result<Given, String> {
    let file: File = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let names = Names::deserialize(&file.settings).map_err(|error| format!("settings: {error}"))?;
    let mut facts = Facts::default();
    write_out(&mut facts, "", &file.settings);
    let seed = u64::from_str_radix(&file.seed, 16);
    let seed = seed.map_err(|_| format!("a seed of hexadecimal digits expected, not {:?}", file.seed))?;
    if file.limits.sockets < LEAST_SOCKETS {
        return Err(format!("{LEAST_SOCKETS} sockets or more expected, not {}", file.limits.sockets));
    }
    let expected = |what: String| format!("settings: expected {what}");
    if file.settings["report"]["source"] == "probe" && file.settings["limits"]["probes"] == false {
        return Err(expected("limits.probes of true, since report.source is \"probe\"".to_string()));
    }
    Ok(Given {
        name: file.name,
        listen: file.listen,
        control: file.control,
        discovery: file.discovery,
        seed,
        sockets: file.limits.sockets,
        known: file.known,
        settings: mix_text(&file.settings.to_string()),
        terms: facts.terms().map_err(expected)?,
        categories: places(names.categories.into_iter().map(|named| named.name)),
        tenants: places(names.projects.into_iter().map(|named| named.name)),
        zones: places(names.dcs),
        kinds: places(names.kinds),
        connect_timeout: facts.span("limits.connect_timeout").map_err(expected)?,
        keepalive: facts.span("limits.keepalive").map_err(expected)?,
    })
}

impl Given {
    /// What another file of this balancer says that holds from the next start on only, by the names that it has there.
    pub fn not_followed(&self, newer: &Given) -> Vec<&'static str> {
        let said = [
            ("listen", self.listen != newer.listen),
            ("control", self.control != newer.control),
            ("seed", self.seed != newer.seed),
            ("limits", self.sockets != newer.sockets),
            ("settings", self.settings != newer.settings),
        ];
        said.into_iter().filter(|(_, differs)| *differs).map(|(name, _)| name).collect()
    }
}

fn places(names: impl IntoIterator<Item = String>) -> BTreeMap<String, u16> {
    names.into_iter().zip(0..).collect()
}

/// Nested objects as path=value pairs, the form that the decoder of start facts reads.
fn write_out(facts: &mut Facts, path: &str, value: &Value) {
    let below = |name: &str| if path.is_empty() { name.to_string() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                write_out(facts, &below(name), field);
            }
        }
        Value::Array(items) => {
            facts.put(&below("count"), &items.len().to_string());
            for (place, item) in items.iter().enumerate() {
                write_out(facts, &below(&place.to_string()), item);
            }
        }
        Value::String(text) => facts.put(path, text),
        other => facts.put(path, &other.to_string()),
    }
}
