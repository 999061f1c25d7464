//! Defines the phases of a serving process, and the transitions between them.

use doorproxy::ids::Timestamp;

/// States the phase of a process in serving its clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessPhase {
    /// The process accepts connections and requests.
    Serving,
    /// A successor process accepts the new connections.
    Superseded {
        /// Time at which this process detected that the successor serves.
        since: Timestamp,
    },
    /// Shutdown was requested.
    Draining {
        /// Time of the request.
        requested_at: Timestamp,
    },
    /// Shutdown was requested, and a successor process accepts the new connections.
    DrainingSuperseded {
        /// Time of the shutdown request.
        requested_at: Timestamp,
        /// Time at which this process detected that the successor serves.
        since: Timestamp,
    },
}

impl ProcessPhase {
    /// Returns the time of the first shutdown request.
    pub fn shutdown_requested_at(self) -> Option<Timestamp> {
        match self {
            ProcessPhase::Serving | ProcessPhase::Superseded { .. } => None,
            ProcessPhase::Draining { requested_at }
            | ProcessPhase::DrainingSuperseded { requested_at, .. } => Some(requested_at),
        }
    }

    /// Returns the time since which a successor process serves.
    pub fn superseded_since(self) -> Option<Timestamp> {
        match self {
            ProcessPhase::Serving | ProcessPhase::Draining { .. } => None,
            ProcessPhase::Superseded { since } | ProcessPhase::DrainingSuperseded { since, .. } => {
                Some(since)
            }
        }
    }

    fn new(requested_at: Option<Timestamp>, since: Option<Timestamp>) -> ProcessPhase {
        match (requested_at, since) {
            (None, None) => ProcessPhase::Serving,
            (None, Some(since)) => ProcessPhase::Superseded { since },
            (Some(requested_at), None) => ProcessPhase::Draining { requested_at },
            (Some(requested_at), Some(since)) => ProcessPhase::DrainingSuperseded { requested_at, since },
        }
    }

    /// Returns the phase after a shutdown request. Requests after the first have no effect.
    #[must_use]
    pub fn on_shutdown_requested(self, now: Timestamp) -> ProcessPhase {
        let requested_at = self.shutdown_requested_at().unwrap_or(now);
        ProcessPhase::new(Some(requested_at), self.superseded_since())
    }

    /// Returns the phase after a successor has started to serve, or, with `None`, after it has exited.
    #[must_use]
    pub fn on_successor(self, since: Option<Timestamp>) -> ProcessPhase {
        ProcessPhase::new(self.shutdown_requested_at(), since)
    }
}
