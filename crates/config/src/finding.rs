//! Defines findings, the errors and warnings of a check. Each has a stable code, a position, and a message
//! that says what is wrong and what is accepted.

use std::fmt::Write;
use std::ops::Range;

use serde_json::{Value, json};

macro_rules! codes {
    ($($code:ident $name:literal,)*) => {
        /// Identifies the kind of a finding. Findings at the same position are sorted in this order.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Code { $(#[doc = concat!("`", $name, "`")] $code),* }

        impl Code {
            /// Lists all codes in order.
            pub const ALL: &[Code] = &[$(Code::$code),*];

            /// Returns the stable name, which scripts can match.
            pub fn name(self) -> &'static str {
                match self { $(Code::$code => $name),* }
            }
        }
    };
}

codes! {
    NotToml "not-toml",
    UnknownField "unknown-field",
    MissingField "missing-field",
    WrongType "wrong-type",
    OutOfBounds "out-of-bounds",
    BadUnit "bad-unit",
    BadAddress "bad-address",
    BadPattern "bad-pattern",
    UnknownCategory "unknown-category",
    UnknownPool "unknown-pool",
    UnknownTenant "unknown-tenant",
    UnknownParameter "unknown-parameter",
    UnknownHost "unknown-host",
    EmptyPool "empty-pool",
    RangeWithoutGroup "range-without-group",
    RangeOverlap "range-overlap",
    RangeOrder "range-order",
    OrderRetriable "order-retriable",
    RepeatOutsideWindow "repeat-outside-window",
    TtlUnderTarget "ttl-under-target",
    BudgetOverTtl "budget-over-ttl",
    RouteShadowed "route-shadowed",
    RouteAmbiguous "route-ambiguous",
    RouteMissing "route-missing",
    DuplicateName "duplicate-name",
    ListenConflict "listen-conflict",
    ListenNotLoopback "listen-not-loopback",
    LoopToSelf "loop-to-self",
}

/// Describes one error or warning in a file.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Which kind of finding it is.
    pub code: Code,
    /// Whether it is an error, which prevents the file from being loaded, or a warning.
    pub is_error: bool,
    /// Says what is wrong and what is accepted.
    pub message: String,
    /// Which bytes of the file it refers to.
    pub span: Range<usize>,
}

/// Locates a character in a file, counted as editors do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Counts lines from 1.
    pub line: usize,
    /// Counts characters from 1.
    pub column: usize,
}

impl Position {
    /// Returns the position of a byte of the text. A byte within a character has the position of the
    /// character, and an offset past the end that of the end.
    pub fn of_byte(text: &str, offset: usize) -> Position {
        let mut offset = offset.min(text.len());
        while !text.is_char_boundary(offset) {
            offset -= 1;
        }
        let before = &text[..offset];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position { line: before.matches('\n').count() + 1, column: before[line_start..].chars().count() + 1 }
    }
}

impl Finding {
    fn level(&self) -> &'static str {
        if self.is_error { "error" } else { "warning" }
    }

    /// Formats the finding for a terminal: its message, its position, and the line with the span marked.
    pub fn render(&self, file: &str, text: &str) -> String {
        let Position { line, column } = Position::of_byte(text, self.span.start);
        let end = Position::of_byte(text, self.span.end);
        let width = if end.line == line { end.column.saturating_sub(column).max(1) } else { 1 };
        let source_line = text.lines().nth(line - 1).unwrap_or_default();
        let number = line.to_string();
        let margin = " ".repeat(number.len());
        let mut rendered = format!("{}[{}]: {}\n", self.level(), self.code.name(), self.message);
        // Writing to a String cannot fail.
        let _ = writeln!(rendered, "  --> {file}:{line}:{column}");
        let _ = writeln!(rendered, "{number} | {source_line}");
        let _ = writeln!(rendered, "{margin}   {}{}", " ".repeat(column - 1), "^".repeat(width));
        rendered
    }

    /// Returns the finding as JSON for scripts.
    pub fn to_json(&self, file: &str, text: &str) -> Value {
        let Position { line, column } = Position::of_byte(text, self.span.start);
        json!({
            "level": self.level(),
            "code": self.code.name(),
            "sentence": self.message,
            "file": file,
            "line": line,
            "column": column,
        })
    }
}

/// Returns the known name with the smallest edit distance, if that is small enough for a typing error. Of
/// several such names it returns the first in alphabetical order.
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let by_distance = known.into_iter().map(|known| (strsim::damerau_levenshtein(name, known), known));
    let (distance, nearest) = by_distance.min()?;
    (distance <= 1 + name.len() / 4).then_some(nearest)
}

/// Returns the end of a message that suggests the nearest known name, or an empty string if none is near.
pub fn nearest_name_hint<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> String {
    nearest_name(name, known).map_or(String::new(), |nearest| format!("; did you mean {nearest:?}?"))
}
