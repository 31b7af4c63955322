//! Immutable versions of the whole configuration, and deltas between them.

use crate::config::{prefix_matches, Route, Service, TeamConfig};
use crate::host_route::{has_defined_services, CallerLimits, HostRoute};
use crate::ids::{ConfigVersion, Digest, RouteName, ServiceName, TeamName, WorkspaceName};
use crate::rollout::Rollout;
use crate::workspace::Workspace;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

/// One version of the whole configuration.
///
/// Invariants: `services` contains the service of every route; `digest` covers version and content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version; 0 is the empty configuration.
    pub version: ConfigVersion,
    /// SHA-256 over version and content.
    pub digest: Digest,
    /// Services by qualified name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// Routes by qualified name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Host routes by qualified name.
    pub host_routes: BTreeMap<RouteName, Arc<HostRoute>>,
    /// Limits on requests from callers of the host routes.
    pub caller_limits: CallerLimits,
    /// Workspaces of callers by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// The latest rollout of each service that ever had one.
    pub rollouts: BTreeMap<ServiceName, Arc<Rollout>>,
}

/// Why a snapshot or delta was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The base of the delta differs from the current snapshot in version or content.
    BaseMismatch,
    /// The content does not match the digest sent with it.
    DigestMismatch,
    /// A route refers to a service that the snapshot does not contain.
    DanglingReference,
    /// The version is older than the current one, or equal where a newer one is required.
    OlderVersion,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SnapshotError::BaseMismatch => "delta base does not match the current snapshot",
            SnapshotError::DigestMismatch => "snapshot content does not match its digest",
            SnapshotError::DanglingReference => {
                "snapshot has a route to a service that it does not contain"
            }
            SnapshotError::OlderVersion => "snapshot version is not newer than the current one",
        })
    }
}

impl std::error::Error for SnapshotError {}

/// The difference between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version the delta applies to.
    pub base_version: ConfigVersion,
    /// Digest of the version the delta applies to.
    pub base_digest: Digest,
    /// Version that results from the delta.
    pub version: ConfigVersion,
    /// Digest of the version that results from the delta.
    pub digest: Digest,
    /// Services added or changed; `None` removes the service.
    pub services: BTreeMap<ServiceName, Option<Arc<Service>>>,
    /// Routes added or changed; `None` removes the route.
    pub routes: BTreeMap<RouteName, Option<Arc<Route>>>,
    /// Host routes added or changed; `None` removes the route.
    pub host_routes: BTreeMap<RouteName, Option<Arc<HostRoute>>>,
    /// Limits on requests from callers, if they changed.
    pub caller_limits: Option<CallerLimits>,
    /// Workspaces added or changed; `None` removes the workspace.
    pub workspaces: BTreeMap<WorkspaceName, Option<Arc<Workspace>>>,
    /// Rollouts added or changed; `None` removes the rollout.
    pub rollouts: BTreeMap<ServiceName, Option<Arc<Rollout>>>,
}

impl Delta {
    /// The delta that has the effect of this one and then of `next`, which is based on its result.
    fn followed_by(mut self, next: &Delta) -> Self {
        self.version = next.version;
        self.digest = next.digest;
        extend_map(&mut self.services, &next.services);
        extend_map(&mut self.routes, &next.routes);
        extend_map(&mut self.host_routes, &next.host_routes);
        self.caller_limits = next.caller_limits.or(self.caller_limits);
        extend_map(&mut self.workspaces, &next.workspaces);
        extend_map(&mut self.rollouts, &next.rollouts);
        self
    }
}

/// What a source sends to bring a subscriber to a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The complete snapshot.
    Full(Arc<Snapshot>),
    /// The difference from the subscriber's current version, as stated in its poll.
    Delta(Box<Delta>),
}

impl Update {
    /// Version that results from the update.
    pub fn version(&self) -> ConfigVersion {
        match self {
            Update::Full(snapshot) => snapshot.version,
            Update::Delta(delta) => delta.version,
        }
    }
}

