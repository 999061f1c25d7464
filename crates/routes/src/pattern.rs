//! What a route takes, as it is written: hosts, a path, methods, header fields. It must never accept a form that no
//! request could match.

use std::fmt;

use crate::request::{Unclear, bare_host, segments};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    Exact(String),
    /// Every name below this one, at any depth.
    Below(String),
    Any,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Segment {
    Literal(String),
    /// One segment that is not empty, by its name.
    Any(String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    pub segments: Vec<Segment>,
    /// Takes what is below as well: one segment more at the least, which may be empty.
    pub is_open: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pattern {
    pub host: Host,
    pub path: Path,
    /// In upper case and in order; empty for all.
    pub methods: Vec<String>,
    /// Names in lower case, in order, each with the value it has to have.
    pub fields: Vec<(String, String)>,
}

/// Why something written is no pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Requests with such a path are turned away before any route sees them.
    NeverTaken(Unclear),
    Wildcard,
    Name(String),
    NameTwice(String),
    Host,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::NeverTaken(why) => write!(out, "no request can take it: {why}"),
            Fault::Wildcard => out.write_str("** stands for all that follows, so only at the end"),
            Fault::Name(name) => {
                write!(out, "{{{name}}} has to be a whole segment with a name of letters, digits and _")
            }
            Fault::NameTwice(name) => write!(out, "{{{name}}} stands twice"),
            Fault::Host => out.write_str("a host is a name, or *. and a name"),
        }
    }
}

impl Host {
    pub fn read(text: &str) -> Result<Host, Fault> {
        match text.strip_prefix("*.") {
            Some(name) if !name.contains(':') => Ok(Host::Below(bare_host(name).map_err(|_| Fault::Host)?)),
            Some(_) => Err(Fault::Host),
            None => Ok(Host::Exact(bare_host(text).map_err(|_| Fault::Host)?)),
        }
    }
}

impl Path {
    pub fn read(text: &str) -> Result<Path, Fault> {
        let (text, is_open) = match text.strip_suffix("/**") {
            Some(text) => (text, true),
            None => (text, false),
        };
        if text.contains("**") {
            return Err(Fault::Wildcard);
        }
        if is_open && text.is_empty() {
            return Ok(Path { segments: Vec::new(), is_open });
        }
        let mut names: Vec<String> = Vec::new();
        let mut read = Vec::new();
        for segment in segments(text).map_err(Fault::NeverTaken)? {
            let Some(name) = segment.strip_prefix('{').and_then(|rest| rest.strip_suffix('}')) else {
                if segment.contains(['{', '}', '*']) {
                    return Err(Fault::Name(segment));
                }
                read.push(Segment::Literal(segment));
                continue;
            };
            if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_') {
                return Err(Fault::Name(name.to_string()));
            }
            if names.iter().any(|known| known == name) {
                return Err(Fault::NameTwice(name.to_string()));
            }
            names.push(name.to_string());
            read.push(Segment::Any(name.to_string()));
        }
        if is_open && matches!(read.last(), Some(Segment::Literal(last)) if last.is_empty()) {
            return Err(Fault::NeverTaken(Unclear::EmptySegment));
        }
        Ok(Path { segments: read, is_open })
    }

    /// Where in a path the segment of this name stands.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.segments.iter().position(|segment| matches!(segment, Segment::Any(known) if known == name))
    }
}

impl Pattern {
    /// The same requests can match both, and neither is the more specific.
    pub fn is_alike(&self, other: &Pattern) -> bool {
        let kind = |segment: &Segment| match segment {
            Segment::Literal(text) => Some(text.clone()),
            Segment::Any(_) => None,
        };
        let shape =
            |pattern: &Pattern| -> Vec<Option<String>> { pattern.path.segments.iter().map(kind).collect() };
        let share_method = match (self.methods.is_empty(), other.methods.is_empty()) {
            (true, true) => true,
            (false, false) => self.methods.iter().any(|method| other.methods.contains(method)),
            _ => false,
        };
        let contradicts = |name: &str, value: &str| {
            other.fields.iter().any(|(known, wanted)| known == name && wanted != value)
        };
        self.host == other.host
            && self.path.is_open == other.path.is_open
            && shape(self) == shape(other)
            && share_method
            && self.fields.len() == other.fields.len()
            && !self.fields.iter().any(|(name, value)| contradicts(name, value))
    }
}
