//! Checks the work that all balancers together send to an endpoint that is warming up.

use super::Records;
use crate::kernel::Kernel;
use crate::limits::{
    NETWORK_TOLERANCE, OVERLOAD_FACTOR, OVERLOAD_WINDOW, SLOW_START_INITIAL_FRACTION, WARM_UP_TIME,
};
use crate::rule::Rule;
use crate::time::{Micros, SECOND};

/// Random variation may exceed the allowed work by up to this factor,
const TOLERATED_EXCESS_FACTOR: f64 = 1.1;
/// and by the work of this many requests of the largest size in addition.
const TOLERATED_REQUESTS: f64 = 2.0;

/// Work that an endpoint received while it was warming up.
struct ReceivedWork {
    at: Micros,
    /// The work in seconds on a core of normal speed.
    work: f64,
    /// Whether the balancer that sent it had been told of the endpoint's start.
    is_start_known: bool,
}

/// One start of an endpoint.
pub struct ServerStart {
    /// The endpoint's name in the endpoint list.
    pub name: String,
    /// The time of the start; `None` if it was long before the run.
    pub warming_since: Option<Micros>,
    /// The seconds of work that it completes per second once it has warmed up.
    pub capacity: f64,
    /// The work received in the last overload window.
    received_work: Vec<ReceivedWork>,
}

impl ServerStart {
    /// Creates a start without received work.
    pub fn new(name: &str, warming_since: Option<Micros>, capacity: f64) -> ServerStart {
        ServerStart { name: name.to_string(), warming_since, capacity, received_work: Vec::new() }
    }

    /// Returns the fraction of its full capacity that the endpoint has at `now`.
    pub fn capacity_fraction(&self, now: Micros) -> f64 {
        let Some(since) = self.warming_since else { return 1.0 };
        let warmed = (now - since) as f64 / WARM_UP_TIME as f64;
        (SLOW_START_INITIAL_FRACTION + (1.0 - SLOW_START_INITIAL_FRACTION) * warmed).min(1.0)
    }

    /// Returns the seconds of work that it may receive in the window that ends at `now`, by its capacity at
    /// `now`.
    fn allowed_work(&self, now: Micros) -> f64 {
        OVERLOAD_FACTOR * self.capacity * self.capacity_fraction(now) * OVERLOAD_WINDOW as f64 / SECOND as f64
    }
}

impl Records {
    /// Checks that an endpoint that is warming up receives no more work in a window than its capacity allows,
    /// within random variation. A window counts only if balancers that knew of the start sent at least two
    /// thirds of its work.
    pub(super) fn check_slow_start(
        &mut self,
        kernel: &mut Kernel,
        start: usize,
        balancer: usize,
        work: f64,
        sent_at: Micros,
    ) {
        let now = kernel.now;
        let warming_since = self.server_starts[start].warming_since;
        let Some(since) = warming_since.filter(|since| now - since < WARM_UP_TIME) else { return };
        let known = self.known_starts.get(&(balancer, self.server_starts[start].name.clone()));
        let is_start_known = known
            .is_some_and(|known| known.started_at == since && sent_at > known.told_at + NETWORK_TOLERANCE);
        let server = &mut self.server_starts[start];
        server.received_work.push(ReceivedWork { at: now, work, is_start_known });
        let window_start = now.saturating_sub(OVERLOAD_WINDOW).max(since);
        server.received_work.retain(|received| received.at >= window_start);
        let total_work: f64 = server.received_work.iter().map(|received| received.work).sum();
        let informed_work = server.received_work.iter().filter(|received| received.is_start_known);
        let informed_work: f64 = informed_work.map(|received| received.work).sum();
        let largest = server.received_work.iter().map(|received| received.work).fold(0.0, f64::max);
        let allowed = server.allowed_work(now);
        if total_work <= TOLERATED_EXCESS_FACTOR * allowed + TOLERATED_REQUESTS * largest
            || informed_work < total_work * 2.0 / 3.0
        {
            return;
        }
        let text =
            format!("{} got {total_work:.2} s of work in a window that allows {allowed:.2} s", server.name);
        let micros = |work: f64| (work * SECOND as f64) as u64;
        let numbers = [start as u64, micros(total_work), micros(allowed)];
        self.report_violation(kernel, Rule::SlowStartOverload, &numbers, text);
    }
}
