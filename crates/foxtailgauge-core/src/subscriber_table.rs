//! The subscribers of one source: their leases and the current versions in their subtrees.

use crate::directory::Directory;
use crate::ids::{ConfigVersion, DaemonName, FailureDomain, Incarnation};
use crate::sync::{MemberSet, ReportRequest, VersionCount, SUBSCRIBER_LEASE_MS};
use std::collections::BTreeMap;

/// Time that daemons have to report through another source after theirs was lost, in milliseconds.
const ORPHAN_GRACE_MS: u64 = 6_000;

#[derive(Clone, Debug)]
struct SubscriberLease {
    incarnation: Incarnation,
    /// Sequence of the subscriber's own directory entry at its last report.
    sequence: u64,
    last_report_ms: u64,
    counts: Vec<VersionCount>,
}

/// The subscribers of one source, with their leases.
#[derive(Clone, Debug, Default)]
pub struct SubscriberTable {
    subscribers: BTreeMap<DaemonName, SubscriberLease>,
    /// Subscribers whose lease expired, with the time until which their subtree may move to another
    /// source.
    orphans: BTreeMap<DaemonName, u64>,
    /// Only used at the root: daemons that no subscriber reports, with the time until which they
    /// may be reported.
    unreported: BTreeMap<DaemonName, u64>,
}

impl SubscriberTable {
    /// Number of subscribers with a lease.
    pub fn len(&self) -> usize {
        self.subscribers.len()
    }

    /// Whether no subscriber has a lease.
    pub fn is_empty(&self) -> bool {
        self.subscribers.is_empty()
    }

    /// Whether the daemon is a subscriber with a lease.
    pub fn contains(&self, name: &str) -> bool {
        self.subscribers.contains_key(name)
    }

    /// Processes a report: renews the lease and merges the subtree's entries into the directory.
    ///
    /// Returns whether the counts or the directory changed.
    pub fn report(
        &mut self,
        request: ReportRequest,
        directory: &mut Directory,
        now_ms: u64,
    ) -> bool {
        let name = request.daemon;
        let did_entries_change = directory.merge_report(request.instances, &name);
        let sequence = directory.get(&name).map_or(0, |state| state.sequence);
        self.orphans.remove(&name);
        let subscriber = SubscriberLease {
            incarnation: request.incarnation,
            sequence,
            last_report_ms: now_ms,
            counts: request.counts,
        };
        let previous = self.subscribers.insert(name.clone(), subscriber);
        let did_counts_change =
            previous.is_none_or(|previous| previous.counts != self.subscribers[&name].counts);
        did_entries_change || did_counts_change
    }

    /// Removes subscribers that moved to another source and those whose lease expired.
    ///
    /// Marks the latter as lost, and after `ORPHAN_GRACE_MS` also the daemons of their subtrees
    /// that have not moved. Returns the names of all daemons marked.
    pub fn expire(&mut self, directory: &mut Directory, now_ms: u64) -> Vec<DaemonName> {
        self.subscribers
            .retain(|name, subscriber| !has_moved(subscriber, name, directory));
        let has_expired =
            |subscriber: &SubscriberLease| now_ms > subscriber.last_report_ms + SUBSCRIBER_LEASE_MS;
        let expired: Vec<DaemonName> = self
            .subscribers
            .iter()
            .filter(|(_, subscriber)| has_expired(subscriber))
            .map(|(name, _)| name.clone())
            .collect();
        let mut lost = Vec::new();
        for name in expired {
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
        for subscriber in due {
            self.orphans.remove(&subscriber);
            for name in directory.live_received_from(&subscriber) {
                if directory.mark_lost(&name) {
                    lost.push(name);
                }
            }
        }
        lost
    }

    /// At the root, marks daemons as lost that no subscriber has reported for `ORPHAN_GRACE_MS`,
    /// such as those known only through a former root. Returns their names.
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

    /// Clears the list of unreported daemons, for example when another daemon becomes the root.
    pub fn clear_unreported(&mut self) {
        self.unreported.clear();
    }

    /// Current versions in the whole subtree, including the source itself at `own_version`.
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
        let to_count = |((failure_domain, version), members)| VersionCount {
            failure_domain,
            version,
            members,
        };
        totals.into_iter().map(to_count).collect()
    }
}

/// Whether the directory has a newer state of the subscriber than its last report to this source.
/// The subscriber has then published that state to another source.
fn has_moved(subscriber: &SubscriberLease, name: &str, directory: &Directory) -> bool {
    directory.get(name).is_some_and(|state| {
        (state.incarnation, state.sequence) > (subscriber.incarnation, subscriber.sequence)
    })
}
