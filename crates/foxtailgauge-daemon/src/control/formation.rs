//! Initial formation of the groups, and the join of a new replica or of one that lost its disk.
//!
//! A replica's identity is stored on its disk. The group is formed once, when all listed replicas
//! are reachable and none belongs to a group; the one with the lowest address determines the
//! members. A replica that finds a group without itself is new or has lost its disk; it joins as a
//! learner.

use crate::control::group_handle::{GroupHandle, ReplicaHandles};
use crate::control::replica::{open_group, OpenedGroup};
use crate::control::replica_client::ReplicaClient;
use crate::control::replica_search;
use crate::control::store::{read_frame, write_frame, StoreError};
use crate::control::voter_recovery;
use crate::emit;
use crate::events;
use crate::peer_server::DaemonContext;
use crate::settings::Formation;
use crate::shared::lock;
use error_stack::Report;
use foxtailgauge_core::{Membership, ReplicaId};
use foxtailgauge_wire::{FormationState, Group, SubmitReply, SubmitRequest};
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Name of the file with a replica's identity.
const IDENTITY_FILE: &str = "replica";
/// Timeout of a formation query to another replica.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between rounds of formation queries.
const ROUND_DELAY: Duration = Duration::from_millis(100);
/// Interval at which the seeds are read again while no group is found: those of the start may all be
/// gone.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a start that the disk refused is tried again.
const START_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time without contact to a leader after which a replica requests to join again: longer than an
/// election.
const REJOIN_AFTER: Duration = Duration::from_secs(2);
/// Interval at which that time is looked at.
const REJOIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time without contact to a leader after which other daemons are asked where the replicas are.
const SEARCH_AFTER: Duration = Duration::from_secs(4);
/// Timeout of the request that prepares a group for the stop of this replica.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a request to join as a learner.
const JOIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity of a replica, stored in its data directory.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Identity {
    replica: ReplicaId,
    /// Initial members of the groups; empty for a replica that joined later, `None` until known.
    initial: Option<Membership>,
    /// Set once the files of the groups have been written.
    is_started: bool,
}

/// Finds or forms the groups and starts this replica in them. While the disk refuses operations, it
/// tries again.
pub(crate) async fn start(context: &DaemonContext, dir: &Path) -> Result<(), Report<StoreError>> {
    let mut is_sync_in_doubt = false;
    loop {
        match try_start(context, dir, is_sync_in_doubt).await {
            Err(error) if error.current_context().is_transient() => {
                emit!(context.shared.log, events::STORE_FAILED, "error" => format!("{error:?}"));
                async_std::task::sleep(START_RETRY_DELAY).await;
                is_sync_in_doubt = true;
            }
            outcome => return outcome,
        }
    }
}

/// Starts the threads of the groups as the last step that can fail: two threads must not write to one
/// store.
async fn try_start(
    context: &DaemonContext,
    dir: &Path,
    is_sync_in_doubt: bool,
) -> Result<(), Report<StoreError>> {
    let shared = &context.shared;
    let file = dir.join(IDENTITY_FILE);
    let mut identity = load_identity(&file)?;
    let control_addr = shared.settings.advertise_control.clone();
    let set_state = |state| *lock(&context.formation) = Some(state);
    let initial = match identity.initial.clone() {
        Some(initial) => initial,
        None => {
            set_state(FormationState::Forming {
                replica: identity.replica,
                control_addr: control_addr.clone(),
            });
            find_group(context, identity.replica, &control_addr).await
        }
    };
    identity.initial = Some(initial.clone());
    write_frame(&file, &identity)?;
    let [config, ledger] = open_groups(context, dir, &identity, &initial, is_sync_in_doubt)?;
    identity.is_started = true;
    write_frame(&file, &identity)?;
    // Set only once, at the start of the daemon.
    let _ = shared.replica.set(ReplicaHandles {
        config: config.start(),
        ledger: ledger.start(),
    });
    set_state(FormationState::Formed {
        initial: initial.clone(),
    });
    for group in Group::ALL {
        let (context, addr) = (context.clone(), control_addr.clone());
        let is_joining = initial.members.is_empty();
        async_std::task::spawn(async move {
            let Some(handles) = context.shared.replica.get() else {
                return;
            };
            let handle = handles.group(group);
            if is_joining {
                join(&context, handle, group, &addr).await;
            }
            rejoin(&context, handle, group, &addr).await;
        });
    }
    Ok(())
}

fn load_identity(file: &Path) -> Result<Identity, Report<StoreError>> {
    if let Some(identity) = read_frame(file)? {
        return Ok(identity);
    }
    let identity = Identity {
        replica: rand::random(),
        initial: None,
        is_started: false,
    };
    write_frame(file, &identity)?;
    Ok(identity)
}

fn open_groups(
    context: &DaemonContext,
    dir: &Path,
    identity: &Identity,
    initial: &Membership,
    is_sync_in_doubt: bool,
) -> Result<[OpenedGroup; 2], Report<StoreError>> {
    // A replica that was started before must not start as a new one if its files are missing.
    let initial_entries = (!identity.is_started).then_some(initial);
    let open = |group| {
        open_group(
            &context.shared,
            group,
            identity.replica,
            dir,
            initial_entries,
            is_sync_in_doubt,
        )
    };
    Ok([open(Group::Config)?, open(Group::Ledger)?])
}

