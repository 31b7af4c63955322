//! Learns the typical timeout of the callers of a route, to tell first tries from later ones.
//!
//! During a shortage, refused callers retry within the same deadline. Their latency target counts
//! from the first try, whose start can only be inferred from the time that they have left.

use crate::ids::RouteName;
use std::collections::HashMap;
use std::time::Duration;

/// Number of recent requests sampled per route.
const SAMPLES: usize = 32;
/// Index of the typical timeout among the samples in ascending order. Three quarters of them are
/// below it: even if each caller retried twice, some first tries would be above.
const TYPICAL_INDEX: usize = SAMPLES * 3 / 4;
/// Number of requests after which the typical timeout is recalculated.
const RECALCULATE_EVERY: usize = 8;

/// Least time between a caller's first try and a later one. A refused caller is asked to wait 25 ms or
/// more; the times left of first tries differ by a few milliseconds.
const MIN_TIME_BETWEEN_TRIES: Duration = Duration::from_millis(20);

/// Whether a request is the first try of its caller, which can come back by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerTry {
    /// The first try.
    First,
    /// A later try, possibly the last one.
    Later,
}

impl CallerTry {
    /// The try of a caller that has spent this time on earlier ones.
    pub fn from_elapsed(elapsed_before: Duration) -> Self {
        match elapsed_before < MIN_TIME_BETWEEN_TRIES {
            true => CallerTry::First,
            false => CallerTry::Later,
        }
    }
}

/// Samples of the time left of one route's callers.
#[derive(Clone, Debug)]
struct RouteStats {
    samples: [Duration; SAMPLES],
    /// Number of requests recorded; the samples are those of the last [`SAMPLES`] requests.
    recorded: usize,
    typical: Duration,
}

/// Typical timeouts of callers by route.
#[derive(Debug, Default)]
pub struct CallerTimeouts {
    routes: HashMap<RouteName, RouteStats>,
}

impl CallerTimeouts {
    /// Records the time that a caller has left, and returns how much of the typical timeout had
    /// already elapsed on earlier tries. Zero until all samples of the route are filled.
    pub fn elapsed_before(&mut self, route: &str, time_left: Duration) -> Duration {
        let Some(stats) = self.routes.get_mut(route) else {
            let stats = RouteStats {
                samples: [time_left; SAMPLES],
                recorded: 1,
                typical: time_left,
            };
            self.routes.insert(route.to_owned(), stats);
            return Duration::ZERO;
        };
        stats.samples[stats.recorded % SAMPLES] = time_left;
        stats.recorded += 1;
        if stats.recorded % RECALCULATE_EVERY == 0 {
            let mut sorted = stats.samples;
            sorted.sort_unstable();
            stats.typical = sorted[TYPICAL_INDEX];
        }
        match stats.recorded < SAMPLES {
            true => Duration::ZERO,
            false => stats.typical.saturating_sub(time_left),
        }
    }
}
