//! Routing data of the gateways, built from one configuration and one directory.

use crate::rollout::choice::{usable_role, Trial};
use foxtailgauge_core::{
    Candidate, Directory, HostTable, InstanceState, ServerEntry, ServerKey, ServiceName, Snapshot,
    SuspectIndex, UnixMs, VersionRole, WorkspaceTable,
};
use std::collections::HashMap;
use std::sync::Arc;

/// Routing data of a gateway. Built from one snapshot and one directory, and replaced as a unit.
///
/// Invariant: every candidate belongs to a service of the snapshot.
#[derive(Debug, Default)]
pub(crate) struct RouteView {
    /// Configuration; `None` before the first one arrives.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Backend servers that accept requests, by service, without those of versions on trial.
    pub(crate) candidates: HashMap<ServiceName, Vec<Candidate>>,
    /// Running rollouts with servers of their target versions.
    pub(crate) trials: HashMap<ServiceName, Trial>,
    /// Requests that were in flight when backend servers crashed.
    pub(crate) suspects: SuspectIndex,
    /// Host routes of the snapshot, indexed for lookup.
    pub(crate) hosts: Arc<HostTable>,
    /// Workspaces of the snapshot, indexed by key.
    pub(crate) workspaces: Arc<WorkspaceTable>,
    /// Live daemons of the directory.
    pub(crate) live_daemons: usize,
}

impl RouteView {
    /// Builds the view of a configuration and a directory. The tables of `previous`, the view
    /// before it, are reused if the configuration is the same; its suspects stay known.
    pub(crate) fn build(
        snapshot: &Arc<Snapshot>,
        directory: &Directory,
        previous: &RouteView,
        now_ms: UnixMs,
    ) -> Self {
        let published = directory.all().flat_map(|instance| &instance.suspects);
        let mut candidates: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
        let mut on_trial: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
        for instance in directory.live() {
            for server in &instance.servers {
                if !snapshot.services.contains_key(&server.service) {
                    continue;
                }
                let by_service = match usable_role(snapshot, server) {
                    Some(VersionRole::Serving) => &mut candidates,
                    Some(VersionRole::OnTrial) => &mut on_trial,
                    Some(VersionRole::Excluded) | None => continue,
                };
                let list = by_service.entry(server.service.clone()).or_default();
                list.push(candidate(instance, server));
            }
        }
        let trial = |(service, servers): (ServiceName, Vec<Candidate>)| {
            let rollout = snapshot.rollouts.get(&service)?;
            let serving_servers = candidates.get(&service).map_or(0, Vec::len);
            Some((service, Trial::new(rollout, servers, serving_servers)))
        };
        let trials = on_trial.into_iter().filter_map(trial).collect();
        let is_same_snapshot = previous
            .snapshot
            .as_ref()
            .is_some_and(|previous_snapshot| Arc::ptr_eq(previous_snapshot, snapshot));
        let (hosts, workspaces) = match is_same_snapshot {
            true => (
                Arc::clone(&previous.hosts),
                Arc::clone(&previous.workspaces),
            ),
            false => (
                Arc::new(HostTable::new(&snapshot.host_routes)),
                Arc::new(WorkspaceTable::new(&snapshot.workspaces)),
            ),
        };
        RouteView {
            snapshot: Some(Arc::clone(snapshot)),
            suspects: previous.suspects.updated(published, now_ms),
            candidates,
            trials,
            hosts,
            workspaces,
            live_daemons: directory.live().count(),
        }
    }

    /// All backend servers that may get requests.
    pub(crate) fn servers(&self) -> impl Iterator<Item = &Candidate> {
        let on_trial = self.trials.values().flat_map(|trial| &trial.candidates);
        self.candidates.values().flatten().chain(on_trial)
    }
}

fn candidate(instance: &InstanceState, server: &ServerEntry) -> Candidate {
    Candidate {
        key: ServerKey {
            daemon: instance.name.clone(),
            server: server.name.clone(),
        },
        failure_domain: instance.failure_domain.clone(),
        calls_addr: instance.calls_addr.clone(),
        slots: server.slots,
    }
}
