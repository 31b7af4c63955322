//! Headers of forwarded messages.

use hyper::header::{self, HeaderMap, HeaderName};

/// Hop-by-hop headers. `Content-Length` is among them because it is set anew with the body.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Removes hop-by-hop headers, including those named in `Connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|list| list.split(','))
        .filter_map(|name| HeaderName::from_bytes(name.trim().as_bytes()).ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}
