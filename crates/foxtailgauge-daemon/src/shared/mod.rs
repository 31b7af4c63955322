//! State shared by the tasks of one daemon: current configuration, directory and route view.

mod configuration;
mod members;
mod own_entry;
mod suspects;

use self::configuration::Configuration;
use self::members::Members;
use self::own_entry::OwnEntry;
use crate::control::consensus_link::ConsensusLinks;
use crate::control::group_handle::ReplicaHandles;
use crate::control::seeds::Seeds;
use crate::emit;
use crate::events;
use crate::gateway::route_view::RouteView;
use crate::metrics::Metrics;
use crate::mutex::{lock, Mutex};
use crate::peer_client::PeerClient;
use crate::settings::Settings;
use crate::stop::StopState;
use crate::usage::Usage;
use arc_swap::ArcSwap;
use event_listener::Event;
use foxtailgauge_core::{
    Balancer, ConfigVersion, Cursor, DeferredLosses, Digest, Directory, Freshness, Incarnation,
    InstanceState, Placement, PollReply, ReportRequest, Role, ServerKey, SessionLimit, Snapshot,
    SnapshotError, UnixMs, Update, VersionCount,
};
use slog::Logger;
use std::collections::HashSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time after a reply of a daemon in which a mark of it as lost waits. Shorter than the lease that such a
/// daemon has missed, so that one that has failed is removed at once.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Clients for other daemons, one for each kind of traffic.
#[derive(Clone)]
pub(crate) struct Clients {
    /// Configuration, directory, submissions.
    pub(crate) control: PeerClient,
    /// Consensus messages.
    pub(crate) consensus: ConsensusLinks,
    /// Calls forwarded to other daemons.
    pub(crate) calls: PeerClient,
    /// Calls with large bodies, which would delay the small ones queued behind them.
    pub(crate) bulk_calls: PeerClient,
}

/// Last known contact with a quorum, as reported by the source.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Age of the contact when the source reported it, and the time of that report.
    received: Option<(Duration, Instant)>,
}

/// Counts a forwarded request as in progress until the guard is dropped.
pub(crate) struct ForwardingGuard {
    count: Arc<AtomicU32>,
}

impl ForwardingGuard {
    /// Counts a request in `count`.
    pub(crate) fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        ForwardingGuard {
            count: Arc::clone(count),
        }
    }
}

impl Drop for ForwardingGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State shared by the tasks of one daemon.
///
/// Invariant: two mutexes are held at a time only in these orders: `view_turn` before the one of
/// `members`, and `deferred_losses` before `placement`.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) incarnation: Incarnation,
    pub(crate) clients: Clients,
    /// First contacts among the replicas.
    pub(crate) seeds: Seeds,
    /// Counts that are summed over all daemons.
    pub(crate) usage: Usage,
    pub(crate) balancer: Mutex<Balancer>,
    pub(crate) placement: Mutex<Placement>,
    /// Forwarded requests in progress at the gateway.
    forwarding: Arc<AtomicU32>,
    /// Progress of a planned stop.
    pub(crate) stop: StopState,
    /// Notified when the configuration or the directory has changed.
    pub(crate) changed: Event,
    /// Notified when a report to the source is due.
    pub(crate) report_due: Event,
    /// Handles of the local replica, on daemons with a store.
    pub(crate) replica: OnceLock<ReplicaHandles>,
    started: Instant,
    configuration: Configuration,
    members: Members,
    deferred_losses: Mutex<DeferredLosses>,
    sessions: Mutex<SessionLimit>,
    own: Mutex<OwnEntry>,
    /// Sequence of the own entry that was last published to all daemons.
    published_sequence: async_std::sync::Mutex<u64>,
    contact: Mutex<Contact>,
    view: ArcSwap<RouteView>,
    /// Held while a view is built, so that a later one replaces an earlier one.
    view_turn: Mutex<()>,
}

