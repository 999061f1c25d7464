//! Converts a balancer's configuration for a deployment in which each client process has its own balancer
//! and endpoints answer load probes. Values that only the operator knows are required as arguments. No file
//! is replaced or partly written.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use doorproxy_balancer::config;
use serde_json::{Map, Value, json};

use crate::error::{CommandError, FileError};
use crate::exit::{Answer, CommandResult};
use crate::files::read_text;

/// Convert a balancer's configuration for one balancer in each client process, and print what happens to each
/// field.
#[derive(FromArgs)]
#[argh(subcommand, name = "migrate")]
pub struct MigrateCommand {
    /// the old configuration file, which is not changed
    #[argh(positional)]
    old: PathBuf,
    /// the total number of balancers, including those of the old deployment that keep serving
    #[argh(option)]
    balancers: u32,
    /// the position of this balancer among them, from 0
    #[argh(option)]
    ordinal: u32,
    /// the new configuration file, which must not exist yet
    #[argh(option)]
    out: PathBuf,
    /// the address that this process listens on
    #[argh(option)]
    listen: Option<SocketAddr>,
    /// the seed of random decisions, hexadecimal and different for each balancer
    #[argh(option)]
    seed: Option<String>,
    /// the name of this process's zone
    #[argh(option)]
    zone: Option<String>,
    /// the fields of a load report in order, separated by commas, such as active,waiting
    #[argh(option)]
    report: Option<String>,
    /// disable hedged requests
    #[argh(switch)]
    no_second_copies: bool,
    /// print the changes without writing the file
    #[argh(switch)]
    dry_run: bool,
}

/// The paths of the fields that are copied. `*` stands for any index of a list.
const CARRIED_PATHS: [&str; 40] = [
    "name",
    "discovery",
    "limits.sockets",
    "known.version",
    "known.full",
    "known.servers.*.id",
    "known.servers.*.addr",
    "known.servers.*.zone",
    "known.servers.*.kind",
    "known.servers.*.cell",
    "known.servers.*.state",
    "known.servers.*.weight",
    "known.servers.*.started_ms",
    "settings.categories.*.name",
    "settings.categories.*.semantics",
    "settings.categories.*.benefit",
    "settings.categories.*.target_latency",
    "settings.categories.*.aim_stretch",
    "settings.categories.*.ttl",
    "settings.categories.*.overdue_benefit",
    "settings.categories.*.dedup_scope",
    "settings.categories.*.window",
    "settings.dcs.*",
    "settings.kinds.*",
    "settings.discovery",
    "settings.limits.max_pushes",
    "settings.limits.second_copies",
    "settings.limits.cancelling",
    "settings.limits.retry_after",
    "settings.limits.max_retry_after",
    "settings.limits.connect_timeout",
    "settings.limits.keepalive",
    "settings.prices.connection",
    "settings.prices.handshake",
    "settings.prices.probe",
    "settings.obligations.ask_within",
    "settings.obligations.cold_from",
    "settings.obligations.cold",
    "settings.obligations.fall_multiple",
    "settings.obligations.fall",
];

/// The paths of the fields that the command replaces, each with the reason.
const REPLACED_PATHS: [(&str, &str); 9] = [
    ("listen", "each process has its own address"),
    ("seed", "each process has its own random seed"),
    (
        "settings.n_instances",
        "the number of all balancers, including those of the old deployment while they serve",
    ),
    ("settings.ordinal", "the position of this balancer among all"),
    ("settings.az", "the zone of this process"),
    ("settings.report.source", "endpoints report their load to probes"),
    ("settings.report.fields", "the fields of a load report"),
    ("settings.limits.probes", "probes request the load"),
    ("settings.limits.second_copies", "--no-second-copies disables hedged requests"),
];

/// The paths of the fields that have no counterpart, each with the reason.
const OMITTED_PATHS: [(&str, &str); 2] = [
    (
        "settings.projects",
        "each balancer enforces an even part of a tenant's share, but processes have unequal load",
    ),
    ("settings.overage_benefit", "omitted together with the tenants' shares"),
];

/// The paths of the fields by outcome.
#[derive(Default)]
struct FieldOutcomes {
    carried: BTreeSet<String>,
    omitted: BTreeSet<String>,
    unknown: BTreeSet<String>,
}

impl FieldOutcomes {
    /// Returns the part of a value that the new file keeps, if any, and records the outcome of its fields.
    fn carry_over(&mut self, value: &Value, path: &str) -> Option<Value> {
        if OMITTED_PATHS.iter().any(|(omitted, _)| *omitted == path) {
            self.omitted.insert(path.to_string());
            return None;
        }
        // A field that an optional argument replaces is in both lists.
        let is_carried = CARRIED_PATHS.contains(&path);
        if !is_carried && REPLACED_PATHS.iter().any(|(replaced, _)| *replaced == path) {
            return None;
        }
        match value {
            Value::Object(fields) => self.carry_over_object(fields, path),
            Value::Array(items) => self.carry_over_array(items, path),
            leaf if is_carried => {
                self.carried.insert(path.to_string());
                Some(leaf.clone())
            }
            _ => {
                self.unknown.insert(path.to_string());
                None
            }
        }
    }

    fn carry_over_object(&mut self, fields: &Map<String, Value>, path: &str) -> Option<Value> {
        let mut carried = Map::new();
        for (name, field) in fields {
            if let Some(value) = self.carry_over(field, &join_path(path, name)) {
                carried.insert(name.clone(), value);
            }
        }
        (fields.is_empty() || !carried.is_empty()).then_some(Value::Object(carried))
    }

