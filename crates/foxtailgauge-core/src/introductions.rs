//! Daemons that a replica tells where it is, since they may have started anew without knowing a replica.

use crate::directory::{Directory, Presence};
use crate::ids::DaemonName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Daemons that are told in one round.
const DAEMONS_PER_ROUND: usize = 32;

/// Control addresses of all daemons that store no replicated state and have not announced their stop.
///
/// A daemon without a disk that starts anew knows only the replicas of its settings, and these may all
/// have been removed. The replicas know its address, also after their own restart if they store this value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Introductions {
    addrs: BTreeMap<DaemonName, String>,
    /// The last daemon that was told.
    #[serde(skip)]
    last: Option<DaemonName>,
}

impl Introductions {
    /// Adds the daemons of a directory, and removes those that stopped for good. Returns whether anything changed.
    pub fn update(&mut self, directory: &Directory) -> bool {
        let mut has_changed = false;
        for instance in directory.all().filter(|instance| !instance.is_replica) {
            if instance.presence == Presence::Stopped {
                has_changed |= self.addrs.remove(&instance.name).is_some();
            } else if self.addrs.get(&instance.name) != Some(&instance.control_addr) {
                let addr = instance.control_addr.clone();
                self.addrs.insert(instance.name.clone(), addr);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Addresses of the next daemons that the directory does not list as live, in turn.
    pub fn next_round(&mut self, directory: &Directory) -> Vec<String> {
        let is_missing = |name: &str| !directory.get(name).is_some_and(|i| i.is_live());
        let after = match self.last.take() {
            Some(last) => Bound::Excluded(last),
            None => Bound::Unbounded,
        };
        let missing = self.addrs.range((after, Bound::Unbounded));
        let missing: Vec<_> = missing
            .filter(|(name, _)| is_missing(name))
            .take(DAEMONS_PER_ROUND)
            .collect();
        // A round that is not full ends with the last daemon: the next one starts from the first.
        if missing.len() == DAEMONS_PER_ROUND {
            self.last = missing.last().map(|(name, _)| (*name).clone());
        }
        missing.into_iter().map(|(_, addr)| addr.clone()).collect()
    }
}
