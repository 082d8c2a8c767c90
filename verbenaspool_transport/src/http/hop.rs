//! Headers that concern one connection and are not passed on.

use http::{
    HeaderMap, HeaderName,
    header::{
        CONNECTION, CONTENT_LENGTH, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
        TRANSFER_ENCODING, UPGRADE,
    },
};

/// The headers of one connection.
const HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Takes out what concerns one connection, as well as the body's length, which
/// is said anew for what is sent.
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
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP.iter().chain(&named).chain([&CONTENT_LENGTH]) {
        headers.remove(name);
    }
}
