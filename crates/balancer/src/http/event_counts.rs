//! Counts why client connections closed, why requests were not answered, and how attempts failed, and reports the
//! counts to the log at intervals.

use std::fmt::{self, Display};
use std::sync::Mutex;

use axum::http::StatusCode;
use doorproxy::ids::{Ticks, Timestamp};

use crate::sync::lock;
use crate::upstream::AttemptResult;

/// Minimum time between two reports.
const REPORT_INTERVAL: Ticks = Ticks(100_000);

/// States why a client connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or it ended after its last response.
    Ended,
    /// The client closed it while input that it had sent before was unread.
    ClosedBehindUnreadInput,
    /// It had no request for too long, or its response was not read for too long.
    TimedOut,
    /// Its request did not arrive in time.
    RequestTimedOut,
    /// It was evicted, or the process shuts down.
    Requested,
    /// Its request was rejected because the process shuts down.
    Rejected,
}

impl CloseReason {
    /// Returns the text for the log and the trace.
    pub fn text(self) -> &'static str {
        match self {
            CloseReason::Ended => "ended by the HTTP library",
            CloseReason::ClosedBehindUnreadInput => "closed by the client",
            CloseReason::TimedOut => "timed out",
            CloseReason::RequestTimedOut => "request not received in time",
            CloseReason::Requested => "closed after the linger time",
            CloseReason::Rejected => "rejected before its request was whole",
        }
    }
}

/// Counts events by their text since the last report.
#[derive(Default)]
pub struct EventCounts(Mutex<State>);

#[derive(Default)]
struct State {
    /// The counts, in the order in which the texts occurred first. The texts are a small fixed set.
    counts: Vec<(&'static str, u64)>,
    reported_at: Timestamp,
}

impl EventCounts {
    /// Counts a closed connection, unless it ended as usual.
    pub fn on_close(&self, reason: CloseReason) {
        if reason != CloseReason::Ended {
            self.add(reason.text());
        }
    }

    /// Counts the final response to a request, unless it is a success.
    pub fn on_response(&self, status: StatusCode) {
        match status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => self.add("answered 503"),
            StatusCode::BAD_GATEWAY => self.add("answered 502"),
            _ => self.add("answered 4xx"),
        }
    }

    /// Counts a finished attempt, unless it succeeded.
    pub fn on_attempt(&self, result: &AttemptResult) {
        if !matches!(result, AttemptResult::Succeeded(_)) {
            self.add(result.name());
        }
    }

    /// Counts an event.
    pub fn add(&self, text: &'static str) {
        let mut state = lock(&self.0);
        match state.counts.iter_mut().find(|(counted, _)| *counted == text) {
            Some((_, count)) => *count += 1,
            None => state.counts.push((text, 1)),
        }
    }

    /// Returns the counts since the last report and starts anew, if a report is due and anything was counted.
    pub fn take_report(&self, now: Timestamp) -> Option<EventReport> {
        let mut state = lock(&self.0);
        if state.counts.is_empty() || now - state.reported_at < REPORT_INTERVAL {
            return None;
        }
        state.reported_at = now;
        Some(EventReport(std::mem::take(&mut state.counts)))
    }
}

/// Displays counted events.
pub struct EventReport(Vec<(&'static str, u64)>);

impl Display for EventReport {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        for (index, (text, count)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(out, "{separator}{text}: {count}")?;
        }
        Ok(())
    }
}
