//! Headers of forwarded messages.

use foxtailgauge_platform::headers::{ATTEMPT_ID, REMAINING_TIME_MS};
use foxtailgauge_wire::http::HOP_BY_HOP_HEADERS;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::time::Instant;

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

/// Headers that are forwarded as text, in order; `None` if one of them is not visible ASCII.
pub(crate) fn end_to_end_text(headers: &HeaderMap) -> Option<Vec<(String, String)>> {
    let is_end_to_end = |name: &HeaderName| !HOP_BY_HOP_HEADERS.contains(&name.as_str());
    let headers = headers.iter().filter(|(name, _)| is_end_to_end(name));
    headers
        .map(|(name, value)| Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned())))
        .collect()
}

/// Sets the header with the time left until the deadline, in milliseconds.
pub(crate) fn set_time_left(headers: &mut HeaderMap, deadline: Instant) {
    headers.insert(REMAINING_TIME_MS, HeaderValue::from(millis_until(deadline)));
}

/// Milliseconds until the deadline; 0 after it.
pub(crate) fn millis_until(deadline: Instant) -> u64 {
    let time_left = deadline.saturating_duration_since(Instant::now());
    u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX)
}

/// A header's value as text; `None` if it is absent or not visible ASCII.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The request's id; empty if it is absent or not visible ASCII.
pub(crate) fn attempt_id(headers: &HeaderMap) -> String {
    header_text(headers.get(ATTEMPT_ID))
}

/// A header's value as text; empty if it is absent or not visible ASCII.
pub(crate) fn header_text(value: Option<&HeaderValue>) -> String {
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}
