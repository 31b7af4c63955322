//! Headers of messages that are passed on.

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that concern one connection only. Lengths are set anew with the body.
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

/// Removes the headers that concern one connection only, those named in `Connection` included.
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
