//! Holds what all client connections of a process share.

use std::sync::{Arc, Mutex};

use crate::http::event_counts::EventCounts;
use crate::memory::MemoryBudget;
use crate::runtime::stall_detector::StallDetector;

/// Holds what all client connections of a process share.
pub struct ServerContext {
    /// Dates input that arrived while the process did not run.
    pub stall_detector: Mutex<StallDetector>,
    /// Counts why connections closed and requests were not answered.
    pub events: Arc<EventCounts>,
    /// Bounds the memory of all buffers.
    pub memory: MemoryBudget,
}
