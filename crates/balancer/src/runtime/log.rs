//! Writes the log to standard error on a separate thread, without blocking callers. Lines beyond the rate
//! limit are counted, and the next line reports the count; lines beyond the queue are lost uncounted.

use std::fmt::Arguments;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant};

const MAX_LINES_PER_SECOND: u32 = 20;
/// Limits the lines that wait to be written; further lines are dropped.
const MAX_QUEUED_LINES: usize = 256;
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Names the thread that writes the log.
pub const THREAD_NAME: &str = "log";

struct RateWindow {
    started_at: Option<Instant>,
    lines: u32,
}

static RATE_WINDOW: Mutex<RateWindow> = Mutex::new(RateWindow { started_at: None, lines: 0 });
static WRITER: OnceLock<Option<SyncSender<Entry>>> = OnceLock::new();

enum Entry {
    Line(String),
    /// Asks for a signal once all entries before it are written.
    Flush(SyncSender<()>),
}

/// Returns the number of lines that were suppressed before this one, or `None` if this one is suppressed too.
fn admit_line() -> Option<u32> {
    let mut window = RATE_WINDOW.lock().ok()?;
    let now = Instant::now();
    let mut suppressed = 0;
    if window.started_at.is_none_or(|started_at| now - started_at >= Duration::from_secs(1)) {
        suppressed = window.lines.saturating_sub(MAX_LINES_PER_SECOND);
        *window = RateWindow { started_at: Some(now), lines: 0 };
    }
    window.lines += 1;
    (window.lines <= MAX_LINES_PER_SECOND).then_some(suppressed)
}

fn start_writer() -> Option<SyncSender<Entry>> {
    let (sender, entries) = sync_channel(MAX_QUEUED_LINES);
    let write_entries = move || {
        for entry in entries {
            match entry {
                Entry::Line(line) => eprintln!("{line}"),
                Entry::Flush(done) => drop(done.try_send(())),
            }
        }
    };
    let thread = std::thread::Builder::new().name(THREAD_NAME.to_string());
    thread.spawn(write_entries).ok()?;
    Some(sender)
}

fn enqueue(line: String) {
    if let Some(entries) = WRITER.get_or_init(start_writer) {
        let _ = entries.try_send(Entry::Line(line));
    }
}

/// Waits until all lines are written, but at most `FLUSH_TIMEOUT`, since the reader of the log may have
/// stalled.
pub fn flush() {
    let (done, written) = sync_channel(1);
    if let Some(Some(entries)) = WRITER.get()
        && entries.try_send(Entry::Flush(done)).is_ok()
    {
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Queues a line, or counts it as suppressed if the rate limit is reached.
pub fn write_line(line: Arguments) {
    if let Some(suppressed) = admit_line() {
        if suppressed > 0 {
            enqueue(format!("server: suppressed {suppressed} log lines"));
        }
        enqueue(line.to_string());
    }
}

/// Queues a line without a limit on their rate: a trace line, or a change of the process's state, which must not be
/// suppressed. It is lost if the queue is full.
pub fn write_unlimited_line(line: Arguments) {
    enqueue(line.to_string());
}
