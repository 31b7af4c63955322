//! Fingerprints that identify equal requests.

use crate::hop::forward_body::{ForwardBody, MAX_BUFFERED_BYTES};
use foxtailgauge_core::{fingerprint, large_request_digest, request_digest, Fingerprint};
use hyper::body::Body;
use hyper::http::request::Parts;

/// Fingerprint over method, target and body. Of a body above [`MAX_BUFFERED_BYTES`], length and
/// beginning are taken, also if all of it is buffered: which part that is differs between daemons.
pub(crate) fn fingerprint_of(parts: &Parts, body: &ForwardBody) -> Fingerprint {
    let target = parts.uri.path_and_query();
    let target = target.map_or("/", |target| target.as_str());
    let method = parts.method.as_str();
    let buffered = body.buffered();
    let digest = match body.bytes().is_some() && buffered.len() <= MAX_BUFFERED_BYTES {
        true => request_digest(method, target, buffered),
        false => {
            let beginning = &buffered[..buffered.len().min(MAX_BUFFERED_BYTES)];
            large_request_digest(method, target, body.size_hint().exact(), beginning)
        }
    };
    fingerprint(&digest)
}
