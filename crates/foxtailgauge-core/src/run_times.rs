//! Run times of one backend server, learned from its responses.
//!
//! Designed for the seconds after a restart of all processes, in which every backend server is cold
//! and no run time is known, while the callers of the whole outage return. With a short run time
//! assumed, the queue would admit hundreds of requests before the first response shows that they end
//! late.

use crate::ids::RouteName;
use crate::pace::{Pace, PaceHistory};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of the newest sample in a mean, once there are as many that each would have less.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Run time assumed before any request has arrived.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(50);
/// Run time assumed of a route before its first response, as a share of its latency target: targets
/// are set to two to four run times.
const ASSUMED_TARGET_SHARE: f64 = 0.4;
/// Part of a route's target that a caller has left on its first try. Attempts at other backend servers
/// take a small part of it; a caller that was refused waits for longer before it returns.
const FIRST_TRY_SHARE: f64 = 0.85;
/// Factor by which the longest target seen falls with each request: a target that an operator lowers
/// is known some hundred requests later.
const TARGET_DECAY: f64 = 0.999;

/// Mean of samples in seconds: of all at first, of the most recent ones later.
#[derive(Clone, Copy, Debug, Default)]
struct MeanTime {
    samples: u32,
    /// The assumed time while there is no sample.
    mean_s: f64,
}

impl MeanTime {
    /// Raises the assumed time, if there is no sample yet.
    fn assume(&mut self, time_s: f64) {
        if self.samples == 0 {
            self.mean_s = self.mean_s.max(time_s);
        }
    }

    fn record(&mut self, sample_s: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(SAMPLE_WEIGHT);
        self.mean_s += weight * (sample_s - self.mean_s);
    }
}

/// What is known of a route.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTimes {
    /// Run times at the normal pace.
    run: MeanTime,
    /// Longest time that the latency target left to a recent request.
    target_s: f64,
}

/// Run times of one backend server.
#[derive(Debug, Default)]
pub(crate) struct RunTimeEstimates {
    pace: PaceHistory,
    routes: HashMap<RouteName, RouteTimes>,
    /// Times for which runs held their slots at the normal pace, over all routes.
    all: MeanTime,
}

impl RunTimeEstimates {
    /// Notes the time that the latency target leaves to a request that arrives; returns whether it
    /// appears to be the first try of its caller. As long as no response shows its route's run time,
    /// that is assumed from the longest time left.
    pub(crate) fn record_arrival(&mut self, route: &str, target_left: Duration) -> bool {
        let target_left_s = target_left.as_secs_f64();
        let assumed_s = target_left_s * ASSUMED_TARGET_SHARE;
        self.all.assume(assumed_s);
        let times = self.route_mut(route);
        times.run.assume(assumed_s);
        times.target_s = target_left_s.max(times.target_s * TARGET_DECAY);
        target_left_s >= times.target_s * FIRST_TRY_SHARE
    }

    fn route_mut(&mut self, route: &str) -> &mut RouteTimes {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteTimes::default());
        }
        self.routes
            .get_mut(route)
            .unwrap_or_else(|| unreachable!("the entry was inserted above"))
    }

    /// Records a run whose response was ready after `run_time` and that held its slot for
    /// `held_time`, both at the normal pace.
    pub(crate) fn record(&mut self, route: &str, run_time: Duration, held_time: Duration) {
        self.all.record(held_time.as_secs_f64());
        self.route_mut(route).run.record(run_time.as_secs_f64());
    }

    /// Records the pace that the backend server states.
    pub(crate) fn record_pace(&mut self, pace: Pace, now: Instant) {
        self.pace.record(pace, now);
    }

    /// Current run time as a multiple of the one at the normal pace.
    pub(crate) fn pace_factor(&self, now: Instant) -> f64 {
        self.pace.factor(now)
    }

    /// Seconds by which work that has been running all along lags behind the normal pace.
    pub(crate) fn lost_s(&self, now: Instant) -> f64 {
        self.pace.lost_s(now)
    }

    /// Mean run time of a route at the normal pace, in seconds; the mean over all routes if none of
    /// its requests has arrived.
    pub(crate) fn normal_s(&self, route: &str) -> f64 {
        let mean_s = self.routes.get(route).map(|times| times.run.mean_s);
        mean_s.unwrap_or_else(|| self.mean_normal_s())
    }

    /// Mean run time of a route at the current pace, in seconds.
    pub(crate) fn run_s(&self, route: &str, now: Instant) -> f64 {
        self.normal_s(route) * self.pace_factor(now)
    }

    /// Mean run time over all routes at the current pace, in seconds.
    pub(crate) fn mean_run_s(&self, now: Instant) -> f64 {
        self.mean_normal_s() * self.pace_factor(now)
    }

    fn mean_normal_s(&self) -> f64 {
        match self.all.mean_s > 0.0 {
            true => self.all.mean_s,
            false => INITIAL_RUN_TIME.as_secs_f64(),
        }
    }
}
