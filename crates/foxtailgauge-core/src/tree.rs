//! Distribution tree: a daemon reads the configuration from a replica or from a relay of its
//! failure domain.

use crate::directory::{InstanceState, Presence};
use crate::ids::DaemonName;
use sha2::{Digest, Sha256};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashSet};

/// A source of configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Name of the daemon, if known.
    pub name: Option<DaemonName>,
    /// Address of its control port.
    pub control_addr: String,
}

/// Returns up to `count` relays of a failure domain, best first: the live daemons with the highest
/// rendezvous weight of their name.
///
/// Replicas come first, as they hold the configuration in any case.
pub fn relays<'a>(
    live: impl Iterator<Item = &'a InstanceState>,
    failure_domain: &str,
    count: usize,
) -> Vec<&'a InstanceState> {
    let mut instances: Vec<&InstanceState> = live
        .filter(|state| state.failure_domain == failure_domain)
        .collect();
    instances.sort_by_key(|s| (!s.is_replica, Reverse(weight(failure_domain, &s.name))));
    instances.truncate(count);
    instances
}

/// Number of replicas outside its relays that a daemon tries before it returns to its relays.
const FALLBACK_REPLICAS: usize = 3;

/// Control addresses of the replicas, as far as a daemon knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaAddrs {
    /// Replicas that the directory lists as live.
    pub live: Vec<String>,
    /// Seeds of which the directory knows nothing, then lost replicas and seeds that are not live.
    pub others: Vec<String>,
}

impl ReplicaAddrs {
    /// Replicas in `known` and the seeds, without duplicates. The order within each part differs
    /// between daemons.
    ///
    /// Seeds are only a first contact: replicas are replaced, and then the directory alone has their
    /// addresses.
    pub fn new<'a>(
        own_name: &str,
        known: impl Iterator<Item = &'a InstanceState>,
        seeds: &[String],
    ) -> Self {
        let mut live = BTreeSet::new();
        let mut lost = BTreeSet::new();
        let mut stopped = BTreeSet::new();
        for instance in known.filter(|instance| instance.is_replica) {
            let part = match instance.presence {
                Presence::Live => &mut live,
                Presence::Lost => &mut lost,
                Presence::Stopped => &mut stopped,
            };
            part.insert(&instance.control_addr);
        }
        let (known_seeds, unknown_seeds): (BTreeSet<&String>, BTreeSet<&String>) =
            seeds.iter().partition(|seed| {
                [&live, &lost, &stopped]
                    .iter()
                    .any(|part| part.contains(seed))
            });
        let not_live: BTreeSet<&String> = lost.union(&known_seeds).copied().collect();
        let not_live = not_live.difference(&live).copied().collect();
        let mut others = by_weight(own_name, unknown_seeds);
        others.extend(by_weight(own_name, not_live));
        ReplicaAddrs {
            live: by_weight(own_name, live),
            others,
        }
    }

    /// All addresses, those that are most likely to reply first.
    pub fn in_order(&self) -> impl Iterator<Item = &String> {
        self.live.iter().chain(&self.others)
    }
}

/// Returns the sources that a daemon should try, in order, without duplicate addresses.
///
/// A relay reads from replicas. Every other daemon tries the relays of its failure domain first and
/// [`FALLBACK_REPLICAS`] replicas after them. Others follow in the next `round`, for a daemon that none of
/// these answered.
pub fn sources<'a>(
    own_name: &str,
    own_domain: &str,
    known: impl Iterator<Item = &'a InstanceState> + Clone,
    seeds: &[String],
    relay_count: usize,
    round: usize,
) -> Vec<Source> {
    let live = known.clone().filter(|instance| instance.is_live());
    let relays = relays(live, own_domain, relay_count);
    let is_relay = relays.iter().any(|relay| relay.name == own_name);
    let mut ordered: Vec<Source> = Vec::new();
    if !is_relay {
        let mut by_weight = relays;
        by_weight.sort_by_key(|relay| Reverse(weight(own_name, &relay.name)));
        ordered.extend(by_weight.into_iter().map(|relay| Source {
            name: Some(relay.name.clone()),
            control_addr: relay.control_addr.clone(),
        }));
    }
    let replicas = ReplicaAddrs::new(own_name, known, seeds);
    let mut replicas: Vec<&String> = replicas.in_order().collect();
    let count = replicas.len().max(1);
    replicas.rotate_left(round.wrapping_mul(FALLBACK_REPLICAS) % count);
    ordered.extend(
        replicas
            .into_iter()
            .take(FALLBACK_REPLICAS)
            .map(|addr| Source {
                name: None,
                control_addr: addr.clone(),
            }),
    );
    let mut seen = HashSet::new();
    ordered.retain(|source| seen.insert(source.control_addr.clone()));
    ordered
}

/// Addresses in the order in which a daemon tries them.
fn by_weight(own_name: &str, addrs: BTreeSet<&String>) -> Vec<String> {
    let mut addrs: Vec<String> = addrs.into_iter().cloned().collect();
    addrs.sort_by_key(|addr| Reverse(weight(own_name, addr)));
    addrs
}

/// Rendezvous weight of `candidate` for `key`.
pub(crate) fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(key);
    hasher.update([0]);
    hasher.update(candidate);
    let hash: [u8; 32] = hasher.finalize().into();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(prefix)
}
