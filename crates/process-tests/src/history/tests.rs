//! Tests of [`super`].

use super::*;

/// Detects a history that a crash of the test cluster truncated and that is then read as complete, or
/// not at all.
#[test]
fn truncated_history_is_read_and_marked() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("history");
    let writer = HistoryWriter::create(&path, Clock::start()).unwrap();
    for op in 1..4 {
        writer.record(Event::RequestWritten { op });
    }
    assert_eq!(writer.finish().unwrap(), 3);
    let whole = std::fs::read(&path).unwrap();
    let read = |bytes: &[u8]| {
        std::fs::write(&path, bytes).unwrap();
        read_history(&path)
            .map(|history| (history.lines.len(), history.is_truncated))
            .map_err(|error| error.contains("line 2"))
    };
    assert_eq!(read(&whole), Ok((3, false)));
    assert_eq!(read(&whole[..whole.len() - 1]), Ok((2, true)));
    assert_eq!(read(&whole[..whole.len() - 9]), Ok((2, true)));
    let corrupted = String::from_utf8(whole).unwrap().replacen("\"op\":2", "\"op\":-2", 1);
    assert_eq!(read(corrupted.as_bytes()), Err(true));
}

/// Detects a renamed event that changes the format: kept histories could no longer be checked.
#[test]
fn event_names_in_the_history_are_stable() {
    let lines = [
        r#"{"at":1,"what":"asked","op":1,"node":"n0","kind":"look","work":2,"ttl":3,"of":1}"#,
        r#"{"at":1,"what":"asked","op":1,"node":"n0","kind":"top","work":2,"ttl":3,"of":1}"#,
        r#"{"at":1,"what":"asked","op":1,"node":"n0","kind":"buy","work":2,"ttl":3,"of":1}"#,
        r#"{"at":1,"what":"sent","op":1}"#,
        r#"{"at":1,"what":"answered","op":1,"status":200,"by":"u0#1"}"#,
        r#"{"at":1,"what":"lost","op":1}"#,
        r#"{"at":1,"what":"untaken","op":1}"#,
        r#"{"at":1,"what":"left","op":1}"#,
        r#"{"at":1,"what":"silent","op":1}"#,
        r#"{"at":1,"what":"second","op":1}"#,
        r#"{"at":1,"what":"came","op":1,"server":"u0","start":1,"node":"n0","first_byte":2,"right":true}"#,
        r#"{"at":1,"what":"declined","op":1,"server":"u0","start":1}"#,
        r#"{"at":1,"what":"ran","op":1,"server":"u0","start":1}"#,
        r#"{"at":1,"what":"opened","server":"u0","start":1,"node":"n0"}"#,
        r#"{"at":1,"what":"started","server":"u0","start":1,"cold":true,"since":2,"capacity":4.0}"#,
        r#"{"at":1,"what":"fell","server":"u0","start":1}"#,
        r#"{"at":1,"what":"ended","server":"u0"}"#,
        r#"{"at":1,"what":"called","node":"n0","status":200}"#,
        concat!(
            r#"{"at":1,"what":"told","node":"n0","version":1,"whole":true,"#,
            r#""rows":[{"server":"u0","state":"active","started":0}]}"#
        ),
        r#"{"at":1,"what":"told","node":"n0","connected":1,"version":1,"whole":true,"rows":[]}"#,
        r#"{"at":1,"what":"listed","server":"u0","state":"left"}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":"started"}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":"ready"}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":"killed"}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":"terminated"}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":"stopped"}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":"continued"}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":{"exited":1}}"#,
        r#"{"at":1,"what":"process","node":"n0","id":1,"did":"stayed"}"#,
        r#"{"at":1,"what":"by-hand","node":"n0","server":"u0","out":true}"#,
        r#"{"at":1,"what":"for-fleet","node":"n0","server":"u0","out":false}"#,
        r#"{"at":1,"what":"differ","text":"a"}"#,
        r#"{"at":1,"what":"folder","node":"n0","state":"Emptied"}"#,
        r#"{"at":1,"what":"counted","node":"n0","asked":1,"among":3,"counted":true}"#,
        r#"{"at":1,"what":"acts","node":"n0","token":1,"until":2}"#,
        r#"{"at":1,"what":"rests","node":"n0"}"#,
        r#"{"at":1,"what":"stuck","node":"n0"}"#,
        r#"{"at":1,"what":"fault","text":"a","ways":[["n0","u0"]],"over":false}"#,
        r#"{"at":1,"what":"late","by":1}"#,
    ];
    for line in lines {
        let read: HistoryLine = serde_json::from_str(line).unwrap();
        assert_eq!(serde_json::to_string(&read).unwrap(), line);
    }
}
