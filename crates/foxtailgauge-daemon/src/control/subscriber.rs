//! Subscriber side of distribution: polls a source for configuration and directory, and reports to
//! it.

use crate::control::replica_search;
use crate::control::source_probe;
use crate::emit;
use crate::events;
use crate::lock_wait::{self, LockWait};
use crate::peer_client::{PeerReply, PeerRequest};
use crate::shared::{lock, Shared};
use crate::timer::sleep_until;
use foxtailgauge_core::{
    sources, Backoff, Cursor, Freshness, InstanceState, PollReply, PollRequest, ReportReply,
    Source, SourceChoice, Update, REPORT_INTERVAL_MS,
};
use foxtailgauge_wire::{decode, encode};
use futures::future::{select, Either};
use rand::Rng;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that a subscriber waits for a reply beyond the poll timeout that it requested.
const POLL_SLACK: Duration = Duration::from_millis(700);
/// Time beyond all of its timeouts after which a poll shows that the daemon itself stood still.
const STALL_TIME: Duration = Duration::from_millis(1_500);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a probe on an open connection.
pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between reports while a rollout runs: with two tiers of sources the contact with a quorum
/// is known with an age of about 1 s.
const ROLLOUT_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Longest interval between two probes of other daemons; each is randomly shortened by up to half.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);
/// Number of live replicas, and of daemons of the same failure domain, that are asked for known versions
/// besides the seeds before the first version is applied.
const VERSION_QUERY_REPLICAS: usize = 3;
const VERSION_QUERY_NEIGHBOURS: usize = 3;
/// Timeout of a query for known versions.
const VERSION_QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Shortest and longest delay between attempts to poll a source.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Shortest time that a daemon keeps a responsive source, so that it does not switch on every
/// change of the directory.
const MIN_SOURCE_TIME: Duration = Duration::from_secs(1);
/// Delay after which a daemon without a source looks for one again.
const NO_SOURCE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The current source, shared by the polling and the reporting task.
struct CurrentSource {
    /// Changes with each new source.
    serial: u64,
    source: Option<Source>,
    chosen_at: Instant,
    /// Cursor up to which the directory has been reported to the source.
    reported: Option<Cursor>,
    /// Epoch of the source process that received the last report.
    source_epoch: u64,
}

pub(super) struct Subscriber {
    pub(super) shared: Arc<Shared>,
    current: Mutex<CurrentSource>,
    pub(super) choice: Mutex<SourceChoice>,
    /// Notified when the daemon has switched to a new source.
    source_changed: event_listener::Event,
    /// Notified when the source does not reply to a report, or is stale.
    source_abandoned: event_listener::Event,
    /// Notified when a source did not reply or was found to be stale, or is to be probed before its use.
    pub(super) probe_due: event_listener::Event,
    /// Notified when a probe has found a current source for a daemon that had none.
    pub(super) source_found: event_listener::Event,
}

/// Starts the tasks of the subscriber.
pub(crate) fn start(shared: &Arc<Shared>) {
    let subscriber = Arc::new(Subscriber {
        shared: Arc::clone(shared),
        current: Mutex::new(CurrentSource {
            serial: 0,
            source: None,
            chosen_at: Instant::now(),
            reported: None,
            source_epoch: 0,
        }),
        choice: Mutex::default(),
        source_changed: event_listener::Event::new(),
        source_abandoned: event_listener::Event::new(),
        probe_due: event_listener::Event::new(),
        source_found: event_listener::Event::new(),
    });
    async_std::task::spawn(poll_loop(Arc::clone(&subscriber)));
    async_std::task::spawn(report_loop(Arc::clone(&subscriber)));
    async_std::task::spawn(source_probe::run(Arc::clone(&subscriber)));
    async_std::task::spawn(probe_loop(subscriber));
    async_std::task::spawn(expire_loop(Arc::clone(shared)));
}

async fn expire_loop(shared: Arc<Shared>) {
    loop {
        async_std::task::sleep(Duration::from_millis(500)).await;
        if let Some(LockWait { wait, location }) = lock_wait::take_longest() {
            let took_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
            emit!(shared.log, events::LOCK_WAITED, "at" => location.to_string(), "took_ms" => took_ms);
        }
        shared.expire_subscribers();
        shared.apply_deferred_losses();
        shared.adopt_suspects();
    }
}