impl Shared {
    /// Creates the state of a daemon without a configuration.
    pub(crate) fn new(settings: Settings, log: Logger, metrics: Metrics, clients: Clients) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        let shared = Shared {
            members: Members::new(settings.name.clone(), incarnation),
            sessions: Mutex::new(SessionLimit::new(settings.distribution.sessions_per_second)),
            balancer: Mutex::new(Balancer::new(settings.failure_domain.clone())),
            placement: Mutex::new(Placement::new(
                settings.failure_domain.clone(),
                settings.name.clone(),
            )),
            usage: Usage::default(),
            forwarding: Arc::default(),
            stop: StopState::new(&settings),
            seeds: Seeds::new(&settings),
            settings,
            log,
            metrics,
            incarnation,
            clients,
            changed: Event::new(),
            report_due: Event::new(),
            replica: OnceLock::new(),
            started: Instant::now(),
            configuration: Configuration::new(),
            deferred_losses: Mutex::default(),
            own: Mutex::default(),
            published_sequence: async_std::sync::Mutex::new(0),
            contact: Mutex::new(Contact::default()),
            view: ArcSwap::default(),
            view_turn: Mutex::default(),
        };
        shared.republish(|_| {});
        shared
    }

    /// Milliseconds since the start of the daemon.
    pub(crate) fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The current routes.
    pub(crate) fn view(&self) -> Arc<RouteView> {
        self.view.load_full()
    }

    /// Path of a service's health check, empty if it has none; `None` without a configuration that
    /// defines the service.
    pub(crate) fn health_path(&self, service: &str) -> Option<String> {
        let snapshot = self.configuration.current();
        Some(snapshot.services.get(service)?.health_path.clone())
    }

    /// Version and digest of the configuration that is in force on this daemon.
    pub(crate) fn current_version(&self) -> (ConfigVersion, Digest) {
        let view = self.view.load();
        let snapshot = view.snapshot.as_ref();
        snapshot.map_or_else(Default::default, |s| (s.version, s.digest))
    }

    /// Applies an update as a whole. Fails if it does not apply to the current configuration, or if
    /// this daemon has no configuration and knows of a newer version.
    pub(crate) fn apply_update(&self, update: &Update) -> Result<(), SnapshotError> {
        self.configuration.apply_update(update)?;
        self.configuration_changed();
        Ok(())
    }

    /// Makes the configuration of the local replica current.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        // The local replica may be behind the configuration taken from a source.
        if self.configuration.replace(snapshot).is_ok() {
            self.configuration_changed();
        }
    }

    /// Records that a version exists on some daemon.
    pub(crate) fn observe_version(&self, version: ConfigVersion) {
        self.configuration.observe_version(version);
    }

    /// Highest version known to exist.
    pub(crate) fn highest_known_version(&self) -> ConfigVersion {
        self.configuration.highest_known_version()
    }

    /// Builds the view anew from the newest configuration and directory.
    fn rebuild_view(&self) {
        let _turn = lock(&self.view_turn);
        let (previous, (previous_version, _)) = (self.view(), self.current_version());
        let snapshot = self.configuration.current();
        let build =
            |directory: &Directory| RouteView::build(&snapshot, directory, &previous, unix_ms());
        let view = self.members.read(build);
        self.metrics.daemons.set(view.live_daemons as i64);
        self.view.store(Arc::new(view));
        let version = snapshot.version;
        if version > previous_version {
            let version_metric = i64::try_from(version).unwrap_or(i64::MAX);
            self.metrics.version.set(version_metric);
            emit!(self.log, events::VERSION_CURRENT, "version" => version);
        }
    }

    fn configuration_changed(&self) {
        self.rebuild_view();
        self.changed.notify(usize::MAX);
        self.report_due.notify(usize::MAX);
    }

    fn directory_changed(&self) {
        self.rebuild_view();
        self.remove_unlisted_servers();
        self.changed.notify(usize::MAX);
        self.report_due.notify(usize::MAX);
    }

    fn remove_unlisted_servers(&self) {
        let view = self.view();
        let listed: HashSet<&ServerKey> = view.servers().map(|c| &c.key).collect();
        lock(&self.balancer).retain(|key| listed.contains(key));
        lock(&self.placement).retain(|key| listed.contains(key));
    }

    /// Whether this daemon is ready for callers: it has a configuration and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.current_version().0 > 0 && !self.stop.is_begun()
    }

    /// Counts a forwarded request as in progress until the returned guard is dropped.
    pub(crate) fn begin_forwarding(&self) -> ForwardingGuard {
        ForwardingGuard::new(&self.forwarding)
    }

    /// Forwarded requests in progress at the gateway.
    pub(crate) fn forwarding_count(&self) -> u32 {
        self.forwarding.load(Ordering::SeqCst)
    }

    /// Merges directory entries received through another daemon.
    pub(crate) fn merge_instances(&self, instances: Vec<InstanceState>, received_from: &str) {
        let is_in_contact = |daemon: &str| self.is_in_contact(daemon);
        let instances = lock(&self.deferred_losses).defer(instances, received_from, is_in_contact);
        if self
            .members
            .change(|directory| directory.merge(instances, received_from))
        {
            self.directory_changed();
        }
        self.refute_loss();
    }

    /// Whether another daemon has replied to a forwarded request recently.
    fn is_in_contact(&self, daemon: &str) -> bool {
        let last_report_at = lock(&self.placement).last_report_at(daemon);
        daemon != self.settings.name && last_report_at.is_some_and(|at| at.elapsed() < CONTACT_TIME)
    }

    /// Applies the marks of lost daemons that waited for the end of the contact with them.
    pub(crate) fn apply_deferred_losses(&self) {
        let due = lock(&self.deferred_losses).take_due(|daemon| self.is_in_contact(daemon));
        for (state, received_from) in due {
            self.merge_instances(vec![state], &received_from);
        }
    }

    /// Marks a lost daemon as stopped, as it will not return; returns whether it was lost.
    pub(crate) fn forget(&self, daemon: &str) -> bool {
        let is_forgotten = self.members.change(|directory| directory.forget(daemon));
        if is_forgotten {
            emit!(self.log, events::DAEMON_FORGOTTEN, "forgotten" => daemon);
            self.directory_changed();
        }
        is_forgotten
    }

    /// Reads the directory under its lock.
    pub(crate) fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        self.members.read(read)
    }

    /// Applies the report of a subscriber.
    pub(crate) fn apply_report(&self, request: ReportRequest) {
        for count in &request.counts {
            self.observe_version(count.version);
        }
        let has_changed = self.members.report(request, self.now_ms());
        self.count_subscribers();
        if has_changed {
            self.directory_changed();
        }
        self.refute_loss();
    }

    /// Marks daemons as lost: subscribers whose lease has expired, after a grace period the daemons
    /// of their subtrees that have not moved, and on the root those that no subscriber reports.
    pub(crate) fn expire_subscribers(&self) {
        let lost = self.members.expire(self.is_root(), self.now_ms());
        self.count_subscribers();
        for name in &lost {
            emit!(self.log, events::DAEMON_LOST, "lost" => name);
        }
        if !lost.is_empty() {
            self.directory_changed();
        }
    }

    fn count_subscribers(&self) {
        let subscribers = self.members.subscriber_count();
        self.metrics.subscribers.set(subscribers as i64);
    }

    /// Whether this daemon leads the configuration group and therefore has no source.
    pub(crate) fn is_root(&self) -> bool {
        let replica = self.replica.get();
        replica.is_some_and(|replica| replica.config.status().role == Role::Leader)
    }

    /// Builds a report to the source: entries changed since the cursor, and the versions in the
    /// subtree.
    pub(crate) fn report_since(&self, cursor: Option<Cursor>) -> (ReportRequest, Cursor) {
        let (instances, cursor) = self.members.subtree_changes_since(cursor);
        let (version, _) = self.current_version();
        let counts = self.version_counts(version);
        let request = ReportRequest {
            daemon: self.settings.name.clone(),
            incarnation: self.incarnation,
            instances,
            counts,
        };
        (request, cursor)
    }

    /// Counts of the current versions in the subtree, with this daemon at the given version.
    pub(crate) fn version_counts(&self, version: ConfigVersion) -> Vec<VersionCount> {
        let own = (self.settings.name.as_str(), self.incarnation);
        self.members
            .version_counts(own, &self.settings.failure_domain, version)
    }

    /// Reply with the changes that a subscriber has not received yet; `None` if there are none.
    pub(crate) fn poll_reply_for(
        &self,
        request: &foxtailgauge_core::PollRequest,
    ) -> Option<PollReply> {
        let update = self
            .configuration
            .encoded_update(request.current_version, &request.current_digest);
        let (instances, cursor) = self
            .members
            .read(|directory| directory.changes_since(request.cursor, &request.daemon));
        if update.is_none() && instances.is_empty() {
            return None;
        }
        Some(PollReply::Changes {
            update,
            instances,
            cursor,
            freshness: self.freshness(),
        })
    }

    /// Reply to a poll without changes.
    pub(crate) fn empty_poll_reply(&self) -> PollReply {
        PollReply::Changes {
            update: None,
            instances: Vec::new(),
            cursor: self.members.read(Directory::cursor),
            freshness: self.freshness(),
        }
    }

    /// Admits a new subscriber, or returns the delay after which it should retry.
    pub(crate) fn admit_session(&self) -> Result<(), Duration> {
        lock(&self.sessions).admit(self.now_ms())
    }

    /// Whether a cursor was issued by this process.
    pub(crate) fn is_own_cursor(&self, cursor: Option<Cursor>) -> bool {
        cursor.is_some_and(|cursor| cursor.epoch == self.incarnation)
    }

    /// Freshness of this daemon's configuration.
    pub(crate) fn freshness(&self) -> Freshness {
        Freshness {
            version: self.configuration.current().version,
            highest_version: self.highest_known_version(),
            quorum_age_ms: self.quorum_age_ms(),
            epoch: self.incarnation,
        }
    }

    /// Time since the last contact with a quorum, directly or through the source, in
    /// milliseconds; `None` if there was none.
    pub(crate) fn quorum_age_ms(&self) -> Option<u64> {
        if let Some(replica) = self.replica.get() {
            return replica.config.quorum_age_ms();
        }
        let (age, received_at) = lock(&self.contact).received?;
        u64::try_from((age + received_at.elapsed()).as_millis()).ok()
    }

    /// Updates the age metrics; an unknown age leaves its metric unchanged.
    pub(crate) fn update_age_metrics(&self) {
        if let Some(age_ms) = self.quorum_age_ms() {
            let age = Duration::from_millis(age_ms).as_secs_f64();
            self.metrics.majority_age_seconds.set(age);
        }
        if let Some((_, received_at)) = lock(&self.contact).received {
            let age = received_at.elapsed().as_secs_f64();
            self.metrics.source_age_seconds.set(age);
        }
    }

    /// Records the freshness reported by the source.
    pub(crate) fn record_source_freshness(&self, freshness: &Freshness) {
        self.observe_version(freshness.highest_version.max(freshness.version));
        if let Some(age_ms) = freshness.quorum_age_ms {
            let received = Some((Duration::from_millis(age_ms), Instant::now()));
            *lock(&self.contact) = Contact { received };
        }
    }
}
