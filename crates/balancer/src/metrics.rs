//! Counts the requests and attempts of one process since its start, and renders the counters for `/_vars`.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};

use axum::http::StatusCode;

#[derive(Default)]
struct OutcomeCounts {
    succeeded: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

/// Counts requests and attempts.
pub struct Metrics {
    /// Holds the counts by class name, in the order in which they are printed.
    classes: Vec<(String, OutcomeCounts)>,
    attempts_sent: AtomicU64,
    in_flight: AtomicI64,
}

/// Holds values that are determined when the metrics are read.
pub struct Gauges {
    /// Counts the endpoints in the list.
    pub listed_endpoints: usize,
    /// Counts the endpoints to which no requests are sent.
    pub avoided_endpoints: usize,
}

impl Metrics {
    /// Creates the counters for these classes.
    pub fn new<'a>(class_names: impl Iterator<Item = &'a String>) -> Metrics {
        let classes = class_names.map(|name| (name.clone(), OutcomeCounts::default())).collect();
        Metrics { classes, attempts_sent: AtomicU64::new(0), in_flight: AtomicI64::new(0) }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Counts the final response to a request. A request that can't be parsed has no class and is not
    /// counted.
    pub fn count_outcome(&self, class: &str, outcome: RequestOutcome) {
        let Some((_, counts)) = self.classes.iter().find(|(name, _)| name == class) else { return };
        let counted = match outcome {
            RequestOutcome::Succeeded => &counts.succeeded,
            RequestOutcome::Rejected => &counts.rejected,
            RequestOutcome::Failed => &counts.failed,
        };
        counted.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt whose request was written completely to an endpoint.
    pub fn count_attempt(&self) {
        self.attempts_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the text of `/_vars`.
    pub fn render(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        let mut line = |name: std::fmt::Arguments, value: i64, form: char| {
            let _ = writeln!(text, "edge_proxy.{name}:{value}|{form}");
        };
        for (class, counts) in &self.classes {
            let outcomes = [
                ("answered", &counts.succeeded),
                ("deferred", &counts.rejected),
                ("errored", &counts.failed),
            ];
            for (outcome, count) in outcomes {
                line(format_args!("{outcome}.{class}"), count.load(Ordering::Relaxed) as i64, 'c');
            }
        }
        line(format_args!("sends"), self.attempts_sent.load(Ordering::Relaxed) as i64, 'c');
        line(format_args!("current"), self.in_flight.load(Ordering::Relaxed), 'g');
        line(format_args!("cluster_size"), gauges.listed_endpoints as i64, 'g');
        line(format_args!("cluster_unhealthy"), gauges.avoided_endpoints as i64, 'g');
        text
    }
}

/// Classifies how a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response was successful.
    Succeeded,
    /// The request was rejected, and the client may retry.
    Rejected,
    /// The request ended in any other way.
    Failed,
}

impl From<StatusCode> for RequestOutcome {
    fn from(status: StatusCode) -> RequestOutcome {
        match status {
            StatusCode::OK => RequestOutcome::Succeeded,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => RequestOutcome::Rejected,
            _ => RequestOutcome::Failed,
        }
    }
}

/// Counts a request as in flight while it exists.
pub struct InFlightGuard(Arc<Metrics>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
