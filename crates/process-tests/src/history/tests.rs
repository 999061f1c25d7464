//! Tests of [`super`].

use super::*;

/// Guards against a history that a crash of the test cluster cut off, and that is read as a whole one or not at all.
#[test]
fn a_history_that_was_cut_off_says_so() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history");
    let writer = HistoryWriter::create(&path, Clock::start()).unwrap();
    for op in 1..4 {
        writer.record(Event::RequestWritten { op });
    }
    assert_eq!(writer.finish().unwrap(), 3);
    let whole = std::fs::read(&path).unwrap();
    let read_of = |bytes: &[u8]| {
        std::fs::write(&path, bytes).unwrap();
        read_history(&path)
            .map(|history| (history.lines.len(), history.is_truncated))
            .map_err(|error| error.contains("line 2"))
    };
    assert_eq!(read_of(&whole), Ok((3, false)));
    assert_eq!(read_of(&whole[..whole.len() - 1]), Ok((2, true)));
    assert_eq!(read_of(&whole[..whole.len() - 9]), Ok((2, true)));
    let spoilt = String::from_utf8(whole).unwrap().replacen("\"op\":2", "\"op\":-2", 1);
    assert_eq!(read_of(spoilt.as_bytes()), Err(true));
}
