//! What a request looks like to routes: its method, its host and its path in the one form in which every reader of it
//! sees the same. It must never pass on a request that two readers could take for two.

use std::fmt;

use percent_encoding::percent_decode_str;

/// Paths deeper than this are not looked up.
pub const MOST_SEGMENTS: usize = 64;

/// Why a request is turned away before any route sees it. All of these are answered 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unclear {
    Target,
    Host,
    TwoHosts,
    DotSegment,
    EmptySegment,
    EncodedSlash,
    Control,
    Escape,
    TooDeep,
    /// Another spelling of the path belongs to a route that repeats less.
    Spelling,
}

impl fmt::Display for Unclear {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(match self {
            Unclear::Target => "the target is neither a path that begins with / nor a whole URL",
            Unclear::Host => "the host can't be read",
            Unclear::TwoHosts => "the target names another host than the Host field",
            Unclear::DotSegment => "the path has a segment that is . or ..",
            Unclear::EmptySegment => "the path has an empty segment",
            Unclear::EncodedSlash => "the path has an encoded or backward slash",
            Unclear::Control => "the path has a control character",
            Unclear::Escape => {
                "the path has a percent sign that no two digits follow, or bytes that are no UTF-8"
            }
            Unclear::TooDeep => "the path has too many segments",
            Unclear::Spelling => "another spelling of this path belongs to a route that repeats less",
        })
    }
}

/// A request as routes see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen<'a> {
    pub method: &'a str,
    /// In lower case, without a port or a final dot. Empty where none is named.
    pub host: String,
    /// Decoded once. The path / is one empty segment.
    pub segments: Vec<String>,
    pub query: Option<&'a str>,
}

impl<'a> Seen<'a> {
    /// From the request line's target and the Host field.
    pub fn new(method: &'a str, target: &'a str, host: Option<&str>) -> Result<Seen<'a>, Unclear> {
        let (authority, rest) = match target.split_once("://") {
            Some((scheme, rest)) if !target.starts_with('/') => {
                if !scheme.eq_ignore_ascii_case("http") && !scheme.eq_ignore_ascii_case("https") {
                    return Err(Unclear::Target);
                }
                let end = rest.find(['/', '?', '#']).unwrap_or(rest.len());
                (Some(&rest[..end]), &rest[end..])
            }
            _ => (None, target),
        };
        let rest = rest.split('#').next().unwrap_or_default();
        let (path, query) = match rest.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (rest, None),
        };
        // A whole URL may leave the path out.
        let path = if authority.is_some() && path.is_empty() { "/" } else { path };
        let host = match (authority.map(bare_host).transpose()?, host.map(bare_host).transpose()?) {
            (Some(one), Some(other)) if one != other => return Err(Unclear::TwoHosts),
            (Some(host), _) | (None, Some(host)) => host,
            (None, None) => String::new(),
        };
        Ok(Seen { method, host, segments: segments(path)?, query })
    }

    /// The same path as a reader would see it that makes no difference between cases, between a final slash and none,
    /// and that drops parameters, dots and blanks at the end of a segment. None where that is no other path.
    pub fn folded(&self) -> Option<Vec<String>> {
        let fold = |segment: &String| {
            let bare = segment.split(';').next().unwrap_or_default();
            bare.trim_end_matches(['.', ' ']).to_lowercase()
        };
        let mut folded: Vec<String> = self.segments.iter().map(fold).collect();
        if folded.len() > 1 && folded.last().is_some_and(String::is_empty) {
            folded.pop();
        }
        (folded != self.segments).then_some(folded)
    }
}

/// A host and perhaps a port, as a Host field has them.
pub fn bare_host(text: &str) -> Result<String, Unclear> {
    let text = text.trim();
    let is_sound = |host: &str| {
        !host.is_empty() && host.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte))
    };
    let (host, port) = match text.rfind(':') {
        Some(place) if !text[place..].contains(']') => (&text[..place], Some(&text[place + 1..])),
        _ => (text, None),
    };
    if port.is_some_and(|port| port.len() > 5 || !port.bytes().all(|byte| byte.is_ascii_digit())) {
        return Err(Unclear::Host);
    }
    let host = host.strip_suffix('.').unwrap_or(host);
    if !is_sound(host) || host.ends_with('.') || (host.contains(':') && !host.starts_with('[')) {
        return Err(Unclear::Host);
    }
    Ok(host.to_ascii_lowercase())
}

/// Split at slashes, each segment decoded.
pub fn segments(path: &str) -> Result<Vec<String>, Unclear> {
    let inner = path.strip_prefix('/').ok_or(Unclear::Target)?;
    let count = inner.split('/').count();
    if count > MOST_SEGMENTS {
        return Err(Unclear::TooDeep);
    }
    inner.split('/').enumerate().map(|(place, raw)| segment(raw, place + 1 == count)).collect()
}

fn segment(raw: &str, is_last: bool) -> Result<String, Unclear> {
    if raw.is_empty() && !is_last {
        return Err(Unclear::EmptySegment);
    }
    let bytes = raw.as_bytes();
    for (place, _) in bytes.iter().enumerate().filter(|(_, byte)| **byte == b'%') {
        let digits = bytes.get(place + 1..place + 3);
        if !digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit)) {
            return Err(Unclear::Escape);
        }
    }
    let decoded = percent_decode_str(raw).decode_utf8().map_err(|_| Unclear::Escape)?;
    if decoded.contains(['/', '\\']) {
        return Err(Unclear::EncodedSlash);
    }
    if decoded.chars().any(char::is_control) {
        return Err(Unclear::Control);
    }
    if matches!(&*decoded, "." | "..") {
        return Err(Unclear::DotSegment);
    }
    Ok(decoded.into_owned())
}
