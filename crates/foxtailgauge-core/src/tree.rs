//! Distribution tree: a daemon reads the configuration from a replica or from a relay of its
//! failure domain.

use crate::directory::InstanceState;
use crate::ids::DaemonName;
use sha2::{Digest, Sha256};

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
    instances.sort_by_key(|s| {
        (
            !s.is_replica,
            std::cmp::Reverse(weight(failure_domain, &s.name)),
        )
    });
    instances.truncate(count);
    instances
}

/// Returns the sources that a daemon should try, in order, without duplicate addresses.
///
/// A relay reads from replicas. Every other daemon tries the relays of its failure domain first and
/// the replicas after them.
pub fn sources<'a>(
    own_name: &str,
    own_domain: &str,
    live: impl Iterator<Item = &'a InstanceState> + Clone,
    replica_addrs: &[String],
    relay_count: usize,
) -> Vec<Source> {
    let relays = relays(live, own_domain, relay_count);
    let is_relay = relays.iter().any(|relay| relay.name == own_name);
    let mut ordered: Vec<Source> = Vec::new();
    if !is_relay {
        let mut by_weight = relays;
        by_weight.sort_by_key(|relay| std::cmp::Reverse(weight(own_name, &relay.name)));
        ordered.extend(by_weight.into_iter().map(|relay| Source {
            name: Some(relay.name.clone()),
            control_addr: relay.control_addr.clone(),
        }));
    }
    let mut replicas: Vec<&String> = replica_addrs.iter().collect();
    replicas.sort_by_key(|addr| std::cmp::Reverse(weight(own_name, addr)));
    ordered.extend(replicas.into_iter().map(|addr| Source {
        name: None,
        control_addr: addr.clone(),
    }));
    let mut seen = std::collections::HashSet::new();
    ordered.retain(|source| seen.insert(source.control_addr.clone()));
    ordered
}

/// Rendezvous weight of `candidate` for `key`.
fn weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(key);
    hasher.update([0]);
    hasher.update(candidate);
    let hash: [u8; 32] = hasher.finalize().into();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(prefix)
}
