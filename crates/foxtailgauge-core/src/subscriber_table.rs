//! The subscribers of one source: their leases, and the versions held in their subtrees.

use crate::directory::Directory;
use crate::ids::{ConfigVersion, DaemonName, FailureDomain, Incarnation};
use crate::sync::{MemberSet, ReportRequest, VersionCount, SUBSCRIBER_LEASE_MS};
use std::collections::BTreeMap;

/// Time that daemons have to report through another source when theirs is lost, in milliseconds.
const ORPHAN_GRACE_MS: u64 = 6_000;

#[derive(Clone, Debug)]
struct SubscriberLease {
    incarnation: Incarnation,
    /// Sequence of the subscriber's own entry at its last report.
    sequence: u64,
    last_report_ms: u64,
    counts: Vec<VersionCount>,
}

/// Subscribers by name.
#[derive(Clone, Debug, Default)]
pub struct SubscriberTable {
    subscribers: BTreeMap<DaemonName, SubscriberLease>,
    /// Lost subscribers whose subtree has until the given time to move.
    orphans: BTreeMap<DaemonName, u64>,
    /// Daemons that no subscriber reports, at the root, with the time until which they may turn up.
    unreported: BTreeMap<DaemonName, u64>,
}

impl SubscriberTable {
    /// Number of subscribers with a lease.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Whether there is no subscriber.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Whether the daemon is a subscriber with a lease.
    pub fn contains(&self, name: &str) -> bool {
        self.subscribers.contains_key(name)
    }

    /// Takes a report: renews the lease and merges what the subtree tells. Returns whether the
    /// counts or the directory changed.
    pub fn report(
        &mut self,
        request: ReportRequest,
        directory: &mut Directory,
        now_ms: u64,
    ) -> bool {
        let name = request.daemon;
        let has_entries_changed = directory.merge_report(request.instances, &name);
        let sequence = directory.get(&name).map_or(0, |state| state.sequence);
        self.orphans.remove(&name);
        let subscriber = SubscriberLease {
            incarnation: request.incarnation,
            sequence,
            last_report_ms: now_ms,
            counts: request.counts,
        };
        let previous = self.subscribers.insert(name.clone(), subscriber);
        let has_counts_changed =
            previous.is_none_or(|previous| previous.counts != self.subscribers[&name].counts);
        has_entries_changed || has_counts_changed
    }

    /// Drops subscribers that moved to another source, and subscribers whose lease ended; marks the
    /// latter lost.
    pub fn expire(&mut self, directory: &mut Directory, now_ms: u64) -> Vec<DaemonName> {
        self.subscribers
            .retain(|name, subscriber| !has_moved(subscriber, name, directory));
        let is_over =
            |subscriber: &SubscriberLease| now_ms > subscriber.last_report_ms + SUBSCRIBER_LEASE_MS;
        let over: Vec<DaemonName> = self
            .subscribers
            .iter()
            .filter(|(_, subscriber)| is_over(subscriber))
            .map(|(name, _)| name.clone())
            .collect();
        let mut lost = Vec::new();
        for name in over {
            self.subscribers.remove(&name);
            if directory.mark_lost(&name) {
                lost.push(name.clone());
            }
            self.orphans.insert(name, now_ms + ORPHAN_GRACE_MS);
        }
        lost.extend(self.expire_orphans(directory, now_ms));
        lost
    }

    fn expire_orphans(&mut self, directory: &mut Directory, now_ms: u64) -> Vec<DaemonName> {
        let due: Vec<DaemonName> = self
            .orphans
            .iter()
            .filter(|(_, at_ms)| **at_ms <= now_ms)
            .map(|(name, _)| name.clone())
            .collect();
        let mut lost = Vec::new();
        for parent in due {
            self.orphans.remove(&parent);
            for name in directory.live_received_from(&parent) {
                if directory.mark_lost(&name) {
                    lost.push(name);
                }
            }
        }
        lost
    }

    /// At the root, marks daemons lost that no subscriber has reported for a while, as those that
    /// were known only through an earlier root.
    pub fn expire_unreported(&mut self, directory: &mut Directory, now_ms: u64) -> Vec<DaemonName> {
        let subscribers = &self.subscribers;
        let unreported = directory
            .live_not_received_from(|received_from| subscribers.contains_key(received_from));
        self.unreported.retain(|name, _| unreported.contains(name));
        let mut lost = Vec::new();
        for name in unreported {
            let due_ms = *self
                .unreported
                .entry(name.clone())
                .or_insert(now_ms + ORPHAN_GRACE_MS);
            if due_ms <= now_ms && directory.mark_lost(&name) {
                lost.push(name);
            }
        }
        lost
    }

    /// Forgets which daemons were unreported, as when another daemon becomes the root.
    pub fn clear_unreported(&mut self) {
        self.unreported.clear();
    }

    /// Versions held by the whole subtree, with the source itself at `own_version`.
    pub fn counts(
        &self,
        own: (&str, Incarnation),
        own_domain: &str,
        own_version: ConfigVersion,
    ) -> Vec<VersionCount> {
        let mut totals: BTreeMap<(FailureDomain, ConfigVersion), MemberSet> = BTreeMap::new();
        let own_total = totals
            .entry((own_domain.to_owned(), own_version))
            .or_default();
        own_total.insert(own.0, own.1);
        for count in self
            .subscribers
            .values()
            .flat_map(|subscriber| &subscriber.counts)
        {
            let key = (count.failure_domain.clone(), count.version);
            totals.entry(key).or_default().extend(count.members);
        }
        let line = |((failure_domain, version), members)| VersionCount {
            failure_domain,
            version,
            members,
        };
        totals.into_iter().map(line).collect()
    }
}

/// Whether the subscriber has written a state since its last report that did not come from it: it
/// wrote that state for another source.
fn has_moved(subscriber: &SubscriberLease, name: &str, directory: &Directory) -> bool {
    directory.get(name).is_some_and(|state| {
        (state.incarnation, state.sequence) > (subscriber.incarnation, subscriber.sequence)
    })
}
