//! Defines and parses the patterns of routes: host, path, methods and header fields. A pattern that no
//! request could match is an error.

use thiserror::Error;

use crate::request::{InvalidRequest, decode_segments, normalize_host};

/// Ends a path pattern that matches every path below it.
const PREFIX_SUFFIX: &str = "/**";
const SUBDOMAIN_PREFIX: &str = "*.";

/// Describes which hosts a route matches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostPattern {
    /// Matches this name, which is in lower case.
    Exact(String),
    /// Matches every subdomain of this name, at any depth, but not the name itself.
    Subdomains(String),
    /// Matches every host, and requests that name none.
    Any,
}

/// Describes which texts one segment of a path pattern matches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SegmentPattern {
    /// Matches exactly this text.
    Literal(String),
    /// Matches any non-empty text. Holds the name of the parameter.
    Parameter(String),
}

/// Describes which paths a route matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    /// Lists the segment patterns from left to right.
    pub segments: Vec<SegmentPattern>,
    /// If set, the pattern matches only paths below it, which have at least one more segment. That segment
    /// may be empty.
    pub is_prefix: bool,
}

/// Describes which requests a route matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePattern {
    /// Which hosts match.
    pub host: HostPattern,
    /// Which paths match.
    pub path: PathPattern,
    /// Lists the methods that match, in upper case and sorted. An empty list matches all.
    pub methods: Vec<String>,
    /// Lists the required header fields, sorted: each has a name in lower case and a value.
    pub headers: Vec<(String, String)>,
}

/// Says why a text is not a valid pattern.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// Requests with such a path are rejected before routing.
    #[error("requests with this path are rejected: {0}")]
    Unreachable(#[source] InvalidRequest),
    /// `**` is used elsewhere than at the end.
    #[error("** is only allowed as the last segment")]
    MisplacedWildcard,
    /// The named parameter is only a part of a segment, or its name is invalid.
    #[error("{{{0}}} must be a whole segment with a name of letters, digits and _")]
    InvalidParameter(String),
    /// Two parameters have this name.
    #[error("{{{0}}} is used twice")]
    DuplicateParameter(String),
    /// The host is neither a name nor `*.` followed by a name.
    #[error("a host must be a name, or *. followed by a name")]
    InvalidHost,
}

impl HostPattern {
    /// Parses a name, or `*.` followed by a name.
    ///
    /// # Errors
    /// Returns an error if the name is invalid.
    pub fn parse(text: &str) -> Result<HostPattern, PatternError> {
        let normalize = |name| normalize_host(name).map_err(|_| PatternError::InvalidHost);
        match text.strip_prefix(SUBDOMAIN_PREFIX) {
            Some(name) if name.contains(':') => Err(PatternError::InvalidHost),
            Some(name) => Ok(HostPattern::Subdomains(normalize(name)?)),
            None => Ok(HostPattern::Exact(normalize(text)?)),
        }
    }

    /// Returns whether a normalized host matches.
    pub fn matches(&self, host: &str) -> bool {
        match self {
            HostPattern::Exact(name) => name == host,
            HostPattern::Subdomains(name) => {
                host.strip_suffix(name.as_str()).is_some_and(|rest| rest.ends_with('.') && rest.len() > 1)
            }
            HostPattern::Any => true,
        }
    }
}

impl SegmentPattern {
    fn parse(segment: String) -> Result<SegmentPattern, PatternError> {
        let Some(name) = segment.strip_prefix('{').and_then(|rest| rest.strip_suffix('}')) else {
            if segment.contains(['{', '}', '*']) {
                return Err(PatternError::InvalidParameter(segment));
            }
            return Ok(SegmentPattern::Literal(segment));
        };
        if name.is_empty() || !name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'_') {
            return Err(PatternError::InvalidParameter(name.to_string()));
        }
        Ok(SegmentPattern::Parameter(name.to_string()))
    }

    fn matches(&self, text: &str) -> bool {
        match self {
            SegmentPattern::Literal(literal) => literal == text,
            SegmentPattern::Parameter(_) => !text.is_empty(),
        }
    }

    /// Returns the literal text. For a parameter it is `None`, so that its name plays no part in comparisons.
    fn literal(&self) -> Option<&str> {
        match self {
            SegmentPattern::Literal(text) => Some(text),
            SegmentPattern::Parameter(_) => None,
        }
    }
}

