//! State that the tasks of one daemon share: configuration held, directory, route view.

use crate::consensus_link::ConsensusLinks;
use crate::emit;
use crate::events;
use crate::metrics::Metrics;
use crate::peer_client::{PeerClient, PeerRequest};
use crate::replica::ReplicaHandles;
use crate::route_view::RouteView;
use crate::settings::Settings;
use event_listener::Event;
use foxtailgauge_core::{
    Balancer, ConfigVersion, Cursor, Digest, Directory, Fingerprint, Freshness, Incarnation,
    InstanceState, Placement, PollReply, Presence, ReportRequest, Role, ServerEntry, ServerKey,
    SessionLimit, Snapshot, SnapshotError, SnapshotHistory, SubscriberTable, SuspectLog, UnixMs,
    Update, VersionCount,
};
use foxtailgauge_wire::{encode, encode_compressed};
use slog::Logger;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest time an answer waits for the news of a crash to spread.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(50);
/// Past versions kept as bases for deltas.
const DELTA_BASES: usize = 256;

/// Locks without regard to a panic of another holder: all guarded values stay whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> UnixMs {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

/// Clients for other daemons, by what they carry.
#[derive(Clone)]
pub(crate) struct Clients {
    /// Configuration, directory, submissions.
    pub(crate) control: PeerClient,
    /// Consensus messages.
    pub(crate) consensus: ConsensusLinks,
    /// Calls.
    pub(crate) calls: PeerClient,
    /// Calls with large bodies, which would hold up the small ones behind them.
    pub(crate) bulk_calls: PeerClient,
}

struct ConfigCell {
    history: SnapshotHistory,
    /// Highest version known to exist anywhere.
    highest_known_version: ConfigVersion,
    /// Encoded updates to the current version, by the version and digest that they start from.
    encoded: HashMap<(ConfigVersion, Digest), Arc<Vec<u8>>>,
}

impl ConfigCell {
    /// The encoded update for a subscriber that holds the named version, if it is behind.
    fn encoded_update(
        &mut self,
        base_version: ConfigVersion,
        base_digest: &Digest,
    ) -> Option<Arc<Vec<u8>>> {
        if let Some(encoded) = self.encoded.get(&(base_version, *base_digest)) {
            return Some(Arc::clone(encoded));
        }
        let update = self.history.update_for(base_version, base_digest)?;
        // An update is made of maps and numbers, which are always encoded.
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
    /// Backend servers that take forwarded requests.
    forwarded: Vec<ServerEntry>,
    suspect_log: SuspectLog,
}

/// Contact with a majority through the source.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Age at the time it was received, and when that was.
    received: Option<(Duration, Instant)>,
}

/// Counts a forwarded request until it is dropped.
pub(crate) struct ForwardingGuard<'a> {
    shared: &'a Shared,
}

impl Drop for ForwardingGuard<'_> {
    fn drop(&mut self) {
        self.shared.forwarding.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State shared by the tasks of one daemon.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: Metrics,
    pub(crate) incarnation: Incarnation,
    pub(crate) clients: Clients,
    pub(crate) balancer: Mutex<Balancer>,
    pub(crate) placement: Mutex<Placement>,
    /// Forwarded requests under way at the gateway.
    forwarding: AtomicU32,
    /// Set once the daemon was told to stop.
    stopping: OnceLock<Instant>,
    /// Notified when configuration or directory changed.
    pub(crate) changed: Event,
    /// Notified when a report to the source is due.
    pub(crate) report_due: Event,
    /// Replica parts, on daemons with a store.
    pub(crate) replica: OnceLock<ReplicaHandles>,
    started: Instant,
    config: Mutex<ConfigCell>,
    directory: Mutex<Directory>,
    subscribers: Mutex<SubscriberTable>,
    sessions: Mutex<SessionLimit>,
    own: Mutex<OwnEntry>,
    /// Sequence of the own entry that was last published to all daemons.
    published_sequence: async_std::sync::Mutex<u64>,
    contact: Mutex<Contact>,
    view: RwLock<Arc<RouteView>>,
}

