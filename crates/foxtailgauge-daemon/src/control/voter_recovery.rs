//! Asks the voters of a group without a leader whether this replica, whose disk is lost, may vote for the
//! one that it was.

use crate::control::group_handle::GroupHandle;
use crate::control::replica_client::ReplicaClient;
use crate::shared::Shared;
use foxtailgauge_core::{RecoveredVoter, ReplicaAddrs};
use foxtailgauge_wire::Group;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Time for a voter to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Asks all known replicas once, and takes over the voter if their answers permit it.
pub(crate) async fn attempt(shared: &Arc<Shared>, handle: &GroupHandle, group: Group) {
    let own_addr = &shared.settings.advertise_control;
    let ReplicaAddrs { live, others } = shared.replica_addrs();
    let mut asked: BTreeSet<String> = live.into_iter().chain(others).collect();
    asked.extend(shared.seeds.addrs().iter().cloned());
    asked.remove(own_addr);
    let client = ReplicaClient::new(shared);
    let asking = asked
        .iter()
        .map(|addr| client.voter_report(addr, group, ANSWER_TIMEOUT));
    let reports = futures::future::join_all(asking).await;
    if let Some(voter) = RecoveredVoter::find(own_addr, reports.into_iter().flatten()) {
        handle.recover(voter);
    }
}