impl Subscriber {
    /// Sources of a round in order of preference. The leader of the configuration group has none, and the
    /// only source of another replica is that leader.
    pub(super) fn candidates(&self, round: usize) -> Vec<Source> {
        let shared = &self.shared;
        if let Some(replica) = shared.replica.get() {
            if shared.is_root() {
                return Vec::new();
            }
            let status = replica.config.status();
            let member = status.leader.and_then(|id| status.members.members.get(&id));
            let source = member.map(|member| Source {
                name: None,
                control_addr: member.control_addr.clone(),
            });
            return source.into_iter().collect();
        }
        let settings = &shared.settings;
        let seeds = shared.seeds.addrs();
        shared.with_directory(|directory| {
            sources(
                &settings.name,
                &settings.failure_domain,
                directory.all(),
                &seeds,
                settings.distribution.relays,
                round,
            )
        })
    }

    fn choose_source(&self) -> Option<Source> {
        let round = lock(&self.choice).round();
        let candidates = self.candidates(round);
        // A replica follows the leader of its group at once.
        if self.shared.replica.get().is_some() {
            return candidates.into_iter().next();
        }
        let recent = self.recent_source();
        let mut choice = lock(&self.choice);
        let source = choice.choose(&candidates, recent, Instant::now());
        if choice.has_unproven() {
            self.probe_due.notify(usize::MAX);
        }
        source
    }

    /// Control address of the current source.
    pub(super) fn current_addr(&self) -> Option<String> {
        let current = lock(&self.current);
        current
            .source
            .as_ref()
            .map(|source| source.control_addr.clone())
    }

    /// The current source, if it was chosen within `MIN_SOURCE_TIME`.
    fn recent_source(&self) -> Option<Source> {
        let current = lock(&self.current);
        let is_recent = current.chosen_at.elapsed() < MIN_SOURCE_TIME;
        current.source.clone().filter(|_| is_recent)
    }

    /// Avoids a source that did not reply.
    fn source_failed(&self, source: &Source) {
        lock(&self.choice).record_no_reply(&source.control_addr, Instant::now());
        self.look_for_sources();
    }

    /// Avoids a source whose update was refused.
    fn update_refused(&self, source: &Source) {
        lock(&self.choice).record_refused(&source.control_addr, Instant::now());
        self.look_for_sources();
    }

    /// Has the other sources probed, and starts a search if the known replicas may all be gone.
    fn look_for_sources(&self) {
        self.probe_due.notify(usize::MAX);
        if lock(&self.choice).begin_search(Instant::now()) {
            let shared = Arc::clone(&self.shared);
            async_std::task::spawn(async move { replica_search::run(&shared).await });
        }
    }

    /// Records what a source replied. One in contact with a quorum ends the search for replicas.
    fn record_freshness(&self, source: &Source, freshness: &Freshness) {
        self.shared.record_source_freshness(freshness);
        if freshness.quorum_age_ms.is_some() && !freshness.has_lost_contact() {
            lock(&self.choice).record_current(&source.control_addr);
        }
    }

    /// Makes a source the current one; returns its serial.
    fn attach(&self, source: &Source) -> u64 {
        let mut current = lock(&self.current);
        if current.source.as_ref().map(|s| &s.control_addr) == Some(&source.control_addr) {
            return current.serial;
        }
        current.serial += 1;
        current.source = Some(source.clone());
        current.chosen_at = Instant::now();
        current.reported = None;
        let serial = current.serial;
        drop(current);
        let avoided = lock(&self.choice).avoided_count();
        emit!(self.shared.log, events::SOURCE_CHANGED, "source" => &source.control_addr,
            "listed" => self.shared.listed_as(&source.control_addr), "avoided" => avoided);
        // Each daemon records the peer that it received an entry from: replies to that
        // peer omit the entry, and its lease covers the entry. The new sequence makes all
        // daemons record the path through the new source.
        self.shared.renew_own_entry();
        self.source_changed.notify(usize::MAX);
        serial
    }

