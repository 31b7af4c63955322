//! Counts of refused requests by workspace and reason.
//!
//! Designed for 5,000 workspaces: 16 reasons each would make 80,000 time series per daemon.

use crate::shared::lock;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use std::collections::HashSet;
use std::sync::Mutex;

/// Most workspaces that are counted separately.
const MAX_WORKSPACES: usize = 256;
/// Label of all others.
const OTHER: &str = "other";

/// Labels of refused requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    /// Workspace of the sender, or `other`.
    workspace: String,
    reason: &'static str,
}

/// Refused requests of workspaces.
///
/// Invariant: the counters have at most [`MAX_WORKSPACES`] different workspaces and `other`.
#[derive(Debug, Default)]
pub(crate) struct WorkspaceRefusals {
    counters: Family<RefusalLabels, Counter>,
    /// Workspaces that are counted separately: the first ones that were refused. They are not
    /// replaced, as a counter must not fall.
    counted: Mutex<HashSet<String>>,
}

impl WorkspaceRefusals {
    /// Counts a refused request.
    pub(crate) fn record(&self, workspace: &str, reason: &'static str) {
        let labels = RefusalLabels {
            workspace: self.label(workspace).to_owned(),
            reason,
        };
        self.counters.get_or_create(&labels).inc();
    }

    /// The counters, to be registered.
    pub(crate) fn counters(&self) -> Family<RefusalLabels, Counter> {
        self.counters.clone()
    }

    fn label<'a>(&self, workspace: &'a str) -> &'a str {
        let mut counted = lock(&self.counted);
        let is_counted = counted.contains(workspace);
        if !is_counted && counted.len() >= MAX_WORKSPACES {
            return OTHER;
        }
        if !is_counted {
            counted.insert(workspace.to_owned());
        }
        workspace
    }
}
