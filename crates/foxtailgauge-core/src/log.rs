//! In-memory log of a consensus group: a compacted prefix and the entries after it.

use crate::ids::{LogIndex, Term};
use crate::membership::Membership;
use crate::message::{Entry, Payload};
use std::collections::VecDeque;

/// Log entries after a compacted prefix.
///
/// Invariants: entries have consecutive indexes from `start_index + 1`; terms never decrease.
#[derive(Clone, Debug, Default)]
pub struct Log {
    start_index: LogIndex,
    start_term: Term,
    start_membership: Membership,
    entries: VecDeque<Entry>,
    /// Memberships in `entries` with their indexes, in ascending order.
    memberships: Vec<(LogIndex, Membership)>,
}

impl Log {
    /// Creates a log that starts after a snapshot at `start_index`.
    ///
    /// `entries` must follow it without gaps.
    pub fn new(
        start_index: LogIndex,
        start_term: Term,
        start_membership: Membership,
        entries: impl IntoIterator<Item = Entry>,
    ) -> Self {
        let mut log = Log {
            start_index,
            start_term,
            start_membership,
            ..Log::default()
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Last index covered by the preceding snapshot; 0 if there is none.
    pub fn start_index(&self) -> LogIndex {
        self.start_index
    }

    /// Index of the last entry, or the start index if there is none.
    pub fn last_index(&self) -> LogIndex {
        self.start_index + self.entries.len() as u64
    }

    /// Term of the last entry, or the start term if there is none.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.start_term, |e| e.term)
    }

    /// Number of entries after the start index.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries after the start index.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Term at an index, if it is the start index or that of an entry in the log.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.start_index {
            return Some(self.start_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entry at an index, unless it is compacted or past the end.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.start_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Up to `limit` entries, starting at index `from` or at the first entry after compaction.
    pub fn range(&self, from: LogIndex, limit: usize) -> Vec<Entry> {
        let offset = from.saturating_sub(self.start_index + 1) as usize;
        self.entries
            .iter()
            .skip(offset)
            .take(limit)
            .cloned()
            .collect()
    }

    /// Latest membership in the log and its index.
    pub fn membership(&self) -> (LogIndex, &Membership) {
        match self.memberships.last() {
            Some((index, membership)) => (*index, membership),
            None => (self.start_index, &self.start_membership),
        }
    }

    /// Membership before the latest one in the log; the same one if its predecessor is compacted.
    pub(crate) fn previous_membership(&self) -> (LogIndex, &Membership) {
        match self.memberships.as_slice() {
            [.., (index, previous), _] => (*index, previous),
            [_] | [] => (self.start_index, &self.start_membership),
        }
    }

    /// Membership in effect at an index.
    pub fn membership_at(&self, index: LogIndex) -> &Membership {
        let active = self.memberships.iter().rev().find(|(at, _)| *at <= index);
        active.map_or(&self.start_membership, |(_, membership)| membership)
    }

    /// Appends an entry, whose index must follow that of the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Membership(membership) = &entry.payload {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `from` and all entries after it.
    pub fn truncate(&mut self, from: LogIndex) {
        let keep = from.saturating_sub(self.start_index + 1) as usize;
        self.entries.truncate(keep);
        self.memberships.retain(|(index, _)| *index < from);
    }

    /// Removes the entries up to and including `index`. Does nothing if `index` is not in the log.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        self.start_membership = self.membership_at(index).clone();
        self.memberships.retain(|(at, _)| *at > index);
        let count = index.saturating_sub(self.start_index) as usize;
        self.entries.drain(..count.min(self.entries.len()));
        self.start_index = index;
        self.start_term = term;
    }

    /// First index of the run of entries with equal terms that ends at `index`.
    pub fn first_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else {
            return index;
        };
        let mut first = index;
        while first > self.start_index + 1 && self.term_at(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }
}
