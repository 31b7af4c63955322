//! Throttles requests whose nested calls would displace more urgent requests.
//!
//! A service short of capacity may be called by running requests of less urgent ranks. It serves
//! their calls first, as a refusal would waste a run, so the requests themselves must be limited.

use crate::ids::{RouteName, ServiceName};
use crate::work_queue::Pressure;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Interval at which the admitted share is adjusted.
const ADJUST_INTERVAL: Duration = Duration::from_millis(100);
/// Change of the admitted share at each adjustment, up or down.
const SHARE_STEP: f64 = 0.03;
/// Margin by which the refused share of a more urgent rank may exceed that of the throttled
/// requests before the admitted share is reduced.
const REFUSAL_TOLERANCE: f64 = 0.02;
/// Lower bound of the admitted share: the remaining requests show when the pressure is over, and no
/// route starves.
const MIN_SHARE: f64 = 0.1;
/// Time for which a pressure report is valid.
const PRESSURE_TTL: Duration = Duration::from_millis(300);
/// Time after which a throttled request may be retried.
pub const THROTTLE_RETRY_AFTER: Duration = Duration::from_millis(150);

#[derive(Clone, Debug)]
struct RouteState {
    called_services: HashSet<ServiceName>,
    admitted_share: f64,
    adjusted_at: Instant,
}

/// Share of requests that one daemon admits, for each route that runs on its instance.
#[derive(Debug, Default)]
pub struct Throttle {
    routes: HashMap<RouteName, RouteState>,
    /// Pressure reported by services, and when the report was received.
    pressure: HashMap<ServiceName, (Pressure, Instant)>,
}

impl Throttle {
    /// Records that a running request of `route` called `service`, and the pressure that the
    /// service's backend server reported.
    pub fn record_call(
        &mut self,
        route: &str,
        service: &str,
        pressure: Option<Pressure>,
        now: Instant,
    ) {
        let state = self
            .routes
            .entry(route.to_owned())
            .or_insert_with(|| RouteState {
                called_services: HashSet::new(),
                admitted_share: 1.0,
                adjusted_at: now,
            });
        if !state.called_services.contains(service) {
            state.called_services.insert(service.to_owned());
        }
        if let Some(pressure) = pressure {
            self.pressure.insert(service.to_owned(), (pressure, now));
        }
    }

    /// Whether a request of this route and rank is admitted; `draw` is a random number in
    /// `0.0..1.0`.
    pub fn admits(&mut self, route: &str, rank: u64, draw: f64, now: Instant) -> bool {
        let Some(state) = self.routes.get_mut(route) else {
            return true;
        };
        let pressure = &self.pressure;
        let is_applicable = |(pressure, at): &&(Pressure, Instant)| {
            pressure.rank < rank && now.saturating_duration_since(*at) < PRESSURE_TTL
        };
        let refused_share = state
            .called_services
            .iter()
            .filter_map(|service| pressure.get(service).filter(is_applicable))
            .map(|(pressure, _)| f64::from(pressure.refused_permille) / 1_000.0)
            .fold(0.0, f64::max);
        if now.saturating_duration_since(state.adjusted_at) >= ADJUST_INTERVAL {
            state.adjusted_at = now;
            // Adjusts until the share throttled here equals the share that the service refuses of
            // the more urgent rank.
            let exceeds_tolerance = refused_share > 1.0 - state.admitted_share + REFUSAL_TOLERANCE;
            state.admitted_share = if exceeds_tolerance {
                (state.admitted_share - SHARE_STEP).max(MIN_SHARE)
            } else {
                (state.admitted_share + SHARE_STEP).min(1.0)
            };
        }
        draw < state.admitted_share
    }
}
