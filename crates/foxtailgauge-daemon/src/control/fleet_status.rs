//! Status of the fleet, as reported to operators.

use crate::control::group_handle::ReplicaHandles;
use crate::shared::Shared;
use foxtailgauge_core::{InstanceState, MemberSet, Presence, ServerState};
use foxtailgauge_wire::{DomainStatus, FleetStatus};
use std::collections::BTreeMap;

impl Shared {
    /// Status of the fleet as known to this daemon.
    pub(crate) fn fleet_status(&self) -> FleetStatus {
        let (version, _) = self.current_version();
        let domains = self.with_directory(|directory| domain_statuses(directory.all()));
        FleetStatus {
            version,
            answered_by: self.settings.name.clone(),
            groups: self
                .replica
                .get()
                .map(ReplicaHandles::statuses)
                .unwrap_or_default(),
            domains,
            held: self.version_counts(version),
            limited: self.usage.limited(),
            ledger_keys: self.replica.get().map_or(0, ReplicaHandles::ledger_keys),
        }
    }
}

fn domain_statuses<'a>(instances: impl Iterator<Item = &'a InstanceState>) -> Vec<DomainStatus> {
    let mut domains: BTreeMap<String, DomainStatus> = BTreeMap::new();
    for instance in instances {
        let name = &instance.failure_domain;
        let status = domains.entry(name.clone()).or_insert_with(|| DomainStatus {
            failure_domain: name.clone(),
            live: MemberSet::default(),
            lost: Vec::new(),
            ready_servers: 0,
            leaving_servers: 0,
        });
        match instance.presence {
            Presence::Live => {}
            Presence::Lost => {
                status.lost.push(instance.name.clone());
                continue;
            }
            Presence::Stopped => continue,
        }
        status.live.insert(&instance.name, instance.incarnation);
        for server in &instance.servers {
            match server.state {
                ServerState::Ready | ServerState::OnTrial => status.ready_servers += 1,
                ServerState::Leaving | ServerState::Drained => status.leaving_servers += 1,
            }
        }
    }
    domains.into_values().collect()
}
