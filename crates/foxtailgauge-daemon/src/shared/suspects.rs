//! Publishes the requests that were in flight when backend servers crashed.

use crate::peer_client::PeerRequest;
use crate::shared::{lock, unix_ms, Shared};
use foxtailgauge_core::Fingerprint;
use foxtailgauge_wire::encode;
use std::time::Duration;

/// Longest time that a response is delayed to publish a crash to the other daemons.
const PUBLISH_TIMEOUT: Duration = Duration::from_millis(50);

impl Shared {
    /// Publishes that a request was in flight when a backend server crashed. Returns once all
    /// daemons that reply within the timeout know of it, so that they recognize a retry.
    pub(crate) async fn record_crash(&self, fingerprint: Fingerprint) {
        let index = &self.view().suspects;
        self.republish(|own| {
            own.suspect_log.record_crash(fingerprint, index, unix_ms());
        });
        let recorded = lock(&self.own).sequence;
        let mut published = self.published_sequence.lock().await;
        // Crashes recorded during one publication are published together by the next one.
        if *published < recorded {
            *published = self.publish_to_all().await;
        }
    }

    /// Publishes that a suspected request ran to completion.
    pub(crate) fn record_completion(&self, fingerprint: Fingerprint) {
        let index = &self.view().suspects;
        self.republish(|own| {
            own.suspect_log
                .record_completion(fingerprint, index, unix_ms());
        });
    }

    /// Publishes quarantined requests whose daemons are gone, for gateways that start later.
    pub(crate) fn adopt_suspects(&self) {
        let (view, now_ms) = (self.view(), unix_ms());
        let orphans = self.with_directory(|directory| {
            let published = directory.live().flat_map(|instance| &instance.suspects);
            let live = directory.live().map(|i| (&i.name, i.incarnation));
            view.suspects
                .orphans(published, &self.settings.name, live, now_ms)
        });
        if lock(&self.own).suspect_log.adopt(orphans, now_ms) {
            self.republish(|_| {});
        }
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
        // Daemons that cannot be reached now receive the entry from their sources.
        let _ = async_std::future::timeout(PUBLISH_TIMEOUT, publishing).await;
        sequence
    }
}