impl Snapshot {
    /// The empty configuration, version 0.
    pub fn empty() -> Self {
        Snapshot::from_teams(0, &BTreeMap::new())
    }

    /// Merges the configurations of all teams into one version.
    ///
    /// If several teams set caller limits, those of the last team by name apply.
    pub fn from_teams(version: ConfigVersion, teams: &BTreeMap<TeamName, TeamConfig>) -> Self {
        let mut snapshot = Snapshot {
            version,
            digest: Digest::default(),
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            host_routes: BTreeMap::new(),
            caller_limits: CallerLimits::default(),
            workspaces: BTreeMap::new(),
            rollouts: BTreeMap::new(),
        };
        for config in teams.values() {
            snapshot.services.extend(to_arcs(&config.services));
            snapshot.routes.extend(to_arcs(&config.routes));
            snapshot.host_routes.extend(to_arcs(&config.host_routes));
            snapshot.caller_limits = config.caller_limits.unwrap_or(snapshot.caller_limits);
            snapshot.workspaces.extend(to_arcs(&config.workspaces));
        }
        snapshot.digest = snapshot.content_digest();
        snapshot
    }

    /// The same configuration with these rollouts.
    pub(crate) fn with_rollouts(mut self, rollouts: &BTreeMap<ServiceName, Rollout>) -> Self {
        self.rollouts = to_arcs(rollouts).collect();
        self.digest = self.content_digest();
        self
    }

    /// Checks the digest and the references from routes to services.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::DigestMismatch`] or [`SnapshotError::DanglingReference`].
    pub fn verify(&self) -> Result<(), SnapshotError> {
        if self.content_digest() != self.digest {
            return Err(SnapshotError::DigestMismatch);
        }
        let has_service = |route: &Arc<Route>| self.services.contains_key(&route.service);
        let has_all_services = self.routes.values().all(has_service)
            && self
                .host_routes
                .values()
                .all(|route| has_defined_services(route, &self.services));
        if !has_all_services {
            return Err(SnapshotError::DanglingReference);
        }
        Ok(())
    }

    /// The route with the longest prefix that matches `path` and allows `method`.
    pub fn route(&self, method: &str, path: &str) -> Option<(&RouteName, &Arc<Route>)> {
        self.routes
            .iter()
            .filter(|(_, route)| prefix_matches(&route.prefix, path))
            .filter(|(_, route)| route.methods.contains(method))
            .max_by_key(|(_, route)| route.prefix.len())
    }

    /// The delta that turns `base` into `self`.
    pub fn delta_from(&self, base: &Snapshot) -> Delta {
        Delta {
            base_version: base.version,
            base_digest: base.digest,
            version: self.version,
            digest: self.digest,
            services: map_delta(&base.services, &self.services),
            routes: map_delta(&base.routes, &self.routes),
            host_routes: map_delta(&base.host_routes, &self.host_routes),
            caller_limits: (base.caller_limits != self.caller_limits).then_some(self.caller_limits),
            workspaces: map_delta(&base.workspaces, &self.workspaces),
            rollouts: map_delta(&base.rollouts, &self.rollouts),
        }
    }

    /// Returns the snapshot that results from an update, which is applied completely or not at all.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::OlderVersion`] if the update leads to a version older than this one,
    /// [`SnapshotError::BaseMismatch`] if a delta has another base, and the errors of
    /// [`Snapshot::verify`].
    pub fn with_update(&self, update: &Update) -> Result<Arc<Snapshot>, SnapshotError> {
        if update.version() < self.version {
            return Err(SnapshotError::OlderVersion);
        }
        let next = match update {
            Update::Full(snapshot) => Arc::clone(snapshot),
            Update::Delta(delta) => Arc::new(self.with_delta(delta)?),
        };
        next.verify()?;
        Ok(next)
    }

