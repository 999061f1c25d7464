//! How late the harness itself runs: a thread that sleeps and measures how late it wakes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use doorproxy_test_servers::clock::{MS, Micros};
use doorproxy_test_servers::events::{Event, SharedEventSink};

/// Above this a measurement shows the harness itself.
pub const MAX_LATENESS: Micros = 50 * MS;
/// How long the thread sleeps at a time.
const SLEEP_INTERVAL: Duration = Duration::from_millis(5);
/// How often the worst is recorded.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// The thread.
pub(crate) struct LatenessMonitor {
    stop_requested: Arc<AtomicBool>,
    max_lateness: Arc<AtomicU64>,
    thread: Option<thread::JoinHandle<()>>,
}

impl LatenessMonitor {
    /// Starts the thread.
    pub fn start(events: SharedEventSink) -> LatenessMonitor {
        let stop_requested = Arc::new(AtomicBool::new(false));
        let max_lateness = Arc::new(AtomicU64::new(0));
        let stop = stop_requested.clone();
        let max = max_lateness.clone();
        let thread = thread::spawn(move || measure(&events, &stop, &max));
        LatenessMonitor { stop_requested, max_lateness, thread: Some(thread) }
    }

    /// Ends the thread and returns the worst lateness that it recorded.
    pub fn stop(mut self) -> Micros {
        self.stop_requested.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        self.max_lateness.load(Ordering::Relaxed)
    }
}

fn measure(events: &SharedEventSink, stop_requested: &AtomicBool, max_lateness: &AtomicU64) {
    let mut recent = 0;
    let mut recorded_at = Instant::now();
    while !stop_requested.load(Ordering::Relaxed) {
        let began_at = Instant::now();
        thread::sleep(SLEEP_INTERVAL);
        recent = recent.max((began_at.elapsed() - SLEEP_INTERVAL).as_micros() as Micros);
        if recorded_at.elapsed() > RECORD_INTERVAL {
            events.record(Event::HarnessLate { by: recent });
            max_lateness.fetch_max(recent, Ordering::Relaxed);
            recent = 0;
            recorded_at = Instant::now();
        }
    }
}
