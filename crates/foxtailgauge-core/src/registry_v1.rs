//! Stored state of the configuration group as releases before workspaces wrote it.

use crate::config::{Route, Service, TeamConfig};
use crate::host_route::{CallerLimits, HostRoute, WeightedService};
use crate::ids::{RouteName, ServiceName};
use serde::Deserialize;
use std::collections::BTreeMap;

/// Configuration of a team in the earlier layout.
#[derive(Deserialize)]
pub struct TeamConfigV1 {
    services: BTreeMap<ServiceName, Service>,
    routes: BTreeMap<RouteName, Route>,
    host_routes: BTreeMap<RouteName, HostRouteV1>,
    caller_limits: Option<CallerLimits>,
}

#[derive(Deserialize)]
struct HostRouteV1 {
    host: String,
    prefix: String,
    split: Vec<WeightedService>,
    timeout_ms: u64,
    attempts: u64,
    rank: u64,
    latency_ms: u64,
    idempotent: bool,
}

impl From<TeamConfigV1> for TeamConfig {
    fn from(config: TeamConfigV1) -> Self {
        let host_routes = config.host_routes.into_iter();
        TeamConfig {
            services: config.services,
            routes: config.routes,
            host_routes: host_routes.map(|(name, r)| (name, r.into())).collect(),
            caller_limits: config.caller_limits,
            workspaces: BTreeMap::new(),
        }
    }
}

impl From<HostRouteV1> for HostRoute {
    fn from(route: HostRouteV1) -> Self {
        HostRoute {
            host: route.host,
            prefix: route.prefix,
            split: route.split,
            timeout_ms: route.timeout_ms,
            attempts: route.attempts,
            rank: route.rank,
            latency_ms: route.latency_ms,
            idempotent: route.idempotent,
            is_public: false,
            is_bulk: false,
        }
    }
}
