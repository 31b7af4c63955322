//! Table of all daemons and their colocated backend servers, synchronized by cursors.
//!
//! Each daemon is the only writer of its own entry and orders its states by incarnation and
//! sequence. It reports its own entry and those of its subscribers to a source. A source may mark a
//! subscriber lost; the subscriber refutes this with a higher sequence.

use crate::ids::{DaemonName, FailureDomain, Incarnation, ServerVersion, ServiceName};
use crate::quarantine::Suspect;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Accepts no new requests and completes those in flight.
    Leaving,
    /// Accepts requests that a rollout sends to its version.
    OnTrial,
    /// Accepts no requests and runs none, because a rollout replaces its version.
    Drained,
}

/// Whether a daemon takes part. Of two variants with the same incarnation and sequence, the later
/// one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It is running, and its source receives its reports.
    Live,
    /// Its source no longer receives reports from it: it may have failed, or be partitioned and
    /// still serving.
    Lost,
    /// It announced that it stops, or operators declared that it does not come back.
    Stopped,
}

/// One backend server as announced by its daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name, unique on its instance.
    pub name: String,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: ServerState,
    /// Version of its software; empty if it reports none.
    pub version: ServerVersion,
}

/// State of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceState {
    /// Unique name.
    pub name: DaemonName,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Identifies the start of the process.
    pub incarnation: Incarnation,
    /// Increases with each state of the same incarnation.
    pub sequence: u64,
    /// Address of its control port.
    pub control_addr: String,
    /// Address of its call port.
    pub calls_addr: String,
    /// Whether it stores replicated state.
    pub is_replica: bool,
    /// Whether it takes part; only the source may set [`Presence::Lost`].
    pub presence: Presence,
    /// Backend servers on its instance.
    pub servers: Vec<ServerEntry>,
    /// Requests that were in flight when a backend server on its instance crashed.
    pub suspects: Vec<Suspect>,
}

impl InstanceState {
    /// Whether the daemon is live.
    pub fn is_live(&self) -> bool {
        self.presence == Presence::Live
    }

    /// Order of the states of one daemon; the highest is the newest.
    pub(crate) fn precedence(&self) -> (Incarnation, u64, Presence) {
        (self.incarnation, self.sequence, self.presence)
    }
}

/// Position up to which a reader has read a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Identifies the process that assigned the stamp.
    pub epoch: u64,
    /// Stamp of the last change read; stamps increase with each change.
    pub stamp: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    state: InstanceState,
    /// Position in `by_stamp`.
    stamp: u64,
    /// Neighbour the state was received from; the owner for its own entry and for marks it sets.
    received_from: DaemonName,
}

/// The table of one daemon.
///
/// Invariant: `by_stamp` holds exactly one stamp per entry, and the newest change has the highest.
#[derive(Clone, Debug)]
pub struct Directory {
    owner: DaemonName,
    epoch: u64,
    stamp: u64,
    entries: BTreeMap<DaemonName, Entry>,
    by_stamp: BTreeMap<u64, DaemonName>,
}

impl Directory {
    /// Creates an empty table; `epoch` must differ between two starts of the same daemon.
    pub fn new(owner: impl Into<DaemonName>, epoch: u64) -> Self {
        Directory {
            owner: owner.into(),
            epoch,
            stamp: 0,
            entries: BTreeMap::new(),
            by_stamp: BTreeMap::new(),
        }
    }

