//! Table of all daemons and the backend servers beside them, kept in step by cursors.
//!
//! Each daemon is the only writer of its own entry and orders its states by incarnation and
//! sequence. A parent may mark a child lost; the child refutes that with a higher sequence.

use crate::ids::{DaemonName, FailureDomain, Incarnation, ServiceName};
use crate::quarantine::Suspect;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Takes work.
    Ready,
    /// Takes no new work and ends what it has.
    Leaving,
}

/// Whether a daemon takes part. A later variant of the same state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// It is heard.
    Live,
    /// Its source no longer hears it: it may be dead, or cut off and serving.
    Lost,
    /// It said that it stops, or operators said that it does not come back.
    Stopped,
}

/// One backend server as its daemon announces it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name, unique on its instance.
    pub name: String,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// State of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceState {
    /// Unique name.
    pub name: DaemonName,
    /// Failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Start of the process.
    pub incarnation: Incarnation,
    /// Grows with each state of the same incarnation.
    pub sequence: u64,
    /// Address of its control port.
    pub control_addr: String,
    /// Address of its call port.
    pub calls_addr: String,
    /// Whether it keeps replicated state.
    pub is_replica: bool,
    /// Whether it takes part; only the source may write `Lost`.
    pub presence: Presence,
    /// Backend servers beside it.
    pub servers: Vec<ServerEntry>,
    /// Requests that were in flight when a backend server beside it died.
    pub suspects: Vec<Suspect>,
}

impl InstanceState {
    /// Whether the daemon is heard.
    pub fn is_live(&self) -> bool {
        self.presence == Presence::Live
    }

    fn precedence(&self) -> (Incarnation, u64, Presence) {
        (self.incarnation, self.sequence, self.presence)
    }
}

/// How far a subscriber has read a directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Identifies the process whose stamps these are.
    pub epoch: u64,
    /// Last stamp read.
    pub stamp: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    state: InstanceState,
    /// Position in `by_stamp`.
    stamp: u64,
    /// Neighbour the state came from; the daemon itself for its own entry.
    received_from: DaemonName,
}

/// The table held by one daemon.
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
    /// An empty table; `epoch` must differ between two starts of the same daemon.
    pub fn new(owner: impl Into<DaemonName>, epoch: u64) -> Self {
        Directory {
            owner: owner.into(),
            epoch,
            stamp: 0,
            entries: BTreeMap::new(),
            by_stamp: BTreeMap::new(),
        }
    }

    /// Cursor that stands behind the newest change.
    pub fn cursor(&self) -> Cursor {
        Cursor {
            epoch: self.epoch,
            stamp: self.stamp,
        }
    }

    /// All entries of daemons that are heard.
    pub fn live(&self) -> impl Iterator<Item = &InstanceState> + Clone {
        self.entries
            .values()
            .map(|entry| &entry.state)
            .filter(|state| state.is_live())
    }

    /// All entries, lost ones included.
    pub fn all(&self) -> impl Iterator<Item = &InstanceState> + Clone {
        self.entries.values().map(|entry| &entry.state)
    }

    /// One entry.
    pub fn get(&self, name: &str) -> Option<&InstanceState> {
        self.entries.get(name).map(|entry| &entry.state)
    }

    /// Replaces the owner's own entry. The caller keeps incarnation and sequence growing.
    pub fn set_own(&mut self, state: InstanceState) -> bool {
        let owner = self.owner.clone();
        self.merge_one(state, &owner)
    }

    /// Takes over newer states heard from a neighbour. Returns whether anything changed.
    pub fn merge(&mut self, states: Vec<InstanceState>, received_from: &str) -> bool {
        let mut has_changed = false;
        for state in states {
            has_changed |= self.merge_one(state, received_from);
        }
        has_changed
    }

    /// Takes over the states that a child reports. A state that is held already is from now on
    /// known through that child.
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

    /// Live daemons whose state came through a neighbour.
    pub fn live_received_from(&self, neighbour: &str) -> Vec<DaemonName> {
        self.entries
            .values()
            .filter(|entry| entry.received_from == neighbour && entry.state.is_live())
            .map(|entry| entry.state.name.clone())
            .collect()
    }

    /// Live daemons other than the owner whose state came through no neighbour that fits.
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

    /// Sequence the owner must exceed to refute a mark as lost, if it is marked.
    pub fn own_refutation(&self) -> Option<u64> {
        let own = self.get(&self.owner)?;
        (!own.is_live()).then_some(own.sequence)
    }

    /// Marks a daemon lost that a parent no longer hears.
    pub fn mark_lost(&mut self, name: &str) -> bool {
        self.set_presence(name, Presence::Live, Presence::Lost)
    }

    /// Marks a lost daemon as one that does not come back.
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

    /// Entries changed since the cursor, for a reader that takes from this table: all but those
    /// that came from it.
    ///
    /// A cursor of another epoch, or none, reads all from the start: a reader that restarted has
    /// forgotten what it once told.
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

    /// Entries changed since the cursor, for a report to a source: the own one and those that came
    /// from children. What came from a source earlier is not this daemon's to vouch for.
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
