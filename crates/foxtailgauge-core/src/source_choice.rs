//! Choice of a source: which ones are avoided after a failure, and when other daemons are asked for
//! the replicas.

use crate::tree::Source;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a source is avoided after a failure.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Requests without a reply after which the known replicas may all be gone, and other daemons are asked.
const FAILURES_BEFORE_SEARCH: u32 = 2;
/// Shortest time between two searches for replicas.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// The sources of one daemon that failed, and how often in a row.
#[derive(Clone, Debug, Default)]
pub struct SourceChoice {
    /// End of the time for which a source is avoided, by address.
    avoided: HashMap<String, Instant>,
    /// Requests without a reply since a source had contact with a quorum.
    failures: u32,
    /// Times that all candidates were avoided since then.
    round: usize,
    searched_at: Option<Instant>,
}

impl SourceChoice {
    /// Part of the known replicas that are candidates now, for [`sources`](crate::sources).
    pub fn round(&self) -> usize {
        self.round
    }

    /// Number of sources that are avoided now.
    pub fn avoided_count(&self, now: Instant) -> usize {
        self.avoided.values().filter(|until| **until > now).count()
    }

    /// Avoids a source that is behind, or has lost its contact with a quorum.
    pub fn avoid(&mut self, addr: &str, now: Instant) {
        self.avoided.retain(|_, until| *until > now);
        self.avoided.insert(addr.to_owned(), now + AVOID_TIME);
    }

    /// Avoids a source that did not reply.
    pub fn record_no_reply(&mut self, addr: &str, now: Instant) {
        self.avoid(addr, now);
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a reply of a source that has contact with a quorum.
    pub fn record_contact(&mut self) {
        self.failures = 0;
        self.round = 0;
    }

    /// The preferred candidate that is not avoided, else the one whose avoidance ends first; the next
    /// round has other candidates then. The source `recent` is kept unless it is avoided.
    pub fn choose(
        &mut self,
        candidates: &[Source],
        recent: Option<Source>,
        now: Instant,
    ) -> Option<Source> {
        let avoided_until = |source: &Source| {
            let until = self.avoided.get(&source.control_addr);
            until.copied().filter(|until| *until > now)
        };
        let recent = recent.filter(|source| avoided_until(source).is_none());
        if recent.is_some() && !candidates.is_empty() {
            return recent;
        }
        let mut available = candidates.iter().filter(|s| avoided_until(s).is_none());
        if let Some(source) = available.next() {
            return Some(source.clone());
        }
        let next = candidates.iter().min_by_key(|s| avoided_until(s)).cloned();
        self.round = self.round.wrapping_add(1);
        next
    }

    /// Whether other daemons are to be asked for the replicas now.
    pub fn begin_search(&mut self, now: Instant) -> bool {
        let is_paused = |at: Instant| now.saturating_duration_since(at) < SEARCH_INTERVAL;
        let is_due = self.failures >= FAILURES_BEFORE_SEARCH;
        if !is_due || self.searched_at.is_some_and(is_paused) {
            return false;
        }
        self.searched_at = Some(now);
        true
    }
}