    /// Cursor after the newest change.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            stamp: self.stamp,
        }
    }

    /// Entries of all live daemons.
    pub fn live(&self) -> impl Iterator<Item = &InstanceState> + Clone {
        self.entries
            .values()
            .map(|entry| &entry.state)
            .filter(|state| state.is_live())
    }

    /// All entries, including lost and stopped daemons.
    pub fn all(&self) -> impl Iterator<Item = &InstanceState> + Clone {
        self.entries.values().map(|entry| &entry.state)
    }

    /// Entry of a daemon.
    pub fn get(&self, name: &str) -> Option<&InstanceState> {
        self.entries.get(name).map(|entry| &entry.state)
    }

    /// Replaces the owner's entry. The caller must increase incarnation or sequence; returns
    /// `false` if it did not.
    pub fn set_own(&mut self, state: InstanceState) -> bool {
        let owner = self.owner.clone();
        self.merge_one(state, &owner)
    }

    /// Merges newer states received from a peer. Returns whether anything changed.
    pub fn merge(&mut self, states: Vec<InstanceState>, received_from: &str) -> bool {
        let mut has_changed = false;
        for state in states {
            has_changed |= self.merge_one(state, received_from);
        }
        has_changed
    }

    /// Merges the states reported by a subscriber. A state that is already current is from now on
    /// recorded as received from that subscriber.
    pub fn merge_report(&mut self, states: Vec<InstanceState>, subscriber: &str) -> bool {
        for state in &states {
            if let Some(current) = self.entries.get_mut(&state.name) {
                if current.state.precedence() == state.precedence() {
                    current.received_from = subscriber.to_owned();
                }
            }
        }
        self.merge(states, subscriber)
    }

    fn merge_one(&mut self, state: InstanceState, received_from: &str) -> bool {
        let name = state.name.clone();
        if let Some(current) = self.entries.get(&name) {
            if state.precedence() <= current.state.precedence() {
                return false;
            }
            self.by_stamp.remove(&current.stamp);
        }
        self.stamp += 1;
        self.by_stamp.insert(self.stamp, name.clone());
        let entry = Entry {
            state,
            stamp: self.stamp,
            received_from: received_from.to_owned(),
        };
        self.entries.insert(name, entry);
        true
    }

    /// Live daemons whose state was received from a peer.
    pub fn live_received_from(&self, peer: &str) -> Vec<DaemonName> {
        self.entries
            .values()
            .filter(|entry| entry.received_from == peer && entry.state.is_live())
            .map(|entry| entry.state.name.clone())
            .collect()
    }

    /// Live daemons other than the owner whose state was not received from an excluded peer.
    pub fn live_not_received_from(&self, is_excluded: impl Fn(&str) -> bool) -> Vec<DaemonName> {
        let is_unreported = |entry: &&Entry| {
            entry.state.is_live()
                && entry.received_from != self.owner
                && !is_excluded(&entry.received_from)
        };
        self.entries
            .values()
            .filter(is_unreported)
            .map(|entry| entry.state.name.clone())
            .collect()
    }

    /// Sequence that the owner must exceed to refute a lost or stopped mark; `None` if it is live.
    pub fn own_refutation(&self) -> Option<u64> {
        let own = self.get(&self.owner)?;
        (!own.is_live()).then_some(own.sequence)
    }

    /// Marks a live daemon as lost.
    pub fn mark_lost(&mut self, name: &str) -> bool {
        self.set_presence(name, Presence::Live, Presence::Lost)
    }

    /// Marks a lost daemon as stopped, as it does not come back.
    pub fn forget(&mut self, name: &str) -> bool {
        self.set_presence(name, Presence::Lost, Presence::Stopped)
    }

    fn set_presence(&mut self, name: &str, from: Presence, to: Presence) -> bool {
        if name == self.owner {
            return false;
        }
        let Some(current) = self
            .entries
            .get(name)
            .filter(|entry| entry.state.presence == from)
        else {
            return false;
        };
        let mut state = current.state.clone();
        state.presence = to;
        state.servers.clear();
        let owner = self.owner.clone();
        self.merge_one(state, &owner)
    }

    /// Entries changed since the cursor, for a reader of this table: all but those received from
    /// it.
    ///
    /// Without a cursor, or with one of another epoch, all entries are returned, including those
    /// received from the reader: a restarted reader has lost its table.
    pub fn changes_since(
        &self,
        cursor: Option<Cursor>,
        reader: &str,
    ) -> (Vec<InstanceState>, Cursor) {
        let is_full_read = cursor.is_none_or(|cursor| cursor.epoch != self.epoch);
        self.changes(cursor, |received_from| {
            is_full_read || received_from != reader
        })
    }

    /// Entries changed since the cursor, for a report to a source: the owner's and those received
    /// from subscribers. This daemon is no authority for entries received from an earlier source.
    pub fn subtree_changes_since(
        &self,
        cursor: Option<Cursor>,
        is_subscriber: impl Fn(&str) -> bool,
    ) -> (Vec<InstanceState>, Cursor) {
        self.changes(cursor, |received_from| {
            received_from == self.owner || is_subscriber(received_from)
        })
    }

    fn changes(
        &self,
        cursor: Option<Cursor>,
        is_included: impl Fn(&str) -> bool,
    ) -> (Vec<InstanceState>, Cursor) {
        let from = match cursor {
            Some(cursor) if cursor.epoch == self.epoch => cursor.stamp,
            _ => 0,
        };
        let changes = self
            .by_stamp
            .range(from + 1..)
            .filter_map(|(_, name)| self.entries.get(name))
            .filter(|entry| is_included(&entry.received_from))
            .map(|entry| entry.state.clone())
            .collect();
        (changes, self.cursor())
    }
}
