//! Hop-by-hop headers, which apply to one connection and aren't forwarded.

use http::{
    HeaderMap, HeaderName,
    header::{
        CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};

/// The standard hop-by-hop headers.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers, those listed in `Connection`, and
/// `Content-Length`, which is set again when the message is sent.
///
/// ```
/// use http::HeaderMap;
/// use verbenaspool_transport::http::hop;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "close, x-once".parse().unwrap());
/// headers.insert("x-once", "1".parse().unwrap());
/// headers.insert("accept", "*/*".parse().unwrap());
/// hop::strip(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&listed).chain([&CONTENT_LENGTH]) {
        headers.remove(name);
    }
}