    fn detach(&self) {
        let mut current = lock(&self.current);
        if current.source.take().is_none() {
            return;
        }
        current.serial += 1;
        drop(current);
        // The new sequence of the own entry shows the former source that this daemon has left it.
        self.shared.renew_own_entry();
    }

    pub(super) async fn call_source<T: DeserializeOwned>(
        &self,
        source: &Source,
        request: PeerRequest,
        timeout: Duration,
    ) -> Option<T> {
        let client = &self.shared.clients.control;
        match client.call(&source.control_addr, request, timeout).await {
            Ok(PeerReply::Payload(bytes)) => decode(&bytes).ok(),
            _ => None,
        }
    }
}

async fn poll_loop(subscriber: Arc<Subscriber>) {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut last_read: Option<(u64, Cursor)> = None;
    loop {
        let source_found = subscriber.source_found.listen();
        let Some(source) = subscriber.choose_source() else {
            subscriber.detach();
            async_std::task::sleep(NO_SOURCE_RETRY_DELAY).await;
            continue;
        };
        let serial = subscriber.attach(&source);
        let cursor = last_read
            .filter(|(read_serial, _)| *read_serial == serial)
            .map(|(_, cursor)| cursor);
        // A poll of an unresponsive source looks like one without changes; a report that gets no
        // reply tells them apart and ends the poll.
        let source_abandoned = subscriber.source_abandoned.listen();
        let poll = Box::pin(poll_once(&subscriber, &source, cursor));
        let interrupted = select(source_abandoned, source_found);
        let (outcome, interrupted) = match select(poll, interrupted).await {
            Either::Left((outcome, interrupted)) => (outcome, interrupted),
            Either::Right(_) => continue,
        };
        match outcome {
            PollOutcome::Changes(cursor) => {
                backoff.reset();
                last_read = Some((serial, cursor));
            }
            PollOutcome::RetryAfter(delay) => async_std::task::sleep(delay).await,
            PollOutcome::Failed | PollOutcome::Refused => {
                match outcome {
                    PollOutcome::Refused => subscriber.update_refused(&source),
                    _ => subscriber.source_failed(&source),
                }
                let delay = backoff.next_delay(&mut rand::rng());
                select(sleep_until(Instant::now() + delay), interrupted).await;
            }
        }
    }
}

enum PollOutcome {
    /// The directory has been read up to the cursor.
    Changes(Cursor),
    /// The source is busy; it can be polled again after this delay.
    RetryAfter(Duration),
    /// No reply, or none that can be read.
    Failed,
    /// The update in the reply does not apply.
    Refused,
}

async fn poll_once(
    subscriber: &Subscriber,
    source: &Source,
    cursor: Option<Cursor>,
) -> PollOutcome {
    let shared = &subscriber.shared;
    let (current_version, current_digest) = shared.current_version();
    let poll_timeout = shared.settings.distribution.poll_timeout;
    let request = PollRequest {
        daemon: shared.settings.name.clone(),
        current_version,
        current_digest,
        cursor,
        hold_ms: u64::try_from(poll_timeout.as_millis()).unwrap_or(u64::MAX),
    };
    let Ok(bytes) = encode(&request) else {
        return PollOutcome::Failed;
    };
    shared.metrics.record_payload("sent", "poll", bytes.len());
    let timeout = poll_timeout + POLL_SLACK;
    let polled_at = Instant::now();
    let reply = subscriber
        .call_source(source, PeerRequest::Poll(bytes), timeout)
        .await;
    log_stall(shared, "reply", polled_at, timeout);
    let replied_at = Instant::now();
    match reply {
        Some(PollReply::Changes {
            update,
            instances,
            cursor,
            freshness,
        }) => {
            merge_instances(shared, source, instances);
            log_stall(shared, "merge", replied_at, Duration::ZERO);
            subscriber.record_freshness(source, &freshness);
            let update: Option<Update> = match update.as_deref().map(|bytes| decode(bytes)) {
                None => None,
                Some(Ok(update)) => Some(update),
                Some(Err(error)) => {
                    emit!(shared.log, events::UPDATE_REFUSED, "source" => &source.control_addr,
                        "error" => error.to_string());
                    return PollOutcome::Refused;
                }
            };
            if update.is_some() && current_version == 0 {
                observe_known_versions(subscriber).await;
            }
            // The local replica may have published this version already.
            let update = update.filter(|update| update.version() > shared.current_version().0);
            if let Some(update) = update {
                if let Err(error) = shared.apply_update(&update) {
                    emit!(shared.log, events::UPDATE_REFUSED, "source" => &source.control_addr,
                        "version" => update.version(), "error" => error.to_string());
                    // The same source would send the same update again at once.
                    return PollOutcome::Refused;
                }
            }
            abandon_if_stale(subscriber, source, &freshness);
            PollOutcome::Changes(cursor)
        }
        Some(PollReply::Busy { retry_after_ms }) => {
            emit!(shared.log, events::SOURCE_BUSY, "retry_after_ms" => retry_after_ms);
            let jitter_ms = rand::rng().random_range(0..=retry_after_ms);
            PollOutcome::RetryAfter(Duration::from_millis(retry_after_ms + jitter_ms))
        }
        None => {
            emit!(shared.log, events::SOURCE_FAILED, "source" => &source.control_addr);
            PollOutcome::Failed
        }
    }
}