impl Shared {
    /// State of a daemon that holds nothing yet.
    pub(crate) fn new(settings: Settings, log: Logger, metrics: Metrics, clients: Clients) -> Self {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let incarnation = u64::try_from(now.as_micros()).unwrap_or(u64::MAX);
        let shared = Shared {
            directory: Mutex::new(Directory::new(settings.name.clone(), incarnation)),
            sessions: Mutex::new(SessionLimit::new(settings.distribution.sessions_per_second)),
            balancer: Mutex::new(Balancer::new(settings.failure_domain.clone())),
            placement: Mutex::new(Placement::new(
                settings.failure_domain.clone(),
                settings.name.clone(),
            )),
            forwarding: AtomicU32::new(0),
            stopping: OnceLock::new(),
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

    /// The routes in force.
    pub(crate) fn view(&self) -> Arc<RouteView> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Version and digest held.
    pub(crate) fn current_version(&self) -> (ConfigVersion, Digest) {
        let config = lock(&self.config);
        let current = config.history.current();
        (current.version, current.digest)
    }

    /// Takes over an update, whole or not at all.
    pub(crate) fn apply_update(&self, update: &Update) -> Result<(), SnapshotError> {
        let mut config = lock(&self.config);
        if update.version() < config.highest_known_version && config.history.current().version == 0
        {
            // A daemon that holds nothing may have held a newer version before its restart.
            return Err(SnapshotError::OlderVersion);
        }
        let next = config.history.current().updated(update)?;
        self.advance(&mut config, next)
    }

    /// Makes the configuration of the own replica current.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        let mut config = lock(&self.config);
        // The own replica may be behind what was taken from a source.
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

    /// Notes a version that some daemon holds.
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
        let view = RouteView::build(snapshot, &directory, &self.view());
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
            view.candidates.values().flatten().map(|c| &c.key).collect();
        lock(&self.balancer).retain(|key| listed.contains(key));
        lock(&self.placement).retain(|key| listed.contains(key));
    }

    /// Announces the daemon's own backend servers.
    pub(crate) fn announce(&self, servers: Vec<ServerEntry>) {
        self.republish(|own| own.servers = servers);
    }

    /// Announces the daemon's own backend servers that take forwarded requests.
    pub(crate) fn announce_forwarded(&self, servers: Vec<ServerEntry>) {
        self.republish(|own| own.forwarded = servers);
    }

    /// Notes that the daemon was told to stop.
    pub(crate) fn begin_stop(&self) {
        // The first request to stop counts.
        let _ = self.stopping.set(Instant::now());
    }

    /// Whether the daemon was told to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Time since the daemon was told to stop.
    pub(crate) fn time_since_stop(&self) -> Option<Duration> {
        self.stopping.get().map(Instant::elapsed)
    }

    /// Whether callers may be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.current_version().0 > 0 && !self.is_stopping()
    }

