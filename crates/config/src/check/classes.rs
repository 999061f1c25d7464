//! Reads the request classes: whether their requests can be retried, and how long they can take.

use std::time::Duration;

use crate::finding::{Code, nearest_name_hint};
use crate::sidecar::{DedupScope, Idempotency, RequestClass, ResourceLimits};
use crate::table::{Findings, Located, NamedValue, TableReader};

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Sets the default latency objective of a class, relative to its timeout.
const DEFAULT_OBJECTIVE_RATIO: f64 = 0.5;
const DEFAULT_PRIORITY_WEIGHT: f64 = 1.0;

/// Holds the fields of a class that concern retries, as written.
struct RepeatFields {
    repeats: Option<Located<String>>,
    scope: Option<Located<String>>,
    /// Whether the field is present, even if its value is invalid.
    has_window: bool,
    window: Option<Located<Duration>>,
}

/// Reads the classes, sorted by name. They depend on the limits, since a retry needs time for a new
/// connection.
pub fn read_classes(
    file: &mut TableReader,
    limits: &ResourceLimits,
    findings: &mut Findings,
) -> Vec<RequestClass> {
    let entries = file.entries("category", findings).into_iter();
    entries.filter_map(|entry| read_class(entry, limits, findings)).collect()
}

fn read_class(entry: NamedValue, limits: &ResourceLimits, findings: &mut Findings) -> Option<RequestClass> {
    let name = entry.name;
    let mut table = TableReader::from_value(format!("category {:?}", name.value), entry.value, findings)?;
    let fields = RepeatFields {
        repeats: table.required_string("repeats", findings),
        scope: table.string("group", findings),
        has_window: table.has("window"),
        window: table.duration("window", ("1ms", "24h"), findings),
    };
    let timeout = table.duration("ttl", ("1ms", "60m"), findings);
    let objective = table.duration("target", ("1ms", "60m"), findings);
    let priority_weight = table.number("benefit", (0.0, 1e6), DEFAULT_PRIORITY_WEIGHT, findings);
    let timeout = timeout.map_or(DEFAULT_TIMEOUT, |time| time.value);
    let objective = objective.map_or(timeout.mul_f64(DEFAULT_OBJECTIVE_RATIO), |time| time.value);
    let class = RequestClass {
        name: name.value.clone(),
        idempotency: Idempotency::NonIdempotent,
        latency_objective: objective,
        timeout,
        priority_weight,
    };
    check_times(&class, &table, limits, findings);
    let idempotency = read_idempotency(&name, &fields, &table, limits, findings);
    table.reject_unknown_fields(findings);
    Some(RequestClass { idempotency, ..class })
}

fn check_times(class: &RequestClass, table: &TableReader, limits: &ResourceLimits, findings: &mut Findings) {
    let RequestClass { name, timeout, latency_objective, .. } = class;
    if timeout < latency_objective {
        let message = format!(
            "ttl of category {name:?} is {timeout:?}, shorter than its target of {latency_objective:?}"
        );
        findings.error(Code::TtlUnderTarget, table.span_of("ttl"), message);
    }
    if limits.connect_timeout > *timeout {
        let message = format!(
            "ttl of category {name:?} is {timeout:?}, shorter than connect of limits, {:?}",
            limits.connect_timeout
        );
        findings.error(Code::BudgetOverTtl, table.span_of("ttl"), message);
    }
}

fn read_idempotency(
    name: &Located<String>,
    fields: &RepeatFields,
    table: &TableReader,
    limits: &ResourceLimits,
    findings: &mut Findings,
) -> Idempotency {
    let scope = read_scope(fields, table, findings);
    let idempotency = match fields.repeats.as_ref().map(|repeats| repeats.value.as_str()) {
        Some("always") => Idempotency::Idempotent,
        Some("deduplicated") => {
            Idempotency::Deduplicated(scope, read_window(name, fields, table, limits, findings))
        }
        Some("never") | None => Idempotency::NonIdempotent,
        Some(other) => {
            let hint = nearest_name_hint(other, ["always", "never", "deduplicated"]);
            let message = format!(
                "repeats of {} must be \"always\", \"never\" or \"deduplicated\", not {other:?}{hint}",
                table.description
            );
            findings.error(Code::OutOfBounds, table.span_of("repeats"), message);
            Idempotency::NonIdempotent
        }
    };
    if fields.has_window && !matches!(idempotency, Idempotency::Deduplicated(..)) {
        let message = format!(
            "category {:?} has a window, which only applies with repeats = \"deduplicated\"",
            name.value
        );
        findings.error(Code::RepeatOutsideWindow, table.span_of("window"), message);
    }
    idempotency
}

fn read_scope(fields: &RepeatFields, table: &TableReader, findings: &mut Findings) -> DedupScope {
    match fields.scope.as_ref().map(|scope| scope.value.as_str()) {
        None | Some("all") => DedupScope::All,
        Some("zone") => DedupScope::Zone,
        Some("cell") => DedupScope::Cell,
        Some(other) => {
            let hint = nearest_name_hint(other, ["all", "zone", "cell"]);
            let message = format!(
                "group of {} must be \"all\", \"zone\" or \"cell\", not {other:?}{hint}",
                table.description
            );
            findings.error(Code::OutOfBounds, table.span_of("group"), message);
            DedupScope::All
        }
    }
}

fn read_window(
    name: &Located<String>,
    fields: &RepeatFields,
    table: &TableReader,
    limits: &ResourceLimits,
    findings: &mut Findings,
) -> Duration {
    let window = fields.window.as_ref().map_or(Duration::ZERO, |window| window.value);
    if !fields.has_window {
        let message = format!(
            "category {:?} is deduplicated but has no window, the time in which servers drop duplicates",
            name.value
        );
        findings.error(Code::RepeatOutsideWindow, name.span.clone(), message);
    } else if window <= limits.connect_timeout {
        let message = format!(
            "window of category {:?} is {window:?}, too short for a retry, since connect of limits is {:?}",
            name.value, limits.connect_timeout
        );
        findings.error(Code::RepeatOutsideWindow, table.span_of("window"), message);
    }
    window
}
