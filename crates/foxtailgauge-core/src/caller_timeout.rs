//! Typical time-out of the callers of a route: what tells a first attempt from a later one.
//!
//! Load it answers: a shortage in which refused callers come back within the same deadline. Their
//! target counts from their first try, which is known only by the time that they have left.

use crate::ids::RouteName;
use std::collections::HashMap;
use std::time::Duration;

/// Requests of a route that are remembered.
const SAMPLES: usize = 32;
/// Index of the typical time-out among the sorted samples, shortest first. Three quarters
/// lie below it: even if each caller came back twice, some first tries would be above.
const TYPICAL_INDEX: usize = SAMPLES * 3 / 4;
/// Requests after which the typical time-out is recalculated.
const RECALCULATE_EVERY: usize = 8;

/// Times that one route's callers had left.
#[derive(Clone, Debug)]
struct RouteStats {
    samples: [Duration; SAMPLES],
    seen: usize,
    typical: Duration,
}

/// Typical time-outs of callers, route by route.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    routes: HashMap<RouteName, RouteStats>,
}

impl CallerTimeouts {
    /// Notes the time that a caller has left; returns how much of the typical time-out had elapsed
    /// before, on earlier attempts. Zero until enough is known.
    pub fn elapsed_before(&mut self, route: &str, time_left: Duration) -> Duration {
        let Some(stats) = self.routes.get_mut(route) else {
            let stats = RouteStats {
                samples: [time_left; SAMPLES],
                seen: 1,
                typical: time_left,
            };
            self.routes.insert(route.to_owned(), stats);
            return Duration::ZERO;
        };
        stats.samples[stats.seen % SAMPLES] = time_left;
        stats.seen += 1;
        if stats.seen % RECALCULATE_EVERY == 0 {
            let mut sorted = stats.samples;
            sorted.sort_unstable();
            stats.typical = sorted[TYPICAL_INDEX];
        }
        match stats.seen < SAMPLES {
            true => Duration::ZERO,
            false => stats.typical.saturating_sub(time_left),
        }
    }
}