    /// Counts a forwarded request for as long as the guard lives.
    pub(crate) fn forwarding(&self) -> ForwardingGuard<'_> {
        self.forwarding.fetch_add(1, Ordering::Relaxed);
        ForwardingGuard { shared: self }
    }

    /// Forwarded requests under way at the gateway.
    pub(crate) fn forwarding_count(&self) -> u32 {
        self.forwarding.load(Ordering::Relaxed)
    }

    /// Announces that a request was in flight when a backend server died. Returns once every
    /// daemon that can be reached soon knows, so that the caller's next try finds it known.
    pub(crate) async fn record_crash(&self, fingerprint: Fingerprint) {
        self.republish(|own| own.suspect_log.record_crash(fingerprint, unix_ms()));
        let recorded = lock(&self.own).sequence;
        let mut published = self.published_sequence.lock().await;
        // Crashes of requests in flight together are published together.
        if *published < recorded {
            *published = self.publish_to_all().await;
        }
    }

    /// Announces that a suspect ran to its end.
    pub(crate) fn record_completion(&self, fingerprint: Fingerprint) {
        self.republish(|own| own.suspect_log.record_completion(fingerprint, unix_ms()));
    }

    /// Publishes the own entry to all live daemons; returns its sequence.
    async fn publish_to_all(&self) -> u64 {
        let state = self.own_state(&lock(&self.own));
        let sequence = state.sequence;
        let Ok(bytes) = encode(&state) else {
            return sequence;
        };
        let addrs: Vec<String> = self.with_directory(|directory| {
            let others = directory.live().filter(|i| i.name != self.settings.name);
            others.map(|i| i.control_addr.clone()).collect()
        });
        let publishing = addrs.iter().map(|addr| {
            self.metrics.record_payload("sent", "tell", bytes.len());
            let request = PeerRequest::Publish(bytes.clone());
            self.clients.control.call(addr, request, PUBLISH_TIMEOUT)
        });
        let publishing = futures::future::join_all(publishing);
        // Daemons that cannot be reached now learn it from their sources.
        let _ = async_std::future::timeout(PUBLISH_TIMEOUT, publishing).await;
        sequence
    }

    /// Writes a new state of the own entry.
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

    /// Writes a new state of the own entry, so that it spreads from a new source.
    pub(crate) fn renew_own_entry(&self) {
        self.republish(|_| {});
    }

    /// Takes over entries heard from a neighbour.
    pub(crate) fn merge_instances(&self, instances: Vec<InstanceState>, received_from: &str) {
        if lock(&self.directory).merge(instances, received_from) {
            self.directory_changed();
        }
        self.refute_loss();
    }

    /// Announces that this daemon stops.
    pub(crate) fn announce_stop(&self) {
        self.republish(|own| {
            own.presence = Presence::Stopped;
            own.servers.clear();
            own.forwarded.clear();
        });
    }

    /// Takes a lost daemon off the list of those that may come back.
    pub(crate) fn forget(&self, daemon: &str) -> bool {
        let is_forgotten = lock(&self.directory).forget(daemon);
        if is_forgotten {
            emit!(self.log, events::DAEMON_FORGOTTEN, "forgotten" => daemon);
            self.directory_changed();
        }
        is_forgotten
    }

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

    /// Takes the report of a subscriber.
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

    /// Marks subscribers lost whose lease ended.
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

    /// Whether this daemon takes from nobody, as it leads the configuration group.
    pub(crate) fn is_root(&self) -> bool {
        let replica = self.replica.get();
        replica.is_some_and(|replica| replica.config.status().role == Role::Leader)
    }

    /// What to report to a source: entries changed since the cursor, and the versions held below.
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

    pub(crate) fn version_counts(&self, version: ConfigVersion) -> Vec<VersionCount> {
        let own = (self.settings.name.as_str(), self.incarnation);
        lock(&self.subscribers).counts(own, &self.settings.failure_domain, version)
    }

    /// What a subscriber has not seen yet; `None` if there is nothing.
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

    /// Answer to a poll without changes.
    pub(crate) fn empty_poll_reply(&self) -> PollReply {
        PollReply::Changes {
            update: None,
            instances: Vec::new(),
            cursor: lock(&self.directory).cursor(),
            freshness: self.freshness(),
        }
    }

    /// Admits a new subscriber, or tells when to come back.
    pub(crate) fn admit_session(&self) -> Result<(), Duration> {
        lock(&self.sessions).admit(self.now_ms())
    }

    /// Whether a cursor was given out by this process.
    pub(crate) fn is_own_cursor(&self, cursor: Option<Cursor>) -> bool {
        cursor.is_some_and(|cursor| cursor.epoch == self.incarnation)
    }

    /// How current this daemon is.
    pub(crate) fn freshness(&self) -> Freshness {
        let config = lock(&self.config);
        Freshness {
            version: config.history.current().version,
            highest_version: config.highest_known_version,
            quorum_age_ms: self.quorum_age_ms(),
            epoch: self.incarnation,
        }
    }

    /// Time since contact with a majority, directly or through the source.
    pub(crate) fn quorum_age_ms(&self) -> Option<u64> {
        if let Some(replica) = self.replica.get() {
            return replica.config.quorum_age_ms();
        }
        let (age, received_at) = lock(&self.contact).received?;
        u64::try_from((age + received_at.elapsed()).as_millis()).ok()
    }

    /// Brings the metrics of ages up to date; they stay as they are while nothing is known.
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

    /// Notes how current the source is.
    pub(crate) fn record_source_freshness(&self, freshness: &Freshness) {
        self.observe_version(freshness.highest_version.max(freshness.version));
        if let Some(age_ms) = freshness.quorum_age_ms {
            let received = Some((Duration::from_millis(age_ms), Instant::now()));
            *lock(&self.contact) = Contact { received };
        }
    }
}
