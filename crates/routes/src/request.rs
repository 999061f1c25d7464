//! Parses a request's target and host into a normalized view. A target that two parsers could interpret
//! differently is rejected.

use percent_encoding::percent_decode_str;
use thiserror::Error;

/// Limits the number of path segments; a request with more is rejected.
pub const MAX_SEGMENTS: usize = 64;
const MAX_PORT_DIGITS: usize = 5;

/// Says why a request is rejected instead of routed. Each of these is answered with 400.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    /// The target is neither a path nor an absolute URL.
    #[error("the target is neither a path that begins with / nor an absolute http or https URL")]
    InvalidTarget,
    /// The host is neither a name nor an address, or its port is invalid.
    #[error("the host is invalid")]
    InvalidHost,
    /// The URL and the Host field differ.
    #[error("the target and the Host field name different hosts")]
    HostMismatch,
    /// A segment is `.` or `..`.
    #[error("the path has a segment that is . or ..")]
    DotSegment,
    /// A segment other than the last is empty.
    #[error("the path has an empty segment")]
    EmptySegment,
    /// A segment contains a slash or a backslash after decoding.
    #[error("the path has an encoded slash or a backslash")]
    EncodedSlash,
    /// A segment contains a control character after decoding.
    #[error("the path has a control character")]
    ControlCharacter,
    /// A percent sign is not followed by two hexadecimal digits, or the decoded bytes are not UTF-8.
    #[error("the path has an invalid percent escape, or is not UTF-8 after decoding")]
    InvalidEscape,
    /// The path has more than [`MAX_SEGMENTS`] segments.
    #[error("the path has more than {} segments", MAX_SEGMENTS)]
    TooManySegments,
    /// The normalized spelling of the path matches a route that allows fewer retries.
    #[error("another spelling of this path matches a route that allows fewer retries")]
    AmbiguousSpelling,
}

/// Holds the parts of a request that routes are matched against.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestView<'a> {
    /// Holds the method as the client wrote it.
    pub method: &'a str,
    /// Holds the host in lower case, without port and trailing dot. It is empty if the request names none.
    pub host: String,
    /// Lists the path's segments, each decoded once. The path `/` has one empty segment.
    pub segments: Vec<String>,
    /// Holds the query as the client wrote it, without the question mark.
    pub query: Option<&'a str>,
}

/// Holds the parts of a request target as written.
struct Target<'a> {
    authority: Option<&'a str>,
    path: &'a str,
    query: Option<&'a str>,
}

