//! What gateways route by: built from one configuration and one directory, swapped whole.

use foxtailgauge_core::{
    Candidate, Directory, HostTable, InstanceState, ServerEntry, ServerKey, ServerState,
    ServiceName, Snapshot, SuspectIndex,
};
use std::collections::HashMap;
use std::sync::Arc;

/// What a gateway routes by. Built from one snapshot and one directory, swapped whole.
///
/// Invariant: every candidate belongs to a service of the snapshot.
#[derive(Debug, Default)]
pub(crate) struct RouteView {
    /// Configuration.
    pub(crate) snapshot: Option<Arc<Snapshot>>,
    /// Backend servers that take work, by service.
    pub(crate) candidates: HashMap<ServiceName, Vec<Candidate>>,
    /// Requests that were in flight when backend servers died.
    pub(crate) suspects: SuspectIndex,
    /// Host routes of the snapshot, arranged for look-up.
    pub(crate) hosts: Arc<HostTable>,
}

impl RouteView {
    /// The view of a configuration and a directory. `previous` is the view before it, whose table of
    /// hosts serves on while the configuration is the same.
    pub(crate) fn build(
        snapshot: &Arc<Snapshot>,
        directory: &Directory,
        previous: &RouteView,
    ) -> Self {
        let mut candidates: HashMap<ServiceName, Vec<Candidate>> = HashMap::new();
        for instance in directory.live() {
            for server in &instance.servers {
                let is_service_defined = snapshot.services.contains_key(&server.service);
                if server.state == ServerState::Ready && is_service_defined {
                    let list = candidates.entry(server.service.clone()).or_default();
                    list.push(candidate(instance, server));
                }
            }
        }
        let is_same_snapshot = previous
            .snapshot
            .as_ref()
            .is_some_and(|previous_snapshot| Arc::ptr_eq(previous_snapshot, snapshot));
        let hosts = match is_same_snapshot {
            true => Arc::clone(&previous.hosts),
            false => Arc::new(HostTable::new(&snapshot.host_routes)),
        };
        RouteView {
            snapshot: Some(Arc::clone(snapshot)),
            suspects: SuspectIndex::collect(directory.live().flat_map(|i| &i.suspects)),
            candidates,
            hosts,
        }
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
