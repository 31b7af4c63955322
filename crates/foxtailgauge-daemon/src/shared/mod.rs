//! State shared by the tasks of one daemon: current configuration, directory and route view.

mod suspects;

use crate::control::consensus_link::ConsensusLinks;
use crate::control::group_handle::ReplicaHandles;
use crate::control::seeds::Seeds;
use crate::emit;
use crate::events;
use crate::gateway::route_view::RouteView;
pub(crate) use crate::lock_wait::lock;
use crate::metrics::Metrics;
use crate::peer_client::PeerClient;
use crate::settings::Settings;
use crate::stop::StopState;
use crate::usage::Usage;
use event_listener::Event;
use foxtailgauge_core::{
    Balancer, ConfigVersion, Cursor, DeferredLosses, Digest, Directory, Freshness, Incarnation,
    InstanceState, Placement, PollReply, Presence, ReportRequest, Role, ServerEntry, ServerKey,
    SessionLimit, Snapshot, SnapshotError, SnapshotHistory, SubscriberTable, SuspectLog, UnixMs,
    Update, VersionCount,
};
use foxtailgauge_wire::encode_compressed;
use slog::Logger;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time after a reply of a daemon in which a mark of it as lost waits. Shorter than the lease that such a
/// daemon has missed, so that one that has failed is removed at once.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of past versions kept as bases for deltas.
const DELTA_BASES: usize = 256;

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

struct ConfigCell {
    history: SnapshotHistory,
    /// Highest version known to exist anywhere.
    highest_known_version: ConfigVersion,
    /// Encoded updates to the current version, by the version and digest of their base.
    encoded: HashMap<(ConfigVersion, Digest), Arc<Vec<u8>>>,
}

impl ConfigCell {
    /// Returns the encoded update for a subscriber at the given version, if it is behind.
    fn encoded_update(
        &mut self,
        base_version: ConfigVersion,
        base_digest: &Digest,
    ) -> Option<Arc<Vec<u8>>> {
        if let Some(encoded) = self.encoded.get(&(base_version, *base_digest)) {
            return Some(Arc::clone(encoded));
        }
        let update = self.history.update_for(base_version, base_digest)?;
        // Encoding does not fail: an update consists of maps and numbers.
        let encoded = Arc::new(encode_compressed(&update).ok()?);
        self.encoded
            .insert((base_version, *base_digest), Arc::clone(&encoded));
        Some(encoded)
    }
}

/// The daemon's own entry in the directory.
struct OwnEntry {
    presence: Presence,
    sequence: u64,
    servers: Vec<ServerEntry>,
    /// Backend servers that accept forwarded requests.
    forwarded: Vec<ServerEntry>,
    suspect_log: SuspectLog,
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
    config: Mutex<ConfigCell>,
    directory: Mutex<Directory>,
    subscribers: Mutex<SubscriberTable>,
    deferred_losses: Mutex<DeferredLosses>,
    sessions: Mutex<SessionLimit>,
    own: Mutex<OwnEntry>,
    /// Sequence of the own entry that was last published to all daemons.
    published_sequence: async_std::sync::Mutex<u64>,
    contact: Mutex<Contact>,
    view: RwLock<Arc<RouteView>>,
}

impl Shared {
    /// Creates the state of a daemon without a configuration.
    pub(crate) fn new(settings: Settings, log: Logger, metrics: Metrics, clients: Clients) -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
        let shared = Shared {
            directory: Mutex::new(Directory::new(settings.name.clone(), incarnation)),
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
            config: Mutex::new(ConfigCell {
                history: SnapshotHistory::new(DELTA_BASES),
                highest_known_version: 0,
                encoded: HashMap::new(),
            }),
            subscribers: Mutex::new(SubscriberTable::default()),
            deferred_losses: Mutex::default(),
            own: Mutex::new(OwnEntry {
                presence: Presence::Live,
                sequence: 0,
                servers: Vec::new(),
                forwarded: Vec::new(),
                suspect_log: SuspectLog::default(),
            }),
            published_sequence: async_std::sync::Mutex::new(0),
            contact: Mutex::new(Contact::default()),
            view: RwLock::new(Arc::new(RouteView::default())),
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
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Path of a service's health check, empty if it has none; `None` without a configuration that
    /// defines the service.
    pub(crate) fn health_path(&self, service: &str) -> Option<String> {
        let config = lock(&self.config);
        let service = config.history.current().services.get(service)?;
        Some(service.health_path.clone())
    }

    /// Version and digest of the current configuration.
    pub(crate) fn current_version(&self) -> (ConfigVersion, Digest) {
        let config = lock(&self.config);
        let current = config.history.current();
        (current.version, current.digest)
    }

    /// Applies an update as a whole. Fails if it does not apply to the current configuration, or if
    /// this daemon has no configuration and knows of a newer version.
    pub(crate) fn apply_update(&self, update: &Update) -> Result<(), SnapshotError> {
        let mut config = lock(&self.config);
        if update.version() < config.highest_known_version && config.history.current().version == 0
        {
            // This daemon may have had a newer version before its restart.
            return Err(SnapshotError::OlderVersion);
        }
        let next = config.history.current().with_update(update)?;
        self.advance(&mut config, next)
    }

    /// Makes the configuration of the local replica current.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        let mut config = lock(&self.config);
        // The local replica may be behind the configuration taken from a source.
        let _ = self.advance(&mut config, Arc::new(snapshot));
    }

