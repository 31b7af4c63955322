//! Marks of daemons as lost that wait because this daemon still gets replies from them.
//!
//! A source marks a daemon as lost when its reports no longer arrive. The daemons of a failure domain that was
//! partitioned go on to serve each other, and receive all these marks at once when the partition ends, before
//! any of them has refuted its own.

use crate::directory::{InstanceState, Presence};
use crate::ids::DaemonName;
use std::collections::BTreeMap;

/// A directory entry and the peer that it was received from.
type Received = (InstanceState, DaemonName);

/// The newest mark that waits for each daemon.
#[derive(Clone, Debug, Default)]
pub struct DeferredLosses {
    by_daemon: BTreeMap<DaemonName, Received>,
}

impl DeferredLosses {
    /// Keeps the marks of daemons that this one is in contact with, and returns all other entries.
    pub fn defer(
        &mut self,
        states: Vec<InstanceState>,
        received_from: &str,
        is_in_contact: impl Fn(&str) -> bool,
    ) -> Vec<InstanceState> {
        let is_deferred =
            |state: &InstanceState| state.presence == Presence::Lost && is_in_contact(&state.name);
        let (deferred, others): (Vec<_>, Vec<_>) = states.into_iter().partition(is_deferred);
        for state in deferred {
            let known = self.by_daemon.get(&state.name);
            if known.is_none_or(|(known, _)| known.precedence() < state.precedence()) {
                let name = state.name.clone();
                self.by_daemon
                    .insert(name, (state, received_from.to_owned()));
            }
        }
        others
    }

    /// Takes out the marks of daemons that this one is no longer in contact with. Those that have been
    /// refuted meanwhile are older than the entries in the directory.
    pub fn take_due(&mut self, is_in_contact: impl Fn(&str) -> bool) -> Vec<Received> {
        let all = std::mem::take(&mut self.by_daemon).into_iter();
        let (due, waiting) = all.partition(|(name, _)| !is_in_contact(name));
        self.by_daemon = waiting;
        let due: BTreeMap<DaemonName, Received> = due;
        due.into_values().collect()
    }
}
