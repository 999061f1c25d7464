//! Measures the delay of the test harness itself: a thread sleeps for a fixed time and records how late it
//! wakes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use doorproxy_test_servers::clock::{MS, Micros};
use doorproxy_test_servers::events::{Event, SharedEventSink};

/// The delay above which a measurement is void, because it would show the harness and not the balancers.
pub const MAX_LATENESS: Micros = 50 * MS;
/// The time for which the thread sleeps each time.
const SLEEP_INTERVAL: Duration = Duration::from_millis(5);
/// The time between two records of the largest delay.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// The thread that measures the delay.
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

    /// Ends the thread and returns the largest delay that it recorded.
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
