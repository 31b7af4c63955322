//! Choice of a source: which ones are avoided after a failure, and when other daemons are asked for
//! the replicas.

use crate::tree::Source;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Time after a failure until a daemon that has another source probes the failed one.
const AVOID_TIME: Duration = Duration::from_secs(5);
/// Requests without a reply after which the known replicas may all be gone, and other daemons are asked.
const FAILURES_BEFORE_SEARCH: u32 = 2;
/// Shortest time between two searches for replicas.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Why a source is avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    /// It replies, and is behind or has no contact with a quorum.
    Stale,
    /// It sent an update that does not apply. A probe cannot tell whether the next one does.
    Refused,
    /// It did not reply.
    NoReply,
}

#[derive(Clone, Copy, Debug)]
struct Avoidance {
    reason: Reason,
    /// Time at which it is due to be probed; it is avoided until a probe finds it current.
    until: Instant,
}

/// The sources of one daemon that failed, and how often in a row.
///
/// A failure says nothing about the time after it. Therefore a daemon without a current source probes
/// all candidates at the same time, again and again, and uses the first that is current. It leaves a current source only for one that a probe has found current.
#[derive(Clone, Debug, Default)]
pub struct SourceChoice {
    /// By address.
    avoided: HashMap<String, Avoidance>,
    /// Requests without a reply since a source had contact with a quorum.
    failures: u32,
    /// Times that all candidates were avoided since then.
    round: usize,
    searched_at: Option<Instant>,
    /// Whether a source has failed and none has been found current since then.
    lacks_source: bool,
    /// The source that a probe found current while the daemon had none, until it is chosen.
    found: Option<Source>,
    /// Address of the source that last replied with contact to a quorum. Not avoided.
    current: Option<String>,
    /// Addresses of sources that a probe found current while the daemon had another one. Not avoided.
    proven: BTreeSet<String>,
    /// A candidate that is preferred to the current source and not proven.
    unproven: Option<Source>,
}

impl SourceChoice {
    /// Part of the known replicas that are candidates now, for [`sources`](crate::sources).
    pub fn round(&self) -> usize {
        self.round
    }

    /// Number of sources that are avoided.
    pub fn avoided_count(&self) -> usize {
        self.avoided.len()
    }

    /// Avoids a source that is behind, or has lost its contact with a quorum.
    pub fn avoid(&mut self, addr: &str, now: Instant) {
        self.avoid_for(addr, Reason::Stale, now);
        self.lacks_source = true;
    }

    /// Avoids a source that did not reply.
    pub fn record_no_reply(&mut self, addr: &str, now: Instant) {
        self.avoid_for(addr, Reason::NoReply, now);
        self.lacks_source = true;
        self.failures = self.failures.saturating_add(1);
    }

    /// Avoids a source whose update was refused.
    pub fn record_refused(&mut self, addr: &str, now: Instant) {
        self.avoid_for(addr, Reason::Refused, now);
        self.lacks_source = true;
        self.failures = self.failures.saturating_add(1);
    }

    /// Whether a source failed within the time for which it is avoided.
    pub fn has_failed(&self, addr: &str, now: Instant) -> bool {
        let avoidance = self.avoided.get(addr);
        avoidance.is_some_and(|avoidance| avoidance.until > now)
    }

    fn avoid_for(&mut self, addr: &str, reason: Reason, now: Instant) {
        let until = now + AVOID_TIME;
        self.avoided
            .insert(addr.to_owned(), Avoidance { reason, until });
        self.proven.remove(addr);
        if self.current.as_deref() == Some(addr) {
            self.current = None;
        }
    }

    /// Records a reply of a source that has contact with a quorum.
    pub fn record_contact(&mut self) {
        self.failures = 0;
        self.round = 0;
        self.lacks_source = false;
    }

    /// Records a reply, of the source in use, that shows contact with a quorum.
    pub fn record_current(&mut self, addr: &str) {
        self.avoided.remove(addr);
        self.proven.remove(addr);
        self.current = Some(addr.to_owned());
        self.record_contact();
    }

