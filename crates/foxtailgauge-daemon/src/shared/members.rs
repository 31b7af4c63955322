//! The daemons that this one knows of: the directory, and the subscribers that report to this daemon.

use crate::mutex::{lock, Mutex, MutexGuard};
use foxtailgauge_core::{
    ConfigVersion, Cursor, DaemonName, Directory, Incarnation, InstanceState, ReportRequest,
    SubscriberTable, VersionCount,
};

/// Directory and subscribers. Reports change both, so one mutex guards them.
///
/// Invariant: no other lock is taken while it is held.
pub(super) struct Members(Mutex<Tables>);

struct Tables {
    directory: Directory,
    subscribers: SubscriberTable,
}

impl Members {
    pub(super) fn new(name: DaemonName, incarnation: Incarnation) -> Self {
        Members(Mutex::new(Tables {
            directory: Directory::new(name, incarnation),
            subscribers: SubscriberTable::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        lock(&self.0)
    }

    /// Reads the directory under its lock.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.lock().directory)
    }

    /// Changes the directory under its lock.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut Directory) -> T) -> T {
        change(&mut self.lock().directory)
    }

    /// Applies the report of a subscriber; returns whether the directory has changed.
    pub(super) fn report(&self, request: ReportRequest, now_ms: u64) -> bool {
        let tables = &mut *self.lock();
        tables
            .subscribers
            .report(request, &mut tables.directory, now_ms)
    }

    /// Marks daemons as lost and returns their names: subscribers whose lease has expired, after a grace
    /// period the daemons of their subtrees that have not moved, and on the root those that no
    /// subscriber reports.
    pub(super) fn expire(&self, is_root: bool, now_ms: u64) -> Vec<DaemonName> {
        let tables = &mut *self.lock();
        let (subscribers, directory) = (&mut tables.subscribers, &mut tables.directory);
        let mut lost = subscribers.expire(directory, now_ms);
        if is_root {
            lost.extend(subscribers.expire_unreported(directory, now_ms));
        } else {
            subscribers.clear_unreported();
        }
        lost
    }

    /// Number of subscribers.
    pub(super) fn subscriber_count(&self) -> usize {
        self.lock().subscribers.len()
    }

    /// Entries of this daemon and of its subtree that have changed since the cursor.
    pub(super) fn subtree_changes_since(
        &self,
        cursor: Option<Cursor>,
    ) -> (Vec<InstanceState>, Cursor) {
        let tables = self.lock();
        let is_subscriber = |name: &str| tables.subscribers.contains(name);
        tables
            .directory
            .subtree_changes_since(cursor, is_subscriber)
    }

    /// Counts of the current versions in the subtree, this daemon's own among them.
    pub(super) fn version_counts(
        &self,
        own: (&str, Incarnation),
        failure_domain: &str,
        version: ConfigVersion,
    ) -> Vec<VersionCount> {
        self.lock().subscribers.counts(own, failure_domain, version)
    }
}
