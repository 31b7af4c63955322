//! Changes that wait at the leader until the document they are based on is in place.
//!
//! Designed for operators that send several documents, each based on the one before, to different
//! daemons: a document may overtake its base by as much as its base is delayed.

use crate::ids::ChangeId;
use crate::registry::{Change, Registry};
use std::collections::BTreeMap;

/// Time for which a submission waits. Shorter than the second after which operators try another
/// daemon, so that they get an answer.
pub const BASE_WAIT_MS: u64 = 800;
/// Time from the first submission of a change from which a refused base is no longer expected to be
/// replaced by another document of the same version. Operators repeat an order for at most as long.
pub const BASE_REPLACEMENT_MS: u64 = 4_000;
/// Maximum number of submissions that wait.
pub const MAX_WAITING_CHANGES: usize = 32;
/// Maximum size of the submissions that wait, in bytes.
pub const MAX_WAITING_BYTES: usize = 32 << 20;
/// Time after which the first submission of a change is forgotten.
const FIRST_SEEN_MS: u64 = 60_000;
/// Maximum number of changes whose first submission is kept.
const MAX_FIRST_SEEN: usize = 256;

#[derive(Debug)]
struct WaitingChange<R> {
    change: Change,
    /// Where its answer goes.
    reply: R,
    until_ms: u64,
}

/// What becomes of a submission that no longer waits.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitEnd<R> {
    /// The registry decides the change now.
    Decide(Change, R),
    /// The base did not come in time.
    BaseMissing(Change, R),
}

/// The submissions that wait; at most [`MAX_WAITING_CHANGES`] with [`MAX_WAITING_BYTES`] for longer
/// than until the next [`WaitingChanges::take_ended`].
#[derive(Debug)]
pub struct WaitingChanges<R> {
    /// In order of arrival.
    waiting: Vec<WaitingChange<R>>,
    /// Time of the first submission of each change.
    first_seen_ms: BTreeMap<ChangeId, u64>,
}

impl<R> Default for WaitingChanges<R> {
    fn default() -> Self {
        WaitingChanges {
            waiting: Vec::new(),
            first_seen_ms: BTreeMap::new(),
        }
    }
}

impl<R> WaitingChanges<R> {
    /// Adds a submission. Without room for it, it ends at once.
    pub fn push(&mut self, change: Change, reply: R, now_ms: u64) {
        let bytes: usize = self.waiting.iter().map(|w| size_bytes(&w.change)).sum();
        let has_room = self.waiting.len() < MAX_WAITING_CHANGES
            && bytes + size_bytes(&change) <= MAX_WAITING_BYTES;
        let wait_ms = if has_room { BASE_WAIT_MS } else { 0 };
        self.note_first_seen(&change, now_ms);
        self.waiting.push(WaitingChange {
            change,
            reply,
            until_ms: now_ms + wait_ms,
        });
    }

    /// When the next submission has waited long enough.
    pub fn next_end_ms(&self) -> Option<u64> {
        self.waiting.iter().map(|waiting| waiting.until_ms).min()
    }

    /// Takes out the submissions whose base is in place, will not come, or has not come in time.
    pub fn take_ended(&mut self, registry: &Registry, now_ms: u64) -> Vec<WaitEnd<R>> {
        let mut ended = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let change = &waiting.change;
            let may_come = registry.is_base_missing(change)
                || (registry.is_base_refused(change) && !self.is_replacement_late(change, now_ms));
            if may_come && now_ms < waiting.until_ms {
                self.waiting.push(waiting);
                continue;
            }
            let WaitingChange { change, reply, .. } = waiting;
            ended.push(match may_come {
                true => WaitEnd::BaseMissing(change, reply),
                false => WaitEnd::Decide(change, reply),
            });
        }
        ended
    }

    /// Takes out all submissions, as this replica does not lead any more.
    pub fn take_all(&mut self) -> impl Iterator<Item = R> {
        self.first_seen_ms.clear();
        std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|waiting| waiting.reply)
    }

    fn is_replacement_late(&self, change: &Change, now_ms: u64) -> bool {
        let first_seen_ms = self.first_seen_ms.get(&change.change_id);
        first_seen_ms.is_some_and(|first_ms| now_ms >= first_ms + BASE_REPLACEMENT_MS)
    }

    fn note_first_seen(&mut self, change: &Change, now_ms: u64) {
        self.first_seen_ms
            .retain(|_, first_ms| now_ms < *first_ms + FIRST_SEEN_MS);
        if self.first_seen_ms.len() < MAX_FIRST_SEEN {
            self.first_seen_ms
                .entry(change.change_id.clone())
                .or_insert(now_ms);
        }
    }
}

fn size_bytes(change: &Change) -> usize {
    let document = change.document.as_ref();
    change.text.len() + document.map_or(0, |document| document.bytes.len())
}
