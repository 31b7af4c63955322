//! Which colocated backend servers a rollout lets run requests, and how they are announced.

use crate::metrics::VersionLabels;
use crate::rollout::has_recent_contact;
use crate::shared::{lock, Shared};
use foxtailgauge_core::{
    ConfigVersion, Rollout, RolloutPhase, ServerEntry, ServerState, ServiceName, VersionRole,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time in the phase full after which the servers of other versions refuse requests. Gateways learn
/// of the phase before; a later request is refused without having run, and sent to the target
/// version.
const DRAIN_AFTER: Duration = Duration::from_millis(500);

/// Interval at which servers that a rollout replaces are checked for being empty.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which entries are compared in any case.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Gate in front of the colocated backend servers.
pub(crate) struct RolloutGate {
    shared: Arc<Shared>,
    /// Since when the phase full has been in force here, with the order that it belongs to.
    full_since: Mutex<HashMap<ServiceName, (ConfigVersion, Instant)>>,
    /// Entries of the colocated servers as announced last.
    last_announced: Mutex<Vec<ServerEntry>>,
}

impl RolloutGate {
    /// A gate that follows the configuration in force.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        RolloutGate {
            shared: Arc::clone(shared),
            full_since: Mutex::default(),
            last_announced: Mutex::default(),
        }
    }

    fn rollout(&self, service: &str) -> Option<Arc<Rollout>> {
        let view = self.shared.view();
        let snapshot = view.snapshot.as_ref()?;
        snapshot.rollouts.get(service).cloned()
    }

    /// Whether a server may start to run a request.
    pub(crate) fn admits(&self, server: &ServerEntry) -> bool {
        let Some(rollout) = self.rollout(&server.service) else {
            return true;
        };
        match rollout.role(&server.version) {
            VersionRole::Excluded => false,
            VersionRole::OnTrial => has_recent_contact(&self.shared, rollout.phase),
            VersionRole::Serving => !self.is_draining(&server.service, &rollout),
        }
    }

    /// The entry of a server as announced to the other daemons.
    pub(crate) fn announced(&self, mut server: ServerEntry, in_flight: u32) -> ServerEntry {
        let rollout = self.rollout(&server.service);
        let Some(rollout) = rollout.filter(|_| server.state == ServerState::Ready) else {
            return server;
        };
        server.state = match rollout.role(&server.version) {
            VersionRole::Excluded => ServerState::Leaving,
            VersionRole::OnTrial => ServerState::OnTrial,
            VersionRole::Serving => {
                match in_flight == 0 && self.is_draining(&server.service, &rollout) {
                    true => ServerState::Drained,
                    false => ServerState::Ready,
                }
            }
        };
        server
    }

    /// Whether servers of other versions than the target refuse requests.
    fn is_draining(&self, service: &ServiceName, rollout: &Rollout) -> bool {
        if rollout.phase != RolloutPhase::Full {
            return false;
        }
        let now = Instant::now();
        let mut full_since = lock(&self.full_since);
        let since = full_since
            .entry(service.clone())
            .or_insert((rollout.ordered_in, now));
        if since.0 != rollout.ordered_in {
            *since = (rollout.ordered_in, now);
        }
        now.duration_since(since.1) >= DRAIN_AFTER
    }

    /// Announces the colocated servers, given with their requests in flight.
    pub(crate) fn announce(&self, servers: impl Fn() -> Vec<(ServerEntry, u32)>) {
        // Held while the entries are read and announced, so that no older ones are announced last.
        let mut last = lock(&self.last_announced);
        *last = self.announced_entries(&servers);
        self.shared.announce_forwarded(last.clone());
    }

    fn announced_entries(
        &self,
        servers: &impl Fn() -> Vec<(ServerEntry, u32)>,
    ) -> Vec<ServerEntry> {
        let servers = servers().into_iter();
        servers
            .map(|(server, in_flight)| self.announced(server, in_flight))
            .collect()
    }

    /// Announces the colocated servers whenever a rollout changes their entries, until the daemon
    /// exits.
    pub(crate) async fn follow(&self, servers: impl Fn() -> Vec<(ServerEntry, u32)>) {
        loop {
            let changed = self.shared.changed.listen();
            let interval = match self.update_metrics() {
                true => DRAIN_CHECK_INTERVAL,
                false => CHECK_INTERVAL,
            };
            if self.announced_entries(&servers) != *lock(&self.last_announced) {
                self.announce(&servers);
            }
            // After the interval the entries are compared whether or not something changed.
            let _ = async_std::future::timeout(interval, changed).await;
        }
    }

    /// Sets the metrics of the shares; returns whether a rollout is in the phase full.
    fn update_metrics(&self) -> bool {
        let view = self.shared.view();
        let Some(snapshot) = &view.snapshot else {
            return false;
        };
        for (service, rollout) in &snapshot.rollouts {
            let labels = VersionLabels {
                service: service.clone(),
                version: rollout.target_version.clone(),
            };
            let share = f64::from(rollout.share_milli) / 1_000.0;
            let gauge = &self.shared.metrics.rollout_share;
            gauge.get_or_create(&labels).set(share);
        }
        let mut rollouts = snapshot.rollouts.values();
        rollouts.any(|rollout| rollout.phase == RolloutPhase::Full)
    }
}
