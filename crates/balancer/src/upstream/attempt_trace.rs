//! Writes a trace of the attempts to the log, for finding faults. It is off unless the runtime enables it.

use std::sync::{Arc, OnceLock};

use doorproxy::ids::EndpointId;

use crate::runtime::{Runtime, TraceTopic};
use crate::upstream::outgoing::OutgoingRequest;
use crate::upstream::stream::ExchangeState;

/// Writes the trace lines of one attempt. Holds nothing unless attempts are traced.
#[derive(Clone)]
pub(super) struct AttemptTrace<R>(Option<Arc<TracedAttempt<R>>>);

struct TracedAttempt<R> {
    runtime: R,
    /// The id of the request, as its client sent it.
    request_id: String,
    endpoint: EndpointId,
    /// The state of the connection, once the attempt has one.
    connection: OnceLock<Arc<ExchangeState>>,
}

impl<R: Runtime> AttemptTrace<R> {
    pub(super) fn new(runtime: &R, outgoing: &OutgoingRequest, endpoint: EndpointId) -> AttemptTrace<R> {
        let traced = || TracedAttempt {
            runtime: runtime.clone(),
            request_id: outgoing.id().to_string(),
            endpoint,
            connection: OnceLock::new(),
        };
        AttemptTrace(runtime.traces(TraceTopic::Attempts).then(|| Arc::new(traced())))
    }

    /// Sets the connection that the later lines name.
    pub(super) fn set_connection(&self, connection: &Arc<ExchangeState>) {
        if let Some(traced) = &self.0 {
            let _ = traced.connection.set(connection.clone());
        }
    }

    /// Writes a line with the time in ticks, the event, and the counts of the connection since it was opened.
    pub(super) fn record(&self, event: &str) {
        let Some(traced) = &self.0 else { return };
        let now = traced.runtime.now().0;
        let (id, endpoint) = (&traced.request_id, traced.endpoint.0);
        let connection = traced.connection.get().map_or_else(String::new, |connection| {
            format!(
                ", connection {}: {} bytes written, {} reads",
                connection.connection_id(),
                connection.written_bytes(),
                connection.reads()
            )
        });
        traced.runtime.log_trace(format_args!(
            "attempt: {event}: at {now}, request {id}, endpoint {endpoint}{connection}"
        ));
    }
}