/// Waits until the group is formed. Returns its initial membership, or an empty one if the group
/// exists without this replica.
async fn find_group(context: &DaemonContext, replica: ReplicaId, own_addr: &str) -> Membership {
    let shared = &context.shared;
    let listed = &shared.settings.seeds;
    let may_form = match shared.settings.formation {
        Formation::Listed => true,
        Formation::Seeds => listed.iter().any(|addr| addr == own_addr),
        Formation::JoinOnly => false,
    };
    let is_coordinator = may_form && listed.iter().all(|addr| own_addr <= addr.as_str());
    let client = ReplicaClient::new(shared);
    let mut reloaded_at = Instant::now();
    loop {
        let mut forming = vec![(replica, own_addr.to_owned())];
        // Those that form the group agree on its members by the list of their start.
        let seeds = match may_form {
            true => Arc::new(listed.clone()),
            false => shared.seeds.addrs(),
        };
        let others = seeds.iter().filter(|addr| *addr != own_addr);
        let queries = others.map(|addr| client.formation(addr, STATUS_TIMEOUT));
        for reply in futures::future::join_all(queries).await {
            match reply {
                Some(SubmitReply::Formation(FormationState::Formed { initial })) => {
                    return accept_formed_group(context, replica, initial);
                }
                Some(SubmitReply::Formation(FormationState::Forming {
                    replica,
                    control_addr,
                })) => forming.push((replica, control_addr)),
                _ => {}
            }
        }
        if is_coordinator && forming.len() == listed.len() {
            emit!(shared.log, events::GROUP_FORMED, "members" => forming.len());
            return Membership::of_voters(forming);
        }
        if reloaded_at.elapsed() >= RELOAD_INTERVAL {
            reloaded_at = Instant::now();
            shared.seeds.reload(&shared.log).await;
        }
        async_std::task::sleep(ROUND_DELAY).await;
    }
}

fn accept_formed_group(
    context: &DaemonContext,
    replica: ReplicaId,
    initial: Membership,
) -> Membership {
    if initial.members.contains_key(&replica) {
        emit!(context.shared.log, events::GROUP_FORMED, "members" => initial.members.len());
        return initial;
    }
    Membership::default()
}

/// Requests to join until this replica is a member of the group. Without a leader, it takes part as the
/// voter that it was, if the others permit it.
async fn join(context: &DaemonContext, handle: &GroupHandle, group: Group, control_addr: &str) {
    let shared = &context.shared;
    let is_member = || {
        handle
            .status()
            .members
            .members
            .contains_key(&handle.replica())
    };
    while !is_member() {
        let joining = request_join(context, group, handle.replica(), control_addr);
        let recovering = async {
            async_std::task::sleep(ROUND_DELAY * 5).await;
            if !is_member() {
                voter_recovery::attempt(shared, handle, group).await;
            }
        };
        futures::join!(joining, recovering);
        if !is_member() {
            replica_search::run(shared).await;
        }
    }
}

/// Requests to join again whenever there was no contact to a leader for `REJOIN_AFTER`, or none since
/// the start: the group may have removed this replica while it was stopped or partitioned. For a
/// member, the request has no effect.
async fn rejoin(context: &DaemonContext, handle: &GroupHandle, group: Group, control_addr: &str) {
    let shared = &context.shared;
    let started = Instant::now();
    loop {
        async_std::task::sleep(REJOIN_INTERVAL).await;
        if shared.stop.is_begun() {
            return;
        }
        let age = handle.quorum_age_ms().map(Duration::from_millis);
        if age.is_some_and(|age| age <= REJOIN_AFTER) {
            continue;
        }
        if age.unwrap_or_else(|| started.elapsed()) > SEARCH_AFTER {
            replica_search::run(shared).await;
        }
        request_join(context, group, handle.replica(), control_addr).await;
    }
}

/// Prepares the groups for the stop of this replica. Ends within [`LEAVE_TIMEOUT`], with or without a
/// leader.
pub(crate) async fn leave(context: &DaemonContext) {
    let shared = &context.shared;
    let Some(handles) = shared.replica.get() else {
        return;
    };
    let client = ReplicaClient::new(shared);
    let leaving = Group::ALL.map(|group| {
        let replica = handles.group(group).replica();
        let request = SubmitRequest::Leave { group, replica };
        let leaving = client.submit(request, LEAVE_TIMEOUT);
        async move {
            match leaving.await {
                Ok(SubmitReply::Left) => emit!(shared.log, events::GROUP_LEFT,
                    "group" => group.as_str()),
                Ok(_) | Err(_) => emit!(shared.log, events::GROUP_NOT_LEFT,
                    "group" => group.as_str()),
            }
        }
    });
    futures::future::join_all(leaving).await;
}

async fn request_join(
    context: &DaemonContext,
    group: Group,
    replica: ReplicaId,
    control_addr: &str,
) {
    let shared = &context.shared;
    let request = SubmitRequest::Join {
        group,
        replica,
        control_addr: control_addr.to_owned(),
    };
    let reply = ReplicaClient::new(shared)
        .submit(request, JOIN_TIMEOUT)
        .await;
    if reply == Ok(SubmitReply::Joined) {
        emit!(shared.log, events::GROUP_JOINED, "group" => group.as_str());
    }
}