    fn advance(&self, config: &mut ConfigCell, next: Arc<Snapshot>) -> Result<(), SnapshotError> {
        let version = next.version;
        config.history.advance(next)?;
        config.encoded.clear();
        config.highest_known_version = config.highest_known_version.max(version);
        self.rebuild_view(config.history.current());
        self.metrics
            .version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        emit!(self.log, events::VERSION_CURRENT, "version" => version);
        self.changed.notify(usize::MAX);
        self.report_due.notify(usize::MAX);
        Ok(())
    }

    /// Records that a version exists on some daemon.
    pub(crate) fn observe_version(&self, version: ConfigVersion) {
        let mut config = lock(&self.config);
        config.highest_known_version = config.highest_known_version.max(version);
    }

    /// Highest version known to exist.
    pub(crate) fn highest_known_version(&self) -> ConfigVersion {
        lock(&self.config).highest_known_version
    }

    fn rebuild_view(&self, snapshot: &Arc<Snapshot>) {
        let directory = lock(&self.directory);
        let view = RouteView::build(snapshot, &directory, &self.view(), unix_ms());
        self.metrics.daemons.set(directory.live().count() as i64);
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }

    fn directory_changed(&self) {
        let config = lock(&self.config);
        self.rebuild_view(config.history.current());
        drop(config);
        self.remove_unlisted_servers();
        self.changed.notify(usize::MAX);
        self.report_due.notify(usize::MAX);
    }

    fn remove_unlisted_servers(&self) {
        let view = self.view();
        let listed: std::collections::HashSet<&ServerKey> =
            view.servers().map(|c| &c.key).collect();
        lock(&self.balancer).retain(|key| listed.contains(key));
        lock(&self.placement).retain(|key| listed.contains(key));
    }

    /// Announces the daemon's own backend servers.
    pub(crate) fn announce(&self, servers: Vec<ServerEntry>) {
        self.republish(|own| own.servers = servers);
    }