/// Logs a stage of a poll that took longer than its timeout allows.
fn log_stall(shared: &Shared, stage: &'static str, started_at: Instant, timeout: Duration) {
    let took = started_at.elapsed();
    if took > timeout + STALL_TIME {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        emit!(shared.log, events::POLL_STALLED, "stage" => stage, "took_ms" => took_ms);
    }
}

/// Asks replicas and daemons of the same failure domain for the highest version that they know of,
/// before the first version is applied: this daemon may have had a newer one before its restart
/// than its source offers now.
async fn observe_known_versions(subscriber: &Subscriber) {
    let shared = &subscriber.shared;
    let settings = &shared.settings;
    let neighbours: Vec<String> = shared.with_directory(|directory| {
        let same_domain = directory
            .live()
            .filter(|i| i.failure_domain == settings.failure_domain && i.name != settings.name);
        same_domain
            .map(|i| i.control_addr.clone())
            .take(VERSION_QUERY_NEIGHBOURS)
            .collect()
    });
    // The seeds may be current where the directory of a stale source is not, and the other way round.
    let replicas = shared.replica_addrs().live.into_iter();
    let replicas = replicas.take(VERSION_QUERY_REPLICAS);
    let seeds = shared.seeds.addrs();
    let addrs: BTreeSet<String> = replicas
        .chain(seeds.iter().cloned())
        .chain(neighbours)
        .collect();
    let queries = addrs.into_iter().map(|control_addr| async move {
        let source = Source {
            name: None,
            control_addr,
        };
        subscriber
            .call_source::<ReportReply>(&source, PeerRequest::Probe, VERSION_QUERY_TIMEOUT)
            .await
    });
    for reply in futures::future::join_all(queries)
        .await
        .into_iter()
        .flatten()
    {
        shared.observe_version(reply.freshness.highest_version);
    }
}

fn merge_instances(shared: &Shared, source: &Source, instances: Vec<InstanceState>) {
    if instances.is_empty() {
        return;
    }
    // The source's name is known once its directory entry has been received.
    let by_addr = |i: &&InstanceState| i.control_addr == source.control_addr;
    let listed = instances.iter().find(by_addr).map(|i| i.name.clone());
    let known = || {
        shared.with_directory(|directory| {
            let mut all = directory.all();
            all.find(|i| i.control_addr == source.control_addr)
                .map(|i| i.name.clone())
        })
    };
    let received_from = source.name.clone().or(listed).or_else(known);
    shared.merge_instances(
        instances,
        &received_from.unwrap_or_else(|| source.control_addr.clone()),
    );
}

fn abandon_if_stale(subscriber: &Subscriber, source: &Source, freshness: &Freshness) {
    let shared = &subscriber.shared;
    let is_past_min_time = subscriber.recent_source().is_none();
    let is_stale = is_past_min_time && freshness.is_stale(shared.highest_known_version());
    if (is_stale || freshness.has_lost_contact()) && subscriber.candidates(0).len() > 1 {
        emit!(shared.log, events::SOURCE_STALE, "source" => &source.control_addr,
            "version" => freshness.version, "highest_heard" => shared.highest_known_version(),
            "quorum_age_ms" => freshness.quorum_age_ms);
        lock(&subscriber.choice).avoid(&source.control_addr, Instant::now());
        subscriber.probe_due.notify(usize::MAX);
        // A poll in progress would otherwise block until its timeout.
        subscriber.source_abandoned.notify(usize::MAX);
    }
}

