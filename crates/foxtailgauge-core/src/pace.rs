//! How long work currently takes on the machine of a backend server, as the server states it.
//!
//! Designed for backend servers whose work takes 2.5 times as long for 15 % of the time, changing
//! every 600 ms, while they are near their capacity: a mean run time lags behind each change, so
//! requests wait that end late, and others are refused that would end in time.

use std::time::{Duration, Instant};

/// Bounds of a stated pace in percent. They limit the effect of a false figure.
const MIN_PERCENT: f64 = 25.0;
const MAX_PERCENT: f64 = 1_000.0;
/// Half-life of the difference between a stated pace and the normal one, so that a stale figure
/// loses its effect: half the time for which a pace usually lasts.
const HALF_LIFE: Duration = Duration::from_millis(300);

/// A stated pace: the time that work takes, as a multiple of its normal time.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// A pace in percent of the normal time, clamped to 25 to 1,000; `None` if it is negative,
    /// infinite or not a number.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let is_pace = percent.is_finite() && percent >= 0.0;
        is_pace.then(|| Pace(percent.clamp(MIN_PERCENT, MAX_PERCENT) / 100.0))
    }

    /// Multiple of the normal time.
    pub fn factor(self) -> f64 {
        self.0
    }
}

/// The pace of a backend server over time; normal until one is stated.
#[derive(Debug, Default)]
pub(crate) struct PaceHistory {
    last: Option<(Pace, Instant)>,
    /// Time lost until the last statement.
    lost_s: f64,
}

impl PaceHistory {
    /// Records a stated pace.
    pub(crate) fn record(&mut self, pace: Pace, now: Instant) {
        self.lost_s = self.lost_s(now);
        self.last = Some((pace, now));
    }

    /// Current multiple of the normal time.
    pub(crate) fn factor(&self, now: Instant) -> f64 {
        self.last.map_or(1.0, |(pace, at)| {
            1.0 + (pace.factor() - 1.0) * retained(at, now)
        })
    }

    /// Seconds by which work that has been running all along lags behind the normal pace; negative
    /// if it is ahead. The difference between two instants is the part of the time between them in
    /// which no work was done at the normal pace: the integral of 1 - 1 / factor.
    pub(crate) fn lost_s(&self, now: Instant) -> f64 {
        let Some((pace, at)) = self.last else {
            return 0.0;
        };
        let excess = pace.factor() - 1.0;
        let decay_per_s = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        let ratio = (1.0 + excess) / (1.0 + excess * retained(at, now));
        self.lost_s + ratio.ln() / decay_per_s
    }
}

/// Part of the difference from the normal pace that is left.
fn retained(at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    0.5f64.powf(age / HALF_LIFE.as_secs_f64())
}
