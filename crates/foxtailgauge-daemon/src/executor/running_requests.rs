//! Requests that run on this instance, by id, to recognise the requests that are nested in them.

use crate::hop::metadata::HopRequest;
use crate::shared::lock;
use foxtailgauge_core::RouteName;
use std::collections::HashMap;
use std::sync::Mutex;

/// Separates the id of a request from the suffix that a backend server appends for nested calls.
const ID_SEPARATOR: char = '.';

/// A request that runs on this instance.
#[derive(Clone, Debug)]
pub(crate) struct RunningRequest {
    pub(crate) route: RouteName,
    /// Whether a backend server may have received the request before.
    pub(crate) is_repeat: bool,
}

/// Running requests by id.
#[derive(Debug, Default)]
pub(crate) struct RunningRequests {
    by_id: Mutex<HashMap<String, RunningRequest>>,
}

/// Removes a request from the running ones when dropped.
pub(crate) struct RunningGuard<'a> {
    requests: &'a RunningRequests,
    id: String,
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        lock(&self.requests.by_id).remove(&self.id);
    }
}

impl RunningRequests {
    /// Adds a request until the guard is dropped.
    pub(crate) fn start(&self, id: String, hop: &HopRequest) -> RunningGuard<'_> {
        let request = RunningRequest {
            route: hop.route.clone(),
            is_repeat: hop.is_repeat,
        };
        lock(&self.by_id).insert(id.clone(), request);
        RunningGuard { requests: self, id }
    }

    /// The running request that made this call: the id of a nested call extends the id of its parent
    /// request.
    pub(crate) fn parent(&self, id: &str) -> Option<RunningRequest> {
        let (parent, _) = id.rsplit_once(ID_SEPARATOR)?;
        lock(&self.by_id).get(parent).cloned()
    }
}
