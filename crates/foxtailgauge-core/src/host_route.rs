//! Routes by host and literal path prefix, for callers that send plain HTTP to their own instance.

use crate::config::Service;
use crate::ids::{RouteName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A target service of a host route, with its weight.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Target service; present in the same snapshot.
    pub service: ServiceName,
    /// Share of the traffic, relative to the sum of all weights of the route.
    pub weight: u64,
}

/// A rule that routes the requests of one host and path prefix to one or more services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoute {
    /// Host, in lower case, without port.
    pub host: String,
    /// Literal prefix of the raw path.
    pub prefix: String,
    /// Target services; never empty, and the sum of the weights is above 0.
    pub split: Vec<WeightedService>,
    /// Longest time a caller waits for the response, in milliseconds.
    pub timeout_ms: u64,
    /// Largest number of backend servers that one request may run on; at least 1.
    pub attempts: u64,
    /// Rank; 0 is the highest.
    pub rank: u64,
    /// Latency target of the response, in milliseconds.
    pub latency_ms: u64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether responses are large, so that they are held back in favour of others on a link.
    pub is_bulk: bool,
}

impl HostRoute {
    /// Selects a service in proportion to the weights; `draw` is a random number in
    /// `0.0..1.0`.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u64 = self.split.iter().map(|target| target.weight).sum();
        let mut remaining = (draw * total as f64) as u64;
        for target in &self.split {
            if remaining < target.weight {
                return Some(&target.service);
            }
            remaining -= target.weight;
        }
        None
    }
}

/// Limits on the requests of callers. If all are zero, only the daemon's own limits apply.
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

/// A host route with its name.
type NamedRoute = (RouteName, Arc<HostRoute>);

/// Routes of one host.
///
/// Invariants: a prefix in `by_prefix` ends with a slash, one in `others` does not; `others` is sorted
/// from the longest prefix to the shortest.
#[derive(Debug, Default)]
struct RoutesOfHost {
    by_prefix: HashMap<String, NamedRoute>,
    others: Vec<NamedRoute>,
}

impl RoutesOfHost {
    fn insert(&mut self, named: NamedRoute) {
        match named.1.prefix.ends_with('/') {
            true => {
                self.by_prefix.insert(named.1.prefix.clone(), named);
            }
            false => self.others.push(named),
        }
    }

    /// The route with the longest prefix of `path`. Takes one lookup for each slash in `path`,
    /// however many routes the host has.
    fn find(&self, path: &str) -> Option<&NamedRoute> {
        let ends = path
            .rmatch_indices('/')
            .map(|(index, slash)| index + slash.len());
        let mut prefixes = ends.filter_map(|end| self.by_prefix.get(&path[..end]));
        let is_match = |named: &&NamedRoute| path.starts_with(&named.1.prefix);
        let other = self.others.iter().find(is_match);
        let with_slash = prefixes.next();
        with_slash
            .into_iter()
            .chain(other)
            .max_by_key(|(_, route)| route.prefix.len())
    }
}

/// Host routes indexed by host and prefix.
#[derive(Debug, Default)]
pub struct HostTable {
    by_host: HashMap<String, RoutesOfHost>,
}

impl HostTable {
    /// Indexes the host routes of a configuration.
    pub fn new(routes: &BTreeMap<RouteName, Arc<HostRoute>>) -> Self {
        let mut by_host: HashMap<String, RoutesOfHost> = HashMap::new();
        for (name, route) in routes {
            let of_host = by_host.entry(route.host.clone()).or_default();
            of_host.insert((name.clone(), Arc::clone(route)));
        }
        for of_host in by_host.values_mut() {
            let length = |(_, route): &NamedRoute| std::cmp::Reverse(route.prefix.len());
            of_host.others.sort_by_key(length);
        }
        HostTable { by_host }
    }

    /// Returns the route of a `Host` header value with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&(RouteName, Arc<HostRoute>)> {
        let hostname = host.rsplit_once(':').map_or(host, |(hostname, _)| hostname);
        let of_host = match self.by_host.get(hostname) {
            Some(of_host) => of_host,
            None => self.by_host.get(&hostname.to_ascii_lowercase())?,
        };
        of_host.find(path)
    }
}

/// Whether all target services of a route are defined.
pub(crate) fn has_defined_services(
    route: &HostRoute,
    services: &BTreeMap<ServiceName, Arc<Service>>,
) -> bool {
    let is_defined = |target: &WeightedService| services.contains_key(&target.service);
    route.split.iter().all(is_defined)
}