    fn carry_over_array(&mut self, items: &[Value], path: &str) -> Option<Value> {
        let path = join_path(path, "*");
        let carried: Vec<Value> = items.iter().filter_map(|item| self.carry_over(item, &path)).collect();
        (items.is_empty() || !carried.is_empty()).then_some(Value::Array(carried))
    }

    fn print(&self) {
        for path in &self.omitted {
            println!("not carried over: {path}: {}", reason(&OMITTED_PATHS, path));
        }
        self.carried.iter().for_each(|path| println!("carried over: {path}"));
        self.unknown.iter().for_each(|path| println!("unknown, left out: {path}"));
    }
}

fn join_path(parent: &str, name: &str) -> String {
    if parent.is_empty() { name.to_string() } else { format!("{parent}.{name}") }
}

fn set_path(file: &mut Value, path: &str, value: Value) {
    let mut field = file;
    for name in path.split('.') {
        if !field.is_object() {
            *field = json!({});
        }
        field = &mut field[name];
    }
    *field = value;
}

/// The values that replace fields in the new file.
struct Replacements {
    /// The values by path.
    values: Vec<(&'static str, Value)>,
    /// The options that are missing or invalid, and without which the new file is incomplete.
    missing_options: Vec<&'static str>,
}

impl Replacements {
    fn new(command: &MigrateCommand, zones: &[Value]) -> Replacements {
        let zone = command.zone.as_ref().and_then(|zone| zones.iter().position(|known| known == zone));
        let fields: Option<Vec<&str>> = command
            .report
            .as_ref()
            .map(|report| report.split(',').filter(|field| !field.is_empty()).collect());
        let mut values = vec![
            ("settings.n_instances", json!(command.balancers)),
            ("settings.ordinal", json!(command.ordinal)),
            ("settings.report.source", json!("probe")),
            ("settings.limits.probes", json!(true)),
        ];
        if command.no_second_copies {
            values.push(("settings.limits.second_copies", json!(false)));
        }
        let optional = [
            ("listen", "--listen", command.listen.map(|listen| json!(listen))),
            ("seed", "--seed", command.seed.as_ref().map(|seed| json!(seed))),
            ("settings.az", "--zone, one of settings.dcs", zone.map(|zone| json!(zone))),
            ("settings.report.fields", "--report", fields.map(|fields| json!(fields))),
        ];
        let mut missing_options = Vec::new();
        for (path, option, value) in optional {
            match value {
                Some(value) => values.push((path, value)),
                None => missing_options.push(option),
            }
        }
        Replacements { values, missing_options }
    }
}

/// Converts a configuration. The answer is no if a file is invalid, an option is missing, or a field has no
/// counterpart.
pub fn migrate(command: &MigrateCommand) -> CommandResult {
    check_arguments(command)?;
    let text = read_text(&command.old)?;
    if let Err(error) = config::parse(&text) {
        println!("invalid: {}: {error}", command.old.display());
        return Ok(Answer::No);
    }
    let old: Value = serde_json::from_str(&text)?;
    let mut outcomes = FieldOutcomes::default();
    let mut new = outcomes.carry_over(&old, "").unwrap_or_default();
    let zones = old["settings"]["dcs"].as_array().cloned().unwrap_or_default();
    let replacements = Replacements::new(command, &zones);
    replace_fields(&mut new, replacements.values, &mut outcomes);
    outcomes.print();
    replacements.missing_options.iter().for_each(|option| println!("missing: {option}"));
    if !replacements.missing_options.is_empty() {
        return Ok(Answer::No);
    }
    let text = serde_json::to_string_pretty(&new)? + "\n";
    if !is_valid(&text) {
        return Ok(Answer::No);
    }
    if !command.dry_run {
        write_atomically(&command.out, &text).map_err(FileError::at(&command.out))?;
    }
    Ok(Answer::yes_if(outcomes.omitted.is_empty()))
}

fn check_arguments(command: &MigrateCommand) -> Result<(), CommandError> {
    let MigrateCommand { balancers, ordinal, .. } = *command;
    if ordinal >= balancers {
        return Err(CommandError::OrdinalOutOfRange { balancers, ordinal });
    }
    if command.out.exists() {
        return Err(CommandError::OutputExists { path: command.out.clone() });
    }
    Ok(())
}

fn replace_fields(file: &mut Value, values: Vec<(&'static str, Value)>, outcomes: &mut FieldOutcomes) {
    for (path, value) in values {
        outcomes.carried.remove(path);
        println!("changed: {path} to {value}: {}", reason(&REPLACED_PATHS, path));
        set_path(file, path, value);
    }
}

fn reason(reasons: &[(&'static str, &'static str)], path: &str) -> &'static str {
    reasons.iter().find(|(known, _)| *known == path).map_or("", |(_, reason)| reason)
}

/// Checks the new file, and prints the error if it is invalid.
fn is_valid(text: &str) -> bool {
    match config::parse(text) {
        Err(error) => {
            println!("invalid: the new file: {error}");
            false
        }
        Ok(config) if config.settings.load_report_field.is_none() => {
            println!("invalid: --report has no \"active\", so the load of endpoints would be unknown");
            false
        }
        Ok(_) => true,
    }
}

/// Writes the whole file or nothing. Never replaces a file, even one that is created at the same time.
fn write_atomically(out: &Path, text: &str) -> io::Result<()> {
    let mut temporary = out.as_os_str().to_owned();
    temporary.push(format!(".{}", std::process::id()));
    let written = std::fs::File::create_new(&temporary).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::hard_link(&temporary, out)
    });
    let _ = std::fs::remove_file(&temporary);
    written
}
