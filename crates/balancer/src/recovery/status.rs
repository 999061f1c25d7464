//! Renders the recovery status as metrics and as JSON.

use doorproxy::ids::Timestamp;
use doorproxy_recovery::age::Age;
use doorproxy_recovery::startup_status::{StartupStage, StartupStatus};
use doorproxy_recovery::validity::FactSource;
use serde_json::{Value, json};

/// Returns the name and value of each metric.
pub(super) fn metrics(status: &StartupStatus) -> [(&'static str, i64); 4] {
    let stage = match status.stage() {
        StartupStage::Nothing => 0,
        StartupStage::Doubtful => 1,
        StartupStage::Listed => 2,
        StartupStage::Learning => 3,
        StartupStage::Full => 4,
    };
    let to_i64 = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    [
        ("recovery.stage", stage),
        ("recovery.servers", to_i64(status.endpoint_count())),
        ("recovery.answered", to_i64(status.evidence().answered_endpoints)),
        ("recovery.list_failures", i64::from(status.discovery_failures())),
    ]
}

fn describe_age(age: Age) -> Value {
    match age {
        Age::Monotonic(age) => json!({"known": "sure", "seconds": age.as_secs_f64()}),
        Age::WallClock(age) => json!({"known": "by the wall clock", "seconds": age.as_secs_f64()}),
        Age::Unknown => json!({"known": "no"}),
    }
}

fn source_name(source: FactSource) -> &'static str {
    match source {
        FactSource::OwnObservation => "own evidence",
        FactSource::Discovery => "list service",
        FactSource::Configuration => "configuration",
        FactSource::StateDirectory => "folder",
    }
}

/// Returns the JSON of `doorproxy recovery`.
pub(super) fn to_json(status: &StartupStatus, now: Timestamp) -> Value {
    let since_start = |at: Timestamp| (at - status.started_at()).as_secs_f64();
    let changes = status.changes().map(|change| {
        json!({
            "after_s": since_start(change.at),
            "from": change.from.name(),
            "to": change.to.name(),
            "cause": change.cause,
        })
    });
    let evidence = status.evidence();
    json!({
        "stage": status.stage().name(),
        "running_s": since_start(now),
        "list": {
            "servers": status.endpoint_count(),
            "from": status.source().map(source_name),
            "age": status.age().map(describe_age),
            "failed_calls": status.discovery_failures(),
        },
        "evidence": {
            "ready": evidence.ready_endpoints,
            "answered": evidence.answered_endpoints,
            "answers": evidence.answer_count,
        },
        "changes": changes.collect::<Vec<Value>>(),
    })
}
