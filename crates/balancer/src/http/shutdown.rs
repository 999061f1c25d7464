//! Takes the steps that end a serving process, in their order. Every server runs them, so that none can leave
//! out a step.

use std::ops::ControlFlow;
use std::sync::Arc;

use axum::Router;

use crate::http::client_connections::ClientConnections;
use crate::http::lifecycle::Lifecycle;
use crate::runtime::{Listener, Runtime};

/// Takes the steps that are due, and breaks once the process may end. A server calls this repeatedly, at the latest
/// from the end of its serving time on, and accepts connections itself until the listeners are closed.
///
/// At the end of the grace period the connections in the backlog are accepted and the listeners are closed: the
/// system refuses connections from then on, and does not reset any that were established.
pub fn advance_shutdown<R: Runtime>(
    runtime: &R,
    lifecycle: &Lifecycle,
    connections: &Arc<ClientConnections<R>>,
    router: &Router,
    listeners: &mut Vec<Arc<R::Listener>>,
) -> ControlFlow<()> {
    let now = runtime.now();
    if !lifecycle.is_closing_idle(now) {
        return ControlFlow::Continue(());
    }
    connections.close_all();
    let is_past_grace_end = lifecycle.is_past_grace_end(now);
    if is_past_grace_end {
        lifecycle.on_grace_end_handled(now);
        connections.reject_incomplete();
    }
    if lifecycle.is_past_final_flush(now) {
        return ControlFlow::Break(());
    }
    // The system resets connections in the backlog when the listener is closed, so they are accepted first.
    if !lifecycle.has_successor() {
        while (is_past_grace_end || connections.count() == 0)
            && let Some(stream) = listeners.iter().find_map(|listener| listener.try_accept())
        {
            connections.spawn(router, stream);
        }
    }
    if is_past_grace_end {
        listeners.clear();
    }
    if connections.count() > 0 { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
}
