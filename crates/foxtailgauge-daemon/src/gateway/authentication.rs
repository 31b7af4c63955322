//! Finds the workspace that sends a request by the key in its head, and admits the request by the
//! workspace's allotment. Both gateways use it.

use crate::gateway::route_view::RouteView;
use crate::hop::forward_headers::header;
use crate::shared::{lock, Shared};
use foxtailgauge_core::{Workspace, WorkspaceName, WorkspaceTable};
use foxtailgauge_platform::headers;
use hyper::header::{HeaderMap, HeaderValue};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Authentication scheme of keys; compared without regard to case.
const SCHEME: &str = "bearer";

/// The workspace that sends a request, with its name; `None` on a public route without a known key,
/// for a nested request, or if the configuration has no workspaces.
pub(crate) type Sender = Option<(WorkspaceName, Arc<Workspace>)>;

/// Why a request is refused because of its sender. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SenderRefusal {
    /// The route needs a key, and the request has none or one of no workspace.
    UnknownKey,
    /// The sender's workspace has used up its allotment.
    OverAllotment {
        /// Time until the excess is paid off.
        retry_after: Duration,
    },
}

/// Authenticates a request. Nested requests carry no key: they are part of one that has been
/// authenticated.
pub(crate) fn authenticate(
    table: &WorkspaceTable,
    is_public: bool,
    is_nested: bool,
    head: &HeaderMap,
) -> Result<Sender, SenderRefusal> {
    if is_nested || !table.requires_key() {
        return Ok(None);
    }
    let sender = header(head, headers::AUTHORIZATION)
        .and_then(parse_key)
        .and_then(|key| table.find(key.as_bytes()));
    match sender {
        None if !is_public => Err(SenderRefusal::UnknownKey),
        sender => Ok(sender.cloned()),
    }
}

fn parse_key(value: &str) -> Option<&str> {
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| key.trim())
}

/// Removes the key from a head, and replaces what the caller stated about its workspace. Without
/// workspaces in the configuration, both headers are the caller's own.
pub(crate) fn set_workspace(table: &WorkspaceTable, sender: &Sender, head: &mut HeaderMap) {
    if !table.requires_key() {
        return;
    }
    head.remove(headers::AUTHORIZATION);
    head.remove(headers::WORKSPACE);
    let name = sender.as_ref().map(|(name, _)| HeaderValue::from_str(name));
    if let Some(Ok(name)) = name {
        head.insert(headers::WORKSPACE, name);
    }
}

impl Shared {
    /// Admits a request if the allotment of its sender allows it. Returns the workspace in whose
    /// allotment it is counted; `None` without an allotment.
    pub(crate) fn admit_sender(
        &self,
        view: &RouteView,
        sender: &Sender,
    ) -> Result<Option<WorkspaceName>, SenderRefusal> {
        let Some((name, workspace)) = sender else {
            return Ok(None);
        };
        let Some(allotment) = &workspace.allotment else {
            return Ok(None);
        };
        let draw = rand::random();
        let admission =
            lock(&self.usage.gate).admit(name, allotment, view.live_daemons, draw, Instant::now());
        self.metrics
            .record_workspace_request(name, admission.is_ok());
        match admission {
            Ok(()) => Ok(Some(name.clone())),
            Err(retry_after) => Err(SenderRefusal::OverAllotment { retry_after }),
        }
    }

    /// Takes a request that has not run out of the allotment of the workspace it was admitted for.
    pub(crate) fn refund_sender(&self, admitted_for: Option<&WorkspaceName>) {
        if let Some(workspace) = admitted_for {
            lock(&self.usage.gate).refund(workspace);
        }
    }
}