    fn with_delta(&self, delta: &Delta) -> Result<Snapshot, SnapshotError> {
        if delta.base_version != self.version || delta.base_digest != self.digest {
            return Err(SnapshotError::BaseMismatch);
        }
        let mut next = self.clone();
        next.version = delta.version;
        next.digest = delta.digest;
        apply_map(&mut next.services, &delta.services);
        apply_map(&mut next.routes, &delta.routes);
        apply_map(&mut next.host_routes, &delta.host_routes);
        next.caller_limits = delta.caller_limits.unwrap_or(next.caller_limits);
        apply_map(&mut next.workspaces, &delta.workspaces);
        apply_map(&mut next.rollouts, &delta.rollouts);
        Ok(next)
    }

    fn content_digest(&self) -> Digest {
        let mut hasher = Sha256::new();
        hasher.update(self.version.to_be_bytes());
        for (name, service) in &self.services {
            hash_text(&mut hasher, "service");
            hash_text(&mut hasher, name);
            hasher.update(service.retry_percent.to_be_bytes());
            hasher.update(service.queue_requests.to_be_bytes());
            hash_text(&mut hasher, &service.health_path);
            hasher.update(service.connections.to_be_bytes());
        }
        for (name, route) in &self.routes {
            hash_route(&mut hasher, name, route);
        }
        for (name, route) in &self.host_routes {
            hash_host_route(&mut hasher, name, route);
        }
        let limits = &self.caller_limits;
        let limit_values = [
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms,
            limits.idle_ms,
        ];
        for value in limit_values {
            hasher.update(value.to_be_bytes());
        }
        for (name, workspace) in &self.workspaces {
            hash_workspace(&mut hasher, name, workspace);
        }
        for (name, rollout) in &self.rollouts {
            hash_rollout(&mut hasher, name, rollout);
        }
        hasher.finalize().into()
    }
}

fn to_arcs<T: Clone>(map: &BTreeMap<String, T>) -> impl Iterator<Item = (String, Arc<T>)> + '_ {
    map.iter().map(|(k, v)| (k.clone(), Arc::new(v.clone())))
}

fn map_delta<T: PartialEq>(
    base: &BTreeMap<String, Arc<T>>,
    next: &BTreeMap<String, Arc<T>>,
) -> BTreeMap<String, Option<Arc<T>>> {
    let changed = next
        .iter()
        .filter(|(name, item)| base.get(*name) != Some(item))
        .map(|(name, item)| (name.clone(), Some(Arc::clone(item))));
    let removed = base
        .keys()
        .filter(|name| !next.contains_key(*name))
        .map(|name| (name.clone(), None));
    changed.chain(removed).collect()
}

fn apply_map<T>(target: &mut BTreeMap<String, Arc<T>>, changes: &BTreeMap<String, Option<Arc<T>>>) {
    for (name, change) in changes {
        match change {
            Some(item) => target.insert(name.clone(), Arc::clone(item)),
            None => target.remove(name),
        };
    }
}

fn extend_map<T>(
    changes: &mut BTreeMap<String, Option<Arc<T>>>,
    later: &BTreeMap<String, Option<Arc<T>>>,
) {
    let later = later
        .iter()
        .map(|(name, change)| (name.clone(), change.clone()));
    changes.extend(later);
}

fn hash_route(hasher: &mut Sha256, name: &str, route: &Route) {
    hash_text(hasher, "route");
    hash_text(hasher, name);
    hash_text(hasher, &route.prefix);
    hasher.update((route.methods.len() as u64).to_be_bytes());
    for method in &route.methods {
        hash_text(hasher, method);
    }
    hash_text(hasher, &route.service);
    hasher.update(route.deadline_ms.to_be_bytes());
    hasher.update([u8::from(route.billable), route.flags()]);
}

fn hash_host_route(hasher: &mut Sha256, name: &str, route: &HostRoute) {
    hash_text(hasher, "host-route");
    hash_text(hasher, name);
    hash_text(hasher, &route.host);
    hash_text(hasher, &route.prefix);
    hasher.update((route.split.len() as u64).to_be_bytes());
    for target in &route.split {
        hash_text(hasher, &target.service);
        hasher.update(target.weight.to_be_bytes());
    }
    for number in [
        route.timeout_ms,
        route.attempts,
        route.rank,
        route.latency_ms,
        u64::from(route.idempotent),
        u64::from(route.is_public),
        u64::from(route.is_bulk),
    ] {
        hasher.update(number.to_be_bytes());
    }
}

