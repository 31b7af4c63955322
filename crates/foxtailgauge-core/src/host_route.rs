//! Routes by host and literal path prefix, for callers that speak plain HTTP to their own instance.

use crate::config::Service;
use crate::ids::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// One part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Target service; present in the same snapshot.
    pub service: ServiceName,
    /// Share of the traffic, relative to the sum over all parts.
    pub weight: u64,
}

/// A rule that leads the requests of one host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoute {
    /// Host, lower case, without port.
    pub host: String,
    /// Literal prefix of the raw path.
    pub prefix: String,
    /// Targets; never empty, and the weights do not add up to 0.
    pub split: Vec<WeightedService>,
    /// Longest time a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Most backend servers one request may run on; at least 1.
    pub attempts: u64,
    /// Rank; 0 is the highest.
    pub rank: u64,
    /// Time within which an answer is of full use, in milliseconds.
    pub latency_ms: u64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
}

impl HostRoute {
    /// The service that a point in `0.0..1.0` falls to, in proportion to the weights.
    pub fn pick_service(&self, point: f64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|target| target.weight).sum();
        let mut remaining = (point * total as f64) as u64;
        for target in &self.split {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        None
    }
}

/// Bounds on what a caller may send. All zero: the daemon's own limits alone apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub header_bytes: u64,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a request head to arrive, in milliseconds.
    pub header_ms: u64,
    /// Longest time a connection may stay idle, in milliseconds.
    pub idle_ms: u64,
}

/// Host routes arranged for look-up.
///
/// Invariant: the routes of a host stand from the longest prefix to the shortest.
#[derive(Debug, Default)]
pub struct HostTable {
    by_host: HashMap<String, Vec<(RouteName, Arc<HostRoute>)>>,
}

impl HostTable {
    /// Arranges the host routes of a configuration.
    pub fn new(routes: &BTreeMap<RouteName, Arc<HostRoute>>) -> Self {
        let mut by_host: HashMap<String, Vec<(RouteName, Arc<HostRoute>)>> = HashMap::new();
        for (name, route) in routes {
            let list = by_host.entry(route.host.clone()).or_default();
            list.push((name.clone(), Arc::clone(route)));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|(_, route)| std::cmp::Reverse(route.prefix.len()));
        }
        HostTable { by_host }
    }

    /// The route with the longest prefix that begins `path`, for a `Host` header value.
    pub fn find(&self, host: &str, path: &str) -> Option<&(RouteName, Arc<HostRoute>)> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let list = match self.by_host.get(name) {
            Some(list) => list,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        list.iter()
            .find(|(_, route)| path.starts_with(&route.prefix))
    }
}

/// Whether all parts of a route lead to services that are defined.
pub(crate) fn has_defined_services(
    route: &HostRoute,
    services: &BTreeMap<ServiceName, Arc<Service>>,
) -> bool {
    let is_defined = |target: &WeightedService| services.contains_key(&target.service);
    route.split.iter().all(is_defined)
}