impl<'a> Target<'a> {
    /// Splits a target into its parts. The path of a URL may be empty, and then counts as `/`.
    fn parse(target: &'a str) -> Result<Target<'a>, InvalidRequest> {
        let (authority, rest) = match target.split_once("://") {
            Some((scheme, rest)) if !target.starts_with('/') => {
                if !scheme.eq_ignore_ascii_case("http") && !scheme.eq_ignore_ascii_case("https") {
                    return Err(InvalidRequest::InvalidTarget);
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
        let path = if authority.is_some() && path.is_empty() { "/" } else { path };
        Ok(Target { authority, path, query })
    }
}

impl<'a> RequestView<'a> {
    /// Builds the view from a request's method, target and Host field.
    ///
    /// # Errors
    /// Returns an error if the target or the host is invalid or ambiguous.
    pub fn new(
        method: &'a str,
        target: &'a str,
        host: Option<&str>,
    ) -> Result<RequestView<'a>, InvalidRequest> {
        let Target { authority, path, query } = Target::parse(target)?;
        let authority = authority.map(normalize_host).transpose()?;
        let host = host.map(normalize_host).transpose()?;
        let host = match (authority, host) {
            (Some(authority), Some(host)) if authority != host => return Err(InvalidRequest::HostMismatch),
            (Some(host), _) | (None, Some(host)) => host,
            (None, None) => String::new(),
        };
        Ok(RequestView { method, host, segments: decode_segments(path)?, query })
    }

    /// Returns the path as a lenient parser reads it, one that ignores case and a trailing slash, and drops
    /// `;` parameters and trailing dots and spaces of each segment. Returns `None` if the path is the same.
    pub fn normalized_path(&self) -> Option<Vec<String>> {
        let normalize = |segment: &String| {
            let without_parameters = segment.split(';').next().unwrap_or_default();
            without_parameters.trim_end_matches(['.', ' ']).to_lowercase()
        };
        let mut normalized: Vec<String> = self.segments.iter().map(normalize).collect();
        if normalized.len() > 1 && normalized.last().is_some_and(String::is_empty) {
            normalized.pop();
        }
        (normalized != self.segments).then_some(normalized)
    }
}

/// Converts a host to lower case, and removes its port and a trailing dot.
///
/// # Errors
/// Returns an error if the host or its port is invalid.
pub fn normalize_host(text: &str) -> Result<String, InvalidRequest> {
    let text = text.trim();
    // A colon before a bracket is part of an IPv6 address.
    let (host, port) = match text.rfind(':') {
        Some(colon) if !text[colon..].contains(']') => (&text[..colon], Some(&text[colon + 1..])),
        _ => (text, None),
    };
    if !port.is_none_or(is_valid_port) {
        return Err(InvalidRequest::InvalidHost);
    }
    let host = host.strip_suffix('.').unwrap_or(host);
    if !is_valid_host(host) {
        return Err(InvalidRequest::InvalidHost);
    }
    Ok(host.to_ascii_lowercase())
}

/// Returns whether a port is valid. An empty one is, since RFC 3986 allows it.
fn is_valid_port(port: &str) -> bool {
    port.len() <= MAX_PORT_DIGITS && port.bytes().all(|byte| byte.is_ascii_digit())
}

fn is_valid_host(host: &str) -> bool {
    let is_valid_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._:[]".contains(&byte);
    let is_bare_ipv6 = host.contains(':') && !host.starts_with('[');
    !host.is_empty() && host.bytes().all(is_valid_byte) && !host.ends_with('.') && !is_bare_ipv6
}

/// Splits a path at its slashes, and decodes each segment once.
///
/// # Errors
/// Returns an error if the path does not begin with a slash, has too many segments, or has an ambiguous one.
pub fn decode_segments(path: &str) -> Result<Vec<String>, InvalidRequest> {
    let relative = path.strip_prefix('/').ok_or(InvalidRequest::InvalidTarget)?;
    let count = relative.split('/').count();
    if count > MAX_SEGMENTS {
        return Err(InvalidRequest::TooManySegments);
    }
    let segments = relative.split('/').enumerate();
    segments.map(|(index, segment)| decode_segment(segment, index + 1 == count)).collect()
}

fn decode_segment(segment: &str, is_last: bool) -> Result<String, InvalidRequest> {
    if segment.is_empty() && !is_last {
        return Err(InvalidRequest::EmptySegment);
    }
    if !has_valid_escapes(segment.as_bytes()) {
        return Err(InvalidRequest::InvalidEscape);
    }
    let decoded = percent_decode_str(segment).decode_utf8().map_err(|_| InvalidRequest::InvalidEscape)?;
    if decoded.contains(['/', '\\']) {
        return Err(InvalidRequest::EncodedSlash);
    }
    if decoded.chars().any(char::is_control) {
        return Err(InvalidRequest::ControlCharacter);
    }
    if matches!(&*decoded, "." | "..") {
        return Err(InvalidRequest::DotSegment);
    }
    Ok(decoded.into_owned())
}

/// Returns whether each percent sign is followed by two hexadecimal digits.
fn has_valid_escapes(bytes: &[u8]) -> bool {
    let mut escapes = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'%');
    escapes.all(|(index, _)| {
        let digits = bytes.get(index + 1..index + 3);
        digits.is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
    })
}
