//! Search for replicas by a daemon that reaches none of those it knows: it reads its seeds again and
//! asks other daemons.

use crate::emit;
use crate::events;
use crate::peer_client::{PeerReply, PeerRequest};
use crate::shared::Shared;
use foxtailgauge_core::{InstanceState, Presence, ReplicaAddrs};
use foxtailgauge_wire::{decode, encode_compressed, SubmitReply, SubmitRequest};
use rand::seq::IndexedRandom;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time for one daemon to answer, connecting included.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// Replicas that are asked, and other daemons.
const ASKED_REPLICAS: usize = 3;
const ASKED_OTHERS: usize = 4;

/// Directory entries of all replicas, those of lost and stopped ones included: they replace entries
/// by which the asking daemon takes them for live.
pub(crate) fn known_replicas(shared: &Shared) -> Vec<InstanceState> {
    shared.with_directory(|directory| {
        let replicas = directory.all().filter(|instance| instance.is_replica);
        replicas.cloned().collect()
    })
}

/// Reads the seeds again, asks them and some other daemons for the replicas, and merges each answer into
/// the directory as it arrives: those of daemons that are gone take until the timeout.
pub(crate) async fn run(shared: &Shared) {
    shared.seeds.reload(&shared.log).await;
    let asked = asked_daemons(shared);
    let asking = asked.iter().map(|addr| ask_and_merge(shared, addr));
    let has_answered = futures::future::join_all(asking).await;
    let live = shared.replica_addrs().live;
    let by_addr = asked.iter().zip(has_answered);
    let answered: Vec<&String> = by_addr
        .filter_map(|(addr, has)| has.then_some(addr))
        .collect();
    let replicas = answered.iter().filter(|addr| live.contains(addr));
    emit!(shared.log, events::REPLICAS_SEARCHED, "asked" => asked.len(),
        "answered" => answered.len(), "replicas_answered" => replicas.count());
}

/// Returns whether the daemon answered.
async fn ask_and_merge(shared: &Shared, addr: &str) -> bool {
    let Some(replicas) = ask(shared, addr).await else {
        return false;
    };
    for instance in replicas {
        let name = instance.name.clone();
        shared.merge_instances(vec![instance], &name);
    }
    true
}

/// The seeds, and a random choice of the known replicas and of the other daemons. Lost ones may have
/// come back unnoticed by a daemon without a source.
fn asked_daemons(shared: &Shared) -> BTreeSet<String> {
    let settings = &shared.settings;
    let mut rng = rand::rng();
    let mut asked = BTreeSet::new();
    shared.with_directory(|directory| {
        let others = directory.all().filter(|instance| {
            instance.presence != Presence::Stopped && instance.name != settings.name
        });
        let (replicas, others): (Vec<_>, Vec<_>) = others.partition(|i| i.is_replica);
        let replicas = replicas.choose_multiple(&mut rng, ASKED_REPLICAS);
        asked.extend(replicas.map(|i| i.control_addr.clone()));
        let others = others.choose_multiple(&mut rng, ASKED_OTHERS);
        asked.extend(others.map(|i| i.control_addr.clone()));
    });
    asked.extend(shared.seeds.addrs().iter().cloned());
    asked.remove(&settings.advertise_control);
    asked
}

async fn ask(shared: &Shared, addr: &str) -> Option<Vec<InstanceState>> {
    let bytes = encode_compressed(&SubmitRequest::ReadReplicas).ok()?;
    shared.metrics.record_payload("sent", "submit", bytes.len());
    let client = &shared.clients.control;
    let calling = client.call(addr, PeerRequest::Submit(bytes), ANSWER_TIMEOUT);
    let reply = async_std::future::timeout(ANSWER_TIMEOUT, calling).await;
    let Ok(Ok(PeerReply::Payload(bytes))) = reply else {
        return None;
    };
    match decode(&bytes) {
        Ok(SubmitReply::Replicas(replicas)) => Some(replicas),
        _ => None,
    }
}

impl Shared {
    /// How the directory lists the daemon at a control address, for logs.
    pub(crate) fn listed_as(&self, control_addr: &str) -> &'static str {
        self.with_directory(|directory| {
            let presences = directory.all().filter(|i| i.control_addr == control_addr);
            // An address may be used again: the entry of a live daemon counts most.
            match presences.map(|i| i.presence).min() {
                Some(Presence::Live) => "live",
                Some(Presence::Lost) => "lost",
                Some(Presence::Stopped) => "stopped",
                None => "unknown",
            }
        })
    }

    /// Control addresses of the replicas as this daemon knows them now, in the order in which it
    /// should try them. Reads the whole directory. Not empty, as the settings name at least one seed.
    pub(crate) fn replica_addrs(&self) -> ReplicaAddrs {
        let seeds = self.seeds.addrs();
        let mut addrs = self.with_directory(|directory| {
            ReplicaAddrs::new(&self.settings.name, directory.all(), &seeds)
        });
        // A replica knows the members of its group before it has a source.
        let members = self.replica.get().map(|r| r.config.status().members);
        for member in members.unwrap_or_default().members.into_values() {
            if !addrs.in_order().any(|addr| *addr == member.control_addr) {
                addrs.live.push(member.control_addr);
            }
        }
        addrs
    }
}
