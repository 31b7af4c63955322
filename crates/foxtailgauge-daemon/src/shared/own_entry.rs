//! The daemon's own entry in the directory.

use super::{unix_ms, Shared};
use crate::emit;
use crate::events;
use crate::mutex::lock;
use foxtailgauge_core::{InstanceState, Presence, ServerEntry, SuspectLog};

/// What the daemon publishes of itself.
pub(super) struct OwnEntry {
    presence: Presence,
    pub(super) sequence: u64,
    servers: Vec<ServerEntry>,
    /// Backend servers that accept forwarded requests.
    forwarded: Vec<ServerEntry>,
    pub(super) suspect_log: SuspectLog,
}

impl Default for OwnEntry {
    fn default() -> Self {
        OwnEntry {
            presence: Presence::Live,
            sequence: 0,
            servers: Vec::new(),
            forwarded: Vec::new(),
            suspect_log: SuspectLog::default(),
        }
    }
}

impl Shared {
    /// Announces the daemon's own backend servers.
    pub(crate) fn announce(&self, servers: Vec<ServerEntry>) {
        self.republish(|own| own.servers = servers);
    }

    /// Announces the daemon's own backend servers that accept forwarded requests.
    pub(crate) fn announce_forwarded(&self, servers: Vec<ServerEntry>) {
        self.republish(|own| own.forwarded = servers);
    }

    /// Changes the own entry and writes it to the directory under a new sequence.
    pub(super) fn republish(&self, change: impl FnOnce(&mut OwnEntry)) {
        let mut own = lock(&self.own);
        change(&mut own);
        own.sequence += 1;
        let state = self.own_state(&own);
        drop(own);
        if self.members.change(|directory| directory.set_own(state)) {
            self.directory_changed();
        }
    }

    pub(super) fn own_state(&self, own: &OwnEntry) -> InstanceState {
        InstanceState {
            name: self.settings.name.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            incarnation: self.incarnation,
            sequence: own.sequence,
            control_addr: self.settings.advertise_control.clone(),
            calls_addr: self.settings.advertise_calls.clone(),
            is_replica: self.settings.store_dir.is_some(),
            presence: own.presence,
            servers: own.servers.iter().chain(&own.forwarded).cloned().collect(),
            suspects: own.suspect_log.current(unix_ms()),
        }
    }

    /// Writes the own entry under a new sequence, so that it spreads through a new source.
    pub(crate) fn renew_own_entry(&self) {
        self.republish(|_| {});
    }

    /// Announces that this daemon stops and withdraws its backend servers.
    pub(crate) fn announce_stop(&self) {
        self.republish(|own| {
            own.presence = Presence::Stopped;
            own.servers.clear();
            own.forwarded.clear();
        });
    }

    /// Refutes a lost or stopped mark that another daemon has set for this one, unless this one has
    /// announced its stop.
    pub(super) fn refute_loss(&self) {
        if lock(&self.own).presence == Presence::Stopped {
            return;
        }
        let Some(sequence) = self.members.change(|directory| directory.own_refutation()) else {
            return;
        };
        emit!(self.log, events::LOST_REFUTED, "sequence" => sequence);
        let mut own = lock(&self.own);
        own.sequence = own.sequence.max(sequence);
        drop(own);
        self.republish(|_| {});
    }
}
