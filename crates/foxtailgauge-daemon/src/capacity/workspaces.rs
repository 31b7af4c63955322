//! Limited workspaces, as a collector knows them.

use crate::capacity::missing_daemons;
use crate::capacity::servers::submit_to;
use crate::shared::Shared;
use crate::usage::collectors;
use foxtailgauge_core::{summarize_workspaces, Summary, WorkspaceLoad};
use foxtailgauge_wire::api::WorkspacesReply;
use foxtailgauge_wire::{SubmitReply, SubmitRequest};
use std::time::Duration;

/// Time for one collector to answer, connecting included.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Limited workspaces of this daemon's collector, and the control addresses of those it does not
/// hear; `None` if this daemon is no collector or does not know the sums yet.
pub(crate) fn local_workspaces(shared: &Shared) -> Option<(Summary<WorkspaceLoad>, Vec<String>)> {
    let (loads, silent) = shared.usage.workspace_loads()?;
    Some((summarize_workspaces(loads), silent))
}

/// Asks the collectors in turn; `None` if none answers.
pub(crate) async fn ask(shared: &Shared) -> Option<WorkspacesReply> {
    let mut missing = Vec::new();
    for addr in collectors(shared) {
        let answer = match addr == shared.settings.advertise_control {
            true => local_workspaces(shared),
            false => ask_collector(shared, &addr).await,
        };
        let Some((workspaces, silent)) = answer else {
            missing.push(addr);
            continue;
        };
        missing.extend(silent);
        missing.sort();
        missing.dedup();
        let names = missing.iter().map(|addr| daemon_name(shared, addr));
        return Some(WorkspacesReply {
            collector: daemon_name(shared, &addr),
            missing: missing_daemons(names.collect()),
            workspaces,
        });
    }
    None
}

async fn ask_collector(
    shared: &Shared,
    addr: &str,
) -> Option<(Summary<WorkspaceLoad>, Vec<String>)> {
    let request = SubmitRequest::WorkspaceLoads;
    match submit_to(shared, addr, &request, ANSWER_TIMEOUT).await? {
        SubmitReply::WorkspaceLoads {
            loads,
            silent_collectors,
        } => Some((loads, silent_collectors)),
        _ => None,
    }
}

/// Name of the daemon at a control address; the address if it is not known.
fn daemon_name(shared: &Shared, addr: &str) -> String {
    shared.with_directory(|directory| {
        let found = directory.all().find(|i| i.control_addr == addr);
        found.map_or_else(|| addr.to_owned(), |instance| instance.name.clone())
    })
}
