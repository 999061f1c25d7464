//! Removes hop-by-hop header fields, which apply to a single connection.

use axum::http::request::Parts;
use axum::http::{HeaderMap, HeaderName, Version, header};

/// Hop-by-hop fields that are removed even if `Connection` does not name them.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Removes the hop-by-hop fields, including those named by `Connection` (RFC 9110, section 7.6.1).
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Prepares the head of a received request for forwarding.
///
/// `T` is the type of the extension that the connection attached to the request; it is removed.
pub fn prepare_for_upstream<T: Clone + Send + Sync + 'static>(head: &mut Parts) {
    remove_hop_by_hop_headers(&mut head.headers);
    head.extensions.remove::<T>();
    // The beginning of the body is read before an attempt is sent, so the endpoint must not be asked for
    // `100 Continue`.
    head.headers.remove(header::EXPECT);
    head.version = Version::HTTP_11;
}