    /// Announces the daemon's own backend servers that accept forwarded requests.
    pub(crate) fn announce_forwarded(&self, servers: Vec<ServerEntry>) {
        self.republish(|own| own.forwarded = servers);
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

    /// Changes the own entry and writes it to the directory under a new sequence.
    fn republish(&self, change: impl FnOnce(&mut OwnEntry)) {
        let mut own = lock(&self.own);
        change(&mut own);
        own.sequence += 1;
        let state = self.own_state(&own);
        drop(own);
        if lock(&self.directory).set_own(state) {
            self.directory_changed();
        }
    }

    fn own_state(&self, own: &OwnEntry) -> InstanceState {
        InstanceState {
            name: self.settings.name.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            incarnation: self.incarnation,
            sequence: own.sequence,
            control_addr: self.settings.advertise_control.clone(),
            calls_addr: self.settings.advertise_calls.clone(),
            is_replica: self.settings.store_dir.is_some(),
            presence: own.presence,
            servers: own.servers.iter().chain(&own.forwarded).cloned().collect(),
            suspects: own.suspect_log.current(unix_ms()),
        }
    }

    /// Writes the own entry under a new sequence, so that it spreads through a new source.
    pub(crate) fn renew_own_entry(&self) {
        self.republish(|_| {});
    }

    /// Merges directory entries received through another daemon.
    pub(crate) fn merge_instances(&self, instances: Vec<InstanceState>, received_from: &str) {
        let is_in_contact = |daemon: &str| self.is_in_contact(daemon);
        let instances = lock(&self.deferred_losses).defer(instances, received_from, is_in_contact);
        if lock(&self.directory).merge(instances, received_from) {
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

    /// Announces that this daemon stops and withdraws its backend servers.
    pub(crate) fn announce_stop(&self) {
        self.republish(|own| {
            own.presence = Presence::Stopped;
            own.servers.clear();
            own.forwarded.clear();
        });
    }

    /// Marks a lost daemon as stopped, as it will not return; returns whether it was lost.
    pub(crate) fn forget(&self, daemon: &str) -> bool {
        let is_forgotten = lock(&self.directory).forget(daemon);
        if is_forgotten {
            emit!(self.log, events::DAEMON_FORGOTTEN, "forgotten" => daemon);
            self.directory_changed();
        }
        is_forgotten
    }

    /// Refutes a lost or stopped mark that another daemon has set for this one, unless this one has
    /// announced its stop.
    fn refute_loss(&self) {
        if lock(&self.own).presence == Presence::Stopped {
            return;
        }
        let Some(sequence) = lock(&self.directory).own_refutation() else {
            return;
        };
        emit!(self.log, events::LOST_REFUTED, "sequence" => sequence);
        let mut own = lock(&self.own);
        own.sequence = own.sequence.max(sequence);
        drop(own);
        self.republish(|_| {});
    }

    /// Reads the directory under its lock.
    pub(crate) fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&lock(&self.directory))
    }

    /// Applies the report of a subscriber.
    pub(crate) fn apply_report(&self, request: ReportRequest) {
        for count in &request.counts {
            self.observe_version(count.version);
        }
        let now_ms = self.now_ms();
        let mut subscribers = lock(&self.subscribers);
        let has_changed = subscribers.report(request, &mut lock(&self.directory), now_ms);
        self.metrics.subscribers.set(subscribers.len() as i64);
        drop(subscribers);
        if has_changed {
            self.directory_changed();
        }
        self.refute_loss();
    }

    /// Marks daemons as lost: subscribers whose lease has expired, after a grace period the daemons
    /// of their subtrees that have not moved, and on the root those that no subscriber reports.
    pub(crate) fn expire_subscribers(&self) {
        let now_ms = self.now_ms();
        let mut subscribers = lock(&self.subscribers);
        let mut directory = lock(&self.directory);
        let mut lost = subscribers.expire(&mut directory, now_ms);
        if self.is_root() {
            lost.extend(subscribers.expire_unreported(&mut directory, now_ms));
        } else {
            subscribers.clear_unreported();
        }
        drop(directory);
        self.metrics.subscribers.set(subscribers.len() as i64);
        drop(subscribers);
        for name in &lost {
            emit!(self.log, events::DAEMON_LOST, "lost" => name);
        }
        if !lost.is_empty() {
            self.directory_changed();
        }
    }

    /// Whether this daemon leads the configuration group and therefore has no source.
    pub(crate) fn is_root(&self) -> bool {
        let replica = self.replica.get();
        replica.is_some_and(|replica| replica.config.status().role == Role::Leader)
    }

    /// Builds a report to the source: entries changed since the cursor, and the versions in the
    /// subtree.
    pub(crate) fn report_since(&self, cursor: Option<Cursor>) -> (ReportRequest, Cursor) {
        let (instances, cursor) = {
            let subscribers = lock(&self.subscribers);
            lock(&self.directory).subtree_changes_since(cursor, |name| subscribers.contains(name))
        };
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
        lock(&self.subscribers).counts(own, &self.settings.failure_domain, version)
    }

    /// Reply with the changes that a subscriber has not received yet; `None` if there are none.
    pub(crate) fn poll_reply_for(
        &self,
        request: &foxtailgauge_core::PollRequest,
    ) -> Option<PollReply> {
        let update =
            lock(&self.config).encoded_update(request.current_version, &request.current_digest);
        let (instances, cursor) =
            lock(&self.directory).changes_since(request.cursor, &request.daemon);
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
            cursor: lock(&self.directory).cursor(),
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
        let config = lock(&self.config);
        Freshness {
            version: config.history.current().version,
            highest_version: config.highest_known_version,
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
