//! Readers of the headers of callers and other daemons as functions of text, for tests with
//! arbitrary input.

use crate::gateway::authentication::authenticate;
use crate::gateway::forward_refusal::Refusal;
use crate::hop::metadata::{HopReply, HopRequest};
use foxtailgauge_core::{WorkspaceName, WorkspaceTable};
use hyper::header::{HeaderMap, HeaderValue, AUTHORIZATION};

/// Reads the header of a request between daemons and encodes what was read; `None` if it is
/// malformed.
pub fn reencode_hop_request(value: &str) -> Option<String> {
    HopRequest::parse(value).map(|request| request.encode())
}

/// Reads the header of a response between daemons and encodes what was read; `None` if it is
/// malformed.
pub fn reencode_hop_reply(value: &str) -> Option<String> {
    HopReply::parse(value).map(|reply| reply.encode())
}

/// Workspace that a request with this `Authorization` is from, or the code of the refusal. `None`
/// if the value cannot be part of a head.
pub fn sender(
    table: &WorkspaceTable,
    is_public: bool,
    authorization: &[u8],
) -> Option<Result<Option<WorkspaceName>, &'static str>> {
    let value = HeaderValue::from_bytes(authorization).ok()?;
    let head = HeaderMap::from_iter([(AUTHORIZATION, value)]);
    let sender = authenticate(table, is_public, false, &head);
    let name = sender.map(|sender| sender.map(|(name, _)| name));
    Some(name.map_err(|refusal| Refusal::from(refusal).reason()))
}