impl PathPattern {
    /// Parses a path of literals and parameters such as `{name}`, optionally followed by `/**`.
    ///
    /// # Errors
    /// Returns an error if a segment is invalid or no request could match.
    pub fn parse(text: &str) -> Result<PathPattern, PatternError> {
        let (text, is_prefix) = match text.strip_suffix(PREFIX_SUFFIX) {
            Some(text) => (text, true),
            None => (text, false),
        };
        if text.contains("**") {
            return Err(PatternError::MisplacedWildcard);
        }
        if is_prefix && text.is_empty() {
            return Ok(PathPattern { segments: Vec::new(), is_prefix });
        }
        let mut segments: Vec<SegmentPattern> = Vec::new();
        for segment in decode_segments(text).map_err(PatternError::Unreachable)? {
            let segment = SegmentPattern::parse(segment)?;
            if let SegmentPattern::Parameter(name) = &segment
                && segments.contains(&segment)
            {
                return Err(PatternError::DuplicateParameter(name.clone()));
            }
            segments.push(segment);
        }
        if is_prefix && matches!(segments.last(), Some(SegmentPattern::Literal(last)) if last.is_empty()) {
            return Err(PatternError::Unreachable(InvalidRequest::EmptySegment));
        }
        Ok(PathPattern { segments, is_prefix })
    }

    /// Returns the index of the segment that is the parameter with this name.
    pub fn parameter_index(&self, name: &str) -> Option<usize> {
        let is_named =
            |segment: &SegmentPattern| matches!(segment, SegmentPattern::Parameter(known) if known == name);
        self.segments.iter().position(is_named)
    }

    /// Returns whether the decoded segments of a path match.
    pub fn matches(&self, segments: &[String]) -> bool {
        let has_matching_length = match self.is_prefix {
            true => segments.len() > self.segments.len(),
            false => segments.len() == self.segments.len(),
        };
        let mut pairs = self.segments.iter().zip(segments);
        has_matching_length && pairs.all(|(pattern, text)| pattern.matches(text))
    }

    /// Returns whether both match the same paths and rank equally against other patterns.
    fn has_shape_of(&self, other: &PathPattern) -> bool {
        let literals = self.segments.iter().map(SegmentPattern::literal);
        let other_literals = other.segments.iter().map(SegmentPattern::literal);
        self.is_prefix == other.is_prefix && literals.eq(other_literals)
    }
}

impl RoutePattern {
    /// Returns whether a request can match both patterns while neither is more specific.
    pub fn is_ambiguous_with(&self, other: &RoutePattern) -> bool {
        self.host == other.host
            && self.path.has_shape_of(&other.path)
            && self.shares_method_with(other)
            && self.headers.len() == other.headers.len()
            && !self.contradicts_headers_of(other)
    }

    /// Returns whether the method of a request matches.
    pub fn matches_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|known| known == method)
    }

    /// Returns whether the header fields of a request match. `field` is called with names in lower case.
    pub fn matches_headers<'a>(&self, field: &impl Fn(&str) -> Option<&'a str>) -> bool {
        self.headers.iter().all(|(name, value)| field(name) == Some(value))
    }

    /// Returns whether both match a common method at the same specificity: a pattern that names its methods
    /// is more specific than one that does not.
    fn shares_method_with(&self, other: &RoutePattern) -> bool {
        match (self.methods.is_empty(), other.methods.is_empty()) {
            (true, true) => true,
            (false, false) => self.methods.iter().any(|method| other.methods.contains(method)),
            _ => false,
        }
    }

    /// Returns whether the two patterns require different values of the same header field.
    fn contradicts_headers_of(&self, other: &RoutePattern) -> bool {
        let contradicts = |name: &str, value: &str| {
            other.headers.iter().any(|(known, expected)| known == name && expected != value)
        };
        self.headers.iter().any(|(name, value)| contradicts(name, value))
    }
}
