//! The history of a run: a file with one line of JSON per event, each with its time, in the order of
//! recording. Once a line can't be written, later ones are dropped and [`HistoryWriter::finish`] fails, so
//! that no gap goes unnoticed.

use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;

use doorproxy_test_servers::clock::{Clock, Micros};
use doorproxy_test_servers::events::{Event, EventSink};
use serde::{Deserialize, Serialize};

/// The largest number of lines; a run of 24 balancers for a minute has a tenth of it.
const MAX_LINES: usize = 4_000_000;

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryLine {
    /// When the event was recorded.
    pub at: Micros,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

struct Output {
    file: BufWriter<File>,
    count: usize,
    error: Option<io::Error>,
}

/// Writes a history; it is the event sink of a run.
pub struct HistoryWriter {
    clock: Clock,
    output: Mutex<Output>,
}

impl HistoryWriter {
    /// Creates the file of a history.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    pub fn create(path: &Path, clock: Clock) -> io::Result<HistoryWriter> {
        let file = BufWriter::new(File::create(path)?);
        Ok(HistoryWriter { clock, output: Mutex::new(Output { file, count: 0, error: None }) })
    }

    /// Flushes the file and returns the number of lines.
    ///
    /// # Errors
    ///
    /// Fails with the first error since the start, which may be that there were too many lines.
    pub fn finish(&self) -> io::Result<usize> {
        let mut output = self.output.lock().expect("no thread panics while it holds this lock");
        match output.error.take() {
            Some(error) => Err(error),
            None => output.file.flush().map(|()| output.count),
        }
    }
}

impl EventSink for HistoryWriter {
    fn record(&self, event: Event) {
        let mut output = self.output.lock().expect("no thread panics while it holds this lock");
        if output.error.is_some() {
            return;
        }
        // The time is taken under the lock, so that lines are in the order of their times.
        let line = HistoryLine { at: self.clock.now(), event };
        output.count += 1;
        let result = if output.count > MAX_LINES {
            Err(io::Error::other(format!("the history has more than {MAX_LINES} lines")))
        } else {
            let text = serde_json::to_string(&line).map_err(io::Error::from);
            text.and_then(|text| writeln!(output.file, "{text}"))
        };
        output.error = result.err();
    }
}

/// A history that was read from a file.
#[derive(Debug)]
pub struct History {
    /// All complete lines.
    pub lines: Vec<HistoryLine>,
    /// True if the last line is incomplete, as a test cluster that was killed leaves it.
    pub is_truncated: bool,
}

/// Reads a history.
///
/// # Errors
///
/// Fails if the file can't be read or a complete line is invalid; the error names the line.
pub fn read_history(path: &Path) -> Result<History, String> {
    let with_path = |error: String| format!("{}: {error}", path.display());
    let file = File::open(path).map_err(|error| with_path(error.to_string()))?;
    let mut history = History { lines: Vec::new(), is_truncated: false };
    let mut reader = BufReader::new(file);
    let mut text = Vec::new();
    loop {
        text.clear();
        if reader.read_until(b'\n', &mut text).map_err(|error| with_path(error.to_string()))? == 0 {
            return Ok(history);
        }
        match serde_json::from_slice(&text) {
            Ok(line) if text.ends_with(b"\n") => history.lines.push(line),
            Err(error) if text.ends_with(b"\n") => {
                return Err(with_path(format!("line {}: {error}", history.lines.len() + 1)));
            }
            _ => history.is_truncated = true,
        }
    }
}

#[cfg(test)]
mod tests;