fn hash_workspace(hasher: &mut Sha256, name: &str, workspace: &Workspace) {
    hash_text(hasher, "workspace");
    hash_text(hasher, name);
    hasher.update((workspace.keys.len() as u64).to_be_bytes());
    for key in &workspace.keys {
        hasher.update(key.bytes());
    }
    // 0 stands for none, so a present value is hashed with an offset of 1.
    let rank = workspace.rank.map_or(0, |rank| rank + 1);
    hasher.update(rank.to_be_bytes());
    if let Some(allotment) = &workspace.allotment {
        hasher.update(allotment.rate_milli.to_be_bytes());
        hasher.update(allotment.burst_requests.to_be_bytes());
    }
}

fn hash_rollout(hasher: &mut Sha256, name: &str, rollout: &Rollout) {
    hash_text(hasher, "rollout");
    for text in [
        name,
        &rollout.order_id,
        &rollout.target_version,
        rollout.phase.as_str(),
    ] {
        hash_text(hasher, text);
    }
    for number in [
        rollout.ordered_in,
        rollout.ordered_at_ms,
        rollout.duration_ms,
        u64::from(rollout.share_milli),
        rollout.excluded.len() as u64,
    ] {
        hasher.update(number.to_be_bytes());
    }
    for version in &rollout.excluded {
        hash_text(hasher, version);
    }
}

fn hash_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_be_bytes());
    hasher.update(text);
}

/// The current snapshot, and the deltas that led to it.
///
/// Past versions are kept as deltas, so that a version takes memory in proportion to its changes and
/// not to the size of the configuration.
///
/// Invariants: versions strictly increase; `deltas` holds at most `limit` of them, oldest first, each
/// based on the result of the one before; the last one results in `current`.
#[derive(Debug)]
pub struct SnapshotHistory {
    current: Arc<Snapshot>,
    deltas: VecDeque<Delta>,
    limit: usize,
}

impl SnapshotHistory {
    /// Creates a history that starts with the empty configuration and serves as bases up to `limit`
    /// past versions.
    pub fn new(limit: usize) -> Self {
        SnapshotHistory {
            current: Arc::new(Snapshot::empty()),
            deltas: VecDeque::new(),
            limit,
        }
    }

    /// The current snapshot.
    pub fn current(&self) -> &Arc<Snapshot> {
        &self.current
    }

    /// Makes a newer version the current one.
    ///
    /// # Errors
    ///
    /// [`SnapshotError::OlderVersion`] if the version is equal to the current one or older.
    pub fn advance(&mut self, next: Arc<Snapshot>) -> Result<(), SnapshotError> {
        if next.version <= self.current.version {
            return Err(SnapshotError::OlderVersion);
        }
        self.deltas.push_back(next.delta_from(&self.current));
        self.current = next;
        while self.deltas.len() > self.limit {
            self.deltas.pop_front();
        }
        Ok(())
    }

    /// The update for a subscriber that is at `base_version`; `None` if it is up to date.
    ///
    /// A delta if the base is still in the history, else the complete snapshot.
    pub fn update_for(&self, base_version: ConfigVersion, base_digest: &Digest) -> Option<Update> {
        if base_version >= self.current.version {
            return None;
        }
        let is_base =
            |delta: &Delta| delta.base_version == base_version && delta.base_digest == *base_digest;
        let first = self.deltas.iter().position(is_base);
        let delta = first.and_then(|first| {
            let mut later = self.deltas.range(first..);
            let first = later.next()?.clone();
            Some(later.fold(first, Delta::followed_by))
        });
        Some(match delta {
            Some(delta) => Update::Delta(Box::new(delta)),
            None => Update::Full(Arc::clone(&self.current)),
        })
    }
}