/// Interval between reports. While a rollout runs, gateways must notice within
/// [`STALE_SOURCE_MS`](foxtailgauge_core::STALE_SOURCE_MS) that their source has lost its quorum.
fn report_interval(shared: &Shared) -> Duration {
    let view = shared.view();
    let is_running = view.snapshot.as_ref().is_some_and(|snapshot| {
        let mut rollouts = snapshot.rollouts.values();
        rollouts.any(|rollout| rollout.phase.is_running())
    });
    match is_running {
        true => ROLLOUT_REPORT_INTERVAL,
        false => Duration::from_millis(REPORT_INTERVAL_MS),
    }
}

async fn report_loop(subscriber: Arc<Subscriber>) {
    let shared = Arc::clone(&subscriber.shared);
    loop {
        let report_due = shared.report_due.listen();
        let source_changed = subscriber.source_changed.listen();
        report_once(&subscriber).await;
        let deadline = Instant::now() + report_interval(&shared);
        let changed = select(report_due, source_changed);
        if let Either::Left(_) = select(changed, sleep_until(deadline)).await {
            // Collects a burst of changes from the subtree into one report.
            async_std::task::sleep(shared.settings.distribution.batch_interval).await;
        }
    }
}

async fn report_once(subscriber: &Subscriber) {
    let shared = &subscriber.shared;
    let (serial, source, reported) = {
        let current = lock(&subscriber.current);
        let Some(source) = current.source.clone() else {
            return;
        };
        (current.serial, source, current.reported)
    };
    let (request, cursor) = shared.report_since(reported);
    let Ok(bytes) = encode(&request) else {
        return;
    };
    shared.metrics.record_payload("sent", "report", bytes.len());
    let reply: Option<ReportReply> = subscriber
        .call_source(&source, PeerRequest::Report(bytes), REPORT_TIMEOUT)
        .await;
    let Some(reply) = reply else {
        emit!(shared.log, events::SOURCE_FAILED, "source" => &source.control_addr);
        subscriber.source_failed(&source);
        subscriber.source_abandoned.notify(usize::MAX);
        return;
    };
    subscriber.record_freshness(&source, &reply.freshness);
    abandon_if_stale(subscriber, &source, &reply.freshness);
    let mut current = lock(&subscriber.current);
    if current.serial != serial {
        return;
    }
    // A restarted source no longer has the earlier reports, so the next report is complete.
    let is_same_process = current.source_epoch == reply.freshness.epoch;
    let was_complete = reported.is_none() || is_same_process;
    current.source_epoch = reply.freshness.epoch;
    current.reported = was_complete.then_some(cursor);
    if !was_complete {
        drop(current);
        shared.report_due.notify(usize::MAX);
    }
}

/// Periodically asks a random daemon for the highest version that it knows of, so that a
/// partitioned source is found to be stale.
async fn probe_loop(subscriber: Arc<Subscriber>) {
    let shared = &subscriber.shared;
    loop {
        let jitter = rand::rng().random_range(0.5..1.0);
        async_std::task::sleep(PROBE_INTERVAL.mul_f64(jitter)).await;
        let probe_targets: Vec<Source> = shared.with_directory(|directory| {
            let others = directory.live().filter(|i| i.name != shared.settings.name);
            let source = |i: &InstanceState| Source {
                name: Some(i.name.clone()),
                control_addr: i.control_addr.clone(),
            };
            others.map(source).collect()
        });
        if probe_targets.is_empty() {
            continue;
        }
        let index = rand::rng().random_range(0..probe_targets.len());
        let reply: Option<ReportReply> = subscriber
            .call_source(&probe_targets[index], PeerRequest::Probe, REPORT_TIMEOUT)
            .await;
        if let Some(reply) = reply {
            shared.observe_version(reply.freshness.highest_version);
        }
    }
}
