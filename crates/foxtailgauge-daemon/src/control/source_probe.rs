//! Probes of sources that failed, so that a daemon uses them again as soon as they are current.

use crate::control::subscriber::{Subscriber, PROBE_TIMEOUT};
use crate::peer_client::PeerRequest;
use crate::shared::lock;
use crate::timer::sleep_until;
use foxtailgauge_core::{Backoff, ReportReply, Source};
use futures::future::select;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Shortest and longest delay between two rounds of probes. The longest, and the time to notice that a
/// connection cannot be opened, are within the time in which a change must be in force.
const MIN_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_millis(800);
/// Interval at which a daemon with a current source looks whether avoided ones are due to be probed.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Live replicas that are probed besides the candidates of the rounds.
const PROBED_REPLICAS: usize = 8;
/// Delay of the replies of sources that have failed, so that others come first.
const FAILED_SOURCE_DELAY: Duration = Duration::from_millis(50);

/// Probes the sources that the choice names, all of a round at the same time.
pub(super) async fn run(subscriber: Arc<Subscriber>) {
    let mut backoff = Backoff::new(MIN_DELAY, MAX_DELAY);
    loop {
        let probe_due = subscriber.probe_due.listen();
        let sources = sources_to_probe(&subscriber);
        if sources.is_empty() {
            backoff.reset();
            let has_probes = lock(&subscriber.choice).has_probes();
            match has_probes {
                true => drop(select(probe_due, sleep_until(Instant::now() + IDLE_INTERVAL)).await),
                false => probe_due.await,
            }
            continue;
        }
        let probes = sources.iter().map(|source| probe(&subscriber, source));
        futures::future::join_all(probes).await;
        let delay = backoff.next_delay(&mut rand::rng());
        async_std::task::sleep(delay).await;
    }
}

fn sources_to_probe(subscriber: &Subscriber) -> Vec<Source> {
    // The only source of a replica is the leader that its group knows.
    if subscriber.shared.replica.get().is_some() {
        return Vec::new();
    }
    let round = {
        let choice = lock(&subscriber.choice);
        if !choice.has_probes() {
            return Vec::new();
        }
        choice.round()
    };
    // The candidates of a round are a part of the known replicas, and may all be gone.
    let mut candidates = subscriber.candidates(0);
    let live = subscriber.shared.replica_addrs().live.into_iter();
    let live = live.take(PROBED_REPLICAS).map(|control_addr| Source {
        name: None,
        control_addr,
    });
    for source in subscriber.candidates(round).into_iter().chain(live) {
        let is_same = |other: &Source| other.control_addr == source.control_addr;
        if !candidates.iter().any(is_same) {
            candidates.push(source);
        }
    }
    let current = subscriber.current_addr();
    lock(&subscriber.choice).sources_to_probe(&candidates, current.as_deref(), Instant::now())
}

async fn probe(subscriber: &Subscriber, source: &Source) {
    let reply: Option<ReportReply> = subscriber
        .call_source(source, PeerRequest::Probe, PROBE_TIMEOUT)
        .await;
    let now = Instant::now();
    let Some(ReportReply { freshness }) = reply else {
        return lock(&subscriber.choice).record_probe_no_reply(&source.control_addr, now);
    };
    let shared = &subscriber.shared;
    shared.observe_version(freshness.highest_version);
    if freshness.is_stale(shared.highest_known_version()) {
        return lock(&subscriber.choice).record_probe_stale(&source.control_addr, now);
    }
    let has_failed = lock(&subscriber.choice).has_failed(&source.control_addr, now);
    if has_failed {
        async_std::task::sleep(FAILED_SOURCE_DELAY).await;
    }
    if lock(&subscriber.choice).record_probe_current(source, now) {
        subscriber.source_found.notify(usize::MAX);
    }
}