    /// Whether a candidate is to be probed now, which is then preferred to the current source.
    pub fn has_unproven(&self) -> bool {
        self.unproven.is_some()
    }

    /// Whether a source is to be probed before long.
    pub fn has_probes(&self) -> bool {
        !self.avoided.is_empty() || self.unproven.is_some()
    }

    /// Sources to probe now: without a current source, all candidates but the one in use; else the unproven
    /// one and the candidates that have been avoided for a while. Forgets avoided sources that are no
    /// candidates any more.
    pub fn sources_to_probe(
        &mut self,
        candidates: &[Source],
        in_use: Option<&str>,
        now: Instant,
    ) -> Vec<Source> {
        let is_candidate = |addr: &str| candidates.iter().any(|s| s.control_addr == addr);
        self.avoided
            .retain(|addr, avoidance| avoidance.until > now || is_candidate(addr));
        let is_due = |source: &&Source| match self.avoided.get(&source.control_addr) {
            Some(avoidance) => self.lacks_source || avoidance.until <= now,
            None => self.lacks_source && in_use != Some(&source.control_addr),
        };
        let mut due: Vec<Source> = candidates.iter().filter(is_due).cloned().collect();
        let unproven = self.unproven.take();
        due.extend(unproven.filter(|source| !due.contains(source)));
        due
    }

    /// Records that a probe of a source found it current. Returns whether the daemon had none; then the source is
    /// the next choice. A source that has failed stays avoided for a while if the daemon has another one: it may
    /// answer probes, which are small, and nothing else.
    pub fn record_probe_current(&mut self, source: &Source, now: Instant) -> bool {
        let addr = &source.control_addr;
        let avoidance = self.avoided.get(addr).filter(|a| a.until > now);
        if avoidance.is_some_and(|a| !self.lacks_source || a.reason == Reason::Refused) {
            return false;
        }
        self.avoided.remove(addr);
        let was_lacking = self.lacks_source;
        if was_lacking {
            self.record_contact();
            self.found = Some(source.clone());
        } else {
            self.proven.insert(addr.clone());
        }
        was_lacking
    }

    /// Records that a probe of a source found it behind or without contact.
    pub fn record_probe_stale(&mut self, addr: &str, now: Instant) {
        self.avoid_for(addr, Reason::Stale, now);
    }

    /// Records that a probe of a source had no reply.
    pub fn record_probe_no_reply(&mut self, addr: &str, now: Instant) {
        self.avoid_for(addr, Reason::NoReply, now);
    }

    /// The next source: one that was found for a daemon without one, else the preferred candidate that is
    /// proven, else one that is not avoided, else one that replied when it was last asked; the next round has
    /// other candidates then. The source `recent` is kept unless it has just failed.
    pub fn choose(
        &mut self,
        candidates: &[Source],
        recent: Option<Source>,
        now: Instant,
    ) -> Option<Source> {
        if let Some(found) = self.found.take() {
            if !self.avoided.contains_key(&found.control_addr) {
                return Some(found);
            }
        }
        let recent = recent.filter(|source| !self.has_failed(&source.control_addr, now));
        if recent.is_some() && !candidates.is_empty() {
            return recent;
        }
        let avoidance = |source: &Source| self.avoided.get(&source.control_addr);
        let mut available = candidates.iter().filter(|s| avoidance(s).is_none());
        let is_proven = |source: &Source| {
            self.current.as_ref() == Some(&source.control_addr)
                || self.proven.contains(&source.control_addr)
        };
        let first = available.clone().next().cloned();
        // The candidates are a part of the known replicas: the current source may not be among them.
        let current = self.current.clone().map(|control_addr| Source {
            name: None,
            control_addr,
        });
        let proven = available.find(|source| is_proven(source)).cloned();
        if let Some(proven) = proven.or(current) {
            self.unproven = first.filter(|first| *first != proven);
            return Some(proven);
        }
        if first.is_some() {
            return first;
        }
        let order = |source: &&Source| avoidance(source).map(|a| (a.reason, a.until));
        let next = candidates.iter().min_by_key(order).cloned();
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
