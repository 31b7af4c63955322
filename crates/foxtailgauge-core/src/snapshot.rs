//! One immutable version of the whole configuration, and the deltas between versions.

use crate::config::{prefix_matches, Route, Service, TeamConfig};
use crate::host_route::{has_defined_services, CallerLimits, HostRoute};
use crate::ids::{ConfigVersion, Digest, RouteName, ServiceName, TeamName};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// A whole configuration version.
///
/// Invariants: every route's service is in `services`; `digest` covers version and content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version; 0 is the empty configuration.
    pub version: ConfigVersion,
    /// SHA-256 over version, services and routes.
    pub digest: Digest,
    /// Services by qualified name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// Routes by qualified name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
    /// Host routes by qualified name.
    pub host_routes: BTreeMap<RouteName, Arc<HostRoute>>,
    /// Bounds on what callers of the host routes may send.
    pub caller_limits: CallerLimits,
}

/// Why a snapshot or delta was not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SnapshotError {
    /// The delta starts from another version or content than the one held.
    BaseMismatch,
    /// The content does not have the digest it was sent with.
    DigestMismatch,
    /// A route names a service that the version does not hold.
    DanglingReference,
    /// The version is older than one held before.
    OlderVersion,
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SnapshotError::BaseMismatch => "delta does not start from the version held",
            SnapshotError::DigestMismatch => "content does not match its digest",
            SnapshotError::DanglingReference => {
                "a route names a service that is not in the version"
            }
            SnapshotError::OlderVersion => "version is older than one held before",
        })
    }
}

impl std::error::Error for SnapshotError {}

/// What changed between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Version the delta starts from.
    pub base_version: ConfigVersion,
    /// Digest of the version the delta starts from.
    pub base_digest: Digest,
    /// Version the delta leads to.
    pub version: ConfigVersion,
    /// Digest of the version the delta leads to.
    pub digest: Digest,
    /// Services added or changed; `None` removes.
    pub services: BTreeMap<ServiceName, Option<Arc<Service>>>,
    /// Routes added or changed; `None` removes.
    pub routes: BTreeMap<RouteName, Option<Arc<Route>>>,
    /// Host routes added or changed; `None` removes.
    pub host_routes: BTreeMap<RouteName, Option<Arc<HostRoute>>>,
    /// Bounds on what callers may send, if they changed.
    pub caller_limits: Option<CallerLimits>,
}

/// What a source sends to a subscriber to bring it to a newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole version.
    Full(Arc<Snapshot>),
    /// The difference to the version the subscriber said it holds.
    Delta(Delta),
}

impl Update {
    /// Version the update leads to.
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

    /// Joins all teams' configurations into one version.
    ///
    /// Where several teams bound what callers may send, the last team by name counts.
    pub fn from_teams(version: ConfigVersion, teams: &BTreeMap<TeamName, TeamConfig>) -> Self {
        let mut snapshot = Snapshot {
            version,
            digest: Digest::default(),
            services: BTreeMap::new(),
            routes: BTreeMap::new(),
            host_routes: BTreeMap::new(),
            caller_limits: CallerLimits::default(),
        };
        for config in teams.values() {
            snapshot.services.extend(arcs(&config.services));
            snapshot.routes.extend(arcs(&config.routes));
            snapshot.host_routes.extend(arcs(&config.host_routes));
            snapshot.caller_limits = config.caller_limits.unwrap_or(snapshot.caller_limits);
        }
        snapshot.digest = snapshot.content_digest();
        snapshot
    }

    /// Checks digest and references.
    pub fn verify(&self) -> Result<(), SnapshotError> {
        if self.content_digest() != self.digest {
            return Err(SnapshotError::DigestMismatch);
        }
        let has_service = |route: &Arc<Route>| self.services.contains_key(&route.service);
        let is_whole = self.routes.values().all(has_service)
            && self
                .host_routes
                .values()
                .all(|route| has_defined_services(route, &self.services));
        if !is_whole {
            return Err(SnapshotError::DanglingReference);
        }
        Ok(())
    }

    /// The route with the longest prefix that takes `method` on `path`.
    pub fn route(&self, method: &str, path: &str) -> Option<(&RouteName, &Arc<Route>)> {
        self.routes
            .iter()
            .filter(|(_, route)| prefix_matches(&route.prefix, path))
            .filter(|(_, route)| route.methods.contains(method))
            .max_by_key(|(_, route)| route.prefix.len())
    }

    /// The difference that leads from `base` to `self`.
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
        }
    }

    /// Takes an update in whole, or refuses it in whole.
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
        let bounds = [
            limits.header_bytes,
            limits.body_bytes,
            limits.header_ms,
            limits.idle_ms,
        ];
        for bound in bounds {
            hasher.update(bound.to_be_bytes());
        }
        hasher.finalize().into()
    }
}

fn arcs<T: Clone>(map: &BTreeMap<String, T>) -> impl Iterator<Item = (String, Arc<T>)> + '_ {
    map.iter().map(|(k, v)| (k.clone(), Arc::new(v.clone())))
}

fn map_delta<T: PartialEq>(
    base: &BTreeMap<String, Arc<T>>,
    next: &BTreeMap<String, Arc<T>>,
) -> BTreeMap<String, Option<Arc<T>>> {
    let set = next
        .iter()
        .filter(|(name, item)| base.get(*name) != Some(item))
        .map(|(name, item)| (name.clone(), Some(Arc::clone(item))));
    let removed = base
        .keys()
        .filter(|name| !next.contains_key(*name))
        .map(|name| (name.clone(), None));
    set.chain(removed).collect()
}

fn apply_map<T>(target: &mut BTreeMap<String, Arc<T>>, changes: &BTreeMap<String, Option<Arc<T>>>) {
    for (name, change) in changes {
        match change {
            Some(item) => target.insert(name.clone(), Arc::clone(item)),
            None => target.remove(name),
        };
    }
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
    hasher.update([u8::from(route.billable), u8::from(route.idempotent)]);
}

fn hash_host_route(hasher: &mut Sha256, name: &str, route: &HostRoute) {
    hash_text(hasher, "host-route");
    hash_text(hasher, name);
    hash_text(hasher, &route.host);
    hash_text(hasher, &route.prefix);
    hasher.update((route.split.len() as u64).to_be_bytes());
    for part in &route.split {
        hash_text(hasher, &part.service);
        hasher.update(part.weight.to_be_bytes());
    }
    for number in [
        route.timeout_ms,
        route.attempts,
        route.rank,
        route.latency_ms,
        u64::from(route.idempotent),
    ] {
        hasher.update(number.to_be_bytes());
    }
}

fn hash_text(hasher: &mut Sha256, text: &str) {
    hasher.update((text.len() as u64).to_be_bytes());
    hasher.update(text);
}

/// The latest version and the versions before it that deltas may start from.
///
/// Invariant: versions only grow; `past` is bounded.
#[derive(Debug)]
pub struct SnapshotHistory {
    current: Arc<Snapshot>,
    past: std::collections::VecDeque<Arc<Snapshot>>,
    limit: usize,
}

impl SnapshotHistory {
    /// Starts with the empty configuration and remembers up to `limit` past versions.
    pub fn new(limit: usize) -> Self {
        SnapshotHistory {
            current: Arc::new(Snapshot::empty()),
            past: std::collections::VecDeque::new(),
            limit,
        }
    }

    /// The latest version.
    pub fn current(&self) -> &Arc<Snapshot> {
        &self.current
    }

    /// Makes a newer version current; an equal or older one is refused.
    pub fn advance(&mut self, next: Arc<Snapshot>) -> Result<(), SnapshotError> {
        if next.version <= self.current.version {
            return Err(SnapshotError::OlderVersion);
        }
        self.past
            .push_back(std::mem::replace(&mut self.current, next));
        while self.past.len() > self.limit {
            self.past.pop_front();
        }
        Ok(())
    }

    /// The update for a subscriber that holds the named version, if it is behind.
    pub fn update_for(&self, base_version: ConfigVersion, base_digest: &Digest) -> Option<Update> {
        if base_version >= self.current.version {
            return None;
        }
        let base = self
            .past
            .iter()
            .find(|s| s.version == base_version && s.digest == *base_digest);
        Some(match base {
            Some(base) => Update::Delta(self.current.delta_from(base)),
            None => Update::Full(Arc::clone(&self.current)),
        })
    }
}
